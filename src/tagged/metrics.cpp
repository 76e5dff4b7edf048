#include "tagged/metrics.h"

#include "base/text.h"

#include <algorithm>
#include <limits>
#include <prometheus/metric_type.h>
#include <prometheus/text_serializer.h>

namespace gentianspindle::tagged {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

// Collects metric families for the serializer.
struct Writer
{
  std::vector<MetricFamily> families;

  MetricFamily& Family(std::string_view aName,
                       std::string_view aHelp,
                       MetricType aType)
  {
    MetricFamily& family = this->families.emplace_back();
    family.name = absl::StrCat("gentianspindle_", ToAbsl(aName));
    family.help = std::string(aHelp);
    family.type = aType;
    return family;
  }

  void Number(std::string_view aName,
              std::string_view aHelp,
              MetricType aType,
              double aValue)
  {
    Put(this->Family(aName, aHelp, aType), {}, aValue);
  }

  template<size_t N>
  void Table(std::string_view aName,
             std::string_view aHelp,
             std::string_view aLabel,
             const std::array<std::string_view, N>& aNames,
             const std::array<uint64_t, N>& aValues)
  {
    MetricFamily& family = this->Family(aName, aHelp, MetricType::Counter);
    for (size_t i = 0; i < N; ++i) {
      Put(family,
          { { std::string(aLabel), std::string(aNames[i]) } },
          static_cast<double>(aValues[i]));
    }
  }

  void Latency(std::string_view aName,
               std::string_view aHelp,
               const Histogram& aHistogram)
  {
    ClientMetric metric;
    uint64_t sum = 0;
    for (size_t i = 0; i < aHistogram.counts.size(); ++i) {
      sum += aHistogram.counts[i];
      double bound = i < kBucketBounds.size()
                       ? static_cast<double>(kBucketBounds[i]) / kSecond
                       : std::numeric_limits<double>::infinity();
      metric.histogram.bucket.push_back({ sum, bound });
    }
    metric.histogram.sample_count = sum;
    metric.histogram.sample_sum = aHistogram.sumSeconds;
    this->Family(aName, aHelp, MetricType::Histogram).metric.push_back(metric);
  }

