// Openings of each route that this instance held or refused itself, for the
// metrics.
#pragma once

#include "steer/decision.h"

#include <algorithm>
#include <map>

namespace gentianspindle::steer {

// Routes counted by name; those beyond are counted together.
constexpr size_t kMaxCountedRoutes = 32;
// Longer names are cut to this many bytes.
constexpr size_t kMaxCountedName = 64;
constexpr std::string_view kOtherRoutes = "(others)";

// Decisions that are counted by route.
constexpr std::array<Reason, 5> kRouteReasons{ Reason::Held,
                                               Reason::HoldFull,
                                               Reason::HeldTooLong,
                                               Reason::TooLate,
                                               Reason::ShareFull };

class RouteCounts
{
public:
  using Counts = std::array<uint64_t, kRouteReasons.size()>;

  void Add(std::string_view aRoute, Reason aReason)
  {
    auto reason =
      std::find(kRouteReasons.begin(), kRouteReasons.end(), aReason);
    if (reason != kRouteReasons.end()) {
      ++this->Of(aRoute.substr(
        0,
        kMaxCountedName))[static_cast<size_t>(reason - kRouteReasons.begin())];
    }
  }

  const auto& All() const { return this->counts; }

private:
  Counts& Of(std::string_view aRoute)
  {
    auto known = this->counts.find(aRoute);
    if (known != this->counts.end()) {
      return known->second;
    }
    bool fits = this->counts.size() < kMaxCountedRoutes;
    return this->counts[std::string(fits ? aRoute : kOtherRoutes)];
  }

  std::map<std::string, Counts, std::less<>> counts; // by name
};

}
