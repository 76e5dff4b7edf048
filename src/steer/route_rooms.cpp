#include "steer/route_rooms.h"

#include <algorithm>

namespace gentianspindle::steer {

namespace {

// Periods that averages cover.
constexpr Micros kRecentPeriod = 1 * kSecond;
constexpr Micros kUsualPeriod = 30 * kSecond;
// While the service is at its limit, what routes usually need is learned this
// many times more slowly: a burst must not earn its route a greater share.
constexpr int kSlowLearning = 20;
// The guarantee and the shares are reviewed this often. The guarantee shrinks
// by a factor while answers are slow, and then grows by a part of the whole.
constexpr Micros kGuaranteePeriod = 200 * kMillisecond;
// More requests than this on open flows, as a part of those on new flows, are
// many.
constexpr double kMaxLaterPart = 0.25;
constexpr double kGuaranteeShrinkFactor = 0.7;
constexpr double kGuaranteeGrowth = 0.02;

double
WeightOf(Micros aElapsed, Micros aPeriod)
{
  return std::min(1.0,
                  static_cast<double>(aElapsed) / static_cast<double>(aPeriod));
}

// Returns how long before this packet the caller sent its opening packet first.
Micros
SentBefore(const Packet& aPacket)
{
  Micros before = aPacket.queueTime;
  size_t steps =
    std::min<size_t>(aPacket.retransmissions, kOpeningIntervals.size() - 1);
  for (size_t i = 0; i < steps; ++i) {
    before += kOpeningIntervals[i];
  }
  return before;
}

void
UpdateAverages(RouteRoom& aRoom, bool aLimited, Micros aElapsed)
{
  aRoom.recent +=
    WeightOf(aElapsed, kRecentPeriod) * (aRoom.open - aRoom.recent);
  // The first samples weigh more, so that a new instance learns at once.
  double weight = WeightOf(aElapsed, kUsualPeriod);
  if (aLimited) {
    weight /= kSlowLearning;
  } else {
    weight = std::max(weight, 1.0 / (1 + aRoom.samples));
    ++aRoom.samples;
  }
  double seconds = static_cast<double>(aElapsed) / kSecond;
  aRoom.usualRate += weight * (aRoom.started / seconds - aRoom.usualRate);
  aRoom.started = 0;
  double usual = kShareMargin * aRoom.UsualFlows();
  double part = usual > 0 ? std::min(1.0, aRoom.certain / usual) : 1;
  double rate = kShareMargin * aRoom.usualRate * part;
  aRoom.tokens = std::min(aRoom.tokens + rate * seconds, 1 + rate);
}

}

void
RouteRooms::ScaleRates(double aFactor)
{
  for (auto& [target, room] : this->rooms) {
    room.usualRate *= aFactor;
  }
}

// The route's part of the room, by Little's law, places one flow in the time of
// an answer divided by the flows that fit.
Micros
RouteRoom::ExpectedWait() const
{
  double fits = std::max(this->share, this->recent);
  if (fits <= 0 || this->answer.Mean() == 0) {
    return 0;
  }
  auto ahead = static_cast<double>(this->queue.Size());
  return static_cast<Micros>((ahead + 1) * this->answer.Mean() / fits);
}

HoldAdvice
AdviseHold(const RouteRoom& aRoom,
           const Packet& aPacket,
           Micros aWait,
           Micros aNow)
{
  using Answer = HoldAdvice::Answer;
  if (aRoom.latencyTarget <= 0) {
    return {};
  }
  Micros longest = std::min(kMaxHoldTime, aRoom.latencyTarget / kHoldDivisor);
  // Placed later, the flow would not be answered in time.
  Micros latest =
    aNow - SentBefore(aPacket) + aRoom.latencyTarget - aRoom.answer.Quantile();
  if (latest <= aNow + aWait) {
    return { .answer = Answer::TooLate };
  }
  if (aWait > longest) {
    return { .answer = Answer::ShareFull };
  }
  return { .until = std::min(aNow + longest, latest) };
}

RouteRoom&
RouteRooms::Of(const RouteEntry& aRoute)
{
  RouteRoom& room = this->rooms.try_emplace(aRoute.endpoint).first->second;
  room.priority = aRoute.priority;
  room.latencyTarget = aRoute.latencyTarget;
  return room;
}

bool
RouteRooms::Applies(Micros aNow) const
{
  if (this->options.mode == ShareMode::Off || this->rooms.size() < 2) {
    return false;
  }
  if (this->options.mode == ShareMode::Always) {
    return true;
  }
  uint32_t first = this->rooms.begin()->second.priority;
  bool differ = std::any_of(
    this->rooms.begin(), this->rooms.end(), [first](const auto& aEntry) {
      return aEntry.second.priority != first;
    });
  return differ && aNow - this->longFlowAt < kLongFlowMemory;
}

void
RouteRooms::Update(const ConcurrencyLimit& aLimit, Micros aNow)
{
  Micros elapsed = aNow - this->updatedAt;
  if (elapsed <= 0) {
    return;
  }
  this->updatedAt = aNow;
  if (elapsed > kRecentPeriod) {
    // The first call, or the process was paused: nothing is known of that time.
    return;
  }
  double seconds = static_cast<double>(elapsed) / kSecond;
  double weight = WeightOf(elapsed, kRecentPeriod);
  uint32_t started = 0;
  for (auto& [target, room] : this->rooms) {
    started += room.started;
    UpdateAverages(room, aLimit.IsLimiting(), elapsed);
  }
  this->firstRate += weight * (started / seconds - this->firstRate);
  this->laterRate += weight * (this->laterRequests / seconds - this->laterRate);
  this->laterRequests = 0;
  if (aNow - this->guaranteedAt >= kGuaranteePeriod) {
    this->guaranteedAt = aNow;
    this->ReviewGuarantee(aLimit, aNow);
    this->Divide(aLimit);
  }
}

// If answers are slow although a burst is refused, the servers do less than
// usual. Then less is placed in any case, the least urgent first, and the limit
// decides on the rest. Rejections don't count here: servers that reject keep
// their queues short themselves. If many requests come on open flows, holding
// new flows would leave the room to those.
void
RouteRooms::ReviewGuarantee(const ConcurrencyLimit& aLimit, Micros aNow)
{
  bool canHold = this->laterRate < kMaxLaterPart * this->firstRate;
  bool slow = aLimit.ResponseFraction() > kTargetResponseFraction;
  if (canHold && this->Applies(aNow) && slow) {
    this->guarantee *= kGuaranteeShrinkFactor;
  } else {
    this->guarantee = std::min(1.0, this->guarantee + kGuaranteeGrowth);
  }
}

void
RouteRooms::Divide(const ConcurrencyLimit& aLimit)
{
  std::vector<RouteNeed> needs;
  double usual = 0;
  for (const auto& [target, room] : this->rooms) {
    needs.push_back({ room.priority, room.UsualFlows() });
    usual += room.UsualFlows();
  }
  double certain = kShareMargin * usual * this->guarantee;
  double all = aLimit.IsLimiting() ? aLimit.Limit() : certain;
  std::vector<double> parts =
    DivideRoom(certain, this->options.leastShare, needs);
  std::vector<double> shares = DivideRoom(all, this->options.leastShare, needs);
  size_t next = 0;
  for (auto& [target, room] : this->rooms) {
    room.certain = parts[next];
    room.share = shares[next];
    room.least =
      all * this->options.leastShare / static_cast<double>(this->rooms.size());
    ++next;
  }
}

RouteRoom*
RouteRooms::Next(Micros aNow)
{
  auto turn = [](const RouteRoom& aRoom) {
    return RouteTurn{ aRoom.priority, aRoom.Used(), aRoom.least, aRoom.share };
  };
  RouteRoom* best = nullptr;
  for (auto& [target, room] : this->rooms) {
    bool waits = room.queue.Size() > 0 && room.queue.HasUsable(aNow);
    if (waits && (best == nullptr || GoesBefore(turn(room), turn(*best)))) {
      best = &room;
    }
  }
  return best;
}

std::optional<HeldOpening>
RouteRooms::TakeExpired(Micros aNow)
{
  for (auto& [target, room] : this->rooms) {
    std::optional<HeldOpening> taken = room.queue.TakeExpired(aNow);
    if (taken) {
      return taken;
    }
  }
  return std::nullopt;
}

size_t
RouteRooms::Held() const
{
  size_t held = 0;
  for (const auto& [target, room] : this->rooms) {
    held += room.queue.Size();
  }
  return held;
}

}
