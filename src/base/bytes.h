// Reads and writes big-endian numbers in packets. Callers make sure that the
// bytes at aOffset exist.
#pragma once

#include <cstdint>
#include <span>

namespace gentianspindle {

inline uint16_t
Load16(std::span<const uint8_t> aBytes, size_t aOffset)
{
  return static_cast<uint16_t>((aBytes[aOffset] << 8) | aBytes[aOffset + 1]);
}

inline uint32_t
Load32(std::span<const uint8_t> aBytes, size_t aOffset)
{
  return (uint32_t{ Load16(aBytes, aOffset) } << 16) |
         Load16(aBytes, aOffset + 2);
}

inline void
Store16(std::span<uint8_t> aBytes, size_t aOffset, uint16_t aValue)
{
  aBytes[aOffset] = static_cast<uint8_t>(aValue >> 8);
  aBytes[aOffset + 1] = static_cast<uint8_t>(aValue);
}

inline void
Store32(std::span<uint8_t> aBytes, size_t aOffset, uint32_t aValue)
{
  Store16(aBytes, aOffset, static_cast<uint16_t>(aValue >> 16));
  Store16(aBytes, aOffset + 2, static_cast<uint16_t>(aValue));
}

}
