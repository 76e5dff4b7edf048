#include "rig.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig {

Loop loop;
std::map<std::pair<Addr, Addr>, Host*> lastReset;
std::function<bool(const Host&, const Packet&)> Host::lose;
std::vector<Host*> Host::all;
std::function<void(const Host&, const std::string&, const Packet&)> Host::onRun;
std::map<std::string, int> Host::runs;
std::map<std::pair<Addr, Addr>, Host*> Host::openAt;

namespace {

constexpr uint32_t kSumKey = 0x5bd1e995;
constexpr size_t kHeader = 32;
constexpr Micros kFirstResend = 200 * kMs;
constexpr Micros kLastResend = 1600 * kMs;
constexpr int kMaxResends = 8;

Micros
Steady()
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

sockaddr_in
ToSock(Addr aAddr)
{
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(aAddr.port);
  out.sin_addr.s_addr = htonl(aAddr.ip);
  return out;
}

void
Put(std::string& aOut, uint64_t aValue, int aBytes)
{
  for (int i = aBytes - 1; i >= 0; --i) {
    aOut += static_cast<char>(aValue >> (8 * i));
  }
}

uint32_t
Get(const std::string& aIn, size_t aAt, int aBytes)
{
  uint32_t value = 0;
  for (int i = 0; i < aBytes; ++i) {
    value = value << 8 | static_cast<uint8_t>(aIn[aAt + i]);
  }
  return value;
}

int
TcpListener(Addr aAddr)
{
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in to = ToSock(aAddr);
  if (bind(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0 ||
      listen(fd, 128) != 0) {
    fprintf(stderr, "listen %s: %s\n", Text(aAddr).c_str(), strerror(errno));
    exit(2);
  }
  return fd;
}

void
SendUdp(int aFd, const std::string& aBytes, Addr aTo)
{
  sockaddr_in to = ToSock(aTo);
  sendto(aFd,
         aBytes.data(),
         aBytes.size(),
         MSG_DONTWAIT,
         reinterpret_cast<sockaddr*>(&to),
         sizeof to);
}

bool
ReceiveUdp(int aFd, std::string& aBytes)
{
  aBytes.resize(4096);
  ssize_t count = recv(aFd, aBytes.data(), aBytes.size(), MSG_DONTWAIT);
  aBytes.resize(count < 0 ? 0 : static_cast<size_t>(count));
  return count >= 0;
}

}

uint32_t
Ip(const std::string& aText)
{
  return ntohl(inet_addr(aText.c_str()));
}

std::string
Text(uint32_t aIp)
{
  in_addr address{ htonl(aIp) };
  return inet_ntoa(address);
}

std::string
Text(Addr aAddr)
{
  return Text(aAddr.ip) + ":" + std::to_string(aAddr.port);
}

void
Record(const char* aFormat, ...)
{
  static FILE* file = [] {
    const char* path = getenv("RECORD");
    FILE* opened = fopen(path ? path : "record.txt", "w");
    setvbuf(opened, nullptr, _IOLBF, 0);
    return opened;
  }();
  fprintf(file, "%9.3f ", static_cast<double>(loop.Now()) / kSecond);
  va_list arguments;
  va_start(arguments, aFormat);
  vfprintf(file, aFormat, arguments);
  va_end(arguments);
  fputc('\n', file);
}

uint32_t
Packet::Sum() const
{
  std::string bytes;
  Put(bytes, seq, 4);
  Put(bytes, ack, 4);
  Put(bytes, flags & ~kBounced, 1);
  Put(bytes, src.ip, 4);
  Put(bytes, src.port, 2);
  Put(bytes, dst.ip, 4);
  Put(bytes, dst.port, 2);
  bytes += data;
  uint32_t hash = kSumKey;
  for (unsigned char c : bytes) {
    hash = (hash ^ c) * 16777619u;
  }
  return hash == 0 ? 1 : hash;
}

std::string
Packet::Encode() const
{
  std::string out;
  Put(out, seq, 4);
  Put(out, ack, 4);
  Put(out, flags, 1);
  Put(out, 0, 1);
  Put(out, data.size(), 2);
  Put(out, sum, 4);
  Put(out, src.port, 2);
  Put(out, src.ip, 4);
  Put(out, dst.port, 2);
  Put(out, dst.ip, 4);
  Put(out, echo, 4);
  return out + data;
}

bool
Packet::Decode(const std::string& aBytes, Packet& aOut)
{
  if (aBytes.size() < kHeader ||
      aBytes.size() != kHeader + Get(aBytes, 10, 2)) {
    return false;
  }
  aOut.seq = Get(aBytes, 0, 4);
  aOut.ack = Get(aBytes, 4, 4);
  aOut.flags = static_cast<uint8_t>(Get(aBytes, 8, 1));
  aOut.sum = Get(aBytes, 12, 4);
  aOut.src = { Get(aBytes, 18, 4), static_cast<uint16_t>(Get(aBytes, 16, 2)) };
  aOut.dst = { Get(aBytes, 24, 4), static_cast<uint16_t>(Get(aBytes, 22, 2)) };
  aOut.echo = Get(aBytes, 28, 4);
  aOut.data = aBytes.substr(kHeader);
  return true;
}

Micros
Loop::Now() const
{
  static const Micros start = Steady();
  return Steady() - start;
}

void
Loop::At(Micros aWhen, std::function<void()> aRun)
{
  this->timers.push({ aWhen, ++this->lastNumber, std::move(aRun) });
}

void
Loop::Watch(int aFd, std::function<void()> aReadable)
{
  this->watched[aFd] = std::move(aReadable);
}

void
Loop::Unwatch(int aFd)
{
  this->watched.erase(aFd);
}

void
Loop::Run(const std::function<bool()>& aDone)
{
  while (!aDone()) {
    while (!this->timers.empty() && this->timers.top().at <= this->Now()) {
      auto run = this->timers.top().run;
      this->timers.pop();
      run();
    }
    std::vector<pollfd> entries;
    for (const auto& [fd, callback] : this->watched) {
      entries.push_back({ fd, POLLIN, 0 });
    }
    Micros wait =
      this->timers.empty()
        ? 50 * kMs
        : std::clamp<Micros>(this->timers.top().at - this->Now(), 0, 50 * kMs);
    poll(entries.data(), entries.size(), static_cast<int>((wait + 999) / 1000));
    for (const pollfd& entry : entries) {
      auto known = this->watched.find(entry.fd);
      if (entry.revents != 0 && known != this->watched.end()) {
        auto callback = known->second;
        callback();
      }
    }
  }
}

int
UdpSocket(Addr aAddr)
{
  int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in to = ToSock(aAddr);
  if (bind(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
    fprintf(stderr, "bind %s: %s\n", Text(aAddr).c_str(), strerror(errno));
    exit(2);
  }
  return fd;
}

uint16_t
FreePort(const std::vector<uint32_t>& aIps)
{
  static uint16_t next = static_cast<uint16_t>(20000 + (getpid() * 37) % 10000);
  for (;; ++next) {
    bool isFree = true;
    for (uint32_t ip : aIps) {
      for (int type : { SOCK_DGRAM, SOCK_STREAM }) {
        int fd = socket(AF_INET, type, 0);
        sockaddr_in to = ToSock({ ip, next });
        isFree =
          isFree && bind(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0;
        close(fd);
      }
    }
    if (isFree) {
      return next++;
    }
  }
}

Store::Store(uint32_t aIp)
  : addr{ aIp, FreePort({ aIp }) }
  , listener(TcpListener(this->addr))
{
  loop.Watch(this->listener, [this] { this->OnAccept(); });
}

std::string
Store::Json(const std::string& aName, const Object& aObject)
{
  return "{\"meta\":{\"name\":\"" + aName +
         "\",\"revision\":" + std::to_string(aObject.revision) +
         ",\"created\":" + std::to_string(aObject.created) +
         ",\"finalizers\":[],\"deleting\":false},\"spec\":" + aObject.spec +
         ",\"status\":null}";
}

void
Store::Put(const std::string& aKind,
           const std::string& aName,
           const std::string& aSpec)
{
  Object& object = this->objects[aKind][aName];
  if (object.revision != 0 && object.spec == aSpec) {
    return;
  }
  object.spec = aSpec;
  object.revision = ++this->revision;
  object.created = object.created == 0 ? object.revision : object.created;
  this->events.push_back(
    { aKind,
      object.revision,
      "{\"tombstone\":false,\"object\":" + Json(aName, object) + "}" });
  this->Wake();
}

void
Store::Delete(const std::string& aKind, const std::string& aName)
{
  auto& kind = this->objects[aKind];
  auto known = kind.find(aName);
  if (known == kind.end()) {
    return;
  }
  Object object = known->second;
  kind.erase(known);
  object.revision = ++this->revision;
  this->events.push_back(
    { aKind,
      object.revision,
      "{\"tombstone\":true,\"object\":" + Json(aName, object) + "}" });
  this->Wake();
}

void
Store::OnAccept()
{
  int fd =
    accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd >= 0) {
    this->conns[fd] = { fd, {}, false, {}, 0, 0 };
    loop.Watch(fd, [this, fd] { this->OnReadable(fd); });
  }
}

void
Store::OnReadable(int aFd)
{
  char buffer[4096];
  ssize_t count = recv(aFd, buffer, sizeof buffer, MSG_DONTWAIT);
  Conn& conn = this->conns[aFd];
  if (count == 0 || (count < 0 && errno != EAGAIN)) {
    loop.Unwatch(aFd);
    close(aFd);
    this->conns.erase(aFd);
    return;
  }
  conn.in.append(buffer, count < 0 ? 0 : static_cast<size_t>(count));
  size_t end = conn.in.find("\r\n\r\n");
  if (end == std::string::npos) {
    return;
  }
  std::string head = conn.in.substr(0, end);
  conn.in.erase(0, end + 4);
  size_t from = head.find(' ') + 1;
  ++this->calls;
  if (this->silent) {
    return;
  }
  this->Handle(conn, head.substr(from, head.find(' ', from) - from));
}

void
Store::Handle(Conn& aConn, const std::string& aTarget)
{
  if (this->busy) {
    this->Reply(aConn.fd, 503, "{}");
    return;
  }
  const std::string prefix = "/-/objects/";
  size_t question = aTarget.find('?');
  std::string kind =
    aTarget.substr(prefix.size(),
                   question == std::string::npos ? std::string::npos
                                                 : question - prefix.size());
  std::map<std::string, std::string> query;
  std::string rest =
    question == std::string::npos ? "" : aTarget.substr(question + 1);
  while (!rest.empty()) {
    size_t end = std::min(rest.find('&'), rest.size());
    size_t equal = rest.find('=');
    query[rest.substr(0, equal)] = rest.substr(equal + 1, end - equal - 1);
    rest = end < rest.size() ? rest.substr(end + 1) : "";
  }
  if (query.count("watch")) {
    aConn.waiting = true;
    aConn.kind = kind;
    aConn.from = std::stoull(query["watch"]);
    aConn.number = ++this->lastWatch;
    if (this->AnswerWatch(aConn, false)) {
      return;
    }
    int fd = aConn.fd;
    uint64_t number = aConn.number;
    loop.After(std::stoll(query["wait_ms"]) * kMs, [this, fd, number] {
      auto known = this->conns.find(fd);
      if (known != this->conns.end() && known->second.waiting &&
          known->second.number == number && !this->silent) {
        this->AnswerWatch(known->second, true);
      }
    });
    return;
  }
  std::string items;
  size_t count = 0;
  bool more = false;
  for (const auto& [name, object] : this->objects[kind]) {
    if (query.count("after") && name <= query["after"]) {
      continue;
    }
    if (count == this->pageItems) {
      more = true;
      break;
    }
    items += (count++ == 0 ? "" : ",") + Json(name, object);
  }
  this->Reply(aConn.fd,
              200,
              "{\"items\":[" + items +
                "],\"more\":" + (more ? "true" : "false") +
                ",\"as_of\":" + std::to_string(this->revision) + "}");
}

bool
Store::AnswerWatch(Conn& aConn, bool aTimeUp)
{
  std::string body;
  for (const Event& event : this->events) {
    if (event.kind == aConn.kind && event.revision > aConn.from) {
      body += (body.empty() ? "" : ",") + event.body;
    }
  }
  if (body.empty() && !aTimeUp) {
    return false;
  }
  aConn.waiting = false;
  if (this->busy) {
    this->Reply(aConn.fd, 503, "{}");
  } else {
    this->Reply(aConn.fd,
                200,
                "{\"events\":[" + body +
                  "],\"as_of\":" + std::to_string(this->revision) + "}");
  }
  return true;
}

void
Store::Wake()
{
  if (this->silent || this->busy) {
    return;
  }
  for (auto& [fd, conn] : this->conns) {
    if (conn.waiting) {
      this->AnswerWatch(conn, false);
    }
  }
}

void
Store::Reply(int aFd, int aStatus, const std::string& aBody)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) +
                     (aStatus == 200 ? " OK" : " Unavailable") +
                     "\r\nContent-Type: application/json\r\nContent-Length: " +
                     std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  if (send(aFd, text.data(), text.size(), MSG_NOSIGNAL) !=
      static_cast<ssize_t>(text.size())) {
    Record("store: an answer was cut");
  }
}

