#include "steer/placer.h"

#include <algorithm>
#include <cmath>

namespace gentianspindle::steer {

namespace {

// A server's response time counts as at least this part of the mean, so that
// a few quick answers do not draw all flows to one server.
constexpr double kLeastRelativeResponse = 0.7;
// Scores that differ by less are the same; chance decides.
constexpr double kSameScore = 1e-6;

// Mean response time at the servers that have one.
double
MeanResponse(std::span<const ServerIndex> aPlaces,
             std::span<const ServerHealth> aEvidence)
{
  double sum = 0;
  uint32_t count = 0;
  for (ServerIndex place : aPlaces) {
    if (aEvidence[place].responseMicros > 0) {
      sum += aEvidence[place].responseMicros;
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
              const ServerHealth& aEvidence,
              double aMeanResponse,
              Micros aNow) const
{
  double perSlot = (aEvidence.open + 1.0) / std::max(1U, aServer.entry.slots);
  double stretch = 1;
  if (aMeanResponse > 0 && aEvidence.responseMicros > 0) {
    stretch = std::max(kLeastRelativeResponse,
                       aEvidence.responseMicros / aMeanResponse);
  }
  if (aNow < aServer.warmupUntil) {
    stretch = std::max(stretch, this->options.warmupFactor);
  }
  bool remote = aServer.entry.zone != this->options.zone;
  return perSlot * stretch + (remote ? this->options.remotePenalty : 0);
}

Choice
Placer::Choose(const View& aView,
               std::span<const ServerHealth> aEvidence,
               std::string_view aService,
               ServerIndex aExcept,
               Micros aNow)
{
  std::span<const ServerIndex> places = aView.Of(aService);
  double mean = MeanResponse(places, aEvidence);
  Choice choice;
  Choice suspect;
  uint32_t same = 0;
  for (ServerIndex place : places) {
    const Server& server = aView.At(place);
    if (!server.TakesNew() || place == aExcept) {
      continue;
    }
    const ServerHealth& evidence = aEvidence[place];
    double score = this->Score(server, evidence, mean, aNow);
    if (evidence.Suspect(aNow)) {
      ++choice.suspects;
      // The one that may be tried again soonest is the least bad.
      double wait = static_cast<double>(evidence.avoidUntil - aNow);
      if (suspect.server == kNoServer || wait < suspect.score) {
        suspect.server = place;
        suspect.score = wait;
      }
      continue;
    }
    ++choice.candidates;
    bool equal =
      choice.server != kNoServer && std::abs(score - choice.score) < kSameScore;
    same = equal ? same + 1 : same;
    bool better =
      choice.server == kNoServer || score < choice.score - kSameScore;
    if (better) {
      choice.nextScore = choice.server == kNoServer ? score : choice.score;
      choice.server = place;
      choice.score = score;
      same = 1;
    } else if (equal && this->random() % same == 0) {
      choice.server = place;
      choice.nextScore = score;
    } else if (choice.candidates == 2 || score < choice.nextScore) {
      choice.nextScore = score;
    }
  }
  if (choice.server == kNoServer) {
    choice.server = suspect.server;
  }
  return choice;
}

}
