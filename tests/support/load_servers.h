// Backend servers in virtual time: each works on a few requests at a time and
// queues a few more.
#pragma once

#include "support/clock.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <vector>

namespace gentianspindle {

// A request at a server, and the flow that brought it.
struct LoadJob
{
  uint64_t flow = 0;
  uint64_t request = 0;
};

struct LoadServersOptions
{
  size_t servers = 1;
  uint32_t slots = 1;
  uint32_t queue = 0;      // greatest number of requests that wait
  Micros maxQueueTime = 0; // a request that waited for it is rejected
  // Called when a server starts to work on a job; returns how long it takes.
  std::function<Micros(const LoadJob&, size_t)> onStart;
  // Called with the job and whether it was executed or rejected.
  std::function<void(const LoadJob&, size_t, bool)> onEnd;
};

class LoadServers
{
public:
  LoadServers(VirtualClock& aClock, LoadServersOptions aOptions)
    : clock(aClock)
    , options(std::move(aOptions))
    , servers(this->options.servers)
  {
  }

  void OnRequest(const LoadJob& aJob, size_t aServer)
  {
    Server& server = this->servers[aServer];
    if (server.queue.size() >= this->options.queue) {
      this->options.onEnd(aJob, aServer, false);
      return;
    }
    server.queue.push_back(aJob);
    this->clock.After(this->options.maxQueueTime,
                      [this, aJob, aServer] { this->Reject(aJob, aServer); });
    this->StartJobs(aServer);
  }

  // Requests that the server works on or queues.
  size_t InFlight(size_t aServer) const
  {
    const Server& server = this->servers[aServer];
    return server.busy + server.queue.size();
  }

private:
  struct Server
  {
    uint32_t busy = 0;
    std::deque<LoadJob> queue;
  };

  // Rejects the job if it still waits.
  void Reject(const LoadJob& aJob, size_t aServer)
  {
    std::deque<LoadJob>& queue = this->servers[aServer].queue;
    auto waits =
      std::find_if(queue.begin(), queue.end(), [&](const LoadJob& aOther) {
        return aOther.flow == aJob.flow && aOther.request == aJob.request;
      });
    if (waits != queue.end()) {
      queue.erase(waits);
      this->options.onEnd(aJob, aServer, false);
    }
  }

  void StartJobs(size_t aServer)
  {
    Server& server = this->servers[aServer];
    while (server.busy < this->options.slots && !server.queue.empty()) {
      LoadJob job = server.queue.front();
      server.queue.pop_front();
      ++server.busy;
      this->clock.After(this->options.onStart(job, aServer),
                        [this, job, aServer] {
                          --this->servers[aServer].busy;
                          this->options.onEnd(job, aServer, true);
                          this->StartJobs(aServer);
                        });
    }
  }

  VirtualClock& clock;
  LoadServersOptions options;
  std::vector<Server> servers;
};

}
