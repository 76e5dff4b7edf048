// What one engine decides, packet by packet.
#include "core/engine.h"
#include "support/examples.h"

#include <catch2/catch.hpp>

namespace gentianspindle {

namespace {

constexpr InstanceId kSelf = 1;
constexpr InstanceId kPeer = 2;
constexpr Micros kStart = 1000 * kSecond;

struct EngineTest
{
  Service service = MakeTable(Panji()).services[0];
  EngineOptions options;
  Engine engine;
  Micros now = kStart;

  explicit EngineTest(const EngineOptions& aOptions = {}, bool aFresh = true)
    : options(aOptions)
    , engine(aOptions, kSelf)
  {
    this->engine.SetService(this->service, 1, aFresh, this->now);
    this->OwnAll(kSelf);
  }

  void OwnAll(InstanceId aOwner)
  {
    std::vector<InstanceId> owners(this->engine.Servers().size(), aOwner);
    this->engine.SetOwners(owners, owners, {}, this->now);
  }

  Outbox Send(FlowKey aFlow,
              uint8_t aFlags,
              uint32_t aSequence = 100,
              uint32_t aAck = 0,
              uint32_t aBytes = 0,
              const Walk* aWalk = nullptr)
  {
    Segment segment;
    segment.service = this->service.key;
    segment.flow = aFlow;
    segment.flags = aFlags;
    segment.sequence = aSequence;
    segment.acknowledged = aAck;
    segment.payload = aBytes;
    std::vector<uint8_t> packet(40, 1);
    Outbox out;
    Arrival arrival{ .now = this->now,
                     .segment = &segment,
                     .packet = packet,
                     .relayed = aWalk != nullptr,
                     .version = this->engine.Version(),
                     .walk = aWalk != nullptr ? *aWalk : Walk{} };
    this->engine.OnPacket(arrival, out);
    return out;
  }

  Outbox Tick(Micros aLater)
  {
    this->now += aLater;
    Outbox out;
    this->engine.OnTick(this->now, out);
    return out;
  }

