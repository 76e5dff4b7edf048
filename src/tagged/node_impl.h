// Definitions of Node.
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
  , steer({ .placer = { .zone = aSettings.instance.zone } })
  , tick(aBase, [this] { this->OnTick(); })
{
}

// The sockets come first and the log last: callers' packets wait in the
// socket's buffer until the view is there.
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
  Node* self = node.get();
  node->readable.reset(event_new(
    aBase,
    node->socket.Descriptor(),
    EV_READ | EV_PERSIST,
    [](evutil_socket_t, short, void* aNode) {
      static_cast<Node*>(aNode)->OnReadable();
    },
    self));
  node->StartStore();
  if (absl::Status status = node->StartPages(); !status.ok()) {
    return status;
  }
  node->StartSignals();
  node->StartPeers();
  return node;
}

template<Platform P>
void
Node<P>::Run()
{
  this->lastTick = SteadyNow();
  this->lastBoot = BootNow();
  this->tick.Start(kTickTime);
  stat(this->settingsPath.c_str(), &this->settingsStat);
  event_base_dispatch(this->base);
  LogLine line("stopped");
  line.Number("flows", static_cast<int64_t>(this->steer.Flows()))
    .Number("packets", static_cast<int64_t>(this->port.packetsIn));
  this->Write(line);
}

template<Platform P>
absl::Status
Node<P>::StartPages()
{
  absl::StatusOr<std::unique_ptr<Pages>> made = Pages::Make(this->base);
  if (!made.ok()) {
    return made.status();
  }
  this->pages = *std::move(made);
  this->pages->Put(P::kReadyPath, [this](Address /*aCaller*/) {
    return PageAnswer{ this->Ready() ? 200 : 503, "{}" };
  });
  this->pages->Put("/metrics", [this](Address /*aCaller*/) {
    return PageAnswer{ 200, this->Metrics() };
  });
  return this->pages->Listen(EndpointOf(this->settings.ready.listen));
}

template<Platform P>
template<typename C>
FollowerEvents<C>
Node<P>::EventsOf(std::string_view aKind,
                  std::function<void(std::span<const C>)> aOnList,
                  std::function<void(std::span<const C>)> aOnChange)
{
  FollowerEvents<C> events;
  events.onList = std::move(aOnList);
  events.onChanges = std::move(aOnChange);
  events.onLost = [this, aKind](const std::string& aProblem) {
    LogLine line("store_lost");
    line.Text("kind", aKind)
      .Text("store", this->settings.store.address)
      .Text("problem", aProblem)
      .Number("config_version", this->steer.Views().Version());
    this->Write(line);
  };
  events.onBack = [this, aKind](Micros aAway) {
    this->steer.Views().NoteStoreBack(SteadyNow());
    LogLine line("store_back");
    line.Text("kind", aKind).Number("away_ms", aAway / kMillisecond);
    this->Write(line);
  };
  return events;
}

template<Platform P>
void
Node<P>::StartStore()
{
  Endpoint store = EndpointOf(this->settings.store.address);
  Micros wait = this->settings.store.watchMs * kMillisecond;
  auto seed = static_cast<uint32_t>(
    absl::HashOf(this->settings.instance.address, SteadyNow()));
  using Servers = std::span<const steer::ServerChange>;
  using Configs = std::span<const steer::ConfigChange>;
  this->config = std::make_unique<Follower<steer::ConfigChange>>(
    this->base,
    store,
    KindFormat<steer::ConfigChange>{ P::ConfigListPath,
                                     P::ConfigWatchPath,
                                     P::ParseConfigList,
                                     P::ParseConfigWatch },
    FollowerOptions{ .wait = wait },
    this->EventsOf<steer::ConfigChange>(
      "config",
      [this](Configs aList) { this->OnConfig(aList); },
      [this](Configs aChanges) { this->OnConfig(aChanges); }),
    seed);
  this->servers = std::make_unique<Follower<steer::ServerChange>>(
    this->base,
    store,
    KindFormat<steer::ServerChange>{ P::ServersListPath,
                                     P::ServersWatchPath,
                                     P::ParseServersList,
                                     P::ParseServersWatch },
    FollowerOptions{ .wait = wait,
                     .pace = this->settings.store.paceMs * kMillisecond },
    this->EventsOf<steer::ServerChange>(
      "servers",
      [this](Servers aList) { this->OnServers(aList, true); },
      [this](Servers aChanges) { this->OnServers(aChanges, false); }),
    seed + 1);
  this->servers->Start();
  this->config->Start();
}

