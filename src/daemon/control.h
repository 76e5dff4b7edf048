// Handles membership probes and new tables, and runs the timers of the
// membership and of all engines.
#pragma once

#include "daemon/sender.h"

#include <atomic>
#include <span>

namespace gentianspindle {

// Handles one sealed membership probe of a peer: checks its seal, applies its
// updates, and queues the probes that result, such as the reply, at aSender.
// The caller flushes aSender. Called by the packet workers.
void
HandleSealedProbe(Node& aNode,
                  Sender& aSender,
                  ThreadCounts& aCounts,
                  std::span<const uint8_t> aDatagram);

// The control thread: runs the timers of the engines and of the membership
// until aStop is set.
void
RunTicks(Node& aNode,
         const Sockets& aSockets,
         ThreadCounts& aCounts,
         const std::atomic<bool>& aStop);

// Puts aTable in force if its version is higher than the present one, and then
// announces the new version to some peers; the others learn it from later
// probes.
void
ActivateAndAnnounce(Node& aNode, Sender& aSender, const Table& aTable);

// Sends membership updates, for example a new table version, to some peers
// without waiting for the next probe period.
void
SendUpdatesNow(Node& aNode, Sender& aSender);

}
