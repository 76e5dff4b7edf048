// Reads a TOML settings file into a struct that was generated from a schema,
// and finds all its faults at once.
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

enum class SettingType : uint8_t
{
  String,
  Address,
  Endpoint,
  Endpoints,
  Addresses,
  Integer,
  Real,
};

// Where a value goes.
using SettingSlot =
  std::variant<std::string*, std::vector<std::string>*, int64_t*, double*>;

struct SettingKey
{
  std::string_view section;
  std::string_view key;
  SettingType type;
  bool required;
  std::string_view defaultText;
  int64_t defaultNumber;
  int64_t min;
  int64_t max;
  std::string_view unit;
  std::string_view text;
};

template<typename S>
struct SettingField
{
  SettingKey key;
  SettingSlot (*slot)(S&);
};

struct SettingTarget
{
  const SettingKey* key = nullptr;
  SettingSlot slot;
};

struct SettingFault
{
  std::string_view section;
  std::string_view key;
  std::string_view reason;
};

// A parsed file; says where a key stands.
class SettingsFile
{
public:
  static absl::StatusOr<SettingsFile> Parse(std::string_view aText,
                                            std::string_view aFile);

  // Fills aTargets; defaults where a key is absent.
  absl::Status Fill(std::span<const SettingTarget> aTargets) const;
  // One line with file, line, key and reason.
  std::string Describe(const SettingFault& aFault) const;

private:
  struct Document;
  std::shared_ptr<const Document> document;
};

absl::StatusOr<std::string>
ReadWholeFile(const std::string& aPath);

// aCheck(settings, faults) adds what ranges alone cannot say.
template<typename S, typename Check>
absl::StatusOr<S>
ReadSettings(std::string_view aText,
             std::string_view aFile,
             std::span<const SettingField<S>> aFields,
             Check aCheck)
{
  absl::StatusOr<SettingsFile> file = SettingsFile::Parse(aText, aFile);
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
