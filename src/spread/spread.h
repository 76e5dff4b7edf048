// Replication of the configuration and the servers to all instances. One
// instance of each availability zone, the reader, reads the store and sends
// updates to the others, the followers, so that the number of calls to the
// store does not grow with the fleet. The code does no I/O, reads no clock and
// starts no threads: its caller passes in heartbeats, the store's answers,
// ticks and the time.
#pragma once

#include "spread/change_log.h"
#include "spread/members.h"
#include "spread/quota_sharing.h"

#include <array>
#include <optional>

namespace gentianspindle::spread {

// Longest time between two heartbeats of a reader.
constexpr Micros kHeartbeatPeriod = 400 * kMillisecond;
// A reader queries a seed with every so many heartbeats, so that parts of a
// fleet that do not know each other find each other.
constexpr uint32_t kHeartbeatsPerSeedQuery = 5;
// A reader sends updates at once, but with at least this time between two
// heartbeats.
constexpr Micros kMinHeartbeatGap = 50 * kMillisecond;
// The same for new verdicts on servers, of which many may come in a second.
constexpr Micros kMinVerdictGap = 100 * kMillisecond;
// A reader knows the instances of its zone after this time: it has sent three
// queries to seeds, through which parts of a zone find each other, and each
// follower has sent it hellos.
constexpr Micros kReaderSettleTime = 6500 * kMillisecond;
// A hello heartbeat is the one that a follower sends: to its zone's readers, or
// to members and seeds while it lacks a view or knows no reader. These are the
// times between two of them, the shorter one for the latter case.
constexpr Micros kHelloPeriod = 1 * kSecond;
constexpr Micros kJoinHelloPeriod = 200 * kMillisecond;
// An instance's view is stale if the store did not confirm its configuration or
// its servers for this time. While the zone has a reader, the view is confirmed
// more often: a watch waits for one second by default, and a heartbeat follows.
constexpr Micros kStaleTime = 1800 * kMillisecond;
// If watches wait for longer than that, the view becomes stale after their wait
// and this margin.
constexpr Micros kStaleMargin = 800 * kMillisecond;
// Without a reader each follower of the zone waits for a random delay, so that
// one takes over and the others hear of it. Its maximum is
// (kTakeoverDelay + n * kTakeoverDelayPerInstance) /
// (1 + kTakeoverDivisorPerCore * cores)
// with n instances in the zone; the delay is drawn from the upper half. An
// instance with more cores than the reader waits in the same way.
constexpr Micros kTakeoverDelay = 500 * kMillisecond;
constexpr Micros kTakeoverDelayPerInstance = 10 * kMillisecond;
// A factor without unit: the maximum of an instance with one core is a fifth of
// that without any, so that instances with more cores take over first.
constexpr int kTakeoverDivisorPerCore = 4;
// For an instance that has not heard a reader of its zone since its start, the
// maximum is computed from kFirstTakeoverDelay instead of kTakeoverDelay, and
// the delay is kMinFirstTakeoverDelay plus up to half of that maximum. Within
// kMinFirstTakeoverDelay the instance hears a reader if there is one.
constexpr Micros kMinFirstTakeoverDelay = 800 * kMillisecond;
constexpr Micros kFirstTakeoverDelay = 2 * kSecond;
// A follower whose view is stale although it hears a reader becomes a reader
// itself, which is a read attempt. It does so after a random delay of up to
// this time for each instance of the zone, so that not all call the store at
// once.
constexpr Micros kReadAttemptDelayPerInstance = 250 * kMillisecond;
// A better reader must be heard for this time before the worse one stops. If a
// call to the store fails, the worse one stops at once.
constexpr Micros kStepDownDelay = 1 * kSecond;
// After an instance stopped reading, it waits for this time plus a random delay
// of up to as much before its next read attempt.
constexpr Micros kReadAttemptBackoff = 3 * kSecond;
// An instance that stopped reading takes over from a reader with fewer cores
// only after this time.
constexpr Micros kReclaimDelay = 5 * kSecond;
// An instance that misses changes of servers waits for the next datagrams
// before it requests a view; a reader that the store answers waits for its own
// watch. An instance without a view, and a follower whose configuration is
// older than a peer's, request it at once.
constexpr Micros kViewRequestDelay = 150 * kMillisecond;
constexpr Micros kReaderViewRequestDelay = 700 * kMillisecond;

struct ReplicatorOptions
{
  Address self = 0;               // of this instance
  std::string zone;               // availability zone of this instance
  double cores = 1;               // of this instance
  std::vector<Address> seeds;     // queried for members and readers
  bool standalone = false;        // there are no peers, so read without a delay
  Micros watchWait = 1 * kSecond; // how long a watch waits for a change
  bool drains = false;            // the drains of zones are read
  uint32_t randomSeed = 1;
};

// A heartbeat names up to so many drained zones, with names of up to so many
// bytes together. Beyond that it says that it leaves them out, and an instance
// that misses a change requests a view, which names them all.
constexpr size_t kMaxDrainedZones = 32;
constexpr size_t kMaxDrainedZoneBytes = 400;

// Up to which position of the store this instance knows the configuration or
// the servers, and when the store last confirmed that.
struct Freshness
{
  StorePosition position; // all changes up to it are known
  // Also kNever after a process pause, until the next confirmation.
  Micros confirmedAt = kNever;

