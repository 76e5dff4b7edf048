// Randomised schedules of planned changes, and the sudden end of an instance,
// in a small fleet in virtual time. With planned changes callers' packets are
// lost and duplicated, in all tests they are reordered. The tests guard against
// flows that a change or fault breaks or sends to a second server.
#include "support/examples.h"
#include "support/fleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace gentianspindle {

namespace {

// Kind of a change, of the fleet or of the table.
enum class ChangeKind : uint8_t
{
  Leave,         // planned stop of an instance
  Join,          // a stopped instance starts again
  Drain,         // a server starts to drain
  Undrain,       // a draining server serves again
  ChangeWeights, // all weights change
  Remove,        // a row is removed
};

// One change of a schedule; the selector chooses its instance or server.
struct Change
{
  ChangeKind step = ChangeKind::Leave;
  size_t selector = 0;
  Micros delay = 0;
};

// Returns a random schedule of changes of the given kinds.
std::vector<Change>
GenerateChanges(std::initializer_list<ChangeKind> aSteps)
{
  std::vector<ChangeKind> kinds(aSteps);
  auto count = *rc::gen::inRange<size_t>(1, 6);
  std::vector<Change> changes;
  for (size_t i = 0; i < count; ++i) {
    auto kind = *rc::gen::inRange<size_t>(0, kinds.size());
    auto selector = *rc::gen::inRange<size_t>(0, 14);
    auto delay = *rc::gen::inRange<Micros>(1, 1500) * kMillisecond;
    RC_LOG() << "change " << static_cast<int>(kinds[kind]) << " " << selector
             << " " << delay / kMillisecond << "\n";
    changes.push_back({ kinds[kind], selector, delay });
  }
  return changes;
}

// One run of a fleet under load while changes happen. Many requests per flow
// make the flows long.
struct Scenario
{
  VirtualClock clock;
  Table table = MakeTable(Panji());
  Load load;
  Fleet fleet;

  static LoadOptions MakeLoadOptions(uint64_t aSeed, uint32_t aRequests)
  {
    LoadOptions options;
    options.arrivalRate = [](Micros) { return 60.0; };
    options.duration = 8 * kSecond;
    options.meanShortWork = 20 * kMillisecond;
    options.requestsPerFlow = aRequests;
    options.thinkTime = 200 * kMillisecond;
    options.seed = aSeed;
    return options;
  }

  static FleetOptions MakeFleetOptions(uint64_t aSeed,
                                       double aLoss,
                                       double aCopies)
  {
    FleetOptions options;
    options.zones = Panji().instances;
    options.seed = aSeed;
    options.loss = aLoss;
    options.copies = aCopies;
    options.reorder = 3 * kMillisecond;
    options.tick = 10 * kMillisecond;
    return options;
  }

  Scenario(uint64_t aSeed, uint32_t aRequests, double aLoss, double aCopies)
    : load(this->clock, MakeLoadOptions(aSeed, aRequests))
    , fleet(this->clock, MakeFleetOptions(aSeed, aLoss, aCopies), this->load)
  {
    for (const Service& service : this->table.services) {
      this->load.AddService(service, 0.5);
    }
    this->fleet.SetTable(this->table);
    this->load.Start();
  }

  size_t RunningInstances() const
  {
    size_t running = 0;
    for (size_t i = 0; i < this->fleet.Size(); ++i) {
      running += this->fleet.IsUp(i) ? 1 : 0;
    }
    return running;
  }

  // Puts the next version in force at one instance after the other. Does
  // nothing if the table check refuses it or a service has no serving server
  // left.
  void PutInForce(const Table& aNext)
  {
    if (!CheckChange(this->table, aNext, {}).empty()) {
      return;
    }
    for (const Service& service : aNext.services) {
      bool serving =
        std::any_of(service.rows.begin(),
                    service.rows.end(),
                    [](const ServerRow& aRow) { return !aRow.draining; });
      if (!serving) {
        return;
      }
    }
    this->table = MakeSuccessor(this->table, aNext);
    for (size_t i = 0; i < this->fleet.Size(); ++i) {
      Table next = this->table;
      this->clock.After(static_cast<Micros>(i) * 100 * kMillisecond,
                        [=, this] { this->fleet.SetTableAt(i, next); });
    }
  }

