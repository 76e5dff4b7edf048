// Follows one kind of object at the store: a list, then watches from there
// while this instance reads for others. What was read stays valid while the
// store is away.
#pragma once

#include "tagged/http_client.h"
#include "tagged/transport.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <random>

namespace gentianspindle::tagged {

// A list is an ordinary call; this is far above a slow store's answer.
constexpr Micros kListTimeout = 1500 * kMillisecond;
// A watch may take this much longer than it asks the store to wait.
constexpr Micros kWatchTimeoutMargin = 700 * kMillisecond;
// After a failure a watch waits only this long: its answer tells that the
// store is back, and one that the store never answers is soon given up.
constexpr Micros kOutageWatchWait = 400 * kMillisecond;
// The first watch of an instance that starts to read only asks for news.
constexpr Micros kFirstWatchWait = 20 * kMillisecond;
// HttpServer of a list that every instance reads at once, and the pause between
// further ones where it is not eager.
constexpr uint32_t kPagesBeforePause = 4;
constexpr Micros kPagePause = 400 * kMillisecond;
constexpr Micros kMinRetryDelay = 150 * kMillisecond;
constexpr Micros kMaxRetryDelay = 1 * kSecond;
constexpr double kRetryGrowthFactor = 1.7;

// Why a call to the store is made again.
enum class StoreRetry : uint8_t
{
  NoAnswer,    // time-out
  Broken,      // no connection, or it was reset
  Busy,        // 429
  Away,        // 503 and other errors of the server
  HistoryGone, // 410; a new list
  Unreadable,  // the body is not what it should be
  Count,
};

constexpr std::array<std::string_view, static_cast<size_t>(StoreRetry::Count)>
  kStoreRetryNames{ "no_answer", "broken",       "busy",
                    "away",      "history_gone", "unreadable" };

struct ListWatcherCounts
{
  uint64_t lists = 0;
  uint64_t watches = 0;
  std::array<uint64_t, static_cast<size_t>(StoreRetry::Count)> retries{};
};

// Paths and bodies of one kind.
template<typename C>
struct KindFormat
{
  std::string (*listPath)(std::string_view aAfter);
  std::string (*watchPath)(uint64_t aRevision, int64_t aWaitMs);
  absl::StatusOr<Page<C>> (*parseList)(std::string_view aBody);
  absl::StatusOr<Page<C>> (*parseWatch)(std::string_view aBody);
};

template<typename C>
struct ListWatcherEvents
{
  // With the revision up to which all is known then; of a watch the changes
  // may be none.
  std::function<void(std::span<const C>, uint64_t)> onList;
  std::function<void(std::span<const C>, uint64_t)> onChanges;
  // A call failed, with the error; whether it is the first in a row.
  std::function<void(const std::string&, bool)> onUnavailable;
  std::function<void(Micros)> onRecovered; // after this time
};

struct ListWatcherOptions
{
  Micros wait = 1 * kSecond;
  // Time between an answer with changes and the next watch, so that changes
  // that come in a row cost one call.
  Micros pace = 0;
  // Whether a long list is read at full speed. Instances that all start at
  // once would keep each other from it; the others get it from peers sooner.
  bool eager = true;
};

template<typename C>
class ListWatcher
{
public:
  ListWatcher(event_base* aBase,
              Endpoint aStore,
              const KindFormat<C>& aFormat,
              const ListWatcherOptions& aOptions,
              ListWatcherEvents<C> aEvents,
              uint32_t aSeed)
    : client(aBase, aStore)
    , format(aFormat)
    , options(aOptions)
    , events(std::move(aEvents))
    , requestTimer(aBase, [this] { this->SendRequest(); })
    , random(aSeed)
  {
  }

  // Lists once; goes on with watches if told to.
  void Start() { this->requestTimer.Start(0); }

  // Whether watches follow the list.
  void SetWatching(bool aWatch)
  {
    if (this->watching == aWatch) {
      return;
    }
    this->watching = aWatch;
    if (aWatch) {
      this->firstWatchPending = true;
      this->requestTimer.Start(0);
    } else if (this->listed) {
      this->Stop();
    }
  }

  // All up to aRevision is known by other means.
  void AdvanceTo(uint64_t aRevision)
  {
    if (!this->listed) {
      this->Stop();
      this->listed = true;
      this->collected.clear();
      this->lastName.clear();
      this->requestTimer.Start(0);
    }
    this->revision = std::max(this->revision, aRevision);
  }

  // What is known may be old: asks anew on a new connection.
  void Reconnect() { this->client.Disconnect(); }

  const ListWatcherCounts& Counts() const { return this->counts; }

private:
  bool InOutage() const { return this->outageSince != 0; }

