// Compares in virtual time how the engines and simpler baselines place new
// flows under load. Prints one table row per load shape and policy, or value of
// --sweep.
#include "support/examples.h"
#include "support/fleet.h"
#include "support/load.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <iomanip>
#include <iostream>

namespace gentianspindle {

namespace {

// One-way delays within and across availability zones, as FleetOptions has them
// for the engines.
constexpr Micros kForwardDelay = 200;
constexpr Micros kRefusalDelay = kMillisecond;
// Number of backend servers of the first service that MakeTable makes.
constexpr double kServersOfFirstService = 14.0;

// How a baseline chooses the server of a new flow.
enum class Rule : uint8_t
{
  HashOnly,    // the first one by rank
  HashBounded, // the first one by rank that is below the instance's share of
               // the connection limit
  LeastOwn,    // the one with the fewest flows of this instance
  RandomOfTwo, // of two random ones that with fewer flows of this instance
};

// A load balancer without owners: it places each flow once, finds the server of
// later packets at no cost, and counts connections per instance.
class Baseline
{
public:
  Baseline(VirtualClock& aClock,
           Load& aLoad,
           const Table& aTable,
           size_t aInstances,
           Rule aRule)
    : clock(aClock)
    , load(aLoad)
    , rule(aRule)
    , table(aTable)
    , counts(aInstances)
  {
    aLoad.send = [this](const Segment& aSegment) { this->Send(aSegment); };
    for (const Service& service : aTable.services) {
      std::vector<RankedServer> ranked;
      for (const ServerRow& row : service.rows) {
        ranked.push_back(
          { row.address, row.weight, static_cast<ServerIndex>(ranked.size()) });
      }
      this->rankings.push_back(Ranking::Make(service.key, ranked));
    }
  }

private:
  struct PlacedFlow
  {
    Address server = 0;
    size_t instance = 0;
  };

  void Send(const Segment& aSegment)
  {
    auto placed = this->flows.find(aSegment.flow);
    if (placed == this->flows.end()) {
      if (!aSegment.Opens()) {
        return;
      }
      PlacedFlow newFlow;
      newFlow.instance = this->random() % this->counts.size();
      newFlow.server = this->ChooseServer(aSegment, newFlow.instance);
      if (newFlow.server == 0) {
        FlowKey flow = aSegment.flow;
        this->clock.After(kRefusalDelay,
                          [=, this] { this->load.OnRefused(flow); });
        return;
      }
      ++this->counts[newFlow.instance][newFlow.server];
      placed = this->flows.emplace(aSegment.flow, newFlow).first;
    }
    Address server = placed->second.server;
    if ((aSegment.flags & (kTcpFin | kTcpRst)) != 0) {
      --this->counts[placed->second.instance][server];
      this->flows.erase(placed);
    }
    this->clock.After(kForwardDelay, [=, this] {
      this->load.DeliverToServer(server, aSegment);
    });
  }

  Address ChooseServer(const Segment& aSegment, size_t aInstance)
  {
    size_t serviceIndex = 0;
    while (!(this->table.services[serviceIndex].key == aSegment.service)) {
      ++serviceIndex;
    }
    const Service& service = this->table.services[serviceIndex];
    auto& ownCounts = this->counts[aInstance];
    std::span<const ServerIndex> ranks =
      this->rankings[serviceIndex].For(HashFlow(service.key, aSegment.flow));
    auto rankedAt = [&](size_t aRank) {
      return service.rows[ranks[aRank]].address;
    };
    auto hasFewer = [&](Address aLeft, Address aRight) {
      return ownCounts[aLeft] < ownCounts[aRight];
    };
    switch (this->rule) {
      case Rule::HashOnly:
        return rankedAt(0);
      case Rule::HashBounded:
        // Each instance has an equal share of the connection limit.
        for (size_t i = 0; i < ranks.size(); ++i) {
          uint32_t limit = service.rows[ranks[i]].connections /
                           static_cast<uint32_t>(this->counts.size());
          if (ownCounts[rankedAt(i)] < limit) {
            return rankedAt(i);
          }
        }
        return 0;
      case Rule::LeastOwn: {
        Address best =
          service.rows[this->random() % service.rows.size()].address;
        for (const ServerRow& row : service.rows) {
          best = hasFewer(row.address, best) ? row.address : best;
        }
        return best;
      }
      case Rule::RandomOfTwo: {
        size_t count = service.rows.size();
        Address first = service.rows[this->random() % count].address;
        Address second = service.rows[this->random() % count].address;
        return hasFewer(second, first) ? second : first;
      }
    }
    return 0;
  }

