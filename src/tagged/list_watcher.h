// Reads one kind of object from the store: a list, then watches that continue
// from the known revision while this instance is a reader. Objects that were
// read stay valid during an outage of the store.
#pragma once

#include "tagged/http_client.h"
#include "tagged/transport.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <iterator>
#include <random>

namespace gentianspindle::tagged {

// The store doesn't hold back the response to a list; even a slow one responds
// far sooner than this.
constexpr Micros kListTimeout = 1500 * kMillisecond;
// A watch times out this much later than the wait that it asks for.
constexpr Micros kWatchTimeoutMargin = 700 * kMillisecond;
// During an outage a watch asks only for this wait: its response soon shows
// that the store is available again, and an unanswered one soon times out.
constexpr Micros kOutageWatchWait = 400 * kMillisecond;
// The first watch of a new reader that has the list asks only for this wait,
// during an outage, too, as it just fetches the changes that were missed.
constexpr Micros kFirstWatchWait = 20 * kMillisecond;
// An instance that isn't eager reads this many pages of a list without a pause,
// and pauses before each further one.
constexpr uint32_t kPagesBeforePause = 4;
constexpr Micros kPagePause = 400 * kMillisecond;
// A list with more objects than this counts as unreadable, to bound the memory
// that a store whose pages do not end can take.
constexpr size_t kMaxListedObjects = 65'536;
// A longer response of the store counts as a failed connection. A page of a
// list is far smaller.
constexpr size_t kMaxStoreBodyBytes = 16 * 1024 * 1024;
// Backoff of retries: the upper limit of the delay grows by this factor between
// these bounds. The delay is random, from half of the limit to all of it, so
// the shortest one is half of kMinRetryDelay.
constexpr Micros kMinRetryDelay = 150 * kMillisecond;
constexpr Micros kMaxRetryDelay = 1 * kSecond;
constexpr double kRetryGrowthFactor = 1.7;

// Why a request to the store failed. It is counted even if the request is not
// sent again, as the watches were stopped.
enum class StoreFailure : uint8_t
{
  NoAnswer,    // timed out
  Broken,      // no connection, or it failed or was closed by Reconnect
  Busy,        // 429: the store refuses requests for the moment
  Away,        // any other status but 200, for example 503
  HistoryGone, // 410: the revision is too old, so a new list is read
  FormerEra,   // of an earlier era than a former response, so it is discarded
  Unreadable,  // the body is not as expected, so a new list is read
  Count,
};

constexpr std::array<std::string_view, static_cast<size_t>(StoreFailure::Count)>
  kStoreFailureNames{ "no_answer",    "broken",     "busy",      "away",
                      "history_gone", "former_era", "unreadable" };

// Requests sent, and failed requests by reason, for the metrics.
struct ListWatcherCounts
{
  uint64_t lists = 0;
  uint64_t watches = 0;
  uint64_t unnamed = 0; // objects without a readable name, in all responses
  std::array<uint64_t, static_cast<size_t>(StoreFailure::Count)> failures{};
};

// Paths of the requests and parsers of the responses for one kind.
template<typename C>
struct KindFormat
{
  std::string (*listPath)(std::string_view aAfter);
  std::string (*watchPath)(uint64_t aRevision, int64_t aWaitMs);
  absl::StatusOr<Page<C>> (*parseList)(std::string_view aBody, uint64_t aEra);
  absl::StatusOr<Page<C>> (*parseWatch)(std::string_view aBody, uint64_t aEra);
  const char* eraHeader = nullptr; // header of the responses with the era
};

template<typename C>
struct ListWatcherEvents
{
  // Called with a complete list, or with the changes of a watch response, of
  // which there may be none; and with the store's position up to which
  // everything is known then.
  std::function<void(std::span<const C>, const StorePosition&)> onList;
  std::function<void(std::span<const C>, const StorePosition&)> onChanges;
  // Called with the store's era when a response shows a later one than the
  // former responses and positions did.
  std::function<void(uint64_t)> onEra;
  // Called for each failed request, with the error and with whether it is the
  // first failure of an outage. Not called for a revision that is too old, or
  // for a response of an earlier era.
  std::function<void(const std::string&, bool)> onStoreLost;
  // Called with the duration of an outage at the first valid response after it.
  // Not called if the watches or the list were stopped during the outage.
  std::function<void(Micros)> onStoreBack;
};

struct ListWatcherOptions
{
  // How long a watch asks the store to wait for a change.
  Micros wait = 1 * kSecond;
  // Time between a response with changes, or a complete list, and the next
  // watch, so that changes in quick succession cost one request.
  Micros pace = 0;
  // Whether a long list is read without pauses. If all instances that start at
  // once did so, they would slow each other down; those that are not eager get
  // the list from peers sooner.
  bool eager = true;
};

// Sends one request at a time, and retries failed ones with a growing delay.
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
    : client(aBase, aStore, kMaxStoreBodyBytes, aFormat.eraHeader)
    , format(aFormat)
    , options(aOptions)
    , events(std::move(aEvents))
    , requestTimer(aBase, [this] { this->SendRequest(); })
    , random(aSeed)
  {
  }

