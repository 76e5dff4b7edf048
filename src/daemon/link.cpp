#include "daemon/link.h"

#include "daemon/control.h"
#include "daemon/log.h"
#include "store/store.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <cstring>
#include <poll.h>
#include <unistd.h>

namespace gentianspindle {

namespace {

// A longer message is refused and ends its connection.
constexpr size_t kMaxFrameBytes = 8 << 20;
// Seconds and microseconds after which a blocked call on a connection fails.
constexpr timeval kSocketTimeout{ 2, 0 };
// Period in milliseconds at which the server thread looks for a stop while no
// peer connects.
constexpr int kAcceptPollMs = 100;
// Connections that may wait until the server thread accepts them.
constexpr int kBacklog = 64;
// Flows in one message of a hand-over, which keeps it far below kMaxFrameBytes.
constexpr size_t kFlowsPerHandOverPart = 500;
// Wait after each part of a hand-over, to leave capacity for other messages.
constexpr std::chrono::milliseconds kHandOverPartDelay{ 5 };
// Wait between two looks for released servers and for a newer table.
constexpr std::chrono::milliseconds kClientPollPeriod{ 20 };
constexpr std::chrono::milliseconds kHandOverRetryDelay{ 100 };
// Attempts for one server, which take 5 s or longer if all fail. The new owner
// refuses until it knows that it is the owner.
constexpr int kMaxHandOverAttempts = 50;
// An instance whose table is stale waits this long for its watch of the
// platform before it pulls the table from a peer.
constexpr Micros kPullDelay = 300 * kMillisecond;
// Digests in a pull are cut to this length to keep it short. Part of the
// protocol, see TablePull in messages.thrift.
constexpr size_t kShortDigestCharacters = 16;

// A TCP connection with a peer that carries sealed messages, each after its
// length as four bytes in network byte order. Closes the socket when destroyed.
class Stream
{
public:
  explicit Stream(int aSocket)
    : socket(aSocket)
  {
    setsockopt(aSocket,
               SOL_SOCKET,
               SO_RCVTIMEO,
               &kSocketTimeout,
               sizeof(kSocketTimeout));
    setsockopt(aSocket,
               SOL_SOCKET,
               SO_SNDTIMEO,
               &kSocketTimeout,
               sizeof(kSocketTimeout));
  }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;
  ~Stream() { close(this->socket); }

  // Connects from aSource, the address by which the peer knows this instance.
  bool Connect(InstanceId aPeer, Address aSource) const
  {
    sockaddr_in source = ToSocketAddress(MakeInstanceId(aSource, 0));
    sockaddr_in target = ToSocketAddress(aPeer);
    return bind(this->socket,
                reinterpret_cast<sockaddr*>(&source),
                sizeof(source)) == 0 &&
           connect(this->socket,
                   reinterpret_cast<sockaddr*>(&target),
                   sizeof(target)) == 0;
  }

