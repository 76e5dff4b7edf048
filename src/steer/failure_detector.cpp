#include "steer/failure_detector.h"

#include <algorithm>
#include <utility>

namespace gentianspindle::steer {

namespace {

// At most so many verdict events wait for the log.
constexpr size_t kMaxEvents = 100;

}

// Requests that are overdue count as no piece: with a slow server that isn't
// unlikely.
uint32_t
Suspect::FlowEvidence() const
{
  return std::min(kMaxFlowEvidence,
                  this->CountOf(Evidence::Repeat) +
                    this->CountOf(Evidence::Opening));
}

void
FailureDetector::StartRound(Suspect& aSuspect, Micros aNow)
{
  aSuspect.since = aNow;
  aSuspect.evidence = {};
  aSuspect.probes = 0;
  aSuspect.refused = 0;
  aSuspect.refusedSentAt = 0;
  aSuspect.firstProbeAt = 0;
}

// After an answer, the pause for requests that are only slow grows. Data that
// is sent again ends the longer pause, as a slow server acknowledges data.
void
FailureDetector::OnEvidence(ServerIndex aServer,
                            Evidence aEvidence,
                            Micros aNow)
{
  if (!this->IsOn()) {
    return;
  }
  ++this->counts.evidence[static_cast<size_t>(aEvidence)];
  auto [entry, isNew] = this->suspects.try_emplace(aServer);
  Suspect& suspect = entry->second;
  bool fresh = suspect.state == Suspect::State::Silent &&
               aNow - suspect.confirmedAt < kConfirmedTime;
  if (fresh) {
    return;
  }
  if (suspect.state == Suspect::State::Answered) {
    bool onlySlow = aEvidence == Evidence::Overdue;
    uint32_t doublings = std::min(suspect.answers - 1, kMaxPauseDoublings);
    Micros longer = (kAnsweredPause << doublings) - kAnsweredPause;
    if (aNow < suspect.quietUntil + (onlySlow ? longer : 0)) {
      return;
    }
    suspect.state = Suspect::State::Suspected;
    this->StartRound(suspect, aNow);
  } else if (isNew || suspect.since == 0) {
    this->StartRound(suspect, aNow);
  }
  ++suspect.evidence[static_cast<size_t>(aEvidence)];
}

void
FailureDetector::OnAnswerFrom(ServerIndex aServer)
{
  if (this->latest != aServer) {
    this->before = this->latest;
    this->latest = aServer;
  }
}

// Remembers that packets between this instance and the server get lost, if the
// evidence against the server shows it.
void
FailureDetector::RememberMistake(ServerIndex aServer,
                                 const Suspect& aSuspect,
                                 Micros aNow)
{
  bool probeLost =
    aSuspect.probes > 1 || (aSuspect.probes == 1 && aSuspect.refused == 0 &&
                            aNow - aSuspect.firstProbeAt >= kProbeTimeout);
  if (aSuspect.FlowEvidence() > 0 || probeLost) {
    this->mistakes[aServer] = aNow;
  }
}

void
FailureDetector::OnProgress(ServerIndex aServer, Micros aNow)
{
  if (!this->IsOn()) {
    return;
  }
  this->OnAnswerFrom(aServer);
  this->peerVerdicts.erase(aServer);
  auto known = this->suspects.find(aServer);
  if (known == this->suspects.end()) {
    return;
  }
  Suspect& suspect = known->second;
  if (suspect.state == Suspect::State::Answered) {
    return;
  }
  if (suspect.state == Suspect::State::Silent) {
    this->Record(aServer, suspect, VerdictChange::Progress);
  }
  this->RememberMistake(aServer, suspect, aNow);
  this->suspects.erase(known);
}

void
FailureDetector::OnResponse(Micros aDuration)
{
  double difference =
    static_cast<double>(aDuration) - this->usualResponseMicros;
  this->usualResponseMicros += kUsualResponseWeight * difference;
}

Micros
FailureDetector::OverdueTime(double aServerResponseMicros) const
{
  double usual = std::max(this->usualResponseMicros, aServerResponseMicros);
  return std::max(kMinOverdue, static_cast<Micros>(kOverdueResponses * usual));
}

// An answer shows that the server's machine lives and is reached, however slow
// the server is. A probe that timed out needs nothing here: it counts as
// unanswered kProbeTimeout after it was sent. A refusal counts only for the
// round of its probe, as the server may have answered a flow since.
void
FailureDetector::OnProbeResult(ServerIndex aServer,
                               ProbeResult aResult,
                               Micros aSentAt,
                               Micros aNow)
{
  ++this->counts.probes[static_cast<size_t>(aResult)];
  if (aResult == ProbeResult::TimedOut) {
    return;
  }
  auto known = this->suspects.find(aServer);
  if (aResult == ProbeResult::NotSent) {
    if (known != this->suspects.end() && known->second.probes > 0) {
      --known->second.probes;
    }
    return;
  }
  if (aNow - aSentAt <= kProbeTimeout) {
    this->answeredSentAt = std::max(this->answeredSentAt, aSentAt);
  }
  if (aResult == ProbeResult::Connected) {
    this->OnAnswerFrom(aServer);
  }
  if (known == this->suspects.end()) {
    return;
  }
  Suspect& suspect = known->second;
  if (aResult == ProbeResult::Refused) {
    if (suspect.probes == 0 || aSentAt < suspect.firstProbeAt) {
      return;
    }
    suspect.firstRefusedAt =
      suspect.refused == 0 ? aNow : suspect.firstRefusedAt;
    suspect.refusedSentAt = std::max(suspect.refusedSentAt, aSentAt);
    ++suspect.refused;
    return;
  }
  this->peerVerdicts.erase(aServer);
  if (suspect.state == Suspect::State::Silent) {
    this->Record(aServer, suspect, VerdictChange::Connected);
  }
  this->RememberMistake(aServer, suspect, aNow);
  if (suspect.state != Suspect::State::Answered) {
    suspect.state = Suspect::State::Answered;
    ++suspect.answers;
  }
  suspect.quietUntil = aNow + kAnsweredPause;
}

void
FailureDetector::OnPeerVerdict(ServerIndex aServer,
                               Micros aAt,
                               bool aHasFlows,
                               Micros aNow)
{
  // Beside a verdict of its own, an instance may hear that one again.
  bool isRecent = aNow - aAt < kPeerVerdictLifetime;
  if (!this->IsOn() || !isRecent || this->IsSilent(aServer)) {
    return;
  }
  auto [entry, isNew] = this->peerVerdicts.try_emplace(aServer, aAt);
  entry->second = std::max(entry->second, aAt);
  if (isNew && aHasFlows) {
    this->OnEvidence(aServer, Evidence::Peer, aNow);
  }
}

void
FailureDetector::OnReplaced(ServerIndex aServer)
{
  this->peerVerdicts.erase(aServer);
  this->mistakes.erase(aServer);
  this->latest = this->latest == aServer ? kNoServer : this->latest;
  this->before = this->before == aServer ? kNoServer : this->before;
  auto known = this->suspects.find(aServer);
  if (known == this->suspects.end()) {
    return;
  }
  if (known->second.state == Suspect::State::Silent) {
    this->Record(aServer, known->second, VerdictChange::Replaced);
  }
  this->suspects.erase(known);
}

void
FailureDetector::OnProcessPause()
{
  for (const auto& [server, suspect] : this->suspects) {
    if (suspect.state == Suspect::State::Silent) {
      this->Record(server, suspect, VerdictChange::Paused);
    }
  }
  this->suspects.clear();
  this->peerVerdicts.clear();
  this->latest = kNoServer;
  this->before = kNoServer;
}

uint32_t
FailureDetector::EvidenceOf(ServerIndex aServer,
                            const Suspect& aSuspect,
                            Micros aNow) const
{
  return aSuspect.FlowEvidence() +
         (this->HasPeerVerdict(aServer, aNow) ? kPeerEvidence : 0);
}

// Unanswered probes count only if another was answered in time that was sent
// after the first of them, the control: else this instance may be cut off, its
// link be slow, or its probes be filtered. A
// refusal comes from the server's machine, so it needs no control.
std::optional<VerdictChange>
FailureDetector::Judge(ServerIndex aServer,
                       const Suspect& aSuspect,
                       Micros aNow) const
{
  bool asked = aSuspect.since != 0 && aSuspect.probes > 0 &&
               aSuspect.state != Suspect::State::Answered;
  if (!asked) {
    return std::nullopt;
  }
  bool refused =
    aSuspect.refused >= 2 &&
    aSuspect.refusedSentAt >= aSuspect.firstRefusedAt + kRefusalGap &&
    this->EvidenceOf(aServer, aSuspect, aNow) >= kEvidenceWithRefusals;
  if (refused) {
    return VerdictChange::Refused;
  }
  bool unanswered =
    aSuspect.refused == 0 && aNow - aSuspect.lastProbeAt >= kProbeTimeout &&
    aSuspect.probes >= this->ProbesNeeded(aServer, aSuspect, aNow) &&
    this->answeredSentAt >= aSuspect.firstProbeAt;
  return unanswered ? std::optional(VerdictChange::Unanswered) : std::nullopt;
}

bool
FailureDetector::IsRoundOver(const Suspect& aSuspect, Micros aNow)
{
  bool probesOld =
    aSuspect.probes > 0 && aNow - aSuspect.lastProbeAt > kMaxProbeAge;
  return probesOld || aNow - aSuspect.since >= kRoundTimeout;
}

bool
FailureDetector::IsForgotten(const Suspect& aSuspect, Micros aNow)
{
  switch (aSuspect.state) {
    case Suspect::State::Suspected:
      return IsRoundOver(aSuspect, aNow);
    case Suspect::State::Silent:
      return aNow - aSuspect.confirmedAt >= kVerdictLifetime;
    case Suspect::State::Answered:
      return aNow - aSuspect.quietUntil >= kVerdictLifetime;
  }
  return true;
}

std::vector<ServerIndex>
FailureDetector::Tick(Micros aNow)
{
  std::vector<ServerIndex> verdicts;
  bool paused = aNow - this->lastTickAt > kMaxTickGap;
  this->lastTickAt = aNow;
  if (!this->IsOn()) {
    return verdicts;
  }
  if (paused) {
    this->OnProcessPause();
  }
  for (auto& [server, suspect] : this->suspects) {
    std::optional<VerdictChange> verdict = this->Judge(server, suspect, aNow);
    if (verdict) {
      bool isNew = suspect.state != Suspect::State::Silent;
      suspect.state = Suspect::State::Silent;
      suspect.confirmedAt = suspect.lastProbeAt;
      if (isNew) {
        this->Record(server, suspect, *verdict);
      }
      suspect.since = 0;
      verdicts.push_back(server);
    } else if (suspect.state == Suspect::State::Silent &&
               IsRoundOver(suspect, aNow)) {
      suspect.since = 0; // the verdict was not confirmed
    }
  }
  absl::erase_if(this->suspects, [this, aNow](const auto& aEntry) {
    const Suspect& suspect = aEntry.second;
    bool forgotten = IsForgotten(suspect, aNow);
    if (forgotten && suspect.state == Suspect::State::Silent) {
      this->Record(aEntry.first, suspect, VerdictChange::Expired);
    }
    return forgotten;
  });
  absl::erase_if(this->peerVerdicts, [aNow](const auto& aEntry) {
    return aNow - aEntry.second >= kPeerVerdictLifetime;
  });
  return verdicts;
}

void
FailureDetector::Record(ServerIndex aServer,
                        const Suspect& aSuspect,
                        VerdictChange aChange)
{
  ++this->counts.verdicts[static_cast<size_t>(aChange)];
  if (this->events.size() < kMaxEvents) {
    this->events.push_back({ aServer, aChange, aSuspect });
  }
}

std::vector<VerdictEvent>
FailureDetector::TakeEvents()
{
  return std::exchange(this->events, {});
}

bool
FailureDetector::HasPeerVerdict(ServerIndex aServer, Micros aNow) const
{
  auto verdict = this->peerVerdicts.find(aServer);
  return verdict != this->peerVerdicts.end() &&
         aNow - verdict->second < kPeerVerdictLifetime;
}

bool
FailureDetector::IsSilent(ServerIndex aServer) const
{
  auto known = this->suspects.find(aServer);
  return known != this->suspects.end() &&
         known->second.state == Suspect::State::Silent;
}

bool
FailureDetector::LeftProbeUnanswered(ServerIndex aServer,
                                     Micros aTime,
                                     Micros aNow) const
{
  auto known = this->suspects.find(aServer);
  if (known == this->suspects.end()) {
    return false;
  }
  const Suspect& suspect = known->second;
  return suspect.state == Suspect::State::Suspected && suspect.probes > 0 &&
         (suspect.refused > 0 || aNow - suspect.firstProbeAt >= aTime);
}

bool
FailureDetector::ConfirmsSilence(ServerIndex aServer, Micros aNow)
{
  auto known = this->suspects.find(aServer);
  if (known == this->suspects.end() ||
      known->second.state != Suspect::State::Silent) {
    return false;
  }
  Suspect& suspect = known->second;
  if (aNow - suspect.confirmedAt < kConfirmedTime) {
    return true;
  }
  if (suspect.since == 0) {
    this->StartRound(suspect, aNow);
  }
  return false;
}

std::vector<std::pair<ServerIndex, Micros>>
FailureDetector::Verdicts() const
{
  std::vector<std::pair<ServerIndex, Micros>> verdicts;
  for (const auto& [server, suspect] : this->suspects) {
    if (suspect.state == Suspect::State::Silent) {
      verdicts.push_back({ server, suspect.confirmedAt });
    }
  }
  return verdicts;
}

}
