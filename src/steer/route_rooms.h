// The routes of one service, for admission by shares: which of them may place a
// flow next, and whether a caller can still be answered in time or is refused
// at once.
#pragma once

#include "steer/admission.h"
#include "steer/answer_time.h"
#include "steer/hold_queue.h"
#include "steer/shares.h"

#include "absl/container/node_hash_map.h"

namespace gentianspindle::steer {

// Shares are in force this long after a long flow was last seen.
constexpr Micros kLongFlowMemory = 60 * kSecond;
// A caller is held for its latency target divided by this at the longest; the
// rest leaves time for an attempt through another instance.
constexpr int kHoldDivisor = 4;

// When the routes of a service have shares of its room.
enum class ShareMode : uint8_t
{
  Off,
  // While routes of different priority share the service and some of its flows
  // carry several requests. Those requests can't be held, so a burst of them
  // would have only the other routes' flows held.
  LongFlows,
  Always, // if more than one route shares the service
};

struct ShareOptions
{
  ShareMode mode = ShareMode::Off;
  // Part of a service's room that its routes have for certain, in equal parts.
  double leastShare = 0.1;
};

// Flows that count against the limit, and openings that wait for it, of one
// route to one service.
struct RouteRoom
{
  uint32_t priority = 0;
  Micros latencyTarget = 0;
  uint32_t open = 0;
  double recent = 0;    // average of open over about the last second
  uint32_t started = 0; // flows placed since the last update
  double usualRate = 0; // flows placed a second while there was room
  uint32_t samples = 0; // of usualRate
  // Flows that may be placed although the service is at its limit.
  double tokens = 0;
  double certain = 0; // flows that may be open whatever the limit says
  // Share of the limit, and what the route has of it at the least.
  double share = 0;
  double least = 0;
  AnswerTime answer;
  HoldQueue queue;

  void OnStart()
  {
    ++this->open;
    ++this->started;
    this->tokens = this->tokens < 1 ? 0 : this->tokens - 1;
  }
  void OnEnd() { this->open -= this->open > 0 ? 1 : 0; }
  // Part of the room that the route has. The present counts too, as several
  // openings may be placed between two updates of the average.
  double Used() const { return (this->recent + this->open) / 2; }
  // Returns whether one more flow is within what the route usually places.
  bool WithinUsual() const { return this->tokens >= 1; }
  // Flows that are open at the usual rate while answers take as long as now.
  double UsualFlows() const
  {
    return this->usualRate * this->answer.Mean() / kSecond;
  }
  // Time until one more held opening is expected to be placed.
  Micros ExpectedWait() const;
};

// What becomes of an opening that finds no room.
struct HoldAdvice
{
  enum class Answer : uint8_t
  {
    Hold,
    TooLate,   // it can't be answered within the latency target
    ShareFull, // too many openings of the route wait for its share
  };
  Answer answer = Answer::Hold;
  Micros until = 0; // when the caller is to be refused; 0: after kMaxHoldTime
};

// Returns what becomes of an opening that came at aNow and would have to wait
// for aWait.
HoldAdvice
AdviseHold(const RouteRoom& aRoom,
           const Packet& aPacket,
           Micros aWait,
           Micros aNow);

class RouteRooms
{
public:
  explicit RouteRooms(const ShareOptions& aOptions = {})
    : options(aOptions)
  {
  }

  // Returns the route's room, with the figures of its present entry. It keeps
  // its address until ForgetUnless.
  RouteRoom& Of(const RouteEntry& aRoute);
  // A flow of the service carried a second request.
  void OnLongFlow(Micros aNow)
  {
    this->longFlowAt = aNow;
    ++this->laterRequests;
  }

  bool IsUsed() const { return this->options.mode != ShareMode::Off; }
  // Returns whether new flows are admitted by shares, as the mode says.
  bool Applies(Micros aNow) const;
  // This instance gets aFactor times the flows that it got before.
  void ScaleRates(double aFactor);
  // Updates averages and shares.
  void Update(const ConcurrencyLimit& aLimit, Micros aNow);
  // Forgets the routes for which aLeads is false, once they have no flow and no
  // held opening.
  template<typename F>
  void ForgetUnless(F aLeads)
  {
    absl::erase_if(this->rooms, [&](const auto& aEntry) {
      const RouteRoom& room = aEntry.second;
      bool idle = room.open == 0 && room.queue.Size() == 0;
      return idle && !aLeads(aEntry.first);
    });
  }

  // Returns the route whose opening is to be placed next, or null.
  RouteRoom* Next(Micros aNow);
  // Takes out a held opening whose time has ended.
  std::optional<HeldOpening> TakeExpired(Micros aNow);
  // Takes out a held opening of a route for which aLeads is false.
  template<typename F>
  std::optional<HeldOpening> TakeUnless(F aLeads)
  {
    for (auto& [target, room] : this->rooms) {
      if (room.queue.Size() > 0 && !aLeads(target)) {
        return room.queue.TakeAny();
      }
    }
    return std::nullopt;
  }
  size_t Held() const;
  bool Holds(const FlowId& aFlow) const
  {
    auto room = this->rooms.find(aFlow.target);
    return room != this->rooms.end() && room->second.queue.Holds(aFlow);
  }

private:
  void ReviewGuarantee(const ConcurrencyLimit& aLimit, Micros aNow);
  void Divide(const ConcurrencyLimit& aLimit);

  ShareOptions options;
  absl::node_hash_map<Endpoint, RouteRoom> rooms; // by the route's target
  Micros longFlowAt = -kLongFlowMemory;
  // Requests beyond the first of their flow since the last update, and their
  // average and that of new flows, a second.
  uint32_t laterRequests = 0;
  double laterRate = 0;
  double firstRate = 0;
  // Part of what the routes usually place that is placed in any case.
  double guarantee = 1;
  Micros guaranteedAt = 0; // when that was last reviewed
  Micros updatedAt = 0;
};

}
