// Case: the settings files change, and the instances are restarted in turn.
#include "ends.h"

using namespace rig;

namespace {

constexpr Ms kChangeAt = 3000, kChangeGap = 1000, kRollAt = 6000,
             kRollGap = 3000, kEnd = 40000;
constexpr Ms kGrace = 6000;       // grace_s before the change, and longer
constexpr Ms kRestartDelay = 500; // "after a short delay"
constexpr Ms kRecovery = 12000;   // recovery_s of panji-lb

// Work of the platform on one machine.
struct Machine
{
  Instance* instance = nullptr;
  Ms termAt = 0, killAt = 0, startAt = 0;
  bool wasTold = false;
  int endsByItself = 0;
  std::string exits;
};

}

int
Play(Record& record)
{
  const char* trouble = std::getenv("TROUBLE");
  bool disrupt = trouble == nullptr || std::string(trouble) != "0";
  Deployment deployment;
  deployment.packetPort = FreePort();
  deployment.readyPort = FreePort();
  deployment.controlPort = FreePort();
  deployment.peerPort = FreePort();
  deployment.store = { Loopback(200), FreePort() };
  deployment.seeds = { Text(Endpoint{ Loopback(10), deployment.controlPort }) };
  // Its threads run until the process ends.
  Store& store = *new Store(deployment.store);
  Endpoint route{ Loopback(150), 443 };
  store.Put("config",
            "main",
            "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"" +
              Text(route.address) +
              "\",\"path_prefix\":\"/443/\",\"type\":\"idempotent\","
              "\"timeout_ms\":500,\"slo_ms\":100,\"priority\":2,\"service\":"
              "\"katalog\",\"max_attempts\":2}],\"services\":[{\"name\":"
              "\"katalog\",\"health_path\":\"/health\",\"max_conns\":2000,"
              "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
              "\"idle_timeout_ms\":15000}}");
  Fleet fleet(deployment, record);
  World world;
  world.fleet = &fleet;
  world.store = &store;
  world.record = &record;
  for (int i = 0; i < 4; ++i) {
    world.hosts.emplace_back(world,
                             i,
                             0x7f3a91c0 + i,
                             Endpoint{ Loopback(100 + i), FreePort() },
                             "katalog");
    world.hosts.back().Register(false);
  }
  fleet.Add("frontend-jkt-1", "jkt", Loopback(10));
  fleet.Add("frontend-jkt-2", "jkt", Loopback(11));
  if (!fleet.WaitReady(10000)) {
    CannotRun("the instances are not ready");
  }
  world.clients.emplace_back(
    world, Endpoint{ Loopback(180), deployment.packetPort }, route, "jkt");

  Ms start = Now();
  std::deque<Machine> machines;
  for (Instance& instance : fleet.instances) {
    Machine& machine = machines.emplace_back();
    machine.instance = &instance;
    machine.termAt = start + kRollAt + kRollGap * (machines.size() - 1.0);
  }
  Ms nextFlow = start;
  size_t changed = 0; // instances whose settings file has changed
  Ms backAt = 0; // when the last machine was started again after its SIGTERM
  ClientOptions options;
  options.requests = 1;
  options.deadline = 500;
  world.Run(start + kEnd, [&] {
    Ms now = Now();
    if (now >= nextFlow && now < start + kEnd - 2000) {
      nextFlow += 50;
      world.clients[0].Open(options);
    }
    // One instance at a time, so that half of the machines get a signal.
    bool isDue = changed < fleet.instances.size() &&
                 now >= start + kChangeAt + kChangeGap * changed;
    if (disrupt && isDue) {
      Instance& instance = fleet.instances[changed++];
      fleet.deployment.graceS = "5.5";
      record.Line("the settings file of " + instance.name +
                  " changes: grace_s is 5.5 now");
      fleet.WriteSettings(instance);
      fleet.Signal(instance, SIGHUP);
    }
    for (Machine& machine : machines) {
      Instance& instance = *machine.instance;
      if (!machine.wasTold && now >= machine.termAt) {
        machine.wasTold = true;
        machine.killAt = now + kGrace;
        fleet.Signal(instance, SIGTERM);
      }
      if (machine.killAt > 0 && now >= machine.killAt) {
        machine.killAt = 0;
        fleet.Signal(instance, SIGKILL);
      }
      if (std::optional<int> code = fleet.Ended(instance)) {
        record.Line(instance.name + " has ended with exit code " +
                    std::to_string(*code));
        // Its first end was asked for.
        machine.endsByItself += machine.exits.empty() ? 0 : 1;
        machine.exits += " " + std::to_string(*code);
        machine.killAt = 0;
        machine.startAt = now + kRestartDelay;
      }
      if (machine.startAt > 0 && now >= machine.startAt) {
        machine.startAt = 0;
        backAt = machine.endsByItself == 0 ? now : backAt;
        fleet.Start(instance);
      }
    }
  });

  int before = 0;
  int servedBefore = 0;
  int after = 0;
  int servedAfter = 0;
  for (const FlowStory& story : world.stories) {
    bool served = !story.requests.empty() && story.requests[0].answeredAt >= 0;
    if (story.openingSentAt < start + kRollAt) {
      ++before;
      servedBefore += served ? 1 : 0;
    }
    if (backAt > 0 && story.openingSentAt > backAt + kRecovery) {
      ++after;
      servedAfter += served ? 1 : 0;
    }
  }
  int failing = 0;
  std::ostringstream summary;
  for (const Machine& machine : machines) {
    failing += machine.endsByItself >= 3 ? 1 : 0;
    summary << machine.instance->name << ": exit codes" << machine.exits
            << "; ";
  }
  summary << "served before the roll " << servedBefore << " of " << before
          << ", later than recovery_s after it " << servedAfter << " of "
          << after;
  record.Line(summary.str());
  std::cout << summary.str() << std::endl;
  if (servedBefore * 4 < before || before == 0 || after == 0) {
    return kCannotRun;
  }
  bool faultBroken = failing >= 2;
  bool recoverBroken = servedAfter * 4 < after;
  return faultBroken || recoverBroken ? kBroken : kHeld;
}

int
main(int, char** arguments)
{
  RunCase(arguments[1], Play);
}
