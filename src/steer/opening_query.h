// What instances ask each other about an opening packet that a caller sent
// again and that came to another instance than the first one: whether its flow
// has a server already.
#pragma once

#include "steer/closed_openings.h"

#include <optional>
#include <span>
#include <vector>

namespace gentianspindle::steer {

// Instances of a zone reply within a few milliseconds, a busy one after its
// present batch of packets.
constexpr Micros kQueryTimeout = 100 * kMillisecond;
// Bounds of the queries, in datagrams: they are for control. Beyond them a flow
// is refused without a query.
constexpr double kQueryDatagramsPerSecond = 20;
constexpr double kMaxQueryDatagrams = 1000;

struct OpeningQuery
{
  FlowId flow;
  uint32_t seq = 0; // of the opening packet
  uint32_t retransmissions = 0;
};

// What an instance knows of a flow's opening packets.
enum class OpeningState : uint8_t
{
  NotSent, // it sent none to a server, and sends none from now on
  Sent,    // it sent one to the server that the reply names
  Unknown, // it may have sent one
  Count,
};

struct OpeningReply
{
  OpeningQuery query;
  OpeningState state = OpeningState::Unknown;
  // If state is Sent: the server, and when its process started, in milliseconds
  // since 1970.
  ServerId server = 0;
  int64_t startedAt = 0;
  // The other instances of the zone of the one that asked, if the one that
  // replies knows them all.
  std::optional<std::vector<Address>> zone;
};

// A query and the instances that get it.
struct OutgoingOpeningQuery
{
  std::vector<Address> to;
  OpeningQuery query;
};

// An opening packet and what is known of its flow by now.
struct ResolvedOpening
{
  Packet packet;
  Micros arrivedAt = 0;
  OpeningReply reply;
};

// The queries of one instance that wait for replies.
class OpeningQueries
{
public:
  // Sets the instances that may have sent an opening packet of a flow that
  // comes here now. aKnowsZone says that no other one of this zone may have;
  // else one of them has to say so in its reply.
  void SetPeers(std::vector<Address> aPeers, bool aKnowsZone)
  {
    this->peers = std::move(aPeers);
    this->knowsZone = aKnowsZone;
  }
  // This process started; a former one may have sent opening packets.
  void OnStart(Micros aNow) { this->startedAt = aNow; }
  // This process runs again; other instances had its flows meanwhile.
  void OnPause(Micros aNow) { this->resumedAt = aNow; }

  // Returns whether this process ran when the opening packets that callers may
  // still repeat first came, so that it knows which of them went through this
  // instance.
  bool KnowsOwn(Micros aNow) const
  {
    return aNow - this->startedAt >= kOpeningMemory;
  }
  // Returns whether the peers' replies can show that nobody sent the first
  // packet of a flow that comes here now.
  bool CanAsk(Micros aNow) const
  {
    return this->KnowsOwn(aNow) && aNow - this->resumedAt >= kOpeningMemory &&
           (this->knowsZone || this->HasPeers());
  }
  // Returns whether other instances are to be asked.
  bool HasPeers() const { return !this->peers.empty(); }
  // Starts a query. Returns false if the bound is reached.
  bool Start(const Packet& aOpening, Micros aNow);
  bool IsPending(const FlowId& aFlow) const
  {
    return this->pending.contains(aFlow);
  }
  std::vector<OutgoingOpeningQuery> TakeQueries();
  // Returns the opening packet if the reply decides on it.
  std::optional<ResolvedOpening> OnReply(Address aFrom,
                                         const OpeningReply& aReply);
  // Returns an opening packet whose peers did not all reply in time.
  std::optional<ResolvedOpening> TakeExpired(Micros aNow);

private:
  struct Pending
  {
    Packet packet;
    Micros arrivedAt = 0;
    Micros startedAt = 0;
    std::vector<Address> asked;
    std::vector<Address> waitsFor;
    bool knowsZone = false;
  };
  // Takes in what the reply says of the zone. Returns false if it has an
  // instance that was not asked.
  static bool CheckZone(const OpeningReply& aReply, Pending& aPending);
  ResolvedOpening Resolve(const FlowId& aFlow, const OpeningReply& aReply);

  std::vector<Address> peers;
  bool knowsZone = true;
  Micros startedAt = -kOpeningMemory;
  Micros resumedAt = -kOpeningMemory;
  double datagrams = kMaxQueryDatagrams; // that may be sent now
  Micros datagramsAt = 0;
  absl::flat_hash_map<FlowId, Pending> pending;
  std::deque<std::pair<FlowId, Micros>> timeouts; // the first one is due first
  std::vector<OutgoingOpeningQuery> outgoing;
};

}