  // The serializer writes the value that fits the family's type.
  static void Put(MetricFamily& aFamily,
                  std::vector<ClientMetric::Label> aLabels,
                  double aValue)
  {
    ClientMetric metric;
    metric.label = std::move(aLabels);
    metric.counter.value = aValue;
    metric.gauge.value = aValue;
    aFamily.metric.push_back(std::move(metric));
  }
};

std::array<uint64_t, kStoreFailureNames.size()>
SumFailures(const MetricsSource& aSource)
{
  std::array<uint64_t, kStoreFailureNames.size()> sum{};
  for (const ListWatcherCounts* counts :
       { &aSource.servers, &aSource.config, &aSource.drains }) {
    for (size_t i = 0; i < sum.size(); ++i) {
      sum[i] += counts->failures[i];
    }
  }
  return sum;
}

void
AddStore(Writer& aWriter, const MetricsSource& aSource)
{
  static constexpr std::array<std::string_view, 6> kCalls{
    "list_servers", "watch_servers", "list_config",
    "watch_config", "list_drains",   "watch_drains"
  };
  std::array<uint64_t, 6> calls{
    aSource.servers.lists,  aSource.servers.watches, aSource.config.lists,
    aSource.config.watches, aSource.drains.lists,    aSource.drains.watches
  };
  aWriter.Table(
    "store_calls_total", "Calls to the store", "call", kCalls, calls);
  aWriter.Table("store_retries_total",
                "Failed calls to the store, by reason",
                "reason",
                kStoreFailureNames,
                SumFailures(aSource));
  aWriter.Number("store_returns_total",
                 "Returns of the store from an older copy",
                 MetricType::Counter,
                 static_cast<double>(aSource.storeReturns));
  aWriter.Number("store_era",
                 "Latest era of the store",
                 MetricType::Gauge,
                 static_cast<double>(aSource.storeEra));
  aWriter.Table("unreadable_entries_total",
                "Entries of the store that cannot be read, once a version",
                "kind",
                kEntryKindNames,
                aSource.unreadable);
}

void
AddLoad(Writer& aWriter, const steer::FlowSteering& aSteer)
{
  MetricFamily& crossings = aWriter.Family(
    "placed_remote_total", "Flows placed in another zone", MetricType::Counter);
  for (const auto& [route, count] : aSteer.Counts().crossings) {
    Writer::Put(crossings, { { "route", route } }, static_cast<double>(count));
  }
  MetricFamily& zoneLoad = aWriter.Family(
    "zone_load",
    "Demand of this zone's callers relative to the service's slots in the zone",
    MetricType::Gauge);
  for (const auto& [service, load] : aSteer.ServiceLoads()) {
    Writer::Put(zoneLoad, { { "service", service } }, load.zoneLoad);
  }
  aWriter.Number("requests_rejected_total",
                 "Responses that came too quickly for an executed request",
                 MetricType::Counter,
                 static_cast<double>(aSteer.Times().Rejections()));
  steer::LearnedCapacity learned = aSteer.Capacity();
  aWriter.Number("learned_servers",
                 "Servers whose speed was learned",
                 MetricType::Gauge,
                 learned.servers);
  aWriter.Number("learned_slots",
                 "Slots of these servers, each weighted by its speed",
                 MetricType::Gauge,
                 learned.slots);
  aWriter.Number("learned_age_seconds",
                 "Mean time since a request of these servers was timed",
                 MetricType::Gauge,
                 learned.meanAgeSeconds);
}

// Counts openings by route. The names are the operators', so their number is
// bounded by steer::kMaxCountedRoutes.
void
AddRoutes(Writer& aWriter, const steer::RouteCounts& aCounts)
{
  MetricFamily& family =
    aWriter.Family("route_openings_total",
                   "Opening packets held or refused here, by route",
                   MetricType::Counter);
  for (const auto& [route, counts] : aCounts.All()) {
    for (size_t i = 0; i < counts.size(); ++i) {
      std::string reason(steer::ReasonName(steer::kRouteReasons[i]));
      Writer::Put(family,
                  { { "route", route }, { "reason", reason } },
                  static_cast<double>(counts[i]));
    }
  }
}

}

void
Histogram::Add(Micros aDuration)
{
  size_t index =
    std::lower_bound(kBucketBounds.begin(), kBucketBounds.end(), aDuration) -
    kBucketBounds.begin();
  ++this->counts[index];
  this->sumSeconds += static_cast<double>(aDuration) / kSecond;
}

