// Load and speed of one backend server: requests in flight there, and how long
// they take relative to others of their route.
#pragma once

#include "steer/types.h"

#include <algorithm>
#include <cmath>

namespace gentianspindle::steer {

// Moving average over the last samples.
struct Average
{
  double value = 0;
  double weight = 0;     // number of samples, up to maxWeight
  double maxWeight = 16; // number of samples that the average covers at most

  // Adds the average of aCount samples.
  void Add(double aValue, double aCount = 1)
  {
    if (aCount <= 0) {
      return;
    }
    this->weight = std::min(this->weight + aCount, this->maxWeight);
    this->value +=
      (aValue - this->value) * std::min(1.0, aCount / this->weight);
  }
};

// Requests of one server process, as this instance sees them.
struct ServerLoad
{
  // So many samples of a server's speed weigh as much as the assumption that it
  // is like the others.
  static constexpr double kPriorSamples = 4;
  // Logarithms of relative times beyond this are stragglers, or wrong.
  static constexpr double kMaxLogFactor = 2;

  // Flows of this instance that have a request in flight, or were opened and
  // have not sent one yet.
  uint32_t inFlight = 0;
  uint32_t idle = 0; // open flows without one
  // Of the logarithms of requests' times, relative to the mean of their routes.
  // Logarithms keep a straggler from outweighing many others.
  Average time;
  Micros timedAt = 0; // when the last request was timed; 0: never
  double factor = 1;  // of the service time, relative to other servers

  // Returns whether the factor rests on samples more than on the assumption.
  bool IsLearned() const { return this->time.weight >= kPriorSamples; }

  void OnOpen(bool aBusy) { ++(aBusy ? this->inFlight : this->idle); }
  void OnEnd(bool aBusy) { --(aBusy ? this->inFlight : this->idle); }
  // An open flow sends a request, or gets the response.
  void OnRequest()
  {
    ++this->inFlight;
    --this->idle;
  }
  void OnAnswer()
  {
    --this->inFlight;
    ++this->idle;
  }

  // A request took aLogFactor relative to others, as a logarithm.
  void OnTime(double aLogFactor, Micros aNow)
  {
    this->timedAt = aNow;
    this->time.Add(std::clamp(aLogFactor, -kMaxLogFactor, kMaxLogFactor));
    this->SetFactor();
  }
  // Lets old samples count less; call it once every kLoadPeriod. A server that
  // gets no requests as it was slow is tried again after a while.
  void Age()
  {
    constexpr double kRemaining = 0.975;
    this->time.weight *= kRemaining;
    this->SetFactor();
  }

private:
  void SetFactor()
  {
    this->factor = std::exp(this->time.value * this->time.weight /
                            (this->time.weight + kPriorSamples));
  }
};

}
