// Membership of the fleet, after SWIM: one probe per period to one member,
// indirect probes, suspicion, incarnations. News rides on the probes, so the
// cost per instance does not grow with the fleet. No input or output here.
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
  Suspect,
  Leaving, // alive, but takes no servers
  Dead,
};

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
  PingRequest,
  Join,
};

struct Probe
{
  ProbeKind kind = ProbeKind::Ping;
  int64_t sequence = 0;
  InstanceId target = kNoInstance; // PingRequest: whom to probe; Ack: for whom
  std::vector<MemberUpdate> updates;
};

struct OutgoingProbe
{
  InstanceId peer = kNoInstance;
  Probe probe;
};

struct MembershipOptions
{
  Micros period = 500 * kMillisecond;
  uint32_t suspectPeriods = 4;  // a suspect is dead after so many
  uint32_t indirectProbers = 2; // members asked for an indirect probe
  uint32_t updatesPerProbe = 6;
  Micros evictAfter = 600 * kSecond; // a dead member is forgotten after this
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

  // Announces that this instance leaves; it goes on answering probes.
  void Leave();
  void SetTableVersion(int64_t aVersion);
  // Sends news at once to a few members, beside the regular probes.
  void SendUpdates(std::vector<OutgoingProbe>& aOut);
  // The platform's list says that aInstance is gone for good.
  void Evict(InstanceId aInstance);

  // Who may own servers: all but leaving members; dead ones are unreachable.
  std::vector<Member> Candidates() const;
  // All known members, this one included.
  std::vector<MemberUpdate> All() const;
  // Grows with each change that bears on Candidates().
  uint64_t Changes() const { return this->changes; }
  // Others took this instance for dead since the last call.
  bool TakeDeclaredDead();
  Micros SuspicionTime() const;

private:
  struct MemberRecord
  {
    MemberUpdate updates;
    Micros since = 0;
    uint32_t sendsLeft = 0; // times that the news is still sent along
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
  uint32_t UpdateSends() const;

  MembershipOptions options;
  MemberUpdate self;
  std::vector<InstanceId> seeds;
  absl::btree_map<InstanceId, MemberRecord> members; // without this instance
  std::vector<InstanceId> round; // left to probe in this round
  std::mt19937_64 random;
  int64_t sequence = 0;
  uint64_t changes = 1;
  InstanceId probed = kNoInstance; // by the probe under way
  int64_t probedSequence = 0;
  bool acked = false;
  bool askedIndirectProbers = false;
  Micros periodStart = 0;
  bool declaredDead = false;
  struct IndirectProbe
  {
    InstanceId requester;
    int64_t sequence;
  };
  absl::flat_hash_map<int64_t, IndirectProbe>
    indirectProbes; // indirect probes under way
};

}
