// What an instance remembers of a flow.
#pragma once

#include "steer/admission.h"
#include "steer/flow_progress.h"
#include "steer/request_tracker.h"

#include "steer/route_rooms.h"

namespace gentianspindle::steer {

// The record of a flow without packets for this time is erased, so that the
// flow no longer counts as open at its server. Later packets still find the
// server by their tag.
constexpr Micros kQuietTime = 5 * kSecond;

// What this instance knows of one open flow.
struct FlowRecord
{
  ServerIndex server = kNoServer;
  uint32_t generation = 0; // of the server when the record was made
  // Sequence number of the opening packet. If another instance placed the flow,
  // the number before that of the first data that this one saw, which is the
  // same if that was the flow's first data.
  uint32_t openingSeq = 0;
  // Another acknowledgement than this one shows a response. It is that of the
  // caller's packet that ended the handshake or, if another instance placed the
  // flow, of the first packet with data that this one saw.
  uint32_t ackBase = 0;
  // When the server was chosen; if another instance chose it, when this one saw
  // the flow's first data.
  Micros placedAt = 0;
  // When the opening packet was sent to the server: at placedAt, or later if
  // the process was stopped in between.
  Micros sentAt = 0;
  Micros lastSentAt = 0; // as sentAt, of the last retransmission
  // Opening packets that the server could have answered before the caller sent
  // the next one.
  uint32_t unanswered = 0;
  Micros handshake = 0;    // from lastSentAt to the answer; 0: not seen
  Micros requestAt = 0;    // when the first data was seen; 0: not yet
  Micros lastPacketAt = 0; // when a packet last updated the record
  bool opening = true;     // the handshake is not yet answered
  // The flow can no longer make its server suspect: its opening packet went
  // unanswered already, or this process was paused before its handshake check.
  bool suspected = false;
  bool answered = false;    // the response to the first request was seen
  FlowProgress progress;    // for FailureDetector; repeats count here
  Micros latencyTarget = 0; // of the route; 0 if another instance placed it
  RequestTracker requests;  // for placing; not updated with ByRequests::Never
  bool busy = false;        // counts in ServerLoad::inFlight, else as idle
  // Limit that the flow counts against; null: it counts no more.
  ConcurrencyLimit* limit = nullptr;
  // Room of its route that the flow takes up as long as it counts; null: none.
  RouteRoom* room = nullptr;
};

}
