// Entries of the store that cannot be read: counts each version of one once,
// although lists and watches repeat it.
#pragma once

#include "base/store_position.h"

#include "absl/container/flat_hash_map.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace gentianspindle::tagged {

enum class EntryKind : uint8_t
{
  Server,
  Config,
  Route,
  Unnamed, // of any kind, without a readable name; counted by ListWatcher
  Count,
};

constexpr std::array<std::string_view, static_cast<size_t>(EntryKind::Count)>
  kEntryKindNames{ "server", "config", "route", "unnamed" };

using EntryCounts = std::array<uint64_t, kEntryKindNames.size()>;

// Remembers which version of each unreadable entry was counted.
class UnreadableEntries
{
public:
  // Records an unreadable entry. Returns whether this version of it is new; it
  // is counted then.
  bool Record(EntryKind aKind,
              std::string_view aName,
              const StorePosition& aPosition)
  {
    if (this->positions.size() >= kMaxRemembered) {
      this->positions.clear();
    }
    std::string key(1, static_cast<char>(aKind));
    key += aName;
    auto [known, inserted] = this->positions.try_emplace(key, aPosition);
    bool isNew = inserted || known->second != aPosition;
    known->second = aPosition;
    this->counts[static_cast<size_t>(aKind)] += isNew ? 1 : 0;
    return isNew;
  }

  const EntryCounts& Counts() const { return this->counts; }

private:
  // Number of entries whose versions are kept, to bound the memory. When it is
  // reached, all are forgotten, and counted and logged once more.
  static constexpr size_t kMaxRemembered = 4096;

  absl::flat_hash_map<std::string, StorePosition> positions;
  EntryCounts counts{};
};

}
