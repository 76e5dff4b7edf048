// Base of the stand-ins that serve HTTP: a server on its own thread, a mutex
// for the state, and a condition variable on which requests wait for its
// change.
#pragma once

#include <condition_variable>
#include <httplib.h>
#include <mutex>
#include <thread>

namespace gentianspindle {

// An HTTP server whose handlers are added by the derived class.
class HttpStandin
{
public:
  // Starts the server, at a free port where aPort is 0. Returns the port, or -1
  // where the port is taken or aHost is no address of this machine.
  int Start(int aPort = 0, const char* aHost = "127.0.0.1");

protected:
  // aThreads: number of connections that are served at the same time; each
  // occupies a thread until it is closed.
  explicit HttpStandin(size_t aThreads);
  ~HttpStandin() { this->Stop(); }
  HttpStandin(const HttpStandin&) = delete;
  HttpStandin& operator=(const HttpStandin&) = delete;

  // Destructors of derived classes call it first, so that no request reaches a
  // partly destroyed object.
  void Stop();

  httplib::Server server;
  int port = 0;
  std::mutex mutex;
  // Notified when the derived class's state changes and at the stop.
  std::condition_variable changed;
  bool stopping = false;

private:
  std::thread thread;
};

}
