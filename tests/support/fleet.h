// A few engines joined by a small network in virtual time: delays, loss,
// copies, deaths, pauses.
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

struct FleetOptions
{
  EngineOptions engine;
  std::vector<std::string> zones; // zone of each instance
  Micros sameZoneDelay = 200;     // one way
  Micros crossZoneDelay = 1 * kMillisecond;
  double loss = 0;    // of callers' packets
  double copies = 0;  // of callers' packets
  Micros reorder = 0; // greatest extra delay of a caller's packet
  Micros handOverDelay = 50 * kMillisecond; // until a hand-over arrives
  Micros maxMembershipDelay =
    200 * kMillisecond; // until news of members has spread
  Micros tick = 2 * kMillisecond;
  uint64_t seed = 1;
};

class Fleet
{
public:
  Fleet(VirtualClock& aClock, const FleetOptions& aOptions, Load& aLoad);

  // Puts a table in force at all live instances, or at one of them.
  void SetTable(const Table& aTable);
  void SetTableAt(size_t aInstance, const Table& aTable);

  // An instance that ends without warning; the others see it after
  // aDetectionTime.
  void Kill(size_t aInstance, Micros aDetectionTime);
  // A planned stop with hand-over of exceptions.
  void Leave(size_t aInstance);
  // A new life, cold, at the place of an instance that ended.
  void Join(size_t aInstance);
  // Drops all packets between aInstance and the others.
  void SetIsolated(size_t aInstance, bool aIsolated);

  // From the fabric to a random live instance.
  void Spray(const Segment& aSegment);

  Engine& At(size_t aInstance, const ServiceKey& aService);
  size_t Size() const { return this->nodes.size(); }
  bool IsUp(size_t aInstance) const { return this->nodes[aInstance].up; }
  uint64_t Relays() const { return this->relays; }
  uint64_t Notes() const { return this->notes; }
  uint64_t Reason(enum Reason aReason) const;

private:
  struct Node
  {
    InstanceId id = kNoInstance;
    std::string zone;
    bool up = true;
    bool listed = true; // others believe it is there
    bool leaving = false;
    bool isolated = false;
    std::map<Address, std::unique_ptr<Engine>> engines; // by service address
    Table table;                                        // in force here
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
