// A small world on loopback addresses for the cases of the third review: the
// platform's store and router, hosts and clients, all in this process and on
// the real clock, and the project's daemons as child processes. The stand-ins
// follow PROTOCOL.md; where it is silent they are sound.
#pragma once

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace rig {

using Ms = int64_t;
// Steady clock.
Ms Now();

// Whether the disruption of the case takes place (TROUBLE=0: it does not).
bool Trouble();

struct At
{
  uint32_t address = 0;
  uint16_t port = 0;
  bool operator==(const At&) const = default;
  auto operator<=>(const At&) const = default;
};
std::string Text(uint32_t aAddress);
std::string Text(At aAt);

// A packet of a flow, decoded.
struct Packet
{
  uint32_t seq = 0;
  uint32_t ack = 0;
  uint8_t flags = 0;
  uint32_t sum = 0;
  At src;
  At dst;
  uint32_t echo = 0;
  std::string data;
};
constexpr uint8_t kSyn = 1, kFin = 2, kAck = 64, kRst = 128;
std::string Encode(Packet aPacket); // with a right sum
std::optional<Packet> Decode(const char* aBytes, size_t aSize);
bool SumIsRight(const Packet& aPacket);

class World;

// The platform's store.
class Store
{
public:
  struct Object
  {
    uint64_t revision = 0;
    uint64_t created = 0;
    std::string spec;
    std::string content; // what counts as a change
  };
  struct Event
  {
    std::string kind;
    uint64_t revision = 0;
    std::string name;
    bool removed = false;
    Object object;
  };
  struct Copy
  {
    std::map<std::string, std::map<std::string, Object>> kinds;
    std::deque<Event> events;
    uint64_t revision = 0;
  };

  explicit Store(World& aWorld)
    : world(aWorld)
  {
  }
  // Writes an object; returns its revision. No change, no new revision.
  uint64_t Put(const std::string& aKind,
               const std::string& aName,
               const std::string& aSpec,
               const std::string& aContent = "");
  uint64_t Remove(const std::string& aKind, const std::string& aName);
  bool Has(const std::string& aKind, const std::string& aName) const;
  Copy Take() const { return this->now; }
  // Away: calls get 503, connections are closed.
  void GoAway();
  // Comes back as it was.
  void ComeBack();
  // Comes back from a copy, with the next era.
  void ComeBackFrom(const Copy& aCopy);
  bool IsAway() const { return this->away; }
  uint64_t Revision() const { return this->now.revision; }
  uint64_t Calls() const { return this->calls; }

  void OnRequest(int aConnection, const std::string& aPath);
  void OnTick();
  void OnClosed(int aConnection);

private:
  struct Watch
  {
    int connection;
    std::string kind;
    uint64_t from;
    Ms until;
  };
  void Reply(int aConnection, int aStatus, const std::string& aBody);
  bool ReplyEvents(const Watch& aWatch, bool aEvenIfNone);
  static std::string Json(const std::string& aName, const Object& aObject);

  World& world;
  Copy now{ {}, {}, 10 };
  uint64_t era = 1;
  bool away = false;
  uint64_t calls = 0;
  std::vector<Watch> watches;
};

// A host (backend server).
struct Host
{
  std::string name; // "i-" and the hex digits of its id
  uint64_t id = 0;
  std::string service;
  std::string zone;
  At at;
  int udp = -1;
  int tcp = -1;
  int64_t born = 0; // Unix ms
  Ms startedAt = 0;
  Ms warmupMs = 0;
  bool alive = true;
  bool registered = true; // sends heartbeats
  bool draining = false;
  Ms drainAckAt = -1; // the store accepted the report
  Ms nextBeatAt = 0;
  Ms lastBeatAt = 0;
  uint64_t seq = 0;
  Ms workMs = 12;

  struct Conn
  {
    uint32_t own = 0;    // own first seq
    uint32_t sent = 0;   // next own seq
    uint32_t theirs = 0; // next expected
    bool open = false;
    bool ended = false;
    uint32_t echo = 0;
    uint32_t lastRequestSeq = 0;
    std::string response; // last packet, to be repeated
    Ms openedAt = 0;
    Ms lastAt = 0; // of the last packet
  };
  std::map<std::pair<At, At>, Conn> conns;
  struct Job
  {
    Ms at;
    std::pair<At, At> flow;
    std::string id;
  };
  std::vector<Job> jobs;

  uint64_t syns = 0;
  uint64_t unheard = 0; // of these, while it was full
  // Called with each SYN that the host gets, its own id checked.
  std::function<void(const Packet&)> onSyn;
  std::map<std::string, int> runs; // by attempt id
};

struct Instance
{
  std::string name;
  std::string zone;
  uint32_t address = 0;
  pid_t pid = -1;
  std::string settings;
  int misses = 2;
  bool ready = false; // in rotation
  int probe = -1;
  Ms probeAt = 0;
  Ms nextProbeAt = 0;
  std::string probeReply;
  bool stopping = false; // its end is expected
};

struct Flow
{
  uint16_t port = 0;
  At target;
  bool longLived = false;
  uint32_t first = 0;
  uint32_t next = 0;
  uint32_t expected = 0;
  uint32_t echo = 0;
  bool open = false; // the client has the SYN+ACK
  bool closing = false;
  Ms openedAt = 0;
  Ms lastUsedAt = 0;
  int syns = 0;
  Ms synAt = 0;
  std::string id; // of the request under way
  std::string request;
  uint32_t requestSeq = 0;
  Ms requestAt = 0;
  Ms repeatAt = 0;
  Ms repeatAfter = 200;
  Ms nextRequestAt = 0;
  Ms periodMs = 0;
  std::string host; // that answered last
  int answers = 0;
  std::string lastInstance;
};

struct Options
{
  int instances = 3;
  std::vector<std::string> zones{ "jkt" }; // of instances, in turn
  Ms beatMs = 1200;
  Ms sloMs = 400; // of all routes
  int maxConns = 2000; // flows that a host holds
};

class World
{
public:
  World(const Options& aOptions, const std::string& aFolder);
  ~World();

  // Steps of a case.
  void StartInstances();
  bool WaitReady(Ms aTimeout);
  Host& AddHost(const std::string& aService,
                const std::string& aZone,
                Ms aWarmupMs,
                Ms aFirstBeatIn = 0);
  // Its heartbeat comes now.
  void Beat(Host& aHost);
  void Drain(Host& aHost);
  // Its process ends, and its entry is removed.
  void Leave(Host& aHost);
  // The process ends without a word.
  void Crash(Host& aHost);
  At AddRoute(const std::string& aName,
              const std::string& aType,
              const std::string& aService);
  void DropRoute(const std::string& aName);
  void WriteConfig();
  Flow& OpenFlow(At aTarget, bool aLong, Ms aPeriodMs);
  void Run(Ms aMs, const std::function<void()>& aEach = {});
  void Say(const std::string& aLine);
  void Signal(Instance& aInstance, int aSignal);
  void Kill(Instance& aInstance);
  void Start(Instance& aInstance);
  Instance& RouteOf(const Flow& aFlow);
  // Returns whether no child process has ended by itself.
  bool AllRun();

  Options options;
  Store store;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<std::unique_ptr<Instance>> instances;
  std::map<uint16_t, Flow> flows;
  int64_t configVersion = 7;
  Ms startedAt = 0;
  // Called when the client gets a reset that an instance made.
  std::function<void(const Flow&, const Packet&)> onBalancerReset;
  std::function<void(const Flow&)> onNoAnswer;
  std::function<void(const Flow&, Ms)> onAnswer;
  // Who sent the datagram that is handled now.
  uint32_t sender = 0;
  // Hosts acknowledge each packet at once.
  bool hostsAckAtOnce = false;
  // Hosts whose heartbeat fails try again after this time.
  Ms beatRetryMs = 1200;
  uint64_t sent = 0, answered = 0, refused = 0, lost = 0, hostResets = 0;

  friend class Store;

private:
  struct Connection
  {
    enum Kind
    {
      ToStore,
      ToHost
    } kind;
    std::string in;
  };
  uint32_t Address(int aThird, int aFourth) const;
  void Step(Ms aTimeout);
  // Ends all processes and removes the temporary folder.
  void End();
  void Accept(int aListener, Connection::Kind aKind);
  void OnConnection(int aFd);
  void CloseConnection(int aFd);
  void Write(int aFd, const std::string& aBytes);
  void OnHostDatagram(Host& aHost);
  void HostSend(Host& aHost, Packet aPacket);
  void HostTick(Host& aHost);
  void OnClientDatagram();
  void ClientSend(Flow& aFlow, Packet aPacket);
  void ClientTick();
  void SendRequest(Flow& aFlow, bool aNew);
  void ProbeTick(Instance& aInstance);
  void OnProbe(Instance& aInstance);
  void CloseSockets(Host& aHost);

  std::string folder;
  std::string temporary;
  FILE* record = nullptr;
  int second = 0; // second byte of all addresses
  uint16_t ports = 0;
  uint16_t packetPort = 0, readyPort = 0, peerPort = 0, storePort = 0,
           hostPort = 0;
  int storeListener = -1;
  int client = -1;
  std::map<int, Connection> connections;
  std::vector<std::string> routes;
  uint32_t lastRoute = 0;
  uint16_t nextPort = 2000;
  uint64_t nextId = 1;
  uint32_t random = 12345;
  uint32_t Random();
};

}
