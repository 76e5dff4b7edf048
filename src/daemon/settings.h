// Reads and checks the settings file of the daemon.
#pragma once

#include "daemon/settings_gen.h"

#include "absl/status/statusor.h"

#include <string>
#include <string_view>

namespace gentianspindle {

// All faults of the file at once, each with line, key and reason.
absl::StatusOr<Settings>
LoadSettings(const std::string& aPath);

absl::StatusOr<Settings>
ParseSettings(std::string_view aText, std::string_view aFile);

}
