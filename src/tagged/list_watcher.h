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
constexpr Micros kWatchSlack = 700 * kMillisecond;
// After a failure a watch waits only this long: its answer tells that the
// store is back, and one that the store never answers is soon given up.
constexpr Micros kProbeWait = 400 * kMillisecond;
// The first watch of an instance that starts to read only asks for news.
constexpr Micros kFirstWait = 20 * kMillisecond;
// Pages of a list that every instance reads at once, and the pause between
// further ones where it is not eager.
constexpr uint32_t kPagesAtOnce = 4;
constexpr Micros kPagePause = 400 * kMillisecond;
constexpr Micros kFirstRetry = 150 * kMillisecond;
constexpr Micros kLongestRetry = 1 * kSecond;
constexpr double kRetryGrowth = 1.7;

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
  std::function<void(const std::string&, bool)> onLost;
  std::function<void(Micros)> onBack; // after this time
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
    , next(aBase, [this] { this->Call(); })
    , random(aSeed)
  {
  }

  // Lists once; goes on with watches if told to.
  void Start() { this->next.Start(0); }

  // Whether watches follow the list.
  void Watch(bool aWatch)
  {
    if (this->watching == aWatch) {
      return;
    }
    this->watching = aWatch;
    if (aWatch) {
      this->first = true;
      this->next.Start(0);
    } else if (this->listed) {
      this->Stop();
    }
  }

  // All up to aRevision is known by other means.
  void Know(uint64_t aRevision)
  {
    if (!this->listed) {
      this->Stop();
      this->listed = true;
      this->collected.clear();
      this->after.clear();
      this->next.Start(0);
    }
    this->revision = std::max(this->revision, aRevision);
  }

  // What is known may be old: asks anew on a new connection.
  void Restart() { this->client.Disconnect(); }

  const ListWatcherCounts& Counts() const { return this->counts; }

private:
  bool Lost() const { return this->lostAt != 0; }

  void Call()
  {
    bool list = !this->listed;
    if (!list && !this->watching) {
      return;
    }
    Micros wait = this->options.wait;
    if (this->Lost() || this->first) {
      wait = std::min(wait, this->first ? kFirstWait : kProbeWait);
    }
    std::string path =
      list ? this->format.listPath(this->after)
           : this->format.watchPath(this->revision, wait / kMillisecond);
    ++(list ? this->counts.lists : this->counts.watches);
    Micros timeout = list ? kListTimeout : wait + kWatchSlack;
    this->client.Get(
      path, timeout, [this, list](absl::StatusOr<HttpResponse> aAnswer) {
        this->OnAnswer(list, std::move(aAnswer));
      });
  }

  void OnAnswer(bool aList, absl::StatusOr<HttpResponse> aAnswer)
  {
    if (!aAnswer.ok()) {
      bool late = absl::IsDeadlineExceeded(aAnswer.status());
      this->Retry(late ? StoreRetry::NoAnswer : StoreRetry::Broken,
                  aAnswer.status().ToString());
      return;
    }
    if (aAnswer->status == 410) {
      this->StartOver();
      this->Retry(StoreRetry::HistoryGone, "");
      return;
    }
    if (aAnswer->status != 200) {
      bool busy = aAnswer->status == 429;
      this->Retry(busy ? StoreRetry::Busy : StoreRetry::Away,
                  absl::StrCat("HTTP ", aAnswer->status));
      return;
    }
    absl::StatusOr<Page<C>> page = aList
                                     ? this->format.parseList(aAnswer->body)
                                     : this->format.parseWatch(aAnswer->body);
    if (!page.ok()) {
      this->StartOver();
      this->Retry(StoreRetry::Unreadable, page.status().ToString());
      return;
    }
    this->NoteAnswer();
    this->first = false;
    if (aList) {
      this->OnListPage(*std::move(page));
    } else {
      this->OnWatchPage(*page);
    }
  }

  void OnListPage(Page<C> aPage)
  {
    if (this->after.empty()) {
      // Changes during the later pages come again with the watch.
      this->revision = aPage.revision;
    }
    for (C& change : aPage.changes) {
      this->after = change.name;
      this->collected.push_back(std::move(change));
    }
    if (aPage.more && !aPage.changes.empty()) {
      ++this->pages;
      bool pause = !this->options.eager && this->pages >= kPagesAtOnce;
      this->next.Start(pause ? kPagePause : 0);
      return;
    }
    this->pages = 0;
    this->listed = true;
    std::vector<C> list = std::move(this->collected);
    this->collected.clear();
    this->after.clear();
    this->events.onList(list, this->revision);
    this->next.Start(this->options.pace);
  }

  void OnWatchPage(const Page<C>& aPage)
  {
    this->revision = std::max(this->revision, aPage.revision);
    this->events.onChanges(aPage.changes, this->revision);
    this->next.Start(aPage.changes.empty() ? 0 : this->options.pace);
  }

  void Stop()
  {
    this->client.Cancel();
    this->next.Stop();
    this->lostAt = 0;
    this->retryAfter = kFirstRetry;
  }

  void StartOver()
  {
    this->listed = false;
    this->pages = 0;
    this->after.clear();
    this->collected.clear();
  }

  void NoteAnswer()
  {
    Micros now = SteadyNow();
    this->retryAfter = kFirstRetry;
    if (this->lostAt != 0) {
      Micros away = now - this->lostAt;
      this->lostAt = 0;
      this->events.onBack(away);
    }
  }

  // aProblem is empty where the store works as it should.
  void Retry(StoreRetry aWhy, const std::string& aProblem)
  {
    ++this->counts.retries[static_cast<size_t>(aWhy)];
    if (!aProblem.empty()) {
      bool before = this->Lost();
      this->lostAt = before ? this->lostAt : SteadyNow();
      this->events.onLost(aProblem, !before);
      if (!this->watching && this->listed) {
        return; // told to stop meanwhile
      }
    }
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    auto base = static_cast<double>(this->retryAfter);
    this->next.Start(static_cast<Micros>(base * jitter(this->random)));
    this->retryAfter =
      std::min(static_cast<Micros>(base * kRetryGrowth), kLongestRetry);
  }

  HttpClient client;
  KindFormat<C> format;
  ListWatcherOptions options;
  ListWatcherEvents<C> events;
  Timer next;
  std::minstd_rand random;
  bool listed = false;
  bool watching = false;
  bool first = false; // no watch has answered yet
  std::string after;
  uint32_t pages = 0; // of the list, read so far
  std::vector<C> collected;
  uint64_t revision = 0;
  Micros lostAt = 0;
  Micros retryAfter = kFirstRetry;
  ListWatcherCounts counts;
};

}
