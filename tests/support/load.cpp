#include "support/load.h"

#include <algorithm>
#include <numeric>

namespace gentianspindle {

namespace {

constexpr uint32_t kRequestBytes = 100;
constexpr uint32_t kReplyBytes = 1000;
// The retransmission timeout doubles with each retransmission; after
// kMaxAttempts of them the flow is broken.
constexpr Micros kFirstRetransmit = 1 * kSecond;
constexpr uint32_t kMaxAttempts = 7;

// The initial sequence number of a server; it differs from server to server.
// The factor is that of multiplicative hashing.
uint32_t
InitialSequence(Address aServer)
{
  return aServer * 2654435761U;
}

}

Micros
LoadResult::ShortLatencyAt(double aQuantile)
{
  std::sort(this->shortLatencies.begin(), this->shortLatencies.end());
  size_t count = this->shortLatencies.size();
  return count == 0 ? 0
                    : this->shortLatencies[static_cast<size_t>(
                        aQuantile * static_cast<double>(count - 1))];
}

double
LoadResult::BusyImbalance() const
{
  Micros sum = 0;
  Micros longest = 0;
  for (const auto& [server, time] : this->busyTime) {
    sum += time;
    longest = std::max(longest, time);
  }
  return sum == 0 ? 0
                  : static_cast<double>(longest) *
                      static_cast<double>(this->busyTime.size()) /
                      static_cast<double>(sum);
}

Load::Load(VirtualClock& aClock, const LoadOptions& aOptions)
  : clock(aClock)
  , options(aOptions)
  , random(aOptions.seed)
{
}

void
Load::AddService(const Service& aService, double aShareOfFlows)
{
  this->services.push_back(aService.key);
  this->shares.push_back(aShareOfFlows);
  for (const ServerRow& row : aService.rows) {
    Backend& backend = this->backends[row.address];
    backend.slots = row.slots;
    backend.connections = row.connections;
    this->result.busyTime[row.address] = 0;
  }
}

void
Load::Start()
{
  this->start = this->clock.Now();
  for (size_t i = 0; i < this->services.size(); ++i) {
    this->ScheduleArrival(i);
  }
}

// Arrivals are a Poisson process with the rate of the current time.
void
Load::ScheduleArrival(size_t aService)
{
  double arrivalRate =
    this->options.arrivalRate(this->clock.Now() - this->start) *
    this->shares[aService];
  std::exponential_distribution<double> gap(arrivalRate / kSecond);
  this->clock.After(static_cast<Micros>(gap(this->random)), [=, this] {
    if (this->clock.Now() - this->start >= this->options.duration) {
      return;
    }
    this->OpenFlow(aService);
    this->ScheduleArrival(aService);
  });
}

void
Load::OpenFlow(size_t aService)
{
  constexpr Address kFirstCaller = 0x0A000001;
  constexpr uint64_t kPorts = 50'000;
  uint64_t index = this->nextFlow++;
  FlowKey flow =
    MakeFlowKey(static_cast<Address>(kFirstCaller + index / kPorts),
                static_cast<uint16_t>(1024 + index % kPorts));
  Caller& caller = this->callers[flow];
  caller.service = this->services[aService];
  caller.sent = static_cast<uint32_t>(this->random());
  caller.requestsLeft = this->options.requestsPerFlow;
  caller.openedAt = this->clock.Now();
  caller.requestAt = this->clock.Now();
  ++this->result.opened;
  this->SendFromCaller(flow, kTcpSyn, 0);
  this->StartTimer(flow);
  if (this->options.deadline > 0) {
    this->clock.After(this->options.deadline,
                      [=, this] { this->Abandon(flow); });
  }
}

void
Load::SendFromCaller(FlowKey aFlow, uint8_t aFlags, uint32_t aPayload)
{
  const Caller& caller = this->callers.at(aFlow);
  Segment segment;
  segment.service = caller.service;
  segment.flow = aFlow;
  segment.sequence = caller.sent;
  segment.acknowledged = caller.received;
  segment.payload = aPayload;
  // 40 bytes of IPv4 and TCP headers.
  segment.length = static_cast<uint16_t>(40 + aPayload);
  segment.flags = aFlags;
  this->clock.After(this->options.callerDelay,
                    [=, this] { this->send(segment); });
}

void
Load::StartTimer(FlowKey aFlow)
{
  Caller& caller = this->callers.at(aFlow);
  uint32_t timer = ++caller.timer;
  Micros wait = kFirstRetransmit << caller.attempts;
  this->clock.After(wait, [=, this] {
    auto found = this->callers.find(aFlow);
    if (found == this->callers.end() || found->second.timer != timer) {
      return;
    }
    Caller& overdue = found->second;
    if (++overdue.attempts > kMaxAttempts) {
      ++this->result.broken;
      this->callers.erase(found);
      return;
    }
    if (!overdue.established) {
      this->SendFromCaller(aFlow, kTcpSyn, 0);
    } else if (overdue.awaitingReply) {
      overdue.sent -= kRequestBytes;
      this->SendFromCaller(aFlow, kTcpAck | kTcpPsh, kRequestBytes);
      overdue.sent += kRequestBytes;
    }
    this->StartTimer(aFlow);
  });
}

void
Load::Abandon(FlowKey aFlow)
{
  auto found = this->callers.find(aFlow);
  if (found == this->callers.end()) {
    return;
  }
  ++this->result.abandoned;
  if (found->second.established) {
    this->SendFromCaller(aFlow, kTcpRst | kTcpAck, 0);
  }
  this->callers.erase(found);
}

void
Load::DeliverToServer(Address aServer, const Segment& aSegment)
{
  Backend& backend = this->backends.at(aServer);
  FlowKey flow = aSegment.flow;
  if (aSegment.Opens()) {
    if (backend.seen.insert(flow).second) {
      ++this->result.flowsPerServer[aServer];
    }
    this->clock.After(this->options.callerDelay,
                      [=, this] { this->OnSynAck(flow, aServer); });
    return;
  }
  if ((aSegment.flags & kTcpRst) != 0) {
    backend.open.erase(flow);
    std::erase_if(backend.queue,
                  [=](const Job& aJob) { return aJob.flow == flow; });
    return;
  }
  auto caller = this->callers.find(flow);
  if (caller == this->callers.end()) {
    backend.open.erase(flow);
    return;
  }
  if (caller->second.server != aServer) {
    ++this->result.wrongServer;
    return;
  }
  backend.open.insert(flow);
  this->result.overConnectionLimit +=
    backend.open.size() > backend.connections ? 1 : 0;
  bool isNewRequest = aSegment.payload > 0 && caller->second.awaitingReply &&
                      caller->second.work > 0;
  if (isNewRequest) {
    backend.queue.push_back({ flow, caller->second.work });
    // No work is left, so that a retransmitted request isn't executed again.
    caller->second.work = 0;
    this->StartJobs(aServer);
  }
  if ((aSegment.flags & kTcpFin) != 0) {
    backend.open.erase(flow);
  }
}

void
Load::StartJobs(Address aServer)
{
  Backend& backend = this->backends.at(aServer);
  while (backend.busy < backend.slots && !backend.queue.empty()) {
    Job job = backend.queue.front();
    backend.queue.pop_front();
    ++backend.busy;
    double factor =
      this->options.slowdown
        ? this->options.slowdown(aServer, this->clock.Now() - this->start)
        : 1;
    auto executionTime =
      static_cast<Micros>(static_cast<double>(job.work) * factor);
    this->clock.After(executionTime, [=, this] {
      this->FinishJob(aServer, job, executionTime);
    });
  }
}

void
Load::FinishJob(Address aServer, const Job& aJob, Micros aDuration)
{
  Backend& backend = this->backends.at(aServer);
  --backend.busy;
  this->result.busyTime[aServer] += aDuration;
  this->clock.After(this->options.callerDelay,
                    [=, this] { this->OnReply(aJob.flow, aServer); });
  this->StartJobs(aServer);
}

void
Load::OnSynAck(FlowKey aFlow, Address aServer)
{
  auto found = this->callers.find(aFlow);
  if (found == this->callers.end() || found->second.established) {
    return;
  }
  Caller& caller = found->second;
  caller.established = true;
  caller.server = aServer;
  caller.received = InitialSequence(aServer) + 1;
  caller.sent += 1;
  caller.attempts = 0;
  this->SendFromCaller(aFlow, kTcpAck, 0);
  Micros opened = caller.openedAt;
  this->SendRequest(aFlow);
  // The latency of the first request includes the handshake.
  caller.requestAt = opened;
}

void
Load::SendRequest(FlowKey aFlow)
{
  auto found = this->callers.find(aFlow);
  if (found == this->callers.end()) {
    return;
  }
  Caller& caller = found->second;
  std::uniform_real_distribution<double> uniform(0, 1);
  std::exponential_distribution<double> work(
    1.0 / static_cast<double>(this->options.meanShortWork));
  caller.isLong = uniform(this->random) < this->options.longShare;
  double time = work(this->random);
  time *= caller.isLong ? this->options.longFactor : 1;
  caller.work = std::max<Micros>(1, static_cast<Micros>(time));
  caller.awaitingReply = true;
  caller.requestAt = this->clock.Now();
  --caller.requestsLeft;
  this->SendFromCaller(aFlow, kTcpAck | kTcpPsh, kRequestBytes);
  caller.sent += kRequestBytes;
  this->StartTimer(aFlow);
}

void
Load::OnReply(FlowKey aFlow, Address aServer)
{
  auto found = this->callers.find(aFlow);
  if (found == this->callers.end() || found->second.server != aServer) {
    return;
  }
  Caller& caller = found->second;
  caller.received += kReplyBytes;
  caller.awaitingReply = false;
  caller.attempts = 0;
  ++caller.timer;
  (caller.isLong ? this->result.longLatencies : this->result.shortLatencies)
    .push_back(this->clock.Now() - caller.requestAt);
  this->SendFromCaller(aFlow, kTcpAck, 0);
  if (caller.requestsLeft == 0) {
    ++this->result.completed;
    this->SendFromCaller(aFlow, kTcpAck | kTcpFin, 0);
    this->callers.erase(found);
    return;
  }
  std::exponential_distribution<double> think(
    1.0 / static_cast<double>(std::max<Micros>(1, this->options.thinkTime)));
  this->clock.After(static_cast<Micros>(think(this->random)),
                    [=, this] { this->SendRequest(aFlow); });
}

void
Load::OnRefused(FlowKey aFlow)
{
  auto found = this->callers.find(aFlow);
  if (found == this->callers.end()) {
    return;
  }
  bool seen = std::any_of(
    this->backends.begin(), this->backends.end(), [&](const auto& aBackend) {
      return aBackend.second.seen.contains(aFlow);
    });
  this->result.refusedButSeen += seen ? 1 : 0;
  ++(found->second.established ? this->result.broken : this->result.refused);
  this->callers.erase(found);
}

void
Load::OnReset(FlowKey aFlow)
{
  if (this->callers.erase(aFlow) > 0) {
    ++this->result.broken;
  }
}

size_t
Load::EstablishedFlowsAt(Address aServer) const
{
  return this->backends.at(aServer).open.size();
}

}
