// Time on one instance.
#pragma once

#include <cstdint>

namespace gentianspindle {

// Microseconds of a monotonic clock of one instance.
using Micros = int64_t;
constexpr Micros kMillisecond = 1000;
constexpr Micros kSecond = 1000 * kMillisecond;

}
