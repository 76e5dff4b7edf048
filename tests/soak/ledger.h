// Records what callers, backend servers and the prober observe, and checks it
// against the guarantees of the load balancer.
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

// Bounds for the deployment of the soak: how long an undisturbed instance may
// still send new flows to a server that drains, and the time within which it
// puts an accepted configuration version in force.
constexpr Micros kMaxDrainDelay = 3 * kSecond;
constexpr Micros kMaxConfigDelay = 3 * kSecond;
constexpr Micros kMaxZoneDrainDelay = 5 * kSecond;
// An instance counts as undisturbed once this time has passed since the last
// disruption of it or of the store.
constexpr Micros kRecoveryTime = 4 * kSecond;

// The kinds of violations; ViolationName gives the names that reports show.
enum class Violation : uint8_t
{
  BrokenAnswer,  // damaged, or of another request, server or service
  WrongService,  // a request ran at a server of another service
  RanTwice,      // a request ran more than once
  Unasked,       // a request ran that no caller sent
  RefusedAndRan, // a request ran although its caller got a reset as refusal
  Changed,       // a packet was changed between sender and receiver
  Drained,       // a new flow went to a draining server or a drained zone
  Late,          // an accepted configuration was not in force in time
  WentBack,      // an older configuration replaced a newer one
  FlowBroken,    // an open flow was reset although there was no fault
  BadExit,       // exit status of an instance not 0, unless a step killed it
  Count,
};

std::string_view
ViolationName(Violation aViolation);

// One observed violation.
struct Finding
{
  Violation violation = Violation::Count;
  Micros at = 0;
  std::string text;
};

// What disturbs a part of the deployment.
enum class DisruptionKind : uint8_t
{
  Unplanned,   // fault that affects one instance, or all (no instance given)
  Planned,     // stop of one instance by its operator
  ServerFault, // of a backend server; the bounds of instances still apply
};

// Records disruptions. While they last and shortly after, bounds don't apply.
class DisruptionLog
{
public:
  void Begin(DisruptionKind aKind, std::optional<size_t> aInstance, Micros aAt);
  // Ends the oldest current disruption of this kind and instance.
  void End(DisruptionKind aKind, std::optional<size_t> aInstance, Micros aAt);
  // Whether no disruption affected the instance at aAt or shortly before;
  // server faults don't count.
  bool IsUndisturbed(size_t aInstance, Micros aAt) const;
  // Whether no fault of an instance, the store or a server lasted at aAt or
  // ended shortly before; planned stops don't count.
  bool IsFaultFree(Micros aAt) const;

private:
  struct Disruption
  {
    DisruptionKind kind = DisruptionKind::Unplanned;
    std::optional<size_t> instance;
    Micros from = 0;
    Micros to = INT64_MAX;
  };
  // Whether the disruption lasts at aAt, or ended less than kRecoveryTime
  // earlier.
  static bool Affects(const Disruption& aDisruption, Micros aAt);
  std::vector<Disruption> disruptions;
};

// Compares the observations of all processes and collects the violations.
class Ledger
{
public:
  DisruptionLog& Disruptions() { return this->disruptionLog; }

  // A caller sends a request; it may run at most once, at a server of aService.
  void OnSent(const std::string& aId, const std::string& aService);
  // The caller got a reset before its flow was open, so the request must not
  // run.
  void OnRefused(const std::string& aId, Micros aAt);
  void OnBadResponse(const std::string& aId,
                     std::string_view aReason,
                     Micros aAt);
  // An open flow got a reset that neither its caller nor its server sent.
  void OnFlowReset(const std::string& aServer, Micros aAt);

  // A server ran a request.
  void OnRun(const std::string& aServer,
             const std::string& aId,
             const std::string& aService,
             Micros aAt);
  // A packet that arrived at aWhere is not as its sender wrote it.
  void OnCorruptedPacket(std::string_view aWhere, Micros aAt);
  // The store has recorded that the server drains, or the server is gone, after
  // which resets of its flows are no violations.
  void OnDraining(const std::string& aServer, Micros aAt);
  void OnGone(const std::string& aServer, Micros aAt);
  // The store has recorded at aFrom that the server's zone is drained, until
  // aUntil or later.
  void OnZoneDrain(const std::string& aServer, Micros aFrom, Micros aUntil);
  // A server took a new flow, whose opening packet the instance forwarded.
  void OnOpened(const std::string& aServer, size_t aInstance, Micros aAt);

  // The store has accepted a configuration version.
  void OnAccepted(int64_t aVersion, Micros aAt);
  // The instance has started again, so it may begin with an older version.
  void OnStarted(size_t aInstance);
  // At aAt no version newer than aVersion was in force at the instance.
  void OnInForce(size_t aInstance, int64_t aVersion, Micros aAt);
  // The process of the instance has ended without a fault of the plan, or did
  // not end in time (aStatus -1). aStatus is that of Process::Status. Without
  // aPlanned nothing is checked.
  void OnExit(size_t aInstance, bool aPlanned, int aStatus, Micros aAt);

  const std::vector<Finding>& Findings() const { return this->findings; }
  size_t Runs() const { return this->runs.size(); }

private:
  void Add(Violation aViolation, Micros aAt, std::string aText);

  // What is known of a backend server.
  struct Server
  {
    Micros drainStartedAt = INT64_MAX; // INT64_MAX: it doesn't drain
    bool gone = false;
    Micros zoneDrainFrom = 0;
    Micros zoneDrainUntil = 0; // 0: its zone was not drained
  };
  DisruptionLog disruptionLog;
  std::map<std::string, std::string> sent; // service by request id
  std::set<std::string> refused;
  std::set<std::string> runs;
  std::map<std::string, Server> servers;
  std::map<int64_t, Micros> accepted; // time by version
  std::map<size_t, int64_t> inForce;  // highest version seen, by instance
  std::vector<Finding> findings;
};

}
