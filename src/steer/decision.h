// Decisions on packets and the ends of flows, with their reasons.
#pragma once

#include "steer/placer.h"

#include "absl/container/flat_hash_map.h"

#include <array>

namespace gentianspindle::steer {

// What to do with a packet.
enum class Action : uint8_t
{
  Forward,
  Reset, // send a reset to the caller
  Drop,
  Hold, // keep the packet until Release returns it
};

// Reason for a decision, for counters and logs.
enum class Reason : uint8_t
{
  Placed,        // a new flow got a server
  Repeated,      // retransmitted opening packet, same server
  Known,         // the tag or the flow record gives the server
  NoView,        // configuration or servers are not known yet
  UnknownRoute,  // no route has the packet's target
  RouteRemoved,  // only an earlier configuration had the route
  NoServer,      // no server of the service takes new flows
  UnknownTag,    // no server of the view has the packet's tag
  TagNotAllowed, // the route does not allow the service of the tag's server
  ServerGone,    // the flow's server is RegistryState::Gone
  NoTag,         // the packet has no tag and its flow no record
  Held,          // the service is at its limit of open flows
  HeldAgain,     // retransmission of a held packet, or a held packet whose
                 // flow was placed meanwhile
  HoldFull,      // the service's hold queue is full
  HeldTooLong,   // the flow was held for kMaxHoldTime
  OutOfDate,     // the opening packet waited beyond its UsableTime
  // As NoServer, but there would be one without the drains of zones.
  ZoneDrained,
  ServerSilent, // the flow's server is gone or out of reach, or seems to be
  // As NoServer, but there would be one in a region that the route does not
  // allow.
  RegionNotAllowed,
  WarmupQuota, // only servers in their warm-up are left, and their quota is
               // used
  TooLate,     // it would have to wait, and then be answered too late
  ShareFull,   // its route's share of the service's room is taken
  // The server that got the flow's first opening packet takes no new flows any
  // more, or its process has ended.
  ServerUnusable,
  RefusedBefore, // an earlier opening packet of the flow was refused
  Queried,       // other instances are asked whether the flow has a server
  // Another instance may have sent an earlier opening packet of the flow to a
  // server, and none says to which one.
  Unconfirmed,
  Count,
};

constexpr std::array<std::string_view, static_cast<size_t>(Reason::Count)>
  kReasonNames{
    "placed",
    "repeated",
    "known",
    "no_view",
    "unknown_route",
    "route_removed",
    "no_server",
    "unknown_tag",
    "tag_not_allowed",
    "server_gone",
    "no_tag",
    "held",
    "held_again",
    "hold_full",
    "held_too_long",
    "out_of_date",
    "zone_drained",
    "server_silent",
    "region_not_allowed",
    "warmup_quota",
    "too_late",
    "share_full",
    "server_unusable",
    "refused_before",
    "queried",
    "unconfirmed",
  };

constexpr std::string_view
ReasonName(Reason aReason)
{
  return kReasonNames[static_cast<size_t>(aReason)];
}

// What to do with one packet, and why.
struct Decision
{
  Action action = Action::Drop;
  Reason reason = Reason::NoView;
  ServerIndex server = kNoServer;
  Tag tag = kNoTag; // to be written into the packet
  // The packet has the first data that was seen since the flow's record was
  // made. Another instance makes its own record, and so does this one after
  // kQuietTime without packets.
  bool firstRequest = false;
  // If the flow is or was held: for how long so far, how many flows count
  // against the service's limit, and the limit.
  Micros waited = 0;
  uint32_t openFlows = 0;
  double flowLimit = 0;
  Placement placement; // how the server was chosen, if the flow was placed
};

// How a flow ended, as far as this instance saw.
enum class Outcome : uint8_t
{
  Closed, // the caller sent a FIN
  Reset,  // the caller sent a reset, or got one as the server was gone or
          // silent
  // The server did not answer the opening packet, or may no longer be used.
  Unanswered,
  Expired, // no packets for kQuietTime, or a new flow with the same ends
  Count,
};

constexpr std::array<std::string_view, static_cast<size_t>(Outcome::Count)>
  kOutcomeNames{ "closed", "reset", "unanswered", "expired" };

// A packet that was held, and what to do with it now.
struct ReleasedPacket
{
  Packet packet;
  Decision decision;
};

// A probe to send: a TCP connection to a server's endpoint.
struct Probe
{
  ServerIndex server = kNoServer;
  uint32_t generation = 0;
  Endpoint endpoint;
  Micros sentAt = 0;
};

// Handshake or response time of one flow, for histograms. At most one of the
// flags is set; if none is, there is no time.
struct LatencySample
{
  bool handshake = false;
  bool response = false;
  Micros duration = 0;
};

struct FlowSteeringCounts
{
  std::array<uint64_t, static_cast<size_t>(Reason::Count)> reasons{};
  std::array<uint64_t, static_cast<size_t>(Outcome::Count)> outcomes{};
  // Flows that were placed in another zone, by the route's name.
  absl::flat_hash_map<std::string, uint64_t> crossings;
  uint64_t suspected = 0; // opening packets counted as unanswered by a server
  // Servers in their warm-up that were passed over as their quota was used,
  // once a placement.
  uint64_t keptFromWarmup = 0;
};

}
