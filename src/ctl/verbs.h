// The verbs of gentianctl. Each prints its result and returns an exit code.
#pragma once

#include "store/store.h"

#include <string>
#include <vector>

namespace gentianspindle {

// Exit codes.
constexpr int kExitDone = 0;
constexpr int kExitRefused = 1;
constexpr int kExitUsage = 2;
// A call to the platform failed or returned an object that can't be decoded. A
// change of the table may have taken effect if its id is printed, unless the
// text says that it did not.
constexpr int kExitUnknown = 3;

// The parsed command line.
struct Command
{
  std::vector<std::string> arguments;
  std::string platform;
  std::string author;
  bool json = false;
  int64_t waitMs = 0;
};

// Prints that the outcome of a command is not known, and returns kExitUnknown.
int
PrintUnknown(const Command& aCommand, const absl::Status& aStatus);

int
RunGet(const Command& aCommand, HttpObjects& aApi);
int
RunCheck(const Command& aCommand, HttpObjects& aApi);
int
RunApply(const Command& aCommand, HttpObjects& aApi);
int
RunLog(const Command& aCommand, HttpObjects& aApi);
int
RunStatus(const Command& aCommand, HttpObjects& aApi);

}
