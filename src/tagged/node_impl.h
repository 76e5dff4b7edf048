// Definitions of Node's functions, but for those of packets.
#pragma once

#include "tagged/node.h"

#include <iostream>

namespace gentianspindle::tagged {

inline steer::FlowSteeringOptions
MakeSteeringOptions(const TaggedSettings& aSettings)
{
  constexpr double kPercent = 100;
  const TaggedLoadSettings& load = aSettings.load;
  return {
    .placer = { .zone = aSettings.instance.zone,
                .requestsPenalty =
                  static_cast<double>(load.remotePenaltyPct) / kPercent,
                .fullZonePenalty =
                  static_cast<double>(load.fullZonePenaltyPct) / kPercent,
                .randomSeed = RandomSeed(aSettings) },
    .probesPerSecond = aSettings.detect.probesPerS,
    .warmupQuota = { .overage = aSettings.warmup.overage,
                     .slack = aSettings.warmup.slack },
    .byRequests = static_cast<steer::ByRequests>(load.byRequests),
    .shares = { .mode =
                  static_cast<steer::ShareMode>(aSettings.admission.shares),
                .leastShare = aSettings.admission.leastShare },
  };
}

template<Platform P>
Node<P>::Node(event_base* aBase,
              const TaggedSettings& aSettings,
              UdpSocket aSocket,
              const std::string& aSettingsPath)
  : base(aBase)
  , settings(aSettings)
  , settingsPath(aSettingsPath)
  , callerPort(EndpointOf(aSettings.fabric.packets).port)
  , socket(std::move(aSocket))
  , steer(MakeSteeringOptions(aSettings))
  , prober(aBase,
           [this](const steer::Probe& aProbe, steer::ProbeResult aResult) {
             this->steer.OnProbeResult(aProbe, aResult, SteadyNow());
           })
  , tickTimer(aBase, [this] { this->OnTick(); })
{
}

// Opens the socket for packets first: callers' packets wait in its buffer until
// the view is complete. The log and the metrics port are opened only by the
// first tick; it also logs the events before it.
template<Platform P>
absl::StatusOr<std::unique_ptr<Node<P>>>
Node<P>::Make(event_base* aBase,
              const TaggedSettings& aSettings,
              const std::string& aSettingsPath)
{
  absl::StatusOr<UdpSocket> socket =
    UdpSocket::Bind(EndpointOf(aSettings.fabric.packets));
  if (!socket.ok()) {
    return socket.status();
  }
  std::unique_ptr<Node> node(
    new Node(aBase, aSettings, *std::move(socket), aSettingsPath));
  node->RecordArrivals();
  Node* self = node.get();
  node->readable.reset(event_new(
    aBase,
    node->socket.Descriptor(),
    EV_READ | EV_PERSIST,
    [](evutil_socket_t, short, void* aNode) {
      static_cast<Node*>(aNode)->OnReadable();
    },
    self));
  node->StartSync();
  if (absl::Status status = node->StartHttpServer(); !status.ok()) {
    return status;
  }
  node->StartSignals();
  return node;
}

// Without the times of arrival QueueTime returns upper bounds, and more opening
// packets than necessary count as late.
template<Platform P>
void
Node<P>::RecordArrivals()
{
  absl::Status status = this->socket.RecordArrivals();
  if (!status.ok()) {
    LogLine line("arrivals_not_recorded");
    line.Text("problem", status.ToString());
    this->Write(line);
  }
}

template<Platform P>
void
Node<P>::Run()
{
  this->lastTickAt = SteadyNow();
  this->lastTickBootTime = BootNow();
  this->steer.OnProcessStart(this->lastTickAt);
  this->tickTimer.Start(kTickPeriod);
  stat(this->settingsPath.c_str(), &this->settingsStat);
  event_base_dispatch(this->base);
  LogLine line("stopped");
  line.Number("flows", static_cast<int64_t>(this->steer.Flows()))
    .Number("packets", static_cast<int64_t>(this->port.packetsIn));
  this->Write(line);
}

template<Platform P>
absl::Status
Node<P>::StartHttpServer()
{
  absl::StatusOr<std::unique_ptr<HttpServer>> created =
    HttpServer::Make(this->base);
  if (!created.ok()) {
    return created.status();
  }
  this->httpServer = *std::move(created);
  this->httpServer->Handle(P::kReadyPath, [this] {
    return HttpReply{ this->Ready() ? 200 : 503, "{}" };
  });
  this->httpServer->Handle("/metrics", [this] {
    return HttpReply{ 200, this->Metrics() };
  });
  return this->httpServer->Listen(EndpointOf(this->settings.ready.listen));
}

template<Platform P>
void
Node<P>::StartSync()
{
  StoreFormats formats{
    .servers = { P::ServersListPath,
                 P::ServersWatchPath,
                 P::ParseServersList,
                 P::ParseServersWatch,
                 P::kEraHeader },
    .config = { P::ConfigListPath,
                P::ConfigWatchPath,
                P::ParseConfigList,
                P::ParseConfigWatch,
                P::kEraHeader },
    .drains = { P::DrainsListPath,
                P::DrainsWatchPath,
                P::ParseDrainsList,
                P::ParseDrainsWatch,
                P::kEraHeader },
  };
  this->steer.CurrentView().SetRegions(
    ParseRegions(this->settings.regions.zones).value());
  SyncEvents events;
  events.onView = [this] { this->OnView(); };
  events.onVerdict = [this](const spread::Verdict& aVerdict) {
    this->steer.OnPeerVerdict(
      aVerdict.server, aVerdict.startedAt, aVerdict.at, SteadyNow());
  };
  events.onOpeningQuery = [this](const steer::OpeningQuery& aQuery) {
    return this->steer.OnOpeningQuery(aQuery, SteadyNow());
  };
  events.onOpeningReply = [this](Address aFrom,
                                 const steer::OpeningReply& aReply) {
    this->now = SteadyNow();
    this->steer.OnOpeningReply(aFrom, aReply, this->now);
    this->ReleaseHeld();
    this->CheckSendDelay();
  };
  events.log = [this](const LogLine& aLine) { this->Write(aLine); };
  this->sync = Sync::Make(this->base,
                          this->settings,
                          formats,
                          this->steer.CurrentView(),
                          std::move(events));
}

template<Platform P>
void
Node<P>::StartLogAndMetrics()
{
  this->log = Log::Make(
    this->base, this->settings.instance.name, this->settings.log.linesPerS);
  LogLine line("started");
  // view_after_us is -1 if there is no complete view yet.
  line.Text("zone", this->settings.instance.zone)
    .Text("packets", this->settings.fabric.packets)
    .Text("store", this->settings.store.address)
    .Number("view_after_us",
            this->firstViewAt == 0 ? -1 : this->firstViewAt - this->startedAt);
  this->Write(line);
  for (const LogLine& early : this->earlyLines) {
    this->Write(early);
  }
  this->earlyLines.clear();
  Endpoint listen = EndpointOf(this->settings.ready.listen);
  listen.port = static_cast<uint16_t>(this->settings.metrics.port);
  if (absl::Status status = this->httpServer->Listen(listen); !status.ok()) {
    // The instance still serves callers if the metrics port can't be opened:
    // packets matter more than metrics.
    LogLine errorLine("metrics_not_served");
    errorLine.Text("problem", status.ToString());
    this->Write(errorLine);
  }
}

template<Platform P>
void
Node<P>::StartSignals()
{
  auto add = [this](int aSignal, event_callback_fn aCallback) {
    this->signals.emplace_back(
      evsignal_new(this->base, aSignal, aCallback, this));
    evsignal_add(this->signals.back().get(), nullptr);
  };
  signal(SIGPIPE, SIG_IGN);
  event_callback_fn stop = [](evutil_socket_t, short, void* aNode) {
    static_cast<Node*>(aNode)->OnStop();
  };
  add(SIGTERM, stop);
  add(SIGINT, stop);
  add(SIGHUP, [](evutil_socket_t, short, void* aNode) {
    static_cast<Node*>(aNode)->CheckSettings(true);
  });
}

// Starts to receive packets as soon as the first view is complete and the
// drained zones are known, or were waited for long enough.
template<Platform P>
void
Node<P>::OnView()
{
  if (this->receiving || !this->steer.CurrentView().Ready()) {
    return;
  }
  Micros at = SteadyNow();
  this->firstViewAt = this->firstViewAt == 0 ? at : this->firstViewAt;
  if (!this->sync->KnowsDrains() && at - this->firstViewAt < kMaxDrainsWait) {
    return;
  }
  this->receiving = true;
  // The fabric moves flows here now that it finds this instance ready.
  this->steer.OnProcessStart(at);
  event_add(this->readable.get(), nullptr);
}

template<Platform P>
void
Node<P>::OnTick()
{
  this->tickTimer.Start(kTickPeriod);
  Micros at = SteadyNow();
  Micros boot = BootNow();
  Micros elapsed =
    std::max(at - this->lastTickAt, boot - this->lastTickBootTime);
  this->BoundQueueTime();
  this->lastTickAt = at;
  this->lastTickBootTime = boot;
  if (elapsed > kTickPeriod + kPauseThreshold) {
    this->OnProcessPause(elapsed);
  }
  this->now = at;
  this->sync->Tick(at);
  this->OnView();
  this->steer.SetInstanceCount(this->sync->FleetSize(), this->sync->ZoneSize());
  this->steer.SetQuotaHolders(this->sync->QuotaHolders(at),
                              this->sync->QuotaValidUntil());
  spread::OpeningPeers peers = this->sync->FindOpeningPeers(at);
  this->steer.SetOpeningPeers(std::move(peers.addresses), peers.knowsZone);
  this->steer.Tick(at);
  this->DetectSilence();
  this->LogShareChanges();
  this->ReleaseHeld();
  this->CheckSendDelay();
  if (!this->log) {
    this->StartLogAndMetrics();
  }
  if (at - this->lastSettingsCheckAt >= kSettingsCheckPeriod) {
    this->lastSettingsCheckAt = at;
    this->CheckSettings(false);
  }
  if (this->stopping) {
    this->CheckStop();
  }
}

// The event loop polls the socket when a tick is due at the latest, and reads
// what it finds before the tick. A process that is stopped after the poll makes
// the time too late, but by less than kTickPeriod.
template<Platform P>
void
Node<P>::BoundQueueTime()
{
  if (this->polledSinceTick && !this->lastBatchFull) {
    this->socketEmptyAt =
      std::max(this->socketEmptyAt, this->lastTickBootTime + kTickPeriod);
  }
  this->polledSinceTick = this->receiving;
}

template<Platform P>
void
Node<P>::LogShareChanges()
{
  for (const auto& [service, inForce] : this->steer.TakeShareChanges()) {
    LogLine line(inForce ? "shares_in_force" : "shares_not_in_force");
    line.Text("service", service);
    this->Write(line);
  }
}

template<Platform P>
void
Node<P>::OnProcessPause(Micros aDuration)
{
  this->steer.OnProcessPause(SteadyNow());
  this->sync->OnProcessPause();
  LogLine line("paused");
  line.Number("took_ms", aDuration / kMillisecond);
  this->Write(line);
}

template<Platform P>
void
Node<P>::OnStop()
{
  if (this->stopping) {
    return;
  }
  this->stopping = true;
  this->stopRequestedAt = SteadyNow();
  LogLine line("stopping");
  line.Number("flows", static_cast<int64_t>(this->steer.Flows()));
  this->Write(line);
}

// Ends the event loop when the fabric sends no more packets here, or when the
// grace period is nearly over.
template<Platform P>
void
Node<P>::CheckStop()
{
  Micros at = SteadyNow();
  Micros since = at - this->stopRequestedAt;
  bool isQuiet =
    since >= kMinStopTime && at - this->lastPacketAt >= kStopQuietTime;
  auto grace = static_cast<Micros>(this->settings.stop.graceMs * kMillisecond);
  bool graceOver = since >= grace - kStopMargin;
  if (isQuiet || graceOver) {
    event_base_loopbreak(this->base);
  }
}

// Loads the settings file again if it has changed or a signal asks for it.
template<Platform P>
void
Node<P>::CheckSettings(bool aSignalled)
{
  struct stat current
  {};
  if (stat(this->settingsPath.c_str(), &current) != 0) {
    return;
  }
  bool same = current.st_mtim.tv_sec == this->settingsStat.st_mtim.tv_sec &&
              current.st_mtim.tv_nsec == this->settingsStat.st_mtim.tv_nsec &&
              current.st_size == this->settingsStat.st_size &&
              current.st_ino == this->settingsStat.st_ino;
  if (same && !aSignalled) {
    return;
  }
  this->settingsStat = current;
  absl::StatusOr<TaggedSettings> reloaded =
    LoadTaggedSettings(this->settingsPath);
  LogLine line("reload");
  line.Text("outcome", reloaded.ok() ? "in_force" : "refused");
  if (!reloaded.ok()) {
    ++this->reloadsRefused;
    line.Text("problem", reloaded.status().ToString());
    this->Write(line);
    return;
  }
  // Only the grace period and the rate of log lines change. All other settings
  // stay as they were at the start; other processes know this one by its
  // addresses.
  this->settings.stop = reloaded->stop;
  this->settings.log = reloaded->log;
  if (this->log) {
    this->log->SetRate(reloaded->log.linesPerS);
  }
  this->Write(line);
}

template<Platform P>
std::string
Node<P>::Metrics() const
{
  MetricsSource source{ .port = this->port,
                        .steer = this->steer,
                        .handshake = this->handshake,
                        .response = this->response,
                        .servers = this->sync->ServersCounts(),
                        .config = this->sync->ConfigCounts(),
                        .drains = this->sync->DrainsCounts(),
                        .drainsAge = this->sync->DrainsAge(SteadyNow()),
                        .unreadable = this->sync->UnreadableCounts(),
                        .peers = this->sync->Counts(),
                        .log = this->log ? this->log->Counts() : LogCounts{},
                        .viewAge = this->sync->ViewAge(SteadyNow()),
                        .storeEra = this->sync->Era(),
                        .storeReturns = this->sync->Returns(),
                        .reads = this->sync->Reads(),
                        .ready = this->Ready(),
                        .reloadsRefused = this->reloadsRefused };
  return FormatMetrics(source);
}

}
