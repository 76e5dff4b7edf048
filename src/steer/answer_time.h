// How long the answers to a route's requests take, learned from the newest
// ones.
#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstdint>

namespace gentianspindle::steer {

// Learns a quantile. It moves by a part of itself with each sample, so that it
// follows a change of any size, and one straggler counts as one sample only.
class MovingQuantile
{
public:
  explicit MovingQuantile(double aQuantile)
    : quantile(aQuantile)
  {
  }

  void Add(Micros aDuration, double aWeight = 1)
  {
    constexpr double kStep = 0.1;
    auto duration = static_cast<double>(aDuration);
    if (this->samples < kFirstSamples) {
      ++this->samples;
      bool takes =
        this->value == 0 || (this->quantile > 0.5 ? duration > this->value
                                                  : duration < this->value);
      this->value = takes ? duration : this->value;
      return;
    }
    double step = this->quantile - (duration > this->value ? 0 : 1);
    this->value *= 1 + kStep * aWeight * step;
  }

  // 0: not known yet.
  double Value() const { return this->value; }

private:
  // A step is too small to make up for a first sample that is far off, so the
  // first ones give a greatest or least value.
  static constexpr uint32_t kFirstSamples = 5;

  double quantile;
  double value = 0;
  uint32_t samples = 0; // up to kFirstSamples
};

class AnswerTime
{
public:
  // A handshake took aDuration; 0: that is not known.
  void AddHandshake(Micros aDuration)
  {
    if (aDuration > 0) {
      this->handshake.Add(aDuration);
    }
  }

  // Returns how much of a response's time is not its way, or 0 if it came
  // sooner than handshakes are answered. The way is taken from
  // quick handshakes, not from that of the flow, which this process may have
  // seen late.
  Micros AtServer(Micros aResponded) const
  {
    auto way = static_cast<Micros>(this->handshake.Value());
    return std::max<Micros>(0, aResponded - way);
  }

  // A flow was answered for the first time aPlaced after its placement. The
  // server took aAtServer of that.
  void Add(Micros aPlaced, Micros aAtServer)
  {
    constexpr double kMeanWeight = 0.05;
    auto placed = static_cast<double>(aPlaced);
    double weight = this->mean == 0 ? 1 : kMeanWeight;
    this->mean += weight * (placed - this->mean);
    this->slow.Add(aPlaced);
    if (aAtServer > 0) {
      this->quick.Add(aAtServer);
    }
  }

  // Returns whether a server answered so much sooner than usual that it can
  // hardly have worked on the request: it rejected it, as its queue was full.
  bool IsRejection(Micros aAtServer) const
  {
    constexpr double kAdmissionRejectionPart = 0.35;
    return static_cast<double>(aAtServer) <
           kAdmissionRejectionPart * this->quick.Value();
  }

  // A request was rejected, as it seems. It counts a little, so that requests
  // that take less time from now on don't count as rejected for good.
  void AddRejection(Micros aAtServer)
  {
    constexpr double kRejectionWeight = 0.1;
    this->quick.Add(aAtServer, kRejectionWeight);
  }

  // Time from placement to answer, about the last 20; 0: not known yet.
  double Mean() const { return this->mean; }
  // Four in five answers take less.
  Micros Quantile() const { return static_cast<Micros>(this->slow.Value()); }

private:
  double mean = 0;
  MovingQuantile slow{ 0.8 };
  MovingQuantile quick{ 0.2 }; // of the time at the server
  MovingQuantile handshake{ 0.2 };
};

}
