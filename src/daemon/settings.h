// Loads and checks the settings file of the daemon.
#pragma once

#include "daemon/settings_gen.h"

#include "absl/status/statusor.h"

#include <string>
#include <string_view>

namespace gentianspindle {

// Fails with all faults of the file at once, each with line, key and reason.
absl::StatusOr<Settings>
LoadSettings(const std::string& aPath);

// The same for aText; aFile is the file name in error texts.
absl::StatusOr<Settings>
ParseSettings(std::string_view aText, std::string_view aFile);

}
