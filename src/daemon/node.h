// State that all threads of one daemon share: the table in force with one
// engine per service, the membership, and the counters.
//
// Lock order: Node::control, then Node::tableMutex, then ServiceEntry::mutex.
// Nothing is sent while a ServiceEntry is locked: its engine only adds
// decisions to an Outbox, which are executed after the lock is released.
#pragma once

#include "core/engine.h"
#include "core/membership.h"
#include "daemon/settings.h"
#include "wire/codec.h"

#include "absl/container/flat_hash_set.h"
#include "absl/synchronization/mutex.h"

#include <atomic>
#include <memory>

namespace gentianspindle {

// One service of the table in force with its engine.
struct ServiceEntry
{
  absl::Mutex mutex; // guards engine
  Engine engine;
  std::string name; // the service's name when this entry was made

  ServiceEntry(const EngineOptions& aOptions, InstanceId aSelf)
    : engine(aOptions, aSelf)
  {
  }
};

// The shared state that a worker uses for a batch of packets. It is immutable
// once published, and every change publishes a new snapshot; only the engines
// that it refers to change, each under its mutex.
struct Snapshot
{
  int64_t tableVersion = 0; // 0: no table yet
  absl::flat_hash_map<ServiceKey, std::shared_ptr<ServiceEntry>> services;
  // All known members, dead ones included. They may send relays and notes.
  absl::flat_hash_set<InstanceId> peers;
  // The membership is known well enough to assign owners. Until then packets
  // are dropped.
  bool joined = false;
};

// Paths of datagrams through an instance, each with counters of packets and
// bytes. Bytes are those of the UDP payload, except that ToServer and ToCaller
// leave out the Geneve header. Received datagrams count before they are
// decoded, those from the fabric even before their source is checked; sent ones
// count when they are queued, also if sending fails. In step with kPathNames.
enum class Path : uint8_t
{
  FabricIn,   // callers' packets from the fabric
  PeerIn,     // packets relayed by peers
  ToServer,   // packets forwarded to backend servers
  ToPeer,     // packets relayed to peers
  ToCaller,   // RST and ICMP packets to callers
  NotesOut,   // notes about single flows to peers
  NotesIn,    // the same, received
  ControlOut, // membership probes to peers, as datagrams
  ControlIn,  // the same, received
  Count,
};

constexpr std::array<std::string_view, static_cast<size_t>(Path::Count)>
  kPathNames{ "fabric_in", "peer_in",  "to_server",   "to_peer",   "to_caller",
              "notes_out", "notes_in", "control_out", "control_in" };

// Counters of one packet worker, or those that all other threads share. The
// metrics page reads them from another thread.
struct ThreadCounts
{
  std::array<std::atomic<uint64_t>, static_cast<size_t>(Path::Count)> packets{};
  std::array<std::atomic<uint64_t>, static_cast<size_t>(Path::Count)> bytes{};
  std::array<std::atomic<uint64_t>, static_cast<size_t>(Reason::Count)>
    reasons{};

  void Add(Path aPath, size_t aBytes)
  {
    auto path = static_cast<size_t>(aPath);
    this->packets[path].fetch_add(1, std::memory_order_relaxed);
    this->bytes[path].fetch_add(aBytes, std::memory_order_relaxed);
  }
  void Add(Reason aReason)
  {
    this->reasons[static_cast<size_t>(aReason)].fetch_add(
      1, std::memory_order_relaxed);
  }
};

// Failed calls to the platform and to peers that are retried, each with a
// counter. In step with kRetryNames.
enum class RetryReason : uint8_t
{
  WatchFailed,       // reading or watching the head, or fetching the parts
  FetchFailed,       // fetching the parts; counted as WatchFailed, too
  StatusWriteFailed, // the zone's status could not be read or written
  StatusWriteLost,   // another instance wrote it after it was read here
  PullFailed,        // pulling the table from a peer
  HandOverFailed,    // handing a server's flows over, one attempt
  Count,
};

constexpr std::array<std::string_view, static_cast<size_t>(RetryReason::Count)>
  kRetryNames{ "watch_failed",      "fetch_failed", "status_write_failed",
               "status_write_lost", "pull_failed",  "hand_over_failed" };

// A backend server that this instance no longer owns. Those of its flows that
// the new owner cannot derive from the rows of the service have to be handed
// over, see Engine::Exceptions.
struct ReleasedServer
{
  std::shared_ptr<ServiceEntry> entry;
  ServiceKey service;
  Address server = 0;
  // This instance knew all of these flows, so the hand-over makes the new
  // owner's knowledge complete, too.
  bool complete = false;
};

// Current time of the monotonic clock.
Micros
MonotonicNow();

// State of this instance of the load balancer, which all threads of its daemon
// share.
class Node
{
public:
  static std::unique_ptr<Node> Make(const Settings& aSettings);