  void Confirm(const StorePosition& aPosition, Micros aAt);
};

// A heartbeat and the instances that get it.
struct OutgoingHeartbeat
{
  std::vector<Address> to;
  Heartbeat heartbeat;
};

// Rank of an instance among the readers of its zone: the one that ranks above
// the others keeps reading.
struct ReaderRank
{
  bool storeAnswers = false;
  double cores = 0;
  Address address = 0;

  bool RanksAbove(const ReaderRank& aOther) const;
};

// A view to be requested from a peer. The servers, which are far more data than
// the configuration, are left out if only the configuration is behind.
struct ViewRequest
{
  Address peer = 0;
  bool servers = false;
};

// The instances that may have got a caller's opening packet before it came to
// this one.
struct OpeningPeers
{
  std::vector<Address> addresses;
  // Those of this instance's zone, in ascending order.
  std::vector<Address> sameZone;
  // There are no others in the zone. A follower can't say that.
  bool knowsZone = false;
};

// Reason why an instance starts or stops reading the store, for the log.
enum class ReadReason : uint8_t
{
  None,
  NoReader,     // start: no reader of this zone is heard
  Stale,        // start: this instance's view is stale in spite of a reader
  Larger,       // start: this instance has more cores than the reader
  BetterReader, // stop: another reader ranks above this one
  Count,
};

constexpr std::array<std::string_view, static_cast<size_t>(ReadReason::Count)>
  kReadReasonNames{ "", "no_reader", "stale", "larger", "better_reader" };

// Decides whether this instance reads the store, which heartbeats it sends, and
// whether it needs a peer's view.
class Replicator
{
public:
  explicit Replicator(const ReplicatorOptions& aOptions);

  // The store answered this instance, which now knows all changes up to its
  // position aPosition. aVersion is the version of the configuration in force.
  void OnConfigResponse(int64_t aVersion,
                        const StorePosition& aPosition,
                        Micros aNow);
  void OnServersList(const StorePosition& aPosition, Micros aNow);
  void OnServersChanges(std::span<const steer::ServerChange> aChanges,
                        const StorePosition& aPosition,
                        Micros aNow);
  // Also the drained zones; aList says that the changes are all drains there
  // are. Returns whether the zones, or whether they are known, changed.
  bool OnDrainsResponse(std::span<const steer::DrainChange> aChanges,
                        const StorePosition& aPosition,
                        bool aList,
                        Micros aNow);
  // A call to the store failed. Stops reading if another reader ranks above
  // this instance.
  void OnStoreLost(Micros aNow);
  // The store answers this instance again after an outage.
  void OnStoreBack(Micros aNow);
  // This process was paused; the age of its view is unknown.
  void OnProcessPause();
  // A peer's whole configuration or list of servers was applied to the view;
  // aPosition is the position of the store up to which the peer knew it.
  void OnPeerConfig(int64_t aVersion, const StorePosition& aPosition);
  void OnPeerServers(const StorePosition& aPosition);
  // A peer sent its drained zones, which the store confirmed at aConfirmedAt.
  // Returns whether the zones, or whether they are known, changed.
  bool OnPeerDrains(const steer::DrainState& aState, Micros aConfirmedAt);
  // Returns the heartbeat's changes that are new to this instance, in order.
  std::vector<steer::ServerChange> OnHeartbeat(Address aFrom,
                                               const Heartbeat& aHeartbeat,
                                               Micros aNow);
  // Decides whether this instance reads the store. A decision comes late by up
  // to the time between two calls, which is 50 ms in the daemon.
  void Tick(Micros aNow);

  bool Reads() const { return this->reads; }
  // Reason why this instance last started or stopped reading.
  ReadReason LastReadReason() const { return this->readReason; }
  // Returns the view request that is due, if any. It stays due until this
  // instance has caught up.
  std::optional<ViewRequest> NextViewRequest(Micros aNow) const;
  // Sets the verdicts of this instance. A new one is sent at once.
  void SetVerdicts(std::span<const Verdict> aVerdicts, Micros aNow);
  // Returns the verdicts that peers of this zone sent since the last call.
  std::vector<Verdict> TakeVerdicts()
  {
    return this->verdicts.TakePeerVerdicts();
  }
  // Returns the heartbeats to send now.
  std::vector<OutgoingHeartbeat> TakeHeartbeats(Micros aNow);