void
Daemon::Start()
{
  std::string settings = this->folder + "/local.toml";
  std::string log = this->folder + "/log.txt";
  pid_t rig = getpid();
  pid_t child = fork();
  if (child == 0) {
    // The daemon ends with this program, also if that is ended early.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != rig) {
      _exit(99);
    }
    int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, 1);
    dup2(fd, 2);
    setenv("GENTIANSPINDLE_CONFIG", settings.c_str(), 1);
    const char* binary = getenv("BALANCER");
    execl(binary, binary, static_cast<char*>(nullptr));
    _exit(99);
  }
  this->pid = child;
  this->running = true;
  Record("daemon %s starts, process %d", this->name.c_str(), child);
}

void
Daemon::Signal(int aSignal)
{
  if (this->running) {
    Record("daemon %s gets %s", this->name.c_str(), strsignal(aSignal));
    kill(this->pid, aSignal);
  }
}

Site::Site(const std::string& aBinary,
           const std::string& aFolder,
           uint32_t aStoreIp)
  : binary(aBinary)
  , folder(aFolder)
  , store(std::make_unique<Store>(aStoreIp))
{
  setenv("BALANCER", aBinary.c_str(), 1);
  this->routerFd = UdpSocket({ Ip("127.0.0.1"), 0 });
}

