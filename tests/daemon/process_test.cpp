// Runs real daemons on loopback addresses. The tests guard against broken flows
// and packets at a wrong server on the whole path, in planned stops and during
// a platform outage.
#include "store/store.h"
#include "support/daemon_process.h"
#include "support/examples.h"
#include "support/platform_standin.h"
#include "support/traffic.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <memory>

namespace gentianspindle {

namespace {

// A platform stand-in with one daemon for each instance of a deployment; ready
// once each daemon counts all of them as members.
struct FleetFixture
{
  PlatformStandin platform;
  LocalFleet fleet;
  Table table;
  std::vector<std::unique_ptr<DaemonProcess>> daemons;

  explicit FleetFixture(const Deployment& aDeployment)
  {
    REQUIRE(this->platform.Start() > 0);
    this->fleet = LocalFleet::Make(this->platform.Url(), aDeployment.instances);
    Deployment deployment = aDeployment;
    // A held flow is refused after this time; two tests allow no refusal.
    deployment.waitMs = 5000;
    this->table = this->fleet.Localize(MakeTable(deployment));
    for (size_t i = 0; i < aDeployment.instances.size(); ++i) {
      this->daemons.push_back(std::make_unique<DaemonProcess>(this->fleet, i));
    }
    REQUIRE(this->WaitForMetric("gentianspindle_member",
                                static_cast<double>(this->daemons.size())));
  }

  // Waits until aMetric has aValue on all daemons' pages; false on timeout.
  bool WaitForMetric(const std::string& aMetric, double aValue)
  {
    return WaitFor([&] {
      return std::all_of(this->daemons.begin(),
                         this->daemons.end(),
                         [&](const std::unique_ptr<DaemonProcess>& aDaemon) {
                           return aDaemon->Metric(aMetric) == aValue;
                         });
    });
  }

  // Applies the table as version 1 and waits until all daemons have it.
  void Apply()
  {
    HttpObjects api = *HttpObjects::Make({ this->platform.Url() });
    ApplyRequest request;
    request.next = this->table;
    request.author = "test";
    request.changeId = "c1";
    REQUIRE(ApplyTable(api, request, {}).outcome == ApplyOutcome::Accepted);
    REQUIRE(this->WaitForMetric("gentianspindle_table_version", 1));
  }

  TrafficOptions MakeTrafficOptions() const
  {
    TrafficOptions options;
    options.table = this->table;
    options.serverPort = this->fleet.fabricPort;
    options.returnPort = this->fleet.returnPort;
    for (size_t i = 0; i < this->daemons.size(); ++i) {
      options.instances.push_back(this->fleet.FabricEndpoint(i));
    }
    return options;
  }

  // Endpoints of all instances but aExcluded; of all if there is no such one.
  std::vector<InstanceId> EndpointsExcept(size_t aExcluded) const
  {
    std::vector<InstanceId> endpoints;
    for (size_t i = 0; i < this->daemons.size(); ++i) {
      if (i != aExcluded) {
        endpoints.push_back(this->fleet.FabricEndpoint(i));
      }
    }
    return endpoints;
  }
};

// Checks that no flow broke or reached a wrong service or server, that no
// refused flow reached a server, that all checksums were valid, and that each
// opened flow was either served whole or refused.
void
CheckFlowsIntact(const TrafficResult& aResult)
{
  CHECK(aResult.broken == 0);
  CHECK(aResult.wrongService == 0);
  CHECK(aResult.wrongServer == 0);
  CHECK(aResult.refusedButSeen == 0);
  CHECK(aResult.badChecksum == 0);
  CHECK(aResult.completed + aResult.refused == aResult.opened);
}

}

TEST_CASE(
  "Seven daemons serve all 10,000 flows whose packets are sprayed over them")
{
  FleetFixture fixture(Panji());
  fixture.Apply();
  TrafficOptions options = fixture.MakeTrafficOptions();
  options.flows = 10'000;
  options.flowsPerSecond = 1500;
  options.serviceTime = kMillisecond;
  Traffic traffic(options);
  REQUIRE(traffic.Open());
  TrafficResult result = traffic.Run();
  CheckFlowsIntact(result);
  CHECK(result.refused == 0);
  CHECK(result.flowsPerServer.size() == 18); // all servers of MakeTable
}

TEST_CASE("Replacing all seven daemons one by one under traffic breaks no flow")
{
  FleetFixture fixture(Panji());
  fixture.Apply();
  TrafficOptions options = fixture.MakeTrafficOptions();
  // The flows open over 80 s. All replacements must fit in the run.
  options.flows = 4000;
  options.flowsPerSecond = 50;
  options.serviceTime = kMillisecond;
  options.requestsPerFlow = 30;
  options.thinkTime = 200 * kMillisecond;
  size_t next = 0;
  bool stopping = false;
  Micros nextStepAt = 0;
  Traffic* activeTraffic = nullptr;
  std::vector<int> exitStatuses;
  // The daemons are replaced one by one. A new process starts once the former
  // one is seen to have ended; the next stop follows after a fixed time.
  options.onLoop = [&](Micros aNow) {
    if (next == fixture.daemons.size() || aNow < nextStepAt) {
      return;
    }
    if (nextStepAt == 0) {
      nextStepAt = aNow + 2 * kSecond;
      return;
    }
    std::unique_ptr<DaemonProcess>& daemon = fixture.daemons[next];
    if (!stopping) {
      daemon->Signal(SIGTERM);
      // The fabric learns of the stop some time later; until then it sends to
      // the stopping daemon too.
      stopping = true;
      nextStepAt = aNow + 500 * kMillisecond;
      return;
    }
    activeTraffic->SetInstances(fixture.EndpointsExcept(next));
    if (!daemon->HasEnded()) {
      nextStepAt = aNow + 100 * kMillisecond;
      return;
    }
    exitStatuses.push_back(daemon->WaitStatus());
    daemon = std::make_unique<DaemonProcess>(fixture.fleet, next);
    ++next;
    stopping = false;
    nextStepAt = aNow + 3 * kSecond;
    if (next == fixture.daemons.size()) {
      activeTraffic->SetInstances(
        fixture.EndpointsExcept(fixture.daemons.size()));
    }
  };
  Traffic traffic(options);
  activeTraffic = &traffic;
  REQUIRE(traffic.Open());
  TrafficResult result = traffic.Run();
  CheckFlowsIntact(result);
  CHECK(result.refused == 0);
  CHECK(exitStatuses == std::vector<int>(7, 0));
}

TEST_CASE(
  "A daemon that starts while the platform is away gets the table from its "
  "peers")
{
  FleetFixture fixture(Talleres());
  fixture.Apply();
  fixture.platform.down = true;
  fixture.daemons[2]->Signal(SIGKILL);
  REQUIRE(WaitFor([&] { return fixture.daemons[2]->HasEnded(); }));
  fixture.daemons[2] = std::make_unique<DaemonProcess>(fixture.fleet, 2);
  REQUIRE(fixture.WaitForMetric("gentianspindle_table_version", 1));
  REQUIRE(fixture.WaitForMetric("gentianspindle_member", 6));
  TrafficOptions options = fixture.MakeTrafficOptions();
  options.flows = 1000;
  options.flowsPerSecond = 500;
  options.serviceTime = kMillisecond;
  Traffic traffic(options);
  REQUIRE(traffic.Open());
  CheckFlowsIntact(traffic.Run());
}

}
