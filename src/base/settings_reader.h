// Reads a TOML settings file into a struct that is generated from a schema, in
// three stages: the syntax, each key by itself, and the checks of the settings
// as a whole. The first stage with a fault is the last one. The first reports
// one syntax error, the others report all faults that they find.
#pragma once

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace gentianspindle {

// How a setting's value is written and checked. Address and Endpoint are
// strings of the forms a.b.c.d and a.b.c.d:port; the plurals are lists.
enum class SettingType : uint8_t
{
  String,
  Address,
  Endpoint,
  Endpoints,
  Addresses,
  Strings,
  Integer,
  Real,
};

// Pointer to the member of the settings struct that takes a value.
using SettingSlot =
  std::variant<std::string*, std::vector<std::string>*, int64_t*, double*>;

// Describes one key of the schema. Only the defaults and bounds that fit the
// type are used; lists have no default. text is the description of the setting
// for the operator, unit the unit of a number.
struct SettingKey
{
  std::string_view section;
  std::string_view key;
  SettingType type;
  bool required;
  std::string_view defaultText;
  // For numbers; the default and the bounds of a Real are whole numbers, too.
  // The range includes min and max.
  int64_t defaultNumber;
  int64_t min;
  int64_t max;
  std::string_view unit;
  std::string_view text;
};

// A key and the function that returns its member in the struct S.
template<typename S>
struct SettingField
{
  SettingKey key;
  SettingSlot (*slot)(S&);
};

// A key and its member in one settings object.
struct SettingTarget
{
  const SettingKey* key = nullptr;
  SettingSlot slot;
};

// A fault that a check of the settings as a whole found; it is reported at the
// line of this key.
struct SettingFault
{
  std::string_view section;
  std::string_view key;
  std::string_view reason;
};

// A parsed settings file, which knows the line of each key.
class SettingsFile
{
public:
  // Parses the content of a file. aFileName is its name in messages.
  static absl::StatusOr<SettingsFile> Parse(std::string_view aText,
                                            std::string_view aFileName);

  // Fills aTargets, with defaults for absent keys; an absent list stays as it
  // is. An error lists all unknown keys and faults of single keys, one a line.
  absl::Status Fill(std::span<const SettingTarget> aTargets) const;
  // Formats a fault as one line with file, line, key and reason. The line is 0
  // if the file does not have the key.
  std::string Describe(const SettingFault& aFault) const;

private:
  struct Document;
  std::shared_ptr<const Document> document;
};

absl::StatusOr<std::string>
ReadWholeFile(const std::string& aPath);

// Parses aText into an S. aFileName is the name of the file in messages.
// aCheck(settings, faults) adds the faults that the type and range of a single
// key can't express, such as two keys that exclude each other; it runs only if
// each key is valid.
template<typename S, typename Check>
absl::StatusOr<S>
ReadSettings(std::string_view aText,
             std::string_view aFileName,
             std::span<const SettingField<S>> aFields,
             Check aCheck)
{
  absl::StatusOr<SettingsFile> file = SettingsFile::Parse(aText, aFileName);
  if (!file.ok()) {
    return file.status();
  }
  S settings;
  std::vector<SettingTarget> targets;
  for (const SettingField<S>& field : aFields) {
    targets.push_back({ &field.key, field.slot(settings) });
  }
  if (absl::Status status = file->Fill(targets); !status.ok()) {
    return status;
  }
  std::vector<SettingFault> faults;
  aCheck(settings, faults);
  std::string text;
  for (const SettingFault& fault : faults) {
    text += (text.empty() ? "" : "\n") + file->Describe(fault);
  }
  if (!text.empty()) {
    return absl::InvalidArgumentError(text);
  }
  return settings;
}

}
