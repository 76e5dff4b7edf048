#include "daemon/watcher.h"

#include "daemon/control.h"
#include "daemon/log.h"
#include "store/store.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <random>

namespace gentianspindle {

namespace {

// The upper limit of the wait after failures is kBaseBackoff, doubled once for
// each failure, so 200 ms after the first, and at most kMaxBackoff. The wait is
// random, between half of this limit and the limit.
constexpr std::chrono::milliseconds kBaseBackoff{ 100 };
constexpr std::chrono::milliseconds kMaxBackoff{ 1000 };
// Keeps the shift small; with this many doublings kMaxBackoff is reached.
constexpr int32_t kMaxDoublings = 4;
// Wait between two looks whether the zone's status has to be written.
constexpr std::chrono::milliseconds kStatusPeriod{ 200 };

// Name of a status in the zone's status at the platform.
std::string_view
StateName(MemberStatus aStatus)
{
  switch (aStatus) {
    case MemberStatus::Alive:
      return "live";
    case MemberStatus::Suspect:
      return "suspect";
    case MemberStatus::Leaving:
      return "leaving";
    case MemberStatus::Dead:
      return "unreachable";
  }
  return "unknown";
}

// The status of the zone. Only the instance with the lowest id among those of
// the zone that are not dead writes it; the others get NotFound.
absl::StatusOr<msg::ZoneStatus>
CollectStatus(Node& aNode)
{
  const std::string& zone = aNode.GetSettings().instance.zone;
  std::vector<MemberUpdate> all;
  {
    absl::MutexLock lock(&aNode.control);
    all = aNode.members.All();
  }
  std::sort(all.begin(),
            all.end(),
            [](const MemberUpdate& aLeft, const MemberUpdate& aRight) {
              return aLeft.instance < aRight.instance;
            });
  msg::ZoneStatus status;
  status.zone = zone;
  for (const MemberUpdate& member : all) {
    if (member.zone != zone) {
      continue;
    }
    bool reachable = member.status != MemberStatus::Dead;
    if (reachable && status.writer.empty()) {
      status.writer = FormatInstance(member.instance);
    }
    msg::InstanceStatus& instance = status.instances.emplace_back();
    instance.instance = FormatInstance(member.instance);
    instance.zone = zone;
    instance.state = std::string(StateName(member.status));
    instance.tableVersion = member.tableVersion;
  }
  if (status.writer != FormatInstance(aNode.Self())) {
    return absl::NotFoundError("another instance writes the status");
  }
  return status;
}

}

absl::StatusOr<std::unique_ptr<Watcher>>
Watcher::Make(Node& aNode, const Sockets& aSockets, ThreadCounts& aCounts)
{
  const PlatformSettings& platform = aNode.GetSettings().platform;
  HttpOptions options{ platform.url, platform.timeoutMs, platform.watchMs };
  absl::StatusOr<HttpObjects> watch = HttpObjects::Make(options);
  absl::StatusOr<HttpObjects> status = HttpObjects::Make(options);
  if (!watch.ok() || !status.ok()) {
    return watch.ok() ? status.status() : watch.status();
  }
  std::unique_ptr<Watcher> watcher(
    new Watcher(aNode, aSockets, aCounts, *watch, *status));
  watcher->watchThread = std::thread([w = watcher.get()] { w->RunWatch(); });
  watcher->statusThread = std::thread([w = watcher.get()] { w->RunStatus(); });
  return watcher;
}

Watcher::Watcher(Node& aNode,
                 const Sockets& aSockets,
                 ThreadCounts& aCounts,
                 HttpObjects aWatch,
                 HttpObjects aStatus)
  : node(aNode)
  , sender(aNode, aSockets, aCounts)
  , watch(std::move(aWatch))
  , status(std::move(aStatus))
{
}

Watcher::~Watcher()
{
  this->stop = true;
  this->watch.Cancel();
  this->status.Cancel();
  this->watchThread.join();
  this->statusThread.join();
}

void
Watcher::Backoff(int32_t aFailures)
{
  thread_local std::mt19937_64 random{ std::random_device{}() };
  auto maxDelay = std::min(
    kMaxBackoff, kBaseBackoff * (1 << std::min(aFailures, kMaxDoublings)));
  std::uniform_int_distribution<int64_t> distribution(maxDelay.count() / 2,
                                                      maxDelay.count());
  auto deadline = std::chrono::steady_clock::now() +
                  std::chrono::milliseconds(distribution(random));
  // Waits in short steps, so that a stop ends the wait soon.
  while (!this->stop && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

void
Watcher::RunWatch()
{
  int64_t objectVersion = -1;
  int32_t failures = 0;
  while (!this->stop) {
    failures = this->WatchOnce(objectVersion) ? 0 : failures + 1;
    if (failures > 0 && !this->stop) {
      this->node.CountRetry(RetryReason::WatchFailed);
      if (failures == 1) {
        LogWarn(kLogTable,
                "Reading the table from the platform failed; it is retried, "
                "and a table that is in force stays.");
      }
      this->Backoff(failures);
    }
  }
}

// Reads the head, or waits until it changes, and puts its table in force if it
// is newer. All parts are fetched before that, so if one is unavailable the
// former table stays in force as a whole.
bool
Watcher::WatchOnce(int64_t& aObjectVersion)
{
  absl::StatusOr<Object> object =
    aObjectVersion < 0 ? this->watch.Get(kHeadName)
                       : this->watch.Watch(kHeadName, aObjectVersion);
  if (absl::IsNotFound(object.status())) {
    this->node.ConfirmNoTable();
    aObjectVersion = kNoObject;
    return true;
  }
  // A watch ended without a change or without any response, which can't be told
  // apart here: neither counts as a failure. For the first read, which is no
  // watch, it is a failure.
  if (absl::IsDeadlineExceeded(object.status())) {
    return aObjectVersion >= 0;
  }
  if (!object.ok()) {
    return false;
  }
  absl::StatusOr<msg::TableHead> head = DecodeHead(object->body);
  if (!head.ok()) {
    LogError(kLogTable, std::string(head.status().message()));
    return false;
  }
  if (head->version > this->node.TableVersion()) {
    PartCache cache;
    absl::StatusOr<Table> table = FetchTable(this->watch, *head, cache);
    if (!table.ok()) {
      this->node.CountRetry(RetryReason::FetchFailed);
      LogWarn(kLogTable, std::string(table.status().message()));
      return false;
    }
    ActivateAndAnnounce(this->node, this->sender, *table);
  }
  aObjectVersion = object->version;
  return true;
}

void
Watcher::RunStatus()
{
  std::string lastWritten;
  int32_t failures = 0;
  while (!this->stop) {
    std::this_thread::sleep_for(kStatusPeriod);
    failures = this->WriteStatus(lastWritten) ? 0 : failures + 1;
    if (failures > 0 && !this->stop) {
      this->Backoff(failures);
    }
  }
}

// Writes the zone's status if it changed. The write is conditional on the
// version that is read just before it, so an instance that is paused between
// the two cannot overwrite the status of a later writer.
bool
Watcher::WriteStatus(std::string& aLastWritten)
{
  absl::StatusOr<msg::ZoneStatus> status = CollectStatus(this->node);
  if (!status.ok()) {
    aLastWritten.clear();
    return true;
  }
  std::string body = EncodeStatus(*status);
  if (body == aLastWritten) {
    return true;
  }
  std::string name = StatusObjectName(status->zone);
  absl::StatusOr<Object> stored = this->status.Get(name);
  if (!stored.ok() && !absl::IsNotFound(stored.status())) {
    this->node.CountRetry(RetryReason::StatusWriteFailed);
    return false;
  }
  int64_t version = stored.ok() ? stored->version : kNoObject;
  absl::StatusOr<int64_t> put = this->status.Put(name, version, body);
  if (!put.ok()) {
    this->node.CountRetry(absl::IsAborted(put.status())
                            ? RetryReason::StatusWriteLost
                            : RetryReason::StatusWriteFailed);
    return false;
  }
  aLastWritten = body;
  return true;
}

}