  // Makes one change; the last four running instances are not stopped.
  void ApplyChange(const Change& aChange)
  {
    Table next = this->table;
    std::vector<ServerRow>& rows = next.services[0].rows;
    size_t instance = aChange.selector % this->fleet.Size();
    ServerRow& row = rows[aChange.selector % rows.size()];
    switch (aChange.step) {
      case ChangeKind::Leave:
        if (this->fleet.IsUp(instance) && this->RunningInstances() > 4) {
          this->fleet.Leave(instance);
        }
        break;
      case ChangeKind::Join:
        this->fleet.Join(instance);
        break;
      case ChangeKind::Drain:
        row.draining = true;
        this->PutInForce(next);
        break;
      case ChangeKind::Undrain:
        row.draining = false;
        this->PutInForce(next);
        break;
      case ChangeKind::ChangeWeights:
        for (size_t i = 0; i < rows.size(); ++i) {
          rows[i].weight =
            1 + static_cast<uint32_t>((i * 7 + aChange.selector) % 20);
        }
        this->PutInForce(next);
        break;
      case ChangeKind::Remove:
        rows.erase(rows.begin() +
                   static_cast<int64_t>(aChange.selector % rows.size()));
        this->PutInForce(next);
        break;
    }
  }

  // Makes all changes, then runs until the load has ended.
  void Run(const std::vector<Change>& aChanges)
  {
    for (const Change& change : aChanges) {
      this->clock.RunUntil(this->clock.Now() + change.delay);
      this->ApplyChange(change);
    }
    this->clock.RunUntil(this->clock.Now() + 400 * kSecond);
  }
};

// Checks that every flow was completed at one server, or refused before any
// server saw it, and that no server exceeded its connections.
void
CheckNoFlowBroken(Scenario& aScenario)
{
  LoadResult& result = aScenario.load.Result();
  RC_ASSERT(result.wrongServer == 0U);
  RC_ASSERT(result.broken == 0U);
  RC_ASSERT(result.refusedButSeen == 0U);
  RC_ASSERT(result.overConnectionLimit == 0U);
  RC_ASSERT(result.completed + result.refused == result.opened);
}

}

TEST_CASE("No planned change of the table breaks a flow")
{
  bool passed = rc::check([] {
    auto seed = *rc::gen::inRange<uint64_t>(1, 1'000'000);
    Scenario scenario(seed, 5, 0.01, 0.01);
    scenario.Run(GenerateChanges({ ChangeKind::Drain,
                                   ChangeKind::Undrain,
                                   ChangeKind::ChangeWeights,
                                   ChangeKind::Remove }));
    CheckNoFlowBroken(scenario);
  });
  CHECK(passed);
}

TEST_CASE("No planned stop or join of an instance breaks a flow")
{
  bool passed = rc::check([] {
    auto seed = *rc::gen::inRange<uint64_t>(1, 1'000'000);
    Scenario scenario(seed, 5, 0.01, 0.01);
    scenario.Run(GenerateChanges({ ChangeKind::Leave, ChangeKind::Join }));
    CheckNoFlowBroken(scenario);
  });
  CHECK(passed);
}

TEST_CASE("Planned changes of all kinds at once break no flow")
{
  bool passed = rc::check([] {
    auto seed = *rc::gen::inRange<uint64_t>(1, 1'000'000);
    Scenario scenario(seed, 5, 0.01, 0.01);
    scenario.Run(GenerateChanges({ ChangeKind::Leave,
                                   ChangeKind::Join,
                                   ChangeKind::Drain,
                                   ChangeKind::Undrain,
                                   ChangeKind::ChangeWeights,
                                   ChangeKind::Remove }));
    CheckNoFlowBroken(scenario);
  });
  CHECK(passed);
}

TEST_CASE("The sudden end of an instance breaks no flow of a warm fleet")
{
  bool passed = rc::check([] {
    auto seed = *rc::gen::inRange<uint64_t>(1, 1'000'000);
    Scenario scenario(seed, 5, 0, 0);
    scenario.clock.RunUntil(scenario.clock.Now() + 4 * kSecond);
    size_t victim = seed % scenario.fleet.Size();
    scenario.fleet.Kill(victim, 2 * kSecond);
    scenario.Run({});
    LoadResult& result = scenario.load.Result();
    RC_ASSERT(result.wrongServer == 0U);
    RC_ASSERT(result.broken == 0U);
    RC_ASSERT(result.refusedButSeen == 0U);
  });
  CHECK(passed);
}

}
