// IPv4 addresses, endpoints and instance ids, and their text forms.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace gentianspindle {

// IPv4 address in host byte order.
using Address = uint32_t;

// Identifies an instance by its peer endpoint: the address in the upper bits,
// the port in the lower 16. Also used for other endpoints in this form, such as
// those of sockets.
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

// Address and port: one end of a flow or connection, or where to listen.
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

// Parses and formats an IPv4 address in dotted form. All Parse functions here
// return false, and leave their output as it is, if aText is malformed.
bool
ParseAddress(std::string_view aText, Address& aAddress);
std::string
FormatAddress(Address aAddress);

// Parses and formats "address:port". Parsing refuses the port 0, but accepts
// the address 0.0.0.0.
std::string
FormatEndpoint(Endpoint aEndpoint);
bool
ParseEndpoint(std::string_view aText, Endpoint& aEndpoint);

// Parses and formats an instance's peer endpoint as "address:port".
std::string
FormatInstance(InstanceId aInstance);
bool
ParseInstance(std::string_view aText, InstanceId& aInstance);

}
