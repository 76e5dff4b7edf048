// What an owner knows about one backend server: limits, occupancy read off
// the callers' packets, and evidence on whether it works.
#pragma once

#include "core/flows.h"
#include "core/table.h"

#include <array>
#include <deque>

namespace gentianspindle {

// Handshakes without answer, one after the other, that make a server silent.
constexpr uint32_t kUnansweredHandshakes = 3;
// A silent server gets one new flow per this time, to see whether it is back.
constexpr Micros kTrialPeriod = kSecond;
// A new or returned server gets all its slots after this time.
constexpr Micros kSlowStartTime = 10 * kSecond;
// Reported health counts only without progress for this time.
constexpr Micros kProgressWindow = 2 * kSecond;

// What an owner knows of the flows that began before it owned the server.
enum class Knowledge : uint8_t
{
  None,       // a former owner may have died with all of them
  Exceptions, // handed over: those that are not at their default server
  All,        // there are none, or it has owned the server ever since
};

struct ServerState
{
  ServerRow row;
  bool removed = false; // no row in the table in force
  bool gone = false;    // not even in a former row that is kept
  InstanceId owner = kNoInstance;

  // Below: meaningful at the owner only.
  Knowledge knowledge = Knowledge::None;
  // Gave the server away and still answers; kNoInstance otherwise.
  InstanceId formerOwner = kNoInstance;
  Micros ownedSince = 0;
  std::array<uint32_t, kFlowStates> counts{};
  uint32_t reserved = 0;         // slots kept for claimed flows
  std::deque<FlowKey> claimable; // flows held elsewhere that may come here

  uint32_t failedHandshakes = 0; // since the last progress
  Micros lastProgress = 0;
  Micros lastAdmission = 0;
  Micros slowStartFrom = -kSlowStartTime;
  bool reportedDown = false;
  uint32_t stragglers = 0; // flows whose request runs long

  uint32_t Count(FlowState aState) const
  {
    return this->counts[static_cast<size_t>(aState)];
  }

  // Requests that the server works on or is about to get.
  uint32_t Occupied() const;

  // Flows that hold a connection at the server.
  uint32_t OpenFlows() const;

  // Slots that may be used at aNow.
  uint32_t Slots(Micros aNow) const;

  // Flows that may be on their way to the slots, in them, or on their way
  // back, so that the slots are neither idle nor queued for. aPipeline: round
  // trips over work, see Timing.
  uint32_t Limit(Micros aNow, double aPipeline) const;

  bool TakesNew() const { return !this->removed && !this->row.draining; }

  // No sign of life in spite of new flows.
  bool IsUnresponsive() const
  {
    return this->failedHandshakes >= kUnansweredHandshakes;
  }

  // May a new flow be tried at aNow? aTrustReports is false where too many
  // servers are reported down at once.
  bool IsUsable(Micros aNow, bool aTrustReports) const;

  bool HasFreeSlot(Micros aNow, double aPipeline) const;

  // The caller's packets show that the server answers.
  void OnProgress(Micros aNow);
};

// What the callers' packets say about time at one service.
struct Timing
{
  Micros handshake = 0; // smoothed: SYN forwarded to ACK seen
  Micros response = 0;  // smoothed: request forwarded to first answer ACK
  Micros claim = 0;     // smoothed: slot kept to flow admitted

  void OnHandshake(Micros aDuration);
  void OnResponse(Micros aDuration);
  // A slot was kept for aDuration before the flow that got it was there.
  void OnAdmitted(Micros aDuration);

  // Time that a flow spends on its way to and from the server, over the time
  // that the server works on it.
  double Pipeline() const;

  // A request older than this runs much longer than most; 0: not known yet.
  Micros StragglerAge() const;
};

}
