// Encodes and decodes the messages between instances: views, and heartbeats
// with the revisions and ages of what the sender knows.
#pragma once

#include "spread/beat.h"
#include "steer/view.h"

#include "absl/status/statusor.h"

#include <string>
#include <string_view>
#include <vector>

namespace gentianspindle::tagged {

// An instance's whole view, or its configuration only.
struct PeerView
{
  steer::Config config;
  // Revisions of the store up to which the sender knows everything.
  uint64_t configRevision = 0;
  uint64_t serversRevision = 0; // 0: the servers are left out
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

}
