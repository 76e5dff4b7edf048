// Encodes and decodes the messages between instances: views, heartbeats with
// the positions and ages of what the sender knows, and queries about openings.
#pragma once

#include "spread/beat.h"
#include "steer/opening_query.h"
#include "steer/view.h"

#include "absl/status/statusor.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace gentianspindle::tagged {

// An instance's whole view, or its configuration only.
struct PeerView
{
  steer::Config config;
  // Positions of the store up to which the sender knows everything.
  StorePosition configPosition;
  StorePosition serversPosition; // not known: the servers are left out
  std::vector<steer::ServerChange> servers;
  steer::DrainState drains; // with and without the servers
};

// Encode and decode the body of a view response.
std::string
EncodePeerView(const PeerView& aView);
absl::StatusOr<PeerView>
DecodePeerView(std::string_view aBytes);

// Encode and decode the datagram of a heartbeat.
std::string
EncodeHeartbeat(const spread::Heartbeat& aHeartbeat);
absl::StatusOr<spread::Heartbeat>
DecodeHeartbeat(std::string_view aBytes);

using OpeningMessage = std::variant<steer::OpeningQuery, steer::OpeningReply>;

// Returns whether a datagram is one about an opening, and not a heartbeat.
bool
IsOpeningMessage(std::string_view aBytes);
// Encode and decode such a datagram.
std::string
EncodeOpeningMessage(const OpeningMessage& aMessage);
absl::StatusOr<OpeningMessage>
DecodeOpeningMessage(std::string_view aBytes);

}
