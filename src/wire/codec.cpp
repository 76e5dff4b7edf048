#include "wire/codec.h"

#include "base/bounded_protocol.h"

#include <memory>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace gentianspindle {

namespace {

using apache::thrift::transport::TMemoryBuffer;

constexpr size_t kMacBytes = 16; // the HMAC is cut to this length
constexpr int64_t kReplayWindowBits = 64;

// Buffer and protocol for Thrift. Each thread keeps its own, so that the packet
// path does not allocate.
struct Scratch
{
  std::shared_ptr<TMemoryBuffer> buffer = std::make_shared<TMemoryBuffer>();
  BoundedCompactProtocol protocol{ buffer };
};

// Returns this thread's scratch for encoding, with an empty buffer.
Scratch&
ResetScratch()
{
  thread_local Scratch scratch;
  scratch.buffer->resetBuffer();
  return scratch;
}

// Encodes a datagram with its kind byte, into this thread's buffer.
template<typename T>
std::span<const uint8_t>
Encode(DatagramKind aKind, const T& aMessage)
{
  Scratch& scratch = ResetScratch();
  auto kind = static_cast<uint8_t>(aKind);
  scratch.buffer->write(&kind, 1);
  aMessage.write(&scratch.protocol);
  uint8_t* bytes = nullptr;
  uint32_t count = 0;
  scratch.buffer->getBuffer(&bytes, &count);
  return { bytes, count };
}

// Encodes a message without a kind byte.
template<typename T>
std::string
EncodeBody(const T& aMessage)
{
  Scratch& scratch = ResetScratch();
  aMessage.write(&scratch.protocol);
  return scratch.buffer->getBufferAsString();
}

// Reads aMessage from the front of aBytes. Returns the number of bytes read, or
// 0 if they are not such a message.
template<typename T>
size_t
Decode(std::span<const uint8_t> aBytes, T& aMessage)
{
  thread_local Scratch scratch;
  // The const_cast is safe, as Thrift only reads from an observed buffer.
  scratch.buffer->resetBuffer(const_cast<uint8_t*>(aBytes.data()),
                              static_cast<uint32_t>(aBytes.size()),
                              TMemoryBuffer::OBSERVE);
  try {
    return aMessage.read(&scratch.protocol);
  } catch (const std::exception&) {
    return 0;
  }
}

std::span<const uint8_t>
AsBytes(std::string_view aText)
{
  return { reinterpret_cast<const uint8_t*>(aText.data()), aText.size() };
}

// Returns the MAC over aSender and aSequence, both in host byte order, and
// aBody. It does not cover the key id.
std::string
ComputeMac(const SealKey& aKey,
           InstanceId aSender,
           int64_t aSequence,
           std::string_view aBody)
{
  std::string input;
  input.append(reinterpret_cast<const char*>(&aSender), sizeof(aSender));
  input.append(reinterpret_cast<const char*>(&aSequence), sizeof(aSequence));
  input.append(aBody);
  std::array<uint8_t, EVP_MAX_MD_SIZE> mac{};
  unsigned int bytes = 0;
  HMAC(EVP_sha256(),
       aKey.secret.data(),
       static_cast<int>(aKey.secret.size()),
       AsBytes(input).data(),
       input.size(),
       mac.data(),
       &bytes);
  return { reinterpret_cast<const char*>(mac.data()), kMacBytes };
}

}

std::span<const uint8_t>
EncodeRelayHeader(const Walk& aWalk, int64_t aVersion)
{
  msg::RelayHeader header;
  header.step = aWalk.step;
  header.hops = aWalk.hops;
  header.flags = aWalk.flags;
  header.server = static_cast<int32_t>(aWalk.server);
  header.version = aVersion;
  header.first = static_cast<int64_t>(aWalk.first);
  header.adopt = static_cast<int32_t>(aWalk.adopt);
  return Encode(DatagramKind::Relay, header);
}

bool
DecodeRelay(std::span<const uint8_t> aDatagram, RelayedPacket& aRelayed)
{
  msg::RelayHeader header;
  size_t headerBytes = Decode(aDatagram.subspan(1), header);
  bool inRange = headerBytes != 0 && header.step >= 0 &&
                 header.step <= UINT8_MAX && header.hops >= 0 &&
                 header.hops <= UINT8_MAX && header.flags >= 0 &&
                 header.flags <= UINT16_MAX;
  if (!inRange) {
    return false;
  }
  aRelayed.walk.step = static_cast<uint8_t>(header.step);
  aRelayed.walk.hops = static_cast<uint8_t>(header.hops);
  aRelayed.walk.flags = static_cast<uint16_t>(header.flags);
  aRelayed.walk.server = static_cast<Address>(header.server);
  aRelayed.walk.first = static_cast<InstanceId>(header.first);
  aRelayed.walk.adopt = static_cast<Address>(header.adopt);
  aRelayed.version = header.version;
  aRelayed.packet = aDatagram.subspan(1 + headerBytes);
  return true;
}

std::span<const uint8_t>
EncodeNote(const Note& aNote, const ServiceKey& aService)
{
  msg::FlowNote note;
  note.kind = static_cast<msg::FlowNoteKind::type>(aNote.kind);
  note.address = static_cast<int32_t>(aService.address);
  note.port = static_cast<int16_t>(aService.port);
  note.protocol = static_cast<int16_t>(aService.protocol);
  note.flow = static_cast<int64_t>(aNote.flow);
  note.server = static_cast<int32_t>(aNote.server);
  return Encode(DatagramKind::Note, note);
}

