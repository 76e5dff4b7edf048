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

// All parts of aHead; those in aKnown, by digest, are not fetched again.
using PartCache = absl::flat_hash_map<std::string, std::string>;

template<ObjectApi A>
absl::StatusOr<Table>
FetchTable(A& aApi, const msg::TableHead& aHead, PartCache& aKnown)
{
  Table table;
  table.version = aHead.version;
  PartCache used;
  for (const msg::PartName& part : aHead.parts) {
    auto known = aKnown.find(part.digest);
    if (known == aKnown.end()) {
      absl::StatusOr<Object> object = aApi.Get(PartObjectName(part.digest));
      if (!object.ok()) {
        return object.status();
      }
      known = aKnown.emplace(part.digest, std::move(object->body)).first;
    }
    absl::StatusOr<Service> service = CheckPart(known->second, part);
    if (!service.ok()) {
      aKnown.erase(known);
      return service.status();
    }
    used.emplace(part.digest, known->second);
    table.services.push_back(*std::move(service));
  }
  aKnown = std::move(used);
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
Summarize(const Table& aNow, const Table& aNext);

std::string
FormatFaults(std::span<const TableFault> aFaults);

struct RetryOptions
{
  int32_t attempts = 5;
  std::chrono::milliseconds pause{ 100 }; // doubles each time
};

// Did our write of the head take effect? Asked after an answer was lost.
template<ObjectApi A>
ApplyResult
ResolveLostAnswer(A& aApi,
                  const msg::TableHead& aMine,
                  const RetryOptions& aRetry)
{
  std::chrono::milliseconds pause = aRetry.pause;
  for (int32_t i = 0; i < aRetry.attempts; ++i) {
    absl::StatusOr<Head> seen = FetchHead(aApi);
    bool mine = seen.ok() && seen->head.changeId == aMine.changeId;
    if (mine) {
      return { ApplyOutcome::Accepted, aMine.version, "" };
    }
    if (seen.ok() && seen->head.version >= aMine.version) {
      // Another head of this version or a later one stands. Ours was
      // overwritten only if the log has it.
      absl::StatusOr<Object> log = aApi.Get(LogObjectName(aMine.version));
      absl::StatusOr<msg::TableHead> logged =
        log.ok() ? DecodeHead(log->body)
                 : absl::StatusOr<msg::TableHead>(log.status());
      if (logged.ok() && logged->changeId == aMine.changeId) {
        return { ApplyOutcome::Accepted, aMine.version, "" };
      }
      if (seen->head.version == aMine.version) {
        return { ApplyOutcome::Refused,
                 seen->head.version,
                 absl::StrCat("version ",
                              seen->head.version,
                              " was accepted first, by ",
                              seen->head.author) };
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
    std::this_thread::sleep_for(pause);
    pause *= 2;
  }
  return { ApplyOutcome::Unknown,
           aMine.version,
           absl::StrCat("the platform did not say whether change ",
                        aMine.changeId,
                        " took effect") };
}

// Writes an object that never changes; a copy that stands already is fine.
template<ObjectApi A>
absl::Status
PutOnce(A& aApi,
        std::string_view aName,
        std::string_view aBody,
        const RetryOptions& aRetry)
{
  absl::Status last;
  std::chrono::milliseconds pause = aRetry.pause;
  for (int32_t i = 0; i < aRetry.attempts; ++i) {
    absl::StatusOr<int64_t> put = aApi.Put(aName, kNoObject, aBody);
    if (put.ok() || absl::IsAborted(put.status())) {
      return absl::OkStatus();
    }
    last = put.status();
    if (absl::IsInvalidArgument(last)) {
      return last;
    }
    std::this_thread::sleep_for(pause);
    pause *= 2;
  }
  return last;
}

// Accepts aRequest.next as the successor of the table in force, or says why
// not. A lost answer is resolved by reading back.
template<ObjectApi A>
ApplyResult
ApplyTable(A& aApi, const ApplyRequest& aRequest, const RetryOptions& aRetry)
{
  absl::StatusOr<Head> now = FetchHead(aApi);
  if (!now.ok()) {
    return { ApplyOutcome::Unknown,
             0,
             absl::StrCat("nothing was written; ", now.status().message()) };
  }
  PartCache cache;
  absl::StatusOr<Table> current = FetchTable(aApi, now->head, cache);
  if (!current.ok()) {
    return { ApplyOutcome::Unknown,
             0,
             absl::StrCat("nothing was written; ",
                          current.status().message()) };
  }
  std::vector<TableFault> faults =
    CheckChange(*current, aRequest.next, aRequest.zones);
  if (!faults.empty()) {
    return { ApplyOutcome::Refused, now->head.version, FormatFaults(faults) };
  }
  Table next = MakeSuccessor(*current, aRequest.next);
  msg::TableHead head;
  head.format = kTableFormat;
  head.version = next.version;
  head.changeId = aRequest.changeId;
  head.author = aRequest.author;
  head.unixSeconds = aRequest.unixSeconds;
  head.summary = Summarize(*current, next);
  for (const Service& service : next.services) {
    std::string part = EncodePart(service);
    msg::PartName& name = head.parts.emplace_back();
    name.name = service.name;
    name.digest = Digest(part);
    if (part.size() > kMaxObjectBytes) {
      return { ApplyOutcome::Refused,
               now->head.version,
               absl::StrCat("service '", service.name, "' is too large") };
    }
    absl::Status put =
      cache.contains(name.digest)
        ? absl::OkStatus()
        : PutOnce(aApi, PartObjectName(name.digest), part, aRetry);
    if (!put.ok()) {
      return { ApplyOutcome::Unknown,
               0,
               absl::StrCat("the table was not accepted; ", put.message()) };
    }
  }
  std::string body = EncodeHead(head);
  absl::StatusOr<int64_t> put = aApi.Put(kHeadName, now->objectVersion, body);
  ApplyResult result{ ApplyOutcome::Accepted, head.version, "" };
  if (!put.ok()) {
    result = ResolveLostAnswer(aApi, head, aRetry);
  }
  if (result.outcome == ApplyOutcome::Accepted) {
    // The head is what counts; a log entry that is missing is not an error.
    (void)PutOnce(aApi, LogObjectName(head.version), body, aRetry);
  }
  return result;
}

}
