// What the daemon of the tagged transport needs from a platform: how packets
// and stored objects look there. Translation only; nothing here decides.
#pragma once

#include "steer/steer.h"

#include "absl/status/statusor.h"

#include <concepts>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianspindle::tagged {

// Room that a datagram leaves before the caller's packet.
constexpr size_t kHeadroom = 16;
// Room for a reset.
constexpr size_t kResetBufferBytes = 64;

// One answer of a list or of a watch.
template<typename C>
struct Page
{
  std::vector<C> changes;
  bool more = false;     // of a list: the next page starts after the last name
  uint64_t revision = 0; // of the store; the watch goes on from here
};

template<typename P>
concept Platform = requires(std::span<uint8_t> aBytes,
                            std::span<const uint8_t> aRead,
                            std::string_view aText,
                            const steer::Packet& aPacket,
                            uint64_t aNumber)
{
  // Name of the variable with the path of the settings file.
  {
    P::kSettingsVariable
    } -> std::convertible_to<const char*>;
  {
    P::kReadyPath
    } -> std::convertible_to<const char*>;
  // None: not a packet.
  {
    P::Decode(aRead)
    } -> std::same_as<std::optional<steer::Packet>>;
  // The packet stands in aBytes after kHeadroom bytes; returns what to send.
  {
    P::Encapsulate(aBytes, steer::Tag{}, steer::ServerId{})
    } -> std::same_as<std::span<uint8_t>>;
  {
    P::MakeReset(aPacket, aBytes)
    } -> std::same_as<std::span<uint8_t>>;
  // Id of the request in the packet's data; empty where there is none.
  {
    P::RequestId(aRead)
    } -> std::same_as<std::string_view>;
  {
    P::ServersListPath(aText)
    } -> std::same_as<std::string>;
  {
    P::ServersWatchPath(aNumber, int64_t{})
    } -> std::same_as<std::string>;
  {
    P::ParseServersList(aText)
    } -> std::same_as<absl::StatusOr<Page<steer::ServerChange>>>;
  {
    P::ParseServersWatch(aText)
    } -> std::same_as<absl::StatusOr<Page<steer::ServerChange>>>;
  {
    P::ConfigListPath(aText)
    } -> std::same_as<std::string>;
  {
    P::ConfigWatchPath(aNumber, int64_t{})
    } -> std::same_as<std::string>;
  {
    P::ParseConfigList(aText)
    } -> std::same_as<absl::StatusOr<Page<steer::ConfigChange>>>;
  {
    P::ParseConfigWatch(aText)
    } -> std::same_as<absl::StatusOr<Page<steer::ConfigChange>>>;
};

}
