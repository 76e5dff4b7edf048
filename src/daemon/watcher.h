// Keeps the table in force up to date with the platform, and writes the
// status of the own availability zone there.
#pragma once

#include "daemon/sender.h"
#include "store/objects.h"

#include <atomic>
#include <thread>

namespace gentianspindle {

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
  bool WatchOnce(int64_t& aObjectVersion);
  bool WriteStatus(std::string& aLastWritten);
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
