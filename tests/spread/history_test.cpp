// Randomised schedules of faults and changes in virtual time: instances die and
// start, the store denies access to some, zones are isolated from each other,
// the store comes back from an older copy, and datagrams are lost or overtake
// others. They guard against an instance that falls back to an older
// configuration or stays behind the store.
#include "support/spread_fleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace gentianspindle {

namespace {

// A fault, its end, or a change in the store.
enum class Step : uint8_t
{
  Kill,
  Start,
  DenyStore,
  AllowStore,
  IsolateZone,
  ReconnectZone,
  Config,
  Server,
  Remove,
  Copy,
  Return, // the store comes back from the copy
  Count,
};

constexpr size_t kStepKinds = static_cast<size_t>(Step::Count);
// Changes must be in force within this time, as in the smallest deployments.
constexpr Micros kMaxPropagationTime = 3 * kSecond;

// Applies one step; aSelector chooses its instance, zone or server.
void
ApplyStep(SpreadFleet& aFleet, Step aStep, size_t aSelector)
{
  size_t instance = aSelector % aFleet.Size();
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
    case Step::AllowStore:
      aFleet.DenyStore(instance, false);
      break;
    case Step::IsolateZone:
      aFleet.IsolateZone(aSelector % 3, true);
      break;
    case Step::ReconnectZone:
      aFleet.IsolateZone(aSelector % 3, false);
      break;
    case Step::Config:
      aFleet.ChangeConfig();
      break;
    case Step::Server:
      aFleet.store.PutServer(1 + aSelector % 40);
      break;
    case Step::Copy:
      aFleet.store.Copy();
      break;
    case Step::Return:
      aFleet.store.ReturnToCopy(aFleet.Now());
      break;
    default:
      aFleet.store.RemoveServer(1 + aSelector % 40);
      break;
  }
}

}

TEST_CASE("Under random faults no version goes back and changes arrive in time")
{
  bool passed = rc::check([] {
    SpreadFleetOptions options;
    options.zones = 3;
    options.perZone = 4;
    options.loss = 0.03;
    options.seed = *rc::gen::inRange<uint32_t>(1, 1 << 30);
    SpreadFleet fleet(options);
    for (steer::ServerId id = 1; id <= 20; ++id) {
      fleet.store.PutServer(id);
    }
    fleet.store.Copy();
    for (size_t i = 0; i < fleet.Size(); ++i) {
      fleet.Start(i);
    }
    fleet.Run(5 * kSecond);
    auto count = *rc::gen::inRange<size_t>(5, 30);
    std::vector<int64_t> versions(fleet.Size(), 0);
    std::vector<uint64_t> incarnations(fleet.Size(), 0);
    for (size_t i = 0; i < count; ++i) {
      auto step = static_cast<Step>(*rc::gen::inRange<size_t>(0, kStepKinds));
      auto selector = *rc::gen::inRange<size_t>(0, 120);
      auto delay = *rc::gen::inRange<Micros>(0, 1500) * kMillisecond;
      RC_LOG() << "step " << static_cast<int>(step) << ", selector " << selector
               << ", then run for " << delay / kMillisecond << " ms\n";
      ApplyStep(fleet, step, selector);
      fleet.Run(delay);
      for (size_t index = 0; index < fleet.Size(); ++index) {
        const SpreadInstance& instance = fleet.At(index);
        if (!instance.alive) {
          continue;
        }
        bool sameIncarnation = instance.incarnation == incarnations[index];
        RC_ASSERT(!sameIncarnation ||
                  instance.view->Version() >= versions[index]);
        incarnations[index] = instance.incarnation;
        versions[index] = instance.view->Version();
      }
      RC_ASSERT(fleet.MaxPropagationTime() <= kMaxPropagationTime);
    }
    for (size_t index = 0; index < fleet.Size(); ++index) {
      fleet.DenyStore(index, false);
      fleet.IsolateZone(index % 3, false);
    }
    fleet.Run(12 * kSecond);
    RC_ASSERT(fleet.OutdatedInstances() == 0U);
  });
  CHECK(passed);
}

}
