#include "steer/placer.h"

#include <algorithm>
#include <cmath>

namespace gentianspindle::steer {

namespace {

// A server's response time counts as at least this part of the mean, so that
// a few quick answers do not draw all flows to one server.
constexpr double kMinRelativeResponse = 0.7;
// Scores that differ by less are the same; chance decides.
constexpr double kScoreTolerance = 1e-6;

// Mean response time at the servers that have one.
double
MeanResponse(std::span<const ServerIndex> aIndexes,
             std::span<const ServerHealth> aHealth)
{
  double sum = 0;
  uint32_t count = 0;
  for (ServerIndex index : aIndexes) {
    if (aHealth[index].responseMicros > 0) {
      sum += aHealth[index].responseMicros;
      ++count;
    }
  }
  return count == 0 ? 0 : sum / count;
}

}

// Expected time to the end of one more request, in units of the mean response
// time: what is open there, over the slots, stretched where the server is slow
// or cold. Answers the load of slow and just started servers; the penalty
// keeps flows in the zone, where this instance sees most of a server's flows,
// until the zone's own servers are busy.
double
Placer::Score(const Server& aServer,
              const ServerHealth& aHealth,
              double aMeanResponse,
              Micros aNow) const
{
  double requestsPerSlot =
    (aHealth.open + 1.0) / std::max(1U, aServer.entry.slots);
  double slowdown = 1;
  if (aMeanResponse > 0 && aHealth.responseMicros > 0) {
    slowdown =
      std::max(kMinRelativeResponse, aHealth.responseMicros / aMeanResponse);
  }
  if (aNow < aServer.warmupUntil) {
    slowdown = std::max(slowdown, this->options.warmupFactor);
  }
  bool remote = aServer.entry.zone != this->options.zone;
  return requestsPerSlot * slowdown +
         (remote ? this->options.remotePenalty : 0);
}

Placement
Placer::ChooseServer(const View& aView,
                     std::span<const ServerHealth> aHealth,
                     std::string_view aService,
                     ServerIndex aExcluded,
                     Micros aNow)
{
  std::span<const ServerIndex> indexes = aView.ServersOf(aService);
  double mean = MeanResponse(indexes, aHealth);
  Placement placement;
  Placement suspect;
  uint32_t tied = 0;
  for (ServerIndex index : indexes) {
    const Server& server = aView.At(index);
    if (!server.AcceptsNewFlows() || index == aExcluded) {
      continue;
    }
    const ServerHealth& health = aHealth[index];
    double score = this->Score(server, health, mean, aNow);
    if (health.IsSuspect(aNow)) {
      ++placement.suspects;
      // The one that may be tried again soonest is the least bad.
      double wait = static_cast<double>(health.backoffUntil - aNow);
      if (suspect.server == kNoServer || wait < suspect.score) {
        suspect.server = index;
        suspect.score = wait;
      }
      continue;
    }
    ++placement.candidates;
    bool equal = placement.server != kNoServer &&
                 std::abs(score - placement.score) < kScoreTolerance;
    tied = equal ? tied + 1 : tied;
    bool better = placement.server == kNoServer ||
                  score < placement.score - kScoreTolerance;
    if (better) {
      placement.nextScore =
        placement.server == kNoServer ? score : placement.score;
      placement.server = index;
      placement.score = score;
      tied = 1;
    } else if (equal && this->random() % tied == 0) {
      placement.server = index;
      placement.nextScore = score;
    } else if (placement.candidates == 2 || score < placement.nextScore) {
      placement.nextScore = score;
    }
  }
  if (placement.server == kNoServer) {
    placement.server = suspect.server;
  }
  return placement;
}

}
