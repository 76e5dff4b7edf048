// Placing in the tagged load with whole knowledge, to compare with.
#pragma once

#include "support/load_servers.h"
#include "support/tagged_load_parts.h"

namespace gentianspindle {

// Chooses servers with knowledge of all requests, speeds and flows.
class WholeKnowledge
{
public:
  explicit WholeKnowledge(const TaggedLoadOptions& aOptions)
    : options(aOptions)
    , expected(aOptions.servers)
    , flows(aOptions.servers)
  {
  }

  // aSlowdown has the servers' factors on the work. Servers of other zones are
  // chosen only if they are better by more than the way there.
  size_t Choose(const LoadServers& aServers,
                const std::vector<double>& aSlowdown,
                size_t aKind,
                size_t aZone)
  {
    const TaggedLoadKind& kind = this->options.kinds[aKind];
    size_t best = 0;
    double bestWait = 0;
    for (size_t i = 0; i < aSlowdown.size(); ++i) {
      double load =
        kind.longFlows > 0
          ? this->flows[i]
          : static_cast<double>(aServers.InFlight(i)) + this->expected[i];
      double wait = (load + 1) / this->options.slots * aSlowdown[i] *
                    static_cast<double>(kind.work);
      bool remote = i % this->options.zones != aZone;
      wait +=
        remote ? static_cast<double>(2 * this->options.crossZoneDelay) : 0;
      if (i == 0 || wait < bestWait) {
        best = i;
        bestWait = wait;
      }
    }
    ++(kind.longFlows > 0 ? this->flows : this->expected)[best];
    return best;
  }
  // The request that the flow was opened for is at the server.
  void OnRequest(size_t aServer, size_t aKind)
  {
    if (this->options.kinds[aKind].longFlows == 0) {
      --this->expected[aServer];
    }
  }

private:
  const TaggedLoadOptions& options;
  std::vector<double> expected; // opened flows without their request
  std::vector<double> flows;    // that last
};

}
