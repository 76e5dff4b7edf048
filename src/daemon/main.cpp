// Main program of gentianspindled, one instance of the load balancer: starts
// its threads and runs the planned stop.
#include "daemon/control.h"
#include "daemon/link.h"
#include "daemon/log.h"
#include "daemon/metrics.h"
#include "daemon/settings.h"
#include "daemon/watcher.h"
#include "daemon/worker.h"

#include "absl/strings/str_cat.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <thread>

namespace gentianspindle {

namespace {

constexpr int kExitUsage = 2;
constexpr int kExitFailed = 1;
// A planned stop ends when the fabric has sent nothing and no hand-over was in
// progress for kStopQuietTime, and after kMaxStopTime at the latest.
constexpr Micros kStopQuietTime = 2 * kSecond;
constexpr Micros kMaxStopTime = 30 * kSecond;
constexpr std::chrono::milliseconds kStopCheckPeriod{ 100 };

uint64_t
FabricPackets(const Node& aNode)
{
  uint64_t sum = 0;
  for (const auto& counts : aNode.counts) {
    sum += counts->packets[static_cast<size_t>(Path::FabricIn)].load();
  }
  return sum;
}

// Planned stop: leaves the membership, so that other instances own the servers
// of this one and get their flows handed over, and relays packets until the
// fabric sends no more or the time limit is reached. A second signal ends it at
// once.
void
StopGracefully(Node& aNode,
               Sender& aSender,
               const Link& aLink,
               const sigset_t& aSignals)
{
  LogInfo(kLogMain, "A planned stop begins.");
  {
    absl::MutexLock lock(&aNode.control);
    aNode.members.Leave();
  }
  aNode.ApplyMembership(MonotonicNow());
  SendUpdatesNow(aNode, aSender);
  Micros start = MonotonicNow();
  Micros lastPacket = start;
  uint64_t packets = FabricPackets(aNode);
  while (MonotonicNow() - start < kMaxStopTime &&
         MonotonicNow() - lastPacket < kStopQuietTime) {
    timespec wait{ 0, std::chrono::nanoseconds(kStopCheckPeriod).count() };
    if (sigtimedwait(&aSignals, nullptr, &wait) > 0) {
      LogWarn(kLogMain, "A second signal ends the stop at once.");
      return;
    }
    uint64_t seen = FabricPackets(aNode);
    bool busy = seen != packets || aLink.IsHandingOver();
    lastPacket = busy ? MonotonicNow() : lastPacket;
    packets = seen;
  }
  LogInfo(kLogMain,
          "The planned stop ends: no more packets, or time limit reached.");
}

// Runs until SIGTERM or SIGINT; fails if a part of the daemon cannot start.
absl::Status
RunDaemon(const Settings& aSettings)
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  std::unique_ptr<Node> node = Node::Make(aSettings);
  std::vector<Sockets> sockets;
  for (int64_t i = 0; i < aSettings.instance.workers; ++i) {
    absl::StatusOr<Sockets> opened = OpenSockets(aSettings);
    if (!opened.ok()) {
      return opened.status();
    }
    sockets.push_back(*opened);
  }
  // Shared by all threads but the workers.
  ThreadCounts& control = node->AddThreadCounts();
  std::vector<ThreadCounts*> counts;
  for (size_t i = 0; i < sockets.size(); ++i) {
    counts.push_back(&node->AddThreadCounts());
  }
  absl::StatusOr<std::unique_ptr<Metrics>> metrics = Metrics::Make(*node);
  if (!metrics.ok()) {
    return metrics.status();
  }
  std::atomic<bool> stop = false;
  std::vector<std::thread> threads;
  for (size_t i = 0; i < sockets.size(); ++i) {
    threads.emplace_back(
      [&, i] { Worker(*node, sockets[i], *counts[i]).Run(stop); });
  }
  threads.emplace_back([&] { RunTicks(*node, sockets[0], control, stop); });
  absl::StatusOr<std::unique_ptr<Watcher>> watcher =
    Watcher::Make(*node, sockets[0], control);
  absl::StatusOr<std::unique_ptr<Link>> link =
    Link::Make(*node, sockets[0], control);
  if (watcher.ok() && link.ok()) {
    LogInfo(kLogMain,
            absl::StrCat("Instance ",
                         FormatInstance(node->Self()),
                         " has started in zone ",
                         aSettings.instance.zone,
                         "."));
    int signal = 0;
    sigwait(&signals, &signal);
    Sender sender(*node, sockets[0], control);
    StopGracefully(*node, sender, **link, signals);
    link->reset();
    watcher->reset();
  }
  stop = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  for (Sockets& pair : sockets) {
    CloseSockets(pair);
  }
  return watcher.ok() ? link.status() : watcher.status();
}

int
Main(int aCount, char** aArguments)
{
  cxxopts::Options options("gentianspindled",
                           "One instance of the layer-4 load balancer.");
  options.add_options()(
    "settings", "settings file (TOML)", cxxopts::value<std::string>())(
    "check", "check the settings and end")("version", "print the version")(
    "help", "print this help");
  cxxopts::ParseResult arguments;
  try {
    arguments = options.parse(aCount, aArguments);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n" << options.help();
    return kExitUsage;
  }
  if (arguments.count("help") != 0) {
    std::cout << options.help();
    return 0;
  }
  if (arguments.count("version") != 0) {
    std::cout << "gentianspindled " << GENTIANSPINDLE_VERSION << "\n";
    return 0;
  }
  if (arguments.count("settings") == 0) {
    std::cerr << "--settings FILE is missing\n" << options.help();
    return kExitUsage;
  }
  absl::StatusOr<Settings> settings =
    LoadSettings(arguments["settings"].as<std::string>());
  if (!settings.ok()) {
    std::cerr << settings.status().message() << "\n";
    return kExitFailed;
  }
  if (arguments.count("check") != 0) {
    std::cout << "settings are valid\n";
    return 0;
  }
  StartLog(settings->log.level);
  absl::Status status = RunDaemon(*settings);
  if (!status.ok()) {
    LogError(kLogMain, std::string(status.message()));
    return kExitFailed;
  }
  return 0;
}

}

}

int
main(int aCount, char** aArguments)
{
  return gentianspindle::Main(aCount, aArguments);
}
