#include "rig.h"

namespace rig {

namespace {

bool
ReadHead(int fd, std::string& buffer, std::string& head)
{
  while (true) {
    size_t end = buffer.find("\r\n\r\n");
    if (end != std::string::npos) {
      head = buffer.substr(0, end);
      buffer.erase(0, end + 4);
      return true;
    }
    char bytes[4096];
    ssize_t count = recv(fd, bytes, sizeof bytes, 0);
    if (count <= 0) {
      return false;
    }
    buffer.append(bytes, static_cast<size_t>(count));
  }
}

std::string
QueryValue(const std::string& path, const std::string& key)
{
  size_t at = path.find_first_of('?');
  while (at != std::string::npos) {
    size_t end = path.find('&', at + 1);
    std::string part = path.substr(at + 1, end - at - 1);
    if (part.rfind(key + "=", 0) == 0) {
      return part.substr(key.size() + 1);
    }
    at = end;
  }
  return "";
}

}

Store::Store(Endpoint at)
{
  int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in raw = Raw(at);
  if (bind(listener, reinterpret_cast<sockaddr*>(&raw), sizeof raw) != 0 ||
      listen(listener, 64) != 0) {
    CannotRun("cannot listen at " + Text(at));
  }
  std::thread([this, listener] {
    while (true) {
      sockaddr_in from{};
      socklen_t size = sizeof from;
      int fd = accept4(
        listener, reinterpret_cast<sockaddr*>(&from), &size, SOCK_CLOEXEC);
      if (fd >= 0) {
        std::thread([this, fd, from] {
          this->Serve(fd, ntohl(from.sin_addr.s_addr));
        }).detach();
      }
    }
  }).detach();
}

std::string
Store::Render(const std::string& name, const Object& object)
{
  std::ostringstream out;
  out << "{\"meta\":{\"name\":\"" << name
      << "\",\"revision\":" << object.revision
      << ",\"created\":" << object.created
      << ",\"finalizers\":[],\"deleting\":false},\"spec\":" << object.spec
      << ",\"status\":null}";
  return out.str();
}

uint64_t
Store::Put(const std::string& kind,
           const std::string& name,
           const std::string& spec)
{
  std::lock_guard lock(this->mutex);
  auto [at, isNew] = this->objects[kind].try_emplace(name);
  Object& object = at->second;
  if (!isNew && object.spec == spec) {
    return object.revision;
  }
  object.spec = spec;
  object.revision = ++this->revision;
  object.created = isNew ? this->revision : object.created;
  this->events.push_back({ this->revision, kind, Render(name, object), false });
  this->changed.notify_all();
  return this->revision;
}

void
Store::Remove(const std::string& kind, const std::string& name)
{
  std::lock_guard lock(this->mutex);
  auto at = this->objects[kind].find(name);
  if (at == this->objects[kind].end()) {
    return;
  }
  at->second.revision = ++this->revision;
  this->events.push_back(
    { this->revision, kind, Render(name, at->second), true });
  this->objects[kind].erase(at);
  this->changed.notify_all();
}

void
Store::Forget()
{
  std::lock_guard lock(this->mutex);
  this->events.clear();
  this->forgotten = this->revision + 1;
  ++this->cuts;
  this->changed.notify_all();
}

std::string
Store::Answer(const std::string& path, uint32_t from, int& status)
{
  constexpr char kPrefix[] = "/-/objects/";
  status = 404;
  if (path.rfind(kPrefix, 0) != 0) {
    return "{}";
  }
  std::string kind =
    path.substr(sizeof kPrefix - 1, path.find('?') - (sizeof kPrefix - 1));
  std::string watch = QueryValue(path, "watch");
  std::ostringstream out;
  std::unique_lock lock(this->mutex);
  if (watch.empty()) {
    std::string after = QueryValue(path, "after");
    out << "{\"items\":[";
    bool first = true;
    for (const auto& [name, object] : this->objects[kind]) {
      if (name > after) {
        out << (first ? "" : ",") << Render(name, object);
        first = false;
      }
    }
    out << "],\"more\":false,\"as_of\":" << this->revision << "}";
    status = 200;
    lock.unlock();
    Ms delay = this->listDelay ? this->listDelay(kind, from) : 0;
    std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>(delay));
    return out.str();
  }
  uint64_t since = std::stoull(watch);
  Ms wait = std::stod("0" + QueryValue(path, "wait_ms"));
  auto limit = std::chrono::steady_clock::now() +
               std::chrono::duration<double, std::milli>(wait);
  uint64_t cutsAtStart = this->cuts;
  auto hasNews = [&] {
    if (this->cuts != cutsAtStart || since < this->forgotten) {
      return true;
    }
    for (const Event& event : this->events) {
      if (event.kind == kind && event.revision > since) {
        return true;
      }
    }
    return false;
  };
  this->changed.wait_until(lock, limit, hasNews);
  if (this->cuts != cutsAtStart) {
    status = 0; // the watch is cut off
    return "";
  }
  if (since < this->forgotten) {
    status = 410;
    return "{}";
  }
  out << "{\"events\":[";
  bool first = true;
  for (const Event& event : this->events) {
    if (event.kind == kind && event.revision > since) {
      out << (first ? "" : ",")
          << "{\"tombstone\":" << (event.tombstone ? "true" : "false")
          << ",\"object\":" << event.object << "}";
      first = false;
    }
  }
  out << "],\"as_of\":" << this->revision << "}";
  status = 200;
  return out.str();
}

