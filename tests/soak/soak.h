// Randomized soak of the real programs. It starts store, relay, backend servers
// and instances as processes, executes a schedule of faults and planned changes
// that follows from a seed, and checks what callers and backend servers
// observe.
#pragma once

#include "soak/callers.h"
#include "soak/plan.h"
#include "soak/prober.h"
#include "soak/process.h"

#include <deque>
#include <filesystem>
#include <functional>

namespace gentianspindle::soak {

// Time between the end of an instance or a server and its restart; for an
// instance that KillInstance ended, the step gives the time. A server fault
// counts for kServerDowntime at least.
constexpr Micros kRestartDelay = 300 * kMillisecond;
constexpr Micros kServerDowntime = 1 * kSecond;

// All instances have the same ports, each at an address of its own.
constexpr uint16_t kPacketPort = 8172;
constexpr uint16_t kReadyPort = 8167;
constexpr uint16_t kPeerPort = 7720;
// Port of the store, and of the relay to it, which listens at the address of
// each instance.
constexpr uint16_t kStorePort = 8169;

// Parameters of one run.
struct SoakOptions
{
  uint32_t seed = 1;
  Schedule schedule = Schedule::All;
  Micros length = 60 * kSecond;
  size_t instances = 12;
  size_t zones = 3;
  size_t servers = 8;
  double flowsPerS = 100;
  std::filesystem::path folder; // for logs, settings files and records
  std::string program; // path of the soak program, for its other processes
  std::string daemon;  // path of the load balancer
};

// One run of the soak.
class Soak
{
public:
  explicit Soak(const SoakOptions& aOptions);
  // Returns whether all processes became ready, there was no violation and
  // enough requests were answered. Prints a summary, and after a failure the
  // first findings of each violation, the plan and the folder of the logs.
  bool Run();

private:
  // An instance of the load balancer.
  struct Instance
  {
    Address address = 0;
    Process process;
    bool stopping = false;      // a planned stop has begun
    bool killed = false;        // by a step of the plan
    Micros startAt = 0;         // time of the restart; 0: it runs
    int64_t logLinesPerS = 200; // setting that reloads change
  };
  // A backend server. A restart gives it a new id and port; address and service
  // stay.
  struct Server
  {
    std::string id;
    std::string service;
    Process process;
    std::string record; // path of the file that it appends to
    // The part of the record before this offset has been handled.
    std::streamoff readOffset = 0;
    bool leaving = false; // drains or was killed
    Micros startAt = 0;   // time of the restart
  };
  // A call that RunAfter has scheduled.
  struct ScheduledCall
  {
    Micros at = 0;
    std::function<void()> run;
  };

  // Starts all processes; returns whether they became ready.
  bool Start();
  void StartStore();
  void StartRelay();
  void StartServer(size_t aServer);
  void StartInstance(size_t aInstance);
  void WriteSettings(size_t aInstance) const;
  std::string SettingsPath(size_t aInstance) const;
  std::string ZoneOf(size_t aInstance) const;
  Endpoint InstanceEndpoint(size_t aInstance, uint16_t aPort) const;

  // Executes a step of the plan.
  void ApplyStep(const Step& aStep);
  void ApplyInstanceStep(const Step& aStep);
  void ApplyLinkStep(const Step& aStep);
  void ApplyStoreStep(const Step& aStep);
  void ApplyServerStep(const Step& aStep);
  void RunAfter(Micros aAfter, std::function<void()> aRun);
  // Records a fault for the duration of the step.
  void RecordFault(const Step& aStep, std::optional<size_t> aInstance);
  void Kill(size_t aInstance, Micros aDowntime);
  void ChangeConfig();
  // Drains the zone of the step's server.
  void DrainZone(const Step& aStep);
  // Sets a fault of the stand-in store, or ends it.
  void SetStoreFault(const std::string& aName, int aValue) const;

  // One iteration of the main loop.
  void RunLoopOnce();
  void CheckInstances();
  // Reads the records of servers and restarts servers that have ended.
  void CheckServers();
  void ReadRecord(Server& aServer);
  // Passes a line of a record to the ledger.
  void OnRecord(const std::string& aLine);
  bool WaitReady();
  // Lets the callers finish, then stops all instances.
  void StopAll();
  // Prints the result as Run says; returns whether the run passed.
  bool Report(const std::vector<Step>& aPlan);

  SoakOptions options;
  // All addresses are in 127.netOctet.0.0/16. It follows from the process id,
  // so that soaks that run at the same time are unlikely to share addresses.
  // The third number is the zone for instances, 100 for servers, 200 for the
  // callers, 201 for the fabric, 202 for the prober and 250 for the store.
  uint8_t netOctet = 0;
  Endpoint storeEndpoint;
  Ledger ledger;
  Process store;
  Process relay;
  std::vector<Instance> instances;
  std::vector<Server> servers;
  std::unique_ptr<Callers> callers;
  std::unique_ptr<Prober> prober;
  std::vector<ScheduledCall> scheduled;
  // Addresses that the callers' requests go to, each with its service.
  std::vector<std::pair<Endpoint, std::string>> targets;
  int64_t version = 0;       // newest configuration that the store has accepted
  uint64_t serverStarts = 0; // number of server processes started
  Micros startedAt = 0;
  Micros nextRecordReadAt = 0;
  bool shuttingDown = false;
};

}
