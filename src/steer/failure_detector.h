// Tells servers that fell silent from those that are slow. Evidence of flows
// makes a server suspect; then it is probed with TCP connections. A verdict
// says that it is gone or out of reach; the first sign of life ends it. The
// code does no I/O and reads no clock: its caller passes in the evidence, the
// results of the probes and the time.
#pragma once

#include "steer/types.h"

#include "absl/container/flat_hash_map.h"
#include "absl/functional/function_ref.h"

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>
#include <vector>

namespace gentianspindle::steer {

// A verdict needs so many independent pieces of evidence. If the links lose a
// tenth of the packets each way, a live server gives one piece with a
// probability of 1 - 0.9^2 = 0.19, and eight with 0.19^8 = 2e-6.
constexpr uint32_t kEvidenceNeeded = 8;
// The same for a server that was suspect by mistake within kLossMemory, so that
// it probably has lossy links: 0.19^11 = 1e-8.
constexpr uint32_t kEvidenceOnLossyLinks = 11;
constexpr Micros kLossMemory = 30 * kSecond;
// Evidence of flows counts as so many pieces at most; the others are probes.
constexpr uint32_t kMaxFlowEvidence = 3;
// Pieces that the recent verdict of a peer counts as.
constexpr uint32_t kPeerEvidence = 3;
// Probes of one server are spread over this time, so that a short burst of
// losses doesn't hit all of them. Each takes one round trip.
constexpr Micros kProbeSpread = 100 * kMillisecond;
// Longer than round trips over a link with a queue.
constexpr Micros kProbeTimeout = 450 * kMillisecond;
// An instance asks for a control at most this often.
constexpr Micros kControlGap = 100 * kMillisecond;
// A refused connection shows that nothing listens for connections now. Two of
// them, so far apart, lead to a verdict with so much evidence of flows: a live
// server may refuse connections and still serve its flows.
constexpr Micros kRefusalGap = 100 * kMillisecond;
constexpr uint32_t kEvidenceWithRefusals = 2;
// Evidence that leads to no verdict in this time is void, and so are probes
// that are older than kMaxProbeAge: the server may have returned meanwhile. It
// is so if the control isn't answered either, or no further probe may be sent.
constexpr Micros kMaxProbeAge = kProbeTimeout + 250 * kMillisecond;
constexpr Micros kRoundTimeout = 1500 * kMillisecond;
// A server that answered a probe is not probed again for this time; the time
// doubles with each answer in a row, if only slow requests make it suspect.
constexpr Micros kAnsweredPause = 500 * kMillisecond;
constexpr uint32_t kMaxPauseDoublings = 4;
// A request that waits for longer than this, and than so many times the usual
// response time, makes its server suspect, but is no evidence.
constexpr Micros kMinOverdue = 200 * kMillisecond;
constexpr double kOverdueResponses = 4;
// Weight of the newest response time in the moving average of all servers.
constexpr double kUsualResponseWeight = 0.02;
// A verdict whose last probe was sent within this time resets flows. An older
// one must be confirmed by probes first: the server may have returned.
constexpr Micros kConfirmedTime = 1 * kSecond;
// A verdict that was not confirmed for this time ends.
constexpr Micros kVerdictLifetime = 10 * kSecond;
// A peer's verdict counts for this time; later the server may have returned.
constexpr Micros kPeerVerdictLifetime = 1500 * kMillisecond;
// A longer time between two ticks means that this process did not run, and all
// evidence of that time is void.
constexpr Micros kMaxTickGap = 250 * kMillisecond;
// Unused probes of so many seconds may be sent at once, as many servers may
// fall silent together.
constexpr double kProbeBurstSeconds = 20;
// At least so many, enough for one verdict also with a small bound.
constexpr double kMinProbeBurst = 24;
// Probes for servers that are suspect for slow requests alone leave this share
// of the unused ones, as a peak load may make many requests slow.
constexpr double kSlowRequestReserve = 0.5;

// What makes a server suspect.
enum class Evidence : uint8_t
{
  Repeat,  // a caller sent data again
  Opening, // an opening packet was not answered
  Overdue, // a request waits for its answer for long
  Peer,    // a peer has a verdict on it
  Count,
};

constexpr std::array<std::string_view, static_cast<size_t>(Evidence::Count)>
  kEvidenceNames{ "repeat", "opening", "overdue", "peer" };

enum class ProbeResult : uint8_t
{
  Connected,
  Refused,
  TimedOut,
  NotSent, // this instance could not send it, so it shows nothing
  Count,
};

constexpr std::array<std::string_view, static_cast<size_t>(ProbeResult::Count)>
  kProbeResultNames{ "connected", "refused", "timed_out", "not_sent" };

// Why a verdict came or ended. Those that end one are the last, from Progress
// on.
enum class VerdictChange : uint8_t
{
  Unanswered, // came: flows and probes went unanswered
  Refused,    // came: the server's address refuses connections
  Progress,   // ended: a flow got an answer
  Connected,  // ended: a probe was answered
  Replaced,   // ended: the view has another process
  Expired,    // ended: not confirmed for kVerdictLifetime
  Paused,     // ended: this process was paused
  Count,
};

constexpr std::array<std::string_view,
                     static_cast<size_t>(VerdictChange::Count)>
  kVerdictChangeNames{ "unanswered", "refused", "progress", "connected",
                       "replaced",   "expired", "paused" };

// A server that is suspect, silent, or was suspect and answered a probe.
struct Suspect
{
  enum class State : uint8_t
  {
    Suspected,
    Silent, // there is a verdict
    Answered,
  };
  State state = State::Suspected;
  Micros since = 0; // the first evidence of this round
  std::array<uint32_t, static_cast<size_t>(Evidence::Count)> evidence{};
  uint32_t probes = 0; // of this round; none of them was answered
  uint32_t refused = 0;
  Micros firstProbeAt = 0;
  Micros lastProbeAt = 0;
  Micros firstRefusedAt = 0;
  Micros refusedSentAt = 0; // when the last refused probe was sent
  Micros confirmedAt = 0;   // when the last probe of a verdict was sent
  Micros quietUntil = 0;    // no probe before this time
  uint32_t answers = 0;     // to probes, since the suspect is known

