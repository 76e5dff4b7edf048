// How long the answers to a route's requests take, learned from the newest
// ones.
#pragma once

#include "base/time.h"

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
    if (this->value == 0) {
      this->value = duration;
      return;
    }
    double step = this->quantile - (duration > this->value ? 0 : 1);
    this->value *= 1 + kStep * aWeight * step;
  }

  // 0: not known yet.
  double Value() const { return this->value; }

private:
  double quantile;
  double value = 0;
};

class AnswerTime
{
public:
  // A flow was answered for the first time aPlaced after its placement. The
  // server took aAtServer of that.
  void Add(Micros aPlaced, Micros aAtServer)
  {
    constexpr double kMeanWeight = 0.05;
    auto placed = static_cast<double>(aPlaced);
    double weight = this->mean == 0 ? 1 : kMeanWeight;
    this->mean += weight * (placed - this->mean);
    this->slow.Add(aPlaced);
    this->quick.Add(aAtServer);
  }

  // Returns whether a server answered so much sooner than usual that it can
  // hardly have worked on the request: it rejected it, as its queue was full.
  bool IsRejection(Micros aAtServer) const
  {
    constexpr double kRejectionPart = 0.35;
    return static_cast<double>(aAtServer) <
           kRejectionPart * this->quick.Value();
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
};

}
