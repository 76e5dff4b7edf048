// Big-endian numbers in packets.
#pragma once

#include <cstdint>
#include <span>

namespace gentianspindle {

inline uint16_t
Load16(std::span<const uint8_t> aBytes, size_t aAt)
{
  return static_cast<uint16_t>((aBytes[aAt] << 8) | aBytes[aAt + 1]);
}

inline uint32_t
Load32(std::span<const uint8_t> aBytes, size_t aAt)
{
  return (uint32_t{ Load16(aBytes, aAt) } << 16) | Load16(aBytes, aAt + 2);
}

inline void
Store16(std::span<uint8_t> aBytes, size_t aAt, uint16_t aValue)
{
  aBytes[aAt] = static_cast<uint8_t>(aValue >> 8);
  aBytes[aAt + 1] = static_cast<uint8_t>(aValue);
}

inline void
Store32(std::span<uint8_t> aBytes, size_t aAt, uint32_t aValue)
{
  Store16(aBytes, aAt, static_cast<uint16_t>(aValue >> 16));
  Store16(aBytes, aAt + 2, static_cast<uint16_t>(aValue));
}

}
