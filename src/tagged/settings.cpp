#include "tagged/settings.h"

namespace gentianspindle {

namespace {

// Checks rules that the type and range of a setting can't express: the zone
// must not be empty.
void
CheckConsistency(const TaggedSettings& aSettings,
                 std::vector<SettingFault>& aFaults)
{
  if (aSettings.instance.zone.empty()) {
    aFaults.push_back({ "instance", "zone", "must not be empty" });
  }
}

}

absl::StatusOr<TaggedSettings>
ParseTaggedSettings(std::string_view aText, std::string_view aFile)
{
  return ReadSettings<TaggedSettings>(
    aText, aFile, kTaggedSettingsFields, CheckConsistency);
}

absl::StatusOr<TaggedSettings>
LoadTaggedSettings(const std::string& aPath)
{
  absl::StatusOr<std::string> text = ReadWholeFile(aPath);
  if (!text.ok()) {
    return text.status();
  }
  return ParseTaggedSettings(*text, aPath);
}

Endpoint
EndpointOf(const std::string& aText)
{
  Endpoint endpoint;
  ParseEndpoint(aText, endpoint);
  return endpoint;
}

}
