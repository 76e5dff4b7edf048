// The daemon's log on standard error: one message a line, after local time,
// level and the name of the component that logs it.
#pragma once

#include <string>
#include <string_view>

namespace gentianspindle {

// Names of the components.
constexpr std::string_view kLogMain = "main";
constexpr std::string_view kLogTable = "table";
constexpr std::string_view kLogMembers = "members";
constexpr std::string_view kLogHandOver = "hand-over";
constexpr std::string_view kLogStatus = "status";

// aLevel is the lowest level that is logged; an unknown one means INFO.
void
StartLog(const std::string& aLevel);

void
LogInfo(std::string_view aComponent, const std::string& aMessage);
void
LogWarn(std::string_view aComponent, const std::string& aMessage);
void
LogError(std::string_view aComponent, const std::string& aMessage);

}
