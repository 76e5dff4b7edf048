// IPv4 addresses and endpoints, and their text.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace gentianspindle {

// IPv4 address in host byte order.
using Address = uint32_t;

// Peer endpoint of an instance: address in the upper bits, port in the lower
// 16.
using InstanceId = uint64_t;
constexpr InstanceId kNoInstance = 0;

constexpr InstanceId
MakeInstanceId(Address aAddress, uint16_t aPort)
{
  return (uint64_t{ aAddress } << 16) | aPort;
}

constexpr Address
InstanceAddress(InstanceId aInstance)
{
  return static_cast<Address>(aInstance >> 16);
}

constexpr uint16_t
InstancePort(InstanceId aInstance)
{
  return static_cast<uint16_t>(aInstance);
}

// One end of a flow or of a connection.
struct Endpoint
{
  Address address = 0;
  uint16_t port = 0;

  friend bool operator==(const Endpoint&, const Endpoint&) = default;

  template<typename H>
  friend H AbslHashValue(H aState, const Endpoint& aEndpoint)
  {
    return H::combine(std::move(aState), aEndpoint.address, aEndpoint.port);
  }
};

// IPv4 address in dotted form; false where aText is none.
bool
ParseAddress(std::string_view aText, Address& aAddress);
std::string
FormatAddress(Address aAddress);

// "address:port".
std::string
FormatEndpoint(Endpoint aEndpoint);
bool
ParseEndpoint(std::string_view aText, Endpoint& aEndpoint);

// "address:port" of an instance.
std::string
FormatInstance(InstanceId aInstance);
bool
ParseInstance(std::string_view aText, InstanceId& aInstance);

}
