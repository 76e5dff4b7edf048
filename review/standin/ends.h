// The two ends of flows: hosts and clients, as PROTOCOL.md describes them.
// Where a page leaves a choice, the end does nothing.
#pragma once

#include "rig.h"

namespace rig {

// What is known of one flow, for the judgement. Written by both ends.
struct FlowStory
{
  int number = 0;
  Endpoint route;
  Ms openedAt = -1; // when a host got the end of the handshake
  int host = -1;    // that host
  // Packets of the client, other than opening ones, in the order in which they
  // reached hosts: when, which host, and through which instance.
  struct Arrival
  {
    Ms at;
    int host;
    std::string through;
  };
  std::vector<Arrival> arrivals;
  Ms openingSentAt = 0;
  std::map<int, Ms> openingAt; // first opening packet that reached a host
  std::string openingThrough;
  struct Request
  {
    std::string id;
    Ms sentAt, answeredAt = -1, gaveUpAt = -1;
    int runs = 0;                     // how often it ran
    std::set<std::string> ranAt = {}; // services whose hosts ran it
  };
  std::vector<Request> requests;
  Ms resetAt = -1; // the client got a reset on the open flow
  bool resetBySystem = false;
};

struct World; // shared state of both ends

class Host
{
public:
  Host(World& world, int number, uint64_t id, Endpoint at, std::string service);
  void Receive();
  void Tick();
  void Register(bool draining);
  std::string Name() const;

  World& world;
  int number;
  uint64_t id;
  Endpoint at;
  std::string service;
  bool listening = true; // false: it has not started yet
  int fd;

private:
  struct Flow
  {
    Packet last; // for the addresses
    uint32_t clientSeq = 0, clientNext = 0;
    uint32_t seq = 0, next = 0, echo = 0;
    bool open = false, ended = false;
    // What is sent and not acknowledged: a SYN+ACK or a response.
    std::string unacked;
    bool synUnacked = false;
    Ms sendAt = -1, wait = 200;
    int copies = 0;
    FlowStory* story = nullptr;
  };
  void OnPacket(const Packet& packet, uint32_t from);
  void Send(Flow& flow, uint8_t flags, uint32_t seq, const std::string& data);
  std::map<std::pair<Endpoint, Endpoint>, Flow> flows;
};

struct ClientOptions
{
  Ms pauseFrom = 300, pauseTo = 900; // between the requests of a flow
  int requests = 10;                 // of a flow
  Ms deadline = 4000;                // of a request
};

class Client
{
public:
  Client(World& world, Endpoint at, Endpoint route, std::string zone);
  // Opens a flow from a new port.
  FlowStory& Open(const ClientOptions& options);
  void Receive();
  void Tick();
  size_t Flows() const { return this->flows.size(); }

  World& world;
  Endpoint at; // the address; the port is that of all packets to clients
  Endpoint route;
  std::string zone;
  int fd;

private:
  struct Flow
  {
    ClientOptions options;
    uint32_t next = 0, expected = 0, echo = 0;
    bool open = false, closing = false;
    int synCopies = 0, requestsLeft = 0;
    std::string request; // in flight; empty: a pause
    Ms nextAt = 0, wait = 200, openedAt = 0;
    std::string response;
    FlowStory* story = nullptr;
  };
  void Send(uint16_t port, Flow& flow, uint8_t flags, const std::string& data);
  void StartRequest(uint16_t port, Flow& flow);
  std::map<uint16_t, Flow> flows;
  uint16_t nextPort = 20000;
};

struct World
{
  Fleet* fleet = nullptr;
  Store* store = nullptr;
  Record* record = nullptr;
  std::deque<Host> hosts;
  std::deque<Client> clients;
  std::deque<FlowStory> stories;
  std::map<std::pair<Endpoint, Endpoint>, FlowStory*> byEnds;
  std::mt19937 random{ 7 };

  // Runs both ends until aUntil; aStep is called each millisecond or so.
  void Run(Ms until, const std::function<void()>& step);
  std::string InstanceName(uint32_t address) const;
};

}
