// Case: an instance freezes for a moment while clients open flows through it.
#include "ends.h"

#include <algorithm>

using namespace rig;

namespace {

// Bounds of inzira-grocer-grown, and the idle timeout of the configuration.
constexpr Ms kStableWindow = 5000; // stable_window_ms
constexpr Ms kReorder = 2000;      // reorder_ms
constexpr Ms kIdleTimeout = 15000; // idle_timeout_ms
constexpr Ms kFreezeAt = 3000;

// The two cases with a freeze.
struct Variant
{
  Ms freezeFor;
  Ms pauseFrom, pauseTo; // between the requests of a flow
  Ms end;
  // Only flows count that were open before the instance woke.
  bool openBeforeWake;
};
// Too short for the routers to notice.
constexpr Variant kShort{ 1000, 6000, 8000, 30000, false };
// Long enough for the flows to be opened through another instance.
constexpr Variant kLong{ 4000, 9000, 11000, 36000, true };

// FLOW (b): for reorder_ms three or more packets of an open flow reach other
// hosts and none its own. Only spans from aFrom on are looked at.
const FlowStory::Arrival*
Strayed(const FlowStory& story, Ms from)
{
  for (size_t i = 0; i < story.arrivals.size(); ++i) {
    const FlowStory::Arrival& first = story.arrivals[i];
    if (first.host == story.host || first.at < from ||
        first.at < story.openedAt ||
        (i > 0 && first.at - story.arrivals[i - 1].at > kIdleTimeout)) {
      continue;
    }
    int others = 0;
    bool own = false;
    for (size_t j = i; j < story.arrivals.size() &&
                       story.arrivals[j].at <= first.at + kReorder;
         ++j) {
      own = own || story.arrivals[j].host == story.host;
      others += story.arrivals[j].host != story.host ? 1 : 0;
    }
    if (!own && others >= 3) {
      return &first;
    }
  }
  return nullptr;
}

int
Play(Record& record, const Variant& variant)
{
  const char* trouble = std::getenv("TROUBLE");
  bool disrupt = trouble == nullptr || std::string(trouble) != "0";

  Deployment deployment;
  deployment.packetPort = FreePort();
  deployment.readyPort = FreePort();
  deployment.controlPort = FreePort();
  deployment.peerPort = FreePort();
  deployment.store = { Loopback(200), FreePort() };
  deployment.seeds = {
    Text(Endpoint{ Loopback(10), deployment.controlPort }),
  };
  // Its threads run until the process ends.
  Store& store = *new Store(deployment.store);
  Endpoint route{ Loopback(150), 443 };
  store.Put(
    "config",
    "main",
    "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"" +
      Text(route.address) +
      "\",\"path_prefix\":\"/443/"
      "\",\"type\":\"idempotent\",\"timeout_ms\":4000,"
      "\"slo_ms\":500,\"priority\":1,\"service\":\"orders\",\"max_attempts\":2}"
      "],\"services\":[{\"name\":\"orders\",\"health_path\":\"/health\","
      "\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
      "\"idle_timeout_ms\":15000}}");
  Fleet fleet(deployment, record);
  World world;
  world.fleet = &fleet;
  world.store = &store;
  world.record = &record;
  for (int i = 0; i < 4; ++i) {
    world.hosts.emplace_back(world,
                             i,
                             0x7f3a91c0 + i,
                             Endpoint{ Loopback(100 + i), FreePort() },
                             "orders");
    world.hosts.back().Register(false);
  }
  fleet.Add("frontend-jkt-1", "jkt", Loopback(10));
  fleet.Add("frontend-jkt-2", "jkt", Loopback(11));
  if (!fleet.WaitReady(10000)) {
    CannotRun("the instances are not ready");
  }
  world.clients.emplace_back(
    world, Endpoint{ Loopback(180), deployment.packetPort }, route, "jkt");

  Ms start = Now();
  Ms nextFlow = start;
  bool frozen = false;
  bool woken = false;
  Ms wakeAt = 0;
  ClientOptions options;
  options.pauseFrom = variant.pauseFrom;
  options.pauseTo = variant.pauseTo;
  options.requests = 3;
  world.Run(start + variant.end, [&] {
    Ms at = Now() - start;
    if (at < 8000 && Now() >= nextFlow) {
      nextFlow += 50;
      world.clients[0].Open(options);
    }
    if (disrupt && !frozen && at >= kFreezeAt) {
      frozen = true;
      fleet.Signal(fleet.instances[0], SIGSTOP);
    }
    if (frozen && !woken && at >= kFreezeAt + variant.freezeFor) {
      woken = true;
      wakeAt = Now();
      fleet.Signal(fleet.instances[0], SIGCONT);
    }
  });

  int opened = 0;
  int answered = 0;
  int unanswered = 0;
  int doubled = 0;
  int broken = 0;
  int resets = 0;
  for (const FlowStory& story : world.stories) {
    opened += story.host >= 0 ? 1 : 0;
    doubled += story.openingAt.size() > 1 ? 1 : 0;
    resets += story.resetAt >= 0 ? 1 : 0;
    for (const FlowStory::Request& request : story.requests) {
      answered += request.answeredAt >= 0 ? 1 : 0;
      unanswered += request.gaveUpAt >= 0 ? 1 : 0;
    }
    bool counts = story.host >= 0 && (!disrupt || !variant.openBeforeWake ||
                                      story.openedAt < wakeAt);
    // All machines are in touch stable_window_ms after the end of the freeze.
    const FlowStory::Arrival* strayed =
      counts ? Strayed(story, disrupt ? wakeAt + kStableWindow : 0) : nullptr;
    if (strayed != nullptr) {
      ++broken;
      std::ostringstream line;
      line << "FLOW (b) broken: flow " << story.number << " is open at "
           << world.hosts[story.host].Name() << " since "
           << static_cast<long>(story.openedAt) << " ms, but from "
           << static_cast<long>(strayed->at) << " ms on its packets reach "
           << world.hosts[strayed->host].Name() << " through "
           << strayed->through;
      record.Line(line.str());
    }
  }
  std::ostringstream summary;
  summary << "flows opened " << opened << ", opening packet at several hosts "
          << doubled << ", requests answered " << answered
          << ", never answered " << unanswered << ", resets " << resets
          << ", flows with FLOW (b) broken " << broken;
  record.Line(summary.str());
  std::cout << summary.str() << std::endl;
  if (opened < 50 || (!disrupt && unanswered > 0)) {
    return kCannotRun;
  }
  return broken > 0 ? kBroken : kHeld;
}

}

int
main(int, char** arguments)
{
  const Variant& variant = std::string(arguments[2]) == "long" ? kLong : kShort;
  RunCase(arguments[1], [&](Record& record) { return Play(record, variant); });
}
