#include "daemon/control.h"

#include "daemon/log.h"

#include "absl/strings/str_cat.h"

#include <chrono>
#include <thread>

namespace gentianspindle {

namespace {

// Wait between two runs of the timers. A timer may fire late by this and the
// duration of a run.
constexpr std::chrono::milliseconds kTickPeriod{ 2 };

void
SendProbes(Node& aNode,
           Sender& aSender,
           const std::vector<OutgoingProbe>& aProbes)
{
  for (const OutgoingProbe& probe : aProbes) {
    std::string datagram;
    {
      absl::MutexLock lock(&aNode.control);
      datagram = aNode.sealer.Seal(EncodeProbe(probe.probe));
    }
    aSender.SendSealedProbe(probe.peer, std::move(datagram));
  }
}

// Name of a status for the log. The status at the platform has other names, see
// StateName in watcher.cpp.
std::string_view
StatusName(MemberStatus aStatus)
{
  constexpr std::array<std::string_view, 4> kNames{
    "alive", "suspect", "leaving", "dead"
  };
  return kNames[static_cast<size_t>(aStatus)];
}

void
LogMembers(Node& aNode)
{
  std::string line = "Members are now:";
  absl::MutexLock lock(&aNode.control);
  for (const MemberUpdate& member : aNode.members.All()) {
    absl::StrAppend(&line,
                    " ",
                    FormatInstance(member.instance),
                    "=",
                    std::string(StatusName(member.status)));
  }
  LogInfo(kLogMembers, line + ".");
}

// Called after a probe or a tick. Calls Node::ApplyMembership if the membership
// changed meanwhile, or as long as this instance has not joined. If peers had
// declared this instance dead, it becomes a cold owner of its servers, as they
// may have had other owners meanwhile. aChangesBefore is Membership::Changes()
// before the probe or tick.
void
ApplyMembershipChanges(Node& aNode, uint64_t aChangesBefore)
{
  uint64_t changesAfter = 0;
  bool declaredDead = false;
  {
    absl::MutexLock lock(&aNode.control);
    changesAfter = aNode.members.Changes();
    declaredDead = aNode.members.TakeDeclaredDead();
  }
  Micros now = MonotonicNow();
  if (declaredDead) {
    LogWarn(kLogMembers,
            "Peers had declared this instance dead; it no longer assumes that "
            "it knows all flows of its servers.");
    aNode.InvalidateKnowledge(now);
  }
  if (changesAfter != aChangesBefore || !aNode.Current()->joined) {
    aNode.ApplyMembership(now);
  }
  if (changesAfter != aChangesBefore) {
    LogMembers(aNode);
  }
}

// Runs the timers of all engines, for example deadlines of held flows.
void
TickEngines(Node& aNode, Sender& aSender, Micros aNow)
{
  Outbox out;
  for (const auto& [key, entry] : aNode.Current()->services) {
    out.clear();
    int64_t version = 0;
    {
      absl::MutexLock lock(&entry->mutex);
      entry->engine.OnTick(aNow, out);
      version = entry->engine.Version();
    }
    aSender.Execute({ out.data(), out.size() }, {}, key, version);
  }
  aSender.Flush();
}

// Runs the timers of the membership, sends the probes that are due and applies
// changes of the membership.
void
TickMembers(Node& aNode, Sender& aSender, Micros aNow)
{
  std::vector<OutgoingProbe> probes;
  uint64_t changesBefore = 0;
  {
    absl::MutexLock lock(&aNode.control);
    changesBefore = aNode.members.Changes();
    aNode.members.OnTick(aNow, probes);
  }
  SendProbes(aNode, aSender, probes);
  ApplyMembershipChanges(aNode, changesBefore);
  aSender.Flush();
}

}

void
HandleSealedProbe(Node& aNode,
                  Sender& aSender,
                  ThreadCounts& aCounts,
                  std::span<const uint8_t> aDatagram)
{
  std::vector<OutgoingProbe> probes;
  uint64_t changesBefore = 0;
  {
    absl::MutexLock lock(&aNode.control);
    absl::StatusOr<Sealer::Opened> opened = aNode.sealer.Open(
      { reinterpret_cast<const char*>(aDatagram.data()), aDatagram.size() });
    absl::StatusOr<Probe> probe =
      opened.ok() ? DecodeProbe(opened->body) : opened.status();
    if (!probe.ok()) {
      aCounts.Add(Reason::BadPeerMessage);
      return;
    }
    changesBefore = aNode.members.Changes();
    aNode.members.OnProbe(opened->sender, *probe, MonotonicNow(), probes);
  }
  SendProbes(aNode, aSender, probes);
  ApplyMembershipChanges(aNode, changesBefore);
}

void
SendUpdatesNow(Node& aNode, Sender& aSender)
{
  std::vector<OutgoingProbe> probes;
  {
    absl::MutexLock lock(&aNode.control);
    aNode.members.SendUpdates(probes);
  }
  SendProbes(aNode, aSender, probes);
  aSender.Flush();
}

void
ActivateAndAnnounce(Node& aNode, Sender& aSender, const Table& aTable)
{
  if (!aNode.ActivateTable(aTable, MonotonicNow())) {
    return;
  }
  LogInfo(kLogTable, absl::StrCat("Version ", aTable.version, " is in force."));
  {
    absl::MutexLock lock(&aNode.control);
    aNode.members.SetTableVersion(aTable.version);
  }
  SendUpdatesNow(aNode, aSender);
}

void
RunTicks(Node& aNode,
         const Sockets& aSockets,
         ThreadCounts& aCounts,
         const std::atomic<bool>& aStop)
{
  Sender sender(aNode, aSockets, aCounts);
  while (!aStop) {
    Micros now = MonotonicNow();
    aNode.DetectProcessPause(now);
    aNode.RecordTick(now);
    TickEngines(aNode, sender, now);
    TickMembers(aNode, sender, now);
    std::this_thread::sleep_for(kTickPeriod);
  }
}

}
