// What stand-ins over HTTP share: a server on a thread of its own, and watches
// that wait under one mutex.
#pragma once

#include <condition_variable>
#include <httplib.h>
#include <mutex>
#include <thread>

namespace gentianspindle {

class HttpStandin
{
public:
  // Listens at a free port where aPort is 0; returns the port, -1 where it is
  // taken.
  int Start(int aPort = 0, const char* aHost = "127.0.0.1");

protected:
  explicit HttpStandin(size_t aThreads);
  ~HttpStandin() { this->Stop(); }
  HttpStandin(const HttpStandin&) = delete;
  HttpStandin& operator=(const HttpStandin&) = delete;

  // Derived ones call it first, so that no call sees them half gone.
  void Stop();

  httplib::Server server;
  int port = 0;
  std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;

private:
  std::thread thread;
};

}
