// Messages between instances: what one believes, and how new that is.
#pragma once

#include "steer/view.h"

#include "absl/status/statusor.h"

#include <string>
#include <string_view>
#include <vector>

namespace gentianspindle::tagged {

struct PeerView
{
  steer::Config config;
  uint64_t serversRevision = 0;
  std::vector<steer::ServerChange> servers;
};

struct PeerDigest
{
  int64_t configVersion = 0;
  uint64_t serversRevision = 0;
  std::vector<Address> members;
};

std::string
EncodePeerView(const PeerView& aView);
absl::StatusOr<PeerView>
DecodePeerView(std::string_view aBytes);

std::string
EncodePeerDigest(const PeerDigest& aDigest);
absl::StatusOr<PeerDigest>
DecodePeerDigest(std::string_view aBytes);

}