  // Fills every slot of every server with a flow that waits for its answer.
  void FillSlots()
  {
    FlowKey flow = 1'000'000;
    for (size_t admitted = 0; admitted < 28; ++flow) {
      Outbox out = this->Send(flow, kTcpSyn);
      if (out[0].action == Action::Forward) {
        this->Send(flow, kTcpAck, 101, 1);
        this->Send(flow, kTcpAck, 101, 1, 50);
        ++admitted;
      }
    }
    this->Tick(500 * kMillisecond); // ends what is held
  }
};

}

TEST_CASE("A new flow goes to its first free rank and stays there")
{
  EngineTest test;
  Engine::Order order = test.engine.LookupOrder(7);
  Outbox out = test.Send(7, kTcpSyn);
  REQUIRE(out.size() == 1);
  CHECK(out[0].action == Action::Forward);
  CHECK(out[0].server == test.engine.Servers()[order[0]].row.address);
  CHECK(test.Send(7, kTcpAck, 101, 1, 50)[0].server == out[0].server);
  CHECK(test.Send(7, kTcpSyn)[0].server == out[0].server);
}

TEST_CASE("A flow that finds no free slot is held, then refused in time")
{
  EngineOptions options;
  options.usePipeline = false;
  EngineTest test(options);
  test.FillSlots();
  Outbox out = test.Send(7, kTcpSyn);
  REQUIRE(out.size() == 1);
  CHECK(out[0].action == Action::Hold);
  // The caller retransmits: still one flow.
  CHECK(test.Send(7, kTcpSyn)[0].reason == Reason::HeldDuplicate);
  CHECK(test.Tick(399 * kMillisecond).empty());
  out = test.Tick(2 * kMillisecond);
  REQUIRE(out.size() == 1);
  CHECK(out[0].action == Action::Refuse);
  CHECK(out[0].reason == Reason::Overloaded);
  CHECK(out[0].packet.size() == 40);
}

TEST_CASE("A held flow takes the first slot that frees")
{
  EngineOptions options;
  options.usePipeline = false;
  options.servers = 12;
  EngineTest test(options);
  test.FillSlots();
  CHECK(test.Send(7, kTcpSyn)[0].action == Action::Hold);
  Engine::Order order = test.engine.LookupOrder(7);
  Address candidate = test.engine.Servers()[order[3]].row.address;
  // Find a waiting flow at that server and end it.
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

TEST_CASE("A cold owner drops, and never refuses")
{
  EngineOptions options;
  options.usePipeline = false;
  EngineTest test(options, false);
  test.FillSlots();
  CHECK(test.Send(7, kTcpSyn)[0].action == Action::Hold);
  Outbox out = test.Tick(500 * kMillisecond);
  REQUIRE(out.size() == 1);
  CHECK(out[0].action == Action::Drop);
  CHECK(out[0].reason == Reason::ColdOwner);
}

TEST_CASE("A warm owner says no, a cold owner adopts")
{
  EngineTest warm;
  CHECK(warm.Send(7, kTcpAck, 101, 1)[0].reason == Reason::UnknownFlow);
  EngineTest cold({}, false);
  Outbox out = cold.Send(7, kTcpAck, 101, 1);
  Engine::Order order = cold.engine.LookupOrder(7);
  CHECK(out[0].action == Action::Forward);
  CHECK(out[0].server == cold.engine.Servers()[order[0]].row.address);
  CHECK(cold.engine.Counts().adopted == 1);
  // An owner that has owned for the longest idle time is warm.
  cold.now += cold.options.idle;
  CHECK(cold.Send(8, kTcpAck, 101, 1)[0].reason == Reason::UnknownFlow);
}

TEST_CASE("A flow never moves to a reachable server from a cut-off one")
{
  EngineTest test({}, false);
  Engine::Order order = test.engine.LookupOrder(7);
  std::vector<InstanceId> owners(test.engine.Servers().size(), kSelf);
  owners[order[0]] = kNoInstance;
  test.engine.SetOwners(owners, owners, {}, test.now);
  Outbox out = test.Send(7, kTcpAck, 101, 1);
  REQUIRE(out.size() == 1);
  CHECK(out[0].reason == Reason::OwnerUnreachable);
  // A new flow goes to the next rank.
  CHECK(test.Send(7, kTcpSyn)[0].server ==
        test.engine.Servers()[order[1]].row.address);
}

TEST_CASE("A retransmitted SYN takes the way of the first copy")
{
  EngineOptions options;
  options.usePipeline = false;
  EngineTest test(options);
  test.FillSlots();
  Engine::Order order = test.engine.LookupOrder(7);
  std::vector<InstanceId> owners(test.engine.Servers().size(), kPeer);
  owners[order[0]] = kSelf;
  test.engine.SetOwners(owners, owners, {}, test.now);
  Outbox out = test.Send(7, kTcpSyn);
  REQUIRE(out[0].action == Action::Relay);
  CHECK(out[0].walk.step == 1);
  CHECK(out[0].walk.first == kSelf);
  // Now the slot of rank 0 frees; the copy must still follow the first.
  test.now += 30 * kSecond;
  test.Tick(test.options.idle);
  out = test.Send(7, kTcpSyn);
  CHECK(out[0].action == Action::Forward); // the mark itself has expired
  EngineTest again(options);
  again.FillSlots();
  again.engine.SetOwners(owners, owners, {}, again.now);
  again.Send(7, kTcpSyn);
  again.engine.OnNote(
    { NoteKind::Found, 7, again.engine.Servers()[order[2]].row.address, kPeer },
    again.now,
    out);
  out = again.Send(7, kTcpSyn);
  REQUIRE(out[0].action == Action::Relay);
  CHECK(out[0].walk.step == 2);
  CHECK(out[0].walk.Has(kWalkPinned));
}

TEST_CASE("Limits of a row hold exactly")
{
  EngineOptions options;
  options.usePipeline = false;
  options.busy = BusyPolicy::Refuse;
  EngineTest test(options);
  for (FlowKey flow = 1; flow <= 500; ++flow) {
    test.Send(flow, kTcpSyn);
    for (const ServerState& server : test.engine.Servers()) {
      REQUIRE(server.Occupied() <= server.row.slots);
    }
  }
  // Idle flows hold connections, not slots.
  Service small = test.service;
  for (ServerRow& row : small.rows) {
    row.connections = 2;
  }
  EngineTest narrow(options);
  narrow.engine.SetService(small, 1, true, narrow.now);
  narrow.OwnAll(kSelf);
  for (FlowKey flow = 1; flow <= 500; ++flow) {
    if (narrow.Send(flow, kTcpSyn)[0].action == Action::Forward) {
      narrow.Send(flow, kTcpAck, 101, 1);
      narrow.Tick(300 * kMillisecond);
    }
    for (const ServerState& server : narrow.engine.Servers()) {
      REQUIRE(server.OpenFlows() <= 2);
    }
  }
}

TEST_CASE("A draining server keeps its flows and gets no new ones")
{
  EngineTest test;
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

TEST_CASE("Flows of a server that is gone for good are reset")
{
  EngineTest test;
  Address server = test.Send(7, kTcpSyn)[0].server;
  Service without = test.service;
  std::erase_if(without.rows,
                [=](const ServerRow& aRow) { return aRow.address == server; });
  without.former = { test.service.rows };
  test.engine.SetService(without, 2, false, test.now);
  test.OwnAll(kSelf);
  CHECK(test.Send(7, kTcpAck, 101, 1)[0].action == Action::Forward);
  without.former.clear();
  test.engine.SetService(without, 3, false, test.now);
  test.OwnAll(kSelf);
  CHECK(test.Send(7, kTcpAck, 101, 1)[0].action == Action::Reset);
}

TEST_CASE("Many weights changed at once leave old flows findable")
{
  EngineOptions options;
  options.usePipeline = false;
  EngineTest test(options);
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

TEST_CASE("Two instances that point at each other end in a counted drop")
{
  EngineTest test;
  test.OwnAll(kPeer);
  Walk walk;
  walk.hops = 25;
  Outbox out = test.Send(7, kTcpAck, 101, 1, 0, &walk);
  REQUIRE(out.size() == 1);
  CHECK(out[0].reason == Reason::HopLimit);
}

TEST_CASE("A silent server gets a trial a second until it answers")
{
  EngineTest test;
  Address silent = test.engine.Servers()[3].row.address;
  auto tryMany = [&](FlowKey aFirst) {
    size_t there = 0;
    for (FlowKey flow = aFirst; flow < aFirst + 200; ++flow) {
      Outbox out = test.Send(flow, kTcpSyn);
      if (out[0].action != Action::Forward) {
        continue;
      }
      if (out[0].server == silent) {
        ++there; // no answer
      } else {
        test.Send(flow, kTcpAck, 101, 1);
        test.Send(flow, kTcpRst | kTcpAck, 101, 1);
      }
    }
    test.Tick(300 * kMillisecond);
    return there;
  };
  CHECK(tryMany(1000) >= 2);
  tryMany(2000);
  tryMany(3000);
  CHECK(test.engine.Servers()[3].IsUnresponsive());
  size_t trials = 0;
  for (FlowKey i = 0; i < 10; ++i) {
    trials += tryMany(10'000 + i * 1000);
  }
  CHECK(trials >= 2);
  CHECK(trials <= 4); // 3 seconds passed
}

TEST_CASE("Reports are distrusted when more than half look down")
{
  EngineTest test;
  auto servers = test.engine.Servers();
  for (size_t i = 0; i < 7; ++i) {
    test.engine.OnReport(servers[i].row.address, true);
  }
  auto reaches = [&](FlowKey aFirst) {
    size_t down = 0;
    for (FlowKey flow = aFirst; flow < aFirst + 400; ++flow) {
      Outbox out = test.Send(flow, kTcpSyn);
      if (out[0].action == Action::Forward) {
        down +=
          test.engine
              .Servers()
                [test.engine.Flows().At(test.engine.Flows().Find(flow)).server]
              .reportedDown
            ? 1
            : 0;
        test.Send(flow, kTcpRst | kTcpAck, 101, 1);
      }
    }
    return down;
  };
  CHECK(reaches(1000) <= 7); // one trial each
  test.engine.OnReport(servers[7].row.address, true);
  CHECK(reaches(2000) > 100);
}

TEST_CASE("Half-open flows are bounded and evict no established one")
{
  EngineOptions options;
  options.halfOpen = 16;
  options.handshake = 10 * kMillisecond;
  options.useHealth = false;
  EngineTest test(options);
  Address server = test.Send(7, kTcpSyn)[0].server;
  test.Send(7, kTcpAck, 101, 1);
  for (FlowKey flow = 1000; flow < 21'000; ++flow) {
    test.Send(flow, kTcpSyn);
    if (flow % 20 == 0) {
      test.Tick(11 * kMillisecond);
    }
  }
  CHECK(test.engine.Flows().Size() <= 16 * 14 * 5 + 14);
  CHECK(test.Send(7, kTcpAck, 101, 1, 50)[0].server == server);
}

TEST_CASE("Random packets of unknown flows are bounded")
{
  EngineOptions options;
  options.walksPerSecond = 100;
  EngineTest test(options);
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

TEST_CASE("A datagram flow is admitted once and stays")
{
  EngineTest test;
  test.service.key.protocol = Protocol::Udp;
  test.engine.SetService(test.service, 1, true, test.now);
  test.OwnAll(kSelf);
  Address server = test.Send(7, 0, 0, 0, 20)[0].server;
  CHECK(test.engine.Flows().Size() == 1);
  test.Tick(kSecond);
  CHECK(test.Send(7, 0, 0, 0, 20)[0].server == server);
}

}