  uint32_t CountOf(Evidence aEvidence) const
  {
    return this->evidence[static_cast<size_t>(aEvidence)];
  }
  uint32_t FlowEvidence() const;
};

// A verdict that came or ended, for the log.
struct VerdictEvent
{
  ServerIndex server = kNoServer;
  VerdictChange change = VerdictChange::Unanswered;
  Suspect suspect;
};

struct DetectorCounts
{
  std::array<uint64_t, static_cast<size_t>(Evidence::Count)> evidence{};
  std::array<uint64_t, static_cast<size_t>(ProbeResult::Count)> probes{};
  std::array<uint64_t, static_cast<size_t>(VerdictChange::Count)> verdicts{};
};

class FailureDetector
{
public:
  // aProbesPerSecond bounds the probes; 0 switches the detector off.
  explicit FailureDetector(double aProbesPerSecond)
    : probesPerSecond(aProbesPerSecond)
    , tokens(this->MaxTokens())
  {
  }

  bool IsOn() const { return this->probesPerSecond > 0; }

  void OnEvidence(ServerIndex aServer, Evidence aEvidence, Micros aNow);
  // A flow of the server got an answer.
  void OnProgress(ServerIndex aServer, Micros aNow);
  void OnResponse(Micros aDuration);
  // The result of a probe that was sent at aSentAt.
  void OnProbeResult(ServerIndex aServer,
                     ProbeResult aResult,
                     Micros aSentAt,
                     Micros aNow);
  // A peer had a verdict on the server at aAt. aHasFlows says that flows here
  // may wait for the server, so that it is probed at once.
  void OnPeerVerdict(ServerIndex aServer,
                     Micros aAt,
                     bool aHasFlows,
                     Micros aNow);
  // The server's index in the view has another process.
  void OnReplaced(ServerIndex aServer);
  void OnProcessPause();

