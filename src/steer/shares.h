// Divides the room of a service, the flows that its concurrency limit admits,
// between the routes that lead to it. So a burst of one kind of request
// does not take the room of the others.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace gentianspindle::steer {

// A share covers this multiple of what the route usually needs, so that it
// isn't exceeded by chance.
constexpr double kShareMargin = 1.25;

// What a route asks of the room, in open flows.
struct RouteNeed
{
  uint32_t priority = 0; // 0 is the most urgent
  double usual = 0; // flows open on average while there was room; 0: unknown
};

// Returns each route's share of aRoom; they add up to aRoom. Each route gets a
// least share first, aLeastShare of the room divided by the number of routes.
// Then, the most urgent first, each gets up to kShareMargin of its usual need;
// if that is more than is left, those of one priority get the same part of it.
// What is left then goes to all in proportion to their usual needs.
std::vector<double>
DivideRoom(double aRoom, double aLeastShare, std::span<const RouteNeed> aNeeds);

// How a route stands when a held opening is to be placed.
struct RouteTurn
{
  uint32_t priority = 0;
  double used = 0; // part of the room that it has
  double least = 0;
  double share = 0;
};

// Returns whether a held opening of aLeft goes before one of aRight: routes
// below their least share first, then those below their share, the most urgent
// first, then the rest. Equally urgent ones go by the part of their share that
// they have.
bool
GoesBefore(const RouteTurn& aLeft, const RouteTurn& aRight);

}
