// Messages between instances over TCP: hand-over of what an owner knows, and
// pulling the table from a peer.
#pragma once

#include "daemon/sender.h"

#include <atomic>
#include <thread>

namespace gentianspindle {

class Link
{
public:
  static absl::StatusOr<std::unique_ptr<Link>> Make(Node& aNode,
                                                    const Sockets& aSockets,
                                                    ThreadCounts& aCounts);
  ~Link();

  // True while a hand-over is under way.
  bool IsHandingOver() const { return this->handingOver; }

private:
  Link(Node& aNode,
       const Sockets& aSockets,
       ThreadCounts& aCounts,
       int aListener);

  void RunServer();
  void RunClient();
  void Serve(int aSocket);
  bool HandOver(const ReleasedServer& aReleased);
  void PullTableIfStale();
  bool PullTableFrom(InstanceId aPeer);

  Node& node;
  Sender sender;
  int listener;
  Micros staleSince = 0;
  std::atomic<bool> stop = false;
  std::atomic<bool> handingOver = false;
  std::thread server;
  std::thread client;
};

}
