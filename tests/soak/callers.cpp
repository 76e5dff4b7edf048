#include "soak/callers.h"

#include "soak/server.h"
#include "tagged/loop.h"

#include <algorithm>
#include <sstream>

namespace gentianspindle::soak {

namespace {

// Times since the first copy of an opening packet. It is repeated twice at
// most.
constexpr Micros kFirstRetransmit = 200 * kMillisecond;
constexpr Micros kSecondRetransmit = 600 * kMillisecond;
constexpr Micros kOpeningTimeout = 1400 * kMillisecond;
// Time for a request and its response. The first request of a flow starts with
// the opening packet.
constexpr Micros kRequestTimeout = 4 * kSecond;
// The retransmission timeout of a request doubles with each retransmission.
constexpr Micros kRetransmitTimeout = 200 * kMillisecond;
constexpr Micros kMaxRetransmitTimeout = 1600 * kMillisecond;
// One flow in four carries several requests, 2 to 13, with pauses of less than
// kMaxPause between them.
constexpr uint32_t kLongFlowOneIn = 4;
constexpr int kRequestCountRange = 12;
constexpr Micros kMaxPause = 700 * kMillisecond;
// Ports are used in turn, so that one is reused only long after its flow has
// ended.
constexpr uint16_t kFirstPort = 1024;

}

Callers::Callers(const CallerOptions& aOptions,
                 Ledger& aLedger,
                 DatagramSocket aPort)
  : options(aOptions)
  , ledger(aLedger)
  , port(std::move(aPort))
  , random(aOptions.seed)
{
}

absl::StatusOr<std::unique_ptr<Callers>>
Callers::Make(const CallerOptions& aOptions, Ledger& aLedger)
{
  absl::StatusOr<DatagramSocket> port =
    DatagramSocket::Bind({ aOptions.address, aOptions.fabric.port });
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
      this->OnTimer(flow);
    }
    flow = next;
  }
  if (!this->finishing && now >= this->openAt) {
    std::exponential_distribution<double> gap(this->options.flowsPerS);
    this->openAt = now + static_cast<Micros>(gap(this->random) * kSecond);
    this->OpenFlow();
  }
}

void
Callers::OpenFlow()
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
    isLong ? 2 + static_cast<int>(this->random() % kRequestCountRange) : 1;
  flow.next = this->random();
  this->StartRequest(flow);
  flow.nextAt = flow.startedAt + kFirstRetransmit;
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
  aFlow.response.clear();
  aFlow.startedAt = tagged::SteadyNow();
  --aFlow.requestsLeft;
  this->ledger.OnSent(aFlow.id, aFlow.service);
  ++this->counts.sent;
}

void
Callers::EndFlow(Flows::iterator aFlow, uint64_t& aCount)
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
    this->EndFlow(aFlow, this->counts.refused);
    return;
  }
  if (IsBalancerReset(aPacket) && !flow.closing && !flow.server.empty()) {
    this->ledger.OnFlowReset(flow.server, now);
  }
  this->EndFlow(aFlow, this->counts.lost);
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
  if (!IsIntact(aPacket)) {
    this->ledger.OnCorruptedPacket("caller", tagged::SteadyNow());
    return;
  }
  Flow& flow = known->second;
  flow.echo = aPacket.echo;
  if (aPacket.syn) {
    if (!flow.open) {
      flow.open = true;
      flow.nextExpected = aPacket.seq + 1;
      ++flow.next;
      flow.nextAt = 0;
      flow.retransmitAfter = kRetransmitTimeout;
    }
    return;
  }
  if (flow.closing && aPacket.fin) {
    this->flows.erase(known);
    return;
  }
  if (aPacket.data.empty() || aPacket.seq != flow.nextExpected) {
    return;
  }
  flow.nextExpected += static_cast<uint32_t>(aPacket.data.size());
  flow.response += aPacket.data;
  bool flowContinues = this->OnResponse(flow);
  this->Send(known->first,
             flow,
             { .seq = flow.next, .ack = flow.nextExpected, .acks = true });
  if (!flowContinues) {
    this->flows.erase(known);
  }
}

bool
Callers::OnResponse(Flow& aFlow)
{
  size_t headerEnd = aFlow.response.find('\n');
  if (headerEnd == std::string::npos || aFlow.id.empty()) {
    return true;
  }
  std::istringstream fields(aFlow.response.substr(0, headerEnd));
  std::string id;
  std::string service;
  std::string server;
  std::string end;
  size_t bytes = 0;
  fields >> id >> service >> server >> end >> bytes;
  std::string body = aFlow.response.substr(headerEnd + 1);
  Micros now = tagged::SteadyNow();
  if (id != aFlow.id) {
    this->ledger.OnBadResponse(aFlow.id, "got the response to " + id, now);
    return false;
  }
  if (body.size() < bytes) {
    return true;
  }
  if (body != MakeBody(id, bytes)) {
    this->ledger.OnBadResponse(
      id, "its body differs from what the server sent", now);
    return false;
  }
  bool serverChanged = !aFlow.server.empty() && aFlow.server != server;
  if (service != aFlow.service || serverChanged) {
    this->ledger.OnBadResponse(
      id, "got a response of server " + server + " of service " + service, now);
    return false;
  }
  ++this->counts.answered;
  aFlow.server = server;
  aFlow.id.clear();
  aFlow.next += static_cast<uint32_t>(aFlow.request.size());
  bool last = aFlow.requestsLeft == 0 || end == "close" || this->finishing;
  aFlow.closing = last;
  Micros pause = static_cast<Micros>(this->random() % kMaxPause);
  aFlow.nextAt = last ? now : now + pause;
  aFlow.retransmits = 0;
  return true;
}

void
Callers::OnTimer(Flows::iterator aFlow)
{
  Flow& flow = aFlow->second;
  Micros now = tagged::SteadyNow();
  bool timedOut = now - flow.startedAt > kRequestTimeout;
  if (flow.closing) {
    // After three FINs without an answer the flow counts as closed.
    if (++flow.retransmits > 3) {
      this->flows.erase(aFlow);
      return;
    }
    this->Send(aFlow->first,
               flow,
               { .seq = flow.next,
                 .ack = flow.nextExpected,
                 .acks = true,
                 .fin = true });
    flow.nextAt = now + kRetransmitTimeout;
    return;
  }
  if (!flow.open) {
    if (now - flow.startedAt >= kOpeningTimeout) {
      this->EndFlow(aFlow, this->counts.lost);
      return;
    }
    ++flow.retransmits;
    if (flow.retransmits <= 2) {
      this->Send(aFlow->first,
                 flow,
                 { .seq = flow.next,
                   .ack = static_cast<uint32_t>(flow.retransmits),
                   .syn = true });
    }
    flow.nextAt = flow.startedAt +
                  (flow.retransmits == 1 ? kSecondRetransmit : kOpeningTimeout);
    return;
  }
  if (flow.id.empty()) {
    this->StartRequest(flow);
    flow.retransmitAfter = kRetransmitTimeout;
  } else if (timedOut) {
    this->EndFlow(aFlow, this->counts.lost);
    return;
  }
  this->Send(aFlow->first,
             flow,
             { .seq = flow.next,
               .ack = flow.nextExpected,
               .acks = true,
               .data = flow.request });
  flow.nextAt = now + flow.retransmitAfter;
  flow.retransmitAfter =
    std::min(flow.retransmitAfter * 2, kMaxRetransmitTimeout);
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
