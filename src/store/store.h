// Reads and writes the accepted table at the platform. It consists of a head
// object, whose conditional update accepts a new version, and of one immutable
// object (a part) for each service. Beside it are a log, with copies of the
// heads of accepted tables, some of which may be missing, and the status of
// each availability zone.
#pragma once

#include "core/table.h"
#include "messages_types.h"
#include "store/objects.h"

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"

#include <chrono>
#include <functional>
#include <optional>
#include <thread>

namespace gentianspindle {

// Version of the format of head and parts that this program reads and writes.
constexpr int32_t kTableFormat = 1;
// Largest object that the platform stores.
constexpr size_t kMaxObjectBytes = 1'000'000;
// Name of the object with the head of the accepted table.
constexpr std::string_view kHeadName = "table-head";

// The head as it is stored, with the version of its object.
struct Head
{
  int64_t objectVersion = kNoObject; // for the conditional update
  msg::TableHead head;               // version 0 stands for no table
};

// Names of the objects with a part, with a logged head, and with a zone's
// status.
std::string
PartObjectName(std::string_view aDigest);
std::string
LogObjectName(int64_t aVersion);
std::string
StatusObjectName(std::string_view aZone);

// Encode and decode the objects' bodies, which are JSON.
std::string
EncodeHead(const msg::TableHead& aHead);
absl::StatusOr<msg::TableHead>
DecodeHead(std::string_view aBytes);
std::string
EncodePart(const Service& aService);
absl::StatusOr<Service>
DecodePart(std::string_view aBytes);
std::string
EncodeStatus(const msg::ZoneStatus& aStatus);
absl::StatusOr<msg::ZoneStatus>
DecodeStatus(std::string_view aBytes);

// Returns the SHA-256 of aBytes in hexadecimal digits.
std::string
Digest(std::string_view aBytes);

// Reads the head of the accepted table. Its version is 0 if no table was
// accepted yet.
template<ObjectApi A>
absl::StatusOr<Head>
FetchHead(A& aApi)
{
  absl::StatusOr<Object> object = aApi.Get(kHeadName);
  if (absl::IsNotFound(object.status())) {
    return Head{};
  }
  if (!object.ok()) {
    return object.status();
  }
  absl::StatusOr<msg::TableHead> head = DecodeHead(object->body);
  if (!head.ok()) {
    return head.status();
  }
  return Head{ object->version, *std::move(head) };
}

// Decodes a part and checks its digest and service name against aName.
absl::StatusOr<Service>
CheckPart(std::string_view aBytes, const msg::PartName& aName);

// Encoded parts by their digest.
using PartCache = absl::flat_hash_map<std::string, std::string>;

// Returns the table of aHead. Parts in aCache are not fetched again. On success
// aCache has the parts of aHead and no others.
template<ObjectApi A>
absl::StatusOr<Table>
FetchTable(A& aApi, const msg::TableHead& aHead, PartCache& aCache)
{
  Table table;
  table.version = aHead.version;
  PartCache usedParts;
  for (const msg::PartName& part : aHead.parts) {
    auto cached = aCache.find(part.digest);
    if (cached == aCache.end()) {
      absl::StatusOr<Object> object = aApi.Get(PartObjectName(part.digest));
      if (!object.ok()) {
        return object.status();
      }
      cached = aCache.emplace(part.digest, std::move(object->body)).first;
    }
    absl::StatusOr<Service> service = CheckPart(cached->second, part);
    if (!service.ok()) {
      aCache.erase(cached);
      return service.status();
    }
    usedParts.emplace(part.digest, cached->second);
    table.services.push_back(*std::move(service));
  }
  aCache = std::move(usedParts);
  return table;
}

// What became of a change of the table.
enum class ApplyOutcome : uint8_t
{
  Accepted,
  Refused, // the change has not taken effect and won't
  Unknown, // a call failed, or a stored object is invalid; the change may
           // have taken effect unless the text says that it did not
};

// Outcome of a change, for the operator.
struct ApplyResult
{
  ApplyOutcome outcome = ApplyOutcome::Refused;
  // Accepted: the version of the change. Refused: the accepted version that is
  // kept or came first. Unknown: the version of the change, 0 if the write of
  // its head was not attempted.
  int64_t version = 0;
  std::string text; // reason if not accepted, one fault a line
};

// A change of the table and who makes it.
struct ApplyRequest
{
  Table next;
  std::string author;
  std::string changeId; // unique to this attempt
  int64_t unixSeconds = 0;
  // Zones with instances. Empty: not known, so the rows' zones are not checked.
  std::vector<std::string> zones;
};

// Lists the services that aNext adds (+), changes in their rows or wait (~) and
// removes (-), in one line; "no change" if there are none.
std::string
Summarize(const Table& aCurrent, const Table& aNext);

// Formats the faults of a table, one a line with row, column and reason.
std::string
FormatFaults(std::span<const TableFault> aFaults);

// How many times the write of an immutable object, or the reading back after a
// failed write of the head, is attempted at most, and how long to wait after
// each failure. Other calls are attempted once.
struct RetryOptions
{
  int32_t attempts = 5;
  std::chrono::milliseconds backoff{ 100 }; // doubles after each failure
};

// Finds out by reading back whether the write of aOwnHead took effect. Called
// whenever that write failed, as it may be only the response that was lost.
template<ObjectApi A>
ApplyResult
ResolveFailedWrite(A& aApi,
                   const msg::TableHead& aOwnHead,
                   const RetryOptions& aRetry)
{
  std::chrono::milliseconds backoff = aRetry.backoff;
  for (int32_t i = 0; i < aRetry.attempts; ++i) {
    absl::StatusOr<Head> stored = FetchHead(aApi);
    bool isOwn = stored.ok() && stored->head.changeId == aOwnHead.changeId;
    if (isOwn) {
      return { ApplyOutcome::Accepted, aOwnHead.version, "" };
    }
    if (stored.ok() && stored->head.version >= aOwnHead.version) {
      // The stored head is another one, of this version or later. Only the log
      // can show that ours was accepted and then replaced, and it may lack the
      // entry.
      absl::StatusOr<Object> log = aApi.Get(LogObjectName(aOwnHead.version));
      absl::StatusOr<msg::TableHead> logged =
        log.ok() ? DecodeHead(log->body)
                 : absl::StatusOr<msg::TableHead>(log.status());
      if (logged.ok() && logged->changeId == aOwnHead.changeId) {
        return { ApplyOutcome::Accepted, aOwnHead.version, "" };
      }
      if (stored->head.version == aOwnHead.version) {
        return { ApplyOutcome::Refused,
                 stored->head.version,
                 absl::StrCat("version ",
                              stored->head.version,
                              " was accepted first, by ",
                              stored->head.author) };
      }
      if (logged.ok()) {
        return { ApplyOutcome::Refused,
                 logged->version,
                 absl::StrCat("version ",
                              logged->version,
                              " was accepted first, by ",
                              logged->author) };
      }
    }
    std::this_thread::sleep_for(backoff);
    backoff *= 2;
  }
  return { ApplyOutcome::Unknown,
           aOwnHead.version,
           absl::StrCat("could not find out from the platform whether change ",
                        aOwnHead.changeId,
                        " took effect") };
}

// Writes an object that never changes. An object that exists already counts as
// written.
template<ObjectApi A>
absl::Status
PutImmutable(A& aApi,
             std::string_view aName,
             std::string_view aBody,
             const RetryOptions& aRetry)
{
  absl::Status last;
  std::chrono::milliseconds backoff = aRetry.backoff;
  for (int32_t i = 0; i < aRetry.attempts; ++i) {
    absl::StatusOr<int64_t> put = aApi.Put(aName, kNoObject, aBody);
    if (put.ok() || absl::IsAborted(put.status())) {
      return absl::OkStatus();
    }
    last = put.status();
    if (absl::IsInvalidArgument(last)) {
      return last;
    }
    std::this_thread::sleep_for(backoff);
    backoff *= 2;
  }
  return last;
}

// Writes aRequest.next as the successor of the accepted table, or returns why
// it is not accepted. If the write of the head fails, reads back whether it
// took effect all the same.
template<ObjectApi A>
ApplyResult
ApplyTable(A& aApi, const ApplyRequest& aRequest, const RetryOptions& aRetry)
{
  absl::StatusOr<Head> currentHead = FetchHead(aApi);
  if (!currentHead.ok()) {
    return { ApplyOutcome::Unknown,
             0,
             absl::StrCat("nothing was written; ",
                          currentHead.status().message()) };
  }
  PartCache cache;
  absl::StatusOr<Table> currentTable =
    FetchTable(aApi, currentHead->head, cache);
  if (!currentTable.ok()) {
    return { ApplyOutcome::Unknown,
             0,
             absl::StrCat("nothing was written; ",
                          currentTable.status().message()) };
  }
  std::vector<TableFault> faults =
    CheckChange(*currentTable, aRequest.next, aRequest.zones);
  if (!faults.empty()) {
    return { ApplyOutcome::Refused,
             currentHead->head.version,
             FormatFaults(faults) };
  }
  Table next = MakeSuccessor(*currentTable, aRequest.next);
  msg::TableHead head;
  head.format = kTableFormat;
  head.version = next.version;
  head.changeId = aRequest.changeId;
  head.author = aRequest.author;
  head.unixSeconds = aRequest.unixSeconds;
  head.summary = Summarize(*currentTable, next);
  for (const Service& service : next.services) {
    std::string part = EncodePart(service);
    msg::PartName& name = head.parts.emplace_back();
    name.name = service.name;
    name.digest = Digest(part);
    if (part.size() > kMaxObjectBytes) {
      return { ApplyOutcome::Refused,
               currentHead->head.version,
               absl::StrCat(
                 "service '",
                 service.name,
                 "' has too many rows, former ones included, for one object") };
    }
    absl::Status put =
      cache.contains(name.digest)
        ? absl::OkStatus()
        : PutImmutable(aApi, PartObjectName(name.digest), part, aRetry);
    if (!put.ok()) {
      return { ApplyOutcome::Unknown,
               0,
               absl::StrCat("the table was not accepted; ", put.message()) };
    }
  }
  std::string body = EncodeHead(head);
  absl::StatusOr<int64_t> put =
    aApi.Put(kHeadName, currentHead->objectVersion, body);
  ApplyResult result{ ApplyOutcome::Accepted, head.version, "" };
  if (!put.ok()) {
    result = ResolveFailedWrite(aApi, head, aRetry);
  }
  if (result.outcome == ApplyOutcome::Accepted) {
    // The table is accepted once the head is written. A missing log entry is no
    // error.
    (void)PutImmutable(aApi, LogObjectName(head.version), body, aRetry);
  }
  return result;
}

}
