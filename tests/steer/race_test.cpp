// Second openings: which flows get one, how many do, and what they change for
// callers under load.
#include "support/steering_fixture.h"
#include "support/tagged_load.h"

#include <catch2/catch.hpp>

namespace gentianspindle {

using namespace steer;

namespace {

constexpr Micros kRoundTrip = 4 * kMillisecond;
constexpr Micros kAfterDelay = 20 * kMillisecond;
constexpr uint16_t kPort = 40000;

// Instance whose route's requests may be repeated, and which knows how long
// handshakes take and has saved up its whole budget.
struct RaceFixture : SteeringFixture
{
  uint16_t nextPort = 1024;

  explicit RaceFixture(double aBudget = 0.2, bool aRepeatable = true)
    : SteeringFixture({ .race = { .budget = aBudget, .burst = 2 } })
  {
    Config config = MakeConfig(2);
    config.routes[0].repeatable = aRepeatable;
    this->steer.CurrentView().PutConfig(config);
    for (int i = 0; i < 100; ++i) {
      this->RunFlow();
    }
  }

  void RunFlow()
  {
    uint16_t port = this->nextPort++;
    Decision opened = this->Open(port);
    this->now += kRoundTrip;
    this->SendData(port, opened.tag);
    this->SendFin(port, opened.tag);
  }

