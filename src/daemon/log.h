// Log lines of the daemon: short sentences with a fixed prefix per part.
#pragma once

#include <string>
#include <string_view>

namespace gentianspindle {

constexpr std::string_view kLogMain = "main";
constexpr std::string_view kLogTable = "table";
constexpr std::string_view kLogMembers = "members";
constexpr std::string_view kLogHandOver = "hand-over";
constexpr std::string_view kLogStatus = "status";

void
StartLog(const std::string& aLevel);

void
LogInfo(std::string_view aComponent, const std::string& aMessage);
void
LogWarn(std::string_view aComponent, const std::string& aMessage);
void
LogError(std::string_view aComponent, const std::string& aMessage);

}
