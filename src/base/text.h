// Text between the standard library and Abseil.
#pragma once

#include "absl/strings/string_view.h"

#include <string_view>

namespace gentianspindle {

// The distribution's Abseil has a string view of its own.
inline absl::string_view
ToAbsl(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

}
