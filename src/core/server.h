// The state of one backend server at its owner: limits, occupancy as seen from
// the callers' packets, and health.
#pragma once

#include "core/flows.h"
#include "core/table.h"

#include <array>
#include <deque>

namespace gentianspindle {

// Number of handshakes not finished within EngineOptions::handshake, without
// progress of any flow of the server in between, that make it unresponsive.
constexpr uint32_t kUnansweredHandshakes = 3;
// A server that seems to be down gets one trial flow per this time, which shows
// whether it is back.
constexpr Micros kTrialPeriod = kSecond;
// Slow start: a server gets all its slots after this time. It begins when an
// unresponsive server makes progress, and when a table after the first one adds
// a server or lets it take new flows again.
constexpr Micros kSlowStartTime = 10 * kSecond;
// A report that a server is down is ignored within this time after progress of
// one of its flows.
constexpr Micros kProgressWindow = 2 * kSecond;

// What an owner knows about the flows that began before it owned the server.
// With None the owner is cold: it can't exclude that an unknown flow is there.
// With Exceptions it can't exclude this for flows that have the server as their
// default server, by the current ranking or by a former one.
enum class Knowledge : uint8_t
{
  None,       // nothing; the former owner may have failed without hand-over
  Exceptions, // by hand-over: all but idle and closing flows at their default
              // server, see Engine::Exceptions
  All,        // there are none, or it has always owned the server
};

struct ServerState
{
  ServerRow row;
  bool removed = false; // the current table has no row of it
  bool gone = false;    // removed, and no former row has it either
  InstanceId owner = kNoInstance;

  // The members below are meaningful at the owner only, except reportedDown and
  // the counts of flows that are Passed or Elsewhere.
  Knowledge knowledge = Knowledge::None;
  // Instance that owned the server before, or would own it without this one, if
  // it still responds and its hand-over has not arrived; otherwise kNoInstance.
  InstanceId formerOwner = kNoInstance;
  Micros ownedSince = 0;
  std::array<uint32_t, kFlowStates> counts{}; // flows by state
  // Slots reserved for claimed flows. It follows the claims, also while another
  // instance owns the server.
  uint32_t reserved = 0;
  // Held flows that may get a slot here; some may no longer be held.
  std::deque<FlowKey> claimable;

  uint32_t unansweredHandshakes = 0; // not finished in time, since lastProgress
  Micros lastProgress = 0;  // of a handshake or response, see OnProgress
  Micros lastAdmission = 0; // of a new flow, trial flows included
  Micros slowStartFrom = -kSlowStartTime;
  bool reportedDown = false;
  uint32_t stragglers = 0; // flows whose request runs much longer than most

  uint32_t Count(FlowState aState) const
  {
    return this->counts[static_cast<size_t>(aState)];
  }

  // Slots in use: requests that the server processes or is about to get,
  // reserved slots included.
  uint32_t Occupied() const;

  // Flows that have a connection to the server or are about to get one:
  // reserved slots are included, closing flows are not.
  uint32_t OpenFlows() const;

  // Slots that may be used at aNow: fewer than the table has during slow start.
  uint32_t Slots(Micros aNow) const;

  // Max. occupied slots: Slots(), plus aPipeline flows for each slot without a
  // straggler, as a flow occupies its slot also while its packets are on the
  // network. So no slot is idle and no request queues for one. It is at least
  // the number of stragglers. aPipeline: see Timing::Pipeline.
  uint32_t Limit(Micros aNow, double aPipeline) const;

  bool TakesNew() const { return !this->removed && !this->row.draining; }

  // True where at least kUnansweredHandshakes handshakes were not finished in
  // time since the last progress.
  bool IsUnresponsive() const
  {
    return this->unansweredHandshakes >= kUnansweredHandshakes;
  }

  // True where the server may get a new flow at aNow: it seems healthy, or a
  // trial flow is due. aTrustReports is false where too many servers are
  // reported down at once.
  bool IsUsable(Micros aNow, bool aTrustReports) const;

  // True where fewer slots are occupied than Limit() and fewer flows are open
  // than the server's connection limit.
  bool HasFreeSlot(Micros aNow, double aPipeline) const;

  // A caller's packet shows that the server responds. If it was unresponsive,
  // its slow start begins.
  void OnProgress(Micros aNow);
};

// Smoothed durations of one service, measured from the callers' packets.
struct Timing
{
  Micros handshake = 0; // from the forwarded SYN to the ACK
  // From the request to the first ACK of the response, of requests for which no
  // more slots were occupied than the server has, see Flow::slotsSufficed.
  Micros response = 0;
  // From the reservation of a slot to the flow's arrival. Flows that are
  // admitted in lookup order count with 0; flows granted without a reservation
  // do not count.
  Micros claim = 0;

  void OnHandshake(Micros aDuration);
  void OnResponse(Micros aDuration);
  // A slot was reserved for aDuration until its flow arrived; 0 without a
  // reservation.
  void OnAdmitted(Micros aDuration);

  // How many flows per slot may be admitted beyond the slots. It is the ratio
  // of two parts of the time that a flow occupies a slot: the time on the
  // network to the time that the server works on the request; with a margin and
  // an upper limit. 0 where they have not been measured yet.
  double Pipeline() const;

  // A request older than this is a straggler: it runs much longer than most.
  // 0 where no response has been measured yet.
  Micros StragglerAge() const;
};

}
