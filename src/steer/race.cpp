#include "steer/race.h"

#include "steer/steer.h"

namespace gentianspindle::steer {

namespace {

constexpr double kQuantile = 0.99;
// Relative change of the estimate with a sample above it. Samples below it
// change it by less, so that it stays where kQuantile of them are below.
constexpr double kStep = 0.05;
constexpr uint32_t kMinHandshakes = 50;
// An answer may be a little later than the percentile.
constexpr double kDelayFactor = 2;
constexpr Micros kMinDelay = 15 * kMillisecond;
// The second answer must come before the caller repeats its opening packet.
constexpr Micros kMaxDelay = 100 * kMillisecond;
// Bounds the memory; further openings get no second one.
constexpr size_t kMaxTimers = 256;

}

bool
RaceBudget::Take()
{
  // Sums of shares are not exact.
  constexpr double kTolerance = 1e-9;
  if (this->tokens < 1 - kTolerance) {
    return false;
  }
  this->tokens -= 1;
  return true;
}

void
HandshakeTimes::Add(Micros aDuration)
{
  auto duration = static_cast<double>(aDuration);
  if (this->count == 0) {
    this->quantile = std::max(1.0, duration);
  }
  if (duration > this->quantile) {
    this->AddLate();
    return;
  }
  this->count = std::min(this->count + 1, kMinHandshakes);
  this->quantile *= 1 - kStep * (1 - kQuantile);
}

void
HandshakeTimes::AddLate()
{
  this->count = std::min(this->count + 1, kMinHandshakes);
  this->quantile = std::min(this->quantile * (1 + kStep * kQuantile),
                            static_cast<double>(kMaxDelay));
}

Micros
HandshakeTimes::Delay() const
{
  if (this->count < kMinHandshakes) {
    return 0;
  }
  return std::clamp(
    static_cast<Micros>(kDelayFactor * this->quantile), kMinDelay, kMaxDelay);
}

HandshakeTimes&
FlowSteering::HandshakesOf(ServerIndex aServer)
{
  bool local = this->view.At(aServer).entry.zone == this->options.placer.zone;
  return local ? this->localHandshakes : this->remoteHandshakes;
}

bool
FlowSteering::PlanRace(const Packet& aPacket,
                       const Route& aRoute,
                       ServerIndex aServer,
                       Micros aNow)
{
  if (!this->raceBudget.IsOn() || !aRoute.entry.repeatable) {
    return false;
  }
  this->raceBudget.OnOpening();
  Micros delay = this->HandshakesOf(aServer).Delay();
  if (delay == 0 || aPacket.retransmissions > 0 ||
      this->raceTimers.size() >= kMaxTimers) {
    return false;
  }
  this->raceTimers.push({ aNow + delay, aNow, aPacket });
  return true;
}

// A server without a free slot or in its warm-up would answer the opening
// packet at once, and the request late. One with an open handshake may be
// silent too. The placer chooses a suspect server if there is no other, so it
// is left out here.
ServerIndex
FlowSteering::ChooseSecond(const Packet& aPacket,
                           const FlowRecord& aRecord,
                           Micros aNow)
{
  const Route* route = this->view.FindRoute(aPacket.flow.target);
  if (route == nullptr || !route->entry.repeatable) {
    return kNoServer;
  }
  std::string_view service = PickService(*route, aPacket.flow);
  if (this->AdmissionOf(service).limit.IsLimiting()) {
    return kNoServer;
  }
  Placement placement =
    this->placer.ChooseServer(this->view,
                              this->health,
                              this->RequestFor(*route, service, aRecord.server),
                              aNow);
  if (placement.server == kNoServer) {
    return kNoServer;
  }
  const Server& server = this->view.At(placement.server);
  const ServerHealth& health = this->health[placement.server];
  bool mayGet = health.unanswered == 0 && aNow >= server.warmupUntil &&
                health.opening == 0 && health.open < server.entry.slots;
  return mayGet ? placement.server : kNoServer;
}

// A server that is silent for the delay becomes suspect at once, also without a
// second opening: waiting for kHandshakeTimeout would send it more flows.
std::optional<SecondOpening>
FlowSteering::TakeRace(Micros aNow)
{
  while (!this->raceTimers.empty() && this->raceTimers.top().at <= aNow) {
    RaceTimer timer = this->raceTimers.top();
    this->raceTimers.pop();
    auto known = this->flows.find(timer.packet.flow);
    bool waits = known != this->flows.end() && known->second.opening &&
                 known->second.sentAt == timer.sentAt &&
                 this->SameProcess(known->second);
    Micros age = aNow - timer.sentAt + timer.packet.queueTime;
    if (!waits || age >= UsableTime(timer.packet)) {
      continue;
    }
    this->SuspectServer(known->second, aNow);
    ServerIndex second = this->ChooseSecond(timer.packet, known->second, aNow);
    if (second == kNoServer) {
      continue;
    }
    if (!this->raceBudget.Take()) {
      ++this->raceCounts.refused;
      continue;
    }
    return this->Race(timer.packet, known->second, second, aNow);
  }
  return std::nullopt;
}

// The flow's record has the second server from now on. The first one is among
// the earlier ones, to which the flow may still open.
SecondOpening
FlowSteering::Race(const Packet& aPacket,
                   FlowRecord& aRecord,
                   ServerIndex aSecond,
                   Micros aNow)
{
  ServerIndex first = aRecord.server;
  Micros waited = aNow - aRecord.sentAt;
  this->HandshakesOf(first).AddLate();
  this->MoveTo(aSecond, aRecord);
  std::rotate(
    aRecord.earlier.begin(), aRecord.earlier.end() - 1, aRecord.earlier.end());
  aRecord.earlier.front() = first;
  aRecord.second = aSecond;
  aRecord.sentAt = aNow;
  aRecord.suspected = false;
  this->handshakeTimers.push_back({ aPacket.flow, aNow });
  ++this->raceCounts.raced;
  return { .packet = aPacket,
           .server = aSecond,
           .first = first,
           .tag = this->view.At(aSecond).tag,
           .waited = waited };
}

void
FlowSteering::CountRace(const FlowRecord& aRecord)
{
  if (aRecord.second != kNoServer) {
    bool won = !aRecord.opening && aRecord.server == aRecord.second;
    ++(won ? this->raceCounts.won : this->raceCounts.wasted);
  }
}

}
