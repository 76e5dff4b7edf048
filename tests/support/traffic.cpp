#include "support/traffic.h"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <poll.h>
#include <sys/socket.h>
#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>
#include <unistd.h>

namespace gentianspindle {

namespace {

constexpr Micros kRetransmitDelay = 300 * kMillisecond;
constexpr uint32_t kRequestBytes = 100;
constexpr uint32_t kSegmentBytes = 1000;
constexpr size_t kGeneveBytes = 8;
constexpr size_t kBufferBytes = 4096;
constexpr int kSocketBufferBytes = 8 << 20;
// Version 0, no options, protocol type 0x0800 (IPv4), VNI 0.
constexpr std::array<uint8_t, kGeneveBytes> kGeneveHeader{ 0, 0, 8, 0,
                                                           0, 0, 0, 0 };

Micros
Now()
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

sockaddr_in
ToSocketAddress(Address aAddress, uint16_t aPort)
{
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_addr.s_addr = htonl(aAddress);
  target.sin_port = htons(aPort);
  return target;
}

int
OpenUdp(Address aAddress, uint16_t aPort)
{
  int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in address = ToSocketAddress(aAddress, aPort);
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kSocketBufferBytes, sizeof(int));
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

// Initial sequence number of a server for a flow. It differs from server to
// server, so that a packet at a second server can't be taken for one of the
// first server's. The factors are those of multiplicative hashing, close
// to 2^32 and 2^16 divided by the golden ratio.
uint32_t
InitialSequence(Address aServer, FlowKey aFlow)
{
  return static_cast<uint32_t>((aServer * 2654435761U) ^ (aFlow * 40503U));
}

bool
HasValidChecksums(const uint8_t* aPacket, size_t aBytes)
{
  Tins::IP ip(aPacket, static_cast<uint32_t>(aBytes));
  Tins::TCP* tcp = ip.find_pdu<Tins::TCP>();
  if (tcp == nullptr) {
    return false;
  }
  uint16_t ipSum = ip.checksum();
  uint16_t tcpSum = tcp->checksum();
  // serialize() computes both checksums again.
  std::vector<uint8_t> reserialized = ip.serialize();
  Tins::IP recomputed(reserialized.data(),
                      static_cast<uint32_t>(reserialized.size()));
  return recomputed.checksum() == ipSum &&
         recomputed.rfind_pdu<Tins::TCP>().checksum() == tcpSum;
}

}

Traffic::Traffic(const TrafficOptions& aOptions)
  : options(aOptions)
  , random(aOptions.seed)
{
}

Traffic::~Traffic()
{
  close(this->fabricSocket);
  for (Backend& backend : this->backends) {
    close(backend.socket);
  }
}

bool
Traffic::Open()
{
  constexpr Address kFabric = 0x7F000001;
  this->fabricSocket = OpenUdp(kFabric, this->options.returnPort);
  if (this->fabricSocket < 0) {
    return false;
  }
  sockaddr_in bound{};
  socklen_t bytes = sizeof(bound);
  getsockname(this->fabricSocket, reinterpret_cast<sockaddr*>(&bound), &bytes);
  this->returnPort = ntohs(bound.sin_port);
  for (size_t i = 0; i < this->options.table.services.size(); ++i) {
    for (const ServerRow& row : this->options.table.services[i].rows) {
      Backend& backend = this->backends.emplace_back();
      backend.address = row.address;
      backend.service = i;
      backend.slots = row.slots;
      backend.socket = OpenUdp(row.address, this->options.serverPort);
      if (backend.socket < 0) {
        return false;
      }
    }
  }
  return true;
}

void
Traffic::After(Micros aDelay, std::function<void()> aRun)
{
  this->events.push({ this->now + aDelay, ++this->order, std::move(aRun) });
}

TrafficResult
Traffic::Run()
{
  this->now = Now();
  auto gap = static_cast<Micros>(kSecond / this->options.flowsPerSecond);
  for (uint32_t i = 0; i < this->options.flows; ++i) {
    this->After(gap * i, [this] { this->OpenFlow(); });
  }
  std::vector<pollfd> pollEntries{ { this->fabricSocket, POLLIN, 0 } };
  for (Backend& backend : this->backends) {
    pollEntries.push_back({ backend.socket, POLLIN, 0 });
  }
  while (!this->events.empty()) {
    this->now = Now();
    while (!this->events.empty() && this->events.top().at <= this->now) {
      auto run = this->events.top().run;
      this->events.pop();
      run();
    }
    if (this->options.onLoop) {
      this->options.onLoop(this->now);
    }
    Micros next = this->events.empty() ? this->now : this->events.top().at;
    timespec timeout{
      0, std::clamp<Micros>(next - Now(), 0, kMillisecond) * 1000
    };
    if (ppoll(pollEntries.data(), pollEntries.size(), &timeout, nullptr) <= 0) {
      continue;
    }
    this->now = Now();
    for (size_t i = 0; i < pollEntries.size(); ++i) {
      if ((pollEntries[i].revents & POLLIN) != 0) {
        this->Receive(pollEntries[i].fd,
                      i == 0 ? nullptr : &this->backends[i - 1]);
      }
    }
  }
  return this->result;
}

void
Traffic::OpenFlow()
{
  constexpr Address kFirstCaller = 0x0A000001;
  constexpr uint64_t kPortsPerCaller = 20'000;
  uint64_t index = this->nextCaller++;
  FlowKey flow =
    MakeFlowKey(static_cast<Address>(kFirstCaller + index / kPortsPerCaller),
                static_cast<uint16_t>(10'000 + index % kPortsPerCaller));
  Caller& caller = this->callers[flow];
  caller.service = index % this->options.table.services.size();
  caller.sent = static_cast<uint32_t>(this->random());
  caller.requestsLeft = this->options.requestsPerFlow;
  caller.lastProgress = this->now;
  caller.requestAt = this->now;
  ++this->result.opened;
  this->SendFromCaller(flow, Tins::TCP::SYN, 0);
  this->StartTimer(flow);
}

void
Traffic::SendFromCaller(FlowKey aFlow, uint8_t aFlags, uint32_t aBytes)
{
  const Caller& caller = this->callers[aFlow];
  const Service& service = this->options.table.services[caller.service];
  Tins::IP ip(Tins::IPv4Address(htonl(service.key.address)),
              Tins::IPv4Address(htonl(static_cast<Address>(aFlow >> 16))));
  Tins::TCP tcp(service.key.port, static_cast<uint16_t>(aFlow));
  tcp.flags(aFlags);
  tcp.seq(caller.sent);
  tcp.ack_seq(caller.received);
  if ((aFlags & Tins::TCP::SYN) != 0) {
    tcp.mss(1460);
  }
  std::vector<uint8_t> payload(aBytes, 'q');
  if (aBytes > 0) {
    ip /= tcp / Tins::RawPDU(payload);
  } else {
    ip /= tcp;
  }
  std::vector<uint8_t> datagram(kGeneveHeader.begin(), kGeneveHeader.end());
  std::vector<uint8_t> packet = ip.serialize();
  datagram.insert(datagram.end(), packet.begin(), packet.end());
  InstanceId instance =
    this->options.instances[this->random() % this->options.instances.size()];
  sockaddr_in target =
    ToSocketAddress(InstanceAddress(instance), InstancePort(instance));
  sendto(this->fabricSocket,
         datagram.data(),
         datagram.size(),
         0,
         reinterpret_cast<sockaddr*>(&target),
         sizeof(target));
}

void
Traffic::StartTimer(FlowKey aFlow)
{
  uint32_t timer = ++this->callers[aFlow].timer;
  this->After(kRetransmitDelay, [=, this] { this->OnTimer(aFlow, timer); });
}

// Retransmits an unanswered SYN, or a request without its whole reply; ends the
// flow as broken after progressTimeout.
void
Traffic::OnTimer(FlowKey aFlow, uint32_t aTimer)
{
  auto found = this->callers.find(aFlow);
  if (found == this->callers.end() || found->second.timer != aTimer) {
    return;
  }
  Caller& caller = found->second;
  if (this->now - caller.lastProgress > this->options.progressTimeout) {
    ++this->result.broken;
    this->EndFlow(aFlow);
    return;
  }
  if (caller.state == CallerState::SynSent) {
    ++this->result.retransmissions;
    this->SendFromCaller(aFlow, Tins::TCP::SYN, 0);
  } else if (caller.state == CallerState::Requesting) {
    ++this->result.retransmissions;
    caller.sent -= kRequestBytes;
    this->SendFromCaller(aFlow, Tins::TCP::ACK | Tins::TCP::PSH, kRequestBytes);
    caller.sent += kRequestBytes;
  }
  this->StartTimer(aFlow);
}

void
Traffic::EndFlow(FlowKey aFlow)
{
  this->callers.erase(aFlow);
}

void
Traffic::Receive(int aSocket, Backend* aBackend)
{
  std::array<uint8_t, kBufferBytes> buffer;
  for (;;) {
    ssize_t bytes = recv(aSocket, buffer.data(), buffer.size(), 0);
    if (bytes <= static_cast<ssize_t>(kGeneveBytes)) {
      return;
    }
    const uint8_t* packet = buffer.data() + kGeneveBytes;
    size_t count = static_cast<size_t>(bytes) - kGeneveBytes;
    if (!HasValidChecksums(packet, count)) {
      ++this->result.badChecksum;
      continue;
    }
    if (aBackend != nullptr) {
      this->OnBackendPacket(*aBackend, packet, count);
      continue;
    }
    Tins::IP ip(packet, static_cast<uint32_t>(count));
    const Tins::TCP& tcp = ip.rfind_pdu<Tins::TCP>();
    FlowKey flow =
      MakeFlowKey(ntohl(static_cast<uint32_t>(ip.dst_addr())), tcp.dport());
    if ((tcp.flags() & Tins::TCP::RST) != 0) {
      this->OnReset(flow);
    }
  }
}

void
Traffic::OnBackendPacket(Backend& aBackend,
                         const uint8_t* aPacket,
                         size_t aBytes)
{
  Tins::IP ip(aPacket, static_cast<uint32_t>(aBytes));
  const Tins::TCP& tcp = ip.rfind_pdu<Tins::TCP>();
  const Service& service = this->options.table.services[aBackend.service];
  bool isForService =
    ntohl(static_cast<uint32_t>(ip.dst_addr())) == service.key.address &&
    tcp.dport() == service.key.port;
  if (!isForService) {
    ++this->result.wrongService;
    return;
  }
  FlowKey flow =
    MakeFlowKey(ntohl(static_cast<uint32_t>(ip.src_addr())), tcp.sport());
  if (tcp.flags() == Tins::TCP::SYN) {
    if (aBackend.seen.emplace(flow, true).second) {
      ++this->result.flowsPerServer[FormatAddress(aBackend.address)];
    }
    ServerConnection& connection = aBackend.connections[flow];
    connection.received = tcp.seq() + 1;
    connection.sent = InitialSequence(aBackend.address, flow) + 1;
    this->OnSynAck(flow, connection.sent);
    return;
  }
  auto found = aBackend.connections.find(flow);
  // The acknowledgement number must follow this server's initial sequence
  // number; 2^30 bytes are more than a flow gets.
  bool isKnown = found != aBackend.connections.end() &&
                 tcp.ack_seq() - InitialSequence(aBackend.address, flow) <
                   uint32_t{ 1 } << 30;
  if (!isKnown) {
    if (this->callers.contains(flow)) {
      ++this->result.wrongServer;
      this->OnReset(flow);
    }
    return;
  }
  found->second.established = true;
  const auto* raw = tcp.find_pdu<Tins::RawPDU>();
  if (raw != nullptr) {
    this->OnRequest(
      aBackend, flow, tcp.seq() + static_cast<uint32_t>(raw->payload_size()));
  }
  if ((tcp.flags() & Tins::TCP::FIN) != 0) {
    aBackend.connections.erase(flow);
  }
}

// A retransmitted request is not executed a second time.
void
Traffic::OnRequest(Backend& aBackend, FlowKey aFlow, uint32_t aEnd)
{
  ServerConnection& connection = aBackend.connections[aFlow];
  if (static_cast<int32_t>(aEnd - connection.received) <= 0) {
    return;
  }
  connection.received = aEnd;
  if (aBackend.busy >= aBackend.slots) {
    ++this->result.queuedRequests;
  }
  aBackend.queue.push_back({ aFlow, aEnd });
  this->StartJobs(aBackend);
}

void
Traffic::StartJobs(Backend& aBackend)
{
  while (aBackend.busy < aBackend.slots && !aBackend.queue.empty()) {
    Job job = aBackend.queue.front();
    aBackend.queue.pop_front();
    ++aBackend.busy;
    std::exponential_distribution<double> service(
      1.0 / static_cast<double>(this->options.serviceTime));
    std::uniform_real_distribution<double> uniform(0, 1);
    double time = service(this->random);
    if (uniform(this->random) < this->options.stragglerShare) {
      time *= this->options.stragglerFactor;
    }
    Backend* backend = &aBackend;
    this->After(static_cast<Micros>(time),
                [=, this] { this->FinishJob(*backend, job); });
  }
}

void
Traffic::FinishJob(Backend& aBackend, const Job& aJob)
{
  --aBackend.busy;
  if (aBackend.connections.contains(aJob.flow)) {
    this->SendReply(aBackend, aJob.flow);
  }
  this->StartJobs(aBackend);
}

// Replies go to the caller directly; no instance sees them.
void
Traffic::SendReply(Backend& aBackend, FlowKey aFlow)
{
  ServerConnection& connection = aBackend.connections[aFlow];
  uint32_t remaining = this->options.replyBytes;
  while (remaining > 0) {
    uint32_t bytes = std::min(remaining, kSegmentBytes);
    uint32_t sequence = connection.sent;
    connection.sent += bytes;
    remaining -= bytes;
    this->After(0, [=, this] { this->OnReply(aFlow, sequence, bytes); });
  }
}

void
Traffic::OnSynAck(FlowKey aFlow, uint32_t aSequence)
{
  auto found = this->callers.find(aFlow);
  if (found == this->callers.end() ||
      found->second.state != CallerState::SynSent) {
    return;
  }
  found->second.received = aSequence;
  found->second.sent += 1;
  this->SendFromCaller(aFlow, Tins::TCP::ACK, 0);
  this->SendRequest(aFlow);
}

void
Traffic::SendRequest(FlowKey aFlow)
{
  auto found = this->callers.find(aFlow);
  if (found == this->callers.end()) {
    return;
  }
  Caller& caller = found->second;
  caller.state = CallerState::Requesting;
  caller.requestAt = this->now;
  caller.lastProgress = this->now;
  caller.replyBytesReceived = 0;
  --caller.requestsLeft;
  this->SendFromCaller(aFlow, Tins::TCP::ACK | Tins::TCP::PSH, kRequestBytes);
  caller.sent += kRequestBytes;
  this->StartTimer(aFlow);
}

void
Traffic::OnReply(FlowKey aFlow, uint32_t aSequence, uint32_t aBytes)
{
  auto found = this->callers.find(aFlow);
  if (found == this->callers.end() || found->second.received != aSequence) {
    return;
  }
  Caller& caller = found->second;
  caller.received += aBytes;
  caller.replyBytesReceived += aBytes;
  caller.lastProgress = this->now;
  if (caller.replyBytesReceived < this->options.replyBytes) {
    this->SendFromCaller(aFlow, Tins::TCP::ACK, 0);
    return;
  }
  this->result.latencies.push_back(this->now - caller.requestAt);
  if (caller.requestsLeft > 0) {
    caller.state = CallerState::Thinking;
    this->SendFromCaller(aFlow, Tins::TCP::ACK, 0);
    this->After(this->options.thinkTime,
                [=, this] { this->SendRequest(aFlow); });
    return;
  }
  ++this->result.completed;
  this->SendFromCaller(aFlow, Tins::TCP::ACK | Tins::TCP::FIN, 0);
  this->EndFlow(aFlow);
}

void
Traffic::OnReset(FlowKey aFlow)
{
  auto found = this->callers.find(aFlow);
  if (found == this->callers.end()) {
    return;
  }
  if (found->second.state == CallerState::SynSent) {
    ++this->result.refused;
    this->result.refusedButSeen += this->SeenAnywhere(aFlow) ? 1 : 0;
  } else {
    ++this->result.broken;
  }
  this->EndFlow(aFlow);
}

bool
Traffic::SeenAnywhere(FlowKey aFlow) const
{
  return std::any_of(
    this->backends.begin(), this->backends.end(), [&](const Backend& aBackend) {
      return aBackend.seen.contains(aFlow);
    });
}

}