  // Returns the servers on which a verdict came, or was confirmed. Call it
  // every 50 ms.
  std::vector<ServerIndex> Tick(Micros aNow);
  // Returns the servers to probe now, one entry a probe. aMayControl says
  // whether a server may be probed as a control.
  std::vector<ServerIndex> TakeProbes(
    Micros aNow,
    absl::FunctionRef<bool(ServerIndex)> aMayControl);
  std::vector<VerdictEvent> TakeEvents();

  // Returns for how long a request may wait before its server is suspect.
  Micros OverdueTime(double aServerResponseMicros) const;
  bool IsSilent(ServerIndex aServer) const;
  // Returns whether the server left a probe unanswered for aTime, or refused
  // it.
  bool LeftProbeUnanswered(ServerIndex aServer,
                           Micros aTime,
                           Micros aNow) const;
  // Returns whether a peer recently had a verdict on the server.
  bool HasPeerVerdict(ServerIndex aServer, Micros aNow) const;
  // Returns whether a packet with data may be answered with a reset. If there
  // is a verdict that is too old for that, starts to confirm it.
  bool ConfirmsSilence(ServerIndex aServer, Micros aNow);
  // Returns the silent servers and when their verdicts were last confirmed.
  std::vector<std::pair<ServerIndex, Micros>> Verdicts() const;
  const DetectorCounts& Counts() const { return this->counts; }

private:
  static constexpr Micros kNever = -1000 * kSecond;

  void OnAnswerFrom(ServerIndex aServer);
  void RememberMistake(ServerIndex aServer,
                       const Suspect& aSuspect,
                       Micros aNow);
  // Returns a server to probe as a control: it answered last and is not
  // suspect. kNoServer if a recent answer shows already that probes pass.
  ServerIndex ControlDue(
    Micros aNow,
    absl::FunctionRef<bool(ServerIndex)> aMayControl) const;
  double MaxTokens() const
  {
    return std::max(kMinProbeBurst, this->probesPerSecond * kProbeBurstSeconds);
  }
  // Returns the probes that the rounds under way may still need.
  uint32_t ReservedProbes(Micros aNow) const;
  // Returns whether the first probe of a round may be sent, if the rounds under
  // way may still need aReserved probes.
  bool MayStart(const Suspect& aSuspect,
                uint32_t aNeeded,
                uint32_t aReserved) const;
  void StartRound(Suspect& aSuspect, Micros aNow);
  // Returns the pieces of evidence from flows and from a peer's verdict.
  uint32_t EvidenceOf(ServerIndex aServer,
                      const Suspect& aSuspect,
                      Micros aNow) const;
  uint32_t ProbesNeeded(ServerIndex aServer,
                        const Suspect& aSuspect,
                        Micros aNow) const;
  uint32_t ProbesDue(ServerIndex aServer,
                     const Suspect& aSuspect,
                     Micros aNow) const;
  std::optional<VerdictChange> Judge(ServerIndex aServer,
                                     const Suspect& aSuspect,
                                     Micros aNow) const;
  void Record(ServerIndex aServer,
              const Suspect& aSuspect,
              VerdictChange aChange);
  static bool IsRoundOver(const Suspect& aSuspect, Micros aNow);
  static bool IsForgotten(const Suspect& aSuspect, Micros aNow);

  double probesPerSecond;
  double tokens; // probes that may be sent now
  Micros tokensAt = 0;
  Micros lastTickAt = 0;
  double usualResponseMicros = 0;
  // The last two servers that answered a flow or a probe.
  ServerIndex latest = kNoServer;
  ServerIndex before = kNoServer;
  // When the last of the probes was sent that were answered, also by a refusal,
  // within kProbeTimeout.
  Micros answeredSentAt = kNever;
  Micros controlAt = kNever; // when the last control was sent
  absl::flat_hash_map<ServerIndex, Suspect> suspects;
  absl::flat_hash_map<ServerIndex, Micros> peerVerdicts; // when they came
  // When a server was last suspect by mistake.
  absl::flat_hash_map<ServerIndex, Micros> mistakes;
  std::vector<VerdictEvent> events;
  DetectorCounts counts;
};

}
