#include "steer/shares.h"

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>

namespace gentianspindle::steer {

namespace {

// Part of the share that the route has.
double
Fill(const RouteTurn& aTurn)
{
  return aTurn.share > 0 ? aTurn.used / aTurn.share
                         : std::numeric_limits<double>::infinity();
}

// What the route needs beyond aShare.
double
Missing(const RouteNeed& aNeed, double aShare)
{
  return std::max(0.0, kShareMargin * aNeed.usual - aShare);
}

}

std::vector<double>
DivideRoom(double aRoom, double aLeastShare, std::span<const RouteNeed> aNeeds)
{
  if (aNeeds.empty()) {
    return {};
  }
  auto count = static_cast<double>(aNeeds.size());
  std::vector<double> shares(aNeeds.size(), aRoom * aLeastShare / count);
  double left = aRoom * (1 - aLeastShare);
  double usual = 0;
  std::set<uint32_t> priorities;
  for (const RouteNeed& need : aNeeds) {
    usual += need.usual;
    priorities.insert(need.priority);
  }
  for (uint32_t priority : priorities) {
    double missing = 0;
    for (size_t i = 0; i < aNeeds.size(); ++i) {
      bool same = aNeeds[i].priority == priority;
      missing += same ? Missing(aNeeds[i], shares[i]) : 0;
    }
    double part = missing > left ? left / missing : 1;
    for (size_t i = 0; i < aNeeds.size(); ++i) {
      bool same = aNeeds[i].priority == priority;
      shares[i] += same ? part * Missing(aNeeds[i], shares[i]) : 0;
    }
    left -= part * missing;
  }
  for (size_t i = 0; i < aNeeds.size(); ++i) {
    shares[i] += left * (usual > 0 ? aNeeds[i].usual / usual : 1 / count);
  }
  return shares;
}

bool
GoesBefore(const RouteTurn& aLeft, const RouteTurn& aRight)
{
  auto rank = [](const RouteTurn& aTurn) {
    int step = aTurn.used < aTurn.share ? 1 : 2;
    step = aTurn.used < aTurn.least ? 0 : step;
    return std::tuple(step, aTurn.priority, Fill(aTurn));
  };
  return rank(aLeft) < rank(aRight);
}

}
