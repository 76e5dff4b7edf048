// Definitions of Node's functions.
#pragma once

#include "tagged/node.h"

#include <iostream>

namespace gentianspindle::tagged {

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
  , steer({ .placer = { .zone = aSettings.instance.zone,
                        .randomSeed = RandomSeed(aSettings) } })
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
                 P::ParseServersWatch },
    .config = { P::ConfigListPath,
                P::ConfigWatchPath,
                P::ParseConfigList,
                P::ParseConfigWatch },
  };
  SyncEvents events;
  events.onView = [this] { this->OnView(); };
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

template<Platform P>
void
Node<P>::OnReadable()
{
  this->now = SteadyNow();
  this->lastPacketAt = this->now;
  Micros polledAt = BootNow();
  size_t count = this->receiveBatch.Receive(this->socket.Descriptor());
  for (size_t i = 0; i < count; ++i) {
    this->OnDatagram(i);
  }
  this->lastBatchFull = count == kBatchSize;
  this->socketEmptyAt = this->lastBatchFull ? this->socketEmptyAt : polledAt;
  this->SendAll();
  this->ReleaseHeld();
  this->CheckSendDelay();
}

// Returns how long a datagram waited in the socket, or an upper bound if its
// arrival was not recorded: it came after the socket was last known to be
// empty. The bound also limits the error if the time of day was set while it
// waited.
template<Platform P>
Micros
Node<P>::QueueTime(size_t aIndex)
{
  Micros bound = BootNow() - this->socketEmptyAt;
  std::optional<Micros> measured = this->receiveBatch.QueueTime(aIndex);
  this->port.arrivalsUnknown += measured ? 0 : 1;
  return measured ? std::min(*measured, bound) : bound;
}

template<Platform P>
void
Node<P>::OnDatagram(size_t aIndex)
{
  std::span<uint8_t> bytes = this->receiveBatch.At(aIndex);
  ++this->port.packetsIn;
  this->port.bytesIn += bytes.size() - kHeadroom;
  std::optional<steer::Packet> packet = P::Decode(bytes.subspan(kHeadroom));
  if (!packet) {
    ++this->port.badPackets;
    return;
  }
  if (packet->syn) {
    packet->queueTime = this->QueueTime(aIndex);
  }
  steer::Decision decision = this->steer.OnPacket(
    *packet, this->sync->IsConfigFresh(this->now), this->now);
  const steer::LatencySample& sample = this->steer.LastSample();
  if (sample.handshake) {
    this->handshake.Add(sample.duration);
  } else if (sample.response) {
    this->response.Add(sample.duration);
  }
  this->LogDecision(decision, *packet, bytes.subspan(kHeadroom));
  this->ExecuteDecision(decision, *packet, bytes);
}

template<Platform P>
void
Node<P>::ExecuteDecision(const steer::Decision& aDecision,
                         const steer::Packet& aPacket,
                         std::span<uint8_t> aBytes)
{
  if (aDecision.action == steer::Action::Forward) {
    const steer::ServerEntry& server =
      this->steer.CurrentView().At(aDecision.server).entry;
    this->Send(P::Encapsulate(aBytes, aDecision.tag, server.id),
               server.endpoint);
  } else if (aDecision.action == steer::Action::Reset) {
    Endpoint caller = aPacket.flow.caller;
    caller.port = this->callerPort;
    this->Send(P::MakeReset(aPacket, this->sendBatch.NextBuffer()), caller);
  } else if (aDecision.action == steer::Action::Hold) {
    this->held[aPacket.flow].assign(aBytes.begin(), aBytes.end());
  }
}

template<Platform P>
void
Node<P>::ReleaseHeld()
{
  while (std::optional<steer::ReleasedPacket> released =
           this->steer.Release(this->now)) {
    auto bytes = this->held.find(released->packet.flow);
    if (bytes == this->held.end()) {
      continue;
    }
    this->LogDecision(released->decision,
                      released->packet,
                      std::span(bytes->second).subspan(kHeadroom));
    this->ExecuteDecision(released->decision, released->packet, bytes->second);
    // The batch refers to the bytes, so it is sent before they are erased.
    this->SendAll();
    this->held.erase(bytes);
  }
}

template<Platform P>
void
Node<P>::Send(std::span<uint8_t> aBytes, Endpoint aTo)
{
  ++this->port.packetsOut;
  if (!this->sendBatch.Add(aBytes, aTo)) {
    ++this->port.sendFailed;
  }
}

