// Guards against messages of peers that take far more memory than their bytes,
// or that lose what the sender knew.
#include "spread/quota_sharing.h"
#include "support/tagged_view.h"
#include "tagged/peer_codec.h"

#include <catch2/catch.hpp>

namespace gentianspindle {

namespace {

// Returns the start of a compact Thrift struct: field aField, a list of structs
// that claims 60,000 elements, which do not follow.
std::string
MakeLongList(uint8_t aField)
{
  return { static_cast<char>(aField << 4 | 9), '\xFC', '\xE0', '\xD4', '\x03' };
}

}

TEST_CASE(
  "A list that claims more elements than bytes follow is refused before "
  "memory is taken for it")
{
  auto heartbeat = tagged::DecodeHeartbeat(MakeLongList(15));
  REQUIRE_FALSE(heartbeat.ok());
  CHECK(std::string(heartbeat.status().message()).find("size limit") !=
        std::string::npos);
  for (uint8_t field : { 2, 5, 7, 9 }) {
    auto view = tagged::DecodePeerView(MakeLongList(field));
    bool isKnownField = field != 9;
    INFO(static_cast<int>(field));
    CHECK_FALSE(view.ok());
    if (isKnownField) {
      CHECK(std::string(view.status().message()).find("size limit") !=
            std::string::npos);
    }
  }
}

TEST_CASE("Structs nested in unknown fields end the reading, not the process")
{
  // Field 14, a struct, in each other.
  std::string bytes(1'000'000, '\xEC');
  CHECK_FALSE(tagged::DecodeHeartbeat(bytes).ok());
  CHECK_FALSE(tagged::DecodePeerView(bytes).ok());
}

TEST_CASE("A view names the servers whose entries cannot be read")
{
  tagged::PeerView view;
  view.config = MakeConfig(5);
  view.serversPosition = PositionAt(90, 3);
  view.servers = { MakeServer(1), { "i-2", PositionAt(80, 3), false, {} } };
  auto decoded = tagged::DecodePeerView(tagged::EncodePeerView(view));
  REQUIRE(decoded.ok());
  REQUIRE(decoded->servers.size() == 2);
  CHECK(decoded->servers[0].entry);
  CHECK(decoded->servers[1].name == "i-2");
  CHECK(decoded->servers[1].position == PositionAt(80, 3));
  CHECK_FALSE(decoded->servers[1].entry);
  CHECK_FALSE(decoded->servers[1].removed);
}

TEST_CASE("A view passes on all that the configuration says")
{
  tagged::PeerView view;
  view.config = MakeConfig(5);
  view.config.routes[0].repeatable = true;
  view.config.routes[0].regions = { "north", "south" };
  view.config.services = { { "web", 2.5 } };
  auto decoded = tagged::DecodePeerView(tagged::EncodePeerView(view));
  REQUIRE(decoded.ok());
  CHECK(decoded->config.routes == view.config.routes);
  CHECK(decoded->config.services == view.config.services);
}

TEST_CASE("Views and heartbeats pass on the drained zones")
{
  const steer::DrainState drains{ PositionAt(90, 3),
                                  PositionAt(70, 2),
                                  { "a", "b" } };
  spread::Heartbeat heartbeat;
  heartbeat.drains = drains;
  heartbeat.drainsAge = 12;
  heartbeat.drainsLeftOut = true;
  tagged::PeerView view;
  view.drains = drains;
  auto decoded = tagged::DecodeHeartbeat(tagged::EncodeHeartbeat(heartbeat));
  auto decodedView = tagged::DecodePeerView(tagged::EncodePeerView(view));
  REQUIRE(decoded.ok());
  REQUIRE(decodedView.ok());
  for (const steer::DrainState& state :
       { decoded->drains, decodedView->drains }) {
    CHECK(state.position == PositionAt(90, 3));
    CHECK(state.changedPosition == PositionAt(70, 2));
    CHECK(state.zones == drains.zones);
  }
  CHECK(decoded->drainsAge == 12);
  CHECK(decoded->drainsLeftOut);
  heartbeat.drainsAge = -1;
  CHECK_FALSE(tagged::DecodeHeartbeat(tagged::EncodeHeartbeat(heartbeat)).ok());
}

// Guards against positions that reach a peer in another era of the store.
TEST_CASE("A heartbeat passes on the eras of what its sender knows")
{
  spread::Heartbeat heartbeat;
  heartbeat.configPosition = PositionAt(70, 4);
  heartbeat.serversPosition = PositionAt(60, 5);
  heartbeat.recent = { PositionAt(50, 5),
                       PositionAt(60, 5),
                       { MakeServer(1) } };
  heartbeat.recent.changes[0].position = PositionAt(55, 5);
  auto decoded = tagged::DecodeHeartbeat(tagged::EncodeHeartbeat(heartbeat));
  REQUIRE(decoded.ok());
  CHECK(decoded->configPosition == heartbeat.configPosition);
  CHECK(decoded->serversPosition == heartbeat.serversPosition);
  CHECK(decoded->recent.from == heartbeat.recent.from);
  CHECK(decoded->recent.to == heartbeat.recent.to);
  REQUIRE(decoded->recent.changes.size() == 1);
  CHECK(decoded->recent.changes[0].position == PositionAt(55, 5));
  heartbeat.serversPosition.era = UINT64_MAX;
  CHECK_FALSE(tagged::DecodeHeartbeat(tagged::EncodeHeartbeat(heartbeat)).ok());
}

TEST_CASE("A heartbeat passes on verdicts, and none from the future")
{
  spread::Heartbeat heartbeat;
  heartbeat.verdicts = { { UINT64_MAX, 1000, 50 } };
  auto decoded = tagged::DecodeHeartbeat(tagged::EncodeHeartbeat(heartbeat));
  REQUIRE(decoded.ok());
  REQUIRE(decoded->verdicts.size() == 1);
  CHECK(decoded->verdicts[0].server == UINT64_MAX);
  CHECK(decoded->verdicts[0].startedAt == 1000);
  CHECK(decoded->verdicts[0].age == 50);
  heartbeat.verdicts[0].age = -1;
  CHECK_FALSE(tagged::DecodeHeartbeat(tagged::EncodeHeartbeat(heartbeat)).ok());
}

TEST_CASE("The holders of quotas come through to a peer, in order")
{
  spread::Heartbeat heartbeat;
  heartbeat.quotaHolders = { 0xC0000001, 0x0A000001 };
  heartbeat.handsOutQuota = true;
  auto decoded = tagged::DecodeHeartbeat(tagged::EncodeHeartbeat(heartbeat));
  REQUIRE(decoded.ok());
  CHECK(decoded->quotaHolders ==
        std::vector<Address>{ 0x0A000001, 0xC0000001 });
  CHECK(decoded->handsOutQuota);
}

// Guards against a state that keeps out all later ones, and against a list that
// grows until no datagram can carry it.
TEST_CASE("Drains that no store can have and too many holders are refused")
{
  for (const auto& [revision, changed] :
       std::vector<std::pair<uint64_t, uint64_t>>{
         { UINT64_MAX, 0 }, { 5, UINT64_MAX }, { 5, 6 } }) {
    spread::Heartbeat heartbeat;
    heartbeat.drains = { PositionAt(revision), PositionAt(changed), { "a" } };
    tagged::PeerView view;
    view.drains = heartbeat.drains;
    CHECK_FALSE(
      tagged::DecodeHeartbeat(tagged::EncodeHeartbeat(heartbeat)).ok());
    CHECK_FALSE(tagged::DecodePeerView(tagged::EncodePeerView(view)).ok());
  }
  spread::Heartbeat heartbeat;
  heartbeat.drains = { PositionAt(5), PositionAt(5), { "a", "b", "a" } };
  auto decoded = tagged::DecodeHeartbeat(tagged::EncodeHeartbeat(heartbeat));
  REQUIRE(decoded.ok());
  CHECK(decoded->drains.zones == std::vector<std::string>{ "a", "b" });
  heartbeat.quotaHolders.resize(spread::kMaxQuotaHolders + 1, 7);
  CHECK_FALSE(tagged::DecodeHeartbeat(tagged::EncodeHeartbeat(heartbeat)).ok());
}

TEST_CASE("A bit that changed in a message of a peer crashes no decoder")
{
  spread::Heartbeat heartbeat;
  heartbeat.zone = "a";
  heartbeat.members = { 1, 2, 3 };
  heartbeat.quotaHolders = { 1, 2 };
  heartbeat.readers = { { 4, "b" } };
  heartbeat.recent = { PositionAt(1),
                       PositionAt(9),
                       { MakeServer(1), MakeServer(2) } };
  heartbeat.verdicts = { { 7, 1000, 50 } };
  tagged::PeerView view;
  view.config = MakeConfig(5);
  view.servers = { MakeServer(1), { "i-2", PositionAt(80, 3), false, {} } };
  for (const std::string& bytes :
       { tagged::EncodeHeartbeat(heartbeat), tagged::EncodePeerView(view) }) {
    for (size_t bit = 0; bit < bytes.size() * 8; ++bit) {
      std::string changed = bytes;
      changed[bit / 8] = static_cast<char>(changed[bit / 8] ^ 1 << bit % 8);
      (void)tagged::DecodeHeartbeat(changed);
      (void)tagged::DecodePeerView(changed);
    }
  }
}

TEST_CASE("Messages about openings are read as they were written")
{
  steer::OpeningQuery query{ { { 0xFFFFFFFE, 65535 }, kWebTarget },
                             0xFEDCBA98,
                             2 };
  std::string bytes = tagged::EncodeOpeningMessage(query);
  CHECK(tagged::IsOpeningMessage(bytes));
  CHECK_FALSE(tagged::DecodeHeartbeat(bytes).ok());
  auto decoded = tagged::DecodeOpeningMessage(bytes);
  REQUIRE(decoded.ok());
  const auto& read = std::get<steer::OpeningQuery>(*decoded);
  CHECK(read.flow == query.flow);
  CHECK(read.seq == query.seq);
  CHECK(read.retransmissions == 2);
  steer::OpeningReply reply{
    query, steer::OpeningState::Sent, 0xF000000000000001, -7, {}
  };
  decoded = tagged::DecodeOpeningMessage(tagged::EncodeOpeningMessage(reply));
  REQUIRE(decoded.ok());
  const auto& answer = std::get<steer::OpeningReply>(*decoded);
  CHECK(answer.query.flow == query.flow);
  CHECK(answer.state == steer::OpeningState::Sent);
  CHECK(answer.server == reply.server);
  CHECK(answer.startedAt == -7);
  CHECK_FALSE(answer.zone);
  reply.zone = { 0xFFFFFFFF, 1 };
  decoded = tagged::DecodeOpeningMessage(tagged::EncodeOpeningMessage(reply));
  REQUIRE(decoded.ok());
  CHECK(std::get<steer::OpeningReply>(*decoded).zone == reply.zone);
  CHECK_FALSE(tagged::IsOpeningMessage(tagged::EncodeHeartbeat({})));
  CHECK_FALSE(tagged::IsOpeningMessage(""));
}

TEST_CASE("A damaged message about an opening is refused")
{
  std::string bytes =
    tagged::EncodeOpeningMessage(steer::OpeningReply{ {}, {}, 1, 1 });
  for (size_t size = 1; size < bytes.size(); ++size) {
    CHECK_FALSE(tagged::DecodeOpeningMessage(bytes.substr(0, size)).ok());
  }
  steer::OpeningReply wrong{ .state = steer::OpeningState::Count };
  CHECK_FALSE(
    tagged::DecodeOpeningMessage(tagged::EncodeOpeningMessage(wrong)).ok());
}

}
