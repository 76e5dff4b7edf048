// Admission of new flows by FlowSteering: which are held, and when a held one
// is placed or given up.
#include "base/text.h"
#include "steer/steer.h"

namespace gentianspindle::steer {

FlowSteering::ServiceAdmission&
FlowSteering::AdmissionOf(std::string_view aService)
{
  return this->admissions.try_emplace(ToAbsl(aService)).first->second;
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
  if (!this->options.hold || admission.limit.Admits()) {
    Decision decision = this->Place(aPacket, aRoute, aService, kNoServer, aNow);
    decision.mayRace = decision.action == Action::Forward &&
                       this->PlanRace(aPacket, aRoute, decision.server, aNow);
    return decision;
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
  if (!held) {
    if (!aAdmission.limit.Admits()) {
      return std::nullopt;
    }
    held = aAdmission.holdQueue.Take(aNow);
    if (!held) {
      return std::nullopt;
    }
    const Route* route = this->view.FindRoute(held->packet.flow.target);
    decision.reason = Reason::RouteRemoved;
    if (this->flows.contains(held->packet.flow)) {
      // Placed meanwhile: by another instance, or with another service here.
      decision = { .action = Action::Drop, .reason = Reason::HeldAgain };
    } else if (route != nullptr) {
      decision = this->Place(held->packet, *route, aService, kNoServer, aNow);
    }
  }
  decision.waited = aNow - held->heldAt;
  decision.openFlows = aAdmission.limit.Open();
  decision.flowLimit = aAdmission.limit.Limit();
  return ReleasedPacket{ held->packet, this->Count(decision) };
}

}
