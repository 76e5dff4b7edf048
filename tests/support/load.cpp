#include "support/load.h"

#include <algorithm>
#include <numeric>

namespace gentianspindle {

namespace {

constexpr uint32_t kRequestBytes = 100;
constexpr uint32_t kAnswerBytes = 1000;
constexpr Micros kFirstRetransmit = 1 * kSecond;
constexpr uint32_t kMaxTries = 7;

// The server's first number differs from server to server.
uint32_t
ServerStart(Address aServer)
{
  return aServer * 2654435761U;
}

}

Micros
LoadResult::ShortAt(double aShare)
{
  std::sort(this->shortTimes.begin(), this->shortTimes.end());
  size_t count = this->shortTimes.size();
  return count == 0 ? 0
                    : this->shortTimes[static_cast<size_t>(
                        aShare * static_cast<double>(count - 1))];
}

double
LoadResult::BusyImbalance() const
{
  Micros sum = 0;
  Micros most = 0;
  for (const auto& [server, time] : this->busyTime) {
    sum += time;
    most = std::max(most, time);
  }
  return sum == 0 ? 0
                  : static_cast<double>(most) *
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

// Arrivals are Poisson with the rate of the moment.
void
Load::ScheduleArrival(size_t aService)
{
  double rate = this->options.rate(this->clock.Now() - this->start) *
                this->shares[aService];
  std::exponential_distribution<double> gap(rate / kSecond);
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
  uint64_t number = this->nextFlow++;
  FlowKey flow =
    MakeFlowKey(static_cast<Address>(kFirstCaller + number / kPorts),
                static_cast<uint16_t>(1024 + number % kPorts));
  Caller& caller = this->callers[flow];
  caller.service = this->services[aService];
  caller.sent = static_cast<uint32_t>(this->random());
  caller.requestsLeft = this->options.requestsPerFlow;
  caller.openedAt = this->clock.Now();
  caller.requestAt = this->clock.Now();
  ++this->result.opened;
  this->Emit(flow, kTcpSyn, 0);
  this->StartTimer(flow);
  if (this->options.deadline > 0) {
    this->clock.After(this->options.deadline,
                      [=, this] { this->GiveUp(flow); });
  }
}

void
Load::Emit(FlowKey aFlow, uint8_t aFlags, uint32_t aPayload)
{
  const Caller& caller = this->callers.at(aFlow);
  Segment segment;
  segment.service = caller.service;
  segment.flow = aFlow;
  segment.sequence = caller.sent;
  segment.acknowledged = caller.received;
  segment.payload = aPayload;
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
  Micros wait = kFirstRetransmit << caller.tries;
  this->clock.After(wait, [=, this] {
    auto found = this->callers.find(aFlow);
    if (found == this->callers.end() || found->second.timer != timer) {
      return;
    }
    Caller& late = found->second;
    if (++late.tries > kMaxTries) {
      ++this->result.broken;
      this->callers.erase(found);
      return;
    }
    if (!late.established) {
      this->Emit(aFlow, kTcpSyn, 0);
    } else if (late.waiting) {
      late.sent -= kRequestBytes;
      this->Emit(aFlow, kTcpAck | kTcpPsh, kRequestBytes);
      late.sent += kRequestBytes;
    }
    this->StartTimer(aFlow);
  });
}

void
Load::GiveUp(FlowKey aFlow)
{
  auto found = this->callers.find(aFlow);
  if (found == this->callers.end()) {
    return;
  }
  ++this->result.givenUp;
  if (found->second.established) {
    this->Emit(aFlow, kTcpRst | kTcpAck, 0);
  }
  this->callers.erase(found);
}

void
Load::AtServer(Address aServer, const Segment& aSegment)
{
  Backend& backend = this->backends.at(aServer);
  FlowKey flow = aSegment.flow;
  if (aSegment.Opens()) {
    if (backend.seen.insert(flow).second) {
      ++this->result.flowsAt[aServer];
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
    ++this->result.twoServers;
    return;
  }
  backend.open.insert(flow);
  this->result.overConnections +=
    backend.open.size() > backend.connections ? 1 : 0;
  bool request =
    aSegment.payload > 0 && caller->second.waiting && caller->second.work > 0;
  if (request) {
    backend.queue.push_back({ flow, caller->second.work });
    caller->second.work = 0; // a retransmitted request runs no second time
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
      this->options.slowness
        ? this->options.slowness(aServer, this->clock.Now() - this->start)
        : 1;
    auto took = static_cast<Micros>(static_cast<double>(job.work) * factor);
    this->clock.After(took, [=, this] { this->Finish(aServer, job, took); });
  }
}

void
Load::Finish(Address aServer, const Job& aJob, Micros aDuration)
{
  Backend& backend = this->backends.at(aServer);
  --backend.busy;
  this->result.busyTime[aServer] += aDuration;
  this->clock.After(this->options.callerDelay,
                    [=, this] { this->OnAnswer(aJob.flow, aServer); });
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
  caller.received = ServerStart(aServer) + 1;
  caller.sent += 1;
  caller.tries = 0;
  this->Emit(aFlow, kTcpAck, 0);
  Micros opened = caller.openedAt;
  this->Request(aFlow);
  caller.requestAt = opened; // the first request's time holds the handshake
}

void
Load::Request(FlowKey aFlow)
{
  auto found = this->callers.find(aFlow);
  if (found == this->callers.end()) {
    return;
  }
  Caller& caller = found->second;
  std::uniform_real_distribution<double> share(0, 1);
  std::exponential_distribution<double> work(
    1.0 / static_cast<double>(this->options.shortWork));
  caller.isLong = share(this->random) < this->options.longShare;
  double time = work(this->random);
  time *= caller.isLong ? this->options.longFactor : 1;
  caller.work = std::max<Micros>(1, static_cast<Micros>(time));
  caller.waiting = true;
  caller.requestAt = this->clock.Now();
  --caller.requestsLeft;
  this->Emit(aFlow, kTcpAck | kTcpPsh, kRequestBytes);
  caller.sent += kRequestBytes;
  this->StartTimer(aFlow);
}

void
Load::OnAnswer(FlowKey aFlow, Address aServer)
{
  auto found = this->callers.find(aFlow);
  if (found == this->callers.end() || found->second.server != aServer) {
    return;
  }
  Caller& caller = found->second;
  caller.received += kAnswerBytes;
  caller.waiting = false;
  caller.tries = 0;
  ++caller.timer;
  (caller.isLong ? this->result.longTimes : this->result.shortTimes)
    .push_back(this->clock.Now() - caller.requestAt);
  this->Emit(aFlow, kTcpAck, 0);
  if (caller.requestsLeft == 0) {
    ++this->result.whole;
    this->Emit(aFlow, kTcpAck | kTcpFin, 0);
    this->callers.erase(found);
    return;
  }
  std::exponential_distribution<double> think(
    1.0 / static_cast<double>(std::max<Micros>(1, this->options.thinkTime)));
  this->clock.After(static_cast<Micros>(think(this->random)),
                    [=, this] { this->Request(aFlow); });
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
Load::OpenAt(Address aServer) const
{
  return this->backends.at(aServer).open.size();
}

}
