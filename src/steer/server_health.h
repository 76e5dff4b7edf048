// What the callers' packets tell about one backend server: whether it answers
// and how long its requests take.
#pragma once

#include "steer/types.h"

namespace gentianspindle::steer {

// A handshake takes a round trip; one without answer for this time speaks
// against the server. Callers repeat their opening packet after 200 ms only.
constexpr Micros kHandshakeTimeout = 60 * kMillisecond;
// After an unanswered opening packet a server gets no new flow for this time,
// doubled with each further one up to the longest.
constexpr Micros kInitialServerBackoff = 300 * kMillisecond;
constexpr Micros kMaxServerBackoff = 5 * kSecond;
// Weight of the newest response time in the average: about the last ten.
constexpr double kResponseWeight = 0.1;

struct ServerHealth
{
  uint32_t open = 0;       // flows placed there by this instance, not ended
  uint32_t opening = 0;    // of these, without answer yet
  uint32_t unanswered = 0; // opening packets in vain since the last progress
  Micros lastProgress = 0;
  Micros backoffUntil = 0;
  double responseMicros = 0; // average; 0: not known

  // The callers' packets show that the server answers.
  void OnProgress(Micros aNow)
  {
    this->lastProgress = aNow;
    this->unanswered = 0;
    this->backoffUntil = 0;
  }

  void OnUnanswered(Micros aNow)
  {
    uint32_t doublings = this->unanswered < 5 ? this->unanswered : 5;
    Micros backoff = kInitialServerBackoff << doublings;
    ++this->unanswered;
    this->backoffUntil =
      aNow + (backoff < kMaxServerBackoff ? backoff : kMaxServerBackoff);
  }

  void OnResponse(Micros aDuration)
  {
    auto duration = static_cast<double>(aDuration);
    this->responseMicros =
      this->responseMicros == 0
        ? duration
        : this->responseMicros +
            kResponseWeight * (duration - this->responseMicros);
  }

  // Speaks anything against a new flow at aNow? A server that did not answer
  // gets one trial at a time.
  bool IsSuspect(Micros aNow) const
  {
    if (this->unanswered == 0) {
      return false;
    }
    return aNow < this->backoffUntil || this->opening > 0;
  }
};

}