  VirtualClock& clock;
  Load& load;
  Rule rule;
  Table table;
  std::mt19937_64 random{ 7 };
  std::vector<Ranking> rankings;
  std::vector<std::map<Address, uint32_t>> counts; // by instance
  std::unordered_map<FlowKey, PlacedFlow> flows;
};

// One load shape with one policy.
struct Case
{
  std::string shape;
  std::string policy;
  LoadOptions load;
  EngineOptions engine;
  int rule = -1; // a Rule, or -1 for the engines
};

// The example deployment that a case runs on.
struct Setup
{
  Deployment deployment;
  Table table;
  double capacity = 0; // of the first service, in requests a second
};

// The latencies are those of short requests. "broken" adds broken flows and
// packets that reached a wrong server. "goodput" counts completed flows by the
// duration of the load, also those that ended after it.
void
PrintHeader()
{
  std::cout << "| shape | policy | p50 ms | p99 ms | p99.9 ms | completed | "
               "refused | given up | broken | goodput /s | busy max/mean | "
               "relays/flow | notes/flow |\n"
               "|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
}

// Runs one case and prints its row.
void
RunCase(const Setup& aSetup, const Case& aCase)
{
  VirtualClock clock;
  Load load(clock, aCase.load);
  load.AddService(aSetup.table.services[0], 1);
  // After the load, open flows have another minute to end.
  Micros end = clock.Now() + aCase.load.duration + 60 * kSecond;
  std::unique_ptr<Fleet> fleet;
  std::unique_ptr<Baseline> baseline;
  if (aCase.rule < 0) {
    FleetOptions options;
    options.engine = aCase.engine;
    options.zones = aSetup.deployment.instances;
    fleet = std::make_unique<Fleet>(clock, options, load);
    fleet->SetTable(aSetup.table);
  } else {
    baseline = std::make_unique<Baseline>(clock,
                                          load,
                                          aSetup.table,
                                          aSetup.deployment.instances.size(),
                                          static_cast<Rule>(aCase.rule));
  }
  load.Start();
  clock.RunUntil(end);
  LoadResult& result = load.Result();
  auto ms = [&](double aQuantile) {
    return static_cast<double>(result.ShortLatencyAt(aQuantile)) / kMillisecond;
  };
  double seconds =
    static_cast<double>(aCase.load.duration) / static_cast<double>(kSecond);
  auto perFlow = [&](uint64_t aCount) {
    return static_cast<double>(aCount) /
           static_cast<double>(std::max<uint64_t>(1, result.opened));
  };
  std::cout << std::fixed << std::setprecision(1) << "| " << aCase.shape
            << " | " << aCase.policy << " | " << ms(0.5) << " | " << ms(0.99)
            << " | " << ms(0.999) << " | " << result.completed << " | "
            << result.refused << " | " << result.abandoned << " | "
            << result.broken + result.wrongServer << " | "
            << static_cast<double>(result.completed) / seconds << " | "
            << std::setprecision(2) << result.BusyImbalance() << " | "
            << perFlow(fleet ? fleet->Relays() : 0) << " | "
            << perFlow(fleet ? fleet->Notes() : 0) << " |" << std::endl;
}

// aName: "talleres"; any other name gives the deployment panji.
Setup
MakeSetup(const std::string& aName, const LoadOptions& aLoad)
{
  Setup setup;
  setup.deployment = aName == "talleres" ? Talleres() : Panji();
  setup.table = MakeTable(setup.deployment);
  double meanWork = static_cast<double>(aLoad.meanShortWork) *
                    (1 - aLoad.longShare + aLoad.longShare * aLoad.longFactor);
  double slots = kServersOfFirstService * setup.deployment.slots;
  setup.capacity = slots * kSecond / meanWork;
  return setup;
}

// Returns the load shapes. Rates are factors of the capacity; "long" is the
// fraction of requests with much more work.
std::vector<Case>
Shapes(const std::string& aDeployment,
       double aSeconds,
       uint32_t aRequests,
       uint64_t aSeed)
{
  LoadOptions base;
  base.seed = aSeed;
  base.duration = static_cast<Micros>(aSeconds * kSecond);
  base.requestsPerFlow = aRequests;
  base.thinkTime = 50 * kMillisecond;
  std::vector<Case> cases;
  auto add = [&](const std::string& aShape, double aLoad, double aLong) {
    Case shape{ aShape, "", base, {}, -1 };
    shape.load.longShare = aLong;
    double capacity = MakeSetup(aDeployment, shape.load).capacity / aRequests;
    shape.load.arrivalRate = [=](Micros) { return capacity * aLoad; };
    cases.push_back(shape);
    return &cases.back();
  };
  add("steady 0.7", 0.7, 0);
  add("steady 0.85", 0.85, 0);
  add("2% long 0.7", 0.7, 0.02);
  add("2% long 0.85", 0.85, 0.02);
  for (double loadFactor : { 1.0, 2.0, 3.0 }) {
    Case* overload =
      add("overload " + std::to_string(loadFactor).substr(0, 3) + "x",
          loadFactor,
          0.02);
    overload->load.deadline = 1 * kSecond;
  }
  Case* peak = add("crest x10", 0.3, 0);
  double capacity = MakeSetup(aDeployment, peak->load).capacity / aRequests;
  peak->load.arrivalRate = [=](Micros aAt) {
    constexpr double kRiseTime = 3.0; // seconds, like the next two
    constexpr double kPeakStart = 5.0;
    constexpr double kPeakTime = 20.0; // the rise included
    double at = static_cast<double>(aAt) / kSecond - kPeakStart;
    double factor = at < 0 || at > kPeakTime ? 1
                    : at < kRiseTime         ? 1 + 9 * at / kRiseTime
                                             : 10;
    return capacity * 0.3 * factor;
  };
  peak->load.deadline = 1 * kSecond;
  Case* slow = add("one slow x8", 0.6, 0);
  // 10.20.1.3 is the third server of the first service.
  slow->load.slowdown = [](Address aServer, Micros) {
    return aServer == 0x0A140103 ? 8.0 : 1.0;
  };
  return cases;
}

int
Main(int aCount, char** aArguments)
{
  cxxopts::Options commandLine("placement",
                               "Compares placements in virtual time.");
  commandLine.add_options()(
    "deployment",
    "panji or talleres",
    cxxopts::value<std::string>()->default_value("panji"))(
    "seconds", "of load", cxxopts::value<double>()->default_value("30"))(
    "requests", "per flow", cxxopts::value<uint32_t>()->default_value("1"))(
    "seed", "of the load", cxxopts::value<uint64_t>()->default_value("1"))(
    "only",
    "part of a shape's name",
    cxxopts::value<std::string>()->default_value(""))(
    "sweep",
    "instead of the policies, vary k (candidate servers), held (held flows), "
    "order (of held flows), ablation (parts of the engine); or none",
    cxxopts::value<std::string>()->default_value("none"));
  cxxopts::ParseResult parsed = commandLine.parse(aCount, aArguments);
  std::string deployment = parsed["deployment"].as<std::string>();
  std::string sweep = parsed["sweep"].as<std::string>();
  PrintHeader();
  for (const Case& shape : Shapes(deployment,
                                  parsed["seconds"].as<double>(),
                                  parsed["requests"].as<uint32_t>(),
                                  parsed["seed"].as<uint64_t>())) {
    if (shape.shape.find(parsed["only"].as<std::string>()) ==
        std::string::npos) {
      continue;
    }
    Setup setup = MakeSetup(deployment, shape.load);
    auto run =
      [&](const std::string& aPolicy, const EngineOptions& aEngine, int aRule) {
        Case variant = shape;
        variant.policy = aPolicy;
        variant.engine = aEngine;
        variant.rule = aRule;
        RunCase(setup, variant);
      };
    EngineOptions engine;
    if (sweep == "none") {
      run("hash only", engine, 0);
      run("hash, bounded", engine, 1);
      run("least own", engine, 2);
      run("random of two", engine, 3);
      run("gentianspindle", engine, -1);
    } else if (sweep == "k") {
      for (uint32_t k : { 1U, 2U, 4U, 6U, 8U, 12U }) {
        engine.servers = k;
        run("K=" + std::to_string(k), engine, -1);
      }
    } else if (sweep == "held") {
      for (uint32_t held : { 0U, 4U, 16U, 64U, 256U }) {
        engine.held = held;
        run("held=" + std::to_string(held), engine, -1);
      }
    } else if (sweep == "order") {
      engine.order = HoldOrder::OldestFirst;
      run("oldest first", engine, -1);
      engine.order = HoldOrder::NewestFirst;
      run("newest first", engine, -1);
      engine.order = HoldOrder::Adaptive;
      run("adaptive", engine, -1);
    } else if (sweep == "ablation") {
      run("all", engine, -1);
      engine.busy = BusyPolicy::LeastLoaded;
      run("no hold: least loaded", engine, -1);
      engine.busy = BusyPolicy::Refuse;
      run("no hold: refuse", engine, -1);
      engine = {};
      engine.useHealth = false;
      run("no server health", engine, -1);
      engine = {};
      engine.servers = 1;
      run("no walk", engine, -1);
    }
  }
  return 0;
}

}

}

int
main(int aCount, char** aArguments)
{
  return gentianspindle::Main(aCount, aArguments);
}