template<Platform P>
void
Node<P>::StartLog()
{
  this->log = Log::Make(
    this->base, this->settings.instance.name, this->settings.log.linesPerS);
  LogLine line("started");
  line.Text("zone", this->settings.instance.zone)
    .Text("packets", this->settings.fabric.packets)
    .Text("store", this->settings.store.address)
    .Number("view_after_us",
            this->viewAt == 0 ? -1 : this->viewAt - this->startedAt);
  this->Write(line);
  Endpoint listen = EndpointOf(this->settings.ready.listen);
  listen.port = static_cast<uint16_t>(this->settings.metrics.port);
  if (absl::Status status = this->pages->Listen(listen); !status.ok()) {
    // Packets matter more than metrics.
    LogLine problem("metrics_not_served");
    problem.Text("problem", status.ToString());
    this->Write(problem);
  }
}

template<Platform P>
void
Node<P>::StartPeers()
{
  if (this->settings.peers.port == 0) {
    return;
  }
  PeerOptions options;
  ParseAddress(this->settings.instance.address, options.self.address);
  options.self.port = static_cast<uint16_t>(this->settings.peers.port);
  for (const std::string& seed : this->settings.peers.seeds) {
    options.seeds.push_back(EndpointOf(seed).address);
  }
  options.randomSeed =
    static_cast<uint32_t>(absl::HashOf(options.self.address, SteadyNow()));
  PeerEvents events;
  events.digest = [this] {
    return PeerDigest{ this->steer.Views().Version(),
                       this->steer.Views().ServersRevision(),
                       {} };
  };
  events.view = [this] {
    const steer::View& view = this->steer.Views();
    return PeerView{ view.CopyConfig(),
                     view.ServersRevision(),
                     view.CopyServers(SteadyNow()) };
  };
  events.hasView = [this] { return this->steer.Views().Ready(); };
  events.wants = [this](const PeerDigest& aDigest) {
    return this->WantsView(aDigest);
  };
  events.onView = [this](const PeerView& aView, const std::string& aPeer) {
    this->OnPeerView(aView, aPeer);
  };
  absl::StatusOr<std::unique_ptr<Peers>> made =
    Peers::Make(this->base, options, std::move(events));
  if (!made.ok()) {
    // Callers are served without peers.
    std::cerr << "gentianspindled: " << made.status().message() << std::endl;
    return;
  }
  this->peers = *std::move(made);
}

// Our own watches normally tell first. Where a peer stays ahead they are
// silent, or the store turns this instance away.
template<Platform P>
bool
Node<P>::WantsView(const PeerDigest& aDigest)
{
  bool oldConfig = aDigest.configVersion > this->steer.Views().Version();
  bool oldServers = aDigest.serversRevision > this->KnownRevision();
  if (!oldConfig && !oldServers) {
    this->behindSince = 0;
    return false;
  }
  Micros at = SteadyNow();
  if (this->behindSince == 0) {
    this->behindSince = at;
  }
  bool lost = this->config->Lost() || this->servers->Lost();
  return lost || at - this->behindSince >= kBehindTime;
}

