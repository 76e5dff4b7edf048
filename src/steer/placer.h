// Chooses the backend server of a new flow.
#pragma once

#include "steer/server_health.h"
#include "steer/view.h"

#include <random>

namespace gentianspindle::steer {

struct PlacerOptions
{
  std::string zone; // of this instance
  // What another availability zone adds to the score, in requests per slot.
  double remotePenalty = 0.4;
  // Work takes this much longer at a server that has just started.
  double warmupFactor = 1.6;
};

// Why a server was chosen, for the log.
struct Placement
{
  ServerIndex server = kNoServer;
  double score = 0;
  double nextScore = 0; // of the best other candidate
  uint32_t candidates = 0;
  uint32_t suspects = 0;
};

class Placer
{
public:
  explicit Placer(const PlacerOptions& aOptions)
    : options(aOptions)
  {
  }

  // aHealth: by place in aView. aExcluded was tried in vain.
  Placement ChooseServer(const View& aView,
                         std::span<const ServerHealth> aHealth,
                         std::string_view aService,
                         ServerIndex aExcluded,
                         Micros aNow);

private:
  double Score(const Server& aServer,
               const ServerHealth& aHealth,
               double aMeanResponse,
               Micros aNow) const;

  PlacerOptions options;
  std::minstd_rand random{ 1 };
};

}
