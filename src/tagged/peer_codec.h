// Messages between instances: what one believes, and how new that is.
#pragma once

#include "spread/beat.h"
#include "steer/view.h"

#include "absl/status/statusor.h"

#include <string>
#include <string_view>
#include <vector>

namespace gentianspindle::tagged {

// All that an instance believes, or the configuration alone.
struct PeerView
{
  steer::Config config;
  uint64_t configRevision = 0;  // of the store, up to which all is known
  uint64_t serversRevision = 0; // 0: without servers
  std::vector<steer::ServerChange> servers;
};

std::string
EncodePeerView(const PeerView& aView);
absl::StatusOr<PeerView>
DecodePeerView(std::string_view aBytes);

std::string
EncodeHeartbeat(const spread::Heartbeat& aHeartbeat);
absl::StatusOr<spread::Heartbeat>
DecodeHeartbeat(std::string_view aBytes);

}
