#include "soak/ledger.h"

#include <algorithm>
#include <array>

namespace gentianspindle::soak {

namespace {

constexpr std::array<std::string_view, static_cast<size_t>(Violation::Count)>
  kViolationNames{ "broken_answer",   "wrong_service", "ran_twice", "unasked",
                   "refused_and_ran", "changed",       "drained",   "late",
                   "went_back",       "flow_broken",   "bad_exit" };

std::string
FormatMilliseconds(Micros aTime)
{
  return std::to_string(aTime / kMillisecond) + " ms";
}

}

std::string_view
ViolationName(Violation aViolation)
{
  return kViolationNames[static_cast<size_t>(aViolation)];
}

void
DisruptionLog::Begin(DisruptionKind aKind,
                     std::optional<size_t> aInstance,
                     Micros aAt)
{
  this->disruptions.push_back({ aKind, aInstance, aAt, INT64_MAX });
}

void
DisruptionLog::End(DisruptionKind aKind,
                   std::optional<size_t> aInstance,
                   Micros aAt)
{
  for (Disruption& disruption : this->disruptions) {
    bool matches = disruption.kind == aKind && disruption.instance == aInstance;
    if (matches && disruption.to == INT64_MAX) {
      disruption.to = aAt;
      return;
    }
  }
}

bool
DisruptionLog::Affects(const Disruption& aDisruption, Micros aAt)
{
  bool recovered =
    aDisruption.to != INT64_MAX && aAt - aDisruption.to >= kRecoveryTime;
  return aDisruption.from <= aAt && !recovered;
}

bool
DisruptionLog::IsUndisturbed(size_t aInstance, Micros aAt) const
{
  return std::none_of(this->disruptions.begin(),
                      this->disruptions.end(),
                      [&](const Disruption& aDisruption) {
                        bool concerns = !aDisruption.instance ||
                                        *aDisruption.instance == aInstance;
                        return concerns &&
                               aDisruption.kind !=
                                 DisruptionKind::ServerFault &&
                               Affects(aDisruption, aAt);
                      });
}

bool
DisruptionLog::IsFaultFree(Micros aAt) const
{
  return std::none_of(this->disruptions.begin(),
                      this->disruptions.end(),
                      [aAt](const Disruption& aDisruption) {
                        return aDisruption.kind != DisruptionKind::Planned &&
                               Affects(aDisruption, aAt);
                      });
}

void
Ledger::Add(Violation aViolation, Micros aAt, std::string aText)
{
  this->findings.push_back({ aViolation, aAt, std::move(aText) });
}

void
Ledger::OnSent(const std::string& aId, const std::string& aService)
{
  this->sent[aId] = aService;
}

void
Ledger::OnRefused(const std::string& aId, Micros aAt)
{
  this->refused.insert(aId);
  if (this->runs.contains(aId)) {
    this->Add(Violation::RefusedAndRan, aAt, aId);
  }
}

void
Ledger::OnBadResponse(const std::string& aId,
                      std::string_view aReason,
                      Micros aAt)
{
  this->Add(Violation::BrokenAnswer, aAt, aId + ": " + std::string(aReason));
}

// Without a recent fault and while the server exists, only planned changes can
// have caused the reset, and these must not break open flows.
void
Ledger::OnFlowReset(const std::string& aServer, Micros aAt)
{
  if (this->disruptionLog.IsFaultFree(aAt) && !this->servers[aServer].gone) {
    this->Add(Violation::FlowBroken,
              aAt,
              "without a fault, an instance reset an open flow to server " +
                aServer);
  }
}

void
Ledger::OnRun(const std::string& aServer,
              const std::string& aId,
              const std::string& aService,
              Micros aAt)
{
  auto known = this->sent.find(aId);
  if (known == this->sent.end()) {
    this->Add(Violation::Unasked, aAt, aId + " ran at server " + aServer);
  } else if (known->second != aService) {
    this->Add(Violation::WrongService, aAt, aId + " ran at server " + aServer);
  }
  if (!this->runs.insert(aId).second) {
    this->Add(Violation::RanTwice, aAt, aId + " ran at server " + aServer);
  }
  if (this->refused.contains(aId)) {
    this->Add(Violation::RefusedAndRan, aAt, aId + " ran at server " + aServer);
  }
}

void
Ledger::OnCorruptedPacket(std::string_view aWhere, Micros aAt)
{
  this->Add(Violation::Changed,
            aAt,
            "a changed packet arrived at " + std::string(aWhere));
}

void
Ledger::OnDraining(const std::string& aServer, Micros aAt)
{
  Server& server = this->servers[aServer];
  server.drainStartedAt = std::min(server.drainStartedAt, aAt);
}

void
Ledger::OnGone(const std::string& aServer, Micros aAt)
{
  this->OnDraining(aServer, aAt);
  this->servers[aServer].gone = true;
}

void
Ledger::OnZoneDrain(const std::string& aServer, Micros aFrom, Micros aUntil)
{
  this->servers[aServer].zoneDrainFrom = aFrom;
  this->servers[aServer].zoneDrainUntil = aUntil;
}

void
Ledger::OnOpened(const std::string& aServer, size_t aInstance, Micros aAt)
{
  const Server& server = this->servers[aServer];
  Micros drainStart = server.drainStartedAt;
  bool late = drainStart != INT64_MAX && aAt - drainStart > kMaxDrainDelay;
  if (aAt - server.zoneDrainFrom > kMaxZoneDrainDelay &&
      aAt < server.zoneDrainUntil) {
    late = true;
    drainStart = server.zoneDrainFrom;
  }
  if (late && this->disruptionLog.IsUndisturbed(aInstance, aAt)) {
    this->Add(Violation::Drained,
              aAt,
              aServer + " got a new flow through instance " +
                std::to_string(aInstance) + ", " +
                FormatMilliseconds(aAt - drainStart) +
                " after it began to drain");
  }
}

void
Ledger::OnAccepted(int64_t aVersion, Micros aAt)
{
  this->accepted[aVersion] = aAt;
}

void
Ledger::OnStarted(size_t aInstance)
{
  this->inForce.erase(aInstance);
}

void
Ledger::OnInForce(size_t aInstance, int64_t aVersion, Micros aAt)
{
  int64_t& highestVersion = this->inForce[aInstance];
  if (aVersion < highestVersion) {
    this->Add(Violation::WentBack,
              aAt,
              "instance " + std::to_string(aInstance) +
                " went back from version " + std::to_string(highestVersion) +
                " to " + std::to_string(aVersion));
  }
  highestVersion = std::max(highestVersion, aVersion);
  for (const auto& [version, at] : this->accepted) {
    bool late = version > aVersion && aAt - at > kMaxConfigDelay;
    if (late && this->disruptionLog.IsUndisturbed(aInstance, aAt)) {
      this->Add(Violation::Late,
                aAt,
                "instance " + std::to_string(aInstance) +
                  " lacks configuration version " + std::to_string(version) +
                  " accepted " + FormatMilliseconds(aAt - at) +
                  " ago, has in force at most version " +
                  std::to_string(aVersion));
      return;
    }
  }
}

void
Ledger::OnExit(size_t aInstance, bool aPlanned, int aStatus, Micros aAt)
{
  if (aPlanned && aStatus != 0) {
    this->Add(
      Violation::BadExit,
      aAt,
      "instance " + std::to_string(aInstance) +
        " should have ended with status 0; its status (-1: still running): " +
        std::to_string(aStatus));
  }
}

}
