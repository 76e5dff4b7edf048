// Stand-ins for the platform around a few gentianspindled-tagged processes: its
// store, its routers, hosts and clients, all on loopback addresses and in one
// event loop with the real clock. Follows PROTOCOL.md and DEPLOY.md.
#pragma once

#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include <netinet/in.h>
#include <sys/types.h>

namespace rig {

using Micros = int64_t;
constexpr Micros kMs = 1000;
constexpr Micros kSecond = 1000 * kMs;

struct Addr
{
  uint32_t ip = 0;
  uint16_t port = 0;
  auto operator<=>(const Addr&) const = default;
};

uint32_t
Ip(const std::string& aText);
std::string
Text(uint32_t aIp);
std::string
Text(Addr aAddr);

// Flags of a packet.
constexpr uint8_t kSyn = 1, kFin = 2, kBounced = 4, kAck = 64, kRst = 128;

struct Packet
{
  uint32_t seq = 0, ack = 0;
  uint8_t flags = 0;
  uint32_t sum = 0;
  Addr src, dst;
  uint32_t echo = 0;
  std::string data;

  std::string Encode() const;
  static bool Decode(const std::string& aBytes, Packet& aOut);
  // The keyed sum over all fields but echo, pad and BOUNCED.
  uint32_t Sum() const;
};

// The event loop: sockets, timers and child processes.
class Loop
{
public:
  Micros Now() const; // since the start of the program
  void At(Micros aWhen, std::function<void()> aRun);
  void After(Micros aDelay, std::function<void()> aRun)
  {
    this->At(this->Now() + aDelay, std::move(aRun));
  }
  void Watch(int aFd, std::function<void()> aReadable);
  void Unwatch(int aFd);
  // Runs until aDone returns true.
  void Run(const std::function<bool()>& aDone);

private:
  struct Timer
  {
    Micros at;
    uint64_t number;
    std::function<void()> run;
    bool operator<(const Timer& aOther) const
    {
      return at != aOther.at ? at > aOther.at : number > aOther.number;
    }
  };
  std::priority_queue<Timer> timers;
  std::map<int, std::function<void()>> watched;
  uint64_t lastNumber = 0;
};

extern Loop loop;

// Writes a line to record.txt, with the time since the start.
void
Record(const char* aFormat, ...) __attribute__((format(printf, 1, 2)));

int
UdpSocket(Addr aAddr);
// Returns a port that is free for UDP and TCP at all of aIps.
uint16_t
FreePort(const std::vector<uint32_t>& aIps);

// The platform's store, over HTTP: lists with pages, watches, revisions, 410.
class Store
{
public:
  explicit Store(uint32_t aIp);
  Addr addr;
  // Content of "spec" as JSON text. Nothing changes if the text is the same.
  void Put(const std::string& aKind,
           const std::string& aName,
           const std::string& aSpec);
  void Delete(const std::string& aKind, const std::string& aName);
  uint64_t Revision() const { return this->revision; }

  // Faults. Calls get 503 while busy, and no answer while silent.
  bool busy = false;
  bool silent = false;
  size_t pageItems = 50;
  uint64_t calls = 0;

private:
  struct Object
  {
    std::string spec;
    uint64_t revision = 0;
    uint64_t created = 0;
  };
  struct Event
  {
    std::string kind;
    uint64_t revision;
    std::string body; // one entry of "events"
  };
  struct Conn
  {
    int fd;
    std::string in;
    bool waiting = false; // a watch
    std::string kind;
    uint64_t from = 0;
    uint64_t number = 0;
  };
  void OnAccept();
  void OnReadable(int aFd);
  void Handle(Conn& aConn, const std::string& aTarget);
  void Reply(int aFd, int aStatus, const std::string& aBody);
  bool AnswerWatch(Conn& aConn, bool aTimeUp);
  void Wake();
  static std::string Json(const std::string& aName, const Object& aObject);

  int listener;
  uint64_t revision = 100;
  uint64_t lastWatch = 0;
  std::map<std::string, std::map<std::string, Object>> objects;
  std::vector<Event> events;
  std::map<int, Conn> conns;
};

// One gentianspindled-tagged process.
class Daemon
{
public:
  std::string name, zone, folder;
  uint32_t ip = 0;
  pid_t pid = -1;
  bool running = false;
  bool inRotation = false;
  int misses = 2;

  void Start();
  void Signal(int aSignal);
  // Called when the process has ended.
  std::function<void(int)> onEnd;
};

// A deployment: daemons, their settings and the routers.
class Site
{
public:
  Site(const std::string& aBinary,
       const std::string& aFolder,
       uint32_t aStoreIp);
  Daemon& AddDaemon(const std::string& aZone, uint32_t aIp);
  void WriteSettings(Daemon& aDaemon, const std::vector<uint32_t>& aSeeds);
  // Starts the readiness checks, twice a second.
  void StartRouters();
  // The daemon that gets this packet: steady hash over those in rotation.
  Daemon* Route(const Packet& aPacket, const std::string& aZone);
  void SendIn(const Packet& aPacket, const std::string& aZone);
  void ReapChildren();
  // Stops all processes.
  void KillAll();
  bool AllReady() const;

