#include "steer/request_times.h"

namespace gentianspindle::steer {

namespace {

constexpr double kWayWeight = 0.1;
// Shorter times at a server are not told from the way there.
constexpr double kMinServiceMicros = 100;
// A response after less than this fraction of the mean is taken for a rejection
// by a full server. Without that, a full server would look like a quick one and
// get still more.
constexpr double kPlacingRejectionFraction = 0.1;
// Of a route with fewer samples or a shorter mean, nothing is taken for one.
constexpr double kMinRejectionSamples = 20;
constexpr double kMinRejectionMeanMicros = 3000;
constexpr double kIdleLoadWeight = 0.3;

}

void
RequestTimes::OnHandshake(Micros aDuration)
{
  auto duration = static_cast<double>(aDuration);
  this->wayMicros =
    this->wayMicros == 0
      ? duration
      : this->wayMicros + kWayWeight * (duration - this->wayMicros);
}

double
RequestTimes::ServiceMicros(Micros aDuration) const
{
  return std::max(kMinServiceMicros,
                  static_cast<double>(aDuration) - this->wayMicros);
}

double
RequestTimes::OnResponse(const Endpoint& aRoute, double aServiceMicros)
{
  Average& mean = this->routes[aRoute].time;
  double meanMicros = std::exp(mean.value);
  bool rejected = mean.weight >= kMinRejectionSamples &&
                  meanMicros > kMinRejectionMeanMicros &&
                  aServiceMicros < kPlacingRejectionFraction * meanMicros;
  if (rejected) {
    ++this->rejections;
    return ServerLoad::kMaxLogFactor;
  }
  mean.Add(std::log(aServiceMicros));
  return std::log(aServiceMicros) - mean.value;
}

void
RequestTimes::UpdateIdleLoad(uint32_t aIdleFlows,
                             Micros aBusyTime,
                             Micros aPeriod)
{
  if (aIdleFlows == 0 || aPeriod <= 0) {
    return;
  }
  auto busy = static_cast<double>(aBusyTime);
  double idle = static_cast<double>(aIdleFlows) * static_cast<double>(aPeriod);
  this->idleLoad += kIdleLoadWeight * (busy / (busy + idle) - this->idleLoad);
}

}