Daemon&
Site::AddDaemon(const std::string& aZone, uint32_t aIp)
{
  auto daemon = std::make_unique<Daemon>();
  daemon->name =
    "frontend-" + aZone + "-" + std::to_string(this->daemons.size() + 1);
  daemon->zone = aZone;
  daemon->ip = aIp;
  daemon->folder = this->folder + "/" + daemon->name;
  mkdir(daemon->folder.c_str(), 0755);
  this->daemons.push_back(std::move(daemon));
  return *this->daemons.back();
}

// The text is that of platform/settings.template with the figures of
// panji-lb, as `fleetbench wire` shows it.
void
Site::WriteSettings(Daemon& aDaemon, const std::vector<uint32_t>& aSeeds)
{
  std::string seeds;
  for (uint32_t seed : aSeeds) {
    seeds +=
      (seeds.empty() ? "\"" : ",\"") + Text({ seed, this->controlPort }) + "\"";
  }
  std::set<std::string> zones;
  for (const auto& daemon : this->daemons) {
    zones.insert(daemon->zone);
  }
  std::string regions;
  for (const std::string& zone : zones) {
    regions += (regions.empty() ? "\"" : ",\"") + zone + "=jawa\"";
  }
  std::ofstream(aDaemon.folder + "/local.toml")
    << "[instance]\nname = \"" << aDaemon.name << "\"\naddress = \""
    << Text(aDaemon.ip) << "\"\nzone = \"" << aDaemon.zone
    << "\"\ncores = 0.055\n[fabric]\npackets = \""
    << Text({ aDaemon.ip, this->packetPort }) << "\"\n[ready]\nlisten = \""
    << Text({ aDaemon.ip, this->readyPort }) << "\"\n[store]\naddress = \""
    << Text(this->store->addr) << "\"\n[drain]\n[regions]\nzones = [" << regions
    << "]\n[peers]\nport = " << this->peerPort << "\nseeds = [" << seeds
    << "]\n\n[detect]\nprobes_per_s = 5\n\n[admission]\nshares = 1\n[stop]\n"
       "grace_ms = "
    << this->graceS << "e3\n[warmup]\n\n\n[load]\nby_requests = 1\n";
}