bool
DecodeNote(std::span<const uint8_t> aDatagram,
           Note& aNote,
           ServiceKey& aService)
{
  msg::FlowNote note;
  bool valid = Decode(aDatagram.subspan(1), note) != 0 &&
               note.kind >= msg::FlowNoteKind::HELD &&
               note.kind <= msg::FlowNoteKind::FOUND;
  if (!valid) {
    return false;
  }
  aNote.kind = static_cast<NoteKind>(note.kind);
  aNote.flow = static_cast<FlowKey>(note.flow);
  aNote.server = static_cast<Address>(note.server);
  aService.address = static_cast<Address>(note.address);
  aService.port = static_cast<uint16_t>(note.port);
  aService.protocol = static_cast<Protocol>(note.protocol);
  return true;
}

std::string
EncodeProbe(const Probe& aProbe)
{
  msg::Probe probe;
  probe.kind = static_cast<msg::ProbeKind::type>(aProbe.kind);
  probe.sequence = aProbe.sequence;
  probe.target = static_cast<int64_t>(aProbe.target);
  for (const MemberUpdate& news : aProbe.updates) {
    msg::MemberUpdate& out = probe.news.emplace_back();
    out.instance = static_cast<int64_t>(news.instance);
    out.zone = news.zone;
    out.state = static_cast<msg::MemberState::type>(news.status);
    out.incarnation = news.incarnation;
    out.tableVersion = news.tableVersion;
  }
  return EncodeBody(probe);
}

absl::StatusOr<Probe>
DecodeProbe(std::string_view aBytes)
{
  msg::Probe in;
  bool valid = Decode(AsBytes(aBytes), in) != 0 &&
               in.kind >= msg::ProbeKind::PING &&
               in.kind <= msg::ProbeKind::JOIN;
  if (!valid) {
    return absl::InvalidArgumentError(
      "decode probe: malformed or of an unknown kind");
  }
  Probe probe{ static_cast<ProbeKind>(in.kind),
               in.sequence,
               static_cast<InstanceId>(in.target),
               {} };
  for (const msg::MemberUpdate& news : in.news) {
    if (news.state < msg::MemberState::ALIVE ||
        news.state > msg::MemberState::DEAD) {
      return absl::InvalidArgumentError(
        "decode probe: unknown status of a member");
    }
    probe.updates.push_back({ static_cast<InstanceId>(news.instance),
                              news.zone,
                              static_cast<MemberStatus>(news.state),
                              news.incarnation,
                              news.tableVersion });
  }
  return probe;
}

std::string
EncodeControl(const msg::Control& aMessage)
{
  return EncodeBody(aMessage);
}

absl::StatusOr<msg::Control>
DecodeControl(std::string_view aBytes)
{
  msg::Control message;
  if (Decode(AsBytes(aBytes), message) == 0) {
    return absl::InvalidArgumentError("decode control message: malformed");
  }
  return message;
}

Sealer::Sealer(std::span<const SealKey> aKeys,
               InstanceId aSelf,
               int64_t aInitialSequence)
  : keys(aKeys.begin(), aKeys.end())
  , self(aSelf)
  , sequence(aInitialSequence)
{
}

std::string
Sealer::Seal(std::string_view aBody)
{
  msg::Sealed sealed;
  const SealKey& key = this->keys.front();
  sealed.keyId = key.id;
  sealed.sender = static_cast<int64_t>(this->self);
  sealed.sequence = ++this->sequence;
  sealed.body = aBody;
  sealed.mac = ComputeMac(key, this->self, sealed.sequence, aBody);
  std::span<const uint8_t> bytes = Encode(DatagramKind::Control, sealed);
  return { reinterpret_cast<const char*>(bytes.data()), bytes.size() };
}

absl::StatusOr<Sealer::Opened>
Sealer::Open(std::string_view aDatagram)
{
  msg::Sealed sealed;
  if (aDatagram.empty() || Decode(AsBytes(aDatagram).subspan(1), sealed) == 0) {
    return absl::InvalidArgumentError("open message: malformed sealed message");
  }
  auto sender = static_cast<InstanceId>(sealed.sender);
  for (const SealKey& key : this->keys) {
    if (key.id != sealed.keyId) {
      continue;
    }
    std::string mac = ComputeMac(key, sender, sealed.sequence, sealed.body);
    bool valid = sealed.mac.size() == kMacBytes &&
                 CRYPTO_memcmp(mac.data(), sealed.mac.data(), kMacBytes) == 0;
    if (!valid) {
      return absl::PermissionDeniedError(
        "open message: signature does not match");
    }
    if (!this->AcceptSequence(sender, sealed.sequence)) {
      return absl::AlreadyExistsError(
        "open message: sequence number seen before or too old");
    }
    return Opened{ sender, std::move(sealed.body) };
  }
  return absl::PermissionDeniedError("open message: key id not known");
}

bool
Sealer::AcceptSequence(InstanceId aSender, int64_t aSequence)
{
  ReplayWindow& window = this->replayWindows[aSender];
  int64_t advance = aSequence - window.highestSequence;
  if (advance > 0) {
    window.receivedBits =
      advance < kReplayWindowBits ? window.receivedBits << advance : 0;
    window.receivedBits |= 1;
    window.highestSequence = aSequence;
    return true;
  }
  if (-advance >= kReplayWindowBits) {
    return false;
  }
  uint64_t bit = uint64_t{ 1 } << -advance;
  bool accepted = (window.receivedBits & bit) == 0;
  window.receivedBits |= bit;
  return accepted;
}

}
