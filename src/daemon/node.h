// What the threads of one daemon share: the table in force with an engine per
// service, the members, and the counters.
//
// Lock order: Node::control, then Node::apply, then ServiceEntry::mutex.
// Nothing is sent while a ServiceEntry is locked, apart from what its
// decisions queue.
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

struct ServiceEntry
{
  absl::Mutex mutex;
  Engine engine;
  std::string name;

  ServiceEntry(const EngineOptions& aOptions, InstanceId aSelf)
    : engine(aOptions, aSelf)
  {
  }
};

// What a worker looks at for a batch of packets; never changed once made.
struct Snapshot
{
  int64_t tableVersion = 0;
  absl::flat_hash_map<ServiceKey, std::shared_ptr<ServiceEntry>> services;
  absl::flat_hash_set<InstanceId> peers;
  bool joined = false; // the members are known
};

enum class Path : uint8_t
{
  FabricIn,
  PeerIn,
  ToServer,
  ToPeer,
  ToCaller,
  NotesOut,
  NotesIn,
  ControlOut,
  ControlIn,
  Count,
};

constexpr std::array<std::string_view, static_cast<size_t>(Path::Count)>
  kPathNames{ "fabric_in", "peer_in",  "to_server",   "to_peer",   "to_caller",
              "notes_out", "notes_in", "control_out", "control_in" };

// Counters of one thread; read by the metrics page.
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

// What may go wrong with the platform and peers, each with a counter.
enum class RetryReason : uint8_t
{
  WatchFailed,
  FetchFailed,
  StatusWriteFailed,
  StatusWriteLost,
  PullFailed,
  HandOverFailed,
  Count,
};

constexpr std::array<std::string_view, static_cast<size_t>(RetryReason::Count)>
  kRetryNames{ "watch_failed",      "fetch_failed", "status_write_failed",
               "status_write_lost", "pull_failed",  "hand_over_failed" };

// A server that this instance gave away; its successor is to learn what this
// instance knows.
struct ReleasedServer
{
  std::shared_ptr<ServiceEntry> entry;
  ServiceKey service;
  Address server = 0;
  bool complete = false; // this instance knew all exceptions itself
};

// Now on the monotonic clock.
Micros
MonotonicNow();

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

  // Puts aTable in force where its version is higher; true where it was.
  bool ActivateTable(const Table& aTable, Micros aNow);
  int64_t TableVersion() const { return this->Current()->tableVersion; }

  // The table in force, to be handed to a peer.
  Table CopyTable();

  // Recomputes the owners from the members.
  void ApplyMembership(Micros aNow);

  // Workers and the control thread call this first; a long gap between two
  // ticks means that this instance was paused.
  void DetectProcessPause(Micros aNow);
  void RecordTick(Micros aNow) { this->lastTick = aNow; }
  void InvalidateKnowledge(Micros aNow);

  // Servers given away since the last call.
  std::vector<ReleasedServer> TakeReleased();

  ThreadCounts& AddThreadCounts();
  void CountRetry(RetryReason aReason)
  {
    this->retries[static_cast<size_t>(aReason)].fetch_add(1);
  }

  absl::Mutex control;
  Membership members ABSL_GUARDED_BY(control);
  Sealer sealer ABSL_GUARDED_BY(control);     // of datagrams
  Sealer linkSealer ABSL_GUARDED_BY(control); // of messages over TCP

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
  std::vector<Member> candidates ABSL_GUARDED_BY(tableMutex);
  std::vector<InstanceId> present ABSL_GUARDED_BY(tableMutex);
  std::vector<ReleasedServer> releasedServers ABSL_GUARDED_BY(tableMutex);
  std::shared_ptr<const Snapshot> snapshot;
  std::atomic<Micros> lastTick = 0;
  std::atomic<bool> confirmedNoTable = false;
  Micros startedAt = MonotonicNow();

public:
  // The platform said that no table was ever accepted, so that the first one
  // has no flows yet.
  void ConfirmNoTable() { this->confirmedNoTable = true; }
};

}
