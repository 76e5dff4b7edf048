// Shares of a service's room, and what becomes of openings that find none.
#include "support/steering_fixture.h"

#include <catch2/catch.hpp>
#include <numeric>

namespace gentianspindle {

using namespace steer;

TEST_CASE("Shares add up to the room, and the urgent get theirs first")
{
  std::vector<RouteNeed> needs{ { 2, 6 }, { 1, 4 }, { 3, 2 } };
  std::vector<double> shares = DivideRoom(8, 0.1, needs);
  CHECK(std::accumulate(shares.begin(), shares.end(), 0.0) == Approx(8));
  CHECK(shares[1] == Approx(kShareMargin * 4));
  CHECK(shares[0] < kShareMargin * 6);
  // The least urgent has its least share.
  CHECK(shares[2] == Approx(8 * 0.1 / 3));
}

TEST_CASE("Room that is not needed goes to all routes by what they need")
{
  std::vector<RouteNeed> needs{ { 1, 1 }, { 2, 3 } };
  std::vector<double> shares = DivideRoom(20, 0.1, needs);
  CHECK(shares[0] + shares[1] == Approx(20));
  CHECK(shares[1] > 2 * shares[0]);
  std::vector<RouteNeed> unknown{ { 1, 0 }, { 2, 0 } };
  CHECK(DivideRoom(4, 0.1, unknown) == std::vector<double>{ 2, 2 });
}

TEST_CASE("A route below its least share goes first, then the most urgent one "
          "below its share")
{
  RouteTurn urgent{ .priority = 1, .used = 1, .least = 0.1, .share = 2 };
  RouteTurn starving{ .priority = 3, .used = 0.05, .least = 0.1, .share = 1 };
  RouteTurn burst{ .priority = 1, .used = 4, .least = 0.1, .share = 2 };
  RouteTurn feed{ .priority = 2, .used = 1, .least = 0.1, .share = 2 };
  CHECK(GoesBefore(starving, urgent));
  CHECK(GoesBefore(urgent, feed));
  CHECK(GoesBefore(feed, burst));
  CHECK_FALSE(GoesBefore(burst, burst));
}

namespace {

constexpr Micros kTarget = 400 * kMillisecond;

// Returns the room of a route whose answers take 100 ms.
void
Learn(RouteRoom& aRoom)
{
  aRoom.latencyTarget = kTarget;
  for (int i = 0; i < 100; ++i) {
    aRoom.answer.Add(100 * kMillisecond, 90 * kMillisecond);
  }
}

}

TEST_CASE("An opening is held for a quarter of its target, and refused at once "
          "if that is not enough")
{
  using Answer = HoldAdvice::Answer;
  RouteRoom room;
  Learn(room);
  Packet packet;
  HoldAdvice held = AdviseHold(room, packet, 50 * kMillisecond, kStart);
  CHECK(held.answer == Answer::Hold);
  CHECK(held.until == kStart + kTarget / kHoldDivisor);
  CHECK(AdviseHold(room, packet, kTarget / 2, kStart).answer ==
        Answer::ShareFull);
  CHECK(AdviseHold(room, packet, kTarget, kStart).answer == Answer::TooLate);
  // Its caller sent it first 600 ms ago.
  packet.retransmissions = 2;
  CHECK(AdviseHold(room, packet, 0, kStart).answer == Answer::TooLate);
}

TEST_CASE("Nothing is held past the moment from which it can't be answered in "
          "time")
{
  RouteRoom room;
  Learn(room);
  Packet packet;
  for (Micros queued = 0; queued < kTarget; queued += 10 * kMillisecond) {
    packet.queueTime = queued;
    HoldAdvice advice = AdviseHold(room, packet, 0, kStart);
    if (advice.answer == HoldAdvice::Answer::Hold) {
      CHECK(advice.until - kStart + queued + room.answer.Quantile() <= kTarget);
    }
  }
}

// The process was paused between the handshake and its answer.
TEST_CASE("A handshake that was seen late makes no request look rejected")
{
  AnswerTime answer;
  for (int i = 0; i < 100; ++i) {
    answer.AddHandshake(i % 10 == 0 ? 80 * kMillisecond : 6 * kMillisecond);
    answer.Add(40 * kMillisecond, answer.AtServer(26 * kMillisecond));
  }
  answer.AddHandshake(80 * kMillisecond);
  CHECK_FALSE(answer.IsRejection(answer.AtServer(26 * kMillisecond)));
  CHECK(answer.IsRejection(answer.AtServer(7 * kMillisecond)));
}

TEST_CASE("A request that a server hardly worked on counts as rejected, until "
          "that is usual")
{
  AnswerTime answer;
  for (int i = 0; i < 100; ++i) {
    answer.Add(100 * kMillisecond, 90 * kMillisecond);
  }
  CHECK(answer.IsRejection(kMillisecond));
  CHECK_FALSE(answer.IsRejection(60 * kMillisecond));
  int rejections = 0;
  while (answer.IsRejection(10 * kMillisecond) && rejections < 10000) {
    answer.AddRejection(10 * kMillisecond);
    ++rejections;
  }
  CHECK(rejections < 1000);
}

namespace {

constexpr Endpoint kFeedTarget{ kWebTarget.address, 9443 };

// Routes of two priorities to the service "web".
Config
TwoRoutes(int64_t aVersion)
{
  Config config = MakeConfig(aVersion);
  for (RouteEntry& route : config.routes) {
    route.priority = 1;
    route.latencyTarget = kTarget;
  }
  RouteEntry feed = config.routes.front();
  feed.name = "feed";
  feed.endpoint = kFeedTarget;
  feed.priority = 2;
  config.routes.push_back(feed);
  return config;
}

// One instance at its limit: its servers answered in 100 ms before, and now
// reject all requests.
struct FullService : SteeringFixture
{
  uint16_t port = 7000;

