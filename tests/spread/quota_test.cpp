// Openings at servers in their warm-up, summed over a fleet whose instances
// all have more flows than the quota allows.
#include "support/spread_fleet.h"
#include "support/tagged_view.h"

#include <catch2/catch.hpp>
#include <deque>

namespace gentianspindle {

namespace {

constexpr size_t kColdServers = 4;
constexpr double kQuota = 10;
constexpr Micros kStep = 50 * kMillisecond;

// A fleet with the demand of its instances and what the servers get of it.
class ColdFleet
{
public:
  explicit ColdFleet(const SpreadFleetOptions& aOptions)
    : fleet(aOptions)
    , incarnations(fleet.Size(), 0)
    , random(aOptions.seed)
  {
    steer::Config config = MakeConfig(1);
    config.services.push_back({ "web", kQuota });
    this->view.PutConfig(config);
    for (steer::ServerId id = 1; id <= kColdServers; ++id) {
      steer::ServerChange server = MakeServer(id);
      server.entry->warmupLeft = 1000 * kSecond;
      server.entry->zone = "z" + std::to_string(id % aOptions.zones);
      this->view.PutServer(server, this->fleet.Now());
    }
    this->quotas.resize(this->fleet.Size(), steer::WarmupQuota({}));
    this->recent.resize(kColdServers);
    for (size_t i = 0; i < this->fleet.Size(); ++i) {
      this->fleet.Start(i);
    }
  }

  void Run(Micros aTime)
  {
    for (Micros end = this->fleet.Now() + aTime; this->fleet.Now() < end;) {
      this->fleet.Run(kStep);
      for (size_t i = 0; i < this->fleet.Size(); ++i) {
        this->Open(i);
      }
    }
  }

  // A random fault, or the end of one.
  void Disturb()
  {
    size_t instance = this->random() % this->fleet.Size();
    bool starts = this->random() % 2 == 0;
    switch (this->random() % 4) {
      case 0:
      case 1:
        if (this->fleet.At(instance).alive) {
          this->fleet.Kill(instance);
        } else {
          this->fleet.Start(instance);
        }
        break;
      case 2:
        this->fleet.IsolateInstance(instance, starts);
        break;
      default:
        this->fleet.IsolateZone(0, starts);
    }
  }

  // Greatest number of openings at one server in any second.
  size_t MostInASecond() const { return this->mostInASecond; }
  // Share of the quotas that was used since the last call.
  double TakeShareUsed()
  {
    double seconds =
      static_cast<double>(this->fleet.Now() - this->countedSince) / kSecond;
    double used =
      static_cast<double>(this->openings) / (seconds * kQuota * kColdServers);
    this->countedSince = this->fleet.Now();
    this->openings = 0;
    return used;
  }

private:
  void Open(size_t aInstance)
  {
    const SpreadInstance& instance = this->fleet.At(aInstance);
    if (!instance.alive) {
      return;
    }
    steer::WarmupQuota& quota = this->quotas[aInstance];
    if (this->incarnations[aInstance] != instance.incarnation) {
      this->incarnations[aInstance] = instance.incarnation;
      quota = steer::WarmupQuota({});
    }
    Micros now = this->fleet.Now();
    quota.SetHolders(instance.spread->QuotaHolders(now));
    quota.Tick(this->view, now);
    for (steer::ServerIndex server = 0; server < kColdServers; ++server) {
      if (!quota.Admits(this->view, server, now)) {
        continue;
      }
      quota.OnOpening(this->view, server, now);
      std::deque<Micros>& times = this->recent[server];
      times.push_back(now);
      while (now - times.front() >= kSecond) {
        times.pop_front();
      }
      this->mostInASecond = std::max(this->mostInASecond, times.size());
      ++this->openings;
    }
  }

  SpreadFleet fleet;
  steer::View view;
  std::vector<steer::WarmupQuota> quotas;
  std::vector<uint64_t> incarnations;
  std::vector<std::deque<Micros>> recent;
  size_t mostInASecond = 0;
  uint64_t openings = 0;
  Micros countedSince = 0;
  std::mt19937 random;
};

}

TEST_CASE("A fleet of any size uses the warm-up quota and never exceeds it")
{
  struct Fleet
  {
    size_t zones;
    size_t perZone;
    uint32_t seeds;
  };
  auto [zones, perZone, seeds] = GENERATE(
    Fleet{ 3, 1, 8 }, Fleet{ 4, 6, 8 }, Fleet{ 3, 26, 8 }, Fleet{ 4, 210, 1 });
  uint32_t seed = GENERATE(range(1U, 9U));
  if (seed > seeds) {
    return;
  }
  ColdFleet cold({ .zones = zones, .perZone = perZone, .seed = seed });
  // The large fleet takes longer to run.
  bool large = zones * perZone > 100;
  size_t faults = large ? 12 : 60;
  cold.Run((large ? 9 : 14) * kSecond);
  cold.TakeShareUsed();
  cold.Run(4 * kSecond);
  double calm = cold.TakeShareUsed();
  for (size_t i = 0; i < faults; ++i) {
    cold.Disturb();
    cold.Run(300 * kMillisecond);
  }
  double disturbed = cold.TakeShareUsed();
  INFO("instances " << zones * perZone << ", used " << calm << ", with faults "
                    << disturbed);
  CHECK(cold.MostInASecond() <= static_cast<size_t>(kQuota));
  CHECK(calm >= 0.8);
}

}
