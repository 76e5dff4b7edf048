// Stand-in for the platform's object API over HTTP, with its faults.
#pragma once

#include <atomic>
#include <condition_variable>
#include <httplib.h>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace gentianspindle {

class PlatformStandin
{
public:
  PlatformStandin();
  ~PlatformStandin();

  // Listens at 127.0.0.1; aPort 0 picks a free port.
  int Start(int aPort = 0);
  std::string Url() const;

  // Faults.
  std::atomic<bool> down = false;   // answers 503
  std::atomic<int> delayMs = 0;     // before each answer
  std::atomic<int> lostAnswers = 0; // writes that take effect, then 503
  std::atomic<uint64_t> calls = 0;

private:
  struct Value
  {
    int64_t version = 0;
    std::string body;
  };
  bool Fails(httplib::Response& aResponse);
  void OnGet(const httplib::Request& aRequest, httplib::Response& aResponse);
  void OnPut(const httplib::Request& aRequest, httplib::Response& aResponse);

  httplib::Server server;
  int port = 0;
  std::thread thread;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Value> values;
  bool stopping = false;
};

}
