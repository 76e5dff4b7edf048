// Membership of the instances by the SWIM protocol: one probe per period to one
// member, indirect probes, suspicion and incarnations. Updates are piggybacked
// on the probes, so the cost per instance does not grow with the number of
// instances. Membership does no input or output.
#pragma once

#include "core/rank.h"

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"

#include <random>
#include <span>
#include <string>
#include <vector>

namespace gentianspindle {

enum class MemberStatus : uint8_t
{
  Alive,
  Suspect, // answered neither a probe nor indirect probes
  Leaving, // alive, but owns no servers
  Dead,    // was a suspect for too long
};

// The status of a member at one of its incarnations. A member increases its
// incarnation to refute an update about itself, and when it leaves.
struct MemberUpdate
{
  InstanceId instance = kNoInstance;
  std::string zone;
  MemberStatus status = MemberStatus::Alive;
  int64_t incarnation = 0;
  int64_t tableVersion = 0;
};

enum class ProbeKind : uint8_t
{
  Ping,
  Ack,
  PingRequest, // asks for an indirect probe of the target
  Join,        // a ping to an unknown seed or dead member, answered with more
               // updates
};

struct Probe
{
  ProbeKind kind = ProbeKind::Ping;
  int64_t sequence = 0;
  // PingRequest: the member to probe. Otherwise the member that is or was
  // probed; kNoInstance in the Ack of a Join.
  InstanceId target = kNoInstance;
  std::vector<MemberUpdate> updates;
};

struct OutgoingProbe
{
  InstanceId peer = kNoInstance;
  Probe probe;
};

struct MembershipOptions
{
  Micros period = 500 * kMillisecond; // between two probes
  uint32_t suspectPeriods = 4;        // periods after which a suspect is dead
  uint32_t indirectProbers = 2;       // members asked for an indirect probe
  // Max. recent updates about other members in a probe; the sender's own status
  // and some repeated ones come on top. An Ack of a Join is filled up to twice
  // this number, repeated ones included.
  uint32_t updatesPerProbe = 6;
  Micros evictAfter = 600 * kSecond; // time until a dead member is evicted
};

class Membership
{
public:
  Membership(const MembershipOptions& aOptions,
             InstanceId aSelf,
             std::string_view aZone,
             std::span<const InstanceId> aSeeds,
             uint64_t aRandomSeed);

  void OnTick(Micros aNow, std::vector<OutgoingProbe>& aOut);
  void OnProbe(InstanceId aFrom,
               const Probe& aProbe,
               Micros aNow,
               std::vector<OutgoingProbe>& aOut);

  // Announces that this instance leaves. It still answers probes.
  void Leave();
  void SetTableVersion(int64_t aVersion);
  // Sends updates to a few members at once, in addition to the regular probes.
  void SendUpdates(std::vector<OutgoingProbe>& aOut);
  // Removes aInstance, which the platform no longer lists, if it is dead.
  void Evict(InstanceId aInstance);

  // Members that may own servers: all but leaving ones, sorted by instance.
  // Dead members are among them, as unreachable.
  std::vector<Member> PossibleOwners() const;
  // All known members, this one included.
  std::vector<MemberUpdate> All() const;
  // Increases with each new or removed member and each change of a status. A
  // change of a member's zone alone does not count.
  uint64_t Changes() const { return this->changes; }
  // True where an update since the last call declared this instance dead. Its
  // servers may have had other owners meanwhile.
  bool TakeDeclaredDead();
  // Time after which a suspect is declared dead.
  Micros SuspicionTime() const;

private:
  // The latest update about another member.
  struct MemberRecord
  {
    MemberUpdate update;
    Micros since = 0;       // time of the last change of status
    uint32_t sendsLeft = 0; // number of probes that still carry the update
  };

  void ApplyUpdate(const MemberUpdate& aUpdate, Micros aNow);
  void ApplySelfUpdate(const MemberUpdate& aUpdate);
  void SetStatus(MemberRecord& aRecord, MemberStatus aStatus, Micros aNow);
  void FinishProbe(Micros aNow);
  void StartProbe(Micros aNow, std::vector<OutgoingProbe>& aOut);
  void ProbeDeadOrSeed(std::vector<OutgoingProbe>& aOut);
  InstanceId NextTarget();
  std::vector<InstanceId> RandomMembers(uint32_t aCount, InstanceId aExcept);
  Probe MakeProbe(ProbeKind aKind, int64_t aSequence, InstanceId aTarget);
  // Number of probes that carry a new update.
  uint32_t UpdateSends() const;

  MembershipOptions options;
  MemberUpdate self;
  std::vector<InstanceId> seeds;
  absl::btree_map<InstanceId, MemberRecord> members; // without this instance
  std::vector<InstanceId> round; // members still to probe in this round
  std::mt19937_64 random;
  int64_t sequence = 0;
  uint64_t changes = 1;
  InstanceId probed = kNoInstance; // member probed in this period
  int64_t probedSequence = 0;
  bool acked = false; // the member probed in this period has answered
  bool askedIndirectProbers = false;
  Micros periodStart = 0;
  bool declaredDead = false;
  // A probe that this instance sends for a requester.
  struct IndirectProbe
  {
    InstanceId requester;
    int64_t sequence; // of the requester's PingRequest
  };
  // By the sequence number that this instance gave the probe.
  absl::flat_hash_map<int64_t, IndirectProbe> indirectProbes;
};

}