  // Seals and sends one message.
  bool Send(Node& aNode, const msg::Control& aMessage) const
  {
    std::string sealed;
    {
      absl::MutexLock lock(&aNode.control);
      sealed = aNode.linkSealer.Seal(EncodeControl(aMessage));
    }
    uint32_t bytes = htonl(static_cast<uint32_t>(sealed.size()));
    std::string frame(reinterpret_cast<const char*>(&bytes), sizeof(bytes));
    frame += sealed;
    size_t sent = 0;
    while (sent < frame.size()) {
      ssize_t count = send(
        this->socket, frame.data() + sent, frame.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<size_t>(count);
    }
    return true;
  }

  // Receives one message and checks its seal.
  absl::StatusOr<msg::Control> Receive(Node& aNode) const
  {
    uint32_t bytes = 0;
    if (!this->ReadExactly(&bytes, sizeof(bytes)) ||
        ntohl(bytes) > kMaxFrameBytes) {
      return absl::UnavailableError(
        "receive message: connection ended or timed out, or frame too long");
    }
    std::string sealed(ntohl(bytes), '\0');
    if (!this->ReadExactly(sealed.data(), sealed.size())) {
      return absl::UnavailableError("receive message: incomplete frame");
    }
    absl::MutexLock lock(&aNode.control);
    absl::StatusOr<Sealer::Opened> opened = aNode.linkSealer.Open(sealed);
    return opened.ok() ? DecodeControl(opened->body)
                       : absl::StatusOr<msg::Control>(opened.status());
  }

private:
  // Reads aBytes; false if the connection ends or times out before that.
  bool ReadExactly(void* aTarget, size_t aBytes) const
  {
    size_t received = 0;
    while (received < aBytes) {
      ssize_t count = recv(this->socket,
                           static_cast<char*>(aTarget) + received,
                           aBytes - received,
                           0);
      if (count <= 0) {
        return false;
      }
      received += static_cast<size_t>(count);
    }
    return true;
  }

  int socket;
};

int
OpenTcpSocket()
{
  return socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
}

msg::HandedFlow
ToMessage(const HandedFlow& aFlow)
{
  msg::HandedFlow flow;
  flow.flow = static_cast<int64_t>(aFlow.key);
  flow.server = static_cast<int32_t>(aFlow.server);
  flow.state = static_cast<int16_t>(aFlow.state);
  flow.sentEnd = static_cast<int32_t>(aFlow.sentEnd);
  flow.ackBase = static_cast<int32_t>(aFlow.ackBase);
  flow.lastAck = static_cast<int32_t>(aFlow.lastAck);
  flow.passedSteps = static_cast<int16_t>(aFlow.passedSteps);
  flow.finSeen = aFlow.finSeen;
  return flow;
}

// False if the peer sent a flow state that this version of the program does not
// know; the flow is left out then.
bool
FromMessage(const msg::HandedFlow& aMessage, HandedFlow& aFlow)
{
  if (aMessage.state < 0 ||
      aMessage.state >= static_cast<int16_t>(FlowState::Count)) {
    return false;
  }
  aFlow.key = static_cast<FlowKey>(aMessage.flow);
  aFlow.server = static_cast<Address>(aMessage.server);
  aFlow.state = static_cast<FlowState>(aMessage.state);
  aFlow.sentEnd = static_cast<uint32_t>(aMessage.sentEnd);
  aFlow.ackBase = static_cast<uint32_t>(aMessage.ackBase);
  aFlow.lastAck = static_cast<uint32_t>(aMessage.lastAck);
  aFlow.passedSteps = static_cast<uint16_t>(aMessage.passedSteps);
  aFlow.finSeen = aMessage.finSeen;
  return true;
}

// Takes over one part of a hand-over that a peer sends; the reply says whether
// this instance accepted it as the owner of the server.
msg::Control
HandleHandOver(Node& aNode, const msg::HandOver& aPart)
{
  ServiceKey key{ static_cast<Address>(aPart.address),
                  static_cast<uint16_t>(aPart.port),
                  static_cast<Protocol>(aPart.protocol) };
  std::shared_ptr<const Snapshot> snapshot = aNode.Current();
  auto service = snapshot->services.find(key);
  msg::HandOverReply answer;
  answer.accepted = false;
  if (service != snapshot->services.end()) {
    std::vector<HandedFlow> flows;
    flows.reserve(aPart.flows.size());
    for (const msg::HandedFlow& flow : aPart.flows) {
      if (HandedFlow handedFlow; FromMessage(flow, handedFlow)) {
        flows.push_back(handedFlow);
      }
    }
    absl::MutexLock lock(&service->second->mutex);
    answer.accepted = service->second->engine.AcceptHandOver(
      static_cast<Address>(aPart.server), flows, aPart.last, MonotonicNow());
  }
  msg::Control message;
  message.__set_answer(answer);
  return message;
}

// Replies with the head of the table, of which only format, version and parts
// are set, and with the parts that the peer lacks.
msg::Control
HandlePull(Node& aNode, const msg::TablePull& aPull)
{
  Table table = aNode.CopyTable();
  msg::TableReply answer;
  answer.head.format = kTableFormat;
  answer.head.version = table.version;
  for (const Service& service : table.services) {
    std::string part = EncodePart(service);
    msg::PartName& name = answer.head.parts.emplace_back();
    name.name = service.name;
    name.digest = Digest(part);
    bool peerHasPart =
      std::find(aPull.haveDigests.begin(),
                aPull.haveDigests.end(),
                name.digest.substr(0, kShortDigestCharacters)) !=
      aPull.haveDigests.end();
    if (!peerHasPart) {
      answer.parts.push_back(std::move(part));
    }
  }
  msg::Control message;
  message.__set_table(answer);
  return message;
}

// Assembles a table from the parts that a peer sent and from aParts, the parts
// of the present table by digest.
absl::StatusOr<Table>
AssembleTable(const msg::TableReply& aReply, PartCache aParts)
{
  for (const std::string& part : aReply.parts) {
    aParts.emplace(Digest(part), part);
  }
  Table table;
  table.version = aReply.head.version;
  for (const msg::PartName& name : aReply.head.parts) {
    auto part = aParts.find(name.digest);
    if (part == aParts.end()) {
      return absl::DataLossError(absl::StrCat(
        "pull table: part '", name.name, "' is not in the peer's reply"));
    }
    absl::StatusOr<Service> service = CheckPart(part->second, name);
    if (!service.ok()) {
      return service.status();
    }
    table.services.push_back(*std::move(service));
  }
  return table;
}

}

absl::StatusOr<std::unique_ptr<Link>>
Link::Make(Node& aNode, const Sockets& aSockets, ThreadCounts& aCounts)
{
  int listener = OpenTcpSocket();
  int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = ToSocketAddress(aNode.Self());
  bool listening =
    bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
      0 &&
    listen(listener, kBacklog) == 0;
  if (!listening) {
    close(listener);
    return absl::UnavailableError(absl::StrCat("listen at TCP ",
                                               FormatInstance(aNode.Self()),
                                               ": ",
                                               std::strerror(errno)));
  }
  std::unique_ptr<Link> link(new Link(aNode, aSockets, aCounts, listener));
  link->server = std::thread([l = link.get()] { l->RunServer(); });
  link->client = std::thread([l = link.get()] { l->RunClient(); });
  return link;
}

Link::Link(Node& aNode,
           const Sockets& aSockets,
           ThreadCounts& aCounts,
           int aListener)
  : node(aNode)
  , sender(aNode, aSockets, aCounts)
  , listener(aListener)
{
}

Link::~Link()
{
  this->stop = true;
  this->server.join();
  this->client.join();
  close(this->listener);
}

void
Link::RunServer()
{
  while (!this->stop) {
    pollfd wait{ this->listener, POLLIN, 0 };
    if (poll(&wait, 1, kAcceptPollMs) <= 0) {
      continue;
    }
    int peer = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (peer >= 0) {
      this->Serve(peer);
    }
  }
}

// Replies to the messages of one connection, one after the other.
void
Link::Serve(int aSocket)
{
  Stream stream(aSocket);
  while (!this->stop) {
    absl::StatusOr<msg::Control> message = stream.Receive(this->node);
    if (!message.ok()) {
      return;
    }
    msg::Control answer;
    if (message->__isset.handOver) {
      answer = HandleHandOver(this->node, message->handOver);
    } else if (message->__isset.pull) {
      answer = HandlePull(this->node, message->pull);
    } else {
      return;
    }
    if (!stream.Send(this->node, answer)) {
      return;
    }
  }
}

// Hands released servers over, with a limited number of attempts for each, and
// pulls the table if it is stale.
void
Link::RunClient()
{
  while (!this->stop) {
    this->handingOver = true;
    for (const ReleasedServer& released : this->node.TakeReleased()) {
      bool done = false;
      for (int i = 0; i < kMaxHandOverAttempts && !done && !this->stop; ++i) {
        done = this->HandOver(released);
        if (!done) {
          this->node.CountRetry(RetryReason::HandOverFailed);
          std::this_thread::sleep_for(kHandOverRetryDelay);
        }
      }
      // A hand-over also counts as done if nothing was sent, as this instance
      // owns the server again.
      LogInfo(kLogHandOver,
              absl::StrCat(done ? "Handed over the flows of backend server "
                                : "Could not hand over all flows to the new "
                                  "owner of backend server ",
                           FormatAddress(released.server),
                           "."));
    }
    this->handingOver = false;
    this->PullTableIfStale();
    std::this_thread::sleep_for(kClientPollPeriod);
  }
}

// One attempt to hand over to the new owner of a server, in parts, those of its
// flows that Engine::Exceptions returns. The new owner refuses until its own
// membership, too, makes it the owner. Unless this instance knew all these
// flows, no part is marked as the last, and the new owner stays cold.
bool
Link::HandOver(const ReleasedServer& aReleased)
{
  std::vector<HandedFlow> flows;
  InstanceId successor = kNoInstance;
  {
    absl::MutexLock lock(&aReleased.entry->mutex);
    flows = aReleased.entry->engine.Exceptions(aReleased.server);
    successor = aReleased.entry->engine.OwnerOf(aReleased.server);
  }
  if (successor == this->node.Self()) {
    return true; // this instance owns the server again
  }
  Stream stream(OpenTcpSocket());
  if (!stream.Connect(successor, InstanceAddress(this->node.Self()))) {
    return false;
  }
  size_t sent = 0;
  do {
    msg::HandOver part;
    part.address = static_cast<int32_t>(aReleased.service.address);
    part.port = static_cast<int16_t>(aReleased.service.port);
    part.protocol = static_cast<int16_t>(aReleased.service.protocol);
    part.server = static_cast<int32_t>(aReleased.server);
    size_t end = std::min(flows.size(), sent + kFlowsPerHandOverPart);
    for (; sent < end; ++sent) {
      part.flows.push_back(ToMessage(flows[sent]));
    }
    part.last = sent == flows.size() && aReleased.complete;
    msg::Control message;
    message.__set_handOver(part);
    if (!stream.Send(this->node, message)) {
      return false;
    }
    absl::StatusOr<msg::Control> answer = stream.Receive(this->node);
    if (!answer.ok() || !answer->answer.accepted) {
      return false;
    }
    std::this_thread::sleep_for(kHandOverPartDelay);
  } while (sent < flows.size());
  return true;
}

// Pulls the table from the peer with the highest version if this
// instance's watch of the platform has not delivered it within kPullDelay.
void
Link::PullTableIfStale()
{
  int64_t own = this->node.TableVersion();
  MemberUpdate newest;
  {
    absl::MutexLock lock(&this->node.control);
    for (const MemberUpdate& member : this->node.members.All()) {
      bool ahead = member.tableVersion > std::max(own, newest.tableVersion) &&
                   member.status != MemberStatus::Dead;
      newest = ahead ? member : newest;
    }
  }
  Micros now = MonotonicNow();
  if (newest.instance == kNoInstance || newest.tableVersion <= own) {
    this->staleSince = 0;
    return;
  }
  this->staleSince = this->staleSince == 0 ? now : this->staleSince;
  if (now - this->staleSince < kPullDelay) {
    return;
  }
  if (!this->PullTableFrom(newest.instance)) {
    this->node.CountRetry(RetryReason::PullFailed);
    this->staleSince = 0;
  }
}

// Pulls the table from aPeer, which sends only the parts that this instance
// lacks, and puts it in force.
bool
Link::PullTableFrom(InstanceId aPeer)
{
  PartCache parts;
  msg::TablePull pull;
  Table own = this->node.CopyTable();
  pull.haveVersion = own.version;
  for (const Service& service : own.services) {
    std::string part = EncodePart(service);
    std::string digest = Digest(part);
    pull.haveDigests.push_back(digest.substr(0, kShortDigestCharacters));
    parts.emplace(digest, part);
  }
  msg::Control message;
  message.__set_pull(pull);
  Stream stream(OpenTcpSocket());
  if (!stream.Connect(aPeer, InstanceAddress(this->node.Self())) ||
      !stream.Send(this->node, message)) {
    return false;
  }
  absl::StatusOr<msg::Control> answer = stream.Receive(this->node);
  if (!answer.ok() || !answer->__isset.table) {
    return false;
  }
  absl::StatusOr<Table> table = AssembleTable(answer->table, std::move(parts));
  if (!table.ok()) {
    LogWarn(kLogTable, std::string(table.status().message()));
    return false;
  }
  ActivateAndAnnounce(this->node, this->sender, *table);
  return true;
}

}
