// What the daemon of the tagged transport needs from a platform: the formats
// of its packets and of its stored objects. A platform only translates; it
// makes no decisions.
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

// Free bytes before a received packet, for what Encapsulate writes there.
constexpr size_t kHeadroom = 16;
// Size of the buffer that MakeReset gets.
constexpr size_t kResetBufferBytes = 64;

// One page of a list, or the changes of one watch response.
template<typename C>
struct Page
{
  std::vector<C> changes;
  // Number of objects that are left out, as their names can't be read or are
  // too long.
  uint32_t unnamed = 0;
  bool more = false;    // of a list: another page follows, after lastName
  std::string lastName; // the last name on the page that can be read
  // Of the store. The next watch continues from that of the last watch response
  // or, after a list, from that of the list's first page.
  StorePosition position;
};

template<typename P>
concept Platform = requires(std::span<uint8_t> aBytes,
                            std::span<const uint8_t> aRead,
                            std::string_view aText,
                            const steer::Packet& aPacket,
                            uint64_t aNumber,
                            std::string_view aBody,
                            uint64_t aEra)
{
  // Name of the environment variable with the path of the settings file.
  {
    P::kSettingsVariable
    } -> std::convertible_to<const char*>;
  // Path at which the fabric checks the instance's readiness.
  {
    P::kReadyPath
    } -> std::convertible_to<const char*>;
  // Returns nullopt if the bytes are not a packet.
  {
    P::Decode(aRead)
    } -> std::same_as<std::optional<steer::Packet>>;
  // Writes the tag and the id of the backend server into aBytes, where the
  // packet starts after kHeadroom bytes; returns the datagram to send.
  {
    P::Encapsulate(aBytes, steer::Tag{}, steer::ServerId{})
    } -> std::same_as<std::span<uint8_t>>;
  // Builds a reset for the caller that sent aPacket, in aBytes.
  {
    P::MakeReset(aPacket, aBytes)
    } -> std::same_as<std::span<uint8_t>>;
  // Returns the id of the request, or of this try of it, in the packet's data;
  // empty if there is none.
  {
    P::RequestId(aRead)
    } -> std::same_as<std::string_view>;
  // Name of the header in which the store's responses give its era.
  {
    P::kEraHeader
    } -> std::convertible_to<const char*>;
  // Paths of the store's lists and watches, and parsers of their responses,
  // which came in an era of the store.
  {
    P::ServersListPath(aText)
    } -> std::same_as<std::string>;
  {
    P::ServersWatchPath(aNumber, int64_t{})
    } -> std::same_as<std::string>;
  {
    P::ParseServersList(aBody, aEra)
    } -> std::same_as<absl::StatusOr<Page<steer::ServerChange>>>;
  {
    P::ParseServersWatch(aBody, aEra)
    } -> std::same_as<absl::StatusOr<Page<steer::ServerChange>>>;
  {
    P::ConfigListPath(aText)
    } -> std::same_as<std::string>;
  {
    P::ConfigWatchPath(aNumber, int64_t{})
    } -> std::same_as<std::string>;
  {
    P::ParseConfigList(aBody, aEra)
    } -> std::same_as<absl::StatusOr<Page<steer::ConfigChange>>>;
  {
    P::ParseConfigWatch(aBody, aEra)
    } -> std::same_as<absl::StatusOr<Page<steer::ConfigChange>>>;
  {
    P::DrainsListPath(aText)
    } -> std::same_as<std::string>;
  {
    P::DrainsWatchPath(aNumber, int64_t{})
    } -> std::same_as<std::string>;
  {
    P::ParseDrainsList(aBody, aEra)
    } -> std::same_as<absl::StatusOr<Page<steer::DrainChange>>>;
  {
    P::ParseDrainsWatch(aBody, aEra)
    } -> std::same_as<absl::StatusOr<Page<steer::DrainChange>>>;
};

}
