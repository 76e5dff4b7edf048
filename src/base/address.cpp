#include "base/address.h"

#include "base/text.h"

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <algorithm>
#include <vector>

namespace gentianspindle {

bool
ParseAddress(std::string_view aText, Address& aAddress)
{
  std::vector<absl::string_view> parts = absl::StrSplit(ToAbsl(aText), '.');
  if (parts.size() != 4) {
    return false;
  }
  Address address = 0;
  for (absl::string_view part : parts) {
    uint32_t octet = 0;
    bool isDecimal = !part.empty() && part.size() <= 3 &&
                     std::all_of(part.begin(), part.end(), absl::ascii_isdigit);
    if (!isDecimal || !absl::SimpleAtoi(part, &octet) || octet > 255) {
      return false;
    }
    address = (address << 8) | octet;
  }
  aAddress = address;
  return true;
}

std::string
FormatAddress(Address aAddress)
{
  return absl::StrCat(aAddress >> 24,
                      ".",
                      (aAddress >> 16) & 0xFF,
                      ".",
                      (aAddress >> 8) & 0xFF,
                      ".",
                      aAddress & 0xFF);
}

std::string
FormatEndpoint(Endpoint aEndpoint)
{
  return absl::StrCat(FormatAddress(aEndpoint.address), ":", aEndpoint.port);
}

bool
ParseEndpoint(std::string_view aText, Endpoint& aEndpoint)
{
  size_t colon = aText.rfind(':');
  Address address = 0;
  uint32_t port = 0;
  if (colon == std::string_view::npos ||
      !ParseAddress(aText.substr(0, colon), address) ||
      !absl::SimpleAtoi(ToAbsl(aText.substr(colon + 1)), &port) || port == 0 ||
      port > UINT16_MAX) {
    return false;
  }
  aEndpoint = { address, static_cast<uint16_t>(port) };
  return true;
}

std::string
FormatInstance(InstanceId aInstance)
{
  return FormatEndpoint(
    { InstanceAddress(aInstance), InstancePort(aInstance) });
}

bool
ParseInstance(std::string_view aText, InstanceId& aInstance)
{
  Endpoint endpoint;
  if (!ParseEndpoint(aText, endpoint)) {
    return false;
  }
  aInstance = MakeInstanceId(endpoint.address, endpoint.port);
  return true;
}

}