  std::string binary, folder;
  std::unique_ptr<Store> store;
  std::vector<std::unique_ptr<Daemon>> daemons;
  uint16_t packetPort = 0, readyPort = 0, controlPort = 0, peerPort = 0;
  int routerFd = -1;
  int graceS = 6;
  int unexpectedEnds = 0;

private:
  void CheckReady(Daemon& aDaemon);
};

// A host: registers in the store, answers flows and health checks.
class Host
{
public:
  Host(Site& aSite,
       const std::string& aService,
       const std::string& aZone,
       uint32_t aIp,
       uint32_t aId);
  void Register();
  void SetState(const std::string& aState);
  void Unregister();
  // Writes the entry every heartbeat_ms, 1.2 s, from now on.
  void StartHeartbeats();
  // Called after each heartbeat, if set.
  std::function<void()> onHeartbeat;
  std::string EntryName() const;
  // The entry's content, with these values in place of its own.
  std::string Spec(const std::string& aService, const std::string& aBorn) const;

  Site& site;
  std::string service, zone, state = "ready";
  Addr addr;
  uint32_t id;
  int64_t born;
  // Of a request; 0: half of 13 ms to one and a half times, at random.
  Micros workTime = 13 * kMs;
  bool alive = true;
  // Returns true if this packet to a client is lost on its way.
  static std::function<bool(const Host&, const Packet&)> lose;
  static std::vector<Host*> all;
  // Called with each request that begins to run, and its packet.
  static std::function<void(const Host&, const std::string&, const Packet&)>
    onRun;
  // Requests that ran, by Attempt-Id.
  static std::map<std::string, int> runs;
  // The host at which a flow is open, by the client's end.
  static std::map<std::pair<Addr, Addr>, Host*> openAt;

private:
  struct Flow
  {
    bool open = false;
    uint32_t seq = 0; // own initial number
    uint32_t rcv = 0; // next byte expected
    uint32_t snd = 0; // next byte to send
    uint32_t echo = 0;
    uint32_t acked = 0;
    int resends = 0;
    Packet unacked;       // last packet to be retransmitted
    bool pending = false; // unacked is not yet acknowledged
    uint64_t timer = 0;   // number of the present retransmission timer
    bool fin = false;
  };
  using Key = std::pair<Addr, Addr>; // client, route
  void OnReadable();
  void OnPacket(const Packet& aPacket);
  void Send(Packet aPacket);
  void SendReliably(const Key& aKey, Flow& aFlow, const Packet& aPacket);
  void Retransmit(const Key& aKey, uint64_t aTimer, Micros aDelay);
  void OnTcp();

  int udp, tcp;
  uint64_t lastTimer = 0;
  std::map<Key, Flow> flows;
};

// A client in a zone, with one address.
class Client
{
public:
  struct Attempt
  {
    std::string id;
    std::function<void(const std::string&)> done; // "200", "reset", "no answer"
  };
  struct Flow
  {
    Addr self, target;
    bool open = false, ended = false;
    uint32_t seq = 0;     // next byte to send
    uint32_t hostSeq = 0; // of the SYN+ACK that was taken
    uint32_t rcv = 0;
    uint32_t echo = 0;
    int synCopies = 0;
    Micros openedAt = 0;
    Micros lastUsed = 0;
    Packet unacked;
    bool pending = false;
    uint64_t timer = 0;
    Attempt attempt;
    bool busy = false;
    // Called with each reset that the client takes, also of an open flow.
    std::function<void(const Packet&)> onReset;
  };

  Client(Site& aSite, const std::string& aZone, uint32_t aIp);
  // Opens a flow to aTarget. aDone gets "open", "reset" or "no answer".
  std::shared_ptr<Flow> Open(Addr aTarget,
                             std::function<void(const std::string&)> aDone);
  // Sends a request on an open flow.
  void Request(const std::shared_ptr<Flow>& aFlow,
               const std::string& aId,
               Micros aDeadline,
               std::function<void(const std::string&)> aDone);
  void Close(const std::shared_ptr<Flow>& aFlow);

  // What the client does with a SYN+ACK of another host on an open flow: it
  // keeps its echo in any case, and acknowledges what it has if this is set.
  bool acksSecondSynAck = false;
  Site& site;
  std::string zone;
  uint32_t ip;

private:
  void OnReadable();
  void OnPacket(const Packet& aPacket);
  void Send(Flow& aFlow, Packet aPacket);
  void Copy(const std::shared_ptr<Flow>& aFlow);
  void Retransmit(const std::shared_ptr<Flow>& aFlow,
                  uint64_t aTimer,
                  Micros aDelay);
  void End(Flow& aFlow, const std::string& aOutcome);

  int udp;
  uint16_t nextPort = 40001;
  uint64_t lastTimer = 0;
  std::map<uint16_t, std::shared_ptr<Flow>> flows;
  std::map<uint16_t, std::function<void(const std::string&)>> opening;
};

// The host that sent the last reset of a flow, by the client's end and the
// route's.
extern std::map<std::pair<Addr, Addr>, Host*> lastReset;

}