  // Requests the list. Watches follow it if SetWatching(true) was called. If
  // AdvanceTo was called before, no list is needed, and only the watches start.
  void Start() { this->requestTimer.Start(0); }

  // Starts or stops the watches. Either way a list that is under way is
  // finished; starting the watches sends the request for its present page
  // again. If neither Start nor AdvanceTo was called, it also requests the
  // list.
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

  // Records that everything up to aPosition is known, as from a peer. The next
  // watch continues from there, or from the present position if that is later.
  // No list is needed then, so one that is under way is stopped; the position
  // of its first page is not kept, as the rest of it is not known. A position
  // of an earlier era changes nothing.
  void AdvanceTo(const StorePosition& aPosition)
  {
    if (aPosition.era < this->position.era) {
      return;
    }
    if (this->listed && aPosition.era > this->position.era) {
      // The watch that is under way started in the earlier era.
      this->Stop();
      this->position = aPosition;
      this->requestTimer.Start(0);
      return;
    }
    if (!this->listed) {
      this->Stop();
      this->ResetList();
      this->listed = true;
      this->position = aPosition;
      this->requestTimer.Start(0);
    }
    this->position = std::max(this->position, aPosition);
  }

  // Requests the list again, as the store came back from an older copy. Does
  // nothing if it was requested in this era, or if no watches are to follow.
  void EnterEra(uint64_t aEra)
  {
    bool idle = this->listed && !this->watching;
    if (idle || aEra <= this->position.era) {
      return;
    }
    this->Stop();
    this->StartEra(aEra);
    this->requestTimer.Start(0);
  }

