#include "tagged/settings.h"

#include "absl/strings/str_cat.h"

namespace gentianspindle {

namespace {

// Checks rules that the type and range of a setting can't express: the zone
// must not be empty, each zone has one region, and a budget of second openings
// is refused with the reason.
void
CheckConsistency(const TaggedSettings& aSettings,
                 std::vector<SettingFault>& aFaults)
{
  if (aSettings.instance.zone.empty()) {
    aFaults.push_back({ "instance", "zone", "must not be empty" });
  }
  if (aSettings.race.budget != 0) {
    aFaults.push_back(
      { "race",
        "budget",
        "second openings are no longer sent, as they could move "
        "an open flow to another server; remove the key" });
  }
  if (!ParseRegions(aSettings.regions.zones).ok()) {
    aFaults.push_back(
      { "regions", "zones", "must have entries zone=region, each zone once" });
  }
}

}

absl::StatusOr<absl::flat_hash_map<std::string, std::string>>
ParseRegions(std::span<const std::string> aEntries)
{
  absl::flat_hash_map<std::string, std::string> regions;
  for (const std::string& entry : aEntries) {
    size_t split = entry.find('=');
    bool isComplete =
      split != std::string::npos && split > 0 && split + 1 < entry.size();
    if (!isComplete ||
        !regions.emplace(entry.substr(0, split), entry.substr(split + 1))
           .second) {
      return absl::InvalidArgumentError(
        absl::StrCat("read region of a zone: '", entry, "'"));
    }
  }
  return regions;
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
