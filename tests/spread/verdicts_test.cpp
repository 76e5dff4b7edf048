// Verdicts on servers, which the instances of a zone tell each other.
#include "spread/spread.h"

#include <catch2/catch.hpp>

namespace gentianspindle {

using namespace spread;

namespace {

constexpr Micros kStart = 1000 * kSecond;

Heartbeat
MakeHeartbeat(const std::string& aZone, bool aReads)
{
  Heartbeat heartbeat;
  heartbeat.zone = aZone;
  heartbeat.reads = aReads;
  heartbeat.storeAnswers = aReads;
  heartbeat.hasView = true;
  return heartbeat;
}

// Returns a follower of zone "a" that knows the reader at address 20, or the
// zone's only instance, which reads the store.
Replicator
MakeReplicator(bool aReads)
{
  ReplicatorOptions options;
  options.self = 10;
  options.zone = "a";
  options.standalone = aReads;
  Replicator replicator(options);
  replicator.OnPeerConfig(1, { 1, 1 });
  replicator.OnPeerServers({ 1, 1 });
  replicator.OnHeartbeat(20, MakeHeartbeat("a", !aReads), kStart);
  replicator.Tick(kStart);
  replicator.TakeHeartbeats(kStart);
  return replicator;
}

}

TEST_CASE("A follower sends a new verdict at once, and a known one not again")
{
  Replicator follower = MakeReplicator(false);
  Micros now = kStart + kMinVerdictGap;
  CHECK(follower.TakeHeartbeats(now).empty());
  Verdict verdict{ 7, 1000, now };
  follower.SetVerdicts(std::span(&verdict, 1), now);
  std::vector<OutgoingHeartbeat> sent = follower.TakeHeartbeats(now);
  REQUIRE(sent.size() == 1);
  REQUIRE(sent[0].heartbeat.verdicts.size() == 1);
  CHECK(sent[0].heartbeat.verdicts[0].server == 7);
  follower.SetVerdicts(std::span(&verdict, 1), now);
  Heartbeat heartbeat = MakeHeartbeat("a", true);
  heartbeat.verdicts = { { 8, 1000, 0 } };
  follower.OnHeartbeat(20, heartbeat, now);
  CHECK(follower.TakeHeartbeats(now + kMinVerdictGap).empty());
}

TEST_CASE("A reader relays its zone's verdicts with their age, while recent")
{
  Replicator reader = MakeReplicator(true);
  REQUIRE(reader.Reads());
  Heartbeat hello = MakeHeartbeat("a", false);
  hello.verdicts = { { 7, 1000, 30 * kMillisecond } };
  Micros now = kStart + kMinVerdictGap;
  reader.OnHeartbeat(20, hello, now);
  CHECK(reader.TakeVerdicts().size() == 1);
  std::vector<OutgoingHeartbeat> sent = reader.TakeHeartbeats(now);
  REQUIRE_FALSE(sent.empty());
  REQUIRE(sent[0].heartbeat.verdicts.size() == 1);
  CHECK(sent[0].heartbeat.verdicts[0].age == 30 * kMillisecond);
  sent = reader.TakeHeartbeats(now + kSentVerdictLifetime);
  REQUIRE_FALSE(sent.empty());
  CHECK(sent[0].heartbeat.verdicts.empty());
}

TEST_CASE("Verdicts of another zone are not heard, and a heartbeat has few")
{
  Replicator reader = MakeReplicator(true);
  Heartbeat other = MakeHeartbeat("b", true);
  other.verdicts = { { 7, 1000, 0 } };
  Micros now = kStart + kMinVerdictGap;
  reader.OnHeartbeat(30, other, now);
  CHECK(reader.TakeVerdicts().empty());
  std::vector<Verdict> many;
  for (steer::ServerId id = 1; id <= 50; ++id) {
    many.push_back({ id, 1000, now - static_cast<Micros>(50 - id) });
  }
  reader.SetVerdicts(many, now);
  std::vector<OutgoingHeartbeat> sent = reader.TakeHeartbeats(now);
  REQUIRE_FALSE(sent.empty());
  REQUIRE(sent[0].heartbeat.verdicts.size() == kMaxVerdicts);
  CHECK(sent[0].heartbeat.verdicts[0].server == 50);
}

}
