// The heartbeat datagram: with it an instance announces its role, what it knows
// of configuration and servers, and how recently that was confirmed.
#pragma once

#include "base/address.h"
#include "base/time.h"
#include "spread/verdicts.h"
#include "steer/view.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gentianspindle::spread {

constexpr double kMillicoresPerCore = 1000;

// Heartbeats carry a number of cores in whole thousandths, rounded down. An
// instance compares its own cores in the same form, so that all agree.
inline int32_t
ToMillicores(double aCores)
{
  return static_cast<int32_t>(aCores * kMillicoresPerCore);
}

inline double
FromMillicores(int32_t aMillicores)
{
  return aMillicores / kMillicoresPerCore;
}

// An instance that reads the store.
struct ReaderAddress
{
  Address address = 0;
  std::string zone;
};

// All changes of servers after one position of the store, up to and including
// another.
struct ChangeRange
{
  StorePosition from;
  StorePosition to;
  std::vector<steer::ServerChange> changes;
};

// One datagram. Ages are the times from the store's answer to the sending of
// the datagram.
struct Heartbeat
{
  std::string zone; // of the sender
  double cores = 0;
  bool reads = false;        // the sender is a reader: it asks the store itself
  bool storeAnswers = false; // the store answers the sender
  bool hasView = false;      // the sender knows configuration and servers
  bool wantsAnswer = false;  // the sender asks for a heartbeat in return
  int64_t configVersion = 0;
  // Positions of the store up to which the sender knows all changes.
  StorePosition configPosition;
  Micros configAge = 0;
  StorePosition serversPosition;
  Micros serversAge = 0;
  // Drained zones; without a position the sender does not know them.
  steer::DrainState drains;
  Micros drainsAge = 0;
  // The zones are left out, as they are too many for a datagram.
  bool drainsLeftOut = false;
  Micros storeBackAge = -1; // since the end of the last store outage; -1: none
  // Latest changes of servers; hellos, replies and seed queries carry none.
  ChangeRange recent;
  // Some instances of the sender's zone, in the first datagram of a reader's
  // heartbeat and in replies.
  std::vector<Address> members;
  // Readers of other zones, in the same datagrams; a reply also has those of
  // the sender's zone.
  std::vector<ReaderAddress> readers;
  uint32_t zoneSize = 0;  // instances of the sender's zone that it knows
  uint32_t fleetSize = 0; // of all zones
  // Verdicts on servers: of the sender and, from a reader, of its zone.
  std::vector<SentVerdict> verdicts;
  // Instances of the sender's zone that hold slots of warm-up quotas, in
  // ascending order, in the first datagram of a heartbeat.
  std::vector<Address> quotaHolders;
  bool handsOutQuota = false; // the sender says that the list is in force
};

}
