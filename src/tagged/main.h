// The program of the tagged transport, for one platform.
#pragma once

#include "tagged/node.h"

#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

namespace gentianspindle::tagged {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

inline int
Fail(const absl::Status& aStatus, int aCode)
{
  std::cerr << "gentianspindled: " << aStatus.message() << std::endl;
  return aCode;
}

template<Platform P>
int
RunProgram(int aCount, char** aWords)
{
  cxxopts::Options options("gentianspindled-tagged",
                           "One instance of the load balancer.");
  const char* variable = std::getenv(P::kSettingsVariable);
  options.add_options()(
    "settings",
    "settings file",
    cxxopts::value<std::string>()->default_value(variable ? variable : ""))(
    "check", "checks the settings and ends")("version", "")("help", "");
  cxxopts::ParseResult words;
  try {
    words = options.parse(aCount, aWords);
  } catch (const std::exception& error) {
    return Fail(absl::InvalidArgumentError(error.what()), kExitUsage);
  }
  if (words.count("help") + words.count("version") > 0) {
    std::cout << (words.count("help") > 0 ? options.help()
                                          : GENTIANSPINDLE_VERSION "\n");
    return 0;
  }
  std::string path = words["settings"].as<std::string>();
  absl::StatusOr<TaggedSettings> settings = LoadTaggedSettings(path);
  if (!settings.ok()) {
    return Fail(settings.status(), kExitUsage);
  }
  if (words.count("check") > 0) {
    return 0;
  }
  BasePtr base(event_base_new());
  if (!base) {
    return Fail(absl::InternalError("start event loop"), kExitFailed);
  }
  absl::StatusOr<std::unique_ptr<Node<P>>> node =
    Node<P>::Make(base.get(), *settings, path);
  if (!node.ok()) {
    return Fail(node.status(), kExitFailed);
  }
  (*node)->Run();
  return 0;
}

}