  // Opens a flow that is not answered, and returns its second opening.
  std::optional<SecondOpening> OpenUnanswered(uint16_t aPort = kPort)
  {
    this->Open(aPort);
    this->now += kAfterDelay;
    return this->steer.TakeRace(this->now);
  }
};

}

TEST_CASE("A flow without an answer gets one second opening after the delay")
{
  RaceFixture fixture;
  Decision opened = fixture.Open(kPort);
  CHECK(opened.mayRace);
  CHECK_FALSE(fixture.steer.TakeRace(fixture.now + 14 * kMillisecond));
  std::optional<SecondOpening> second =
    fixture.steer.TakeRace(fixture.now + kAfterDelay);
  REQUIRE(second);
  CHECK(second->first == opened.server);
  CHECK(second->server != opened.server);
  CHECK(second->waited == kAfterDelay);
  CHECK_FALSE(fixture.steer.TakeRace(fixture.now + 2 * kAfterDelay));
}

TEST_CASE("A flow with a second opening opens at the server of its next packet")
{
  RaceFixture fixture;
  std::optional<SecondOpening> second = fixture.OpenUnanswered();
  REQUIRE(second);
  bool firstWins = GENERATE(false, true);
  ServerIndex winner = firstWins ? second->first : second->server;
  ServerIndex loser = firstWins ? second->server : second->first;
  auto send = [&fixture](ServerIndex aTagged) {
    Tag tag = fixture.steer.CurrentView().At(aTagged).tag;
    return fixture.SendData(kPort, tag).server;
  };
  CHECK(send(winner) == winner);
  CHECK(send(loser) == winner);
  CHECK(fixture.steer.Races().won == (firstWins ? 0 : 1));
  CHECK(fixture.steer.Races().wasted == (firstWins ? 1 : 0));
  CHECK(fixture.steer.HealthOf(loser).open == 0);
  CHECK(fixture.steer.HealthOf(loser).opening == 0);
  CHECK(fixture.steer.HealthOf(winner).open == 1);
}

TEST_CASE("A first server that stays silent becomes suspect")
{
  RaceFixture fixture;
  std::optional<SecondOpening> second = fixture.OpenUnanswered();
  REQUIRE(second);
  fixture.SendData(kPort, second->tag);
  fixture.steer.Tick(fixture.now + kHandshakeTimeout);
  CHECK(fixture.steer.HealthOf(second->first).unanswered == 1);
  CHECK(fixture.steer.HealthOf(second->server).unanswered == 0);
}

TEST_CASE("Flows that may not be repeated, or without a budget, get none")
{
  CHECK_FALSE(RaceFixture(0.2, false).OpenUnanswered());
  CHECK_FALSE(RaceFixture(0).OpenUnanswered());
}

TEST_CASE("Answered flows and late checks give no second opening")
{
  RaceFixture fixture;
  Decision opened = fixture.Open(kPort);
  fixture.SendData(kPort, opened.tag);
  CHECK_FALSE(fixture.steer.TakeRace(fixture.now + kAfterDelay));
  // The caller is about to repeat its opening packet.
  fixture.Open(kPort + 1);
  CHECK_FALSE(fixture.steer.TakeRace(fixture.now + 140 * kMillisecond));
}

TEST_CASE("Servers that are cold, draining or suspect get no second opening")
{
  RaceFixture fixture;
  fixture.Open(kPort);
  ServerIndex first =
    fixture.steer.FindFlow({ { 0x64400007, kPort }, kWebTarget })->server;
  std::string kind = GENERATE("cold", "draining", "suspect", "full");
  INFO(kind);
  std::vector<ServerChange> changes;
  for (ServerId id : { 1, 2, 3 }) {
    bool other = fixture.IndexOf(id) != first;
    ServerChange change = MakeServer(id, "web", 2);
    change.entry->draining = kind == "draining";
    change.entry->startedAt += kind == "cold" ? 1 : 0;
    change.entry->warmupLeft = kind == "cold" ? kSecond : 0;
    if (other && kind != "suspect" && kind != "full") {
      changes.push_back(change);
    }
  }
  fixture.steer.CurrentView().PutServers(changes, fixture.now);
  if (kind == "suspect" || kind == "full") {
    // Five more fill the slots of all three; in one case they are unanswered.
    for (uint16_t i = 1; i <= 5; ++i) {
      Decision opened = fixture.Open(kPort + i);
      if (kind == "full") {
        fixture.SendData(kPort + i, opened.tag);
      }
    }
    Micros wait = kind == "suspect" ? kHandshakeTimeout : kAfterDelay;
    fixture.steer.Tick(fixture.now + wait);
    fixture.now += wait - kAfterDelay;
  }
  CHECK_FALSE(fixture.steer.TakeRace(fixture.now + kAfterDelay));
}

TEST_CASE("Second openings stop while a service's limit is in force")
{
  RaceFixture fixture;
  for (int i = 0; i < 200; ++i) {
    uint16_t port = fixture.nextPort++;
    Decision opened = fixture.Open(port);
    fixture.now += kRoundTrip;
    fixture.SendData(port, opened.tag);
    fixture.now += 90 * kMillisecond;
    fixture.SendData(port, opened.tag, 2);
    fixture.SendFin(port, opened.tag);
  }
  REQUIRE(fixture.steer.LimitOf("web")->IsLimiting());
  CHECK_FALSE(fixture.OpenUnanswered());
}

TEST_CASE("In no window are there more second openings than the budget allows")
{
  constexpr double kBudget = 0.05;
  constexpr double kBurst = 3;
  RaceBudget budget({ .budget = kBudget, .burst = kBurst });
  // A restart gives no burst.
  CHECK_FALSE(budget.Take());
  std::vector<int> taken{ 0 }; // sum after each opening
  for (int i = 0; i < 5000; ++i) {
    budget.OnOpening();
    int sum = taken.back();
    // Long times without a need for any, and times with a need for many.
    while ((i / 500) % 2 == 1 && budget.Take()) {
      ++sum;
    }
    taken.push_back(sum);
  }
  CHECK(taken.back() > 0);
  for (size_t window : { 1U, 20U, 100U, 1000U }) {
    for (size_t i = window; i < taken.size(); ++i) {
      double allowed = kBurst + kBudget * static_cast<double>(window);
      REQUIRE(taken[i] - taken[i - window] <= allowed);
    }
  }
}

TEST_CASE("The delay follows the slowest handshakes between its bounds")
{
  HandshakeTimes times;
  for (int i = 0; i < 49; ++i) {
    times.Add(10 * kMillisecond);
  }
  CHECK(times.Delay() == 0);
  for (int i = 0; i < 5000; ++i) {
    times.Add((i % 10 == 0 ? 20 : 10) * kMillisecond);
  }
  CHECK(times.Delay() > 30 * kMillisecond);
  CHECK(times.Delay() < 50 * kMillisecond);
  for (int i = 0; i < 20000; ++i) {
    times.Add(kMillisecond);
  }
  CHECK(times.Delay() == 15 * kMillisecond);
  for (int i = 0; i < 200; ++i) {
    times.AddLate();
  }
  CHECK(times.Delay() == 100 * kMillisecond);
}

}