void
Site::StartRouters()
{
  for (const auto& daemon : this->daemons) {
    this->CheckReady(*daemon);
  }
}

// GET /-/readiness twice a second. After two misses the daemon is out of
// rotation until it answers with 200.
void
Site::CheckReady(Daemon& aDaemon)
{
  loop.After(500 * kMs, [this, &aDaemon] { this->CheckReady(aDaemon); });
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in to = ToSock({ aDaemon.ip, this->readyPort });
  if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0 &&
      errno != EINPROGRESS) {
    close(fd);
    fd = -1;
  } else {
    std::string call = "GET /-/readiness HTTP/1.1\r\nHost: " +
                       Text({ aDaemon.ip, this->readyPort }) +
                       "\r\nConnection: close\r\n\r\n";
    send(fd, call.data(), call.size(), MSG_NOSIGNAL);
  }
  auto answered = std::make_shared<bool>(false);
  auto finish = [&aDaemon, answered, fd](bool aOk) {
    if (*answered) {
      return;
    }
    *answered = true;
    if (fd >= 0) {
      loop.Unwatch(fd);
      close(fd);
    }
    aDaemon.misses = aOk ? 0 : aDaemon.misses + 1;
    bool now = aOk || (aDaemon.inRotation && aDaemon.misses < 2);
    if (now != aDaemon.inRotation) {
      aDaemon.inRotation = now;
      Record("daemon %s is %s rotation",
             aDaemon.name.c_str(),
             now ? "in" : "out of");
    }
  };
  if (fd < 0) {
    finish(false);
    return;
  }
  loop.Watch(fd, [fd, finish] {
    char buffer[512];
    ssize_t count = recv(fd, buffer, sizeof buffer - 1, MSG_DONTWAIT);
    if (count < 0 && errno == EAGAIN) {
      return;
    }
    buffer[count < 0 ? 0 : count] = 0;
    finish(strncmp(buffer, "HTTP/1.1 200", 12) == 0);
  });
  loop.After(450 * kMs, [finish] { finish(false); });
}

