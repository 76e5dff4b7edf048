// Follows the accepted table at the platform. Of the reachable instances of an
// availability zone, the one with the lowest id also writes the zone's status
// there.
#pragma once

#include "daemon/sender.h"
#include "store/objects.h"

#include <atomic>
#include <thread>

namespace gentianspindle {

// Runs two threads, one for the table and one for the status.
class Watcher
{
public:
  static absl::StatusOr<std::unique_ptr<Watcher>> Make(Node& aNode,
                                                       const Sockets& aSockets,
                                                       ThreadCounts& aCounts);
  ~Watcher();

private:
  Watcher(Node& aNode,
          const Sockets& aSockets,
          ThreadCounts& aCounts,
          HttpObjects aWatch,
          HttpObjects aStatus);
  void RunWatch();
  void RunStatus();
  // One read or watch of the head. aObjectVersion is the version last seen, -1
  // before the first read. False: retry after a backoff.
  bool WatchOnce(int64_t& aObjectVersion);
  // aLastWritten is the status that this instance wrote last. Also true if
  // another instance writes the status. False: retry after a backoff.
  bool WriteStatus(std::string& aLastWritten);
  // Waits after aFailures consecutive failures, exponentially with jitter.
  void Backoff(int32_t aFailures);

  Node& node;
  Sender sender;
  HttpObjects watch;
  HttpObjects status;
  std::atomic<bool> stop = false;
  std::thread watchThread;
  std::thread statusThread;
};

}
