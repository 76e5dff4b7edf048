// Encodes and decodes messages between instances: relayed packets, notes on
// flows, membership probes, and sealed (signed) control messages.
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

// First byte of every datagram between instances.
enum class DatagramKind : uint8_t
{
  Relay = 1,   // a header and a caller's packet
  Note = 2,    // a note on one flow
  Control = 3, // a sealed message
};

// Encodes the kind byte and the header that precede a relayed packet. aVersion
// is the table version of the sender. The result is valid until the next Encode
// or Seal on this thread.
std::span<const uint8_t>
EncodeRelayHeader(const Walk& aWalk, int64_t aVersion);

// A caller's packet that a peer relayed. packet points into the datagram.
struct RelayedPacket
{
  Walk walk;
  int64_t version = 0; // table version of the peer
  std::span<const uint8_t> packet;
};
// Both Decode functions for datagrams return false if aDatagram is malformed or
// a number is out of range.
bool
DecodeRelay(std::span<const uint8_t> aDatagram, RelayedPacket& aRelayed);

// Encodes a note on one flow of aService. The result is valid until the next
// Encode or Seal on this thread.
std::span<const uint8_t>
EncodeNote(const Note& aNote, const ServiceKey& aService);
bool
DecodeNote(std::span<const uint8_t> aDatagram,
           Note& aNote,
           ServiceKey& aService);

// Encodes a membership probe with its piggybacked updates; a control datagram
// carries it sealed.
std::string
EncodeProbe(const Probe& aProbe);
absl::StatusOr<Probe>
DecodeProbe(std::string_view aBytes);

// Encodes and decodes the control messages that go over TCP.
std::string
EncodeControl(const msg::Control& aMessage);
absl::StatusOr<msg::Control>
DecodeControl(std::string_view aBytes);

// A shared secret and the id by which messages refer to it.
struct SealKey
{
  int16_t id = 0;
  std::string secret;
};

// Signs ("seals") control messages with HMAC-SHA-256 and checks those of peers.
// Not thread-safe.
class Sealer
{
public:
  // The first of aKeys signs; any of them is accepted. aFirstSequence must be
  // higher after each restart of the instance than all numbers used before, as
  // peers would reject repeated ones.
  Sealer(std::span<const SealKey> aKeys,
         InstanceId aSelf,
         int64_t aFirstSequence);

  // Returns a control datagram with aBody, signed with the first key.
  std::string Seal(std::string_view aBody);

  // A message whose signature and sequence number were checked.
  struct Opened
  {
    InstanceId sender = kNoInstance;
    std::string body;
  };
  // Fails for a bad signature, an unknown key, and a sequence number that was
  // received before or is too old to tell.
  absl::StatusOr<Opened> Open(std::string_view aDatagram);

private:
  // Records which of a sender's latest sequence numbers were received.
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
  int64_t sequence;
  absl::flat_hash_map<InstanceId, ReplayWindow> replayWindows;
};

}
