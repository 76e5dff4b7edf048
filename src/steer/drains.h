// Drains of availability zones: operators ask that the servers of a zone get no
// new flows until they withdraw that. Open flows stay where they are.
#pragma once

#include "base/store_position.h"

#include <span>
#include <string>
#include <vector>

namespace gentianspindle::steer {

// A request to drain a zone, as read from the store, or its withdrawal.
struct DrainChange
{
  std::string zone;
  StorePosition position;
  bool removed = false;
};

// The drained zones as of one position of the store. A state is never replaced
// by one of an earlier position.
struct DrainState
{
  StorePosition position;
  // No zone changed after this position, up to and including position.
  StorePosition changedPosition;
  std::vector<std::string> zones; // sorted

  bool IsKnown() const { return this->position.IsKnown(); }

  // Each returns whether the zones or the knowledge of them changed.
  // A list of the store: all drained zones as of aPosition.
  bool PutList(std::span<const DrainChange> aList,
               const StorePosition& aPosition);
  // All changes, in order, from a position that is known up to aPosition.
  bool PutChanges(std::span<const DrainChange> aChanges,
                  const StorePosition& aPosition);
  // A peer's state.
  bool Adopt(const DrainState& aState);
};

}
