// libFuzzer target: no input from the network crashes the parsers, ClampMss or
// the builders of replies, and each reset that is built parses as a valid
// packet. The input is parsed as a Geneve datagram and, separately, as an IPv4
// packet.
#include "wire/packet.h"

#include <cstdlib>
#include <vector>

extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aBytes)
{
  using namespace gentianspindle;
  std::vector<uint8_t> datagram(aData, aData + aBytes);
  std::span<const uint8_t> inner;
  Segment segment;
  (void)ParseGeneve(datagram, inner);
  // Most inputs have a wrong checksum; it is corrected so that the code behind
  // the check is reached.
  std::vector<uint8_t> packet = datagram;
  if (packet.size() >= kIpv4Bytes) {
    packet[10] = packet[11] = 0;
    uint16_t sum = Checksum(std::span(packet).first(kIpv4Bytes));
    packet[10] = static_cast<uint8_t>(sum >> 8);
    packet[11] = static_cast<uint8_t>(sum);
  }
  if (ParseSegment(packet, segment) != Reason::None) {
    return 0;
  }
  if (segment.Opens()) {
    // In bytes; below usual MSS options, so that they are lowered.
    ClampMss(packet, 1300);
  }
  std::vector<uint8_t> reset = MakeReset(packet, segment);
  Segment resetSegment;
  if (!reset.empty() && ParseSegment(reset, resetSegment) != Reason::None) {
    std::abort();
  }
  (void)MakeUnreachable(packet, kIcmpPortUnreachable, 0);
  return 0;
}
