// Loads and checks the settings file of the daemon.
#pragma once

#include "daemon/settings_gen.h"

#include "absl/status/statusor.h"

#include <string>
#include <string_view>

namespace gentianspindle {

// Fails if the file cannot be read or has faults. Of faults, the error has
// one a line, with file, line, key and reason: the first syntax error, which
// has no key; or else all faults against the schema; or else all other faults.
absl::StatusOr<Settings>
LoadSettings(const std::string& aPath);

// The same for aText; aFile is the file name in error texts.
absl::StatusOr<Settings>
ParseSettings(std::string_view aText, std::string_view aFile);

}
