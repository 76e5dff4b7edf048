// Messages between instances over TCP: the hand-over of a server's flows to its
// new owner, and pulling the table from a peer.
#pragma once

#include "daemon/sender.h"

#include <atomic>
#include <thread>

namespace gentianspindle {

// Runs two threads: a server for the requests of peers, one connection after
// the other, and a client for this instance's own hand-overs and pulls.
class Link
{
public:
  static absl::StatusOr<std::unique_ptr<Link>> Make(Node& aNode,
                                                    const Sockets& aSockets,
                                                    ThreadCounts& aCounts);
  ~Link();

  // True while released servers are being handed over, and for a moment at each
  // look for them.
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
  // When a peer was first seen to have a newer table; 0: none has,
  // or the last pull failed and is retried after a new delay.
  Micros staleSince = 0;
  std::atomic<bool> stop = false;
  std::atomic<bool> handingOver = false;
  std::thread server;
  std::thread client;
};

}