template<Platform P>
void
Node<P>::SendAll()
{
  size_t size = this->sendBatch.Size();
  if (size > 0) {
    this->port.sendFailed +=
      size - this->sendBatch.Send(this->socket.Descriptor());
  }
}

// A process that is stopped between its decisions and the sending forwards
// opening packets later than their records say; their servers could not answer
// meanwhile.
template<Platform P>
void
Node<P>::CheckSendDelay()
{
  Micros sentAt = SteadyNow();
  if (sentAt - this->now > kMaxSendDelay) {
    this->steer.OnSendDelay(this->now, sentAt);
  }
}

// Adds the server's entry, and its health as this instance sees it.
template<Platform P>
void
Node<P>::AddServerFields(LogLine& aLine, steer::ServerIndex aServer) const
{
  const steer::Server& server = this->steer.CurrentView().At(aServer);
  const steer::ServerHealth& health = this->steer.HealthOf(aServer);
  aLine.Text("server", FormatEndpoint(server.entry.endpoint))
    .Text("server_id", absl::StrCat(absl::Hex(server.entry.id)))
    .Number("server_started", server.entry.startedAt)
    .Number("server_revision", static_cast<int64_t>(server.revision))
    .Text("server_zone", server.entry.zone)
    .Number("open", health.open)
    .Number("unanswered", health.unanswered)
    .Number("evidence_age_ms",
            (this->now - health.lastProgress) / kMillisecond);
}

// Logs a decision in one line. Leaves out the packets that are forwarded as
// part of a known flow, except the one with the flow's first request, and the
// flows that sampling leaves out.
template<Platform P>
void
Node<P>::LogDecision(const steer::Decision& aDecision,
                     const steer::Packet& aPacket,
                     std::span<const uint8_t> aBytes)
{
  bool isRoutine =
    aDecision.reason == steer::Reason::Known && !aDecision.firstRequest;
  if (isRoutine || !this->log ||
      !this->log->ShouldLogFlow(absl::HashOf(aPacket.flow), this->now)) {
    return;
  }
  // In the order of steer::Action.
  static constexpr std::array<std::string_view, 4> kActionNames{
    "forward", "reset", "drop", "hold"
  };
  LogLine line("packet");
  line.Text("outcome", kActionNames[static_cast<size_t>(aDecision.action)])
    .Text("reason", steer::ReasonName(aDecision.reason))
    .Text("caller", FormatEndpoint(aPacket.flow.caller))
    .Text("target", FormatEndpoint(aPacket.flow.target))
    .Number("tag", aPacket.tag)
    .Number("config_version", this->steer.CurrentView().Version())
    .Number("view_age_ms", this->sync->ViewAge(this->now) / kMillisecond);
  if (aDecision.firstRequest) {
    line.Text("request", P::RequestId(aBytes));
  }
  if (aDecision.server != steer::kNoServer) {
    this->AddServerFields(line, aDecision.server);
  }
  if (aPacket.syn) {
    line.Number("queued_ms", aPacket.queueTime / kMillisecond)
      .Real("score", aDecision.placement.score)
      .Real("next_score", aDecision.placement.nextScore)
      .Number("candidates", aDecision.placement.candidates)
      .Number("suspects", aDecision.placement.suspects);
  }
  if (aDecision.flowLimit > 0) {
    line.Number("waited_ms", aDecision.waited / kMillisecond)
      .Number("window_open", aDecision.openFlows)
      .Real("window_limit", aDecision.flowLimit);
  }
  this->Write(line);
}

// Starts to receive packets as soon as the first view is complete.
template<Platform P>
void
Node<P>::OnView()
{
  if (this->receiving || !this->steer.CurrentView().Ready()) {
    return;
  }
  this->receiving = true;
  this->firstViewAt = SteadyNow();
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
  this->steer.SetInstanceCount(this->sync->FleetSize());
  this->steer.Tick(at);
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
                        .unreadable = this->sync->UnreadableCounts(),
                        .peers = this->sync->Counts(),
                        .log = this->log ? this->log->Counts() : LogCounts{},
                        .viewAge = this->sync->ViewAge(SteadyNow()),
                        .reads = this->sync->Reads(),
                        .ready = this->Ready(),
                        .reloadsRefused = this->reloadsRefused };
  return FormatMetrics(source);
}

}
