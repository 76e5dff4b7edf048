// A fleet of instances that spread configuration and servers, with a store
// and a network between them, in virtual time.
#pragma once

#include "spread/spread.h"
#include "support/clock.h"

#include <memory>
#include <random>
#include <set>

namespace gentianspindle {

// The store: all entries and all changes.
struct SpreadStore
{
  uint64_t revision = 100;
  int64_t configVersion = 1;
  uint64_t configRevision = 100;
  std::map<std::string, steer::ServerChange> listed;
  std::vector<steer::ServerChange> history;
  std::set<size_t> deniedInstances; // instances that get no answer
  bool down = false;
  uint64_t calls = 0;

  void PutConfig();
  void PutServer(steer::ServerId aId);
  void RemoveServer(steer::ServerId aId);
};

struct SpreadFleetOptions
{
  size_t zones = 4;
  size_t perZone = 6;
  double loss = 0.01; // of datagrams
  uint32_t seed = 1;
};

struct SpreadInstance
{
  Address address = 0;
  size_t zone = 0;
  double cores = 0.04;
  bool alive = false;
  Micros quietSince = 0;    // no trouble of its own since then
  uint64_t incarnation = 0; // counts starts; older events are void
  std::unique_ptr<spread::Replicator> spread;
  std::unique_ptr<steer::View> view;
  bool reading = false;
  bool fetchingView = false;
  uint64_t latestWatch = 0; // the latest of each kind counts
};

class SpreadFleet
{
public:
  explicit SpreadFleet(const SpreadFleetOptions& aOptions);

  void Start(size_t aInstance);
  void Kill(size_t aInstance);
  // Turns the instance away from the store, or lets it in again.
  void DenyStore(size_t aInstance, bool aDenied);
  // Cuts a zone off from the other zones; the store still answers it.
  void IsolateZone(size_t aZone, bool aIsolated);
  void Run(Micros aTime);

  Micros Now() const { return this->clock.Now(); }
  size_t Size() const { return this->instances.size(); }
  const SpreadInstance& At(size_t aInstance) const
  {
    return this->instances[aInstance];
  }
  size_t ReaderCount() const;
  // Instances that are up and calm, and do not have what the store has.
  size_t OutdatedInstances() const;
  // The longest time from a change's acceptance to its being in force, over
  // instances that were calm and over all changes; seen every tick.
  Micros MaxPropagationTime() const { return this->maxPropagationTime; }

  SpreadStore store;
  // Accepted now; measured from here.
  void ChangeConfig();

private:
  struct PendingChange
  {
    int64_t version = 0;
    Micros at = 0;
    std::set<size_t> outstanding;
  };
  bool Reaches(const SpreadInstance& aFrom, const SpreadInstance& aTo) const;
  bool StoreAnswers(size_t aInstance) const;
  void Tick(size_t aInstance, uint64_t aIncarnation);
  void ListStore(size_t aInstance, uint64_t aIncarnation);
  void UpdateWatches(size_t aInstance);
  void StartWatch(size_t aInstance,
                  uint64_t aWatch,
                  bool aServers,
                  Micros aWait);
  void ContinueWatch(size_t aInstance,
                     uint64_t aWatch,
                     bool aServers,
                     Micros aStartedAt,
                     Micros aWait);
  bool ApplyReply(SpreadInstance& aInstance, bool aServers);
  void Exchange(size_t aInstance);
  void Deliver(size_t aFrom, Address aTo, const spread::Heartbeat& aHeartbeat);
  void FetchView(size_t aInstance, spread::ViewRequest aRequest);
  void RecordPropagation();

  SpreadFleetOptions options;
  VirtualClock clock;
  std::vector<SpreadInstance> instances;
  std::map<Address, size_t> byAddress;
  std::set<size_t> isolatedZones;
  std::vector<PendingChange> pendingChanges;
  Micros maxPropagationTime = 0;
  std::mt19937 random;
};

}
