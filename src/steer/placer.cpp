#include "steer/placer.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace gentianspindle::steer {

namespace {

// A server's response time counts as at least this fraction of the mean, so
// that a few quick responses do not draw all flows to one server.
constexpr double kMinRelativeResponse = 0.7;
// Scores that differ by less are equal; the choice between them is random.
constexpr double kScoreTolerance = 1e-6;
// Zone loads up to which this zone has room, and from which it is full. They
// include the time that requests wait at servers.
constexpr double kZoneWithRoom = 0.8;
constexpr double kFullZone = 1.1;
// Number of servers that are looked at to draw a sample.
constexpr size_t kMaxVisited = 256;

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

// Visits the numbers below a size in a scattered order, each once.
class ScatteredOrder
{
public:
  ScatteredOrder(size_t aSize, uint32_t aRandom)
    : size(aSize)
    , next(aSize == 0 ? 0 : aRandom % aSize)
    , stride(Stride(aSize))
  {
  }

  size_t Next()
  {
    size_t taken = this->next;
    this->next = (this->next + this->stride) % this->size;
    return taken;
  }

private:
  // Multiples of the golden ratio spread evenly.
  static size_t Stride(size_t aSize)
  {
    constexpr double kGoldenRatio = 0.618;
    auto stride =
      static_cast<size_t>(kGoldenRatio * static_cast<double>(aSize));
    stride = std::max<size_t>(1, stride);
    while (std::gcd(stride, aSize) > 1) {
      ++stride;
    }
    return stride;
  }

  size_t size;
  size_t next;
  size_t stride;
};

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

// Estimates like Score when one more request would end, but from the requests
// in flight and the learned service times. Open flows without a request count
// by the requests to be expected of them.
double
Placer::Wait(const Server& aServer,
             const ServerHealth& aHealth,
             const PlacementRequest& aRequest,
             Micros aNow) const
{
  const ServerLoad& load = aHealth.load;
  double inFlight = load.inFlight + aRequest.idleLoad * load.idle;
  double factor = load.factor;
  if (aNow < aServer.warmupUntil) {
    factor = std::max(factor, this->options.warmupFactor);
  }
  bool remote = aServer.entry.zone != this->options.zone;
  return (inFlight + 1) / std::max(1U, aServer.entry.slots) * factor +
         (remote ? this->RemotePenalty(aRequest.zoneLoad) : 0);
}

// With room in this zone the whole penalty applies. The more the zone's callers
// ask of its servers, the less of it remains, down to that of a full zone.
double
Placer::RemotePenalty(double aZoneLoad) const
{
  double full = (aZoneLoad - kZoneWithRoom) / (kFullZone - kZoneWithRoom);
  full = std::clamp(full, 0.0, 1.0);
  return this->options.requestsPenalty * (1 - full) +
         this->options.fullZonePenalty * full;
}

void
Placer::Compare(ServerIndex aIndex,
                const ServerHealth& aHealth,
                double aScore,
                Micros aNow,
                Choice& aChoice)
{
  Placement& placement = aChoice.placement;
  if (aHealth.IsSuspect(aNow)) {
    ++placement.suspects;
    // If all servers are suspect, the flow goes to the one whose backoff ends
    // first. suspect.score has the time until then.
    double wait = static_cast<double>(aHealth.backoffUntil - aNow);
    if (aChoice.suspect.server == kNoServer || wait < aChoice.suspect.score) {
      aChoice.suspect.server = aIndex;
      aChoice.suspect.score = wait;
    }
    return;
  }
  ++placement.candidates;
  bool equal = placement.server != kNoServer &&
               std::abs(aScore - placement.score) < kScoreTolerance;
  aChoice.tied = equal ? aChoice.tied + 1 : aChoice.tied;
  bool better =
    placement.server == kNoServer || aScore < placement.score - kScoreTolerance;
  if (better) {
    placement.nextScore =
      placement.server == kNoServer ? aScore : placement.score;
    placement.server = aIndex;
    placement.score = aScore;
    aChoice.tied = 1;
  } else if (equal && this->random() % aChoice.tied == 0) {
    placement.server = aIndex;
    placement.nextScore = aScore;
  } else if (placement.candidates == 2 || aScore < placement.nextScore) {
    placement.nextScore = aScore;
  }
}

// The sample bounds the cost; it has all servers of a small zone. Servers of
// other zones are drawn too, as this zone's may be full.
Placement
Placer::ChooseFromSample(const View& aView,
                         std::span<const ServerHealth> aHealth,
                         const PlacementRequest& aRequest,
                         Micros aNow)
{
  std::span<const ServerIndex> indexes = aView.ServersOf(aRequest.service);
  Choice choice;
  ScatteredOrder order(indexes.size(), this->random());
  uint32_t local = 0;
  uint32_t remote = 0;
  for (size_t visited = 0; visited < indexes.size(); ++visited) {
    bool enough = local >= this->options.localSample || visited >= kMaxVisited;
    if (enough && choice.placement.server != kNoServer) {
      break;
    }
    ServerIndex index = indexes[order.Next()];
    Exclusion exclusion = ExclusionOf(aView, index, aRequest, aNow);
    if (exclusion != Exclusion::None) {
      ++choice.placement.excluded[static_cast<size_t>(exclusion)];
      continue;
    }
    const Server& server = aView.At(index);
    bool isRemote = server.entry.zone != this->options.zone;
    uint32_t& drawn = isRemote ? remote : local;
    if (isRemote && drawn >= this->options.remoteSample) {
      continue;
    }
    ++drawn;
    double wait = this->Wait(server, aHealth[index], aRequest, aNow);
    this->Compare(index, aHealth[index], wait, aNow, choice);
  }
  if (choice.placement.server == kNoServer) {
    choice.placement.server = choice.suspect.server;
  }
  return choice.placement;
}

Placement
Placer::ChooseServer(const View& aView,
                     std::span<const ServerHealth> aHealth,
                     const PlacementRequest& aRequest,
                     Micros aNow)
{
  if (aRequest.byRequests) {
    return this->ChooseFromSample(aView, aHealth, aRequest, aNow);
  }
  std::span<const ServerIndex> indexes = aView.ServersOf(aRequest.service);
  double mean = MeanResponse(indexes, aHealth);
  Choice choice;
  for (ServerIndex index : indexes) {
    Exclusion exclusion = ExclusionOf(aView, index, aRequest, aNow);
    if (exclusion != Exclusion::None) {
      ++choice.placement.excluded[static_cast<size_t>(exclusion)];
      continue;
    }
    const ServerHealth& health = aHealth[index];
    double score = this->Score(aView.At(index), health, mean, aNow);
    this->Compare(index, health, score, aNow, choice);
  }
  if (choice.placement.server == kNoServer) {
    choice.placement.server = choice.suspect.server;
  }
  return choice.placement;
}

}
