// Chooses the backend server of a new flow by load, response time, warm-up and
// availability zone.
#pragma once

#include "steer/candidates.h"
#include "steer/server_health.h"

#include <random>

namespace gentianspindle::steer {

struct PlacerOptions
{
  std::string zone; // of this instance
  // Added to the score of servers in another availability zone, in the unit of
  // the score: requests per slot at a server with the mean response time.
  double remotePenalty = 0.4;
  // The same for flows that are placed by requests, while this zone has room
  // and while it is full.
  double requestsPenalty = 0.4;
  double fullZonePenalty = 0.1;
  // Requests take this many times as long at a server that has just started.
  double warmupFactor = 1.6;
  // Numbers of servers that are compared for a flow that is placed by requests:
  // of this instance's zone, and of others.
  uint32_t localSample = 64;
  uint32_t remoteSample = 16;
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
  // Servers that a choice compares, and the best so far.
  struct Choice
  {
    Placement placement;
    Placement suspect;
    uint32_t tied = 0;
  };
  // Takes the server into the comparison.
  void Compare(ServerIndex aIndex,
               const ServerHealth& aHealth,
               double aScore,
               Micros aNow,
               Choice& aChoice);
  Placement ChooseFromSample(const View& aView,
                             std::span<const ServerHealth> aHealth,
                             const PlacementRequest& aRequest,
                             Micros aNow);
  double Wait(const Server& aServer,
              const ServerHealth& aHealth,
              const PlacementRequest& aRequest,
              Micros aNow) const;
  double RemotePenalty(double aZoneLoad) const;
  double Score(const Server& aServer,
               const ServerHealth& aHealth,
               double aMeanResponse,
               Micros aNow) const;

  PlacerOptions options;
  std::mt19937 random;
};

}
