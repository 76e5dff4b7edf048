// Splits the text of a JSON array or object into the texts of its values,
// without parsing them, so that one value that no parser accepts leaves the
// others readable.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace gentianspindle {

// The text of one value.
struct JsonText
{
  std::string_view text;
  // Number of arrays and objects inside each other, the value itself included;
  // 0 for a string, number or literal.
  size_t depth = 0;
};

struct JsonMember
{
  std::string_view key; // as written between the quotes
  JsonText value;
};

// Return nullopt if the text is no array or object, or does not end where its
// first bracket is closed. What the values contain is not checked.
std::optional<std::vector<JsonText>>
SplitJsonArray(std::string_view aText);
std::optional<std::vector<JsonMember>>
SplitJsonObject(std::string_view aText);

// Returns the value of the first member with this key; an empty text if there
// is none.
JsonText
FindJsonMember(const std::vector<JsonMember>& aMembers, std::string_view aKey);

}
