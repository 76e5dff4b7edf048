// FlowSteering's part in the detection of silent servers: it passes the
// evidence of flows to the detector, and resets the flows of silent servers.
#include "steer/steer.h"

namespace gentianspindle::steer {

namespace {

// Callers of a route with a shorter timeout give up before they could try
// another server with profit.
constexpr Micros kMinUsefulTimeout = 600 * kMillisecond;
// A flow whose last answer is not older than this may wait for the rest of it.
constexpr Micros kMaxAnswerGap = 1 * kSecond;

}

bool
FlowSteering::MayReset(Endpoint aTarget) const
{
  const Route* route = this->view.FindRoute(aTarget);
  bool inTime = route != nullptr && (route->entry.timeout == 0 ||
                                     route->entry.timeout >= kMinUsefulTimeout);
  return inTime && route->entry.repeatable;
}

void
FlowSteering::OnFlowProgress(const ProgressEvent& aEvent,
                             const FlowRecord& aRecord,
                             const Packet& aPacket,
                             Micros aNow)
{
  if (!this->detector.IsOn()) {
    return;
  }
  if (aEvent.answered) {
    this->health[aRecord.server].OnProgress(aNow);
    this->detector.OnProgress(aRecord.server, aNow);
  }
  if (aEvent.responseTime > 0) {
    this->detector.OnResponse(aEvent.responseTime);
  }
  bool useful =
    (aEvent.repeated || aEvent.started) && this->MayReset(aPacket.flow.target);
  if (useful && aEvent.repeated) {
    this->detector.OnEvidence(aRecord.server, Evidence::Repeat, aNow);
  }
  if (useful && aEvent.started) {
    this->requestTimers.push(
      { aPacket.flow, aRecord.progress.requestAt, aNow + kMinOverdue });
  }
}

// Checks the requests that wait for long. An answer that the server gave to
// another flow meanwhile shows that it lives.
void
FlowSteering::CheckRequests(Micros aNow)
{
  while (!this->requestTimers.empty() && this->requestTimers.top().at <= aNow) {
    RequestTimer timer = this->requestTimers.top();
    this->requestTimers.pop();
    auto known = this->flows.find(timer.flow);
    if (known == this->flows.end() ||
        known->second.progress.requestAt != timer.requestAt ||
        !this->SameProcess(known->second)) {
      continue;
    }
    const FlowRecord& record = known->second;
    const ServerHealth& health = this->health[record.server];
    Micros waitsSince =
      std::max(record.progress.requestAt, health.lastProgress);
    Micros overdueAt =
      waitsSince + this->detector.OverdueTime(health.responseMicros);
    if (overdueAt <= aNow) {
      this->detector.OnEvidence(record.server, Evidence::Overdue, aNow);
      overdueAt = aNow + kMinOverdue;
    }
    timer.at = overdueAt;
    this->requestTimers.push(timer);
  }
}

// The packet may itself show an answer, so its progress is tracked before.
bool
FlowSteering::AnswersWithReset(const Packet& aPacket,
                               ServerIndex aServer,
                               Micros aNow)
{
  bool carriesRequest = aPacket.dataBytes > 0 && !aPacket.fin && !aPacket.rst;
  return carriesRequest && this->detector.IsSilent(aServer) &&
         this->MayReset(aPacket.flow.target) &&
         this->detector.ConfirmsSilence(aServer, aNow);
}

void
FlowSteering::ResetFlows(ServerIndex aServer, Micros aNow)
{
  std::vector<FlowId> waiting;
  for (const auto& [flow, record] : this->flows) {
    const FlowProgress& progress = record.progress;
    bool waits =
      progress.requestAt != 0 ||
      (progress.answeredAt != 0 && aNow - progress.answeredAt <= kMaxAnswerGap);
    if (record.server == aServer && !record.opening && waits &&
        this->SameProcess(record) && this->MayReset(flow.target)) {
      waiting.push_back(flow);
      this->resets.push_back({ .flow = flow,
                               .ack = progress.lastAck,
                               .tag = this->view.At(aServer).tag });
    }
  }
  for (const FlowId& flow : waiting) {
    this->Count({ .action = Action::Reset, .reason = Reason::ServerSilent });
    this->Erase(flow, Outcome::Reset);
  }
}

std::vector<Probe>
FlowSteering::TakeProbes(Micros aNow)
{
  std::vector<Probe> probes;
  if (!this->detector.IsOn()) {
    return probes;
  }
  auto mayControl = [this](ServerIndex aServer) {
    return this->view.At(aServer).IsAvailable();
  };
  for (ServerIndex index : this->detector.TakeProbes(aNow, mayControl)) {
    const Server& server = this->view.At(index);
    probes.push_back({ index, server.generation, server.entry.endpoint, aNow });
  }
  return probes;
}

// Only an entry of a routed service can be a server that took the endpoint
// over: any other may be another writer's, and its address the live server's
// own.
bool
FlowSteering::IsEndpointReused(ServerIndex aServer) const
{
  const ServerEntry& entry = this->view.At(aServer).entry;
  for (size_t i = 0; i < this->view.Size(); ++i) {
    const Server& other = this->view.At(static_cast<ServerIndex>(i));
    if (i != aServer && other.registryState == RegistryState::Listed &&
        this->view.IsRouted(other.entry.service) &&
        other.entry.endpoint == entry.endpoint &&
        other.entry.startedAt > entry.startedAt) {
      return true;
    }
  }
  return false;
}

// If another server has taken over the endpoint, its answer shows that the
// suspect one no longer listens there.
void
FlowSteering::OnProbeResult(const Probe& aProbe,
                            ProbeResult aResult,
                            Micros aNow)
{
  this->SyncWithView();
  const Server& server = this->view.At(aProbe.server);
  if (server.generation != aProbe.generation ||
      server.entry.endpoint != aProbe.endpoint) {
    return;
  }
  bool reused =
    aResult == ProbeResult::Connected && this->IsEndpointReused(aProbe.server);
  bool wasSilent = this->detector.IsSilent(aProbe.server);
  this->detector.OnProbeResult(aProbe.server,
                               reused ? ProbeResult::Refused : aResult,
                               aProbe.sentAt,
                               aNow);
  if (wasSilent && !this->detector.IsSilent(aProbe.server)) {
    // The next new flow may try it.
    this->health[aProbe.server].backoffUntil = aNow;
  }
}

void
FlowSteering::OnPeerVerdict(ServerId aId,
                            int64_t aStartedAt,
                            Micros aAt,
                            Micros aNow)
{
  this->SyncWithView();
  ServerIndex index = this->view.FindTag(TagOf(aId));
  if (index == kNoServer) {
    return;
  }
  const ServerEntry& entry = this->view.At(index).entry;
  ServerHealth& health = this->health[index];
  if (entry.id != aId || entry.startedAt != aStartedAt ||
      health.lastProgress >= aAt) {
    return;
  }
  bool hasFlows = health.open > health.opening;
  this->detector.OnPeerVerdict(index, aAt, hasFlows, aNow);
  // With an unanswered opening packet here, it ends the trials for a while.
  if (health.unanswered > 0 && this->detector.HasPeerVerdict(index, aNow)) {
    health.OnVerdict(aNow);
  }
}

}
