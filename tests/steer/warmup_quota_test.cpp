// The bound on new flows of a server in its warm-up, at one instance.
#include "steer/steer.h"
#include "support/tagged_view.h"

#include <catch2/catch.hpp>
#include <limits>

namespace gentianspindle::steer {

namespace {

constexpr Address kSelf = 10;
constexpr Address kOther = 20;

// Returns the steering of an instance with one server, in its warm-up.
FlowSteering
MakeSteering(double aQuota, WarmupQuotaOptions aOptions = {})
{
  FlowSteering steering({ .warmupQuota = aOptions });
  Config config = MakeConfig(1);
  config.services.push_back({ "web", aQuota });
  steering.CurrentView().PutConfig(config);
  ServerChange server = MakeServer(1);
  server.entry->warmupLeft = 10 * kSecond;
  steering.CurrentView().PutServers({ &server, 1 }, kSecond);
  steering.Tick(kSecond);
  return steering;
}

Decision
Open(FlowSteering& aSteering, uint16_t aPort, Micros aNow)
{
  Packet packet{ .flow = { { 0x64400001, aPort }, kWebTarget },
                 .seq = static_cast<uint32_t>(aNow),
                 .syn = true };
  return aSteering.OnPacket(packet, true, aNow);
}

// Openings in the second from aFrom, with one flow each millisecond.
size_t
OpeningsInASecond(FlowSteering& aSteering, Micros aFrom)
{
  size_t openings = 0;
  for (uint16_t i = 0; i < 1000; ++i) {
    Decision decision = Open(aSteering, i, aFrom + i * kMillisecond);
    openings += decision.action == Action::Forward ? 1 : 0;
  }
  return openings;
}

}

TEST_CASE("A lone instance gives a cold server its quota, and refuses the rest")
{
  FlowSteering steering = MakeSteering(5);
  steering.SetQuotaHolders({ .standalone = true });
  CHECK(OpeningsInASecond(steering, 2 * kSecond) == 5);
  CHECK(steering.Counts().keptFromWarmup == 995);
  Decision decision = Open(steering, 2000, 3 * kSecond);
  CHECK(decision.action == Action::Reset);
  CHECK(decision.reason == Reason::WarmupQuota);
  // After the warm-up there is no bound.
  CHECK(OpeningsInASecond(steering, 12 * kSecond) == 1000);
}

// Guards against slots that nobody uses, as another writer's entry has a zone
// of its own.
TEST_CASE("An entry of a service without a route brings no zone of holders")
{
  FlowSteering steering = MakeSteering(5);
  for (ServerId id = 100; id < 120; ++id) {
    ServerChange other = MakeServer(id, "metrics", id);
    other.entry->zone = "zone-" + std::to_string(id);
    steering.CurrentView().PutServer(other, kSecond);
  }
  steering.Tick(kSecond);
  steering.SetQuotaHolders(
    { .self = kSelf, .zone = "a", .zones = { "a" }, .lists = { { kSelf } } },
    9 * kSecond);
  CHECK(OpeningsInASecond(steering, 2 * kSecond) == 5);
}

TEST_CASE("Overage and slack raise what a small quota gives in a second")
{
  FlowSteering plain = MakeSteering(0.5);
  plain.SetQuotaHolders({ .standalone = true });
  CHECK(OpeningsInASecond(plain, 2 * kSecond) == 0);
  FlowSteering slack = MakeSteering(0.5, { .overage = 1.5, .slack = 5 });
  slack.SetQuotaHolders({ .standalone = true });
  CHECK(OpeningsInASecond(slack, 2 * kSecond) == 1);
}

// Guards against a process that was stopped, and places flows before it hears
// that its slots have gone to another instance.
TEST_CASE("Slots end with the time up to which their holders are known")
{
  const QuotaHolders holders{
    .self = kSelf, .zone = "a", .zones = { "a" }, .lists = { { kSelf } }
  };
  FlowSteering steering = MakeSteering(5);
  steering.SetQuotaHolders(holders, 3 * kSecond);
  CHECK(Open(steering, 1, 3 * kSecond - 1).action == Action::Forward);
  CHECK(Open(steering, 2, 4 * kSecond).reason == Reason::WarmupQuota);
  steering.SetQuotaHolders(holders, 5 * kSecond);
  CHECK(Open(steering, 3, 4 * kSecond).action == Action::Forward);
}

TEST_CASE("A quota that is no positive number is no bound")
{
  double quota = GENERATE(0.0,
                          -1.0,
                          std::numeric_limits<double>::quiet_NaN(),
                          std::numeric_limits<double>::infinity());
  FlowSteering steering = MakeSteering(quota);
  CHECK(OpeningsInASecond(steering, 2 * kSecond) == 1000);
}

TEST_CASE("The holders of two lists share the slots, and keep what both give")
{
  QuotaHolders self{ .self = kSelf, .zone = "a", .zones = { "a" } };
  QuotaHolders other = self;
  other.self = kOther;
  FlowSteering first = MakeSteering(200);
  FlowSteering second = MakeSteering(200);
  // Without a list an instance has no slot.
  first.SetQuotaHolders(self);
  CHECK(OpeningsInASecond(first, 2 * kSecond) == 0);
  self.lists = { { kSelf, kOther } };
  other.lists = { { kSelf, kOther } };
  first.SetQuotaHolders(self);
  second.SetQuotaHolders(other);
  size_t own = OpeningsInASecond(first, 4 * kSecond);
  size_t others = OpeningsInASecond(second, 4 * kSecond);
  CHECK(own + others == 200);
  CHECK(own > 60);
  CHECK(others > 60);
  self.lists.push_back({ kSelf });
  first.SetQuotaHolders(self);
  CHECK(OpeningsInASecond(first, 6 * kSecond) == own);
}

}
