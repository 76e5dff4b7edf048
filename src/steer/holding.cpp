// Admission of new flows by FlowSteering: which are held, and when a held one
// is placed or given up.
#include "base/text.h"
#include "steer/steer.h"

namespace gentianspindle::steer {

FlowSteering::ServiceAdmission&
FlowSteering::AdmissionOf(std::string_view aService)
{
  auto known = this->admissions.find(ToAbsl(aService));
  if (known == this->admissions.end()) {
    known = this->admissions.try_emplace(ToAbsl(aService)).first;
    known->second.rooms = RouteRooms(this->options.shares);
  }
  return known->second;
}

FlowSteering::ServiceAdmission*
FlowSteering::AdmissionOf(ServerIndex aServer)
{
  auto admission = this->admissions.find(this->view.At(aServer).entry.service);
  return admission == this->admissions.end() ? nullptr : &admission->second;
}

const ConcurrencyLimit*
FlowSteering::LimitOf(std::string_view aService) const
{
  auto admission = this->admissions.find(ToAbsl(aService));
  return admission == this->admissions.end() ? nullptr
                                             : &admission->second.limit;
}

Decision
FlowSteering::Admit(const Packet& aPacket,
                    const Route& aRoute,
                    std::string_view aService,
                    Micros aNow)
{
  ServiceAdmission& admission = this->AdmissionOf(aService);
  Micros arrivedAt = aNow - aPacket.queueTime;
  if (admission.holdQueue.Size() > 0 &&
      admission.holdQueue.OnRetransmission(aPacket, arrivedAt)) {
    return { .action = Action::Drop, .reason = Reason::HeldAgain };
  }
  if (this->options.hold && admission.rooms.Applies(aNow)) {
    return this->AdmitByShare(aPacket, aRoute, aService, admission, aNow);
  }
  if (!this->options.hold || admission.limit.Admits()) {
    return this->Place(aPacket, aRoute, aService, aNow);
  }
  bool fits =
    admission.holdQueue.Put({ .packet = aPacket,
                              .priority = aRoute.entry.priority,
                              .latencyTarget = aRoute.entry.latencyTarget,
                              .heldAt = aNow,
                              .arrivedAt = arrivedAt });
  if (!fits) {
    return { .action = Action::Reset, .reason = Reason::HoldFull };
  }
  ++this->heldCount;
  return { .action = Action::Hold,
           .reason = Reason::Held,
           .openFlows = admission.limit.Open(),
           .flowLimit = admission.limit.Limit() };
}

std::optional<ReleasedPacket>
FlowSteering::Release(Micros aNow)
{
  this->SyncWithView();
  if (auto expired = this->queries.TakeExpired(aNow)) {
    this->resolvedOpenings.push_back(this->DecideOn(*expired, aNow));
  }
  if (!this->resolvedOpenings.empty()) {
    ReleasedPacket resolved = this->resolvedOpenings.front();
    this->resolvedOpenings.pop_front();
    return resolved;
  }
  if (this->heldCount == 0) {
    return std::nullopt;
  }
  for (auto& [service, admission] : this->admissions) {
    std::optional<ReleasedPacket> released =
      this->ReleaseFrom(service, admission, aNow);
    if (released) {
      --this->heldCount;
      return released;
    }
  }
  return std::nullopt;
}

std::optional<ReleasedPacket>
FlowSteering::ReleaseFrom(const std::string& aService,
                          ServiceAdmission& aAdmission,
                          Micros aNow)
{
  Decision decision{ .action = Action::Reset, .reason = Reason::HeldTooLong };
  std::optional<HeldOpening> held = aAdmission.holdQueue.TakeExpired(aNow);
  if (held && !held->IsUsable(aNow)) {
    // The flow may be open through another instance, so it is not reset.
    decision = { .action = Action::Drop, .reason = Reason::OutOfDate };
  }
  if (!held && aAdmission.limit.Admits()) {
    held = aAdmission.holdQueue.Take(aNow);
    if (held) {
      decision = this->PlaceHeld(*held, aService, aNow);
    }
  }
  if (!held) {
    return this->ReleaseByShare(aService, aAdmission, aNow);
  }
  return this->Released(*held, decision, aAdmission, aNow);
}

Decision
FlowSteering::PlaceHeld(const HeldOpening& aHeld,
                        const std::string& aService,
                        Micros aNow)
{
  if (this->flows.contains(aHeld.packet.flow)) {
    // Placed meanwhile: by another instance, or with another service here.
    return { .action = Action::Drop, .reason = Reason::HeldAgain };
  }
  if (this->closedOpenings.Find(aHeld.packet, aNow)) {
    return { .action = Action::Drop, .reason = Reason::OutOfDate };
  }
  const Route* route = this->view.FindRoute(aHeld.packet.flow.target);
  if (route == nullptr) {
    return { .action = Action::Reset, .reason = Reason::RouteRemoved };
  }
  return this->Place(aHeld.packet, *route, aService, aNow);
}

ReleasedPacket
FlowSteering::Released(const HeldOpening& aHeld,
                       Decision aDecision,
                       const ServiceAdmission& aAdmission,
                       Micros aNow)
{
  aDecision.waited = aNow - aHeld.heldAt;
  aDecision.openFlows = aAdmission.limit.Open();
  aDecision.flowLimit = aAdmission.limit.Limit();
  const Route* route = this->view.FindRoute(aHeld.packet.flow.target);
  return { aHeld.packet, this->Count(aDecision, route) };
}

}
