// How configuration and servers reach all instances while few ask the store:
// one instance of each availability zone reads, and tells the others. Answers
// the load of large fleets, whose calls to the store would grow with their
// size. No input or output, clock or thread; the driver brings beats, answers
// of the store and ticks.
#pragma once

#include "spread/change_log.h"
#include "spread/members.h"

#include <array>
#include <optional>

namespace gentianspindle::spread {

// Time between two beats of a reader.
constexpr Micros kHeartbeatPeriod = 400 * kMillisecond;
// News go out at once, but not more often than this.
constexpr Micros kMinHeartbeatGap = 50 * kMillisecond;
// Time between two beats of an instance that does not read.
constexpr Micros kHelloPeriod = 1 * kSecond;
constexpr Micros kJoinHelloPeriod = 200 * kMillisecond;
// Older than this, what is known must be asked for. A watch that waits for a
// second and a beat after it are younger.
constexpr Micros kStaleTime = 1800 * kMillisecond;
// Without a reader the others wait by chance up to this time, the larger ones
// less, so that one takes over and the rest hear it; a little more for each
// instance of the zone.
constexpr Micros kTakeoverDelay = 500 * kMillisecond;
constexpr Micros kTakeoverDelayPerInstance = 10 * kMillisecond;
// At start a reader is heard after this time, if there is one.
constexpr Micros kMinFirstTakeoverDelay = 800 * kMillisecond;
constexpr Micros kFirstTakeoverDelay = 2 * kSecond;
// Beside a reader with old news the instances of a zone try the store one
// after the other, in this time each on average.
constexpr Micros kReadAttemptDelayPerInstance = 250 * kMillisecond;
// A better reader must be there for this time before the worse one stops.
constexpr Micros kStepDownDelay = 1 * kSecond;
// One that asked in vain beside another reader waits before the next trial.
constexpr Micros kReadAttemptBackoff = 3 * kSecond;
// One that left reading to another takes it back, being larger, after this
// time.
constexpr Micros kReclaimDelay = 5 * kSecond;
// Who misses changes waits for the next datagrams before it takes a view; a
// reader waits for its own watch.
constexpr Micros kViewRequestDelay = 150 * kMillisecond;
constexpr Micros kReaderViewRequestDelay = 700 * kMillisecond;

struct ReplicatorOptions
{
  Address self = 0;
  std::string zone;
  double cores = 1;
  std::vector<Address> seeds;
  bool standalone = false; // there are no peers
  uint32_t randomSeed = 1;
};

// How far one kind is known here.
struct Freshness
{
  uint64_t revision = 0; // of the store
  Micros confirmedAt = kNever;

  void Confirm(uint64_t aRevision, Micros aAt);
};

struct OutgoingHeartbeat
{
  std::vector<Address> to;
  Heartbeat heartbeat;
};

// Decides which of two readers goes on.
struct ReaderRank
{
  bool storeAnswers = false;
  double cores = 0;
  Address address = 0;

  bool RanksAbove(const ReaderRank& aOther) const;
};

// What a peer is to be asked for; of a new configuration alone the servers,
// which are many more, need not come along.
struct ViewRequest
{
  Address peer = 0;
  bool servers = false;
};

// LastReadReason an instance starts or stops to read, for the log.
enum class ReadReason : uint8_t
{
  None,
  NoReader,     // none is heard in this zone
  Stale,        // what the readers tell is too old
  Larger,       // than the reader
  BetterReader, // another one reads
  Count,
};

constexpr std::array<std::string_view, static_cast<size_t>(ReadReason::Count)>
  kReadReasonNames{ "", "no_reader", "stale", "larger", "better_reader" };

class Replicator
{
public:
  explicit Replicator(const ReplicatorOptions& aOptions);

  // The store answered this instance: all up to aRevision is known.
  void OnConfigAnswer(int64_t aVersion, uint64_t aRevision, Micros aNow);
  void OnServersList(uint64_t aRevision, Micros aNow);
  void OnServersChanges(std::span<const steer::ServerChange> aChanges,
                        uint64_t aRevision,
                        Micros aNow);
  void OnStoreLost(Micros aNow);
  void OnStoreBack(Micros aNow);
  // This instance stood still: how new its knowledge is, it cannot tell.
  void OnProcessPause();
  // What a peer knows was taken over, as a whole.
  void OnPeerConfig(int64_t aVersion, uint64_t aRevision);
  void OnPeerServers(uint64_t aRevision);
  // Returns the changes that are new here, in their order.
  std::vector<steer::ServerChange> OnHeartbeat(Address aFrom,
                                               const Heartbeat& aHeartbeat,
                                               Micros aNow);
  // Decides who reads. Call often.
  void Tick(Micros aNow);

  bool Reads() const { return this->reads; }
  ReadReason LastReadReason() const { return this->readReason; }
  // Whose view is wanted now, and what of it.
  std::optional<ViewRequest> NextViewRequest(Micros aNow) const;
  // Beats that are due.
  std::vector<OutgoingHeartbeat> TakeHeartbeats(Micros aNow);

  const Freshness& Config() const { return this->config; }
  const Freshness& Servers() const { return this->servers; }
  bool HasView() const { return this->configVersion > 0 && this->hasServers; }
  bool Stale(Micros aNow) const;
  // When the store was last back, as far as known.
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
  void SendToAll(std::vector<OutgoingHeartbeat>& aHeartbeats, Micros aNow);
  void SendHello(std::vector<OutgoingHeartbeat>& aHeartbeats, Micros aNow);
  void SendAnswers(std::vector<OutgoingHeartbeat>& aHeartbeats, Micros aNow);
  std::vector<Address> ReaderQueryTargets();
  Micros RandomDelay(Micros aMax);

  ReplicatorOptions options;
  Members members;
  ChangeLog log;
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
  Micros betterReaderSince = 0; // another reader is better; 0: none is
  Micros stoppedAt = kNever;    // reading
  bool heardReader = false;     // a reader of this zone was heard
  Micros nextReadAttemptAt = 0;
  // What a peer knows that is more than what is known here.
  int64_t aheadVersion = 0;
  uint64_t aheadRevision = 0;
  Address aheadPeer = 0;
  Micros behindSince = 0;
  bool updatePending = false; // to be told at once
  Micros lastHeartbeatAt = kNever;
  Micros lastHelloAt = kNever;
  uint32_t heartbeatCount = 0;
  uint32_t fleetSize = 1;
  std::vector<Address> answerTo;
  std::minstd_rand random;
};

}