  void SendRequest()
  {
    bool list = !this->listed;
    if (!list && !this->watching) {
      return;
    }
    Micros wait = this->options.wait;
    if (this->InOutage() || this->firstWatchPending) {
      wait = std::min(
        wait, this->firstWatchPending ? kFirstWatchWait : kOutageWatchWait);
    }
    std::string path =
      list ? this->format.listPath(this->lastName)
           : this->format.watchPath(this->revision, wait / kMillisecond);
    ++(list ? this->counts.lists : this->counts.watches);
    Micros timeout = list ? kListTimeout : wait + kWatchTimeoutMargin;
    this->client.Get(
      path, timeout, [this, list](absl::StatusOr<HttpResponse> aResponse) {
        this->OnResponse(list, std::move(aResponse));
      });
  }

  void OnResponse(bool aList, absl::StatusOr<HttpResponse> aResponse)
  {
    if (!aResponse.ok()) {
      bool timedOut = absl::IsDeadlineExceeded(aResponse.status());
      this->Retry(timedOut ? StoreRetry::NoAnswer : StoreRetry::Broken,
                  aResponse.status().ToString());
      return;
    }
    if (aResponse->status == 410) {
      this->ResetList();
      this->Retry(StoreRetry::HistoryGone, "");
      return;
    }
    if (aResponse->status != 200) {
      bool busy = aResponse->status == 429;
      this->Retry(busy ? StoreRetry::Busy : StoreRetry::Away,
                  absl::StrCat("HTTP ", aResponse->status));
      return;
    }
    absl::StatusOr<Page<C>> page = aList
                                     ? this->format.parseList(aResponse->body)
                                     : this->format.parseWatch(aResponse->body);
    if (!page.ok()) {
      this->ResetList();
      this->Retry(StoreRetry::Unreadable, page.status().ToString());
      return;
    }
    this->NoteResponse();
    this->firstWatchPending = false;
    if (aList) {
      this->OnListPage(*std::move(page));
    } else {
      this->OnWatchPage(*page);
    }
  }

  void OnListPage(Page<C> aPage)
  {
    if (this->lastName.empty()) {
      // Changes during the later pages come again with the watch.
      this->revision = aPage.revision;
    }
    for (C& change : aPage.changes) {
      this->lastName = change.name;
      this->collected.push_back(std::move(change));
    }
    if (aPage.more && !aPage.changes.empty()) {
      ++this->pagesRead;
      bool pause = !this->options.eager && this->pagesRead >= kPagesBeforePause;
      this->requestTimer.Start(pause ? kPagePause : 0);
      return;
    }
    this->pagesRead = 0;
    this->listed = true;
    std::vector<C> list = std::move(this->collected);
    this->collected.clear();
    this->lastName.clear();
    this->events.onList(list, this->revision);
    this->requestTimer.Start(this->options.pace);
  }

  void OnWatchPage(const Page<C>& aPage)
  {
    this->revision = std::max(this->revision, aPage.revision);
    this->events.onChanges(aPage.changes, this->revision);
    this->requestTimer.Start(aPage.changes.empty() ? 0 : this->options.pace);
  }

  void Stop()
  {
    this->client.Cancel();
    this->requestTimer.Stop();
    this->outageSince = 0;
    this->retryDelay = kMinRetryDelay;
  }

  void ResetList()
  {
    this->listed = false;
    this->pagesRead = 0;
    this->lastName.clear();
    this->collected.clear();
  }

  void NoteResponse()
  {
    Micros now = SteadyNow();
    this->retryDelay = kMinRetryDelay;
    if (this->outageSince != 0) {
      Micros outage = now - this->outageSince;
      this->outageSince = 0;
      this->events.onRecovered(outage);
    }
  }

  // aError is empty where the store works as it should.
  void Retry(StoreRetry aReason, const std::string& aError)
  {
    ++this->counts.retries[static_cast<size_t>(aReason)];
    if (!aError.empty()) {
      bool wasInOutage = this->InOutage();
      this->outageSince = wasInOutage ? this->outageSince : SteadyNow();
      this->events.onUnavailable(aError, !wasInOutage);
      if (!this->watching && this->listed) {
        return; // told to stop meanwhile
      }
    }
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    auto base = static_cast<double>(this->retryDelay);
    this->requestTimer.Start(static_cast<Micros>(base * jitter(this->random)));
    this->retryDelay =
      std::min(static_cast<Micros>(base * kRetryGrowthFactor), kMaxRetryDelay);
  }

  HttpClient client;
  KindFormat<C> format;
  ListWatcherOptions options;
  ListWatcherEvents<C> events;
  Timer requestTimer;
  std::minstd_rand random;
  bool listed = false;
  bool watching = false;
  bool firstWatchPending = false; // no watch has answered yet
  std::string lastName;
  uint32_t pagesRead = 0; // of the list, read so far
  std::vector<C> collected;
  uint64_t revision = 0;
  Micros outageSince = 0;
  Micros retryDelay = kMinRetryDelay;
  ListWatcherCounts counts;
};

}
