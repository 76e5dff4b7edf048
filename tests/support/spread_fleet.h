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
  std::set<size_t> turnedAway; // instances that get no answer
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
  Micros calmSince = 0; // no trouble of its own since then
  uint64_t life = 0;    // counts starts; older events are void
  std::unique_ptr<spread::Replicator> spread;
  std::unique_ptr<steer::View> view;
  bool reading = false;
  bool asksView = false;
  uint64_t watches = 0; // the latest of each kind counts
};

class SpreadFleet
{
public:
  explicit SpreadFleet(const SpreadFleetOptions& aOptions);

  void Start(size_t aInstance);
  void Kill(size_t aInstance);
  // Turns the instance away from the store, or lets it in again.
  void TurnAway(size_t aInstance, bool aAway);
  // Cuts a zone off from the other zones; the store still answers it.
  void CutZone(size_t aZone, bool aCut);
  void Run(Micros aTime);

  Micros Now() const { return this->clock.Now(); }
  size_t Size() const { return this->instances.size(); }
  const SpreadInstance& At(size_t aInstance) const
  {
    return this->instances[aInstance];
  }
  size_t Readers() const;
  // Instances that are up and calm, and do not have what the store has.
  size_t Behind() const;
  // The longest time from a change's acceptance to its being in force, over
  // instances that were calm and over all changes; seen every tick.
  Micros Slowest() const { return this->slowest; }

  SpreadStore store;
  // Accepted now; measured from here.
  void ChangeConfig();

private:
  struct Awaited
  {
    int64_t version = 0;
    Micros at = 0;
    std::set<size_t> missing;
  };
  bool Reaches(const SpreadInstance& aFrom, const SpreadInstance& aTo) const;
  bool StoreAnswers(size_t aInstance) const;
  void Tick(size_t aInstance, uint64_t aLife);
  void List(size_t aInstance, uint64_t aLife);
  void FollowRole(size_t aInstance);
  void Watch(size_t aInstance, uint64_t aWatch, bool aServers, Micros aWait);
  void Answer(size_t aInstance,
              uint64_t aWatch,
              bool aServers,
              Micros aAskedAt,
              Micros aWait);
  bool TakeAnswer(SpreadInstance& aInstance, bool aServers);
  void Exchange(size_t aInstance);
  void Deliver(size_t aFrom, Address aTo, const spread::Heartbeat& aHeartbeat);
  void FetchView(size_t aInstance, spread::ViewRequest aWanted);
  void Observe();

  SpreadFleetOptions options;
  VirtualClock clock;
  std::vector<SpreadInstance> instances;
  std::map<Address, size_t> byAddress;
  std::set<size_t> cutZones;
  std::vector<Awaited> awaited;
  Micros slowest = 0;
  std::mt19937 random;
};

}