template<Platform P>
void
Node<P>::OnPeerView(const PeerView& aView, const std::string& aPeer)
{
  Micros at = SteadyNow();
  steer::View& view = this->steer.Views();
  bool newConfig = view.PutConfig(aView.config);
  bool newServers =
    aView.serversRevision > this->KnownRevision() || !view.HasServers();
  if (newServers) {
    view.PutServers(aView.servers, at);
    this->peerRevision = aView.serversRevision;
  }
  this->OnView();
  if (newConfig && !this->config->Lost()) {
    this->config->Restart();
  }
  if (newServers && !this->servers->Lost()) {
    this->servers->Restart();
  }
  this->behindSince = 0;
  LogLine line("view_from_peer");
  line.Text("peer", aPeer)
    .Number("config_version", view.Version())
    .Text("config", newConfig ? "newer" : "known")
    .Number("servers_revision", static_cast<int64_t>(aView.serversRevision))
    .Text("servers", newServers ? "newer" : "known");
  this->Write(line);
}

template<Platform P>
void
Node<P>::StartSignals()
{
  auto add = [this](int aSignal, event_callback_fn aCall) {
    this->signals.emplace_back(evsignal_new(this->base, aSignal, aCall, this));
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
  this->lastPacket = this->now;
  size_t count = this->received.Receive(this->socket.Descriptor());
  for (size_t i = 0; i < count; ++i) {
    this->OnDatagram(this->received.At(i));
  }
  this->SendAll();
  this->ReleaseHeld();
}

template<Platform P>
void
Node<P>::OnDatagram(std::span<uint8_t> aBytes)
{
  ++this->port.packetsIn;
  this->port.bytesIn += aBytes.size() - kHeadroom;
  std::optional<steer::Packet> packet = P::Decode(aBytes.subspan(kHeadroom));
  if (!packet) {
    ++this->port.badPackets;
    return;
  }
  steer::Decision decision =
    this->steer.OnPacket(*packet, this->Fresh(), this->now);
  const steer::Sample& sample = this->steer.LastSample();
  if (sample.handshake) {
    this->handshake.Add(sample.took);
  } else if (sample.response) {
    this->response.Add(sample.took);
  }
  this->LogDecision(decision, *packet, aBytes.subspan(kHeadroom));
  this->CarryOut(decision, *packet, aBytes);
}

template<Platform P>
void
Node<P>::CarryOut(const steer::Decision& aDecision,
                  const steer::Packet& aPacket,
                  std::span<uint8_t> aBytes)
{
  if (aDecision.action == steer::Action::Forward) {
    const steer::ServerEntry& server =
      this->steer.Views().At(aDecision.server).entry;
    this->Send(P::Wrap(aBytes, aDecision.tag, server.id), server.endpoint);
  } else if (aDecision.action == steer::Action::Reset) {
    Endpoint caller = aPacket.flow.caller;
    caller.port = this->callerPort;
    this->Send(P::MakeReset(aPacket, this->sending.Room()), caller);
  } else if (aDecision.action == steer::Action::Hold) {
    this->held[aPacket.flow].assign(aBytes.begin(), aBytes.end());
  }
}

template<Platform P>
void
Node<P>::ReleaseHeld()
{
  while (std::optional<steer::Released> released =
           this->steer.Release(this->now)) {
    auto bytes = this->held.find(released->packet.flow);
    if (bytes == this->held.end()) {
      continue;
    }
    this->LogDecision(released->decision,
                      released->packet,
                      std::span(bytes->second).subspan(kHeadroom));
    this->CarryOut(released->decision, released->packet, bytes->second);
    // The batch points at the bytes.
    this->SendAll();
    this->held.erase(bytes);
  }
}

template<Platform P>
void
Node<P>::Send(std::span<uint8_t> aBytes, Endpoint aTo)
{
  ++this->port.packetsOut;
  if (!this->sending.Add(aBytes, aTo)) {
    ++this->port.sendFailed;
  }
}

template<Platform P>
void
Node<P>::SendAll()
{
  size_t size = this->sending.Size();
  if (size > 0) {
    this->port.sendFailed +=
      size - this->sending.Send(this->socket.Descriptor());
  }
}

// The server, and what this instance knows of it.
template<Platform P>
void
Node<P>::AddServer(LogLine& aLine, steer::ServerIndex aServer) const
{
  const steer::Server& server = this->steer.Views().At(aServer);
  const steer::Evidence& evidence = this->steer.EvidenceOf(aServer);
  aLine.Text("server", FormatEndpoint(server.entry.endpoint))
    .Text("server_id", absl::StrCat(absl::Hex(server.entry.id)))
    .Number("server_started", server.entry.startedAt)
    .Number("server_revision", static_cast<int64_t>(server.revision))
    .Text("server_zone", server.entry.zone)
    .Number("open", evidence.open)
    .Number("unanswered", evidence.unanswered)
    .Number("evidence_age_ms",
            (this->now - evidence.lastProgress) / kMillisecond);
}

// One line a decision; packets of a known flow only where they carry its
// first request, or where something is wrong.
template<Platform P>
void
Node<P>::LogDecision(const steer::Decision& aDecision,
                     const steer::Packet& aPacket,
                     std::span<const uint8_t> aBytes)
{
  bool plain =
    aDecision.reason == steer::Reason::Known && !aDecision.firstRequest;
  if (plain || !this->log ||
      !this->log->TakesFlow(absl::HashOf(aPacket.flow), this->now)) {
    return;
  }
  static constexpr std::array<std::string_view, 4> kActions{
    "forward", "reset", "drop", "hold"
  };
  LogLine line("packet");
  line.Text("outcome", kActions[static_cast<size_t>(aDecision.action)])
    .Text("reason", steer::ReasonName(aDecision.reason))
    .Text("caller", FormatEndpoint(aPacket.flow.caller))
    .Text("target", FormatEndpoint(aPacket.flow.target))
    .Number("tag", aPacket.tag)
    .Number("config_version", this->steer.Views().Version())
    .Number("view_age_ms",
            (this->now - this->servers->ConfirmedAt()) / kMillisecond);
  if (aDecision.firstRequest) {
    line.Text("request", P::RequestId(aBytes));
  }
  if (aDecision.server != steer::kNoServer) {
    this->AddServer(line, aDecision.server);
  }
  if (aPacket.syn) {
    line.Real("score", aDecision.choice.score)
      .Real("next_score", aDecision.choice.nextScore)
      .Number("candidates", aDecision.choice.candidates)
      .Number("suspects", aDecision.choice.suspects);
  }
  if (aDecision.windowLimit > 0) {
    line.Number("waited_ms", aDecision.waited / kMillisecond)
      .Number("window_open", aDecision.windowOpen)
      .Real("window_limit", aDecision.windowLimit);
  }
  this->Write(line);
}

template<Platform P>
void
Node<P>::OnServers(std::span<const steer::ServerChange> aChanges, bool aList)
{
  Micros at = SteadyNow();
  steer::View& view = this->steer.Views();
  if (aList) {
    view.PutServers(aChanges, at);
  } else {
    for (const steer::ServerChange& change : aChanges) {
      view.PutServer(change, at);
    }
  }
  this->OnView();
  for (const steer::ServerChange& change : aChanges) {
    LogLine line("server");
    line.Text("id", change.name)
      .Number("revision", static_cast<int64_t>(change.revision))
      .Text("state",
            change.removed           ? "removed"
            : !change.entry          ? "unreadable"
            : change.entry->draining ? "draining"
                                     : "ready");
    this->Write(line);
  }
}

template<Platform P>
void
Node<P>::OnConfig(std::span<const steer::ConfigChange> aChanges)
{
  for (const steer::ConfigChange& change : aChanges) {
    if (change.removed || !change.config) {
      LogLine line("config_unreadable");
      line.Text("name", change.name)
        .Number("revision", static_cast<int64_t>(change.revision));
      this->Write(line);
      continue;
    }
    int64_t before = this->steer.Views().Version();
    if (this->steer.Views().PutConfig(*change.config)) {
      this->OnView();
      LogLine line("config");
      line.Number("version", change.config->version)
        .Number("former", before)
        .Number("revision", static_cast<int64_t>(change.revision))
        .Number("routes", static_cast<int64_t>(this->steer.Views().Routes()));
      this->Write(line);
    }
  }
}

// The first complete view opens the packet path.
template<Platform P>
void
Node<P>::OnView()
{
  if (this->reading || !this->steer.Views().Ready()) {
    return;
  }
  this->reading = true;
  this->viewAt = SteadyNow();
  event_add(this->readable.get(), nullptr);
}

template<Platform P>
bool
Node<P>::Fresh() const
{
  Micros bound =
    this->settings.store.watchMs * kMillisecond + kWatchSlack + kSecond;
  return !this->config->Lost() &&
         this->now - this->config->ConfirmedAt() < bound;
}

template<Platform P>
void
Node<P>::OnTick()
{
  this->tick.Start(kTickTime);
  Micros at = SteadyNow();
  Micros boot = BootNow();
  Micros took = std::max(at - this->lastTick, boot - this->lastBoot);
  this->lastTick = at;
  this->lastBoot = boot;
  if (took > kTickTime + kPauseTime) {
    this->OnPause(took);
  }
  this->now = at;
  this->steer.SetInstances(this->peers ? this->peers->Known() + 1 : 1);
  this->steer.Tick(at);
  this->ReleaseHeld();
  if (!this->log) {
    this->StartLog();
  }
  if (at - this->lastSettingsCheck >= kSettingsCheckTime) {
    this->lastSettingsCheck = at;
    this->CheckSettings(false);
  }
  if (this->stopping) {
    this->CheckStop();
  }
}

template<Platform P>
void
Node<P>::OnPause(Micros aTook)
{
  this->steer.OnPause(SteadyNow());
  this->servers->Restart();
  this->config->Restart();
  LogLine line("paused");
  line.Number("took_ms", aTook / kMillisecond);
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
  this->stopAt = SteadyNow();
  LogLine line("stopping");
  line.Number("flows", static_cast<int64_t>(this->steer.Flows()));
  this->Write(line);
}

// Packets are served until the fabric hands no more of them over.
template<Platform P>
void
Node<P>::CheckStop()
{
  Micros at = SteadyNow();
  Micros since = at - this->stopAt;
  bool quiet = since >= kLeastStop && at - this->lastPacket >= kQuietStop;
  bool over = since >= this->settings.stop.graceMs * kMillisecond - kStopMargin;
  if (quiet || over) {
    event_base_loopbreak(this->base);
  }
}

template<Platform P>
void
Node<P>::CheckSettings(bool aSignalled)
{
  struct stat seen
  {};
  if (stat(this->settingsPath.c_str(), &seen) != 0) {
    return;
  }
  bool same = seen.st_mtim.tv_sec == this->settingsStat.st_mtim.tv_sec &&
              seen.st_mtim.tv_nsec == this->settingsStat.st_mtim.tv_nsec &&
              seen.st_size == this->settingsStat.st_size &&
              seen.st_ino == this->settingsStat.st_ino;
  if (same && !aSignalled) {
    return;
  }
  this->settingsStat = seen;
  absl::StatusOr<TaggedSettings> next = LoadTaggedSettings(this->settingsPath);
  LogLine line("reload");
  line.Text("outcome", next.ok() ? "in_force" : "refused");
  if (!next.ok()) {
    line.Text("problem", next.status().ToString());
    this->Write(line);
    return;
  }
  // Addresses are those of the start; they name this process to others.
  this->settings.stop = next->stop;
  this->settings.log = next->log;
  if (this->log) {
    this->log->SetRate(next->log.linesPerS);
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
                        .servers = this->servers->Counts(),
                        .config = this->config->Counts(),
                        .peers =
                          this->peers ? this->peers->Counts() : PeerCounts{},
                        .log = this->log ? this->log->Counts() : LogCounts{},
                        .viewAge = SteadyNow() - this->servers->ConfirmedAt(),
                        .ready = this->Ready() };
  return FormatMetrics(source);
}

}
