// Membership messages and the timers of all engines.
#pragma once

#include "daemon/sender.h"

#include <atomic>
#include <span>

namespace gentianspindle {

// Takes one sealed datagram of a peer.
void
HandleControl(Node& aNode,
              Sender& aSender,
              ThreadCounts& aCounts,
              std::span<const uint8_t> aDatagram);

// Ticks engines and membership until aStop is set.
void
RunTicks(Node& aNode,
         const Sockets& aSockets,
         ThreadCounts& aCounts,
         const std::atomic<bool>& aStop);

// Puts aTable in force where its version is higher, and tells the peers.
void
ActivateAndAnnounce(Node& aNode, Sender& aSender, const Table& aTable);

// Tells the peers at once what is new, for example a table version.
void
SendUpdatesNow(Node& aNode, Sender& aSender);

}
