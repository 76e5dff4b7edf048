// Repeated opening packets at an instance that has no record of their flows:
// what it asks other instances, and what it does with their replies.
#include "support/steering_fixture.h"

#include <catch2/catch.hpp>

namespace gentianspindle {

using namespace steer;

namespace {

constexpr uint16_t kPort = 7000;
constexpr Address kFirstPeer = 1;
constexpr Address kSecondPeer = 2;

// An instance with two peers, that got the second opening packet of a flow.
struct QueryFixture : SteeringFixture
{
  OpeningQuery query;

  explicit QueryFixture()
  {
    this->steer.SetOpeningPeers({ kFirstPeer, kSecondPeer }, true);
    Decision decision = this->Open(kPort, 0, 1);
    CHECK(decision.action == Action::Hold);
    CHECK(decision.reason == Reason::Queried);
    std::vector<OutgoingOpeningQuery> queries =
      this->steer.TakeOpeningQueries();
    REQUIRE(queries.size() == 1);
    CHECK(queries[0].to == std::vector<Address>{ kFirstPeer, kSecondPeer });
    this->query = queries[0].query;
  }

  void Reply(Address aFrom, OpeningReply aReply)
  {
    aReply.query = this->query;
    this->steer.OnOpeningReply(aFrom, aReply, this->now);
  }

