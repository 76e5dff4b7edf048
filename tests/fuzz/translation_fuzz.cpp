// libFuzzer target: no input from the fabric, the store or a settings file
// crashes the code that parses it, no packet has as many bytes of data as its
// datagram has in all, and a malformed entry leaves the others of its list
// readable. The first byte of the input selects the parser.
#include "base/json_text.h"
#include "platform/objects.h"
#include "platform/wire.h"
#include "tagged/settings.h"

#include <cstdlib>

namespace {

// Puts aValue, if it ends where a value can end, into an entry between two good
// ones, as the whole object, its spec, or a member of the spec.
void
CheckMalformedEntry(std::string_view aValue)
{
  using gentianspindle::platform::ObjectFormat;
  std::string value(aValue);
  auto elements = gentianspindle::SplitJsonArray("[" + value + "]");
  if (!elements || elements->size() != 1) {
    return;
  }
  const std::string good =
    R"({"meta":{"name":"i-1","revision":4},"spec":{"service":"s",)"
    R"("address":"10.0.0.9:80","zone":"z","slots":2,"state":"ready",)"
    R"("version":"v1","warmup_left_ms":0,"seq":1,"born":1}})";
  for (const std::string& malformed :
       { value,
         R"({"meta":{"name":"i-2","revision":5},"spec":)" + value + "}",
         R"({"meta":{"name":"i-2"},"spec":{"service":"s","x":)" + value +
           "}}" }) {
    auto page = ObjectFormat::ParseServersList(
      R"({"items":[)" + good + "," + malformed + "," + good + R"(],"as_of":9})",
      1);
    bool followed = page.ok() && page->changes.size() >= 2 &&
                    page->changes.front().entry && page->changes.back().entry;
    if (!followed) {
      std::abort();
    }
  }
}

}

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
      (void)platform::ObjectFormat::ParseServersList(text, 1);
      (void)platform::ObjectFormat::ParseServersWatch(text, 1);
      CheckMalformedEntry(text);
      break;
    case 2:
      (void)platform::ObjectFormat::ParseConfigList(text, 1);
      (void)platform::ObjectFormat::ParseConfigWatch(text, 1);
      break;
    default:
      (void)ParseTaggedSettings(text, "fuzz");
  }
  return 0;
}
