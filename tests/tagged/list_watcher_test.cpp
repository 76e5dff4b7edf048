// Where the watch of a kind of objects starts.
#include "platform/objects.h"
#include "support/loopback.h"
#include "support/object_store.h"
#include "tagged/http_server.h"
#include "tagged/list_watcher.h"

#include <catch2/catch.hpp>
#include <set>

namespace gentianspindle {

using namespace tagged;

namespace {

using ServersPage = Page<steer::ServerChange>;

// Revision of the last watch that was asked for.
std::optional<uint64_t> watchedRevision;

std::string
ListPath(std::string_view)
{
  return "/list";
}

std::string
WatchPath(uint64_t aRevision, int64_t)
{
  watchedRevision = aRevision;
  return "/watch";
}

// The first page of a list at revision 20, which others follow.
absl::StatusOr<ServersPage>
ParseFirstPage(std::string_view, uint64_t aEra)
{
  ServersPage page;
  page.more = true;
  page.lastName = "i-1";
  page.position = { aEra, 20 };
  return page;
}

absl::StatusOr<ServersPage>
ParseNoChanges(std::string_view, uint64_t aEra)
{
  ServersPage page;
  page.position = { aEra, 20 };
  return page;
}

void
RunUntil(event_base* aBase, const std::function<bool()>& aDone)
{
  while (!aDone() && event_base_loop(aBase, EVLOOP_ONCE) == 0) {
  }
}

}

// Guards against changes that are skipped: the first page of the list had set
// the revision, although the list was never finished.
TEST_CASE("A watch continues from a peer's view that came between the pages of "
          "a list")
{
  watchedRevision.reset();
  EventBasePtr base(event_base_new());
  Endpoint store{ LoopbackAddress(), NextPort() };
  auto server = HttpServer::Make(base.get());
  REQUIRE(server.ok());
  REQUIRE((*server)->Listen(store).ok());
  size_t lists = 0;
  (*server)->Handle("/list", [&lists] {
    ++lists;
    return HttpReply{ 200, "{}" };
  });
  (*server)->Handle("/watch", [] { return HttpReply{ 200, "{}" }; });
  ListWatcherEvents<steer::ServerChange> events;
  events.onList = [](std::span<const steer::ServerChange>,
                     const StorePosition&) { FAIL("the list has no end"); };
  events.onChanges = [](std::span<const steer::ServerChange>,
                        const StorePosition&) {};
  events.onStoreLost = [](const std::string&, bool) {};
  events.onStoreBack = [](Micros) {};
  ListWatcher<steer::ServerChange> watcher(
    base.get(),
    store,
    { ListPath, WatchPath, ParseFirstPage, ParseNoChanges },
    {},
    events,
    1);
  watcher.Start();
  RunUntil(base.get(), [&] { return lists >= 2; });
  watcher.AdvanceTo({ 0, 15 });
  watcher.SetWatching(true);
  RunUntil(base.get(), [] { return watchedRevision.has_value(); });
  REQUIRE(watchedRevision);
  CHECK(*watchedRevision == 15);
}

namespace {

using platform::ObjectFormat;

// A watcher of the stand-in store's servers, and what it reported.
struct WatcherFixture
{
  WatcherFixture()
  {
    this->watcher.Start();
    this->watcher.SetWatching(true);
    this->Await([this] { return this->lists == 1; });
  }

  ListWatcherEvents<steer::ServerChange> MakeEvents()
  {
    using Changes = std::span<const steer::ServerChange>;
    auto record = [this](Changes aChanges, const StorePosition& aPosition) {
      for (const steer::ServerChange& change : aChanges) {
        this->names.insert(change.name);
      }
      this->position = aPosition;
    };
    ListWatcherEvents<steer::ServerChange> made;
    made.onList = [this, record](Changes aList, const StorePosition& aAt) {
      ++this->lists;
      record(aList, aAt);
    };
    made.onChanges = record;
    made.onEra = [this](uint64_t aEra) { this->eras.push_back(aEra); };
    made.onStoreLost = [this](const std::string&, bool) { ++this->failures; };
    made.onStoreBack = [](Micros) {};
    return made;
  }

  // Returns whether it holds within five seconds.
  bool Await(const std::function<bool()>& aDone)
  {
    Micros end = SteadyNow() + 5 * kSecond;
    Timer poll(this->base.get(), [&poll] { poll.Start(kMillisecond); });
    poll.Start(kMillisecond);
    RunUntil(this->base.get(), [&] { return aDone() || SteadyNow() > end; });
    return aDone();
  }

