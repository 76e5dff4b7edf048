#include "steer/opening_query.h"

#include <algorithm>
#include <utility>

namespace gentianspindle::steer {

bool
OpeningQueries::Start(const Packet& aOpening, Micros aNow)
{
  double earned = kQueryDatagramsPerSecond *
                  static_cast<double>(aNow - this->datagramsAt) / kSecond;
  this->datagrams = std::min(this->datagrams + earned, kMaxQueryDatagrams);
  this->datagramsAt = aNow;
  auto cost = static_cast<double>(this->peers.size());
  if (this->datagrams < cost) {
    return false;
  }
  this->datagrams -= cost;
  this->pending[aOpening.flow] = { aOpening,    aNow - aOpening.queueTime,
                                   aNow,        this->peers,
                                   this->peers, this->knowsZone };
  this->timeouts.emplace_back(aOpening.flow, aNow + kQueryTimeout);
  this->outgoing.push_back(
    { this->peers, { aOpening.flow, aOpening.seq, aOpening.retransmissions } });
  return true;
}

std::vector<OutgoingOpeningQuery>
OpeningQueries::TakeQueries()
{
  return std::exchange(this->outgoing, {});
}

ResolvedOpening
OpeningQueries::Resolve(const FlowId& aFlow, const OpeningReply& aReply)
{
  auto known = this->pending.find(aFlow);
  ResolvedOpening resolved{ known->second.packet,
                            known->second.arrivedAt,
                            aReply };
  this->pending.erase(known);
  return resolved;
}

bool
OpeningQueries::CheckZone(const OpeningReply& aReply, Pending& aPending)
{
  if (!aReply.zone) {
    return true;
  }
  aPending.knowsZone = true;
  return std::all_of(
    aReply.zone->begin(), aReply.zone->end(), [&aPending](Address aMember) {
      return std::find(aPending.asked.begin(), aPending.asked.end(), aMember) !=
             aPending.asked.end();
    });
}

// One instance that has sent the packet decides, whatever the others say.
std::optional<ResolvedOpening>
OpeningQueries::OnReply(Address aFrom, const OpeningReply& aReply)
{
  const OpeningQuery& query = aReply.query;
  auto known = this->pending.find(query.flow);
  if (known == this->pending.end()) {
    return std::nullopt;
  }
  Pending& waiting = known->second;
  bool isAsked = waiting.packet.seq == query.seq &&
                 waiting.packet.retransmissions == query.retransmissions &&
                 std::erase(waiting.waitsFor, aFrom) > 0;
  if (!isAsked) {
    return std::nullopt;
  }
  if (aReply.state != OpeningState::NotSent) {
    return this->Resolve(query.flow, aReply);
  }
  bool allAsked = CheckZone(aReply, waiting);
  if (allAsked && !waiting.waitsFor.empty()) {
    return std::nullopt;
  }
  bool sentByNone = allAsked && waiting.knowsZone;
  return this->Resolve(
    query.flow,
    { .state = sentByNone ? OpeningState::NotSent : OpeningState::Unknown });
}

std::optional<ResolvedOpening>
OpeningQueries::TakeExpired(Micros aNow)
{
  while (!this->timeouts.empty() && this->timeouts.front().second <= aNow) {
    FlowId flow = this->timeouts.front().first;
    this->timeouts.pop_front();
    auto known = this->pending.find(flow);
    // The flow may have been asked about again since.
    if (known != this->pending.end() &&
        aNow - known->second.startedAt >= kQueryTimeout) {
      return this->Resolve(flow, { .state = OpeningState::Unknown });
    }
  }
  return std::nullopt;
}

}
