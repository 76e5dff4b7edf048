// Stand-in for the platform's object API over HTTP, with its faults.
#pragma once

#include "support/http_standin.h"

#include <atomic>
#include <map>
#include <string>

namespace gentianspindle {

class PlatformStandin : public HttpStandin
{
public:
  PlatformStandin();
  ~PlatformStandin();

  std::string Url() const;

  // Faults.
  std::atomic<bool> down = false;   // answers 503
  std::atomic<int> delayMs = 0;     // before each answer
  std::atomic<int> lostReplies = 0; // writes that take effect, then 503
  std::atomic<uint64_t> calls = 0;

private:
  struct Value
  {
    int64_t version = 0;
    std::string body;
  };
  bool ApplyFaults(httplib::Response& aResponse);
  void OnGet(const httplib::Request& aRequest, httplib::Response& aResponse);
  void OnPut(const httplib::Request& aRequest, httplib::Response& aResponse);

  std::map<std::string, Value> values;
};

}
