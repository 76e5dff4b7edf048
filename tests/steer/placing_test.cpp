// Plays loads with servers of different speed, long flows and zones whose
// demand differs, and compares what callers get from flows placed by requests
// with the placing by open flows, and with whole knowledge.
#include "support/tagged_load.h"

#include <catch2/catch.hpp>
#include <cmath>

namespace gentianspindle {

namespace {

using steer::ByRequests;

constexpr double kMeanSpeed = (0.6 + 1.0 + 1.6) / 3;

TaggedLoadResult
RunWith(TaggedLoadOptions aOptions,
        ByRequests aByRequests,
        TaggedPolicy aPolicy = TaggedPolicy::Product)
{
  aOptions.policy = aPolicy;
  aOptions.steering = [=](steer::FlowSteeringOptions& aSteering) {
    aSteering.byRequests = aByRequests;
  };
  TaggedLoadResult result = RunTaggedLoad(aOptions);
  UNSCOPED_INFO("by requests " << static_cast<int>(aByRequests) << ", policy "
                               << static_cast<int>(aPolicy) << ": requests "
                               << result.requestCount << ", in time "
                               << result.ShareWithinTarget() << ", failed "
                               << result.ShareFailed() << ", p99 ms "
                               << result.LatencyAt(0.99) / kMillisecond
                               << ", crossed " << result.crossedZones
                               << ", zones in time " << WorstZone(result)
                               << " to " << BestZone(result));
  return result;
}

// Servers at 0.6, 1.0 and 1.6 of the speed, in turn within each zone.
double
UnevenSlowdown(size_t aServer, size_t aZones)
{
  constexpr double kSpeeds[]{ 0.6, 1.0, 1.6 };
  return 1 / kSpeeds[aServer / aZones % 3];
}

// Returns requests a second that use aShare of the capacity.
double
RateFor(const TaggedLoadOptions& aOptions, double aShare, double aSpeed = 1)
{
  return aShare * static_cast<double>(aOptions.servers * aOptions.slots) *
         aSpeed * kSecond / static_cast<double>(aOptions.work);
}

// Long flows with most of the requests, and urgent requests with a flow each.
TaggedLoadOptions
LongFlowsOnUnevenServers(double aShare)
{
  TaggedLoadOptions options;
  options.zones = 3;
  options.servers = 60;
  options.slots = 2;
  options.queue = 8;
  options.instances = 36;
  options.crossZoneDelay = 500;
  options.work = 30 * kMillisecond;
  options.duration = 12 * kSecond;
  options.slowdown = [](size_t aServer, Micros) {
    return UnevenSlowdown(aServer, 3);
  };
  double longRate = RateFor(options, aShare * 0.72, kMeanSpeed);
  double urgentRate = RateFor(options, aShare * 0.28, kMeanSpeed) * 0.75;
  options.kinds.push_back({ .arrivalRate = [=](Micros) { return longRate; },
                            .work = 30 * kMillisecond,
                            .latencyTarget = 200 * kMillisecond,
                            .longFlows = static_cast<size_t>(longRate) });
  options.kinds.push_back({ .arrivalRate = [=](Micros) { return urgentRate; },
                            .work = 40 * kMillisecond,
                            .latencyTarget = 200 * kMillisecond,
                            .priority = 1 });
  return options;
}

// One flow a request, three zones.
TaggedLoadOptions
ThreeZones(double aShare)
{
  TaggedLoadOptions options;
  options.zones = 3;
  options.servers = 60;
  options.slots = 2;
  options.queue = 8;
  options.instances = 36;
  options.crossZoneDelay = 500;
  options.work = 40 * kMillisecond;
  options.latencyTarget = 200 * kMillisecond;
  options.duration = 12 * kSecond;
  double rate = RateFor(options, aShare);
  options.arrivalRate = [=](Micros) { return rate; };
  return options;
}

}

TEST_CASE("Servers of three speeds at 0.8 of capacity: p99 near that of whole "
          "knowledge")
{
  TaggedLoadOptions options;
  options.servers = 30;
  options.slots = 2;
  options.queue = 8;
  options.work = 20 * kMillisecond;
  options.latencyTarget = 100 * kMillisecond;
  options.duration = 12 * kSecond;
  options.slowdown = [](size_t aServer, Micros) {
    return UnevenSlowdown(aServer, 1);
  };
  double rate = RateFor(options, 0.8, kMeanSpeed);
  options.arrivalRate = [=](Micros) { return rate; };
  TaggedLoadResult placed = RunWith(options, ByRequests::Always);
  TaggedLoadResult whole =
    RunWith(options, ByRequests::Never, TaggedPolicy::LeastWait);
  CHECK(static_cast<double>(placed.LatencyAt(0.99)) <=
        1.2 * static_cast<double>(whole.LatencyAt(0.99)));
}

TEST_CASE("Long flows on servers of three speeds at 0.8 of capacity")
{
  TaggedLoadOptions options = LongFlowsOnUnevenServers(0.8);
  TaggedLoadResult placed = RunWith(options, ByRequests::LongFlows);
  TaggedLoadResult before = RunWith(options, ByRequests::Never);
  TaggedLoadResult whole =
    RunWith(options, ByRequests::Never, TaggedPolicy::LeastWait);
  CHECK(static_cast<double>(placed.LatencyAt(0.99)) <=
        1.2 * static_cast<double>(whole.LatencyAt(0.99)));
  CHECK(placed.ShareWithinTarget() > before.ShareWithinTarget());
  CHECK(placed.ShareFailed() < before.ShareFailed());
}

TEST_CASE("Callers of zones at 2 and 0.5 times their share fare alike")
{
  TaggedLoadOptions options = ThreeZones(0.65);
  options.zoneDemand = [](size_t aZone, Micros) {
    return aZone == 0 ? 2.0 : 0.5;
  };
  TaggedLoadResult placed = RunWith(options, ByRequests::Always);
  CHECK(WorstZone(placed) >= BestZone(placed) - 0.01);
}

TEST_CASE("Nothing crosses while the zone has room")
{
  TaggedLoadResult placed =
    RunWith(LongFlowsOnUnevenServers(0.5), ByRequests::LongFlows);
  CHECK(static_cast<double>(placed.crossedZones) <
        0.01 * static_cast<double>(placed.requestCount));
}

// Zones that take turns at 1.55 of their share would send flows to and fro if
// they followed each other's load.
TEST_CASE("Demand that swings between zones in seconds makes few late")
{
  TaggedLoadOptions options = ThreeZones(0.65);
  options.zoneDemand = [](size_t aZone, Micros aAt) {
    double turn = static_cast<double>(aAt) / (11.0 * kSecond) +
                  static_cast<double>(aZone) / 3;
    return 1 + 0.55 * std::sin(2 * M_PI * turn);
  };
  TaggedLoadResult placed = RunWith(options, ByRequests::Always);
  TaggedLoadResult before = RunWith(options, ByRequests::Never);
  CHECK(WorstZone(placed) >= BestZone(placed) - 0.01);
  CHECK(placed.ShareWithinTarget() > before.ShareWithinTarget());
  CHECK(static_cast<double>(placed.crossedZones) <
        0.15 * static_cast<double>(placed.requestCount));
}

TEST_CASE("Half of the instances end in a burst, and new ones know nothing")
{
  TaggedLoadOptions options = LongFlowsOnUnevenServers(0.8);
  options.instanceUp = [](size_t aInstance, Micros aAt) {
    bool starts = aInstance % 2 == 1;
    return starts ? aAt > 6 * kSecond : aAt < 6 * kSecond || aInstance < 6;
  };
  TaggedLoadResult placed = RunWith(options, ByRequests::LongFlows);
  TaggedLoadResult before = RunWith(options, ByRequests::Never);
  CHECK(placed.ShareWithinTarget() > before.ShareWithinTarget());
  CHECK(placed.ShareFailed() < 0.005);
}

// Until an instance has seen enough flows end after one request, it places them
// by requests.
TEST_CASE("With one flow a request, LongFlows soon changes nothing")
{
  TaggedLoadOptions options = ThreeZones(0.9);
  TaggedLoadResult placed = RunWith(options, ByRequests::LongFlows);
  TaggedLoadResult before = RunWith(options, ByRequests::Never);
  CHECK(placed.ShareWithinTarget() >= before.ShareWithinTarget() - 0.005);
}

}
