// The relay process of the soak, which injects network faults. It simulates the
// fabric that distributes the packets of callers among the instances, and
// relays the TCP connections of each instance to the store.
#pragma once

#include "base/address.h"

#include <string>
#include <vector>

namespace gentianspindle::soak {

struct RelayOptions
{
  Endpoint fabric; // callers send their packets to it
  Endpoint store;
  // Of each instance: where it takes packets, its readiness page, and where it
  // connects to reach the store.
  std::vector<Endpoint> packets;
  std::vector<Endpoint> ready;
  std::vector<Endpoint> storeLinks;
};

// Reads one command a line from standard input: "link INSTANCE MODE" (pass,
// silent, one_way, slow; reset resets the current connections once) and "fabric
// INSTANCE LOSS_PERCENT MAX_DELAY_MS", where each packet has a random delay
// below the maximum. Ends at the end of its input.
int
RunRelay(const RelayOptions& aOptions);

}
