// Stand-in for the platform's object API over HTTP. Its faults can be injected.
#pragma once

#include "support/http_standin.h"

#include <atomic>
#include <map>
#include <string>

namespace gentianspindle {

// Objects in memory, each with a version that is sent as its ETag. PUT needs
// If-Match with that version, or "If-None-Match: *" for a new object. GET with
// wait_ms responds once the version differs from If-None-Match, or at the end
// of that time.
class PlatformStandin : public HttpStandin
{
public:
  PlatformStandin();
  ~PlatformStandin();

  std::string Url() const;

  // Fault: all responses are 503. A GET that waits gets it at the next change
  // or at the end of its time.
  std::atomic<bool> down = false;
  // Fault: delay before each response.
  std::atomic<int> delayMs = 0;
  // Fault: this many writes take effect and still get 503.
  std::atomic<int> lostReplies = 0;
  // Number of requests.
  std::atomic<uint64_t> calls = 0;

private:
  // An object; version 0 means that it does not exist.
  struct Value
  {
    int64_t version = 0;
    std::string body;
  };
  // Counts the call and applies delayMs and down; true where the call fails.
  bool ApplyFaults(httplib::Response& aResponse);
  void OnGet(const httplib::Request& aRequest, httplib::Response& aResponse);
  void OnPut(const httplib::Request& aRequest, httplib::Response& aResponse);

  std::map<std::string, Value> values;
};

}