  // The store is away, comes back from its copy, and then holds a server more
  // than the former revision counts.
  void ReturnWith(const std::string& aName)
  {
    this->store.status = 503;
    REQUIRE(this->Await([this] { return this->failures > 0; }));
    this->store.ReturnToCopy();
    this->store.Put("servers", aName, "unreadable");
    for (int i = 0; i < 5; ++i) {
      this->store.Put("servers", "i-7", i);
    }
    this->store.status = 200;
  }

  ObjectStore store;
  Endpoint address{ 0x7F000001, static_cast<uint16_t>(this->store.Start()) };
  EventBasePtr base{ event_base_new() };
  size_t lists = 0;
  size_t failures = 0;
  std::set<std::string> names;
  StorePosition position;
  std::vector<uint64_t> eras;
  ListWatcher<steer::ServerChange> watcher{ this->base.get(),
                                            this->address,
                                            { ObjectFormat::ServersListPath,
                                              ObjectFormat::ServersWatchPath,
                                              ObjectFormat::ParseServersList,
                                              ObjectFormat::ParseServersWatch,
                                              ObjectFormat::kEraHeader },
                                            { .wait = 200 * kMillisecond },
                                            this->MakeEvents(),
                                            1 };
};

}

// Guards against changes that are never seen after the store came back from an
// older copy: a revision that was given out again gets no 410, and the watch
// goes on from it.
TEST_CASE("A watch from a revision that was given out again leads to a list")
{
  WatcherFixture fixture;
  fixture.store.Copy();
  fixture.store.Put("servers", "i-1", "unreadable");
  fixture.store.Put("servers", "i-2", "unreadable");
  REQUIRE(fixture.Await([&] { return fixture.names.contains("i-2"); }));
  fixture.ReturnWith("i-3");
  CHECK(fixture.Await([&] { return fixture.names.contains("i-3"); }));
  CHECK(fixture.lists == 2);
  CHECK(fixture.position.era == 2);
  CHECK(fixture.eras == std::vector<uint64_t>{ 1, 2 });
  // A second return, soon after the first.
  fixture.failures = 0;
  fixture.ReturnWith("i-4");
  CHECK(fixture.Await([&] { return fixture.names.contains("i-4"); }));
  CHECK(fixture.position.era == 3);
}

// Guards against falling back to what the store lost when it came back.
TEST_CASE("An answer of an earlier era, or without one, is discarded")
{
  WatcherFixture fixture;
  fixture.store.era = 3;
  REQUIRE(fixture.Await([&] { return fixture.position.era == 3; }));
  fixture.store.era = GENERATE(0, 2);
  auto reason = static_cast<size_t>(StoreFailure::FormerEra);
  fixture.store.Put("servers", "i-1", "unreadable");
  CHECK(fixture.Await(
    [&] { return fixture.watcher.Counts().failures[reason] > 1; }));
  CHECK_FALSE(fixture.names.contains("i-1"));
  fixture.store.era = 3;
  CHECK(fixture.Await([&] { return fixture.names.contains("i-1"); }));
  CHECK(fixture.position.era == 3);
}

// Guards against a watch that skips what lies between a peer's position and the
// revision of the former era from which it was sent.
TEST_CASE("A peer's position of a later era replaces one of a higher revision")
{
  WatcherFixture fixture;
  fixture.store.Copy();
  for (int i = 0; i < 5; ++i) {
    fixture.store.Put("servers", "i-7", i);
  }
  uint64_t former = fixture.position.revision;
  REQUIRE(
    fixture.Await([&] { return fixture.position.revision == former + 5; }));
  fixture.store.ReturnToCopy();
  fixture.store.Put("servers", "i-1", "unreadable");
  for (int i = 0; i < 9; ++i) {
    fixture.store.Put("servers", "i-7", i);
  }
  fixture.watcher.AdvanceTo({ 2, former });
  CHECK(fixture.Await([&] { return fixture.names.contains("i-1"); }));
  fixture.watcher.AdvanceTo({ 1, former + 50 });
  fixture.store.Put("servers", "i-2", "unreadable");
  CHECK(fixture.Await([&] { return fixture.names.contains("i-2"); }));
  CHECK(fixture.position.era == 2);
}

}
