// What instances tell each other of what they know and how new it is.
#pragma once

#include "base/address.h"
#include "base/time.h"
#include "steer/view.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gentianspindle::spread {

struct ReaderAddress
{
  Address address = 0;
  std::string zone;
};

// Changes of servers from after one revision of the store up to another,
// without a gap.
struct ChangeRange
{
  uint64_t from = 0;
  uint64_t to = 0;
  std::vector<steer::ServerChange> changes;
};

// One datagram. Ages count from the store's answer to the sending.
struct Heartbeat
{
  std::string zone; // of the sender
  double cores = 0;
  bool reads = false;        // the sender asks the store itself
  bool storeAnswers = false; // and the store answers it
  bool hasView = false;
  bool wantsAnswer = false;
  int64_t configVersion = 0;
  uint64_t configRevision = 0; // of the store, up to which all is known
  Micros configAge = 0;
  uint64_t serversRevision = 0;
  Micros serversAge = 0;
  Micros storeBackAge = -1; // since the store was away; -1: it was not
  ChangeRange recent;
  std::vector<Address> members;       // of the sender's zone
  std::vector<ReaderAddress> readers; // of other zones
  uint32_t zoneSize = 0;              // instances of the sender's zone
  uint32_t fleetSize = 0;             // of all zones
};

}
