// Admission of new flows by FlowSteering where the routes of a service have
// shares of its room.
#include "steer/steer.h"

#include <algorithm>

namespace gentianspindle::steer {

bool
FlowSteering::LeadsTo(Endpoint aTarget, std::string_view aService) const
{
  const Route* route = this->view.FindRoute(aTarget);
  if (route == nullptr) {
    return false;
  }
  const std::vector<WeightedService>& services = route->entry.services;
  return std::any_of(
    services.begin(), services.end(), [aService](const WeightedService& aOne) {
      return aOne.service == aService;
    });
}

// The fewer instances there are, the more flows each gets. That is usual then,
// and no burst.
void
FlowSteering::SetInstanceCount(size_t aInstanceCount, size_t aInstancesInZone)
{
  size_t count = std::max<size_t>(1, aInstanceCount);
  double factor =
    static_cast<double>(this->instanceCount) / static_cast<double>(count);
  if (factor != 1) {
    for (auto& [service, admission] : this->admissions) {
      admission.rooms.ScaleRates(factor);
    }
  }
  this->instanceCount = count;
  this->instancesInZone = aInstancesInZone;
}

void
FlowSteering::OnAnswer(ServiceAdmission& aAdmission,
                       const FlowRecord& aRecord,
                       Micros aNow)
{
  RouteRoom* room = aRecord.room;
  Micros responded = aNow - aRecord.requestAt;
  if (room != nullptr) {
    AnswerTime& answer = room->answer;
    answer.AddHandshake(aRecord.handshake);
    Micros atServer = answer.AtServer(responded);
    if (answer.IsRejection(atServer) && aAdmission.rooms.Applies(aNow)) {
      answer.AddRejection(atServer);
      aAdmission.limit.OnRejection(aNow);
      return;
    }
    answer.Add(aNow - aRecord.placedAt, atServer);
  }
  aAdmission.limit.OnResponse(responded, aRecord.latencyTarget, aNow);
}

void
FlowSteering::OnLongFlow(ServerIndex aServer, Micros aNow)
{
  if (this->options.shares.mode == ShareMode::Off) {
    return;
  }
  if (ServiceAdmission* admission = this->AdmissionOf(aServer)) {
    admission->rooms.OnLongFlow(aNow);
  }
}

// A flow within what its route usually places is placed although the service is
// at its limit: others place more than usual, and of them none is placed until
// the limit admits it. While others wait a flow is held even if the limit
// admits it: the next call of Release compares it with them.
Decision
FlowSteering::AdmitByShare(const Packet& aPacket,
                           const Route& aRoute,
                           std::string_view aService,
                           ServiceAdmission& aAdmission,
                           Micros aNow)
{
  using Answer = HoldAdvice::Answer;
  Micros arrivedAt = aNow - aPacket.queueTime;
  RouteRoom& room = aAdmission.rooms.Of(aRoute.entry);
  if (room.queue.OnRetransmission(aPacket, arrivedAt)) {
    return { .action = Action::Drop, .reason = Reason::HeldAgain };
  }
  bool admits = aAdmission.limit.Admits();
  bool withinUsual = room.queue.Size() == 0 && room.WithinUsual();
  if (withinUsual || (admits && aAdmission.rooms.Next(aNow) == nullptr)) {
    return this->Place(aPacket, aRoute, aService, aNow);
  }
  Decision decision{ .action = Action::Reset,
                     .reason = Reason::HoldFull,
                     .openFlows = aAdmission.limit.Open(),
                     .flowLimit = aAdmission.limit.Limit() };
  HoldAdvice advice =
    AdviseHold(room, aPacket, admits ? 0 : room.ExpectedWait(), aNow);
  if (advice.answer != Answer::Hold) {
    decision.reason =
      advice.answer == Answer::TooLate ? Reason::TooLate : Reason::ShareFull;
    return decision;
  }
  bool fits = aAdmission.rooms.Held() < kMaxHeldOpenings &&
              room.queue.Put({ .packet = aPacket,
                               .priority = aRoute.entry.priority,
                               .latencyTarget = aRoute.entry.latencyTarget,
                               .heldAt = aNow,
                               .arrivedAt = arrivedAt,
                               .holdUntil = advice.until });
  if (fits) {
    ++this->heldCount;
    decision.action = Action::Hold;
    decision.reason = Reason::Held;
  }
  return decision;
}

std::optional<ReleasedPacket>
FlowSteering::ReleaseByShare(const std::string& aService,
                             ServiceAdmission& aAdmission,
                             Micros aNow)
{
  RouteRooms& rooms = aAdmission.rooms;
  Decision decision{ .action = Action::Reset, .reason = Reason::RouteRemoved };
  std::optional<HeldOpening> held =
    rooms.TakeUnless([this](const Endpoint& aTarget) {
      return this->view.FindRoute(aTarget) != nullptr;
    });
  if (!held) {
    held = rooms.TakeExpired(aNow);
    decision.reason =
      held && held->holdUntil == 0 ? Reason::HeldTooLong : Reason::ShareFull;
  }
  if (held && !held->IsUsable(aNow)) {
    // The flow may be open through another instance, so it is not reset.
    decision = { .action = Action::Drop, .reason = Reason::OutOfDate };
  }
  if (!held && aAdmission.limit.Admits()) {
    RouteRoom* next = rooms.Next(aNow);
    held = next != nullptr ? next->queue.TakeOldest(aNow) : std::nullopt;
    if (held) {
      decision = this->PlaceHeld(*held, aService, aNow);
    }
  }
  if (!held) {
    return std::nullopt;
  }
  return this->Released(*held, decision, aAdmission, aNow);
}

}
