// Stands between the system's processes and the world, and does harm there:
// the fabric that hands callers' packets to instances, and one TCP relay for
// each instance's way to the store. A process of its own.
#pragma once

#include "base/address.h"

#include <string>
#include <vector>

namespace gentianspindle::soak {

struct RelayOptions
{
  Endpoint fabric; // where callers send their packets
  Endpoint store;
  // Of each instance.
  std::vector<Endpoint> packets;
  std::vector<Endpoint> ready;
  std::vector<Endpoint> storeLinks;
};

// Takes one command a line on standard input: "link INSTANCE MODE" (pass,
// silent, one_way, slow; reset ends all connections once) and "fabric INSTANCE
// LOSS_PERCENT DELAY_MS". Ends with its input.
int
RunRelay(const RelayOptions& aOptions);

}
