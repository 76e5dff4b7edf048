// gentianctl reads and changes the shared table, and shows the state of the
// instances from the platform's status objects, in the availability zones that
// the table names.
#include "ctl/verbs.h"

#include "absl/strings/str_join.h"

#include <cxxopts.hpp>
#include <iostream>
#include <unistd.h>

namespace gentianspindle {

namespace {

// Runs the command that the arguments name.
int
Run(const Command& aCommand)
{
  absl::StatusOr<HttpObjects> api = HttpObjects::Make({ aCommand.platform });
  if (!api.ok()) {
    return PrintUnknown(aCommand, api.status());
  }
  const std::vector<std::string>& arguments = aCommand.arguments;
  std::string verb = arguments.size() > 1 ? arguments[1] : "";
  if (arguments[0] == "table" && arguments.size() == 3) {
    if (verb == "get") {
      return RunGet(aCommand, *api);
    }
    if (verb == "check") {
      return RunCheck(aCommand, *api);
    }
    if (verb == "apply") {
      return RunApply(aCommand, *api);
    }
  }
  if (arguments[0] == "table" && verb == "log" && arguments.size() == 2) {
    return RunLog(aCommand, *api);
  }
  if (arguments[0] == "status" && arguments.size() == 1) {
    return RunStatus(aCommand, *api);
  }
  std::cerr << "not a command: " << absl::StrJoin(arguments, " ") << "\n";
  return kExitUsage;
}

int
Main(int aCount, char** aArguments)
{
  cxxopts::Options options(
    "gentianctl", "Reads and changes the shared table, and shows the fleet.");
  options.custom_help("[OPTION...]");
  options.positional_help(
    "table get FILE | table check FILE | table apply FILE | table log | "
    "status");
  options.add_options()(
    "platform",
    "URL of the platform's object API",
    cxxopts::value<std::string>()->default_value("http://127.0.0.1:8080"))(
    "author",
    "who changes the table",
    cxxopts::value<std::string>()->default_value(
      getlogin() == nullptr ? "unknown" : getlogin()))(
    "output",
    "text or json",
    cxxopts::value<std::string>()->default_value("text"))(
    "wait-ms",
    "how long apply waits at most until all instances of the table's zones "
    "have it",
    cxxopts::value<int64_t>()->default_value("10000"))(
    "words", "command", cxxopts::value<std::vector<std::string>>())(
    "version", "print the version")("help", "print this help");
  options.parse_positional({ "words" });
  Command command;
  try {
    cxxopts::ParseResult parsed = options.parse(aCount, aArguments);
    if (parsed.count("help") != 0) {
      std::cout << options.help();
      return kExitDone;
    }
    if (parsed.count("version") != 0) {
      std::cout << "gentianctl " << GENTIANSPINDLE_VERSION << "\n";
      return kExitDone;
    }
    std::string output = parsed["output"].as<std::string>();
    if (parsed.count("words") == 0 || (output != "text" && output != "json")) {
      std::cerr << options.help();
      return kExitUsage;
    }
    command.arguments = parsed["words"].as<std::vector<std::string>>();
    command.platform = parsed["platform"].as<std::string>();
    command.author = parsed["author"].as<std::string>();
    command.json = output == "json";
    command.waitMs = parsed["wait-ms"].as<int64_t>();
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n" << options.help();
    return kExitUsage;
  }
  return Run(command);
}

}

}

int
main(int aCount, char** aArguments)
{
  return gentianspindle::Main(aCount, aArguments);
}