  const Settings& GetSettings() const { return this->settings; }
  InstanceId Self() const { return this->self; }
  std::shared_ptr<const Snapshot> Current() const
  {
    return std::atomic_load(&this->snapshot);
  }

  // Puts aTable in force if its version is higher than the present one;
  // returns whether it did.
  bool ActivateTable(const Table& aTable, Micros aNow);
  int64_t TableVersion() const { return this->Current()->tableVersion; }

  // Copy of the table in force, for exchange with a peer.
  Table CopyTable();

  // Recomputes the peers and whether this instance has joined from the present
  // membership, and the owners of all servers once it has joined.
  void ApplyMembership(Micros aNow);

  // A gap between two ticks as long as the suspicion time means that this
  // process was paused and that peers may have taken over its servers; then
  // its knowledge is invalidated. Workers and the control thread call this
  // before they handle packets or timers.
  void DetectProcessPause(Micros aNow);
  // Records that the control thread ran its timers at aNow.
  void RecordTick(Micros aNow) { this->lastTick = aNow; }
  // Makes this instance a cold owner of all its servers: it no longer assumes
  // that it knows all their flows.
  void InvalidateKnowledge(Micros aNow);

  // Returns the servers that passed from this instance to another owner since
  // the last call.
  std::vector<ReleasedServer> TakeReleased();

  // Adds one more set of counters. Not thread-safe: called before the threads
  // start.
  ThreadCounts& AddThreadCounts();
  void CountRetry(RetryReason aReason)
  {
    this->retries[static_cast<size_t>(aReason)].fetch_add(1);
  }

  absl::Mutex control; // guards the membership and the sealers
  Membership members ABSL_GUARDED_BY(control);
  // Two sealers, each with sequence numbers and replay windows of its own.
  Sealer sealer ABSL_GUARDED_BY(control);     // for probes, as datagrams
  Sealer linkSealer ABSL_GUARDED_BY(control); // for control messages over TCP

  std::vector<std::unique_ptr<ThreadCounts>> counts;
  std::array<std::atomic<uint64_t>, static_cast<size_t>(RetryReason::Count)>
    retries{};

private:
  explicit Node(const Settings& aSettings);
  void Publish(std::shared_ptr<const Snapshot> aSnapshot)
  {
    std::atomic_store(&this->snapshot, std::move(aSnapshot));
  }
  void AssignOwnersLocked(Snapshot& aSnapshot, Micros aNow);

  Settings settings;
  EngineOptions options;
  InstanceId self;
  absl::Mutex tableMutex;
  Table table ABSL_GUARDED_BY(tableMutex);
  // Members that may own servers.
  std::vector<Member> possibleOwners ABSL_GUARDED_BY(tableMutex);
  // Members that are not dead, leaving ones included.
  std::vector<InstanceId> present ABSL_GUARDED_BY(tableMutex);
  std::vector<ReleasedServer> releasedServers ABSL_GUARDED_BY(tableMutex);
  std::shared_ptr<const Snapshot> snapshot;
  std::atomic<Micros> lastTick = 0;
  std::atomic<bool> confirmedNoTable = false;
  Micros startedAt = MonotonicNow();

public:
  // Records that no table was accepted at the platform yet. The services of
  // this instance's first table are then taken to have no flows yet, so it
  // starts as a warm owner: it knows all flows.
  void ConfirmNoTable() { this->confirmedNoTable = true; }
};

}
