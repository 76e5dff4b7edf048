// The metrics page of the daemon, in the Prometheus text format.
#pragma once

#include "daemon/node.h"

#include <memory>
#include <prometheus/exposer.h>

namespace gentianspindle {

// Serves the page over HTTP as long as it lives.
class Metrics
{
public:
  static absl::StatusOr<std::unique_ptr<Metrics>> Make(Node& aNode);

private:
  Metrics() = default;
  std::shared_ptr<prometheus::Collectable> collector;
  std::unique_ptr<prometheus::Exposer> exposer;
};

}