void
Store::Serve(int fd, uint32_t from)
{
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  std::string buffer;
  std::string head;
  while (ReadHead(fd, buffer, head)) {
    size_t start = head.find(' ') + 1;
    std::string path = head.substr(start, head.find(' ', start) - start);
    int status = 0;
    std::string body = this->Answer(path, from, status);
    if (status == 0) {
      break;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(4));
    std::string answer = "HTTP/1.1 " + std::to_string(status) +
                         " X\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body;
    size_t sent = 0;
    while (sent < answer.size()) {
      ssize_t count =
        send(fd, answer.data() + sent, answer.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        close(fd);
        return;
      }
      sent += static_cast<size_t>(count);
    }
  }
  close(fd);
}

namespace {

void
Put(std::string& out, uint64_t value, int bytes)
{
  for (int i = bytes - 1; i >= 0; --i) {
    out.push_back(static_cast<char>(value >> (8 * i)));
  }
}

uint32_t
Get(const std::string& bytes, size_t at, int count)
{
  uint32_t value = 0;
  for (int i = 0; i < count; ++i) {
    value = value << 8 | static_cast<uint8_t>(bytes[at + i]);
  }
  return value;
}

// A keyed sum over all fields except echo, pad and BOUNCED; never 0.
uint32_t
SumOf(const Packet& packet)
{
  uint32_t sum = 0x5bd1e995U;
  auto mix = [&sum](uint32_t value) {
    for (int i = 0; i < 4; ++i) {
      sum = (sum ^ (value >> (8 * i) & 255)) * 16777619U;
    }
  };
  mix(packet.seq);
  mix(packet.ack);
  mix(packet.flags & ~4U);
  mix(packet.from.address);
  mix(packet.from.port);
  mix(packet.to.address);
  mix(packet.to.port);
  for (char c : packet.data) {
    mix(static_cast<uint8_t>(c));
  }
  return sum == 0 ? 1 : sum;
}

}

std::string
Encode(const Packet& packet)
{
  std::string out;
  Put(out, packet.seq, 4);
  Put(out, packet.ack, 4);
  Put(out, packet.flags, 1);
  Put(out, 0, 1);
  Put(out, packet.data.size(), 2);
  Put(out, SumOf(packet), 4);
  Put(out, packet.from.port, 2);
  Put(out, packet.from.address, 4);
  Put(out, packet.to.port, 2);
  Put(out, packet.to.address, 4);
  Put(out, packet.echo, 4);
  return out + packet.data;
}

