#include "soak/callers.h"

#include "soak/server.h"
#include "tagged/loop.h"

#include <algorithm>
#include <sstream>

namespace gentianspindle::soak {

namespace {

constexpr Micros kFirstCopy = 200 * kMillisecond;
constexpr Micros kSecondCopy = 600 * kMillisecond;
constexpr Micros kGiveUpOpening = 1400 * kMillisecond;
constexpr Micros kDeadline = 4 * kSecond;
constexpr Micros kRepeat = 200 * kMillisecond;
constexpr Micros kLongestRepeat = 1600 * kMillisecond;
// A part of the flows carries many requests, with pauses between.
constexpr uint32_t kLongFlowOneIn = 4;
constexpr int kMostRequests = 12;
constexpr Micros kMostPause = 700 * kMillisecond;
// A port is used again long after its flow has ended.
constexpr uint16_t kFirstPort = 1024;

}

Callers::Callers(const CallerOptions& aOptions, Ledger& aLedger, Port aPort)
  : options(aOptions)
  , ledger(aLedger)
  , port(std::move(aPort))
  , random(aOptions.seed)
{
}

absl::StatusOr<std::unique_ptr<Callers>>
Callers::Make(const CallerOptions& aOptions, Ledger& aLedger)
{
  absl::StatusOr<Port> port =
    Port::Bind({ aOptions.address, aOptions.fabric.port });
  if (!port.ok()) {
    return port.status();
  }
  return std::unique_ptr<Callers>(
    new Callers(aOptions, aLedger, *std::move(port)));
}

void
Callers::Step()
{
  this->port.Receive([this](std::span<uint8_t> aBytes, Endpoint /*aFrom*/) {
    if (std::optional<Packet> packet = Decode(aBytes)) {
      this->OnPacket(*packet);
    }
  });
  Micros now = tagged::SteadyNow();
  for (auto flow = this->flows.begin(); flow != this->flows.end();) {
    auto next = std::next(flow);
    if (flow->second.nextAt <= now) {
      this->OnTime(flow);
    }
    flow = next;
  }
  if (!this->finishing && now >= this->openAt) {
    std::exponential_distribution<double> gap(this->options.requestsPerS);
    this->openAt = now + static_cast<Micros>(gap(this->random) * kSecond);
    this->Open();
  }
}

void
Callers::Open()
{
  while (this->flows.contains(this->nextPort)) {
    this->nextPort = std::max<uint16_t>(kFirstPort, this->nextPort + 1);
  }
  uint16_t port = this->nextPort;
  this->nextPort = std::max<uint16_t>(kFirstPort, this->nextPort + 1);
  const auto& [target, service] =
    this->options.targets[this->random() % this->options.targets.size()];
  Flow flow{ .target = target, .service = service };
  bool isLong = this->random() % kLongFlowOneIn == 0;
  flow.requestsLeft =
    isLong ? 2 + static_cast<int>(this->random() % kMostRequests) : 1;
  flow.next = this->random();
  this->StartRequest(flow);
  flow.nextAt = flow.startedAt + kFirstCopy;
  this->Send(port, flow, { .seq = flow.next, .syn = true });
  this->flows[port] = std::move(flow);
}

void
Callers::StartRequest(Flow& aFlow)
{
  aFlow.id = "r" + std::to_string(this->options.seed) + "-" +
             std::to_string(this->nextId++);
  aFlow.request = "GET /" + aFlow.service +
                  " HTTP/1.1\r\nAttempt-Id: " + aFlow.id + "\r\n\r\n";
  aFlow.answer.clear();
  aFlow.startedAt = tagged::SteadyNow();
  --aFlow.requestsLeft;
  this->ledger.OnSent(aFlow.id, aFlow.service);
  ++this->counts.sent;
}

void
Callers::End(Flows::iterator aFlow, uint64_t& aCount)
{
  ++aCount;
  this->flows.erase(aFlow);
}

void
Callers::OnReset(Flows::iterator aFlow, const Packet& aPacket)
{
  const Flow& flow = aFlow->second;
  Micros now = tagged::SteadyNow();
  if (!flow.open) {
    this->ledger.OnRefused(flow.id, now);
    this->End(aFlow, this->counts.refused);
    return;
  }
  if (IsForeignReset(aPacket) && !flow.closing && !flow.server.empty()) {
    this->ledger.OnFlowReset(flow.server, now);
  }
  this->End(aFlow, this->counts.lost);
}

void
Callers::OnPacket(const Packet& aPacket)
{
  auto known = this->flows.find(aPacket.to.port);
  if (known == this->flows.end() || known->second.target != aPacket.from) {
    return;
  }
  if (aPacket.rst) {
    this->OnReset(known, aPacket);
    return;
  }
  if (!IsWhole(aPacket)) {
    this->ledger.OnChanged("caller", tagged::SteadyNow());
    return;
  }
  Flow& flow = known->second;
  flow.echo = aPacket.echo;
  if (aPacket.syn) {
    if (!flow.open) {
      flow.open = true;
      flow.heard = aPacket.seq + 1;
      ++flow.next;
      flow.nextAt = 0;
      flow.repeatAfter = kRepeat;
    }
    return;
  }
  if (flow.closing && aPacket.fin) {
    this->flows.erase(known);
    return;
  }
  if (aPacket.data.empty() || aPacket.seq != flow.heard) {
    return;
  }
  flow.heard += static_cast<uint32_t>(aPacket.data.size());
  flow.answer += aPacket.data;
  bool goesOn = this->OnAnswer(flow);
  this->Send(
    known->first, flow, { .seq = flow.next, .ack = flow.heard, .acks = true });
  if (!goesOn) {
    this->flows.erase(known);
  }
}

bool
Callers::OnAnswer(Flow& aFlow)
{
  size_t head = aFlow.answer.find('\n');
  if (head == std::string::npos || aFlow.id.empty()) {
    return true;
  }
  std::istringstream words(aFlow.answer.substr(0, head));
  std::string id;
  std::string service;
  std::string server;
  std::string end;
  size_t bytes = 0;
  words >> id >> service >> server >> end >> bytes;
  std::string body = aFlow.answer.substr(head + 1);
  Micros now = tagged::SteadyNow();
  if (id != aFlow.id) {
    this->ledger.OnBadAnswer(aFlow.id, "the answer to " + id, now);
    return false;
  }
  if (body.size() < bytes) {
    return true;
  }
  if (body != MakeBody(id, bytes)) {
    this->ledger.OnBadAnswer(id, "its body is not whole", now);
    return false;
  }
  bool moved = !aFlow.server.empty() && aFlow.server != server;
  if (service != aFlow.service || moved) {
    this->ledger.OnBadAnswer(id, "from " + server + " of " + service, now);
    return false;
  }
  ++this->counts.answered;
  aFlow.server = server;
  aFlow.id.clear();
  aFlow.next += static_cast<uint32_t>(aFlow.request.size());
  bool last = aFlow.requestsLeft == 0 || end == "close" || this->finishing;
  aFlow.closing = last;
  Micros pause = static_cast<Micros>(this->random() % kMostPause);
  aFlow.nextAt = last ? now : now + pause;
  aFlow.copies = 0;
  return true;
}

// A repetition is due, or the next request, or the end.
void
Callers::OnTime(Flows::iterator aFlow)
{
  Flow& flow = aFlow->second;
  Micros now = tagged::SteadyNow();
  bool late = now - flow.startedAt > kDeadline;
  if (flow.closing) {
    if (++flow.copies > 3) {
      this->flows.erase(aFlow);
      return;
    }
    this->Send(
      aFlow->first,
      flow,
      { .seq = flow.next, .ack = flow.heard, .acks = true, .fin = true });
    flow.nextAt = now + kRepeat;
    return;
  }
  if (!flow.open) {
    if (now - flow.startedAt >= kGiveUpOpening) {
      this->End(aFlow, this->counts.lost);
      return;
    }
    ++flow.copies;
    if (flow.copies <= 2) {
      this->Send(aFlow->first,
                 flow,
                 { .seq = flow.next,
                   .ack = static_cast<uint32_t>(flow.copies),
                   .syn = true });
    }
    flow.nextAt =
      flow.startedAt + (flow.copies == 1 ? kSecondCopy : kGiveUpOpening);
    return;
  }
  if (flow.id.empty()) {
    this->StartRequest(flow);
    flow.repeatAfter = kRepeat;
  } else if (late) {
    this->End(aFlow, this->counts.lost);
    return;
  }
  this->Send(aFlow->first,
             flow,
             { .seq = flow.next,
               .ack = flow.heard,
               .acks = true,
               .data = flow.request });
  flow.nextAt = now + flow.repeatAfter;
  flow.repeatAfter = std::min(flow.repeatAfter * 2, kLongestRepeat);
}

void
Callers::Send(uint16_t aPort, const Flow& aFlow, Packet aPacket)
{
  aPacket.from = { this->options.address, aPort };
  aPacket.to = aFlow.target;
  aPacket.echo = aFlow.echo;
  this->port.Send(Encode(aPacket), this->options.fabric);
}

}
