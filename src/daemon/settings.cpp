#include "daemon/settings.h"

namespace gentianspindle {

namespace {

constexpr size_t kMinKeyCharacters = 16;
constexpr size_t kMaxZoneCharacters = 63; // as for names in the table

// Checks what the types and ranges of the schema cannot express.
void
CheckConsistency(const Settings& aSettings, std::vector<SettingFault>& aFaults)
{
  if (aSettings.peers.key.size() < kMinKeyCharacters) {
    aFaults.push_back({ "peers", "key", "is shorter than 16 characters" });
  }
  if (aSettings.peers.oldKeyId != 0 &&
      aSettings.peers.oldKey.size() < kMinKeyCharacters) {
    aFaults.push_back({ "peers", "old_key", "is shorter than 16 characters" });
  }
  if (aSettings.peers.oldKeyId == aSettings.peers.keyId) {
    aFaults.push_back({ "peers", "old_key_id", "is the same as key_id" });
  }
  if (aSettings.peers.port == aSettings.fabric.port) {
    aFaults.push_back({ "peers", "port", "is the same as fabric.port" });
  }
  if (aSettings.instance.zone.empty() ||
      aSettings.instance.zone.size() > kMaxZoneCharacters) {
    aFaults.push_back({ "instance", "zone", "must have 1 to 63 characters" });
  }
  if (aSettings.platform.url.rfind("http://", 0) != 0 &&
      aSettings.platform.url.rfind("https://", 0) != 0) {
    aFaults.push_back(
      { "platform", "url", "must start with http:// or https://" });
  }
}

}

absl::StatusOr<Settings>
ParseSettings(std::string_view aText, std::string_view aFile)
{
  return ReadSettings<Settings>(
    aText, aFile, kSettingsFields, CheckConsistency);
}

absl::StatusOr<Settings>
LoadSettings(const std::string& aPath)
{
  absl::StatusOr<std::string> text = ReadWholeFile(aPath);
  if (!text.ok()) {
    return text.status();
  }
  return ParseSettings(*text, aPath);
}

}