std::optional<Packet>
Decode(const std::string& bytes)
{
  if (bytes.size() < 32 || bytes.size() != 32 + Get(bytes, 10, 2)) {
    return std::nullopt;
  }
  Packet packet;
  packet.seq = Get(bytes, 0, 4);
  packet.ack = Get(bytes, 4, 4);
  packet.flags = static_cast<uint8_t>(bytes[8]);
  packet.sum = Get(bytes, 12, 4);
  packet.from = { Get(bytes, 18, 4), static_cast<uint16_t>(Get(bytes, 16, 2)) };
  packet.to = { Get(bytes, 24, 4), static_cast<uint16_t>(Get(bytes, 22, 2)) };
  packet.echo = Get(bytes, 28, 4);
  packet.data = bytes.substr(32);
  return packet;
}

bool
IsIntact(const Packet& packet)
{
  return packet.sum == SumOf(packet);
}

int
HttpStatus(Endpoint at, const std::string& path, Ms limit)
{
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in raw = Raw(at);
  connect(fd, reinterpret_cast<sockaddr*>(&raw), sizeof raw);
  Ms deadline = Now() + limit;
  std::string request =
    "GET " + path + " HTTP/1.1\r\nHost: " + Text(at) + "\r\n\r\n";
  std::string answer;
  bool sent = false;
  int status = 0;
  while (status == 0 && Now() < deadline) {
    pollfd ready{ fd, static_cast<short>(sent ? POLLIN : POLLOUT), 0 };
    if (poll(&ready, 1, static_cast<int>(deadline - Now()) + 1) <= 0) {
      continue;
    }
    if (!sent) {
      if (send(fd, request.data(), request.size(), MSG_NOSIGNAL) < 0) {
        break;
      }
      sent = true;
      continue;
    }
    char bytes[1024];
    ssize_t count = recv(fd, bytes, sizeof bytes, 0);
    if (count <= 0) {
      break;
    }
    answer.append(bytes, static_cast<size_t>(count));
    if (answer.size() >= 12) {
      status = std::atoi(answer.c_str() + 9);
    }
  }
  close(fd);
  return status;
}

Fleet::Fleet(Deployment aDeployment, Record& aRecord)
  : deployment(std::move(aDeployment))
  , record(aRecord)
{
  char path[] = "/tmp/review-XXXXXX";
  if (mkdtemp(path) == nullptr) {
    CannotRun("no temporary folder");
  }
  this->folder = path;
  if (access("target/gentianspindled-tagged", X_OK) != 0) {
    CannotRun("target/gentianspindled-tagged is not built");
  }
}

Fleet::~Fleet()
{
  this->ending = true;
  for (std::thread& check : this->checks) {
    check.join();
  }
  for (Instance& instance : this->instances) {
    if (instance.pid > 0) {
      kill(instance.pid, SIGKILL);
      waitpid(instance.pid, nullptr, 0);
    }
    unlink((this->folder + "/" + instance.name + ".toml").c_str());
    unlink((this->folder + "/" + instance.name + ".log").c_str());
  }
  rmdir(this->folder.c_str());
}

void
Fleet::Add(const std::string& name, const std::string& zone, uint32_t address)
{
  Instance& instance = this->instances.emplace_back();
  instance.name = name;
  instance.zone = zone;
  instance.address = address;
  this->WriteSettings(instance);
  this->Start(instance);
  this->checks.emplace_back(
    [this, &instance] { this->CheckReadiness(instance); });
}

