// History checks: random schedules of instances that die and start, a store
// that turns some away or is down, zones cut off, datagrams lost and
// overtaken.
#include "support/spread_fleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace gentianspindle {

namespace {

enum class Step : uint8_t
{
  Kill,
  Start,
  DenyStore,
  LetIn,
  IsolateZone,
  HealZone,
  Config,
  Server,
  Remove,
  Count,
};

constexpr size_t kSteps = static_cast<size_t>(Step::Count);
// The bound of the smallest deployments.
constexpr Micros kInForce = 3 * kSecond;

void
Play(SpreadFleet& aFleet, Step aStep, size_t aWhich)
{
  size_t instance = aWhich % aFleet.Size();
  bool alive = aFleet.At(instance).alive;
  switch (aStep) {
    case Step::Kill:
      if (alive) {
        aFleet.Kill(instance);
      }
      break;
    case Step::Start:
      if (!alive) {
        aFleet.Start(instance);
      }
      break;
    case Step::DenyStore:
      aFleet.DenyStore(instance, true);
      break;
    case Step::LetIn:
      aFleet.DenyStore(instance, false);
      break;
    case Step::IsolateZone:
      aFleet.IsolateZone(aWhich % 3, true);
      break;
    case Step::HealZone:
      aFleet.IsolateZone(aWhich % 3, false);
      break;
    case Step::Config:
      aFleet.ChangeConfig();
      break;
    case Step::Server:
      aFleet.store.PutServer(1 + aWhich % 40);
      break;
    default:
      aFleet.store.RemoveServer(1 + aWhich % 40);
      break;
  }
}

}

TEST_CASE("No version goes back, and no instance in touch is late")
{
  bool good = rc::check([] {
    SpreadFleetOptions options;
    options.zones = 3;
    options.perZone = 4;
    options.loss = 0.03;
    options.seed = *rc::gen::inRange<uint32_t>(1, 1 << 30);
    SpreadFleet fleet(options);
    for (steer::ServerId id = 1; id <= 20; ++id) {
      fleet.store.PutServer(id);
    }
    for (size_t i = 0; i < fleet.Size(); ++i) {
      fleet.Start(i);
    }
    fleet.Run(5 * kSecond);
    auto count = *rc::gen::inRange<size_t>(5, 30);
    std::vector<int64_t> versions(fleet.Size(), 0);
    std::vector<uint64_t> lives(fleet.Size(), 0);
    for (size_t i = 0; i < count; ++i) {
      auto step = static_cast<Step>(*rc::gen::inRange<size_t>(0, kSteps));
      auto which = *rc::gen::inRange<size_t>(0, 120);
      auto after = *rc::gen::inRange<Micros>(0, 1500) * kMillisecond;
      RC_LOG() << "step " << static_cast<int>(step) << " " << which << " then "
               << after / kMillisecond << " ms\n";
      Play(fleet, step, which);
      fleet.Run(after);
      for (size_t at = 0; at < fleet.Size(); ++at) {
        const SpreadInstance& instance = fleet.At(at);
        if (!instance.alive) {
          continue;
        }
        bool same = instance.incarnation == lives[at];
        RC_ASSERT(!same || instance.view->Version() >= versions[at]);
        lives[at] = instance.incarnation;
        versions[at] = instance.view->Version();
      }
      RC_ASSERT(fleet.MaxPropagationTime() <= kInForce);
    }
    for (size_t at = 0; at < fleet.Size(); ++at) {
      fleet.DenyStore(at, false);
      fleet.IsolateZone(at % 3, false);
    }
    fleet.Run(12 * kSecond);
    RC_ASSERT(fleet.OutdatedInstances() == 0U);
  });
  CHECK(good);
}

}