  OpeningReply SentTo(ServerId aServer) const
  {
    const ServerEntry& entry =
      this->steer.CurrentView().At(this->IndexOf(aServer)).entry;
    return { .state = OpeningState::Sent,
             .server = entry.id,
             .startedAt = entry.startedAt };
  }
};

}

TEST_CASE("A flow that no instance has sent to a server is placed")
{
  QueryFixture fixture;
  fixture.Reply(kFirstPeer, { .state = OpeningState::NotSent });
  CHECK_FALSE(fixture.steer.Release(fixture.now));
  // The same peer again is no second one.
  fixture.Reply(kFirstPeer, { .state = OpeningState::NotSent });
  CHECK_FALSE(fixture.steer.Release(fixture.now));
  fixture.Reply(kSecondPeer, { .state = OpeningState::NotSent });
  auto released = fixture.steer.Release(fixture.now);
  REQUIRE(released);
  CHECK(released->decision.reason == Reason::Placed);
  CHECK(released->packet.retransmissions == 1);
  CHECK_FALSE(fixture.steer.Release(fixture.now));
}

TEST_CASE("A flow that a peer has sent to a server goes there")
{
  QueryFixture fixture;
  fixture.Reply(kSecondPeer, fixture.SentTo(3));
  auto released = fixture.steer.Release(fixture.now);
  REQUIRE(released);
  CHECK(released->decision.action == Action::Forward);
  CHECK(released->decision.reason == Reason::Repeated);
  CHECK(released->decision.server == fixture.IndexOf(3));
  fixture.now += 10 * kMillisecond;
  CHECK(fixture.Open(kPort, 0, 2).server == fixture.IndexOf(3));
  CHECK(fixture.SendData(kPort, TagOf(3)).server == fixture.IndexOf(3));
  fixture.SendFin(kPort, TagOf(3));
  CHECK(fixture.steer.HealthOf(fixture.IndexOf(3)).open == 0);
  CHECK(fixture.steer.HealthOf(fixture.IndexOf(3)).opening == 0);
}

TEST_CASE("A flow is refused if its server is gone or nobody knows it")
{
  std::string answer =
    GENERATE("draining", "restarted", "other service", "unknown", "silent");
  INFO(answer);
  QueryFixture fixture;
  ServerChange change = MakeServer(3, "web", 2);
  change.entry->draining = answer == "draining";
  change.entry->startedAt += answer == "restarted" ? 1 : 0;
  change.entry->service = answer == "other service" ? "archive" : "web";
  OpeningReply sent = fixture.SentTo(3);
  fixture.steer.CurrentView().PutServer(change, fixture.now);
  fixture.Reply(kFirstPeer, { .state = OpeningState::NotSent });
  if (answer == "silent") {
    CHECK_FALSE(fixture.steer.Release(fixture.now + kQueryTimeout - 1));
    fixture.now += kQueryTimeout;
  } else if (answer == "unknown") {
    fixture.Reply(kSecondPeer, { .state = OpeningState::Unknown });
  } else {
    fixture.Reply(kSecondPeer, sent);
  }
  auto released = fixture.steer.Release(fixture.now);
  REQUIRE(released);
  CHECK(released->decision.action == Action::Reset);
  bool noReply = answer == "unknown" || answer == "silent";
  CHECK(released->decision.reason ==
        (noReply ? Reason::Unconfirmed : Reason::ServerUnusable));
  for (ServerIndex server : { 0, 1, 2 }) {
    CHECK(fixture.steer.HealthOf(server).open == 0);
  }
}

TEST_CASE(
  "A process that doesn't know what came before it asks and says nothing")
{
  SteeringFixture fixture;
  bool paused = GENERATE(false, true);
  fixture.steer.SetOpeningPeers({ kFirstPeer }, true);
  if (paused) {
    fixture.steer.OnProcessPause(fixture.now);
  } else {
    fixture.steer.OnProcessStart(fixture.now);
  }
  fixture.now += kOpeningMemory - 1;
  CHECK(fixture.Open(kPort, 0, 1).reason == Reason::Unconfirmed);
  CHECK(fixture.Open(kPort + 1).reason == Reason::Placed);
  Packet packet = SteeringFixture::MakePacket(kPort + 2);
  OpeningQuery query{ packet.flow, packet.seq, 1 };
  // A paused process still knows what it has sent.
  CHECK(fixture.steer.OnOpeningQuery(query, fixture.now).state ==
        (paused ? OpeningState::NotSent : OpeningState::Unknown));
  fixture.now += 1;
  CHECK(fixture.Open(kPort, 0, 1).reason == Reason::Queried);
}

// Guards against an instance that is not asked, as only the zone's reader knows
// it.
TEST_CASE("Without its zone known an instance relies on a reply that knows it")
{
  std::string known = GENERATE("nothing", "the peers", "one more");
  INFO(known);
  SteeringFixture fixture;
  fixture.steer.SetOpeningPeers({ kFirstPeer, kSecondPeer }, false);
  CHECK(fixture.Open(kPort, 0, 1).reason == Reason::Queried);
  OpeningReply reply{ .query = fixture.steer.TakeOpeningQueries()[0].query,
                      .state = OpeningState::NotSent };
  if (known != "nothing") {
    reply.zone = { kSecondPeer };
  }
  if (known == "one more") {
    reply.zone->push_back(kSecondPeer + 1);
  }
  fixture.steer.OnOpeningReply(kFirstPeer, reply, fixture.now);
  reply.zone.reset();
  fixture.steer.OnOpeningReply(kSecondPeer, reply, fixture.now);
  auto released = fixture.steer.Release(fixture.now);
  REQUIRE(released);
  CHECK(released->decision.reason ==
        (known == "the peers" ? Reason::Placed : Reason::Unconfirmed));
}

TEST_CASE("An instance without peers refuses unless it knows that it is alone")
{
  SteeringFixture fixture;
  fixture.steer.SetOpeningPeers({}, false);
  CHECK(fixture.Open(kPort, 0, 1).reason == Reason::Unconfirmed);
  fixture.steer.SetOpeningPeers({}, true);
  CHECK(fixture.Open(kPort, 0, 1).reason == Reason::Placed);
}

// Guards against a second server for the flow: the peer that was told "not
// sent" places it, and then the first packet comes here after all.
TEST_CASE("After the reply that it sent none an instance sends none")
{
  SteeringFixture fixture;
  Packet packet = SteeringFixture::MakePacket(kPort);
  OpeningQuery query{ packet.flow, packet.seq, 1 };
  CHECK(fixture.steer.OnOpeningQuery(query, fixture.now).state ==
        OpeningState::NotSent);
  for (uint32_t retransmissions : { 0, 1 }) {
    Decision late = fixture.Open(kPort, 0, retransmissions);
    CHECK(late.action == Action::Drop);
    CHECK(late.reason == Reason::OutOfDate);
  }
  // The caller's next packet may come here, and its flow be asked about.
  fixture.steer.SetOpeningPeers({ kFirstPeer }, true);
  CHECK(fixture.Open(kPort, 0, 2).reason == Reason::Queried);
  CHECK(fixture.steer.OnOpeningQuery(query, fixture.now).state ==
        OpeningState::Unknown);
}

TEST_CASE("An instance tells its peers where it sent an opening packet")
{
  SteeringFixture fixture;
  Decision placed = fixture.Open(kPort);
  Packet packet = SteeringFixture::MakePacket(kPort);
  OpeningReply reply =
    fixture.steer.OnOpeningQuery({ packet.flow, packet.seq, 1 }, fixture.now);
  CHECK(reply.state == OpeningState::Sent);
  CHECK(reply.server == placed.server + 1);
  CHECK(reply.startedAt == 1000);
  // Another flow with the same ends may be open there.
  CHECK(fixture.steer
          .OnOpeningQuery({ packet.flow, packet.seq + 5, 1 }, fixture.now)
          .state == OpeningState::Unknown);
}

TEST_CASE("Queries are bounded, and flows beyond the bound are refused")
{
  SteeringFixture fixture;
  std::vector<Address> peers;
  for (Address peer = 1; peer <= 100; ++peer) {
    peers.push_back(peer);
  }
  fixture.steer.SetOpeningPeers(peers, true);
  auto count = [&fixture](uint16_t aFirstPort) {
    int asked = 0;
    for (uint16_t i = 0; i < 20; ++i) {
      Decision decision = fixture.Open(aFirstPort + i, 0, 1);
      asked += decision.reason == Reason::Queried ? 1 : 0;
      CHECK((decision.reason == Reason::Queried ||
             decision.reason == Reason::Unconfirmed));
    }
    return asked;
  };
  CHECK(count(7000) == 10);
  fixture.now += 10 * kSecond;
  CHECK(count(8000) == 2);
}

}
