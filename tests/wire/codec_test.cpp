// Guards against messages between instances that decode to other values than
// were encoded, against malformed ones that crash, and against forged or
// repeated sealed ones that are accepted.
#include "wire/codec.h"

#include <catch2/catch.hpp>
#include <random>

namespace gentianspindle {

TEST_CASE("A relayed packet decodes to what was encoded")
{
  Walk walk{ 3, 5, kWalkMayHaveFlow | kWalkPinned, 0x0A000001, 0x0A0000FF, 77 };
  std::span<const uint8_t> header = EncodeRelayHeader(walk, 0x123456789ABC);
  std::vector<uint8_t> datagram(header.begin(), header.end());
  CHECK(datagram.size() <= 64);
  datagram.insert(datagram.end(), { 1, 2, 3 });
  RelayedPacket relayed;
  REQUIRE(DecodeRelay(datagram, relayed));
  CHECK(relayed.walk.step == 3);
  CHECK(relayed.walk.hops == 5);
  CHECK(relayed.walk.flags == walk.flags);
  CHECK(relayed.walk.adopt == walk.adopt);
  CHECK(relayed.walk.server == walk.server);
  CHECK(relayed.walk.first == 77);
  CHECK(relayed.version == 0x123456789ABC);
  REQUIRE(relayed.packet.size() == 3);
  CHECK(relayed.packet[2] == 3);
}

TEST_CASE("Random bytes from a peer crash no decoder and are not accepted as a "
          "sealed message")
{
  std::mt19937_64 random(1);
  for (int i = 0; i < 20'000; ++i) {
    std::vector<uint8_t> datagram(1 + random() % 80);
    for (uint8_t& byte : datagram) {
      byte = static_cast<uint8_t>(random());
    }
    RelayedPacket relayed;
    Note note;
    ServiceKey key;
    // Relays, notes and the bodies of probes have no signature of their own, so
    // random bytes may decode as one.
    DecodeRelay(datagram, relayed);
    DecodeNote(datagram, note, key);
    std::string_view text(reinterpret_cast<const char*>(datagram.data()),
                          datagram.size());
    (void)DecodeProbe(text);
    std::vector<SealKey> keys{ { 1, "0123456789abcdef" } };
    REQUIRE_FALSE(Sealer(keys, 1, 0).Open(text).ok());
  }
}

TEST_CASE("A sealed message opens only with its key, unchanged and once")
{
  std::vector<SealKey> newKeyOnly{ { 2, "new-new-new-new-new" } };
  std::vector<SealKey> bothKeys{ { 2, "new-new-new-new-new" },
                                 { 1, "old-old-old-old-old" } };
  std::vector<SealKey> oldKeyOnly{ { 1, "old-old-old-old-old" } };
  Sealer sender(oldKeyOnly, 7, 100);
  Sealer receiver(bothKeys, 8, 100);
  std::string first = sender.Seal("one");
  std::string second = sender.Seal("two");
  absl::StatusOr<Sealer::Opened> opened = receiver.Open(second);
  REQUIRE(opened.ok());
  CHECK(opened->body == "two");
  CHECK(opened->sender == 7);
  CHECK(receiver.Open(first).ok()); // out of order, but not a repeat
  CHECK(absl::IsAlreadyExists(receiver.Open(first).status()));
  CHECK(absl::IsAlreadyExists(receiver.Open(second).status()));
  CHECK(absl::IsPermissionDenied(
    Sealer(newKeyOnly, 8, 1).Open(sender.Seal("x")).status()));
  std::string forged = sender.Seal("three");
  forged[forged.size() - 3] ^= 1;
  CHECK_FALSE(receiver.Open(forged).ok());
}

TEST_CASE("A probe with a membership update decodes to what was encoded")
{
  Probe probe{ ProbeKind::PingRequest, 9, 4, {} };
  probe.updates.push_back({ 5, "jkt", MemberStatus::Leaving, 3, 17 });
  absl::StatusOr<Probe> decoded = DecodeProbe(EncodeProbe(probe));
  REQUIRE(decoded.ok());
  CHECK(decoded->kind == ProbeKind::PingRequest);
  CHECK(decoded->target == 4);
  REQUIRE(decoded->updates.size() == 1);
  CHECK(decoded->updates[0].status == MemberStatus::Leaving);
  CHECK(decoded->updates[0].tableVersion == 17);
}

}