  FullService()
  {
    FlowSteeringOptions options{ .placer = { .zone = "a" } };
    options.shares.mode = ShareMode::Always;
    this->steer = FlowSteering(options);
    View& view = this->steer.CurrentView();
    view.PutConfig(TwoRoutes(1));
    std::vector<ServerChange> list{ MakeServer(1), MakeServer(2) };
    view.PutServers(list, this->now);
    for (int i = 0; i < 100; ++i) {
      this->Ask(kWebTarget, 100 * kMillisecond);
      this->Ask(kFeedTarget, 100 * kMillisecond);
    }
    for (int i = 0; i < 20; ++i) {
      this->Ask(kFeedTarget, 0);
    }
    REQUIRE(this->steer.LimitOf("web")->IsLimiting());
  }

  Decision Open(Endpoint aTarget)
  {
    Packet packet = MakePacket(++this->port, aTarget);
    packet.syn = true;
    return this->steer.OnPacket(packet, true, this->now);
  }

  // Opens a flow whose first request is answered after aAnswer.
  void Ask(Endpoint aTarget, Micros aAnswer)
  {
    Decision opened = this->Open(aTarget);
    if (opened.action == Action::Forward) {
      Packet packet = MakePacket(this->port, aTarget);
      packet.tag = opened.tag;
      packet.ack = 1;
      packet.dataBytes = 100;
      this->steer.OnPacket(packet, true, this->now);
      this->now += aAnswer;
      packet.ack = 2;
      packet.fin = true;
      this->steer.OnPacket(packet, true, this->now);
    }
    this->now += 50 * kMillisecond;
    this->Tick();
  }

  void Tick()
  {
    this->steer.Tick(this->now);
    while (this->steer.Release(this->now)) {
    }
  }

  // Opens flows of the feed until one gets aAction.
  Decision FillUntil(Action aAction)
  {
    Decision decision;
    for (int i = 0; i < 1000 && decision.action != aAction; ++i) {
      decision = this->Open(kFeedTarget);
    }
    return decision;
  }
};

}

TEST_CASE("A burst is refused at once, and the urgent route keeps its place")
{
  FullService service;
  CHECK(service.FillUntil(Action::Reset).reason == Reason::ShareFull);
  CHECK(service.Open(kWebTarget).action == Action::Forward);
  constexpr size_t kShareFullAt = 4; // in kRouteReasons
  const auto& counts = service.steer.CountsByRoute().All();
  CHECK(counts.at("feed")[kShareFullAt] == 1);
  CHECK(counts.count("web") == 0);
}

TEST_CASE(
  "An opening that found no room is refused after a quarter of its target")
{
  FullService service;
  REQUIRE(service.FillUntil(Action::Hold).action == Action::Hold);
  Micros heldAt = service.now;
  std::optional<ReleasedPacket> released;
  while (!released && service.now < heldAt + kTarget) {
    service.now += 10 * kMillisecond;
    released = service.steer.Release(service.now);
  }
  REQUIRE(released);
  CHECK(released->decision.reason == Reason::ShareFull);
  CHECK(service.now - heldAt <= kTarget / kHoldDivisor);
}

TEST_CASE("Openings that are held when a configuration removes their route are "
          "refused at once")
{
  FullService service;
  // Without a latency target it is held for the longest time.
  Config config = TwoRoutes(2);
  config.routes.back().latencyTarget = 0;
  service.steer.CurrentView().PutConfig(config);
  REQUIRE(service.FillUntil(Action::Hold).action == Action::Hold);
  service.steer.CurrentView().PutConfig(MakeConfig(3));
  service.now += 10 * kMillisecond;
  std::optional<ReleasedPacket> released = service.steer.Release(service.now);
  REQUIRE(released);
  CHECK(released->decision.action == Action::Reset);
  CHECK(released->decision.reason == Reason::RouteRemoved);
  CHECK_FALSE(service.steer.Release(service.now));
}

TEST_CASE("A route that a configuration adds at the limit gets a share")
{
  FullService service;
  Config config = TwoRoutes(2);
  RouteEntry added = config.routes.back();
  added.name = "added";
  added.endpoint.port = 9444;
  config.routes.push_back(added);
  service.steer.CurrentView().PutConfig(config);
  int placed = 0;
  for (int i = 0; i < 100; ++i) {
    placed += service.Open(added.endpoint).action == Action::Forward ? 1 : 0;
    service.FillUntil(Action::Reset);
    service.now += kTarget;
    service.Tick();
  }
  CHECK(placed > 0);
}

TEST_CASE("What is usual doubles when half of the instances are gone")
{
  RouteRooms rooms;
  RouteRoom& room = rooms.Of(RouteEntry{});
  room.usualRate = 10;
  rooms.ScaleRates(2);
  CHECK(room.usualRate == Approx(20));
}

}
