#include "base/settings_reader.h"

#include "base/address.h"
#include "base/text.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include <algorithm>
#include <fstream>
#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

namespace gentianspindle {

namespace {

// The parser recurses for each part of a dotted key; so many bytes are too few
// to overflow its stack.
constexpr size_t kMaxSettingsBytes = 64 * 1024;

absl::Status
CheckSize(size_t aBytes, std::string_view aFileName)
{
  if (aBytes <= kMaxSettingsBytes) {
    return absl::OkStatus();
  }
  return absl::InvalidArgumentError(absl::StrCat("read settings: ",
                                                 ToAbsl(aFileName),
                                                 " has more than ",
                                                 kMaxSettingsBytes,
                                                 " bytes"));
}

// Collects the faults of one settings file, each as a line with file, line
// number, name and reason.
struct FaultList
{
  std::string_view file;
  std::vector<std::string> faults;

  // aNode is null for a key that the file doesn't have; its line is then 0.
  void AddFault(const toml::node* aNode,
                std::string_view aName,
                std::string_view aReason)
  {
    uint32_t line = aNode == nullptr ? 0 : aNode->source().begin.line;
    this->faults.push_back(absl::StrCat(ToAbsl(this->file),
                                        ":",
                                        line,
                                        ": ",
                                        ToAbsl(aName),
                                        ": ",
                                        ToAbsl(aReason)));
  }
};

std::string
FullName(const SettingKey& aKey)
{
  return absl::StrCat(ToAbsl(aKey.section), ".", ToAbsl(aKey.key));
}

// Checks the form of addresses and endpoints, and refuses the address 0.0.0.0
// and the port 0. Only an endpoint may have the address 0.0.0.0. Other strings
// are always valid.
bool
IsValidText(const SettingKey& aKey, const std::string& aText)
{
  Address address = 0;
  Endpoint endpoint;
  switch (aKey.type) {
    case SettingType::Address:
    case SettingType::Addresses:
      return ParseAddress(aText, address) && address != 0;
    case SettingType::Endpoint:
    case SettingType::Endpoints:
      return ParseEndpoint(aText, endpoint);
    default:
      return true;
  }
}

void
ReadText(FaultList& aFaultList,
         const SettingKey& aKey,
         const toml::node& aNode,
         std::string& aTarget)
{
  std::optional<std::string> text = aNode.value_exact<std::string>();
  if (!text) {
    aFaultList.AddFault(&aNode, FullName(aKey), "must be a string");
  } else if (!IsValidText(aKey, *text)) {
    aFaultList.AddFault(&aNode,
                        FullName(aKey),
                        absl::StrCat("'",
                                     *text,
                                     "' is not of the form ",
                                     aKey.type == SettingType::Address ||
                                         aKey.type == SettingType::Addresses
                                       ? "a.b.c.d"
                                       : "a.b.c.d:port"));
  } else {
    aTarget = *text;
  }
}

// Reads a number, and checks the bounds of the key. An Integer must be written
// without fraction and exponent, so that 1.0 is refused; a Real may also be
// written as an integer.
template<typename N>
void
ReadNumber(FaultList& aFaultList,
           const SettingKey& aKey,
           const toml::node& aNode,
           N& aTarget)
{
  constexpr bool kIsInteger = std::is_same_v<N, int64_t>;
  std::optional<N> value =
    kIsInteger ? aNode.value_exact<N>() : aNode.value<N>();
  if (!value) {
    aFaultList.AddFault(&aNode,
                        FullName(aKey),
                        kIsInteger ? "must be a whole number"
                                   : "must be a number");
    return;
  }
  bool inRange =
    *value >= static_cast<N>(aKey.min) && *value <= static_cast<N>(aKey.max);
  if (!inRange) {
    aFaultList.AddFault(&aNode,
                        FullName(aKey),
                        absl::StrCat(*value,
                                     " is not from ",
                                     aKey.min,
                                     " to ",
                                     aKey.max,
                                     " ",
                                     ToAbsl(aKey.unit)));
    return;
  }
  aTarget = *value;
}

// Reads the value of one key into the member that aSlot points to, as the type
// of that member requires. A required list must not be empty.
void
ReadNode(FaultList& aFaultList,
         const SettingKey& aKey,
         const toml::node& aNode,
         const SettingSlot& aSlot)
{
  if (int64_t* const* integer = std::get_if<int64_t*>(&aSlot)) {
    ReadNumber(aFaultList, aKey, aNode, **integer);
    return;
  }
  if (double* const* real = std::get_if<double*>(&aSlot)) {
    ReadNumber(aFaultList, aKey, aNode, **real);
    return;
  }
  if (std::string* const* text = std::get_if<std::string*>(&aSlot)) {
    ReadText(aFaultList, aKey, aNode, **text);
    return;
  }
  std::vector<std::string>& list = *std::get<std::vector<std::string>*>(aSlot);
  const toml::array* array = aNode.as_array();
  if (array == nullptr || (array->empty() && aKey.required)) {
    aFaultList.AddFault(&aNode,
                        FullName(aKey),
                        aKey.required ? "must be a list with entries"
                                      : "must be a list");
    return;
  }
  for (const toml::node& entry : *array) {
    ReadText(aFaultList, aKey, entry, list.emplace_back());
  }
}

// Lists have no default and stay as they are.
void
SetDefault(const SettingKey& aKey, const SettingSlot& aSlot)
{
  if (int64_t* const* number = std::get_if<int64_t*>(&aSlot)) {
    **number = aKey.defaultNumber;
  } else if (double* const* real = std::get_if<double*>(&aSlot)) {
    **real = static_cast<double>(aKey.defaultNumber);
  } else if (std::string* const* text = std::get_if<std::string*>(&aSlot)) {
    **text = std::string(aKey.defaultText);
  }
}

// Adds a fault for each section and key of the file that no target names, and
// for each value outside a section.
void
FindUnknownKeys(FaultList& aFaultList,
                const toml::table& aRoot,
                std::span<const SettingTarget> aTargets)
{
  auto isKnown = [aTargets](std::string_view aSection, std::string_view aName) {
    return std::any_of(
      aTargets.begin(), aTargets.end(), [&](const SettingTarget& aTarget) {
        return aTarget.key->section == aSection &&
               (aName.empty() || aTarget.key->key == aName);
      });
  };
  for (const auto& entry : aRoot) {
    const toml::key& section = entry.first;
    const toml::node& node = entry.second;
    const toml::table* keys = node.as_table();
    if (!isKnown(section.str(), "") || keys == nullptr) {
      aFaultList.AddFault(
        &node, section.str(), "section is not known, or not a table");
      continue;
    }
    for (const auto& [key, value] : *keys) {
      if (!isKnown(section.str(), key.str())) {
        aFaultList.AddFault(
          &value,
          absl::StrCat(ToAbsl(section.str()), ".", ToAbsl(key.str())),
          "key is not known");
      }
    }
  }
}

}

struct SettingsFile::Document
{
  std::string file;
  toml::table root;
};

absl::StatusOr<SettingsFile>
SettingsFile::Parse(std::string_view aText, std::string_view aFileName)
{
  if (absl::Status status = CheckSize(aText.size(), aFileName); !status.ok()) {
    return status;
  }
  toml::parse_result parsed = toml::parse(aText, aFileName);
  if (!parsed) {
    return absl::InvalidArgumentError(
      absl::StrCat(ToAbsl(aFileName),
                   ":",
                   parsed.error().source().begin.line,
                   ": ",
                   ToAbsl(parsed.error().description())));
  }
  SettingsFile file;
  file.document = std::make_shared<const Document>(
    Document{ std::string(aFileName), std::move(parsed).table() });
  return file;
}

absl::Status
SettingsFile::Fill(std::span<const SettingTarget> aTargets) const
{
  const toml::table& root = this->document->root;
  FaultList faultList{ this->document->file, {} };
  FindUnknownKeys(faultList, root, aTargets);
  for (const SettingTarget& target : aTargets) {
    const SettingKey& key = *target.key;
    SetDefault(key, target.slot);
    const toml::node* node = root[key.section][key.key].node();
    if (node != nullptr) {
      ReadNode(faultList, key, *node, target.slot);
    } else if (key.required) {
      faultList.AddFault(nullptr, FullName(key), "is missing");
    }
  }
  if (!faultList.faults.empty()) {
    return absl::InvalidArgumentError(absl::StrJoin(faultList.faults, "\n"));
  }
  return absl::OkStatus();
}

std::string
SettingsFile::Describe(const SettingFault& aFault) const
{
  FaultList faultList{ this->document->file, {} };
  faultList.AddFault(
    this->document->root[aFault.section][aFault.key].node(),
    absl::StrCat(ToAbsl(aFault.section), ".", ToAbsl(aFault.key)),
    aFault.reason);
  return faultList.faults.front();
}

absl::StatusOr<std::string>
ReadWholeFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return absl::NotFoundError(
      absl::StrCat("read settings: cannot open file ", aPath));
  }
  std::string text(kMaxSettingsBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<size_t>(file.gcount()));
  if (absl::Status status = CheckSize(text.size(), aPath); !status.ok()) {
    return status;
  }
  return text;
}

}