// Steady: if a daemon leaves, only its flows move.
Daemon*
Site::Route(const Packet& aPacket, const std::string& aZone)
{
  auto pick = [&](bool aSameZone, bool aAll) -> Daemon* {
    Daemon* best = nullptr;
    uint64_t bestScore = 0;
    for (const auto& daemon : this->daemons) {
      if ((daemon->zone == aZone) != aSameZone ||
          (!aAll && !daemon->inRotation)) {
        continue;
      }
      uint64_t hash = 1469598103934665603ull;
      for (uint64_t part : { uint64_t{ aPacket.src.ip },
                             uint64_t{ aPacket.src.port },
                             uint64_t{ aPacket.dst.ip },
                             uint64_t{ aPacket.dst.port },
                             uint64_t{ daemon->ip } }) {
        hash = (hash ^ part) * 1099511628211ull;
        hash ^= hash >> 29;
      }
      if (best == nullptr || hash > bestScore) {
        best = daemon.get();
        bestScore = hash;
      }
    }
    return best;
  };
  size_t zone = 0;
  size_t ready = 0;
  for (const auto& daemon : this->daemons) {
    zone += daemon->zone == aZone ? 1 : 0;
    ready += daemon->zone == aZone && daemon->inRotation ? 1 : 0;
  }
  if (ready > 0) {
    return pick(true, 2 * ready < zone);
  }
  return pick(false, false);
}

void
Site::SendIn(const Packet& aPacket, const std::string& aZone)
{
  Daemon* daemon = this->Route(aPacket, aZone);
  if (daemon != nullptr) {
    SendUdp(this->routerFd, aPacket.Encode(), { daemon->ip, this->packetPort });
  }
}

void
Site::ReapChildren()
{
  for (const auto& daemon : this->daemons) {
    int status = 0;
    if (daemon->running &&
        waitpid(daemon->pid, &status, WNOHANG) == daemon->pid) {
      daemon->running = false;
      Record("daemon %s ended, status %d", daemon->name.c_str(), status);
      if (daemon->onEnd) {
        daemon->onEnd(status);
      } else {
        ++this->unexpectedEnds;
      }
    }
  }
}

void
Site::KillAll()
{
  for (const auto& daemon : this->daemons) {
    if (daemon->running) {
      kill(daemon->pid, SIGCONT);
      kill(daemon->pid, SIGKILL);
      waitpid(daemon->pid, nullptr, 0);
      daemon->running = false;
    }
  }
}

bool
Site::AllReady() const
{
  return std::all_of(this->daemons.begin(),
                     this->daemons.end(),
                     [](const auto& aDaemon) { return aDaemon->inRotation; });
}

Host::Host(Site& aSite,
           const std::string& aService,
           const std::string& aZone,
           uint32_t aIp,
           uint32_t aId)
  : site(aSite)
  , service(aService)
  , zone(aZone)
  , addr{ aIp, FreePort({ aIp }) }
  , id(aId)
  , born(1700000000000)
{
  this->udp = UdpSocket(this->addr);
  this->tcp = TcpListener(this->addr);
  loop.Watch(this->udp, [this] { this->OnReadable(); });
  loop.Watch(this->tcp, [this] { this->OnTcp(); });
  all.push_back(this);
}

std::string
Host::EntryName() const
{
  char name[32];
  snprintf(name, sizeof name, "i-%08x", this->id);
  return name;
}

std::string
Host::Spec(const std::string& aService, const std::string& aBorn) const
{
  return "{\"service\":\"" + aService + "\",\"address\":\"" + Text(this->addr) +
         "\",\"zone\":\"" + this->zone +
         "\",\"version\":\"v1\",\"slots\":2,\"state\":\"" + this->state +
         "\",\"warmup_left_ms\":0,\"seq\":1,\"born\":" + aBorn + "}";
}

void
Host::Register()
{
  uint64_t before = this->site.store->Revision();
  this->site.store->Put("servers",
                        this->EntryName(),
                        this->Spec(this->service, std::to_string(this->born)));
  if (this->site.store->Revision() != before) {
    Record("host %s of %s at %s writes its entry, %s",
           this->EntryName().c_str(),
           this->service.c_str(),
           Text(this->addr).c_str(),
           this->state.c_str());
  }
}

void
Host::StartHeartbeats()
{
  constexpr Micros kHeartbeat = 1200 * kMs;
  loop.After(kHeartbeat, [this] {
    if (this->alive) {
      this->Register();
      this->StartHeartbeats();
      if (this->onHeartbeat) {
        this->onHeartbeat();
      }
    }
  });
}

