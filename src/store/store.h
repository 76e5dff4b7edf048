// The accepted table at the platform: a head object, whose conditional update
// accepts a version, and one immutable object for each service.
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

// Format of head and parts that this program writes and reads.
constexpr int32_t kTableFormat = 1;
// Largest value that the platform keeps.
constexpr size_t kMaxObjectBytes = 1'000'000;
// Heads kept for "table log".
constexpr std::string_view kHeadName = "table-head";

struct Head
{
  int64_t objectVersion = kNoObject; // for the conditional update
  msg::TableHead head;               // version 0: no table yet
};

std::string
PartObjectName(std::string_view aDigest);
std::string
LogObjectName(int64_t aVersion);
std::string
StatusObjectName(std::string_view aZone);

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

// SHA-256 in hexadecimal digits.
std::string
Digest(std::string_view aBytes);

// The head in force at the platform; version 0 where there is none yet.
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

// Reads and checks one part.
absl::StatusOr<Service>
CheckPart(std::string_view aBytes, const msg::PartName& aName);

// All parts of aHead; those in aCache, by digest, are not fetched again.
using PartCache = absl::flat_hash_map<std::string, std::string>;

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

enum class ApplyOutcome : uint8_t
{
  Accepted,
  Refused, // nothing changed
  Unknown, // the platform is away; the change may have taken effect
};

struct ApplyResult
{
  ApplyOutcome outcome = ApplyOutcome::Refused;
  int64_t version = 0;
  std::string text; // true reason, one fault a line
};

struct ApplyRequest
{
  Table next;
  std::string author;
  std::string changeId;
  int64_t unixSeconds = 0;
  std::vector<std::string> zones; // that have instances; empty: not known
};

// What changed from one table to the next, one short line.
std::string
Summarize(const Table& aCurrent, const Table& aNext);

std::string
FormatFaults(std::span<const TableFault> aFaults);

struct RetryOptions
{
  int32_t attempts = 5;
  std::chrono::milliseconds backoff{ 100 }; // doubles each time
};

// Did our write of the head take effect? Asked after an answer was lost.
template<ObjectApi A>
ApplyResult
ResolveLostResponse(A& aApi,
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
      // Another head of this version or a later one stands. Ours was
      // overwritten only if the log has it.
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
           absl::StrCat("the platform did not say whether change ",
                        aOwnHead.changeId,
                        " took effect") };
}

// Writes an object that never changes; a copy that stands already is fine.
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

// Accepts aRequest.next as the successor of the table in force, or says why
// not. A lost answer is resolved by reading back.
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
               absl::StrCat("service '", service.name, "' is too large") };
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
    result = ResolveLostResponse(aApi, head, aRetry);
  }
  if (result.outcome == ApplyOutcome::Accepted) {
    // The head is what counts; a log entry that is missing is not an error.
    (void)PutImmutable(aApi, LogObjectName(head.version), body, aRetry);
  }
  return result;
}

}
