// Main program of the tagged transport's daemon, for one platform.
#pragma once

#include "tagged/node.h"

#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

namespace gentianspindle::tagged {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

// Prints aStatus and returns aCode.
inline int
PrintError(const absl::Status& aStatus, int aCode)
{
  std::cerr << "gentianspindled: " << aStatus.message() << std::endl;
  return aCode;
}

// Options of the command line.
struct Arguments
{
  std::string settings; // path of the settings file
  bool checkOnly = false;
  std::string print; // text to print in place of running
};

inline absl::StatusOr<Arguments>
ParseArguments(int aCount,
               char** aArguments,
               const std::string& aDefaultSettings)
{
  // Skips the library if there are no arguments: it compiles regular
  // expressions, which would delay the start of service on an instance with a
  // small share of a processor.
  if (aCount <= 1) {
    return Arguments{ .settings = aDefaultSettings };
  }
  cxxopts::Options options("gentianspindled-tagged",
                           "One instance of the load balancer.");
  options.add_options()(
    "settings",
    "settings file",
    cxxopts::value<std::string>()->default_value(aDefaultSettings))(
    "check", "checks the settings and ends")("version", "")("help", "");
  Arguments arguments;
  try {
    cxxopts::ParseResult parsed = options.parse(aCount, aArguments);
    arguments.settings = parsed["settings"].as<std::string>();
    arguments.checkOnly = parsed.count("check") > 0;
    arguments.print = parsed.count("help") > 0      ? options.help()
                      : parsed.count("version") > 0 ? GENTIANSPINDLE_VERSION
                        "\n"
                                                    : "";
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
  return arguments;
}

// Runs the daemon until its planned stop, then ends the process. Returns the
// exit code if it can't start or has nothing to run.
template<Platform P>
int
RunProgram(int aCount, char** aArguments)
{
  const char* variable = std::getenv(P::kSettingsVariable);
  absl::StatusOr<Arguments> arguments =
    ParseArguments(aCount, aArguments, variable == nullptr ? "" : variable);
  if (!arguments.ok()) {
    return PrintError(arguments.status(), kExitUsage);
  }
  if (!arguments->print.empty()) {
    std::cout << arguments->print;
    return 0;
  }
  absl::StatusOr<TaggedSettings> settings =
    LoadTaggedSettings(arguments->settings);
  if (!settings.ok()) {
    return PrintError(settings.status(), kExitUsage);
  }
  if (arguments->checkOnly) {
    return 0;
  }
  EventBasePtr base(event_base_new());
  if (!base) {
    return PrintError(
      absl::InternalError("start event loop: event_base_new failed"),
      kExitFailed);
  }
  absl::StatusOr<std::unique_ptr<Node<P>>> node =
    Node<P>::Make(base.get(), *settings, arguments->settings);
  if (!node.ok()) {
    return PrintError(node.status(), kExitFailed);
  }
  (*node)->Run();
  node->reset();
  // Skips the destructors of the log library's static objects. With a small
  // share of a processor they may take longer than the grace period, and there
  // is nothing left to do.
  std::quick_exit(0);
}

}
