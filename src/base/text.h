// Converts string views of the standard library to those of Abseil.
#pragma once

#include "absl/strings/string_view.h"

#include <string_view>

namespace gentianspindle {

// The distribution's Abseil has a string view type of its own instead of
// std::string_view.
inline absl::string_view
ToAbsl(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

}
