#include "steer/candidates.h"

namespace gentianspindle::steer {

Exclusion
ExclusionOf(const View& aView,
            ServerIndex aServer,
            const PlacementRequest& aRequest,
            Micros aNow)
{
  const Server& server = aView.At(aServer);
  if (!server.IsAvailable()) {
    return Exclusion::Unlisted;
  }
  if (server.IsDraining()) {
    return Exclusion::Draining;
  }
  if (server.tagConflict) {
    return Exclusion::TagConflict;
  }
  if (!aView.AllowsRegion(aRequest.route, server)) {
    return Exclusion::RegionNotAllowed;
  }
  if (server.zoneDrained) {
    return Exclusion::ZoneDrained;
  }
  bool admitted = aRequest.warmupQuota == nullptr ||
                  aRequest.warmupQuota->Admits(aView, aServer, aNow);
  return admitted ? Exclusion::None : Exclusion::WarmupQuota;
}

}
