#include "base/json_text.h"

#include <algorithm>

namespace gentianspindle {

namespace {

constexpr size_t kNotFound = std::string_view::npos;

// Reads a text from its start to its end. It counts brackets in place of
// recursion, so its memory does not grow with the depth of a value.
class JsonCursor
{
public:
  explicit JsonCursor(std::string_view aText)
    : text(aText)
  {
  }

  bool Take(char aExpected)
  {
    this->SkipSpace();
    bool found =
      this->at < this->text.size() && this->text[this->at] == aExpected;
    this->at += found ? 1 : 0;
    return found;
  }

  bool AtEnd()
  {
    this->SkipSpace();
    return this->at == this->text.size();
  }

  // Takes a string and returns the text between its quotes.
  std::optional<std::string_view> TakeString()
  {
    this->SkipSpace();
    size_t start = this->at;
    size_t end = this->EndOfString(start);
    if (end == kNotFound) {
      return std::nullopt;
    }
    this->at = end;
    return this->text.substr(start + 1, end - start - 2);
  }

  // Takes a value of any type. A scalar ends before the next comma, bracket or
  // space, whatever its characters are.
  std::optional<JsonText> TakeValue()
  {
    this->SkipSpace();
    size_t start = this->at;
    if (start == this->text.size()) {
      return std::nullopt;
    }
    JsonText value;
    char first = this->text[start];
    size_t end = first == '"'                   ? this->EndOfString(start)
                 : first == '[' || first == '{' ? this->EndOfNested(value.depth)
                                                : this->EndOfScalar();
    if (end == kNotFound || end == start) {
      return std::nullopt;
    }
    this->at = end;
    value.text = this->text.substr(start, end - start);
    return value;
  }

private:
  void SkipSpace()
  {
    size_t next = this->text.find_first_not_of(" \t\r\n", this->at);
    this->at = next == kNotFound ? this->text.size() : next;
  }

  // Returns the index after the string that starts at aStart.
  size_t EndOfString(size_t aStart) const
  {
    if (aStart >= this->text.size() || this->text[aStart] != '"') {
      return kNotFound;
    }
    size_t i = this->text.find_first_of("\"\\", aStart + 1);
    while (i != kNotFound && this->text[i] == '\\') {
      i = i + 2 > this->text.size() ? kNotFound
                                    : this->text.find_first_of("\"\\", i + 2);
    }
    return i == kNotFound ? kNotFound : i + 1;
  }

  size_t EndOfScalar() const
  {
    size_t end = this->text.find_first_of(",:[]{}\" \t\r\n", this->at);
    return end == kNotFound ? this->text.size() : end;
  }

  size_t EndOfNested(size_t& aDepth) const
  {
    size_t open = 0;
    size_t i = this->at;
    while (i < this->text.size()) {
      char c = this->text[i];
      if (c == '"') {
        i = this->EndOfString(i);
        if (i == kNotFound) {
          return kNotFound;
        }
        continue;
      }
      if (c == '[' || c == '{') {
        ++open;
        aDepth = std::max(aDepth, open);
      } else if (c == ']' || c == '}') {
        --open;
      }
      ++i;
      if (open == 0) {
        return i;
      }
    }
    return kNotFound;
  }

  std::string_view text;
  size_t at = 0;
};

}

std::optional<std::vector<JsonText>>
SplitJsonArray(std::string_view aText)
{
  JsonCursor cursor(aText);
  std::vector<JsonText> values;
  if (!cursor.Take('[')) {
    return std::nullopt;
  }
  bool closed = cursor.Take(']');
  while (!closed) {
    std::optional<JsonText> value = cursor.TakeValue();
    if (!value) {
      return std::nullopt;
    }
    values.push_back(*value);
    closed = cursor.Take(']');
    if (!closed && !cursor.Take(',')) {
      return std::nullopt;
    }
  }
  return cursor.AtEnd() ? std::optional(std::move(values)) : std::nullopt;
}

std::optional<std::vector<JsonMember>>
SplitJsonObject(std::string_view aText)
{
  JsonCursor cursor(aText);
  std::vector<JsonMember> members;
  if (!cursor.Take('{')) {
    return std::nullopt;
  }
  bool closed = cursor.Take('}');
  while (!closed) {
    std::optional<std::string_view> key = cursor.TakeString();
    if (!key || !cursor.Take(':')) {
      return std::nullopt;
    }
    std::optional<JsonText> value = cursor.TakeValue();
    if (!value) {
      return std::nullopt;
    }
    members.push_back({ *key, *value });
    closed = cursor.Take('}');
    if (!closed && !cursor.Take(',')) {
      return std::nullopt;
    }
  }
  return cursor.AtEnd() ? std::optional(std::move(members)) : std::nullopt;
}

JsonText
FindJsonMember(const std::vector<JsonMember>& aMembers, std::string_view aKey)
{
  auto member = std::find_if(
    aMembers.begin(), aMembers.end(), [aKey](const JsonMember& aMember) {
      return aMember.key == aKey;
    });
  return member == aMembers.end() ? JsonText{} : member->value;
}

}
