// Chooses the backend server of a new flow by load, response time, warm-up and
// availability zone.
#pragma once

#include "steer/candidates.h"
#include "steer/evidence.h"

#include <random>

namespace gentianspindle::steer {

struct PlacerOptions
{
  std::string zone; // of this instance
  // Added to the score of servers in another availability zone, in the unit of
  // the score: requests per slot at a server with the mean response time.
  double remotePenalty = 0.4;
  // Requests take this many times as long at a server that has just started.
  double warmupFactor = 1.6;
  // Must differ between instances: those that start together would otherwise
  // all choose the same servers one after the other.
  uint32_t randomSeed = 1;
};

// The chosen server, and the figures behind the choice for the log.
struct Placement
{
  ServerIndex server = kNoServer;
  double score = 0; // 0 if the server is suspect
  // Lowest score among the other candidates; without any, the server's own.
  double nextScore = 0;
  uint32_t candidates = 0; // servers that were compared
  // Suspect servers. One of them is chosen only if there is no candidate.
  uint32_t suspects = 0;
  ExclusionCounts excluded{}; // servers of the service that were left out
};

// Chooses the server with the lowest score; ties are broken at random.
class Placer
{
public:
  explicit Placer(const PlacerOptions& aOptions)
    : options(aOptions)
    , random(aOptions.randomSeed)
  {
  }

  // aHealth has the servers' health by index in aView.
  Placement ChooseServer(const View& aView,
                         std::span<const ServerHealth> aHealth,
                         const PlacementRequest& aRequest,
                         Micros aNow);

private:
  double Score(const Server& aServer,
               const ServerHealth& aHealth,
               double aMeanResponse,
               Micros aNow) const;

  PlacerOptions options;
  std::mt19937 random;
};

}
