// Unit of time and its multiples.
#pragma once

#include <cstdint>

namespace gentianspindle {

// Microseconds, as a duration or as a time of one instance's monotonic clock;
// times of different instances can't be compared.
using Micros = int64_t;
constexpr Micros kMillisecond = 1000;
constexpr Micros kSecond = 1000 * kMillisecond;

}
