// A randomized soak of the real programs: starts store, relay, backend servers
// and instances as processes, plays a schedule from a seed on them, and checks
// what callers and backend servers see.
#pragma once

#include "soak/callers.h"
#include "soak/plan.h"
#include "soak/prober.h"
#include "soak/process.h"

#include <deque>
#include <filesystem>
#include <functional>

namespace gentianspindle::soak {

// Ports that all instances have, each at its own address.
constexpr uint16_t kPacketPort = 8172;
constexpr uint16_t kReadyPort = 8167;
constexpr uint16_t kPeerPort = 7720;
// The store, and each instance's way to it.
constexpr uint16_t kStorePort = 8169;

struct SoakOptions
{
  uint32_t seed = 1;
  Micros length = 60 * kSecond;
  size_t instances = 12;
  size_t zones = 3;
  size_t servers = 8;
  double flowsPerS = 100;
  std::filesystem::path folder; // of logs
  std::string program;          // of this soak, for its other processes
  std::string daemon;
};

class Soak
{
public:
  explicit Soak(const SoakOptions& aOptions);
  // Returns whether all promises were kept; says on standard output what
  // was not.
  bool Run();

private:
  struct Instance
  {
    Address address = 0;
    Process process;
    bool stopping = false;      // planned
    bool killed = false;        // by the soak
    Micros startAt = 0;         // when it is to be started; 0: it runs
    int64_t logLinesPerS = 200; // settings that change
  };
  struct Server
  {
    std::string id;
    std::string service;
    Process process;
    std::string record;            // path
    std::streamoff readOffset = 0; // of the record
    bool leaving = false;
    Micros startAt = 0;
  };
  struct ScheduledCall
  {
    Micros at = 0;
    std::function<void()> run;
  };

  bool Start();
  void StartStore();
  void StartRelay();
  void StartServer(size_t aServer);
  void StartInstance(size_t aInstance);
  void WriteSettings(size_t aInstance) const;
  std::string SettingsPath(size_t aInstance) const;
  std::string ZoneOf(size_t aInstance) const;
  Endpoint InstanceEndpoint(size_t aInstance, uint16_t aPort) const;

  void ApplyStep(const Step& aStep);
  void ApplyInstanceStep(const Step& aStep);
  void ApplyLinkStep(const Step& aStep);
  void ApplyStoreStep(const Step& aStep);
  void ApplyServerStep(const Step& aStep);
  void RunAfter(Micros aAfter, std::function<void()> aRun);
  void Disruptions(const Step& aStep, std::optional<size_t> aInstance);
  void Kill(size_t aInstance, Micros aDowntime);
  void ChangeConfig();
  void SetStoreFault(const std::string& aName, int aValue) const;

  void RunLoopOnce();
  void CheckInstances();
  void CheckServers();
  void ReadRecord(Server& aServer);
  void OnRecord(const std::string& aLine);
  bool WaitReady();
  void StopAll();
  bool Report(const std::vector<Step>& aPlan);

  SoakOptions options;
  uint8_t netOctet = 0; // 127.net.0.0/16
  Endpoint storeEndpoint;
  Ledger ledger;
  Process store;
  Process relay;
  std::vector<Instance> instances;
  std::vector<Server> servers;
  std::unique_ptr<Callers> callers;
  std::unique_ptr<Prober> prober;
  std::vector<ScheduledCall> scheduled;
  std::vector<std::pair<Endpoint, std::string>> targets;
  int64_t version = 0;
  uint64_t serverStarts = 0;
  Micros startedAt = 0;
  Micros nextRecordReadAt = 0;
  bool shuttingDown = false;
};

}
