#include "ends.h"

namespace rig {

namespace {

constexpr int kMaxCopies = 8; // a host gives up after so many retransmissions
constexpr Ms kMaxWait = 1600;
constexpr Ms kWork = 13;

template<typename F>
void
ReceiveAll(int fd, F onDatagram)
{
  char bytes[2048];
  while (true) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    ssize_t count = recvfrom(
      fd, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (count < 0) {
      return;
    }
    onDatagram(std::string(bytes, static_cast<size_t>(count)),
               ntohl(from.sin_addr.s_addr));
  }
}

}

Host::Host(World& aWorld,
           int aNumber,
           uint64_t aId,
           Endpoint aAt,
           std::string aService)
  : world(aWorld)
  , number(aNumber)
  , id(aId)
  , at(aAt)
  , service(std::move(aService))
  , fd(UdpSocket(aAt))
{
}

std::string
Host::Name() const
{
  char name[32];
  std::snprintf(name, sizeof name, "i-%08llx", (unsigned long long)this->id);
  return name;
}

void
Host::Register(bool draining)
{
  std::ostringstream spec;
  spec << "{\"service\":\"" << this->service << "\",\"address\":\""
       << Text(this->at)
       << "\",\"zone\":\"jkt\",\"version\":\"v1\",\"slots\":2,\"state\":\""
       << (draining ? "draining" : "ready")
       << "\",\"warmup_left_ms\":0,\"seq\":1,\"born\":1790000000000}";
  this->world.store->Put("servers", this->Name(), spec.str());
  this->world.record->Line("the store has accepted " + this->Name() +
                           (draining ? " as draining" : " as ready"));
}

void
Host::Receive()
{
  ReceiveAll(this->fd, [this](const std::string& bytes, uint32_t from) {
    if (bytes.size() < 8 || !this->listening) {
      return;
    }
    uint64_t intended = 0;
    for (int i = 0; i < 8; ++i) {
      intended = intended << 8 | static_cast<uint8_t>(bytes[i]);
    }
    std::optional<Packet> packet = Decode(bytes.substr(8));
    bool mine = intended == 0 || intended == this->id;
    if (packet && mine && IsIntact(*packet)) {
      this->OnPacket(*packet, from);
    }
  });
}

void
Host::OnPacket(const Packet& packet, uint32_t from)
{
  auto ends = std::make_pair(packet.from, packet.to);
  auto known = this->flows.find(ends);
  auto storyAt = this->world.byEnds.find(ends);
  FlowStory* story =
    storyAt == this->world.byEnds.end() ? nullptr : storyAt->second;
  std::string through = this->world.InstanceName(from);
  if (packet.flags & kSyn) {
    if (story != nullptr && story->openingAt.count(this->number) == 0) {
      story->openingAt[this->number] = Now();
      story->openingThrough = through;
      this->world.record->Line("flow " + std::to_string(story->number) +
                               ": opening packet reaches " + this->Name() +
                               " through " + through);
    }
    if (known == this->flows.end() || known->second.clientSeq != packet.seq) {
      Flow flow;
      flow.clientSeq = packet.seq;
      flow.clientNext = packet.seq + 1;
      flow.seq = this->world.random();
      flow.next = flow.seq + 1;
      flow.synUnacked = true;
      flow.story = story;
      known = this->flows.insert_or_assign(ends, flow).first;
    }
    Flow& flow = known->second;
    flow.last = packet;
    flow.echo = packet.echo;
    if (flow.synUnacked) {
      this->Send(flow, kSyn | kAck, flow.seq, "");
      flow.wait = 200;
      flow.sendAt = Now() + flow.wait;
    }
    return;
  }
  if (story != nullptr) {
    story->arrivals.push_back({ Now(), this->number, through });
  }
  if (known == this->flows.end()) {
    if (!(packet.flags & kRst)) {
      Flow unknown;
      unknown.last = packet;
      this->Send(unknown, kRst, packet.ack, "");
    }
    return;
  }
  Flow& flow = known->second;
  if (!flow.open && packet.ack != flow.seq + 1) {
    return; // the client has opened the flow with another host
  }
  flow.last = packet;
  flow.echo = packet.echo;
  if (packet.flags & kRst) {
    this->flows.erase(known);
    return;
  }
  if (!flow.open) {
    flow.open = true;
    flow.synUnacked = false;
    flow.sendAt = -1;
    flow.copies = 0;
    if (story != nullptr && story->host < 0) {
      story->host = this->number;
      story->openedAt = Now();
      this->world.record->Line("flow " + std::to_string(story->number) +
                               ": open at " + this->Name());
    }
  }
  if (!flow.unacked.empty() && packet.ack == flow.next) {
    flow.unacked.clear();
    flow.sendAt = -1;
  }
  if (packet.flags & kFin) {
    flow.clientNext = packet.seq + 1;
    this->Send(flow, kFin | kAck, flow.next, "");
    flow.ended = true;
    return;
  }
  if (packet.data.empty()) {
    return;
  }
  if (packet.seq == flow.clientNext) {
    flow.clientNext += static_cast<uint32_t>(packet.data.size());
    size_t idAt = packet.data.find("Attempt-Id: ") + 12;
    std::string request =
      packet.data.substr(idAt, packet.data.find('\r', idAt) - idAt);
    this->world.record->Line("request " + request + " runs at " + this->Name() +
                             " of " + this->service);
    if (story != nullptr) {
      for (FlowStory::Request& one : story->requests) {
        if (one.id == request) {
          ++one.runs;
          one.ranAt.insert(this->service);
        }
      }
    }
    flow.unacked = "HTTP/1.1 200 OK\r\nServer-Seal: " + this->Name() +
                   "\r\nAttempt-Id: " + request +
                   "\r\nContent-Length: 2\r\n\r\nok";
    flow.wait = 200;
    flow.copies = 0;
    flow.sendAt = Now() + kWork;
    flow.next += static_cast<uint32_t>(flow.unacked.size());
  }
  this->Send(
    flow, kAck, flow.next - static_cast<uint32_t>(flow.unacked.size()), "");
}

void
Host::Send(Flow& flow, uint8_t flags, uint32_t seq, const std::string& data)
{
  Packet packet;
  packet.seq = seq;
  packet.ack = flow.clientNext;
  packet.flags = flags;
  packet.from = flow.last.to;
  packet.to = flow.last.from;
  packet.echo = flow.echo;
  packet.data = data;
  SendTo(this->fd,
         Encode(packet),
         { flow.last.from.address, this->world.fleet->deployment.packetPort });
}

// Sends again what was not acknowledged: after 200 ms, with an interval that
// doubles up to 1.6 s, eight times at most.
void
Host::Tick()
{
  Ms now = Now();
  for (auto& [ends, flow] : this->flows) {
    if (flow.sendAt < 0 || now < flow.sendAt || flow.copies > kMaxCopies) {
      continue;
    }
    if (flow.synUnacked) {
      this->Send(flow, kSyn | kAck, flow.seq, "");
    } else {
      this->Send(flow,
                 kAck,
                 flow.next - static_cast<uint32_t>(flow.unacked.size()),
                 flow.unacked);
    }
    bool first = !flow.synUnacked && flow.copies == 0;
    flow.wait = first ? flow.wait : std::min(flow.wait * 2, kMaxWait);
    ++flow.copies;
    flow.sendAt = now + flow.wait;
  }
}

Client::Client(World& aWorld, Endpoint aAt, Endpoint aRoute, std::string aZone)
  : world(aWorld)
  , at(aAt)
  , route(aRoute)
  , zone(std::move(aZone))
  , fd(UdpSocket(aAt))
{
}

FlowStory&
Client::Open(const ClientOptions& options)
{
  uint16_t port = this->nextPort++;
  FlowStory& story = this->world.stories.emplace_back();
  story.number = static_cast<int>(this->world.stories.size());
  story.route = this->route;
  story.openingSentAt = Now();
  this->world.byEnds[{ { this->at.address, port }, this->route }] = &story;
  Flow flow;
  flow.options = options;
  flow.next = this->world.random();
  flow.requestsLeft = options.requests;
  flow.story = &story;
  flow.nextAt = Now() + 200;
  Flow& kept = this->flows[port] = flow;
  this->Send(port, kept, kSyn, "");
  this->world.record->Line("flow " + std::to_string(story.number) +
                           ": the client sends its opening packet");
  return story;
}

void
Client::Send(uint16_t port, Flow& flow, uint8_t flags, const std::string& data)
{
  Packet packet;
  packet.seq = flow.next;
  packet.ack =
    flags & kSyn ? static_cast<uint32_t>(flow.synCopies) : flow.expected;
  packet.flags = flags;
  packet.from = { this->at.address, port };
  packet.to = this->route;
  packet.echo = flow.echo;
  packet.data = data;
  Instance* instance =
    this->world.fleet->Route(this->zone, packet.from, packet.to);
  SendTo(this->fd,
         Encode(packet),
         { instance->address, this->world.fleet->deployment.packetPort });
}

void
Client::StartRequest(uint16_t port, Flow& flow)
{
  --flow.requestsLeft;
  std::string id = std::to_string(flow.story->number) + "-" +
                   std::to_string(flow.story->requests.size() + 1);
  flow.story->requests.push_back({ .id = id, .sentAt = Now() });
  flow.request =
    "GET /stock HTTP/1.1\r\nHost: a\r\nAttempt-Id: " + id + "\r\n\r\n";
  flow.response.clear();
  flow.wait = 200;
  flow.nextAt = Now() + flow.wait;
  this->world.record->Line("request " + id + " is sent");
  this->Send(port, flow, kAck, flow.request);
}

void
Client::Receive()
{
  ReceiveAll(this->fd, [this](const std::string& bytes, uint32_t) {
    std::optional<Packet> packet = Decode(bytes);
    if (!packet || packet->from != this->route) {
      return;
    }
    auto known = this->flows.find(packet->to.port);
    if (known == this->flows.end()) {
      return;
    }
    Flow& flow = known->second;
    bool bySystem = packet->sum == 0 && (packet->flags & kRst);
    if (packet->flags & kRst) {
      // Of the system's resets only those within 76,800 of the last
      // acknowledgement count on an open flow.
      uint32_t distance = packet->seq - flow.expected;
      bool near = distance <= 76800 || -distance <= 76800;
      if (flow.open && bySystem && !near) {
        return;
      }
      if (flow.open) {
        flow.story->resetAt = Now();
        flow.story->resetBySystem = bySystem;
      }
      this->world.record->Line("flow " + std::to_string(flow.story->number) +
                               ": the client gets a reset" +
                               (bySystem ? " of the system" : " of a host"));
      this->flows.erase(known);
      return;
    }
    if (!IsIntact(*packet)) {
      return;
    }
    // The last echo that was received on the flow.
    flow.echo = packet->echo;
    if (packet->flags & kSyn) {
      if (!flow.open) {
        flow.open = true;
        flow.openedAt = Now();
        flow.expected = packet->seq + 1;
        ++flow.next;
        this->Send(known->first, flow, kAck, "");
        this->StartRequest(known->first, flow);
      }
      return;
    }
    if (packet->flags & kFin) {
      if (flow.closing) {
        ++flow.expected;
        this->Send(known->first, flow, kAck, "");
        this->flows.erase(known);
      }
      return;
    }
    if (packet->data.empty() || packet->seq != flow.expected) {
      if (!packet->data.empty()) {
        this->Send(known->first, flow, kAck, "");
      }
      return;
    }
    flow.expected += static_cast<uint32_t>(packet->data.size());
    flow.next += static_cast<uint32_t>(flow.request.size());
    flow.request.clear();
    flow.story->requests.back().answeredAt = Now();
    this->world.record->Line("request " + flow.story->requests.back().id +
                             " is answered");
    std::uniform_real_distribution<double> pause(flow.options.pauseFrom,
                                                 flow.options.pauseTo);
    flow.nextAt = Now() + pause(this->world.random);
    this->Send(known->first, flow, kAck, "");
    if (flow.requestsLeft == 0) {
      flow.closing = true;
      flow.wait = 200;
      flow.nextAt = Now();
    }
  });
}

void
Client::Tick()
{
  Ms now = Now();
  for (auto at = this->flows.begin(); at != this->flows.end();) {
    auto& [port, flow] = *at;
    if (now < flow.nextAt) {
      ++at;
      continue;
    }
    Ms openingAge = now - flow.story->openingSentAt;
    if (!flow.open) {
      if (openingAge >= 1400) {
        this->world.record->Line("flow " + std::to_string(flow.story->number) +
                                 ": no answer to the opening packets");
        at = this->flows.erase(at);
        continue;
      }
      ++flow.synCopies;
      if (flow.synCopies <= 2) {
        this->Send(port, flow, kSyn, "");
      }
      flow.nextAt =
        flow.story->openingSentAt + (flow.synCopies == 1 ? 600 : 1400);
    } else if (flow.closing) {
      this->Send(port, flow, kFin | kAck, "");
      flow.nextAt = now + flow.wait;
      flow.wait *= 2;
      if (flow.wait > kMaxWait) {
        at = this->flows.erase(at);
        continue;
      }
    } else if (flow.request.empty()) {
      this->StartRequest(port, flow);
    } else if (now - flow.story->requests.back().sentAt >=
               flow.options.deadline) {
      flow.story->requests.back().gaveUpAt = now;
      this->world.record->Line("request " + flow.story->requests.back().id +
                               " was not answered by its deadline");
      at = this->flows.erase(at);
      continue;
    } else {
      this->Send(port, flow, kAck, flow.request);
      flow.wait = std::min(flow.wait * 2, kMaxWait);
      flow.nextAt =
        std::min(now + flow.wait,
                 flow.story->requests.back().sentAt + flow.options.deadline);
    }
    ++at;
  }
}

void
World::Run(Ms until, const std::function<void()>& step)
{
  std::vector<pollfd> sockets;
  for (Host& host : this->hosts) {
    sockets.push_back({ host.fd, POLLIN, 0 });
  }
  for (Client& client : this->clients) {
    sockets.push_back({ client.fd, POLLIN, 0 });
  }
  while (Now() < until) {
    poll(sockets.data(), sockets.size(), 1);
    for (Host& host : this->hosts) {
      host.Receive();
      host.Tick();
    }
    for (Client& client : this->clients) {
      client.Receive();
      client.Tick();
    }
    step();
  }
}

std::string
World::InstanceName(uint32_t address) const
{
  for (const Instance& instance : this->fleet->instances) {
    if (instance.address == address) {
      return instance.name;
    }
  }
  return Text(address);
}

}
