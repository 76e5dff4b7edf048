#include "soak/relay.h"

#include "soak/http.h"
#include "soak/packet.h"
#include "soak/port.h"
#include "tagged/loop.h"

#include "absl/hash/hash.h"

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <httplib.h>
#include <iostream>
#include <mutex>
#include <poll.h>
#include <queue>
#include <random>
#include <sstream>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace gentianspindle::soak {

namespace {

// How the relay treats the connections of an instance to the store.
enum class LinkMode : uint8_t
{
  Pass,
  Silent, // no bytes pass; new connections are accepted
  OneWay, // replies of the store don't pass
  Slow,   // each read from the store is delayed by kSlowLinkDelay
};

constexpr std::chrono::milliseconds kReadinessPeriod{ 500 };
// Failed checks in a row after which an instance leaves the rotation.
constexpr int kReadinessFailureLimit = 2;
// Poll timeout of a connection, after which it checks for a new link mode or a
// reset; also its pause while bytes are blocked.
constexpr int kPollMs = 20;
constexpr std::chrono::milliseconds kSlowLinkDelay{ 300 };

// Current faults of one instance, and whether the fabric sends packets to it.
struct InstanceFaults
{
  std::atomic<LinkMode> link = LinkMode::Pass;
  std::atomic<uint32_t> resets = 0; // number of reset commands
  std::atomic<int> lossPercent = 0;
  std::atomic<int> maxDelayMs = 0;
  std::atomic<bool> inRotation = true;
};

// Forwards the bytes that wait in one direction of a connection; aBlocked
// leaves them there. Returns false if the connection has ended.
bool
ForwardBytes(int aFrom, int aTo, bool aBlocked, bool aSlow)
{
  if (aBlocked) {
    return true;
  }
  char bytes[16384];
  ssize_t count = recv(aFrom, bytes, sizeof bytes, MSG_DONTWAIT);
  if (count < 0) {
    return errno == EAGAIN;
  }
  if (count == 0) {
    return false;
  }
  if (aSlow) {
    std::this_thread::sleep_for(kSlowLinkDelay);
  }
  return send(aTo, bytes, static_cast<size_t>(count), MSG_NOSIGNAL) == count;
}

// Closes the socket so that the other end gets a reset.
void
CloseWithReset(int aSocket)
{
  linger now{ 1, 0 };
  setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close(aSocket);
}

// Relays one connection of an instance to the store until it ends or is reset.
void
RunConnection(int aInstance, int aStore, const InstanceFaults& aFaults)
{
  uint32_t resets = aFaults.resets;
  bool open = true;
  while (open && aFaults.resets == resets) {
    LinkMode mode = aFaults.link;
    pollfd ready[2] = { { aInstance, POLLIN, 0 }, { aStore, POLLIN, 0 } };
    poll(ready, 2, kPollMs);
    bool blockUpstream = mode == LinkMode::Silent;
    bool blockDownstream = mode == LinkMode::Silent || mode == LinkMode::OneWay;
    open =
      ForwardBytes(aInstance, aStore, blockUpstream, false) &&
      ForwardBytes(aStore, aInstance, blockDownstream, mode == LinkMode::Slow);
    if (blockUpstream || blockDownstream) {
      std::this_thread::sleep_for(std::chrono::milliseconds(kPollMs));
    }
  }
  if (open) {
    CloseWithReset(aInstance);
  } else {
    close(aInstance);
  }
  close(aStore);
}

// Returns a socket that listens at aAt or is connected to it; -1 on failure.
int
OpenTcp(Endpoint aAt, bool aListen)
{
  int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = tagged::ToSocketAddress(aAt);
  auto* at = reinterpret_cast<const sockaddr*>(&address);
  int result = aListen ? bind(descriptor, at, sizeof address)
                       : connect(descriptor, at, sizeof address);
  if (result == 0 && aListen) {
    result = listen(descriptor, 64);
  }
  if (result != 0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

// Accepts the connections of one instance and relays each in a thread. Resets
// those for which the store can't be reached.
void
RunLink(Endpoint aLink, Endpoint aStore, InstanceFaults& aFaults)
{
  int listening = OpenTcp(aLink, true);
  if (listening < 0) {
    std::cerr << "soak relay: cannot listen for connections to the store at "
              << FormatEndpoint(aLink) << std::endl;
    return;
  }
  while (true) {
    int instance = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
    if (instance < 0) {
      continue;
    }
    int store = OpenTcp(aStore, false);
    if (store < 0) {
      CloseWithReset(instance);
      continue;
    }
    std::thread(RunConnection, instance, store, std::cref(aFaults)).detach();
  }
}

// Checks the readiness page periodically. The instance leaves the rotation
// after kReadinessFailureLimit failed checks in a row and returns with the next
// good one.
void
RunReadinessChecks(Endpoint aReady, InstanceFaults& aFaults)
{
  int failures = 0;
  while (true) {
    httplib::Client client = ClientOf(aReady);
    client.set_connection_timeout(0, 200'000);
    client.set_read_timeout(0, 200'000);
    auto response = client.Get("/-/readiness");
    bool isReady = response && response->status == 200;
    failures = isReady ? 0 : failures + 1;
    aFaults.inRotation = failures < kReadinessFailureLimit;
    std::this_thread::sleep_for(kReadinessPeriod);
  }
}

// Distributes the packets of callers among the instances in rotation.
class Fabric
{
public:
  Fabric(const RelayOptions& aOptions,
         std::vector<std::unique_ptr<InstanceFaults>>& aAllFaults,
         DatagramSocket aPort)
    : options(aOptions)
    , allFaults(aAllFaults)
    , port(std::move(aPort))
  {
  }

  void Run()
  {
    while (true) {
      pollfd ready{ this->port.Descriptor(), POLLIN, 0 };
      poll(&ready, 1, 5);
      this->port.Receive([this](std::span<uint8_t> aBytes, Endpoint /*aFrom*/) {
        this->OnPacket(aBytes);
      });
      this->SendDelayed();
    }
  }

private:
  // Ordered so that the queue gives the earliest one first.
  struct DelayedPacket
  {
    Micros at = 0;
    size_t instance = 0;
    std::vector<uint8_t> bytes;
    bool operator<(const DelayedPacket& aOther) const
    {
      return this->at > aOther.at;
    }
  };

  // Picks by rendezvous hashing, so that only the flows of an instance that
  // leaves the rotation move. While less than half of the instances are in
  // rotation, all of them get packets.
  size_t PickInstance(const Packet& aPacket) const
  {
    size_t inRotationCount = 0;
    for (const auto& faults : this->allFaults) {
      inRotationCount += faults->inRotation ? 1 : 0;
    }
    bool useAll = inRotationCount * 2 < this->allFaults.size();
    size_t best = 0;
    size_t bestRank = 0;
    for (size_t i = 0; i < this->allFaults.size(); ++i) {
      size_t rank = absl::HashOf(aPacket.from, aPacket.to, i);
      if ((useAll || this->allFaults[i]->inRotation) && rank >= bestRank) {
        best = i;
        bestRank = rank;
      }
    }
    return best;
  }

  void OnPacket(std::span<const uint8_t> aBytes)
  {
    std::optional<Packet> packet = Decode(aBytes);
    if (!packet) {
      return;
    }
    size_t instance = this->PickInstance(*packet);
    const InstanceFaults& faults = *this->allFaults[instance];
    if (static_cast<int>(this->random() % 100) < faults.lossPercent) {
      return;
    }
    int delay = faults.maxDelayMs;
    if (delay > 0) {
      Micros delayed =
        static_cast<Micros>(this->random() % delay) * kMillisecond;
      this->delayed.push({ tagged::SteadyNow() + delayed,
                           instance,
                           { aBytes.begin(), aBytes.end() } });
      return;
    }
    this->port.Send(aBytes, this->options.packets[instance]);
  }

  void SendDelayed()
  {
    while (!this->delayed.empty() &&
           this->delayed.top().at <= tagged::SteadyNow()) {
      const DelayedPacket& next = this->delayed.top();
      this->port.Send(next.bytes, this->options.packets[next.instance]);
      this->delayed.pop();
    }
  }

  const RelayOptions& options;
  std::vector<std::unique_ptr<InstanceFaults>>& allFaults;
  DatagramSocket port;
  std::priority_queue<DelayedPacket> delayed;
  std::mt19937 random{ 1 };
};

// Executes a line of standard input; relay.h lists the commands. Ignores
// unknown instances, and takes an unknown link mode for pass.
void
ExecuteCommand(const std::string& aLine,
               std::vector<std::unique_ptr<InstanceFaults>>& aAllFaults)
{
  std::istringstream fields(aLine);
  std::string command;
  size_t instance = 0;
  fields >> command >> instance;
  if (instance >= aAllFaults.size()) {
    return;
  }
  InstanceFaults& faults = *aAllFaults[instance];
  if (command == "fabric") {
    int loss = 0;
    int delay = 0;
    fields >> loss >> delay;
    faults.lossPercent = loss;
    faults.maxDelayMs = delay;
    return;
  }
  std::string mode;
  fields >> mode;
  if (mode == "reset") {
    ++faults.resets;
    return;
  }
  faults.link = mode == "silent"    ? LinkMode::Silent
                : mode == "one_way" ? LinkMode::OneWay
                : mode == "slow"    ? LinkMode::Slow
                                    : LinkMode::Pass;
}

}

int
RunRelay(const RelayOptions& aOptions)
{
  absl::StatusOr<DatagramSocket> port = DatagramSocket::Bind(aOptions.fabric);
  if (!port.ok()) {
    std::cerr << "soak relay: cannot bind the socket of the fabric: "
              << port.status() << std::endl;
    return 1;
  }
  std::vector<std::unique_ptr<InstanceFaults>> allFaults;
  for (size_t i = 0; i < aOptions.packets.size(); ++i) {
    allFaults.push_back(std::make_unique<InstanceFaults>());
    InstanceFaults& faults = *allFaults.back();
    std::thread(
      RunLink, aOptions.storeLinks[i], aOptions.store, std::ref(faults))
      .detach();
    std::thread(RunReadinessChecks, aOptions.ready[i], std::ref(faults))
      .detach();
  }
  Fabric fabric(aOptions, allFaults, *std::move(port));
  std::thread([&fabric] { fabric.Run(); }).detach();
  std::string line;
  while (std::getline(std::cin, line)) {
    ExecuteCommand(line, allFaults);
  }
  // The threads end with the process.
  std::quick_exit(0);
}

}
