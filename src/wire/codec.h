// Datagrams between instances: relayed packets, notes on flows, and sealed
// control messages.
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
  Relay = 1,
  Note = 2,
  Control = 3,
};

// Kind byte and header of a relayed packet, to go before the packet itself.
// The view lives until the next call on this thread.
std::span<const uint8_t>
EncodeRelayHeader(const Walk& aWalk, int64_t aVersion);

struct RelayedPacket
{
  Walk walk;
  int64_t version = 0;
  std::span<const uint8_t> packet;
};
bool
DecodeRelay(std::span<const uint8_t> aDatagram, RelayedPacket& aRelayed);

std::span<const uint8_t>
EncodeNote(const Note& aNote, const ServiceKey& aService);
bool
DecodeNote(std::span<const uint8_t> aDatagram,
           Note& aNote,
           ServiceKey& aService);

std::string
EncodeProbe(const Probe& aProbe);
absl::StatusOr<Probe>
DecodeProbe(std::string_view aBytes);

// Messages over TCP.
std::string
EncodeControl(const msg::Control& aMessage);
absl::StatusOr<msg::Control>
DecodeControl(std::string_view aBytes);

struct SealKey
{
  int16_t id = 0;
  std::string secret;
};

// Signs control messages and checks those of peers. Not thread-safe.
class Sealer
{
public:
  // aFirstSequence must grow from one life of an instance to the next.
  Sealer(std::span<const SealKey> aKeys,
         InstanceId aSelf,
         int64_t aFirstSequence);

  // Datagram with aBody, signed with the first key.
  std::string Seal(std::string_view aBody);

  struct Opened
  {
    InstanceId sender = kNoInstance;
    std::string body;
  };
  // Fails for a bad signature, an unknown key or a repeated sequence.
  absl::StatusOr<Opened> Open(std::string_view aDatagram);

private:
  struct ReplayWindow
  {
    int64_t highestSequence = 0;
    uint64_t receivedBits = 0; // bit i: highest - i was received
  };
  bool AcceptSequence(InstanceId aSender, int64_t aSequence);

  std::vector<SealKey> keys;
  InstanceId self;
  int64_t sequence;
  absl::flat_hash_map<InstanceId, ReplayWindow> replayWindows;
};

}
