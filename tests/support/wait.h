// Helpers of the tests with real processes.
#pragma once

#include <chrono>
#include <string>
#include <thread>

namespace gentianspindle {

// Waits until aReady returns true. Returns false after aSeconds.
template<typename F>
bool
WaitFor(F aReady, int aSeconds = 30)
{
  auto end = std::chrono::steady_clock::now() + std::chrono::seconds(aSeconds);
  while (std::chrono::steady_clock::now() < end) {
    if (aReady()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return false;
}

// Value of a metric without labels on a metrics page; -1 where the page does
// not have it.
inline double
MetricOf(const std::string& aPage, const std::string& aName)
{
  std::string page = "\n" + aPage;
  std::string line = "\n" + aName + " ";
  size_t at = page.find(line);
  return at == std::string::npos ? -1
                                 : std::stod(page.substr(at + line.size()));
}

}
