// What Sync exchanges with other instances: heartbeats, queries about openings
// and views.
#include "tagged/sync.h"

#include <algorithm>
#include <iostream>

namespace gentianspindle::tagged {

void
Sync::StartPeers(event_base* aBase, const TaggedSettings& aSettings)
{
  Endpoint self{ 0, static_cast<uint16_t>(aSettings.peers.port) };
  ParseAddress(aSettings.instance.address, self.address);
  PeerEvents peerEvents;
  peerEvents.onHeartbeat = [this](Address aFrom,
                                  const spread::Heartbeat& aHeartbeat) {
    this->OnHeartbeat(aFrom, aHeartbeat);
  };
  peerEvents.onOpening = [this](Address aFrom, const OpeningMessage& aMessage) {
    this->OnOpening(aFrom, aMessage);
  };
  peerEvents.viewVersion = [this] { return this->CurrentViewVersion(); };
  peerEvents.view = [this](bool aWithServers) {
    return this->CopyView(aWithServers);
  };
  peerEvents.onView = [this](const PeerView& aView, const std::string& aPeer) {
    this->OnPeerView(aView, aPeer);
  };
  absl::StatusOr<std::unique_ptr<Peers>> created =
    Peers::Make(aBase, self, std::move(peerEvents));
  if (!created.ok()) {
    // This instance serves callers without peers then. The error is printed, as
    // the log doesn't exist yet.
    std::cerr << "gentianspindled: continuing without peers: "
              << created.status().message() << std::endl;
    return;
  }
  this->peers = *std::move(created);
}

void
Sync::OnHeartbeat(Address aFrom, const spread::Heartbeat& aHeartbeat)
{
  Micros now = SteadyNow();
  std::vector<steer::ServerChange> newChanges =
    this->spread.OnHeartbeat(aFrom, aHeartbeat, now);
  if (this->spread.Drains().changedPosition !=
      this->view.Drains().changedPosition) {
    this->ApplyDrains(FormatAddress(aFrom));
  }
  this->view.SetStoreBackAt(this->spread.StoreBackAt());
  this->view.PutChanges(newChanges, now);
  if (!newChanges.empty()) {
    this->events.onView();
    this->LogServers(newChanges, FormatAddress(aFrom));
  }
  for (const spread::Verdict& verdict : this->spread.TakeVerdicts()) {
    this->events.onVerdict(verdict);
  }
  this->ExchangeWithPeers(now);
}

void
Sync::OnOpening(Address aFrom, const OpeningMessage& aMessage)
{
  if (const auto* query = std::get_if<steer::OpeningQuery>(&aMessage)) {
    steer::OpeningReply reply = this->events.onOpeningQuery(*query);
    reply.zone = this->ZoneFor(aFrom);
    this->peers->Send({ &aFrom, 1 }, reply);
  } else {
    this->events.onOpeningReply(aFrom, std::get<steer::OpeningReply>(aMessage));
  }
}

// An instance of this zone that this one doesn't know yet is asked by nobody.
// It has started less than kReaderSettleTime ago.
std::optional<std::vector<Address>>
Sync::ZoneFor(Address aAsker) const
{
  spread::OpeningPeers known = this->FindOpeningPeers(SteadyNow());
  if (!known.knowsZone || std::erase(known.sameZone, aAsker) == 0) {
    return std::nullopt;
  }
  return known.sameZone;
}

void
Sync::SendOpeningQuery(const steer::OutgoingOpeningQuery& aQuery)
{
  if (this->peers) {
    this->peers->Send(aQuery.to, aQuery.query);
  }
}

std::optional<ViewVersion>
Sync::CurrentViewVersion() const
{
  if (!this->spread.HasView()) {
    return std::nullopt;
  }
  return ViewVersion{ this->view.Version(),
                      this->spread.Servers().position,
                      this->spread.Drains().changedPosition };
}

PeerView
Sync::CopyView(bool aWithServers) const
{
  PeerView copy;
  copy.config = this->view.CopyConfig();
  copy.configPosition = this->spread.Config().position;
  copy.drains = this->spread.Drains();
  if (aWithServers) {
    copy.serversPosition = this->spread.Servers().position;
    copy.servers = this->view.CopyServers(SteadyNow());
  }
  return copy;
}

// As Replicator::WithEras, for a view.
PeerView
Sync::WithEras(const PeerView& aView) const
{
  PeerView view = aView;
  uint64_t era = this->spread.Servers().position.era;
  view.configPosition.AssumeEra(this->spread.Config().position.era);
  view.drains.position.AssumeEra(this->spread.Drains().position.era);
  view.drains.changedPosition.AssumeEra(this->spread.Drains().position.era);
  if (view.serversPosition.IsKnown()) {
    view.serversPosition.AssumeEra(era);
  }
  for (steer::ServerChange& change : view.servers) {
    change.position.AssumeEra(era);
  }
  return view;
}

void
Sync::OnPeerView(const PeerView& aView, const std::string& aPeer)
{
  if (aView.configPosition.era == 0 && this->spread.Config().position.era > 0) {
    this->OnPeerView(this->WithEras(aView), aPeer);
    return;
  }
  this->peerViewPending = false;
  // The peer's heartbeats say when the store came back.
  this->RecordEra(std::max(aView.configPosition.era, aView.serversPosition.era),
                  aPeer);
  int64_t formerVersion = this->view.Version();
  bool newConfig = this->view.PutConfig(aView.config);
  this->spread.OnPeerConfig(this->view.Version(), aView.configPosition);
  bool newServers = aView.serversPosition > this->spread.Servers().position;
  if (newServers) {
    this->view.PutServers(aView.servers, SteadyNow());
    this->spread.OnPeerServers(aView.serversPosition);
  }
  // This instance watches the store itself, but a peer knew more: the watch's
  // connection may no longer deliver changes.
  if (this->isReader && newConfig) {
    this->config.Reconnect();
  }
  if (this->isReader && newServers) {
    this->servers.Reconnect();
  }
  if (this->view.HasServers()) {
    this->servers.AdvanceTo(this->spread.Servers().position);
  }
  if (this->view.Version() > 0) {
    this->config.AdvanceTo(this->spread.Config().position);
  }
  // The peer does not say when the store confirmed them; a heartbeat does.
  if (this->spread.OnPeerDrains(aView.drains, spread::kNever)) {
    this->ApplyDrains(aPeer);
  }
  this->events.onView();
  LogLine line("view_from_peer");
  line.Text("peer", aPeer)
    .Number("config_version", this->view.Version())
    .Number("former", formerVersion)
    .Number("servers_revision",
            static_cast<int64_t>(this->spread.Servers().position.revision))
    .Text("servers", newServers ? "newer" : "known");
  this->events.log(line);
}

// Sends the heartbeats that are due, and requests a view from a peer that knows
// more.
void
Sync::ExchangeWithPeers(Micros aNow)
{
  if (!this->peers) {
    return;
  }
  for (const spread::OutgoingHeartbeat& outgoing :
       this->spread.TakeHeartbeats(aNow)) {
    this->peers->Send(outgoing.to, outgoing.heartbeat);
  }
  std::optional<spread::ViewRequest> request =
    this->spread.NextViewRequest(aNow);
  if (!request) {
    return;
  }
  this->peers->RequestView(request->peer, request->servers);
  // Restarts the timer: the first list is delayed by kStoreDelayForPeerView
  // from now on, in place of what is left of kStoreDelayAtStart.
  bool mayDelayList = !this->firstListStarted && !this->peerViewPending;
  if (!this->spread.HasView() && mayDelayList) {
    this->peerViewPending = true;
    this->firstListTimer.Start(kStoreDelayForPeerView);
  }
}

}