void
Host::SetState(const std::string& aState)
{
  this->state = aState;
  this->Register();
}

void
Host::Unregister()
{
  this->site.store->Delete("servers", this->EntryName());
  Record("host %s: its entry is removed", this->EntryName().c_str());
}

// Answers a health check; other connections are closed by their other end.
void
Host::OnTcp()
{
  int fd = accept4(this->tcp, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) {
    return;
  }
  loop.Watch(fd, [this, fd] {
    char buffer[1024];
    ssize_t count = recv(fd, buffer, sizeof buffer, MSG_DONTWAIT);
    if (count > 0) {
      std::string text =
        this->state == "ready"
          ? "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
          : "HTTP/1.1 503 Leaving\r\nContent-Length: 0\r\n\r\n";
      send(fd, text.data(), text.size(), MSG_NOSIGNAL);
    } else if (count == 0 || errno != EAGAIN) {
      loop.Unwatch(fd);
      close(fd);
    }
  });
}

void
Host::OnReadable()
{
  std::string bytes;
  while (ReceiveUdp(this->udp, bytes)) {
    if (bytes.size() < 8) {
      continue;
    }
    uint64_t meant = uint64_t{ Get(bytes, 0, 4) } << 32 | Get(bytes, 4, 4);
    Packet packet;
    if ((meant != 0 && meant != this->id) ||
        !Packet::Decode(bytes.substr(8), packet) || !this->alive) {
      continue;
    }
    if (packet.sum != packet.Sum()) {
      Record("host %08x: a packet of %s that its sender did not write so",
             this->id,
             Text(packet.src).c_str());
      continue;
    }
    this->OnPacket(packet);
  }
}

void
Host::Send(Packet aPacket)
{
  aPacket.sum = aPacket.Sum();
  if (lose && lose(*this, aPacket)) {
    return;
  }
  Addr to = aPacket.dst;
  to.port = this->site.packetPort;
  SendUdp(this->udp, aPacket.Encode(), to);
}

void
Host::SendReliably(const Key& aKey, Flow& aFlow, const Packet& aPacket)
{
  aFlow.unacked = aPacket;
  aFlow.pending = true;
  aFlow.resends = 0;
  aFlow.timer = ++this->lastTimer;
  this->Send(aPacket);
  this->Retransmit(aKey, aFlow.timer, kFirstResend);
}

void
Host::Retransmit(const Key& aKey, uint64_t aTimer, Micros aDelay)
{
  loop.After(aDelay, [this, aKey, aTimer, aDelay] {
    auto known = this->flows.find(aKey);
    if (known == this->flows.end() || !known->second.pending ||
        known->second.timer != aTimer || !this->alive) {
      return;
    }
    Flow& flow = known->second;
    if (++flow.resends > kMaxResends) {
      this->flows.erase(known);
      return;
    }
    flow.unacked.echo = flow.echo;
    this->Send(flow.unacked);
    this->Retransmit(aKey, aTimer, std::min(2 * aDelay, kLastResend));
  });
}