std::string
FormatMetrics(const MetricsSource& aSource)
{
  Writer writer;
  auto counter =
    [&writer](std::string_view aName, std::string_view aHelp, uint64_t aValue) {
      writer.Number(
        aName, aHelp, MetricType::Counter, static_cast<double>(aValue));
    };
  auto gauge =
    [&writer](std::string_view aName, std::string_view aHelp, double aValue) {
      writer.Number(aName, aHelp, MetricType::Gauge, aValue);
    };
  counter("packets_in_total",
          "Datagrams received for the packet path",
          aSource.port.packetsIn);
  counter("packets_out_total",
          "Packets to be sent, failed ones included",
          aSource.port.packetsOut);
  counter("bytes_in_total", "Bytes received", aSource.port.bytesIn);
  counter("bad_packets_total",
          "Datagrams dropped because they are not valid packets",
          aSource.port.badPackets);
  counter("arrivals_unknown_total",
          "Opening packets whose arrival the kernel did not record",
          aSource.port.arrivalsUnknown);
  counter("send_failed_total",
          "Packets that could not be sent",
          aSource.port.sendFailed);
  writer.Table("decisions_total",
               "Packets by decision",
               "reason",
               steer::kReasonNames,
               aSource.steer.Counts().reasons);
  AddRoutes(writer, aSource.steer.CountsByRoute());
  writer.Table("flows_ended_total",
               "Flows that ended, by how",
               "outcome",
               steer::kOutcomeNames,
               aSource.steer.Counts().outcomes);
  counter("servers_doubted_total",
          "Opening packets that a server left unanswered",
          aSource.steer.Counts().suspected);
  const steer::DetectorCounts& detector = aSource.steer.Detector().Counts();
  writer.Table("silence_evidence_total",
               "Evidence of flows and peers that a server is silent",
               "kind",
               steer::kEvidenceNames,
               detector.evidence);
  writer.Table("probes_total",
               "Results of probes of servers",
               "result",
               steer::kProbeResultNames,
               detector.probes);
  writer.Table("silence_verdicts_total",
               "Verdicts that a server is silent, and ends of them, by cause",
               "cause",
               steer::kVerdictChangeNames,
               detector.verdicts);
  counter("kept_from_warmup_total",
          "Servers in their warm-up that were passed over as their quota was "
          "used, once a placement",
          aSource.steer.Counts().keptFromWarmup);
  gauge("flows",
        "Flows that this instance has a record of",
        static_cast<double>(aSource.steer.Flows()));
  gauge("config_version",
        "Configuration version in force",
        static_cast<double>(aSource.steer.CurrentView().Version()));
  gauge("view_age_seconds",
        "Time since the store last confirmed the whole view",
        static_cast<double>(aSource.viewAge) / kSecond);
  counter("reloads_refused_total",
          "Changes of the settings file that were refused",
          aSource.reloadsRefused);
  gauge("ready", "1 if the readiness check gets 200", aSource.ready ? 1 : 0);
  writer.Latency("handshake_seconds",
                 "Placement of a flow to the caller's next packet",
                 aSource.handshake);
  writer.Latency(
    "response_seconds",
    "First data of a flow to the first acknowledgement of the response",
    aSource.response);
  AddStore(writer, aSource);
  gauge("drained_zones",
        "Zones whose servers get no new flows",
        static_cast<double>(aSource.steer.CurrentView().Drains().zones.size()));
  gauge("drains_age_seconds",
        "Time since the store last confirmed the drained zones",
        static_cast<double>(aSource.drainsAge) / kSecond);
  AddLoad(writer, aSource.steer);
  gauge(
    "reads_store", "1 if this instance reads the store", aSource.reads ? 1 : 0);
  counter("beats_in_total",
          "Heartbeats received from peers",
          aSource.peers.heartbeatsIn);
  counter("beats_out_total",
          "Heartbeats to be sent to peers, failed ones included",
          aSource.peers.heartbeatsOut);
  counter("bad_beats_total",
          "Datagrams from peers that are no valid message",
          aSource.peers.badHeartbeats);
  counter("opening_messages_in_total",
          "Queries and replies about openings received from peers",
          aSource.peers.openingsIn);
  counter("opening_messages_out_total",
          "Queries and replies about openings to be sent to peers, failed ones "
          "included",
          aSource.peers.openingsOut);
  counter("peer_bytes_out_total",
          "Bytes of messages and views to peers",
          aSource.peers.bytesOut);
  counter("peer_views_total", "Views received from peers", aSource.peers.views);
  writer.Table("peer_retries_total",
               "Failed view requests to peers, by reason",
               "reason",
               kViewRequestFailureNames,
               aSource.peers.failures);
  counter("log_lines_total",
          "Log lines put into the output buffer",
          aSource.log.lines);
  counter("log_dropped_total",
          "Log lines dropped because the output buffer was full",
          aSource.log.dropped);
  counter("log_sampled_total",
          "Decisions not logged because of sampling",
          aSource.log.sampledOut);
  return prometheus::TextSerializer().Serialize(writer.families);
}

}
