// The metrics page of the daemon, in Prometheus text form.
#pragma once

#include "daemon/node.h"

#include <memory>
#include <prometheus/exposer.h>

namespace gentianspindle {

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
