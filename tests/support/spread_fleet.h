// A fleet of instances that replicate the configuration, the servers and the
// drained zones, with a store and a network between them, in virtual time.
#pragma once

#include "spread/spread.h"
#include "support/clock.h"

#include <memory>
#include <random>
#include <set>

namespace gentianspindle {

// An instance counts for the propagation time this long after its start or the
// last change of its access to the store.
constexpr Micros kFaultFreePeriod = 4 * kSecond;

// What a copy of the store holds: all its entries but the configuration, and
// the history of the changes of servers and drains.
struct SpreadContent
{
  uint64_t revision = 100;
  std::map<std::string, steer::ServerChange> listed;
  std::vector<steer::ServerChange> history;
  // Drained zones, with the time at which the store accepted that; the history
  // of their changes.
  std::map<std::string, Micros> drained;
  std::vector<steer::DrainChange> drainHistory;
  uint64_t oldestRevision = 0; // a watch from before gets no changes
};

// The store, which can come back from a copy.
struct SpreadStore : SpreadContent
{
  uint64_t era = 1;
  SpreadContent copy;
  int64_t configVersion = 1;
  uint64_t configRevision = 100;
  // The drained zones as of each position at which they changed.
  std::map<StorePosition, std::vector<std::string>> drainedAsOf{ { {}, {} } };
  // Instances that get no response.
  std::set<size_t> deniedInstances;
  bool down = false;
  uint64_t calls = 0;

  StorePosition Position() const { return { this->era, this->revision }; }
  // Counts a change, and returns its position.
  StorePosition Next()
  {
    ++this->revision;
    return this->Position();
  }
  void PutConfig();
  void PutServer(steer::ServerId aId);
  void RemoveServer(steer::ServerId aId);
  void SetDrain(const std::string& aZone, bool aDrained, Micros aNow);
  void Copy() { this->copy = *this; }
  // The changes since the copy are lost; the operator writes the configuration
  // again at once.
  void ReturnToCopy(Micros aNow);
  void RecordDrained();
  void ForgetHistory() { this->oldestRevision = ++this->revision; }
  std::vector<steer::DrainChange> ListDrains() const;
  // Returns the zones that were drained at a position.
  const std::vector<std::string>& DrainedAsOf(
    const StorePosition& aPosition) const
  {
    return std::prev(this->drainedAsOf.upper_bound(aPosition))->second;
  }
};

// Kinds of objects in the store.
enum class SpreadKind : uint8_t
{
  Servers,
  Config,
  Drains,
};

// Size of the fleet and faults of its network.
struct SpreadFleetOptions
{
  size_t zones = 4;
  size_t perZone = 6; // instances of a zone
  // Of each instance. Without it two of each zone have more than the others, so
  // that they are preferred as readers.
  std::optional<double> cores;
  // Probability that a datagram is lost.
  double loss = 0.01;
  // By this time some datagrams are late; it is more than a tick, so that they
  // overtake each other.
  Micros lateness = 60 * kMillisecond;
  bool drains = false; // the instances read the drains of zones
  uint32_t seed = 1;
};

// An instance with its replicator and its view.
struct SpreadInstance
{
  Address address = 0;
  size_t zone = 0;
  double cores = 0.04;
  bool alive = false;
  // When the instance last started, or the store last denied or restored its
  // access. Faults of its zone do not count.
  Micros faultFreeSince = 0;
  // Counts the starts and ends; scheduled events of an earlier incarnation are
  // ignored.
  uint64_t incarnation = 0;
  std::unique_ptr<spread::Replicator> spread;
  std::unique_ptr<steer::View> view;
  bool reading = false;
  // A view request to a peer is under way.
  bool fetchingView = false;
  // Number of the latest set of watches, one for each kind. Events of earlier
  // ones are ignored.
  uint64_t latestWatch = 0;
  StorePosition drainsFrom; // position from which the drains are watched
};

// The simulation: starts and stops instances, injects faults, and measures how
// long changes take to reach all instances.
class SpreadFleet
{
public:
  explicit SpreadFleet(const SpreadFleetOptions& aOptions);

  void Start(size_t aInstance);
  void Kill(size_t aInstance);
  // Makes the store unavailable to this instance, or available again.
  void DenyStore(size_t aInstance, bool aDenied);
  // Isolates a zone from the other zones, or connects it again. The store still
  // responds to it.
  void IsolateZone(size_t aZone, bool aIsolated);
  // Makes the store unavailable to all instances, or available again.
  void SetStoreDown(bool aDown);
  // The store accepts that a zone is drained, or that it no longer is.
  void SetDrain(const std::string& aZone, bool aDrained)
  {
    this->store.SetDrain(aZone, aDrained, this->Now());
  }
  // Isolates an instance from all others, or connects it again.
  void IsolateInstance(size_t aInstance, bool aIsolated);
  void Run(Micros aTime);

  Micros Now() const { return this->clock.Now(); }
  size_t Size() const { return this->instances.size(); }
  const SpreadInstance& At(size_t aInstance) const
  {
    return this->instances[aInstance];
  }
  // Number of running instances that read the store.
  size_t ReaderCount() const;
  // Number of running instances whose view differs from the content of the
  // store.
  size_t OutdatedInstances() const;
  // The longest time from a ChangeConfig until the configuration is in force at
  // an instance, over all these changes and the instances that had no fault of
  // their own for a while. It is measured every tick, unless the store does
  // not respond to the instance, and includes changes that are not in force
  // yet.
  Micros MaxPropagationTime() const { return this->maxPropagationTime; }

  // The longest time for which a zone was drained at the store but not at an
  // instance, over all instances that had no fault of their own for a while,
  // nor the store.
  Micros MaxDrainTime() const { return this->maxDrainTime; }
  // Number of running instances whose drained zones are not those that the
  // store had at the revision up to which they know them.
  size_t WrongDrains() const;
  // Number of running instances whose drained zones are not the store's.
  size_t OutdatedDrains() const;

  SpreadStore store;
  // The store accepts a new configuration now. Its propagation time counts from
  // here.
  void ChangeConfig();

private:
  // A configuration that is not in force at all instances yet.
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
                  SpreadKind aKind,
                  Micros aWait);
  void ContinueWatch(size_t aInstance,
                     uint64_t aWatch,
                     SpreadKind aKind,
                     Micros aStartedAt,
                     Micros aWait);
  bool HasUpdate(const SpreadInstance& aInstance, SpreadKind aKind) const;
  // Applies the store's response to a watch. Returns whether it has changes.
  bool ApplyReply(SpreadInstance& aInstance, SpreadKind aKind);
  void ApplyServersList(SpreadInstance& aInstance);
  bool NeedsList(const StorePosition& aFrom) const;
  bool ApplyDrainsReply(SpreadInstance& aInstance);
  // Sends the heartbeats and the view request that are due.
  void Exchange(size_t aInstance);
  void Deliver(size_t aFrom, Address aTo, const spread::Heartbeat& aHeartbeat);
  void FetchView(size_t aInstance, spread::ViewRequest aRequest);
  void RecordPropagation();
  void RecordDrains();

  SpreadFleetOptions options;
  VirtualClock clock;
  std::vector<SpreadInstance> instances;
  std::map<Address, size_t> byAddress;
  std::set<size_t> isolatedZones;
  std::set<Address> isolatedInstances;
  std::vector<PendingChange> pendingChanges;
  Micros maxPropagationTime = 0;
  Micros maxDrainTime = 0;
  Micros storeUpSince = 0;
  std::mt19937 random;
};

}
