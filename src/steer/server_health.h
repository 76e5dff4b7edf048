// Health of one backend server as inferred from the callers' packets: whether
// it answers, and how long its requests take.
#pragma once

#include "steer/server_load.h"

namespace gentianspindle::steer {

// A handshake takes one round trip. A server that leaves it unanswered for this
// time becomes suspect, unless it answered another flow since the opening
// packet. Callers repeat their opening packet only after 200 ms.
constexpr Micros kHandshakeTimeout = 60 * kMillisecond;
// After an unanswered opening packet a server gets no new flow for this time,
// unless all other servers are suspect or take no new flows. Each further
// unanswered packet doubles the time, up to the maximum.
constexpr Micros kInitialServerBackoff = 300 * kMillisecond;
constexpr Micros kMaxServerBackoff = 5 * kSecond;
// Number of doublings at most, which bounds the shift; so many of them exceed
// kMaxServerBackoff.
constexpr int kMaxBackoffDoublings = 5;
// Weight of the newest response time in the moving average, which covers about
// the last ten responses.
constexpr double kResponseWeight = 0.1;

// This instance's observations of one server process.
struct ServerHealth
{
  uint32_t open = 0;    // open flows of the server that this instance handles
  uint32_t opening = 0; // of these, flows whose handshake is not yet answered
  uint32_t unanswered = 0;   // unanswered opening packets since lastProgress
  Micros lastProgress = 0;   // when the server was last seen to answer
  Micros backoffUntil = 0;   // no new flows before this time
  double responseMicros = 0; // moving average; 0 if unknown
  ServerLoad load;

  // A caller's packet shows that the server answered; ends the backoff.
  void OnProgress(Micros aNow)
  {
    this->lastProgress = aNow;
    this->unanswered = 0;
    this->backoffUntil = 0;
  }

  // An opening packet was not answered in time; starts or extends the backoff.
  void OnUnanswered(Micros aNow)
  {
    uint32_t doublings = this->unanswered < kMaxBackoffDoublings
                           ? this->unanswered
                           : kMaxBackoffDoublings;
    Micros backoff = kInitialServerBackoff << doublings;
    ++this->unanswered;
    this->backoffUntil =
      aNow + (backoff < kMaxServerBackoff ? backoff : kMaxServerBackoff);
  }

  // The server is gone or out of reach; starts the longest backoff.
  void OnVerdict(Micros aNow)
  {
    this->unanswered = kMaxBackoffDoublings;
    this->backoffUntil = aNow + kMaxServerBackoff;
  }

  // A request was answered after aDuration.
  void OnResponse(Micros aDuration)
  {
    auto duration = static_cast<double>(aDuration);
    this->responseMicros =
      this->responseMicros == 0
        ? duration
        : this->responseMicros +
            kResponseWeight * (duration - this->responseMicros);
  }

  // Returns whether new flows should avoid the server at aNow. After the
  // backoff a server that did not answer gets one trial flow at a time: no
  // further one while any handshake with it is open.
  bool IsSuspect(Micros aNow) const
  {
    if (this->unanswered == 0) {
      return false;
    }
    return aNow < this->backoffUntil || this->opening > 0;
  }
};

}
