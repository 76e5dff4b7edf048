// Stand-in for a store with lists, watches and revisions over HTTP, with its
// faults.
#pragma once

#include "support/http_standin.h"

#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace gentianspindle {

class ObjectStore : public HttpStandin
{
public:
  ObjectStore();
  ~ObjectStore();

  // Also takes PUT and DELETE of objects, and POST /fault/NAME/VALUE.
  void ServeWrites();
  void Put(const std::string& aKind,
           const std::string& aName,
           const nlohmann::json& aSpec);
  void Remove(const std::string& aKind, const std::string& aName);
  // Removes objects that nobody has put for aLeaseTime, as leases that run out.
  void RemoveExpired(const std::string& aKind,
                     std::chrono::milliseconds aLeaseTime);
  // Watches from before now get 410.
  void DropHistory();

  // Faults.
  std::atomic<int> status = 200;    // of all answers
  std::atomic<bool> silent = false; // takes calls, answers none
  std::atomic<size_t> pageSize = 3; // entries of one page of a list
  std::atomic<uint64_t> calls = 0;

private:
  struct Event
  {
    std::string kind;
    uint64_t revision = 0;
    nlohmann::json body;
  };
  void OnWrite(const httplib::Request& aRequest, httplib::Response& aResponse);
  void OnFault(const std::string& aName, int aValue);
  void OnGet(const httplib::Request& aRequest, httplib::Response& aResponse);
  void Reply(const httplib::Request& aRequest, httplib::Response& aResponse);
  void List(const std::string& aKind,
            const std::string& aAfter,
            httplib::Response& aResponse);
  void Watch(const std::string& aKind,
             uint64_t aFrom,
             int aWaitMs,
             httplib::Response& aResponse);

  std::map<std::string, std::map<std::string, nlohmann::json>> objects;
  std::map<std::string, std::chrono::steady_clock::time_point> putAt;
  std::deque<Event> events;
  uint64_t revision = 10;
  uint64_t oldestRevision = 0;
};

}
