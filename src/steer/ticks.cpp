// Periodic work of FlowSteering: timers of flows, and the floors of the limits.
#include "steer/steer.h"

#include <algorithm>

namespace gentianspindle::steer {

// Returns the floor of a service's limit: 3/4 of this instance's share of the
// slots that take new flows, and at least 1. With it a wrong estimate of the
// queues cannot block the service.
double
FlowSteering::FlowLimitFloor(std::string_view aService) const
{
  uint32_t slots = 0;
  for (ServerIndex index : this->view.ServersOf(aService)) {
    const Server& server = this->view.At(index);
    slots += server.AcceptsNewFlows() ? server.entry.slots : 0;
  }
  auto instanceCount =
    static_cast<double>(std::max<size_t>(1, this->instanceCount));
  return std::max(1.0, kFloorFraction * slots / instanceCount);
}

void
FlowSteering::UpdateRooms(std::string_view aService,
                          ServiceAdmission& aAdmission,
                          Micros aNow)
{
  if (!aAdmission.rooms.IsUsed()) {
    return;
  }
  const ConcurrencyLimit& limit = aAdmission.limit;
  aAdmission.rooms.Update(limit, aNow);
  aAdmission.rooms.ForgetUnless(
    [&](const Endpoint& aTarget) { return this->LeadsTo(aTarget, aService); });
  bool inForce = limit.IsLimiting() && aAdmission.rooms.Applies(aNow);
  if (inForce != aAdmission.sharesInForce) {
    aAdmission.sharesInForce = inForce;
    this->shareChanges.emplace_back(std::string(aService), inForce);
  }
}

// Sets the floors of the limits, and stops counting flows that were placed
// kCountedLatencyTargets times their latency target ago.
void
FlowSteering::UpdateLimits(Micros aNow)
{
  for (auto& [service, admission] : this->admissions) {
    admission.limit.SetFloor(this->FlowLimitFloor(service));
    this->UpdateRooms(service, admission, aNow);
    while (!admission.counted.empty() && admission.counted.front().at <= aNow) {
      auto known = this->flows.find(admission.counted.front().flow);
      // The timer may belong to an earlier flow with the same ends.
      bool expired = known != this->flows.end() &&
                     known->second.placedAt +
                         kCountedLatencyTargets * known->second.latencyTarget <=
                       aNow;
      if (expired) {
        this->ReleaseFromLimit(known->second);
      }
      admission.counted.pop_front();
    }
  }
}

void
FlowSteering::Tick(Micros aNow)
{
  this->view.Tick(aNow);
  this->SyncWithView();
  this->warmupQuota.Tick(this->view, aNow);
  while (!this->handshakeTimers.empty() &&
         aNow - this->handshakeTimers.front().at >= kHandshakeTimeout) {
    FlowTimer timer = this->handshakeTimers.front();
    this->handshakeTimers.pop_front();
    auto known = this->flows.find(timer.flow);
    bool open = known != this->flows.end() && known->second.opening &&
                known->second.sentAt == timer.at;
    if (open) {
      this->SuspectServer(known->second, aNow);
    }
  }
  this->CheckRequests(aNow);
  for (ServerIndex server : this->detector.Tick(aNow)) {
    this->health[server].OnVerdict(aNow);
    this->ResetFlows(server, aNow);
  }
  this->ExpireFlows(aNow);
  this->closedOpenings.Expire(aNow);
  this->UpdateLimits(aNow);
  this->UpdateLoads(aNow);
}

void
FlowSteering::ExpireFlows(Micros aNow)
{
  while (!this->idleTimers.empty() && this->idleTimers.front().at <= aNow) {
    FlowTimer timer = this->idleTimers.front();
    this->idleTimers.pop_front();
    auto known = this->flows.find(timer.flow);
    if (known == this->flows.end()) {
      continue;
    }
    Micros quietAt = known->second.lastPacketAt + kQuietTime;
    if (quietAt <= aNow) {
      this->Erase(timer.flow, Outcome::Expired);
    } else {
      this->idleTimers.push_back({ timer.flow, quietAt });
    }
  }
}

void
FlowSteering::OnSendDelay(Micros aPlacedFrom, Micros aSentAt)
{
  this->warmupQuota.OnSendDelay(aPlacedFrom, aSentAt);
  for (auto timer = this->handshakeTimers.rbegin();
       timer != this->handshakeTimers.rend() && timer->at >= aPlacedFrom;
       ++timer) {
    auto known = this->flows.find(timer->flow);
    // The timer may belong to an earlier flow with the same ends.
    if (known != this->flows.end() && known->second.sentAt == timer->at) {
      known->second.sentAt = aSentAt;
      known->second.lastSentAt = aSentAt;
    }
    timer->at = aSentAt;
  }
}

void
FlowSteering::OnProcessPause(Micros aNow)
{
  for (FlowTimer& timer : this->handshakeTimers) {
    auto known = this->flows.find(timer.flow);
    if (known != this->flows.end()) {
      known->second.suspected = true;
    }
  }
  this->handshakeTimers.clear();
  this->requestTimers = {};
  this->queries.OnPause(aNow);
  this->detector.OnProcessPause();
  for (ServerHealth& health : this->health) {
    health.backoffUntil = std::min(health.backoffUntil, aNow);
  }
}

}
