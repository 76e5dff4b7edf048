#include "steer/placer.h"

#include <algorithm>
#include <cmath>

namespace gentianspindle::steer {

namespace {

// A server's response time counts as at least this fraction of the mean, so
// that a few quick responses do not draw all flows to one server.
constexpr double kMinRelativeResponse = 0.7;
// Scores that differ by less are equal; the choice between them is random.
constexpr double kScoreTolerance = 1e-6;

// Mean response time of the servers whose response time is known.
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

// Estimates when one more request would end, in units of the mean response
// time: the server's requests per slot, with the new one, multiplied by a
// factor if the server is slow or still warming up. This keeps load off slow
// and just started servers. Only flows that this instance handles are counted.
// The penalty keeps flows in the zone until the zone's own servers are busy;
// there this instance handles a larger part of each server's flows.
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
                     const PlacementRequest& aRequest,
                     Micros aNow)
{
  std::span<const ServerIndex> indexes = aView.ServersOf(aRequest.service);
  double mean = MeanResponse(indexes, aHealth);
  Placement placement;
  Placement suspect;
  uint32_t tied = 0;
  for (ServerIndex index : indexes) {
    Exclusion exclusion = ExclusionOf(aView, index, aRequest, aNow);
    if (exclusion != Exclusion::None) {
      ++placement.excluded[static_cast<size_t>(exclusion)];
      continue;
    }
    const Server& server = aView.At(index);
    const ServerHealth& health = aHealth[index];
    double score = this->Score(server, health, mean, aNow);
    if (health.IsSuspect(aNow)) {
      ++placement.suspects;
      // If all servers are suspect, the flow goes to the one whose backoff ends
      // first. suspect.score has the time until then.
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
