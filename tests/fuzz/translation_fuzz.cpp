// libFuzzer target: no input from the fabric, the store or a settings file
// crashes the code that parses it, and no packet has as many bytes of data as
// its datagram has in all. The first byte of the input selects the parser.
#include "platform/objects.h"
#include "platform/wire.h"
#include "tagged/settings.h"

#include <cstdlib>

extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aBytes)
{
  using namespace gentianspindle;
  if (aBytes == 0) {
    return 0;
  }
  std::span<const uint8_t> input(aData + 1, aBytes - 1);
  std::string_view text(reinterpret_cast<const char*>(input.data()),
                        input.size());
  switch (aData[0] % 4) {
    case 0: {
      std::optional<steer::Packet> packet =
        platform::PacketFormat::Decode(input);
      if (packet && packet->dataBytes >= input.size()) {
        std::abort();
      }
      (void)platform::PacketFormat::RequestId(input);
      break;
    }
    case 1:
      (void)platform::ObjectFormat::ParseServersList(text);
      (void)platform::ObjectFormat::ParseServersWatch(text);
      break;
    case 2:
      (void)platform::ObjectFormat::ParseConfigList(text);
      (void)platform::ObjectFormat::ParseConfigWatch(text);
      break;
    default:
      (void)ParseTaggedSettings(text, "fuzz");
  }
  return 0;
}
