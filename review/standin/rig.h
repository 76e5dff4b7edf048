// Stand-ins for the review's scripts: the platform's store, its routers, and
// the two ends of a flow, as PROTOCOL.md describes them. One process; the store
// and the readiness checks run in threads, everything else in one poll loop.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <tuple>
#include <unistd.h>
#include <vector>

namespace rig {

using Ms = double; // milliseconds since the start of the program

inline Ms
Now()
{
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::milli>(
           std::chrono::steady_clock::now() - start)
    .count();
}

// Exit codes of a script.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

// Why a case can't be played. RunCase turns it into the exit code.
struct CannotRunError
{
  std::string why;
};

[[noreturn]] inline void
CannotRun(const std::string& why)
{
  throw CannotRunError{ why };
}

// record.txt: one line an event, with the time in milliseconds.
class Record
{
public:
  explicit Record(const std::string& path)
    : out(path)
  {
    if (!this->out) {
      CannotRun("cannot write " + path);
    }
  }
  void Line(const std::string& text)
  {
    std::lock_guard lock(this->mutex);
    char at[32];
    std::snprintf(at, sizeof at, "%10.1f  ", Now());
    this->out << at << text << std::endl;
  }

private:
  std::mutex mutex;
  std::ofstream out;
};

struct Endpoint
{
  uint32_t address = 0; // host byte order
  uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;
};

inline std::string
Text(uint32_t address)
{
  in_addr raw{ htonl(address) };
  return inet_ntoa(raw);
}

inline std::string
Text(Endpoint endpoint)
{
  return Text(endpoint.address) + ":" + std::to_string(endpoint.port);
}

inline sockaddr_in
Raw(Endpoint endpoint)
{
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(endpoint.port);
  raw.sin_addr.s_addr = htonl(endpoint.address);
  return raw;
}

// The loopback addresses of one run: 127.x.y.n, with x and y from the process
// id, so that runs side by side don't meet.
inline uint32_t
Loopback(uint8_t n)
{
  auto pid = static_cast<uint32_t>(getpid());
  return (127U << 24) | ((1 + pid % 250) << 16) | ((1 + pid / 250 % 250) << 8) |
         n;
}

// A port that is free for TCP and UDP at the addresses of this run.
inline uint16_t
FreePort()
{
  static std::set<uint16_t> given;
  while (true) {
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in raw = Raw({ Loopback(1), 0 });
    socklen_t size = sizeof raw;
    if (bind(fd, reinterpret_cast<sockaddr*>(&raw), size) != 0) {
      CannotRun("no free port");
    }
    getsockname(fd, reinterpret_cast<sockaddr*>(&raw), &size);
    close(fd);
    if (given.insert(ntohs(raw.sin_port)).second) {
      return ntohs(raw.sin_port);
    }
  }
}

inline int
UdpSocket(Endpoint at)
{
  int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in raw = Raw(at);
  if (bind(fd, reinterpret_cast<sockaddr*>(&raw), sizeof raw) != 0) {
    CannotRun("cannot bind " + Text(at));
  }
  int bytes = 1 << 20;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  return fd;
}

inline void
SendTo(int fd, const std::string& bytes, Endpoint to)
{
  sockaddr_in raw = Raw(to);
  sendto(fd,
         bytes.data(),
         bytes.size(),
         0,
         reinterpret_cast<sockaddr*>(&raw),
         sizeof raw);
}

// The platform's store. Objects are written by calls in this process, and read
// over HTTP by the instances.
class Store
{
public:
  explicit Store(Endpoint at);

  // Creates or replaces an object, and returns its revision.
  uint64_t Put(const std::string& kind,
               const std::string& name,
               const std::string& spec);
  void Remove(const std::string& kind, const std::string& name);
  // Forgets the history: watches are cut, and later ones from before get 410.
  void Forget();
  // How long the answer to a list from aAddress is on its way (0: not).
  std::function<Ms(const std::string& kind, uint32_t from)> listDelay;

private:
  struct Event
  {
    uint64_t revision;
    std::string kind, object;
    bool tombstone;
  };
  struct Object
  {
    uint64_t revision, created;
    std::string spec;
  };
  static std::string Render(const std::string& name, const Object& object);
  void Serve(int fd, uint32_t from);
  std::string Answer(const std::string& path, uint32_t from, int& status);

  std::mutex mutex;
  std::condition_variable changed;
  uint64_t revision = 100;
  uint64_t forgotten = 0; // watches from before this revision get 410
  uint64_t cuts = 0;
  std::map<std::string, std::map<std::string, Object>> objects;
  std::deque<Event> events;
};

// Header of a packet, as PROTOCOL.md lists its fields.
struct Packet
{
  uint32_t seq = 0, ack = 0;
  uint8_t flags = 0;
  Endpoint from, to;
  uint32_t sum = 0;
  uint32_t echo = 0;
  std::string data;
};
constexpr uint8_t kSyn = 1, kFin = 2, kAck = 64, kRst = 128;

std::string
Encode(const Packet& packet);
std::optional<Packet>
Decode(const std::string& bytes);
bool
IsIntact(const Packet& packet);

// One instance of the system, started with the command of the deploy file.
struct Instance
{
  std::string name, zone;
  uint32_t address = 0;
  pid_t pid = 0;
  std::atomic<int> misses = 2; // readiness checks missed in a row
  bool InRotation() const { return this->misses < 2; }
};

// Settings that are the same on all machines.
struct Deployment
{
  uint16_t packetPort = 0, readyPort = 0, controlPort = 0, peerPort = 0;
  Endpoint store;
  std::string graceS = "6";
  std::vector<std::string> seeds;
};

class Fleet
{
public:
  Fleet(Deployment deployment, Record& record);
  ~Fleet();

  void Add(const std::string& name, const std::string& zone, uint32_t address);
  // Writes the settings file of an instance, as the platform fills in the
  // template of the deploy file.
  void WriteSettings(const Instance& instance);
  void Start(Instance& instance);
  void Signal(Instance& instance, int signal);
  // Returns the exit code if the process has ended by itself.
  std::optional<int> Ended(Instance& instance);
  // The instance that the routers of aZone hand a packet to, by a steady hash.
  Instance* Route(const std::string& zone, Endpoint from, Endpoint to);
  bool WaitReady(Ms limit);

  Deployment deployment;
  std::deque<Instance> instances;
  std::string folder; // temporary

private:
  void CheckReadiness(Instance& instance);

  Record& record;
  std::atomic<bool> ending = false;
  std::vector<std::thread> checks;
};

// Plays a case and ends the process with its exit code, without the destructors
// of static objects, as threads of the store still run.
[[noreturn]] void
RunCase(const std::string& recordPath, const std::function<int(Record&)>& play);

// GETs a path with a time limit, and returns the status; 0: no answer.
int
HttpStatus(Endpoint at, const std::string& path, Ms limit);

}
