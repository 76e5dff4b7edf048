// Encodes and decodes messages between instances: relayed packets, notes on
// flows, membership probes and control messages. The latter two are sent
// sealed, which means signed; nothing is encrypted.
#pragma once

#include "core/engine.h"
#include "core/membership.h"
#include "messages_types.h"

#include "absl/container/flat_hash_map.h"
#include "absl/status/statusor.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianspindle {

// First byte of every datagram between instances, and of every sealed message
// over TCP.
enum class DatagramKind : uint8_t
{
  Relay = 1,   // a header and a caller's packet
  Note = 2,    // a note on one flow
  Control = 3, // a sealed message: a probe by UDP, a msg::Control over TCP
};

// Encodes the kind byte and the header that precede a relayed packet. aVersion
// is Engine::Version() at the sender, a hash of the service. The result is
// valid until the next Encode or Seal on this thread.
std::span<const uint8_t>
EncodeRelayHeader(const Walk& aWalk, int64_t aVersion);

// A caller's packet that a peer relayed. packet points into the datagram.
struct RelayedPacket
{
  Walk walk;
  int64_t version = 0; // Engine::Version() at the peer, a hash of the service
  std::span<const uint8_t> packet;
};
// Both Decode functions for datagrams expect at least the kind byte, which they
// skip. They return false, and leave their output as it is, if the message is
// malformed. DecodeRelay also refuses a step, hops or flags out of range; it
// does not check the packet.
bool
DecodeRelay(std::span<const uint8_t> aDatagram, RelayedPacket& aRelayed);

// Encodes a note on one flow of aService. The result is valid until the next
// Encode or Seal on this thread.
std::span<const uint8_t>
EncodeNote(const Note& aNote, const ServiceKey& aService);
// Also returns false for an unknown kind of note; it checks no other value.
// aNote.from stays as it is, as a datagram does not carry it.
bool
DecodeNote(std::span<const uint8_t> aDatagram,
           Note& aNote,
           ServiceKey& aService);

// Encodes a membership probe with its piggybacked updates, as the body of a
// sealed datagram. Decoding fails if aBytes are malformed, or if the kind of
// the probe or the status of a member is unknown.
std::string
EncodeProbe(const Probe& aProbe);
absl::StatusOr<Probe>
DecodeProbe(std::string_view aBytes);

// Encodes and decodes the control messages that go over TCP, as the body of a
// sealed message. Decoding fails if aBytes are malformed.
std::string
EncodeControl(const msg::Control& aMessage);
absl::StatusOr<msg::Control>
DecodeControl(std::string_view aBytes);

// A secret that the instances share, and the id by which messages refer to it.
struct SealKey
{
  int16_t id = 0;
  std::string secret;
};

// Signs ("seals") messages with HMAC-SHA-256 and checks those of peers. Their
// body is not encrypted. Not thread-safe.
class Sealer
{
public:
  // The first of aKeys signs; any of them is accepted. There must be at least
  // one, each with another id. The first message gets the number after
  // aInitialSequence. After each restart of the instance aInitialSequence must
  // not be lower than any number used before, as peers reject repeated ones.
  Sealer(std::span<const SealKey> aKeys,
         InstanceId aSelf,
         int64_t aInitialSequence);

  // Returns a message of DatagramKind::Control with aBody, signed with the
  // first key.
  std::string Seal(std::string_view aBody);

  // A message whose signature and sequence number were checked.
  struct Opened
  {
    InstanceId sender = kNoInstance;
    std::string body;
  };
  // Expects the kind byte, which it skips. Fails for a malformed message, an
  // unknown key, a bad signature, and a sequence number that was received
  // before or is too old to tell.
  absl::StatusOr<Opened> Open(std::string_view aDatagram);

private:
  // Records which of a sender's latest sequence numbers this Sealer received.
  // As it starts empty, a message that was received before a restart of this
  // instance may be accepted once more.
  struct ReplayWindow
  {
    int64_t highestSequence = 0;
    uint64_t receivedBits = 0; // bit i: highestSequence - i was received
  };
  // Records aSequence as received; false if it was received before or is too
  // old for the window.
  bool AcceptSequence(InstanceId aSender, int64_t aSequence);

  std::vector<SealKey> keys;
  InstanceId self;
  int64_t sequence; // of the last sealed message
  absl::flat_hash_map<InstanceId, ReplayWindow> replayWindows;
};

}
