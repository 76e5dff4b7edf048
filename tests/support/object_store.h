// Stand-in for a store that serves lists, watches and revisions over HTTP. Its
// faults can be injected.
#pragma once

#include "support/http_standin.h"

#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace gentianspindle {

// A store in memory. Each change gets the next revision.
class ObjectStore : public HttpStandin
{
public:
  ObjectStore();
  ~ObjectStore();

  // Also accepts PUT and DELETE of objects, and POST /fault/NAME/VALUE with the
  // names status and silent, which set the faults below, and forget, which
  // drops the history.
  void ServeWrites();
  // Stores an object and renews its lease. If it has this content already, no
  // revision is made.
  void Put(const std::string& aKind,
           const std::string& aName,
           const nlohmann::json& aSpec);
  // Stores an object whose spec is this text, which need not be valid JSON.
  void PutText(const std::string& aKind,
               const std::string& aName,
               const std::string& aSpec);
  void Remove(const std::string& aKind, const std::string& aName);
  // Removes the objects that were not put for aLeaseTime, as if their leases
  // had expired.
  void RemoveExpired(const std::string& aKind,
                     std::chrono::milliseconds aLeaseTime);
  // Keeps a copy of the objects as they are, and returns to it later: all
  // changes since are lost, and the era rises. The copy's revisions go on from
  // where it was made, and a watch from a later one gets 410.
  void Copy();
  void ReturnToCopy();
  // Drops the history of changes. A watch from an earlier revision gets 410.
  void DropHistory();

  // Fault: the HTTP status of all responses to GET, also of watches that were
  // waiting. While it isn't 200, writes get 503.
  std::atomic<int> status = 200;
  // Fault: the store accepts GET requests and responds only once the fault
  // ends. Writes, and watches that were waiting, get 503.
  std::atomic<bool> silent = false;
  // Value of the header with the era; none is sent while it is 0.
  std::atomic<uint64_t> era = 1;
  // Entries of one page of a list.
  std::atomic<size_t> pageSize = 3;
  // Number of GET requests.
  std::atomic<uint64_t> calls = 0;

private:
  // A change of an object, as watches receive it.
  struct Event
  {
    std::string kind;
    uint64_t revision = 0;
    nlohmann::json body;
  };
  // What a copy of the store holds.
  struct Content
  {
    std::map<std::string, std::map<std::string, nlohmann::json>> objects;
    std::deque<Event> events;
    uint64_t revision = 10;
    // Watches from before this revision get 410.
    uint64_t oldestRevision = 0;
  };
  void OnWrite(const httplib::Request& aRequest, httplib::Response& aResponse);
  void OnFault(const std::string& aName, int aValue);
  void OnGet(const httplib::Request& aRequest, httplib::Response& aResponse);
  void Answer(const httplib::Request& aRequest, httplib::Response& aResponse);
  void SetEra(httplib::Response& aResponse) const;
  void Reply(const httplib::Request& aRequest, httplib::Response& aResponse);
  void List(const std::string& aKind,
            const std::string& aAfter,
            httplib::Response& aResponse);
  void Watch(const std::string& aKind,
             uint64_t aFrom,
             int aWaitMs,
             httplib::Response& aResponse);

  // Returns the text of a body, with the specs of PutText in their places.
  std::string Dump(const nlohmann::json& aBody) const;

  // Specs of PutText. The objects have the keys, which are unique, in their
  // place.
  std::map<std::string, std::string> specTexts;
  std::map<std::string, std::chrono::steady_clock::time_point> putAt;
  Content now;
  Content copy;
};

}
