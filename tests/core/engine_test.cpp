// Decisions of one engine, packet by packet.
#include "support/engine_fixture.h"

#include <catch2/catch.hpp>

namespace gentianspindle {

TEST_CASE("A new flow goes to its default server and stays there")
{
  EngineFixture test;
  Engine::Order order = test.engine.LookupOrder(7);
  Outbox out = test.Send(7, kTcpSyn);
  REQUIRE(out.size() == 1);
  CHECK(out[0].action == Action::Forward);
  CHECK(out[0].server == test.engine.Servers()[order[0]].row.address);
  CHECK(test.Send(7, kTcpAck, 101, 1, 50)[0].server == out[0].server);
  CHECK(test.Send(7, kTcpSyn)[0].server == out[0].server);
}

TEST_CASE(
  "A flow without a free slot is held, and refused after its waiting time")
{
  EngineOptions options;
  options.usePipeline = false;
  EngineFixture test(options);
  test.FillSlots();
  Outbox out = test.Send(7, kTcpSyn);
  REQUIRE(out.size() == 1);
  CHECK(out[0].action == Action::Hold);
  // A retransmission of the SYN is not held a second time.
  CHECK(test.Send(7, kTcpSyn)[0].reason == Reason::HeldDuplicate);
  CHECK(test.Tick(399 * kMillisecond).empty());
  out = test.Tick(2 * kMillisecond);
  REQUIRE(out.size() == 1);
  CHECK(out[0].action == Action::Refuse);
  CHECK(out[0].reason == Reason::Overloaded);
  CHECK(out[0].packet.size() == 40);
}

TEST_CASE("A held flow is admitted to the first candidate that frees a slot")
{
  EngineOptions options;
  options.usePipeline = false;
  options.servers = 12;
  EngineFixture test(options);
  test.FillSlots();
  CHECK(test.Send(7, kTcpSyn)[0].action == Action::Hold);
  Engine::Order order = test.engine.LookupOrder(7);
  Address candidate = test.engine.Servers()[order[3]].row.address;
  // Finds a flow that waits for its response at that server, and ends it.
  for (FlowKey flow = 1'000'000;; ++flow) {
    Outbox out = test.Send(flow, kTcpAck, 151, 1);
    if (!out.empty() && out[0].server == candidate) {
      test.Send(flow, kTcpAck, 151, 1000);
      out = test.Send(flow, kTcpAck | kTcpFin, 151, 1000);
      REQUIRE(out.size() == 2);
      CHECK(out[1].action == Action::Forward);
      CHECK(out[1].server == candidate);
      CHECK(out[1].packet.size() == 40);
      break;
    }
  }
  CHECK(test.engine.HeldNow() == 0);
}

TEST_CASE(
  "A cold owner drops a held flow that found no slot, and does not refuse it")
{
  EngineOptions options;
  options.usePipeline = false;
  EngineFixture test(options, false);
  test.FillSlots();
  CHECK(test.Send(7, kTcpSyn)[0].action == Action::Hold);
  Outbox out = test.Tick(500 * kMillisecond);
  REQUIRE(out.size() == 1);
  CHECK(out[0].action == Action::Drop);
  CHECK(out[0].reason == Reason::ColdOwner);
}

TEST_CASE(
  "A warm owner drops packets of an unknown flow, a cold owner adopts it")
{
  EngineFixture warm;
  CHECK(warm.Send(7, kTcpAck, 101, 1)[0].reason == Reason::UnknownFlow);
  EngineFixture cold({}, false);
  Outbox out = cold.Send(7, kTcpAck, 101, 1);
  Engine::Order order = cold.engine.LookupOrder(7);
  CHECK(out[0].action == Action::Forward);
  CHECK(out[0].server == cold.engine.Servers()[order[0]].row.address);
  CHECK(cold.engine.Counts().adopted == 1);
  // After the idle time all unknown flows have expired, so the owner is warm.
  cold.now += cold.options.idle;
  CHECK(cold.Send(8, kTcpAck, 101, 1)[0].reason == Reason::UnknownFlow);
}

TEST_CASE(
  "A flow that may be at a server with an unreachable owner is not moved")
{
  EngineFixture test({}, false);
  Engine::Order order = test.engine.LookupOrder(7);
  std::vector<InstanceId> owners(test.engine.Servers().size(), kSelf);
  owners[order[0]] = kNoInstance;
  test.engine.SetOwners(owners, owners, {}, test.now);
  Outbox out = test.Send(7, kTcpAck, 101, 1);
  REQUIRE(out.size() == 1);
  CHECK(out[0].reason == Reason::OwnerUnreachable);
  // A new flow goes to the next server in lookup order.
  CHECK(test.Send(7, kTcpSyn)[0].server ==
        test.engine.Servers()[order[1]].row.address);
}

TEST_CASE(
  "A retransmitted SYN is relayed to the owner that admitted the first copy")
{
  EngineOptions options;
  options.usePipeline = false;
  EngineFixture test(options);
  test.FillSlots();
  Engine::Order order = test.engine.LookupOrder(7);
  std::vector<InstanceId> owners(test.engine.Servers().size(), kPeer);
  owners[order[0]] = kSelf;
  test.engine.SetOwners(owners, owners, {}, test.now);
  Outbox out = test.Send(7, kTcpSyn);
  REQUIRE(out[0].action == Action::Relay);
  CHECK(out[0].walk.step == 1);
  CHECK(out[0].walk.first == kSelf);
  // After the idle time all slots are free. The record that the first copy was
  // passed on, which would pass on later copies too, has expired.
  test.now += 30 * kSecond;
  test.Tick(test.options.idle);
  out = test.Send(7, kTcpSyn);
  CHECK(out[0].action == Action::Forward);
  EngineFixture pinnedTest(options);
  pinnedTest.FillSlots();
  pinnedTest.engine.SetOwners(owners, owners, {}, pinnedTest.now);
  pinnedTest.Send(7, kTcpSyn);
  pinnedTest.engine.OnNote({ NoteKind::Found,
                             7,
                             pinnedTest.engine.Servers()[order[2]].row.address,
                             kPeer },
                           pinnedTest.now,
                           out);
  out = pinnedTest.Send(7, kTcpSyn);
  REQUIRE(out[0].action == Action::Relay);
  CHECK(out[0].walk.step == 2);
  CHECK(out[0].walk.Has(kWalkPinned));
}

TEST_CASE("No server exceeds the slots and connections of its row")
{
  EngineOptions options;
  options.usePipeline = false;
  options.busy = BusyPolicy::Refuse;
  EngineFixture test(options);
  for (FlowKey flow = 1; flow <= 500; ++flow) {
    test.Send(flow, kTcpSyn);
    for (const ServerState& server : test.engine.Servers()) {
      REQUIRE(server.Occupied() <= server.row.slots);
    }
  }
  // Idle flows count as connections, but occupy no slots.
  Service limitedService = test.service;
  for (ServerRow& row : limitedService.rows) {
    row.connections = 2;
  }
  EngineFixture limited(options);
  limited.engine.SetService(limitedService, 1, true, limited.now);
  limited.OwnAll(kSelf);
  for (FlowKey flow = 1; flow <= 500; ++flow) {
    if (limited.Send(flow, kTcpSyn)[0].action == Action::Forward) {
      limited.Send(flow, kTcpAck, 101, 1);
      limited.Tick(300 * kMillisecond);
    }
    for (const ServerState& server : limited.engine.Servers()) {
      REQUIRE(server.OpenFlows() <= 2);
    }
  }
}

TEST_CASE("A draining server keeps its flows and gets no new ones")
{
  EngineFixture test;
  Address server = test.Send(7, kTcpSyn)[0].server;
  test.Send(7, kTcpAck, 101, 1);
  Service draining = test.service;
  for (ServerRow& row : draining.rows) {
    row.draining = row.address == server;
  }
  test.engine.SetService(draining, 2, false, test.now);
  test.OwnAll(kSelf);
  CHECK(test.Send(7, kTcpAck, 101, 1, 50)[0].server == server);
  for (FlowKey flow = 100; flow < 400; ++flow) {
    Outbox out = test.Send(flow, kTcpSyn);
    REQUIRE_FALSE(
      (out[0].action == Action::Forward && out[0].server == server));
  }
}

TEST_CASE("Flows of a removed server are reset once its former row is gone too")
{
  EngineFixture test;
  Address server = test.Send(7, kTcpSyn)[0].server;
  Service withoutServer = test.service;
  std::erase_if(withoutServer.rows,
                [=](const ServerRow& aRow) { return aRow.address == server; });
  withoutServer.former = { test.service.rows };
  test.engine.SetService(withoutServer, 2, false, test.now);
  test.OwnAll(kSelf);
  CHECK(test.Send(7, kTcpAck, 101, 1)[0].action == Action::Forward);
  withoutServer.former.clear();
  test.engine.SetService(withoutServer, 3, false, test.now);
  test.OwnAll(kSelf);
  CHECK(test.Send(7, kTcpAck, 101, 1)[0].action == Action::Reset);
}

TEST_CASE(
  "Flows are still found at their servers after many weights change at once")
{
  EngineOptions options;
  options.usePipeline = false;
  EngineFixture test(options);
  std::vector<std::pair<FlowKey, Address>> placed;
  for (FlowKey flow = 1; placed.size() < 28; ++flow) {
    Outbox out = test.Send(flow, kTcpSyn);
    if (out[0].action == Action::Forward) {
      placed.emplace_back(flow, out[0].server);
    }
  }
  Service changed = test.service;
  changed.former = { test.service.rows };
  for (size_t i = 0; i < changed.rows.size(); ++i) {
    changed.rows[i].weight = i % 2 == 0 ? 1 : 1000;
  }
  test.engine.SetService(changed, 2, false, test.now);
  test.OwnAll(kSelf);
  for (const auto& pair : placed) {
    FlowKey flow = pair.first;
    Address server = pair.second;
    Engine::Order order = test.engine.LookupOrder(flow);
    bool inOrder =
      std::any_of(order.begin(), order.end(), [&](ServerIndex aServer) {
        return test.engine.Servers()[aServer].row.address == server;
      });
    CHECK(inOrder);
    CHECK(test.Send(flow, kTcpAck, 101, 1)[0].server == server);
  }
}

// Two instances that each consider the other the owner relay a packet back and
// forth.
TEST_CASE("A packet that is relayed in a loop is dropped at the hop limit")
{
  EngineFixture test;
  test.OwnAll(kPeer);
  Walk walk;
  walk.hops = 25; // one more than kMaxHops
  Outbox out = test.Send(7, kTcpAck, 101, 1, 0, &walk);
  REQUIRE(out.size() == 1);
  CHECK(out[0].reason == Reason::HopLimit);
}

TEST_CASE("An unresponsive server gets about one trial flow a second")
{
  EngineFixture test;
  Address silent = test.engine.Servers()[3].row.address;
  // Opens 200 flows and returns how many reached the silent server.
  auto openFlows = [&](FlowKey aFirst) {
    size_t reachedSilent = 0;
    for (FlowKey flow = aFirst; flow < aFirst + 200; ++flow) {
      Outbox out = test.Send(flow, kTcpSyn);
      if (out[0].action != Action::Forward) {
        continue;
      }
      if (out[0].server == silent) {
        ++reachedSilent; // no answer
      } else {
        test.Send(flow, kTcpAck, 101, 1);
        test.Send(flow, kTcpRst | kTcpAck, 101, 1);
      }
    }
    test.Tick(300 * kMillisecond);
    return reachedSilent;
  };
  CHECK(openFlows(1000) >= 2);
  openFlows(2000);
  openFlows(3000);
  CHECK(test.engine.Servers()[3].IsUnresponsive());
  size_t trialFlows = 0;
  for (FlowKey i = 0; i < 10; ++i) {
    trialFlows += openFlows(10'000 + i * 1000);
  }
  CHECK(trialFlows >= 2);
  CHECK(trialFlows <= 4); // 3 seconds passed
}

TEST_CASE(
  "Reports of down servers are ignored when more than half are reported")
{
  EngineFixture test;
  auto servers = test.engine.Servers();
  for (size_t i = 0; i < 7; ++i) {
    test.engine.OnReport(servers[i].row.address, true);
  }
  // Opens 400 flows and returns how many reached servers reported down.
  auto flowsToReported = [&](FlowKey aFirst) {
    size_t toReported = 0;
    for (FlowKey flow = aFirst; flow < aFirst + 400; ++flow) {
      Outbox out = test.Send(flow, kTcpSyn);
      if (out[0].action == Action::Forward) {
        toReported +=
          test.engine
              .Servers()
                [test.engine.Flows().At(test.engine.Flows().Find(flow)).server]
              .reportedDown
            ? 1
            : 0;
        test.Send(flow, kTcpRst | kTcpAck, 101, 1);
      }
    }
    return toReported;
  };
  CHECK(flowsToReported(1000) <= 7); // one trial flow each
  test.engine.OnReport(servers[7].row.address, true);
  CHECK(flowsToReported(2000) > 100);
}

TEST_CASE("The half-open flows are limited and evict no established flow")
{
  EngineOptions options;
  options.halfOpen = 16;
  options.handshake = 10 * kMillisecond;
  options.useHealth = false;
  EngineFixture test(options);
  Address server = test.Send(7, kTcpSyn)[0].server;
  test.Send(7, kTcpAck, 101, 1);
  for (FlowKey flow = 1000; flow < 21'000; ++flow) {
    test.Send(flow, kTcpSyn);
    if (flow % 20 == 0) {
      test.Tick(11 * kMillisecond);
    }
  }
  // Per server 16 half-open flows, four times as many passed-on SYNs, and one
  // more.
  CHECK(test.engine.Flows().Size() <= 16 * 14 * 5 + 14);
  CHECK(test.Send(7, kTcpAck, 101, 1, 50)[0].server == server);
}

TEST_CASE("Relayed lookups of unknown flows stay below the limit per second")
{
  EngineOptions options;
  options.walksPerSecond = 100;
  EngineFixture test(options);
  size_t relayed = 0;
  std::vector<InstanceId> owners(test.engine.Servers().size(), kPeer);
  for (FlowKey flow = 0; flow < 5000; ++flow) {
    std::fill(owners.begin(), owners.end(), kPeer);
    owners[test.engine.LookupOrder(flow)[0]] = kSelf;
    test.engine.SetOwners(owners, owners, {}, test.now);
    relayed += test.Send(flow, kTcpAck, 1, 1)[0].action == Action::Relay;
  }
  CHECK(relayed <= 100);
}

TEST_CASE("A UDP flow is admitted once and stays at its server")
{
  EngineFixture test;
  test.service.key.protocol = Protocol::Udp;
  test.engine.SetService(test.service, 1, true, test.now);
  test.OwnAll(kSelf);
  Address server = test.Send(7, 0, 0, 0, 20)[0].server;
  CHECK(test.engine.Flows().Size() == 1);
  test.Tick(kSecond);
  CHECK(test.Send(7, 0, 0, 0, 20)[0].server == server);
}

}