  // Fails the pending request, so that it is sent again on a new connection, as
  // the present one may no longer deliver changes. It counts as any failed
  // request, and so as an outage of the store.
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
    std::string path = list ? this->format.listPath(this->lastName)
                            : this->format.watchPath(this->position.revision,
                                                     wait / kMillisecond);
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
      this->Retry(timedOut ? StoreFailure::NoAnswer : StoreFailure::Broken,
                  aResponse.status().ToString());
      return;
    }
    bool isAnswer = aResponse->status == 200 || aResponse->status == 410;
    if (isAnswer && !this->AcceptEra(aList, *aResponse)) {
      return;
    }
    if (aResponse->status == 410) {
      this->ResetList();
      this->Retry(StoreFailure::HistoryGone, "");
      return;
    }
    if (aResponse->status != 200) {
      bool busy = aResponse->status == 429;
      this->Retry(busy ? StoreFailure::Busy : StoreFailure::Away,
                  absl::StrCat("HTTP ", aResponse->status));
      return;
    }
    uint64_t era = this->position.era;
    absl::StatusOr<Page<C>> page =
      aList ? this->format.parseList(aResponse->body, era)
            : this->format.parseWatch(aResponse->body, era);
    if (!page.ok()) {
      this->ResetList();
      this->Retry(StoreFailure::Unreadable, page.status().ToString());
      return;
    }
    if (aList && !this->Advances(*page)) {
      this->ResetList();
      this->Retry(StoreFailure::Unreadable, "read list: pages do not end");
      return;
    }
    this->counts.unnamed += page->unnamed;
    this->OnValidResponse();
    this->firstWatchPending = false;
    if (aList) {
      this->OnListPage(*std::move(page));
    } else {
      this->OnWatchPage(*page);
    }
  }

  // A response without a readable era counts as before the first one.
  static uint64_t EraOf(const HttpResponse& aResponse)
  {
    uint64_t era = 0;
    return absl::SimpleAtoi(aResponse.header, &era) ? era : 0;
  }

  // Compares the era of a response with the present one. If the response is of
  // no use, schedules the next request and returns false.
  bool AcceptEra(bool aList, const HttpResponse& aResponse)
  {
    uint64_t era = EraOf(aResponse);
    if (era < this->position.era) {
      this->Retry(StoreFailure::FormerEra, "");
      return false;
    }
    if (era == this->position.era) {
      return true;
    }
    bool isFirstPage = aList && this->lastName.empty();
    this->StartEra(era);
    this->events.onEra(era);
    if (isFirstPage || aResponse.status == 410) {
      return true;
    }
    // Its content follows on a position of the earlier era.
    this->OnValidResponse();
    this->requestTimer.Start(0);
    return false;
  }

  // Returns whether the list can end: a page that others follow has to bring a
  // new name, after which the next one starts.
  bool Advances(const Page<C>& aPage) const
  {
    size_t collectedCount = this->collected.size() + aPage.changes.size();
    return !aPage.more ||
           (!aPage.lastName.empty() && aPage.lastName != this->lastName &&
            collectedCount <= kMaxListedObjects);
  }

  void OnListPage(Page<C> aPage)
  {
    if (this->lastName.empty()) {
      // Watches start from the position of the first page: changes that are
      // made while later pages are read come again with the watch.
      this->position = aPage.position;
    }
    this->lastName = std::move(aPage.lastName);
    std::move(aPage.changes.begin(),
              aPage.changes.end(),
              std::back_inserter(this->collected));
    if (aPage.more) {
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
    this->events.onList(list, this->position);
    this->requestTimer.Start(this->options.pace);
  }

  void OnWatchPage(const Page<C>& aPage)
  {
    this->position = std::max(this->position, aPage.position);
    this->events.onChanges(aPage.changes, this->position);
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

  // A revision of the earlier era says nothing in this one.
  void StartEra(uint64_t aEra)
  {
    this->ResetList();
    this->position = { aEra, 0 };
  }

  // Resets the backoff, and ends an outage.
  void OnValidResponse()
  {
    Micros now = SteadyNow();
    this->retryDelay = kMinRetryDelay;
    if (this->outageSince != 0) {
      Micros outage = now - this->outageSince;
      this->outageSince = 0;
      this->events.onStoreBack(outage);
    }
  }

  // Counts the failure, and schedules the request again unless the watches were
  // stopped. aError is empty if the store works correctly, so that this is no
  // outage.
  void Retry(StoreFailure aReason, const std::string& aError)
  {
    ++this->counts.failures[static_cast<size_t>(aReason)];
    if (!aError.empty()) {
      bool wasInOutage = this->InOutage();
      this->outageSince = wasInOutage ? this->outageSince : SteadyNow();
      this->events.onStoreLost(aError, !wasInOutage);
      if (!this->watching && this->listed) {
        return; // the handler of the event stopped the watches
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
  bool listed = false;   // the list was read, or is not needed
  bool watching = false; // this instance is a reader
  // No valid response came since the watches started.
  bool firstWatchPending = false;
  // Of the list under way: the last name, the number of pages and the entries
  // that were read so far.
  std::string lastName;
  uint32_t pagesRead = 0;
  std::vector<C> collected;
  StorePosition position; // the next watch continues from here
  Micros outageSince = 0; // 0: there is no outage
  Micros retryDelay = kMinRetryDelay;
  ListWatcherCounts counts;
};

}
