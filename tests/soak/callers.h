// The callers of the soak. They open flows through the fabric, send requests
// and check each response. All of them share one socket; Step drives them.
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
  // The callers' socket is bound to `address` with the port of the fabric;
  // servers and instances send their packets there.
  Endpoint fabric;
  // Addresses that requests go to, each with its service.
  std::vector<std::pair<Endpoint, std::string>> targets;
  double flowsPerS = 100;
  uint32_t seed = 1;
};

// Counts of requests. A flow that is reset while it has no request counts as
// lost too; a request with a bad response and one that is open at the end count
// only as sent. So the last three may add up to more or less than the first.
struct CallerCounts
{
  uint64_t sent = 0;
  uint64_t answered = 0;
  uint64_t refused = 0; // by a reset before the flow was open
  uint64_t lost = 0;    // timed out, or their open flow was reset
};

// Simulates all callers; each flow has a port of its own.
class Callers
{
public:
  static absl::StatusOr<std::unique_ptr<Callers>> Make(
    const CallerOptions& aOptions,
    Ledger& aLedger);

  // Handles the packets that have arrived, sends what is due and opens flows at
  // the rate of the options, but at most one a call.
  void Step();
  // From now on no flows are opened, and open ones end after their next
  // response.
  void Finish() { this->finishing = true; }
  bool Idle() const { return this->flows.empty(); }
  const CallerCounts& Counts() const { return this->counts; }

private:
  // A flow with at most one request at a time.
  struct Flow
  {
    Endpoint target;
    std::string service;
    int requestsLeft = 1;
    uint32_t next = 0;         // sequence number of the next byte to send
    uint32_t nextExpected = 0; // sequence number of the next byte to receive
    uint32_t echo = 0;         // flow tag of the last packet; sent back
    bool open = false;
    bool closing = false;
    std::string server; // that sent the first response
    std::string id;     // of the current request; empty: none
    std::string request;
    std::string response;
    Micros startedAt = 0; // of the request; first one: of the opening packet
    Micros nextAt = 0; // of a retransmission, the next request or the timeout
    Micros retransmitAfter = 0; // current retransmission timeout
    int retransmits = 0;        // of opening packets; while closing: sent FINs
  };
  using Flows = std::map<uint16_t, Flow>;

  Callers(const CallerOptions& aOptions, Ledger& aLedger, DatagramSocket aPort);
  void OpenFlow();
  void StartRequest(Flow& aFlow);
  void OnPacket(const Packet& aPacket);
  void OnReset(Flows::iterator aFlow, const Packet& aPacket);
  // Checks the response as far as it has arrived. Returns false after a
  // violation, which ends the flow.
  bool OnResponse(Flow& aFlow);
  // Retransmits, starts the next request or ends the flow.
  void OnTimer(Flows::iterator aFlow);
  // Removes the flow and increments aCount.
  void EndFlow(Flows::iterator aFlow, uint64_t& aCount);
  void Send(uint16_t aPort, const Flow& aFlow, Packet aPacket);

  CallerOptions options;
  Ledger& ledger;
  DatagramSocket port;
  Flows flows; // by the port of the caller
  uint16_t nextPort = 1024;
  uint64_t nextId = 1;
  Micros openAt = 0;
  bool finishing = false;
  std::mt19937 random;
  CallerCounts counts;
};

}
