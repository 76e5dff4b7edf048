// The soak's callers: each opens flows through the fabric, sends requests, and
// checks each answer. On one socket, driven by Step.
#pragma once

#include "soak/ledger.h"
#include "soak/packet.h"
#include "soak/port.h"

#include <map>
#include <random>

namespace gentianspindle::soak {

struct CallerOptions
{
  Address address = 0;
  Endpoint fabric; // answers come to the same port
  // Where requests go, and the service behind.
  std::vector<std::pair<Endpoint, std::string>> targets;
  double flowsPerS = 100;
  uint32_t seed = 1;
};

struct CallerCounts
{
  uint64_t sent = 0;
  uint64_t answered = 0;
  uint64_t refused = 0; // by a reset before the flow was open
  uint64_t lost = 0;    // no answer in time, or cut off
};

class Callers
{
public:
  static absl::StatusOr<std::unique_ptr<Callers>> Make(
    const CallerOptions& aOptions,
    Ledger& aLedger);

  // Reads what has come and sends what is due.
  void Step();
  // Opens no new flows.
  void Finish() { this->finishing = true; }
  bool Idle() const { return this->flows.empty(); }
  const CallerCounts& Counts() const { return this->counts; }

private:
  struct Flow
  {
    Endpoint target;
    std::string service;
    int requestsLeft = 1;
    uint32_t next = 0; // byte to send
    uint32_t nextExpected = 0;
    uint32_t echo = 0;
    bool open = false;
    bool closing = false;
    std::string server; // that answered first
    std::string id;     // of the request under way; empty: none
    std::string request;
    std::string response;
    Micros startedAt = 0;
    Micros nextAt = 0; // of a repetition, or of the next request
    Micros retransmitAfter = 0;
    int retransmits = 0;
  };
  using Flows = std::map<uint16_t, Flow>;

  Callers(const CallerOptions& aOptions, Ledger& aLedger, Port aPort);
  void OpenFlow();
  void StartRequest(Flow& aFlow);
  void OnPacket(const Packet& aPacket);
  void OnReset(Flows::iterator aFlow, const Packet& aPacket);
  // True where the flow goes on.
  bool OnResponse(Flow& aFlow);
  void OnTimer(Flows::iterator aFlow);
  void EndFlow(Flows::iterator aFlow, uint64_t& aCount);
  void Send(uint16_t aPort, const Flow& aFlow, Packet aPacket);

  CallerOptions options;
  Ledger& ledger;
  Port port;
  Flows flows; // by the caller's port
  uint16_t nextPort = 1024;
  uint64_t nextId = 1;
  Micros openAt = 0;
  bool finishing = false;
  std::mt19937 random;
  CallerCounts counts;
};

}
