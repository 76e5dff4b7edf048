// What callers and backend servers saw, and which promises it breaks.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace gentianspindle::soak {

// The bounds that the soak's deployment has.
constexpr Micros kMaxDrainDelay = 3 * kSecond;
constexpr Micros kMaxConfigDelay = 3 * kSecond;
// An instance is in touch when it and the store had no trouble for this time.
constexpr Micros kRecoveryTime = 4 * kSecond;

enum class Violation : uint8_t
{
  BrokenAnswer, // not whole, or another request's
  WrongService,
  RanTwice,
  Unasked,       // ran, but no caller sent it
  RefusedAndRan, // the caller was told that it had not run
  Changed,       // a packet was not as its sender wrote it
  Drained,       // new work for a server that was leaving
  Late,          // a configuration was not in force in time
  WentBack,      // an older configuration came into force
  FlowBroken,    // by planned work
  BadExit,       // a planned stop did not end with 0
  Count,
};

std::string_view
ViolationName(Violation aViolation);

struct Finding
{
  Violation violation = Violation::Count;
  Micros at = 0;
  std::string text;
};

enum class DisruptionKind : uint8_t
{
  Unplanned,   // of one instance, or of all (none named)
  Planned,     // of one instance
  ServerFault, // of a backend server; instances stay in touch
};

// Who has trouble, so that bounds do not hold.
class DisruptionLog
{
public:
  void Begin(DisruptionKind aKind, std::optional<size_t> aInstance, Micros aAt);
  // Ends the oldest open one of this kind.
  void End(DisruptionKind aKind, std::optional<size_t> aInstance, Micros aAt);
  // Was the instance in touch at aAt?
  bool IsUndisturbed(size_t aInstance, Micros aAt) const;
  // Was nothing unplanned near aAt?
  bool IsFaultFree(Micros aAt) const;

private:
  struct Disruption
  {
    DisruptionKind kind = DisruptionKind::Unplanned;
    std::optional<size_t> instance;
    Micros from = 0;
    Micros to = INT64_MAX;
  };
  static bool Affects(const Disruption& aDisruption, Micros aAt);
  std::vector<Disruption> disruptions;
};

class Ledger
{
public:
  DisruptionLog& Disruptions() { return this->disruptionLog; }

  // A caller sends a request that may run once, at aService.
  void OnSent(const std::string& aId, const std::string& aService);
  // The caller was refused before its flow was open.
  void OnRefused(const std::string& aId, Micros aAt);
  void OnBadResponse(const std::string& aId,
                     std::string_view aReason,
                     Micros aAt);
  // An open flow got a reset that no end of it sent.
  void OnFlowReset(const std::string& aServer, Micros aAt);

  void OnRun(const std::string& aServer,
             const std::string& aId,
             const std::string& aService,
             Micros aAt);
  void OnCorruptedPacket(std::string_view aWhere, Micros aAt);
  // The store knows that the server drains, or is gone.
  void OnDraining(const std::string& aServer, Micros aAt);
  void OnGone(const std::string& aServer, Micros aAt);
  // A server took the opening packet of a flow through an instance.
  void OnOpened(const std::string& aServer, size_t aInstance, Micros aAt);

  // The store has accepted a version.
  void OnAccepted(int64_t aVersion, Micros aAt);
  // An instance started, so it may begin with an older version.
  void OnStarted(size_t aInstance);
  // An instance acts by aVersion.
  void OnInForce(size_t aInstance, int64_t aVersion, Micros aAt);
  void OnExit(size_t aInstance, bool aPlanned, int aStatus, Micros aAt);

  const std::vector<Finding>& Findings() const { return this->findings; }
  size_t Runs() const { return this->runs.size(); }

private:
  void Add(Violation aViolation, Micros aAt, std::string aText);

  struct Server
  {
    Micros drainStartedAt = INT64_MAX;
    bool gone = false;
  };
  DisruptionLog disruptionLog;
  std::map<std::string, std::string> sent; // id to service
  std::set<std::string> refused;
  std::set<std::string> runs;
  std::map<std::string, Server> servers;
  std::map<int64_t, Micros> accepted; // version to time
  std::map<size_t, int64_t> inForce;
  std::vector<Finding> findings;
};

}
