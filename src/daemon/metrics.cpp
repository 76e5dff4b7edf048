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

// Sums the counters of all threads when the page is requested, so that the
// packet path only adds to counters of its own thread. The counts of a service
// are lost when the table no longer has it, so a sum may fall.
//
// tests/daemon/docs_test.cpp finds the names of the metrics in this source:
// each must stand on one line with the Add(families, or the aFamilies, before
// it.
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
      Add(families, "member", "Members neither leaving nor unreachable", true);
    AddSample(members, "", "", this->CountReachablePossibleOwners());
    // The family of table_version; a reference from before the second Add could
    // be invalid.
    AddSample(families[families.size() - 2],
              "",
              "",
              static_cast<double>(this->node.Current()->tableVersion));
    return families;
  }

private:
  // The reference is valid until aFamilies reallocates; callers that keep
  // several reserve before.
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

  // Sets counter and gauge; the type of the family selects the one that is
  // shown. No label if aLabel is empty.
  static void AddSample(MetricFamily& aFamily,
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

  // Counts suspect members, too, and this instance unless it is leaving.
  double CountReachablePossibleOwners() const
  {
    absl::MutexLock lock(&this->node.control);
    double count = 0;
    for (const Member& member : this->node.members.PossibleOwners()) {
      count += member.reachable ? 1 : 0;
    }
    return count;
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
      AddSample(packets, "path", kPathNames[i], static_cast<double>(packetSum));
      AddSample(bytes, "path", kPathNames[i], static_cast<double>(byteSum));
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
    for (const auto& [key, entry] : this->node.Current()->services) {
      absl::MutexLock lock(&entry->mutex);
      for (size_t i = 0; i < sums.size(); ++i) {
        sums[i] += entry->engine.Counts().reasons[i];
      }
    }
    MetricFamily& family = Add(
      aFamilies, "reasons_total", "Drops, refusals and extra steps by reason");
    for (size_t i = 1; i < sums.size(); ++i) {
      AddSample(
        family, "reason", kReasonNames[i], static_cast<double>(sums[i]));
    }
  }

  void AddRetries(std::vector<MetricFamily>& aFamilies) const
  {
    MetricFamily& family = Add(aFamilies, "retries_total", "Retries by reason");
    for (size_t i = 0; i < kRetryNames.size(); ++i) {
      AddSample(family,
                "reason",
                kRetryNames[i],
                static_cast<double>(this->node.retries[i].load()));
    }
  }

  void AddServices(std::vector<MetricFamily>& aFamilies) const
  {
    aFamilies.reserve(aFamilies.size() + 6);
    MetricFamily& flows =
      Add(aFamilies, "flows", "Flows in the flow table by service", true);
    MetricFamily& heldNow =
      Add(aFamilies, "held", "New flows held now by service", true);
    MetricFamily& admitted =
      Add(aFamilies, "admitted_total", "New flows admitted by service");
    MetricFamily& adopted =
      Add(aFamilies, "adopted_total", "Unknown flows adopted, by service");
    MetricFamily& held =
      Add(aFamilies, "held_total", "New flows held by service");
    MetricFamily& occupied =
      Add(aFamilies, "occupied_slots", "Occupied slots of owned servers", true);
    for (const auto& [key, entry] : this->node.Current()->services) {
      absl::MutexLock lock(&entry->mutex);
      const Engine& engine = entry->engine;
      const std::string& name = entry->name;
      auto addSample = [&](MetricFamily& aFamily, double aNumber) {
        AddSample(aFamily, "service", name, aNumber);
      };
      addSample(flows, static_cast<double>(engine.Flows().Size()));
      addSample(heldNow, static_cast<double>(engine.HeldNow()));
      addSample(admitted, static_cast<double>(engine.Counts().admitted));
      addSample(adopted, static_cast<double>(engine.Counts().adopted));
      addSample(held, static_cast<double>(engine.Counts().held));
      for (const ServerState& server : engine.Servers()) {
        if (server.owner == this->node.Self()) {
          AddSample(occupied,
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
    // One thread serves the page.
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