void
Host::OnPacket(const Packet& aPacket)
{
  Key key{ aPacket.src, aPacket.dst };
  Packet answer;
  answer.src = aPacket.dst;
  answer.dst = aPacket.src;
  answer.echo = aPacket.echo;
  auto known = this->flows.find(key);
  if (aPacket.flags & kRst) {
    if (known != this->flows.end()) {
      this->flows.erase(known);
    }
    return;
  }
  if (aPacket.flags & kSyn) {
    if (known != this->flows.end() && known->second.open) {
      return;
    }
    Flow& flow = this->flows[key];
    if (flow.seq == 0) {
      flow.seq = static_cast<uint32_t>(rand());
      flow.rcv = aPacket.seq + 1;
      flow.snd = flow.seq + 1;
    }
    flow.echo = aPacket.echo;
    answer.flags = kSyn | kAck;
    answer.seq = flow.seq;
    answer.ack = flow.rcv;
    Record("host %08x: SYN of %s, copy %u",
           this->id,
           Text(aPacket.src).c_str(),
           aPacket.ack);
    this->SendReliably(key, flow, answer);
    return;
  }
  bool holds = known != this->flows.end() &&
               (known->second.open || aPacket.ack == known->second.seq + 1);
  if (!holds) {
    answer.flags = kRst;
    answer.seq = aPacket.ack;
    lastReset[key] = this;
    Record("host %08x: does not hold the flow of %s, sends RST (data %zu B)",
           this->id,
           Text(aPacket.src).c_str(),
           aPacket.data.size());
    this->Send(answer);
    return;
  }
  Flow& flow = known->second;
  flow.echo = aPacket.echo;
  if (!flow.open) {
    flow.open = true;
    flow.pending = false;
    openAt[key] = this;
    Record("host %08x: flow of %s is open here",
           this->id,
           Text(aPacket.src).c_str());
  }
  if (flow.pending && aPacket.ack == flow.snd) {
    flow.pending = false;
  }
  answer.flags = kAck;
  answer.seq = flow.snd;
  if (!aPacket.data.empty()) {
    if (aPacket.seq == flow.rcv) {
      flow.rcv += static_cast<uint32_t>(aPacket.data.size());
      size_t from = aPacket.data.find("Attempt-Id: ");
      std::string attempt = "?";
      if (from != std::string::npos) {
        from += 12;
        attempt =
          aPacket.data.substr(from, aPacket.data.find('\r', from) - from);
      }
      ++runs[attempt];
      if (onRun) {
        onRun(*this, attempt, aPacket);
      }
      Record("host %08x: request %s of %s runs",
             this->id,
             attempt.c_str(),
             Text(aPacket.src).c_str());
      constexpr Micros kMeanWork = 13 * kMs;
      Micros work = this->workTime != 0 ? this->workTime
                                        : kMeanWork / 2 + rand() % kMeanWork;
      loop.After(work, [this, key, attempt] {
        auto flowOfKey = this->flows.find(key);
        if (flowOfKey == this->flows.end() || !this->alive) {
          return;
        }
        Flow& running = flowOfKey->second;
        Packet response;
        response.src = key.second;
        response.dst = key.first;
        response.flags = kAck;
        response.seq = running.snd;
        response.ack = running.rcv;
        response.echo = running.echo;
        std::string body = "answer to " + attempt;
        response.data =
          "HTTP/1.1 200 OK\r\nServer-Seal: " + std::to_string(this->id) +
          "\r\nContent-Length: " + std::to_string(body.size()) +
          (this->state == "draining" ? "\r\nConnection: close" : "") +
          "\r\n\r\n" + body;
        running.snd += static_cast<uint32_t>(response.data.size());
        this->SendReliably(key, running, response);
      });
    }
    answer.ack = flow.rcv;
    this->Send(answer);
  }
  if (aPacket.flags & kFin) {
    answer.ack = flow.rcv + 1;
    answer.flags = kAck | kFin;
    this->Send(answer);
    this->flows.erase(key);
  }
}

Client::Client(Site& aSite, const std::string& aZone, uint32_t aIp)
  : site(aSite)
  , zone(aZone)
  , ip(aIp)
{
  this->udp = UdpSocket({ aIp, aSite.packetPort });
  loop.Watch(this->udp, [this] { this->OnReadable(); });
}

void
Client::Send(Flow& aFlow, Packet aPacket)
{
  aPacket.src = aFlow.self;
  aPacket.dst = aFlow.target;
  aPacket.echo = aPacket.flags & kSyn ? 0 : aFlow.echo;
  aPacket.sum = aPacket.Sum();
  this->site.SendIn(aPacket, this->zone);
}

std::shared_ptr<Client::Flow>
Client::Open(Addr aTarget, std::function<void(const std::string&)> aDone)
{
  auto flow = std::make_shared<Flow>();
  flow->self = { this->ip, this->nextPort++ };
  flow->target = aTarget;
  flow->seq = static_cast<uint32_t>(rand());
  this->flows[flow->self.port] = flow;
  this->opening[flow->self.port] = std::move(aDone);
  this->Copy(flow);
  return flow;
}

// The SYN, copies after 200 and 600 ms, and the end after 1.4 s.
void
Client::Copy(const std::shared_ptr<Flow>& aFlow)
{
  if (aFlow->open || aFlow->ended) {
    return;
  }
  if (aFlow->synCopies == 3) {
    this->End(*aFlow, "no answer");
    return;
  }
  Packet syn;
  syn.flags = kSyn;
  syn.seq = aFlow->seq;
  syn.ack = static_cast<uint32_t>(aFlow->synCopies);
  this->Send(*aFlow, syn);
  Micros delay = 200 * kMs << aFlow->synCopies;
  ++aFlow->synCopies;
  loop.After(delay, [this, aFlow] { this->Copy(aFlow); });
}

