#include "daemon/metrics.h"

#include "absl/strings/str_cat.h"

#include <prometheus/client_metric.h>
#include <prometheus/collectable.h>
#include <prometheus/metric_family.h>
#include <prometheus/metric_type.h>

namespace gentianspindle {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

// Reads the counters when the page is asked for, so that the packet path
// pays for plain additions only.
class Collector : public prometheus::Collectable
{
public:
  explicit Collector(Node& aNode)
    : node(aNode)
  {
  }

  std::vector<MetricFamily> Collect() const override
  {
    std::vector<MetricFamily> families;
    this->AddPaths(families);
    this->AddReasons(families);
    this->AddRetries(families);
    this->AddServices(families);
    Add(families, "table_version", "Table version in force", true);
    MetricFamily& members =
      Add(families, "member", "Members that are not unreachable", true);
    Put(members, "", "", this->LiveMembers());
    Put(families[families.size() - 2],
        "",
        "",
        static_cast<double>(this->node.Current()->tableVersion));
    return families;
  }

private:
  static MetricFamily& Add(std::vector<MetricFamily>& aFamilies,
                           const std::string& aName,
                           const std::string& aHelp,
                           bool aGauge = false)
  {
    MetricFamily& family = aFamilies.emplace_back();
    family.name = absl::StrCat("gentianspindle_", aName);
    family.help = aHelp;
    family.type = aGauge ? MetricType::Gauge : MetricType::Counter;
    return family;
  }

  static void Put(MetricFamily& aFamily,
                  std::string_view aLabel,
                  std::string_view aValue,
                  double aNumber)
  {
    ClientMetric& metric = aFamily.metric.emplace_back();
    if (!aLabel.empty()) {
      metric.label.push_back({ std::string(aLabel), std::string(aValue) });
    }
    metric.counter.value = aNumber;
    metric.gauge.value = aNumber;
  }

  double LiveMembers() const
  {
    absl::MutexLock lock(&this->node.control);
    double live = 0;
    for (const Member& member : this->node.members.Candidates()) {
      live += member.reachable ? 1 : 0;
    }
    return live;
  }

  void AddPaths(std::vector<MetricFamily>& aFamilies) const
  {
    aFamilies.reserve(aFamilies.size() + 2);
    MetricFamily& packets =
      Add(aFamilies, "packets_total", "Datagrams by path");
    MetricFamily& bytes = Add(aFamilies, "bytes_total", "Bytes by path");
    for (size_t i = 0; i < kPathNames.size(); ++i) {
      uint64_t packetSum = 0;
      uint64_t byteSum = 0;
      for (const auto& counts : this->node.counts) {
        packetSum += counts->packets[i].load(std::memory_order_relaxed);
        byteSum += counts->bytes[i].load(std::memory_order_relaxed);
      }
      Put(packets, "path", kPathNames[i], static_cast<double>(packetSum));
      Put(bytes, "path", kPathNames[i], static_cast<double>(byteSum));
    }
  }

  void AddReasons(std::vector<MetricFamily>& aFamilies) const
  {
    std::array<uint64_t, kReasonNames.size()> sums{};
    for (const auto& counts : this->node.counts) {
      for (size_t i = 0; i < sums.size(); ++i) {
        sums[i] += counts->reasons[i].load(std::memory_order_relaxed);
      }
    }
    for (const auto& [key, slot] : this->node.Current()->services) {
      absl::MutexLock lock(&slot->mutex);
      for (size_t i = 0; i < sums.size(); ++i) {
        sums[i] += slot->engine.Counts().reasons[i];
      }
    }
    MetricFamily& family = Add(
      aFamilies, "reasons_total", "Drops, refusals and longer ways by reason");
    for (size_t i = 1; i < sums.size(); ++i) {
      Put(family, "reason", kReasonNames[i], static_cast<double>(sums[i]));
    }
  }

  void AddRetries(std::vector<MetricFamily>& aFamilies) const
  {
    MetricFamily& family = Add(aFamilies, "retries_total", "Retries by reason");
    for (size_t i = 0; i < kRetryNames.size(); ++i) {
      Put(family,
          "reason",
          kRetryNames[i],
          static_cast<double>(this->node.retries[i].load()));
    }
  }

  void AddServices(std::vector<MetricFamily>& aFamilies) const
  {
    aFamilies.reserve(aFamilies.size() + 6);
    MetricFamily& flows =
      Add(aFamilies, "flows", "Flows in the table by service", true);
    MetricFamily& heldNow =
      Add(aFamilies, "held", "New flows held now by service", true);
    MetricFamily& admitted =
      Add(aFamilies, "admitted_total", "New flows admitted by service");
    MetricFamily& adopted = Add(
      aFamilies, "adopted_total", "Flows taken over in the middle by service");
    MetricFamily& held =
      Add(aFamilies, "held_total", "New flows held by service");
    MetricFamily& occupied = Add(
      aFamilies, "occupied_slots", "Slots in use by own backend server", true);
    for (const auto& [key, slot] : this->node.Current()->services) {
      absl::MutexLock lock(&slot->mutex);
      const Engine& engine = slot->engine;
      const std::string& name = slot->name;
      auto put = [&](MetricFamily& aFamily, double aNumber) {
        Put(aFamily, "service", name, aNumber);
      };
      put(flows, static_cast<double>(engine.Flows().Size()));
      put(heldNow, static_cast<double>(engine.HeldNow()));
      put(admitted, static_cast<double>(engine.Counts().admitted));
      put(adopted, static_cast<double>(engine.Counts().adopted));
      put(held, static_cast<double>(engine.Counts().held));
      for (const ServerState& server : engine.Servers()) {
        if (server.owner == this->node.Self()) {
          Put(occupied,
              "server",
              FormatAddress(server.row.address),
              server.Occupied());
        }
      }
    }
  }

  Node& node;
};

}

absl::StatusOr<std::unique_ptr<Metrics>>
Metrics::Make(Node& aNode)
{
  std::unique_ptr<Metrics> metrics(new Metrics);
  const std::string& listen = aNode.GetSettings().metrics.listen;
  try {
    metrics->exposer = std::make_unique<prometheus::Exposer>(listen, 1);
  } catch (const std::exception& error) {
    return absl::UnavailableError(
      absl::StrCat("listen for metrics at ", listen, ": ", error.what()));
  }
  metrics->collector = std::make_shared<Collector>(aNode);
  metrics->exposer->RegisterCollectable(metrics->collector);
  return metrics;
}

}
