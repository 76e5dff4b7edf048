// Where the watch of a kind of objects starts.
#include "support/loopback.h"
#include "tagged/http_server.h"
#include "tagged/list_watcher.h"

#include <catch2/catch.hpp>

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

}
