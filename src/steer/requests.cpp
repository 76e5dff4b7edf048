// Requests of open flows, and the load that they make.
#include "base/text.h"
#include "steer/steer.h"

namespace gentianspindle::steer {

void
FlowSteering::TrackRequests(const Packet& aPacket,
                            FlowRecord& aRecord,
                            Micros aNow)
{
  if (this->options.byRequests == ByRequests::Never) {
    return;
  }
  RequestProgress progress = aRecord.requests.OnPacket(aPacket, aNow);
  const Endpoint& route = aPacket.flow.target;
  ServerLoad& load = this->health[aRecord.server].load;
  if (!progress.answered && !progress.began) {
    return;
  }
  ServiceLoad& serviceLoad = this->ServiceLoadOf(aRecord.server);
  if (progress.answered) {
    double micros = this->times.ServiceMicros(progress.duration);
    load.OnTime(this->times.OnResponse(route, micros), aNow);
    serviceLoad.busyMicros += micros;
    bool first = aRecord.requests.begun == (progress.began ? 2U : 1U);
    this->laterRequestTime += first ? 0 : progress.duration;
    if (aRecord.busy) {
      aRecord.busy = false;
      load.OnAnswer();
    }
  }
  if (!progress.began) {
    return;
  }
  serviceLoad.OnRequest(aRecord.requests.begun);
  // A placed flow is busy before its first request.
  if (!aRecord.busy) {
    aRecord.busy = true;
    load.OnRequest();
  }
}

PlacementRequest
FlowSteering::RequestFor(const Route& aRoute, std::string_view aService)
{
  PlacementRequest request{ .service = aService,
                            .route = aRoute.entry,
                            .warmupQuota = &this->warmupQuota };
  if (this->options.byRequests == ByRequests::Never) {
    return request;
  }
  const ServiceLoad& load = this->serviceLoads[ToAbsl(aService)];
  request.byRequests =
    this->options.byRequests == ByRequests::Always || load.hasLongFlows;
  request.idleLoad = this->times.IdleLoad();
  request.zoneLoad = load.zoneLoad;
  return request;
}

// Once a period, updates the demand for each service.
void
FlowSteering::UpdateLoads(Micros aNow)
{
  Micros period = aNow - this->loadPeriodStart;
  if (this->options.byRequests == ByRequests::Never || period < kLoadPeriod) {
    return;
  }
  this->loadPeriodStart = aNow;
  uint32_t idle = 0;
  for (auto& [service, load] : this->serviceLoads) {
    uint32_t slots = 0;
    for (ServerIndex index : this->view.ServersOf(service)) {
      const Server& server = this->view.At(index);
      bool counts = server.AcceptsNewFlows() &&
                    server.entry.zone == this->options.placer.zone;
      slots += counts ? server.entry.slots : 0;
      idle += this->health[index].load.idle;
      this->health[index].load.Age();
    }
    load.EndPeriod(period, this->instancesInZone, slots);
  }
  this->times.UpdateIdleLoad(idle, this->laterRequestTime, period);
  this->laterRequestTime = 0;
}

LearnedCapacity
FlowSteering::Capacity() const
{
  LearnedCapacity learned;
  double age = 0;
  for (size_t i = 0; i < this->health.size(); ++i) {
    const ServerLoad& load = this->health[i].load;
    const Server& server = this->view.At(static_cast<ServerIndex>(i));
    if (!load.IsLearned() || !server.AcceptsNewFlows()) {
      continue;
    }
    ++learned.servers;
    learned.slots += server.entry.slots / load.factor;
    age += static_cast<double>(this->loadPeriodStart - load.timedAt) / kSecond;
  }
  learned.meanAgeSeconds =
    learned.servers > 0 ? std::max(0.0, age / learned.servers) : 0;
  return learned;
}

}
