// Entries of services that no route leads to, which may be another writer's:
// what they do not decide about other servers.
#include "support/silence_world.h"

#include <catch2/catch.hpp>

namespace gentianspindle {

using namespace steer;

namespace {

// The server whose address the other entry has.
constexpr size_t kServer = 1;

const Server&
ServerWithTagOf(const View& aView, ServerId aId)
{
  return aView.At(aView.FindTag(TagOf(aId)));
}

}

// Guards against resets of a live server's flows: another writer's entry, of a
// service that no route names, has the server's address and a later start.
TEST_CASE("An entry of a service without a route does not prove a server's end")
{
  SilenceWorld world(1);
  ServerChange other = MakeServer(40, "metrics", 20);
  other.entry->endpoint = MakeServer(kServer + 1).entry->endpoint;
  other.entry->startedAt = 2000;
  world.steer.CurrentView().PutServer(other, world.now);
  world.loss = 0.3;
  world.Run(60 * kSecond);
  CHECK(world.answers > 0);
  CHECK(world.falseResets == 0);
}

// Guards against flows that are dropped, as another writer's entry of a service
// that no route names has the tag of a live server.
TEST_CASE("An entry of a service without a route takes no server's tag")
{
  ServerId sameTag = (uint64_t{ 3 } << 32) | 2U;
  REQUIRE(TagOf(sameTag) == TagOf(1));
  View view;
  ServerChange other = MakeServer(1, "metrics", 5);
  SECTION("also where it was there first")
  {
    view.PutServer(other, kStart);
    view.PutServer(MakeServer(sameTag, "web", 6), kStart);
    view.PutConfig(MakeConfig(5));
  }
  SECTION("or where it comes last")
  {
    view.PutConfig(MakeConfig(5));
    view.PutServer(MakeServer(sameTag, "web", 4), kStart);
    view.PutServer(other, kStart);
  }
  CHECK(ServerWithTagOf(view, 1).entry.id == sameTag);
  CHECK(ServerWithTagOf(view, 1).AcceptsNewFlows());
  // A configuration that names the service makes it a server.
  Config config = MakeConfig(6);
  config.routes[1].services = { { "metrics", 1 } };
  view.PutConfig(config);
  CHECK(ServerWithTagOf(view, 1).entry.id == 1);
}

}
