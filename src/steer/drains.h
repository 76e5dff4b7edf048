// Drains of availability zones: operators ask that the servers of a zone get no
// new flows until they withdraw that. Open flows stay where they are.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace gentianspindle::steer {

// A request to drain a zone, as read from the store, or its withdrawal.
struct DrainChange
{
  std::string zone;
  uint64_t revision = 0;
  bool removed = false;
};

// The drained zones as of one revision of the store. A state is never replaced
// by one of an earlier revision.
struct DrainState
{
  uint64_t revision = 0; // 0: nothing is known
  // No zone changed after this revision, up to and including revision.
  uint64_t changedRevision = 0;
  std::vector<std::string> zones; // sorted

  bool IsKnown() const { return this->revision > 0; }

  // Each returns whether the zones or the knowledge of them changed.
  // A list of the store: all drained zones as of aRevision.
  bool PutList(std::span<const DrainChange> aList, uint64_t aRevision);
  // All changes, in order, from a revision that is known up to aRevision.
  bool PutChanges(std::span<const DrainChange> aChanges, uint64_t aRevision);
  // A peer's state.
  bool Adopt(const DrainState& aState);
};

}
