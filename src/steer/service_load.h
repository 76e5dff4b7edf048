// Demand of the callers of one instance for one service, and the kind of flows
// that they use.
#pragma once

#include "steer/server_load.h"

namespace gentianspindle::steer {

// Demand is measured over periods of this time.
constexpr Micros kLoadPeriod = 500 * kMillisecond;

struct ServiceLoad
{
  // Weight of the newest period in the moving average.
  static constexpr double kPeriodWeight = 0.3;

  // The service counts as one with long flows until most flows were seen to end
  // after their first request. These are the shares of later requests, among
  // them and such flows, from which it counts as one again, and below which it
  // doesn't.
  static constexpr double kManyLaterRequests = 0.3;
  static constexpr double kFewLaterRequests = 0.1;
  static constexpr double kMinSamples = 20;

  double busyMicros = 0; // time of requests at servers in this period
  // Slots that this instance's requests occupy, moving average.
  double demand = 0;
  // Demand of the zone's callers, at servers of any zone, relative to the
  // service's slots in the zone. Placing flows elsewhere doesn't change it, so
  // decisions that follow it don't swing.
  double zoneLoad = 0;

  Average laterShare{ .maxWeight = 200 };
  // Assumed at first: where a long flow goes matters for all its time.
  bool hasLongFlows = true;

  // A flow sent its request number aNumber.
  void OnRequest(uint32_t aNumber)
  {
    if (aNumber > 1) {
      this->OnSample(1);
    }
  }
  // A flow was closed after aRequests requests.
  void OnClosed(uint32_t aRequests)
  {
    if (aRequests == 1) {
      this->OnSample(0);
    }
  }

  // aInstances instances of the zone have about the same demand; aSlots are the
  // zone's.
  void EndPeriod(Micros aPeriod, size_t aInstances, uint32_t aSlots)
  {
    double demand = this->busyMicros / static_cast<double>(aPeriod);
    this->demand = this->demand == 0
                     ? demand
                     : this->demand + kPeriodWeight * (demand - this->demand);
    this->busyMicros = 0;
    this->zoneLoad = this->demand * static_cast<double>(aInstances) /
                     static_cast<double>(aSlots > 0 ? aSlots : 1);
  }

private:
  void OnSample(double aLater)
  {
    this->laterShare.Add(aLater);
    double threshold =
      this->hasLongFlows ? kFewLaterRequests : kManyLaterRequests;
    if (this->laterShare.weight >= kMinSamples) {
      this->hasLongFlows = this->laterShare.value > threshold;
    }
  }
};

}
