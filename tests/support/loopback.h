// Addresses and ports for the processes of a test. No other process that runs
// at the same time uses them, so nothing has to be found free beforehand.
#pragma once

#include "base/address.h"

#include <atomic>
#include <unistd.h>

namespace gentianspindle {

// Addresses that each test process has for itself: LoopbackAddress takes an
// index below it.
constexpr uint32_t kLoopbackAddresses = 4;

// Returns an address of 127.0.0.0/8 that contains the id of this process.
inline Address
LoopbackAddress(uint32_t aIndex = 0)
{
  constexpr Address kLoopbackNet = 0x7F000000;
  constexpr Address kHostBits = 0x00FFFFFF;
  auto id = static_cast<Address>(getpid()) * kLoopbackAddresses + aIndex;
  return kLoopbackNet | (id & kHostBits);
}

// Returns a port that this process has not returned before. All are below the
// range that the kernel takes ports of outgoing connections from.
inline uint16_t
NextPort()
{
  constexpr uint16_t kFirstPort = 10'000;
  static std::atomic<uint16_t> next = kFirstPort;
  return next++;
}

}
