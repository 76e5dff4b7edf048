// What an engine keeps of its servers when the table or the owners change.
#include "support/engine_fixture.h"

#include <catch2/catch.hpp>

namespace gentianspindle {

TEST_CASE(
  "A change of the table starts slow start only at servers that are new "
  "or take new flows again")
{
  EngineFixture test;
  auto slots = [&] {
    uint32_t sum = 0;
    for (const ServerState& server : test.engine.Servers()) {
      sum += server.Slots(test.now);
    }
    return sum;
  };
  uint32_t all = slots();
  test.service.waitMs += 1;
  test.now += kSecond;
  test.engine.SetService(test.service, 2, false, test.now);
  CHECK(slots() == all);
  uint32_t slotsOfOne = test.service.rows[0].slots;
  test.service.rows[0].draining = true;
  test.engine.SetService(test.service, 3, false, test.now);
  test.service.rows[0].draining = false;
  test.engine.SetService(test.service, 4, false, test.now);
  CHECK(slots() == all - slotsOfOne + 1);
}

TEST_CASE(
  "A server that is lost and regained with an open claim takes new flows "
  "once the claim has ended")
{
  EngineFixture test;
  Outbox out;
  // Peers hold flows, and the engine claims each for one of its servers.
  for (FlowKey flow = 1; flow <= 20; ++flow) {
    test.engine.OnNote({ NoteKind::Held, flow, 0, kPeer }, test.now, out);
  }
  REQUIRE(out.size() == 20);
  test.OwnAll(kPeer);
  test.OwnAll(kSelf);
  for (FlowKey flow = 1; flow <= 20; ++flow) {
    test.engine.OnNote({ NoteKind::Void, flow, 0, kPeer }, test.now, out);
  }
  for (const ServerState& server : test.engine.Servers()) {
    CHECK(server.reserved == 0);
  }
}

}
