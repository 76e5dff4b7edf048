// Some engines that are connected by a simulated network in virtual time, with
// delays, lost, duplicated and reordered packets, crashes and isolated
// instances.
#pragma once

#include "core/engine.h"
#include "support/clock.h"
#include "support/load.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace gentianspindle {

// Settings of the instances and of the network between them. Delays are one
// way.
struct FleetOptions
{
  EngineOptions engine;
  // Availability zone of each instance.
  std::vector<std::string> zones;
  // One-way delay between instances of the same zone, and from an instance to a
  // backend server.
  Micros sameZoneDelay = 200;
  // One-way delay between instances of different zones, and from an instance to
  // a caller.
  Micros crossZoneDelay = 1 * kMillisecond;
  // Probability that a packet of a caller is lost.
  double loss = 0;
  // Probability that a packet of a caller is duplicated.
  double copies = 0;
  // Greatest extra delay of a packet of a caller, which reorders packets.
  Micros reorder = 0;
  // Time until a hand-over arrives.
  Micros handOverDelay = 50 * kMillisecond;
  // Time after which all instances know of a membership change.
  Micros maxMembershipDelay = 200 * kMillisecond;
  // Interval of the engines' ticks.
  Micros tick = 2 * kMillisecond;
  uint64_t seed = 1;
};

// The instances and their network. They receive the packets of the callers of
// a Load and pass them on to its backend servers.
class Fleet
{
public:
  Fleet(VirtualClock& aClock, const FleetOptions& aOptions, Load& aLoad);

  // Applies a table at all running instances, or at one of them.
  void SetTable(const Table& aTable);
  void SetTableAt(size_t aInstance, const Table& aTable);

  // Ends an instance without warning. The others detect it after
  // aDetectionTime.
  void Kill(size_t aInstance, Micros aDetectionTime);
  // Stops an instance as planned, with a hand-over of the exceptions.
  void Leave(size_t aInstance);
  // Restarts an instance that ended, as a cold owner (which may not know all
  // flows of its servers).
  void Join(size_t aInstance);
  // Drops all packets and notes between aInstance and the other instances, or
  // stops dropping them. Hand-overs and membership changes still arrive.
  void SetIsolated(size_t aInstance, bool aIsolated);

  // Delivers a packet from the fabric to a random instance that runs and is not
  // leaving.
  void Spray(const Segment& aSegment);

  Engine& At(size_t aInstance, const ServiceKey& aService);
  size_t Size() const { return this->nodes.size(); }
  bool IsUp(size_t aInstance) const { return this->nodes[aInstance].up; }
  // Packets and notes that instances sent to each other.
  uint64_t Relays() const { return this->relays; }
  uint64_t Notes() const { return this->notes; }
  // Sum of the counter of this reason over all engines that run now.
  uint64_t Reason(enum Reason aReason) const;

private:
  // An instance with its engines.
  struct Node
  {
    InstanceId id = kNoInstance;
    std::string zone;
    bool up = true;
    // The other instances consider it alive.
    bool listed = true;
    bool leaving = false;
    // No packets or notes pass between it and the other instances.
    bool isolated = false;
    // Engines by the address of their service.
    std::map<Address, std::unique_ptr<Engine>> engines;
    // Table that is in force at this instance.
    Table table;
  };

  void Tick(size_t aInstance);
  void Assign();
  void AssignAt(Node& aNode);
  void HandOver(Node& aFrom,
                const ServiceKey& aService,
                Address aServer,
                bool aComplete);
  void Deliver(size_t aInstance,
               const Segment& aSegment,
               bool aRelayed,
               int64_t aVersion,
               const Walk& aWalk);
  // Carries out the decisions of an engine of aFrom.
  void CarryOut(size_t aFrom,
                const ServiceKey& aService,
                const Segment* aSegment,
                Outbox& aOut);
  void SendNote(size_t aFrom,
                const ServiceKey& aService,
                const Decision& aDecision);
  bool Reaches(size_t aFrom, size_t aTo) const;
  Micros Delay(size_t aFrom, size_t aTo) const;
  size_t IndexOf(InstanceId aInstance) const;

  VirtualClock& clock;
  FleetOptions options;
  Load& load;
  std::mt19937_64 random;
  std::vector<Node> nodes;
  uint64_t relays = 0;
  uint64_t notes = 0;
};

}