void
Client::Request(const std::shared_ptr<Flow>& aFlow,
                const std::string& aId,
                Micros aDeadline,
                std::function<void(const std::string&)> aDone)
{
  aFlow->attempt = { aId, std::move(aDone) };
  aFlow->busy = true;
  aFlow->lastUsed = loop.Now();
  Packet packet;
  packet.flags = kAck;
  packet.seq = aFlow->seq;
  packet.ack = aFlow->rcv;
  packet.data = "GET /x HTTP/1.1\r\nHost: " + Text(aFlow->target) +
                "\r\nAttempt-Id: " + aId + "\r\n\r\n";
  aFlow->seq += static_cast<uint32_t>(packet.data.size());
  aFlow->unacked = packet;
  aFlow->pending = true;
  aFlow->timer = ++this->lastTimer;
  Record("client %s: request %s", Text(aFlow->self).c_str(), aId.c_str());
  this->Send(*aFlow, packet);
  this->Retransmit(aFlow, aFlow->timer, kFirstResend);
  uint64_t timer = aFlow->timer;
  loop.After(aDeadline, [this, aFlow, timer] {
    if (aFlow->busy && aFlow->timer == timer && !aFlow->ended) {
      this->End(*aFlow, "no answer");
    }
  });
}

void
Client::Retransmit(const std::shared_ptr<Flow>& aFlow,
                   uint64_t aTimer,
                   Micros aDelay)
{
  loop.After(aDelay, [this, aFlow, aTimer, aDelay] {
    if (!aFlow->pending || aFlow->timer != aTimer || aFlow->ended) {
      return;
    }
    aFlow->unacked.ack = aFlow->rcv;
    this->Send(*aFlow, aFlow->unacked);
    this->Retransmit(aFlow, aTimer, std::min(2 * aDelay, kLastResend));
  });
}

void
Client::Close(const std::shared_ptr<Flow>& aFlow)
{
  if (aFlow->ended) {
    return;
  }
  Packet fin;
  fin.flags = kAck | kFin;
  fin.seq = aFlow->seq;
  fin.ack = aFlow->rcv;
  this->Send(*aFlow, fin);
  aFlow->ended = true;
}

void
Client::End(Flow& aFlow, const std::string& aOutcome)
{
  if (aFlow.ended) {
    return;
  }
  aFlow.ended = true;
  auto started = this->opening.find(aFlow.self.port);
  if (!aFlow.open && started != this->opening.end()) {
    auto done = started->second;
    this->opening.erase(started);
    done(aOutcome);
  } else if (aFlow.busy) {
    aFlow.busy = false;
    aFlow.attempt.done(aOutcome);
  }
}

void
Client::OnReadable()
{
  std::string bytes;
  while (ReceiveUdp(this->udp, bytes)) {
    Packet packet;
    if (Packet::Decode(bytes, packet)) {
      this->OnPacket(packet);
    }
  }
}

void
Client::OnPacket(const Packet& aPacket)
{
  auto known = this->flows.find(aPacket.dst.port);
  if (known == this->flows.end() || known->second->ended ||
      known->second->target != aPacket.src) {
    return;
  }
  std::shared_ptr<Flow> flow = known->second;
  bool ofSystem = aPacket.sum == 0 && (aPacket.flags & kRst);
  if (!ofSystem && aPacket.sum != aPacket.Sum()) {
    Record("client %s: a packet that its sender did not write so",
           Text(flow->self).c_str());
    return;
  }
  if (aPacket.flags & kRst) {
    if (flow->onReset) {
      flow->onReset(aPacket);
    }
    this->End(*flow, "reset");
    return;
  }
  flow->echo = aPacket.echo;
  Packet answer;
  answer.flags = kAck;
  if (aPacket.flags & kSyn) {
    if (flow->open) {
      bool isSame = aPacket.seq == flow->hostSeq;
      if (isSame || this->acksSecondSynAck) {
        answer.seq = flow->seq;
        answer.ack = flow->rcv;
        this->Send(*flow, answer);
      }
      return;
    }
    flow->open = true;
    flow->openedAt = loop.Now();
    flow->hostSeq = aPacket.seq;
    flow->rcv = aPacket.seq + 1;
    ++flow->seq;
    answer.seq = flow->seq;
    answer.ack = flow->rcv;
    this->Send(*flow, answer);
    auto done = this->opening[flow->self.port];
    this->opening.erase(flow->self.port);
    done("open");
    return;
  }
  if (flow->pending && aPacket.ack == flow->seq) {
    flow->pending = false;
  }
  if (!aPacket.data.empty()) {
    bool isNew = aPacket.seq == flow->rcv;
    if (isNew) {
      flow->rcv += static_cast<uint32_t>(aPacket.data.size());
    }
    answer.seq = flow->seq;
    answer.ack = flow->rcv;
    this->Send(*flow, answer);
    if (isNew && flow->busy) {
      flow->busy = false;
      flow->lastUsed = loop.Now();
      bool whole =
        aPacket.data.find("answer to " + flow->attempt.id) != std::string::npos;
      flow->attempt.done(whole ? "200" : "wrong answer");
    }
  }
}

}