  const Freshness& Config() const { return this->config; }
  const Freshness& Servers() const { return this->servers; }
  // The drained zones, and when the store last confirmed them.
  const steer::DrainState& Drains() const { return this->drains; }
  Micros DrainsConfirmedAt() const { return this->drainsConfirmedAt; }
  bool HasView() const { return this->configVersion > 0 && this->hasServers; }
  // Returns whether this instance's configuration or servers were not confirmed
  // for kStaleTime.
  bool Stale(Micros aNow) const;
  // End of the last store outage that this instance or a peer noticed.
  Micros StoreBackAt() const { return this->storeBackAt; }
  // Returns the other instances of this zone and the readers of other zones:
  // the fabric hands a flow to another instance of its zone or, if that has
  // none, to another zone's. A reader knows its zone, unless it has just become
  // the reader and may not have heard from all yet.
  OpeningPeers FindOpeningPeers(Micros aNow) const;
  // Number of instances of all zones: a reader counts them, a follower has the
  // number from the readers of its zone.
  uint32_t FleetSize() const { return this->fleetSize; }
  // Number of instances of this zone, counted in the same way.
  uint32_t ZoneSize() const { return this->zoneSize; }
  // Instances of this zone on the list of holders that this one knows.
  const std::vector<Address>& QuotaList() const
  {
    return this->quotaSharing.List();
  }
  // Returns which instances hold slots of warm-up quotas.
  steer::QuotaHolders QuotaHolders(Micros aNow) const
  {
    return this->quotaSharing.Holders(aNow);
  }
  Micros QuotaValidUntil() const { return this->quotaSharing.ValidUntil(); }

private:
  void OnStoreAnswer(Micros aNow);
  ReaderRank OwnRank() const;
  std::optional<ReaderRank> BestReader(Micros aNow) const;
  bool HasBetterReader(Micros aNow) const;
  bool IsBehind() const;
  Micros TakeoverDelay(ReadReason aReason);
  void CheckTakeover(Micros aNow);
  void CheckStepDown(Micros aNow);
  void StartReading(ReadReason aReadReason, Micros aNow);
  void StopReading(Micros aNow);
  ReadReason ReasonToRead(const std::optional<ReaderRank>& aBest,
                          Micros aNow) const;
  bool LacksEras(const Heartbeat& aHeartbeat) const;
  Heartbeat WithEras(const Heartbeat& aHeartbeat) const;
  void OnHeartbeatDrains(const Heartbeat& aHeartbeat, Micros aNow);
  void CompareWithPeer(Address aFrom, const Heartbeat& aHeartbeat, Micros aNow);
  Heartbeat MakeHeartbeat(Micros aNow);
  void PutDrainsInto(Heartbeat& aHeartbeat, Micros aNow) const;
  // Append the heartbeats that are due to aHeartbeats: a reader's to its zone
  // and the readers of other zones, a follower's hello, and replies to queries.
  void AppendReaderHeartbeats(std::vector<OutgoingHeartbeat>& aHeartbeats,
                              Micros aNow);
  void AppendHello(std::vector<OutgoingHeartbeat>& aHeartbeats, Micros aNow);
  void AppendReplies(std::vector<OutgoingHeartbeat>& aHeartbeats, Micros aNow);
  std::vector<Address> ReaderQueryTargets();
  // Returns a random delay of less than aMax.
  Micros RandomDelay(Micros aMax);

  ReplicatorOptions options;
  Members members;
  QuotaSharing quotaSharing;
  ChangeLog changeLog;
  Freshness config;
  Freshness servers;
  steer::DrainState drains;
  Micros drainsConfirmedAt = kNever;
  int64_t configVersion = 0; // of the configuration in force; 0: none
  bool hasServers = false;
  bool reads = false;
  bool storeAnswers = false;
  ReadReason readReason = ReadReason::None;
  Micros storeBackAt = kNever;
  // Why this follower is about to read the store, if it is, and when.
  ReadReason takeoverReason = ReadReason::None;
  Micros takeoverAt = 0;
  Micros betterReaderSince = 0; // 0: no better reader is heard
  Micros startedReadingAt = kNever;
  Micros stoppedAt = kNever;    // when this instance last stopped reading
  bool heardReader = false;     // of this zone, while this instance followed
  Micros nextReadAttemptAt = 0; // no read attempt before this time
  // The last peer that was ahead of this instance in one of the three: the
  // version of its configuration, the position of its servers, that of the last
  // change of its drained zones if its heartbeat left them out, and its
  // address.
  int64_t aheadConfigVersion = 0;
  StorePosition aheadServersPosition;
  StorePosition aheadDrainsPosition;
  Address aheadPeer = 0;
  Micros behindSince = 0;     // when this instance last fell behind a peer
  bool updatePending = false; // a reader sends its next heartbeat early
  SharedVerdicts verdicts;
  bool verdictPending = false; // the next heartbeat or hello is sent early
  Micros lastHeartbeatAt = kNever;
  Micros lastHelloAt = kNever;
  uint32_t heartbeatCount = 0;
  uint32_t fleetSize = 1;
  uint32_t zoneSize = 1;
  std::vector<Address> replyTo; // peers that asked for a heartbeat
  std::minstd_rand random;
};

}
