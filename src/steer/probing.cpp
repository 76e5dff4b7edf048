// Which probes the failure detector sends, and when.
#include "steer/failure_detector.h"

#include <algorithm>

namespace gentianspindle::steer {

namespace {

// Calls of FailureDetector::TakeProbes over kProbeSpread, the first included.
constexpr uint32_t kProbeSteps = 3;
// Time between two of them.
constexpr Micros kProbeStep = kProbeSpread / (kProbeSteps - 1);
// A verdict needs so many unanswered probes, whatever other evidence there is.
constexpr uint32_t kMinProbes = 4;

}

uint32_t
FailureDetector::ProbesNeeded(ServerIndex aServer,
                              const Suspect& aSuspect,
                              Micros aNow) const
{
  uint32_t found = this->EvidenceOf(aServer, aSuspect, aNow);
  auto mistake = this->mistakes.find(aServer);
  bool lossy =
    mistake != this->mistakes.end() && aNow - mistake->second < kLossMemory;
  return std::max(kMinProbes,
                  (lossy ? kEvidenceOnLossyLinks : kEvidenceNeeded) - found);
}

// Returns how many probes to send now: the first alone, as most are answered,
// the rest spread over kProbeSpread.
uint32_t
FailureDetector::ProbesDue(ServerIndex aServer,
                           const Suspect& aSuspect,
                           Micros aNow) const
{
  bool asks = aSuspect.since != 0 && aSuspect.state != Suspect::State::Answered;
  if (!asks) {
    return 0;
  }
  if (aSuspect.probes == 0) {
    return 1;
  }
  if (aSuspect.refused > 0) {
    Micros secondAt = aSuspect.firstRefusedAt + kRefusalGap;
    return aSuspect.lastProbeAt < secondAt && aNow >= secondAt ? 1 : 0;
  }
  Micros elapsed = aNow - aSuspect.firstProbeAt;
  uint32_t needed = this->ProbesNeeded(aServer, aSuspect, aNow);
  auto step = static_cast<uint32_t>(
    std::min<Micros>(kProbeSteps, elapsed / kProbeStep + 1));
  uint32_t planned = needed * step / kProbeSteps;
  return planned > aSuspect.probes ? planned - aSuspect.probes : 0;
}

uint32_t
FailureDetector::ReservedProbes(Micros aNow) const
{
  uint32_t reserved = 0;
  for (const auto& [server, suspect] : this->suspects) {
    bool underWay = suspect.since != 0 && suspect.probes > 0 &&
                    suspect.state != Suspect::State::Answered;
    uint32_t needed = this->ProbesNeeded(server, suspect, aNow);
    if (underWay && needed > suspect.probes) {
      reserved += needed - suspect.probes;
    }
  }
  return reserved;
}

// A round that lacks probes at its end leads to no verdict, so that the servers
// of a large failure would use up all probes for nothing. One probe more is for
// the control.
bool
FailureDetector::MayStart(const Suspect& aSuspect,
                          uint32_t aNeeded,
                          uint32_t aReserved) const
{
  bool onlySlow = aSuspect.state == Suspect::State::Suspected &&
                  aSuspect.FlowEvidence() == 0 &&
                  aSuspect.CountOf(Evidence::Peer) == 0;
  double kept = onlySlow ? kSlowRequestReserve * this->MaxTokens() : 0;
  return this->tokens - kept >= aReserved + aNeeded + 1;
}

ServerIndex
FailureDetector::ControlDue(
  Micros aNow,
  absl::FunctionRef<bool(ServerIndex)> aMayControl) const
{
  bool due = false;
  if (aNow - this->controlAt < kControlGap) {
    return kNoServer;
  }
  for (const auto& [server, suspect] : this->suspects) {
    bool unanswered = suspect.since != 0 && suspect.probes > 0 &&
                      suspect.state != Suspect::State::Answered &&
                      aNow - suspect.firstProbeAt >= kProbeStep;
    due = due || (unanswered && this->answeredSentAt < suspect.firstProbeAt);
  }
  if (!due) {
    return kNoServer;
  }
  for (ServerIndex server : { this->latest, this->before }) {
    if (server != kNoServer && !this->suspects.contains(server) &&
        aMayControl(server)) {
      return server;
    }
  }
  return kNoServer;
}

std::vector<ServerIndex>
FailureDetector::TakeProbes(Micros aNow,
                            absl::FunctionRef<bool(ServerIndex)> aMayControl)
{
  std::vector<ServerIndex> probes;
  double earned = this->probesPerSecond *
                  static_cast<double>(aNow - this->tokensAt) / kSecond;
  this->tokens = std::min(this->tokens + earned, this->MaxTokens());
  this->tokensAt = aNow;
  uint32_t reserved = this->ReservedProbes(aNow);
  for (auto& [server, suspect] : this->suspects) {
    uint32_t due = this->ProbesDue(server, suspect, aNow);
    if (due > 0 && suspect.probes == 0) {
      uint32_t needed = this->ProbesNeeded(server, suspect, aNow);
      if (!this->MayStart(suspect, needed, reserved)) {
        continue;
      }
      reserved += needed;
    }
    for (; due > 0 && this->tokens >= 1; --due) {
      this->tokens -= 1;
      suspect.firstProbeAt = suspect.probes == 0 ? aNow : suspect.firstProbeAt;
      suspect.lastProbeAt = aNow;
      ++suspect.probes;
      probes.push_back(server);
    }
  }
  ServerIndex control = this->ControlDue(aNow, aMayControl);
  if (control != kNoServer && this->tokens >= 1) {
    this->tokens -= 1;
    this->controlAt = aNow;
    probes.push_back(control);
  }
  return probes;
}

}