void
Fleet::WriteSettings(const Instance& instance)
{
  std::ifstream in("platform/settings.template");
  std::string text((std::istreambuf_iterator<char>(in)), {});
  std::string seeds;
  for (const std::string& seed : this->deployment.seeds) {
    seeds += (seeds.empty() ? "\"" : ",\"") + seed + "\"";
  }
  auto at = [&](uint16_t port) {
    return Text(Endpoint{ instance.address, port });
  };
  std::vector<std::pair<std::string, std::string>> values{
    { "{{node_name}}", instance.name },
    { "{{ip}}", Text(instance.address) },
    { "{{zone}}", instance.zone },
    { "{{limits.cpu_share}}", "0.055" },
    { "{{listen_addrs.packet_addr}}", at(this->deployment.packetPort) },
    { "{{listen_addrs.readiness}}", at(this->deployment.readyPort) },
    { "{{platform.address}}", Text(this->deployment.store) },
    { "{{internal_ports.0}}", std::to_string(this->deployment.peerPort) },
    { "{{seeds|json}}", "[" + seeds + "]" },
    { "{{policy_values.grace_s}}", this->deployment.graceS },
  };
  for (const auto& [name, value] : values) {
    size_t found = text.find(name);
    while (found != std::string::npos) {
      text.replace(found, name.size(), value);
      found = text.find(name, found + value.size());
    }
  }
  if (text.find("{{") != std::string::npos) {
    CannotRun("a field of the template is not known here");
  }
  std::string path = this->folder + "/" + instance.name + ".toml";
  std::ofstream(path + ".new") << text;
  rename((path + ".new").c_str(), path.c_str());
}

void
Fleet::Start(Instance& instance)
{
  std::string settings = this->folder + "/" + instance.name + ".toml";
  std::string log = this->folder + "/" + instance.name + ".log";
  pid_t parent = getpid();
  pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(1);
    }
    int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    setenv("GENTIANSPINDLE_CONFIG", settings.c_str(), 1);
    execl("target/gentianspindled-tagged",
          "target/gentianspindled-tagged",
          static_cast<char*>(nullptr));
    _exit(127);
  }
  instance.pid = pid;
  this->record.Line("start " + instance.name);
}

void
Fleet::Signal(Instance& instance, int signal)
{
  this->record.Line("signal " + std::to_string(signal) + " to " +
                    instance.name);
  kill(instance.pid, signal);
}

std::optional<int>
Fleet::Ended(Instance& instance)
{
  int status = 0;
  if (instance.pid <= 0 ||
      waitpid(instance.pid, &status, WNOHANG) != instance.pid) {
    return std::nullopt;
  }
  instance.pid = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

// The platform asks twice a second; two misses in a row end the rotation.
void
Fleet::CheckReadiness(Instance& instance)
{
  Endpoint at{ instance.address, this->deployment.readyPort };
  while (!this->ending) {
    Ms next = Now() + 500;
    bool ready = HttpStatus(at, "/-/readiness", 450) == 200;
    bool was = instance.InRotation();
    instance.misses = ready ? 0 : instance.misses + 1;
    if (was != instance.InRotation()) {
      this->record.Line(instance.name +
                        (ready ? " is in rotation" : " is out of rotation"));
    }
    while (Now() < next && !this->ending) {
      usleep(10000);
    }
  }
}

// With fewer than half of a zone's instances in rotation all of them are used.
Instance*
Fleet::Route(const std::string& zone, Endpoint from, Endpoint to)
{
  int all = 0;
  int in = 0;
  for (Instance& instance : this->instances) {
    all += instance.zone == zone ? 1 : 0;
    in += instance.zone == zone && instance.InRotation() ? 1 : 0;
  }
  bool useAll = in * 2 < all;
  Instance* best = nullptr;
  size_t bestScore = 0;
  for (Instance& instance : this->instances) {
    if (instance.zone != zone || (!useAll && !instance.InRotation())) {
      continue;
    }
    size_t score =
      std::hash<std::string>{}(instance.name + Text(from) + "-" + Text(to));
    if (best == nullptr || score > bestScore) {
      best = &instance;
      bestScore = score;
    }
  }
  return best;
}

bool
Fleet::WaitReady(Ms limit)
{
  Ms deadline = Now() + limit;
  while (Now() < deadline) {
    bool all = true;
    for (Instance& instance : this->instances) {
      all = all && instance.InRotation();
    }
    if (all) {
      return true;
    }
    usleep(20000);
  }
  return false;
}

void
RunCase(const std::string& recordPath, const std::function<int(Record&)>& play)
{
  int code = kCannotRun;
  try {
    // Threads of the store may use it until the process ends.
    code = play(*new Record(recordPath));
  } catch (const CannotRunError& error) {
    std::cerr << "cannot run: " << error.why << std::endl;
  }
  std::_Exit(code);
}

}
