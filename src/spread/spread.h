// Replication of configuration and servers to all instances while few ask the
// store: one instance of each availability zone, the reader, reads the store
// and sends updates to the others, the followers. Otherwise the calls to the
// store would grow with the fleet. The code has no input or output, clock or
// thread; its user passes in heartbeats, answers of the store and ticks.
#pragma once

#include "spread/change_log.h"
#include "spread/members.h"

#include <array>
#include <optional>

namespace gentianspindle::spread {

// Time between two heartbeats of a reader.
constexpr Micros kHeartbeatPeriod = 400 * kMillisecond;
// A reader sends updates at once, but with at least this time between two
// heartbeats.
constexpr Micros kMinHeartbeatGap = 50 * kMillisecond;
// Time between two hello heartbeats of a follower; the shorter one holds while
// it lacks a view or knows no reader.
constexpr Micros kHelloPeriod = 1 * kSecond;
constexpr Micros kJoinHelloPeriod = 200 * kMillisecond;
// Knowledge that was not confirmed for this time is stale. With a reader it
// stays younger: a watch waits for one second, and a heartbeat follows.
constexpr Micros kStaleTime = 1800 * kMillisecond;
// Without a reader each follower waits for a random delay up to this time,
// larger instances less, so that one takes over and the others hear of it. Each
// instance of the zone adds a little.
constexpr Micros kTakeoverDelay = 500 * kMillisecond;
constexpr Micros kTakeoverDelayPerInstance = 10 * kMillisecond;
// The same for an instance that has not heard a reader since its start. Within
// the minimum it hears a reader if there is one.
constexpr Micros kMinFirstTakeoverDelay = 800 * kMillisecond;
constexpr Micros kFirstTakeoverDelay = 2 * kSecond;
// If the readers' knowledge is stale, the followers of a zone attempt to read
// the store one after the other, on average this time apart.
constexpr Micros kReadAttemptDelayPerInstance = 250 * kMillisecond;
// A better reader must be heard for this time before the worse one stops.
constexpr Micros kStepDownDelay = 1 * kSecond;
// After an instance stopped reading it waits for this time, plus a random delay
// of up to as much, before the next read attempt beside another reader.
constexpr Micros kReadAttemptBackoff = 3 * kSecond;
// An instance that stopped reading takes over again from a smaller reader only
// after this time.
constexpr Micros kReclaimDelay = 5 * kSecond;
// An instance that misses changes waits for the next datagrams before it
// requests a view; a reader waits for its own watch.
constexpr Micros kViewRequestDelay = 150 * kMillisecond;
constexpr Micros kReaderViewRequestDelay = 700 * kMillisecond;

struct ReplicatorOptions
{
  Address self = 0;
  std::string zone;
  double cores = 1;
  std::vector<Address> seeds;
  bool standalone = false; // there are no peers, so take over without a delay
  uint32_t randomSeed = 1;
};

// How far, and how recently confirmed, this instance knows the configuration or
// the servers.
struct Freshness
{
  uint64_t revision = 0;       // of the store, up to which all is known
  Micros confirmedAt = kNever; // when the store last gave or confirmed it

  void Confirm(uint64_t aRevision, Micros aAt);
};

// A heartbeat and the instances that get it.
struct OutgoingHeartbeat
{
  std::vector<Address> to;
  Heartbeat heartbeat;
};

// Order of the readers of a zone: the one that ranks above the others keeps
// reading.
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

// Reason why an instance starts or stops reading the store, for the log.
enum class ReadReason : uint8_t
{
  None,
  NoReader,     // start: no reader of this zone is heard
  Stale,        // start: what the readers announce is stale
  Larger,       // start: this instance is larger than the reader
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

  // The store answered this instance, which now knows all up to aRevision.
  void OnConfigAnswer(int64_t aVersion, uint64_t aRevision, Micros aNow);
  void OnServersList(uint64_t aRevision, Micros aNow);
  void OnServersChanges(std::span<const steer::ServerChange> aChanges,
                        uint64_t aRevision,
                        Micros aNow);
  // A call to the store failed.
  void OnStoreLost(Micros aNow);
  // The store answers again after an outage.
  void OnStoreBack(Micros aNow);
  // This process was paused; the age of its knowledge is unknown.
  void OnProcessPause();
  // A peer's whole configuration or list of servers was applied to the view.
  void OnPeerConfig(int64_t aVersion, uint64_t aRevision);
  void OnPeerServers(uint64_t aRevision);
  // Returns the heartbeat's changes that are new to this instance, in order.
  std::vector<steer::ServerChange> OnHeartbeat(Address aFrom,
                                               const Heartbeat& aHeartbeat,
                                               Micros aNow);
  // Decides whether this instance reads the store. Call it often.
  void Tick(Micros aNow);

  bool Reads() const { return this->reads; }
  // Reason why this instance last started or stopped reading.
  ReadReason LastReadReason() const { return this->readReason; }
  // Returns the view request to be sent now, if any.
  std::optional<ViewRequest> NextViewRequest(Micros aNow) const;
  // Returns the heartbeats that are due.
  std::vector<OutgoingHeartbeat> TakeHeartbeats(Micros aNow);

  const Freshness& Config() const { return this->config; }
  const Freshness& Servers() const { return this->servers; }
  bool HasView() const { return this->configVersion > 0 && this->hasServers; }
  // Returns whether the configuration or the servers were not confirmed for
  // kStaleTime.
  bool Stale(Micros aNow) const;
  // When the last known store outage ended.
  Micros StoreBackAt() const { return this->storeBackAt; }
  uint32_t FleetSize() const { return this->fleetSize; }

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
  void CompareWithPeer(Address aFrom, const Heartbeat& aHeartbeat, Micros aNow);
  Heartbeat MakeHeartbeat(Micros aNow);
  void AppendReaderHeartbeats(std::vector<OutgoingHeartbeat>& aHeartbeats,
                              Micros aNow);
  void AppendHello(std::vector<OutgoingHeartbeat>& aHeartbeats, Micros aNow);
  void AppendReplies(std::vector<OutgoingHeartbeat>& aHeartbeats, Micros aNow);
  std::vector<Address> ReaderQueryTargets();
  Micros RandomDelay(Micros aMax);

  ReplicatorOptions options;
  Members members;
  ChangeLog changeLog;
  Freshness config;
  Freshness servers;
  int64_t configVersion = 0;
  bool hasServers = false;
  bool reads = false;
  bool storeAnswers = false;
  ReadReason readReason = ReadReason::None;
  Micros storeBackAt = kNever;
  ReadReason takeoverReason = ReadReason::None;
  Micros takeoverAt = 0;
  Micros betterReaderSince = 0; // when a better reader was first heard; 0: none
  Micros stoppedAt = kNever;    // when this instance last stopped reading
  bool heardReader = false;     // a reader of this zone was heard
  Micros nextReadAttemptAt = 0; // beside a reader with stale knowledge
  // The last peer that was ahead of this instance, its configuration version
  // and its servers' revision.
  int64_t aheadConfigVersion = 0;
  uint64_t aheadServersRevision = 0;
  Address aheadPeer = 0;
  Micros behindSince = 0;
  bool updatePending = false; // the next heartbeat is to be sent early
  Micros lastHeartbeatAt = kNever;
  Micros lastHelloAt = kNever;
  uint32_t heartbeatCount = 0;
  uint32_t fleetSize = 1;
  std::vector<Address> replyTo;
  std::minstd_rand random;
};

}
