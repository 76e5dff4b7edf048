// The view of routes and servers: which changes it applies, and how long it
// keeps removed servers.
#include "support/tagged_view.h"

#include <catch2/catch.hpp>

namespace gentianspindle {

using namespace steer;

namespace {

constexpr Micros kStart = 1000 * kSecond;

// Returns a view at version 5 with the servers 1 and 2.
View
MakeView()
{
  View view;
  view.PutConfig(MakeConfig(5));
  std::vector<ServerChange> list{ MakeServer(1), MakeServer(2) };
  view.PutServers(list, kStart);
  return view;
}

// Returns the server that has the tag of aId.
const Server&
At(const View& aView, ServerId aId)
{
  return aView.At(aView.FindTag(TagOf(aId)));
}

}

TEST_CASE("A configuration whose version is not higher is not applied")
{
  View view = MakeView();
  CHECK_FALSE(view.PutConfig(MakeConfig(4)));
  CHECK_FALSE(view.PutConfig(MakeConfig(5)));
  CHECK(view.Version() == 5);
  CHECK(view.PutConfig(MakeConfig(9)));
  CHECK(view.Version() == 9);
}

TEST_CASE("A removed route is kept as a former route until it returns")
{
  View view = MakeView();
  Config withoutArchive = MakeConfig(6);
  withoutArchive.routes.pop_back();
  view.PutConfig(withoutArchive);
  CHECK(view.FindRoute(kArchiveTarget) == nullptr);
  CHECK(view.IsFormerRoute(kArchiveTarget));
  view.PutConfig(MakeConfig(7));
  CHECK(view.FindRoute(kArchiveTarget) != nullptr);
  CHECK_FALSE(view.IsFormerRoute(kArchiveTarget));
}

TEST_CASE("A route that changes its services still allows the earlier ones")
{
  View view = MakeView();
  Config moved = MakeConfig(6);
  moved.routes[0].services = { { "other", 1 } };
  view.PutConfig(moved);
  const Route* route = view.FindRoute(kWebTarget);
  REQUIRE(route != nullptr);
  CHECK(route->AllowsService("web"));
  CHECK(route->AllowsService("other"));
  CHECK_FALSE(route->AllowsService("archive"));
}

TEST_CASE("A change with an older revision than the server's entry is ignored")
{
  View view = MakeView();
  ServerChange draining = MakeServer(1, "web", 7);
  draining.entry->draining = true;
  view.PutServer(draining, kStart);
  CHECK_FALSE(view.PutServer(MakeServer(1, "web", 6), kStart));
  CHECK(At(view, 1).entry.draining);
}

TEST_CASE("A draining server is gone once removed, any other after a timeout")
{
  View view = MakeView();
  ServerChange draining = MakeServer(1, "web", 7);
  draining.entry->draining = true;
  view.PutServer(draining, kStart);
  view.PutServer(MakeRemoved(1, 8), kStart);
  view.PutServer(MakeRemoved(2, 9), kStart);
  CHECK(At(view, 1).registryState == RegistryState::Gone);
  CHECK(At(view, 2).registryState == RegistryState::Missing);
  CHECK_FALSE(At(view, 2).AcceptsNewFlows());
  view.Tick(kStart + kMissingTimeout);
  CHECK(At(view, 2).registryState == RegistryState::Gone);
}

TEST_CASE(
  "A server missing after a store outage takes new flows in its grace period, "
  "and after it only once it is listed again")
{
  View view = MakeView();
  view.SetStoreBackAt(kStart);
  std::vector<ServerChange> list{ MakeServer(2, "web", 3) };
  view.PutServers(list, kStart + 100 * kMillisecond);
  CHECK(At(view, 1).AcceptsNewFlows());
  view.Tick(kStart + kGracePeriod + 100 * kMillisecond);
  CHECK_FALSE(At(view, 1).AcceptsNewFlows());
  CHECK(At(view, 1).registryState == RegistryState::Missing);
  view.PutServer(MakeServer(1, "web", 12), kStart + kGracePeriod + kSecond);
  CHECK(At(view, 1).AcceptsNewFlows());
}

// Guards against resets of a live server's flows after the store came back from
// an older copy: the entry that is written again has a lower revision than
// before.
TEST_CASE("An entry that is written again in the store's next era is listed")
{
  View view = MakeView();
  ServerChange known = MakeServer(3, "web", 18);
  view.PutServer(known, kStart);
  // The store comes back from a copy that lacks the entry.
  view.SetStoreBackAt(kStart);
  std::vector<ServerChange> list{ MakeServer(1), MakeServer(2) };
  list[0].position = PositionAt(1, 2);
  list[1].position = PositionAt(1, 2);
  view.PutServers(list, kStart);
  CHECK(At(view, 3).registryState == RegistryState::Missing);
  known.position = PositionAt(16, 2);
  CHECK(view.PutServer(known, kStart + kSecond));
  view.Tick(kStart + kMissingTimeout);
  CHECK(At(view, 3).registryState == RegistryState::Listed);
  CHECK(At(view, 3).AcceptsNewFlows());
  // An answer of the former era that comes late changes nothing.
  CHECK_FALSE(view.PutServer(MakeRemoved(3, 40), kStart + kSecond));
  CHECK(At(view, 3).registryState == RegistryState::Listed);
}

// Guards against openings at a server whose acknowledged drain is missing in
// the copy from which the store came back, until the server reports it again.
TEST_CASE("A server's drain that the next era lacks stays in force for a while")
{
  View view = MakeView();
  ServerChange draining = MakeServer(1, "web", 7);
  draining.entry->draining = true;
  view.PutServer(draining, kStart);
  ServerChange copy = MakeServer(1, "web", 1);
  copy.position = PositionAt(1, 2);
  SECTION("for the process that reported it")
  {
    view.PutServer(copy, kStart);
    CHECK_FALSE(At(view, 1).AcceptsNewFlows());
    // It writes its entry for another reason, and the store comes back again.
    copy.position = PositionAt(4, 2);
    view.PutServer(copy, kStart + kSecond);
    copy.position = PositionAt(1, 3);
    view.PutServer(copy, kStart + 2 * kSecond);
    view.Tick(kStart + kDrainRetention - 1);
    CHECK_FALSE(At(view, 1).AcceptsNewFlows());
    view.Tick(kStart + 2 * kSecond + kDrainRetention);
    CHECK(At(view, 1).AcceptsNewFlows());
  }
  SECTION("also if it had left")
  {
    view.PutServer(MakeRemoved(1, 8), kStart);
    view.PutServer(copy, kStart);
    CHECK_FALSE(At(view, 1).AcceptsNewFlows());
    view.PutServer(copy, kStart + kSecond);
    CHECK_FALSE(At(view, 1).AcceptsNewFlows());
    ServerChange removed = MakeRemoved(1, 2);
    removed.position = PositionAt(2, 2);
    view.PutServer(removed, kStart + kSecond);
    CHECK(At(view, 1).registryState == RegistryState::Gone);
  }
  SECTION("but not for a process that started later")
  {
    ++copy.entry->startedAt;
    view.PutServer(copy, kStart);
    CHECK(At(view, 1).AcceptsNewFlows());
  }
}

// Guards against a process that has ended and comes back with an older copy of
// the store.
TEST_CASE("The next era does not bring back a server's former process")
{
  View view = MakeView();
  ServerChange restarted = MakeServer(1, "web", 7);
  restarted.entry->startedAt += 500;
  view.PutServer(restarted, kStart);
  uint64_t processCount = view.ProcessCount();
  ServerChange copy = MakeServer(1, "web", 1);
  copy.position = PositionAt(1, 2);
  view.PutServer(copy, kStart);
  CHECK(At(view, 1).entry.startedAt == restarted.entry->startedAt);
  CHECK(At(view, 1).AcceptsNewFlows());
  CHECK(view.ProcessCount() == processCount);
  // The first change in the new era counts, whatever its start is.
  copy.position = PositionAt(5, 2);
  view.PutServer(copy, kStart);
  CHECK(At(view, 1).entry.startedAt == copy.entry->startedAt);
}

TEST_CASE("A peer's view does not make a server gone whose entry is unreadable")
{
  View sender = MakeView();
  sender.PutServer({ "i-1", PositionAt(7), false, {} }, kStart);
  View receiver = MakeView();
  receiver.PutServers(sender.CopyServers(kStart), kStart);
  receiver.Tick(kStart + 10 * kSecond);
  CHECK(At(receiver, 1).registryState == RegistryState::Unreadable);
  CHECK(At(receiver, 2).registryState == RegistryState::Listed);
}

TEST_CASE(
  "A server whose entry is unreadable gets no new flows but is not gone")
{
  View view = MakeView();
  view.PutServer({ "i-1", PositionAt(7), false, {} }, kStart);
  CHECK_FALSE(At(view, 1).AcceptsNewFlows());
  view.Tick(kStart + 10 * kSecond);
  CHECK(At(view, 1).registryState == RegistryState::Unreadable);
  CHECK(At(view, 2).AcceptsNewFlows());
  CHECK(view.ServersOf("web").size() == 2);
}

TEST_CASE("Of two servers with one tag only the smaller id accepts new flows")
{
  View view = MakeView();
  // A tag combines the upper and the lower half of the id.
  ServerId sameTag = (uint64_t{ 3 } << 32) | 2U;
  REQUIRE(TagOf(sameTag) == TagOf(1));
  view.PutServer(MakeServer(sameTag, "web", 5), kStart);
  CHECK(At(view, 1).entry.id == 1);
  size_t accepting = 0;
  for (size_t i = 0; i < view.Size(); ++i) {
    accepting += view.At(static_cast<ServerIndex>(i)).AcceptsNewFlows() ? 1 : 0;
  }
  CHECK(accepting == 2);
}

TEST_CASE("Servers gone for long are evicted and their indexes reused")
{
  View view = MakeView();
  view.PutServer(MakeRemoved(1, 8), kStart);
  view.Tick(kStart + kMissingTimeout);
  view.Tick(kStart + kGoneRetention);
  CHECK(view.FindTag(TagOf(1)) == kNoServer);
  size_t sizeBefore = view.Size();
  uint64_t processCount = view.ProcessCount();
  view.PutServer(MakeServer(7, "web", 20), kStart + kGoneRetention);
  CHECK(view.Size() == sizeBefore);
  CHECK(view.ProcessCount() == processCount + 1);
  CHECK(At(view, 7).AcceptsNewFlows());
}

}
