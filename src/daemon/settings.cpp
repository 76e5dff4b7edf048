#include "daemon/settings.h"

#include "core/table.h"
#include "core/text.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

namespace gentianspindle {

namespace {

constexpr size_t kMinKeyCharacters = 16;
constexpr size_t kMaxZoneCharacters = 63;

struct SettingsReader
{
  std::string_view file;
  std::vector<std::string> faults;

  void Fault(const toml::node* aNode,
             std::string_view aKey,
             std::string_view aReason)
  {
    uint32_t line = aNode == nullptr ? 0 : aNode->source().begin.line;
    this->faults.push_back(absl::StrCat(ToAbsl(this->file),
                                        ":",
                                        line,
                                        ": ",
                                        ToAbsl(aKey),
                                        ": ",
                                        ToAbsl(aReason)));
  }
};

std::string
FullName(const SettingField& aField)
{
  return absl::StrCat(ToAbsl(aField.section), ".", ToAbsl(aField.key));
}

bool
IsGoodText(const SettingField& aField, const std::string& aText)
{
  Address address = 0;
  InstanceId endpoint = kNoInstance;
  switch (aField.type) {
    case SettingType::Address:
    case SettingType::Addresses:
      return ParseAddress(aText, address) && address != 0;
    case SettingType::Endpoint:
    case SettingType::Endpoints:
      return ParseInstance(aText, endpoint);
    default:
      return true;
  }
}

void
ReadText(SettingsReader& aReader,
         const SettingField& aField,
         const toml::node& aNode,
         std::string& aTarget)
{
  std::optional<std::string> text = aNode.value_exact<std::string>();
  if (!text) {
    aReader.Fault(&aNode, FullName(aField), "must be a string");
  } else if (!IsGoodText(aField, *text)) {
    aReader.Fault(&aNode,
                  FullName(aField),
                  absl::StrCat("'",
                               *text,
                               "' is not of the form ",
                               aField.type == SettingType::Address ||
                                   aField.type == SettingType::Addresses
                                 ? "a.b.c.d"
                                 : "a.b.c.d:port"));
  } else {
    aTarget = *text;
  }
}

void
ReadNode(SettingsReader& aReader,
         const SettingField& aField,
         const toml::node& aNode,
         Settings& aSettings)
{
  SettingSlot slot = aField.slot(aSettings);
  if (int64_t** number = std::get_if<int64_t*>(&slot)) {
    std::optional<int64_t> value = aNode.value_exact<int64_t>();
    if (!value) {
      aReader.Fault(&aNode, FullName(aField), "must be a whole number");
    } else if (*value < aField.min || *value > aField.max) {
      aReader.Fault(&aNode,
                    FullName(aField),
                    absl::StrCat(*value,
                                 " is not from ",
                                 aField.min,
                                 " to ",
                                 aField.max,
                                 " ",
                                 ToAbsl(aField.unit)));
    } else {
      **number = *value;
    }
    return;
  }
  if (std::string** text = std::get_if<std::string*>(&slot)) {
    ReadText(aReader, aField, aNode, **text);
    return;
  }
  std::vector<std::string>& list = *std::get<std::vector<std::string>*>(slot);
  const toml::array* array = aNode.as_array();
  if (array == nullptr || array->empty()) {
    aReader.Fault(&aNode, FullName(aField), "must be a list with entries");
    return;
  }
  for (const toml::node& entry : *array) {
    ReadText(aReader, aField, entry, list.emplace_back());
  }
}

void
SetDefault(const SettingField& aField, Settings& aSettings)
{
  SettingSlot slot = aField.slot(aSettings);
  if (int64_t** number = std::get_if<int64_t*>(&slot)) {
    **number = aField.defaultNumber;
  } else if (std::string** text = std::get_if<std::string*>(&slot)) {
    **text = std::string(aField.defaultText);
  }
}

const SettingField*
FindField(std::string_view aSection, std::string_view aKey)
{
  for (const SettingField& field : kSettingFields) {
    if (field.section == aSection && field.key == aKey) {
      return &field;
    }
  }
  return nullptr;
}

void
FindUnknown(SettingsReader& aReader, const toml::table& aRoot)
{
  for (const auto& entry : aRoot) {
    const toml::key& section = entry.first;
    const toml::node& node = entry.second;
    const toml::table* keys = node.as_table();
    bool known = std::any_of(kSettingFields.begin(),
                             kSettingFields.end(),
                             [&](const SettingField& aField) {
                               return aField.section == section.str();
                             });
    if (!known || keys == nullptr) {
      aReader.Fault(&node, section.str(), "section is not known");
      continue;
    }
    for (const auto& [key, value] : *keys) {
      if (FindField(section.str(), key.str()) == nullptr) {
        aReader.Fault(
          &value,
          absl::StrCat(ToAbsl(section.str()), ".", ToAbsl(key.str())),
          "key is not known");
      }
    }
  }
}

// What ranges alone cannot say.
void
CheckTogether(SettingsReader& aReader,
              const toml::table& aRoot,
              const Settings& aSettings)
{
  auto fault = [&](std::string_view aSection,
                   std::string_view aKey,
                   std::string_view aReason) {
    aReader.Fault(aRoot[aSection][aKey].node(),
                  absl::StrCat(ToAbsl(aSection), ".", ToAbsl(aKey)),
                  aReason);
  };
  if (aSettings.peers.key.size() < kMinKeyCharacters) {
    fault("peers", "key", "is shorter than 16 characters");
  }
  if (aSettings.peers.oldKeyId != 0 &&
      aSettings.peers.oldKey.size() < kMinKeyCharacters) {
    fault("peers", "old_key", "is shorter than 16 characters");
  }
  if (aSettings.peers.oldKeyId == aSettings.peers.keyId) {
    fault("peers", "old_key_id", "is the same as key_id");
  }
  if (aSettings.peers.port == aSettings.fabric.port) {
    fault("peers", "port", "is the same as fabric.port");
  }
  if (aSettings.instance.zone.empty() ||
      aSettings.instance.zone.size() > kMaxZoneCharacters) {
    fault("instance", "zone", "must have 1 to 63 characters");
  }
  if (aSettings.platform.url.rfind("http://", 0) != 0 &&
      aSettings.platform.url.rfind("https://", 0) != 0) {
    fault("platform", "url", "must start with http:// or https://");
  }
}

}

absl::StatusOr<Settings>
ParseSettings(std::string_view aText, std::string_view aFile)
{
  toml::parse_result parsed = toml::parse(aText, aFile);
  if (!parsed) {
    return absl::InvalidArgumentError(
      absl::StrCat(ToAbsl(aFile),
                   ":",
                   parsed.error().source().begin.line,
                   ": ",
                   ToAbsl(parsed.error().description())));
  }
  const toml::table& root = parsed.table();
  SettingsReader reader{ aFile, {} };
  Settings settings;
  FindUnknown(reader, root);
  for (const SettingField& field : kSettingFields) {
    SetDefault(field, settings);
    const toml::node* node = root[field.section][field.key].node();
    if (node != nullptr) {
      ReadNode(reader, field, *node, settings);
    } else if (field.required) {
      reader.Fault(nullptr, FullName(field), "is missing");
    }
  }
  if (reader.faults.empty()) {
    CheckTogether(reader, root, settings);
  }
  if (!reader.faults.empty()) {
    return absl::InvalidArgumentError(absl::StrJoin(reader.faults, "\n"));
  }
  return settings;
}

absl::StatusOr<Settings>
LoadSettings(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return absl::NotFoundError(
      absl::StrCat("read settings: cannot open ", aPath));
  }
  std::stringstream text;
  text << file.rdbuf();
  return ParseSettings(text.str(), aPath);
}

}
