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

enum class Mode : uint8_t
{
  Pass,
  Silent, // nothing passes, also on new connections
  OneWay, // answers do not pass
  Slow,
};

constexpr std::chrono::milliseconds kReadyPeriod{ 500 };
constexpr int kReadyMisses = 2;
constexpr int kPollMs = 20;
constexpr std::chrono::milliseconds kSlowTime{ 300 };

// What is done to one instance.
struct Harm
{
  std::atomic<Mode> link = Mode::Pass;
  std::atomic<uint32_t> resets = 0; // counts the orders to reset
  std::atomic<int> lossPercent = 0;
  std::atomic<int> delayMs = 0;
  std::atomic<bool> rotates = true;
};

// One way of one connection; false where it has ended.
bool
PassOn(int aFrom, int aTo, bool aHold, bool aSlow)
{
  if (aHold) {
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
    std::this_thread::sleep_for(kSlowTime);
  }
  return send(aTo, bytes, static_cast<size_t>(count), MSG_NOSIGNAL) == count;
}

void
CloseWithReset(int aSocket)
{
  linger now{ 1, 0 };
  setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close(aSocket);
}

void
RunConnection(int aInstance, int aStore, const Harm& aHarm)
{
  uint32_t resets = aHarm.resets;
  bool open = true;
  while (open && aHarm.resets == resets) {
    Mode mode = aHarm.link;
    pollfd ready[2] = { { aInstance, POLLIN, 0 }, { aStore, POLLIN, 0 } };
    poll(ready, 2, kPollMs);
    bool holdUp = mode == Mode::Silent;
    bool holdDown = mode == Mode::Silent || mode == Mode::OneWay;
    open = PassOn(aInstance, aStore, holdUp, false) &&
           PassOn(aStore, aInstance, holdDown, mode == Mode::Slow);
    if (holdUp || holdDown) {
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

int
OpenTcp(Endpoint aAt, bool aListen)
{
  int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = tagged::ToSocketAddress(aAt);
  auto* at = reinterpret_cast<const sockaddr*>(&address);
  int done = aListen ? bind(made, at, sizeof address)
                     : connect(made, at, sizeof address);
  if (done == 0 && aListen) {
    done = listen(made, 64);
  }
  if (done != 0) {
    close(made);
    return -1;
  }
  return made;
}

void
RunLink(Endpoint aLink, Endpoint aStore, Harm& aHarm)
{
  int listening = OpenTcp(aLink, true);
  if (listening < 0) {
    std::cerr << "soak relay: cannot listen at " << FormatEndpoint(aLink)
              << std::endl;
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
    std::thread(RunConnection, instance, store, std::cref(aHarm)).detach();
  }
}

void
RunReadiness(Endpoint aReady, Harm& aHarm)
{
  int misses = 0;
  while (true) {
    httplib::Client client = ClientOf(aReady);
    client.set_connection_timeout(0, 200'000);
    client.set_read_timeout(0, 200'000);
    auto answer = client.Get("/-/readiness");
    bool good = answer && answer->status == 200;
    misses = good ? 0 : misses + 1;
    aHarm.rotates = misses < kReadyMisses;
    std::this_thread::sleep_for(kReadyPeriod);
  }
}

class Fabric
{
public:
  Fabric(const RelayOptions& aOptions,
         std::vector<std::unique_ptr<Harm>>& aHarms,
         Port aPort)
    : options(aOptions)
    , harms(aHarms)
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
      this->SendLate();
    }
  }

private:
  struct Late
  {
    Micros at = 0;
    size_t instance = 0;
    std::vector<uint8_t> bytes;
    bool operator<(const Late& aOther) const { return this->at > aOther.at; }
  };

  // The instance with the highest rank for the flow; only the flows of an
  // instance that leaves the rotation move.
  size_t Pick(const Packet& aPacket) const
  {
    size_t rotating = 0;
    for (const auto& harm : this->harms) {
      rotating += harm->rotates ? 1 : 0;
    }
    bool all = rotating * 2 < this->harms.size();
    size_t best = 0;
    size_t bestRank = 0;
    for (size_t i = 0; i < this->harms.size(); ++i) {
      size_t rank = absl::HashOf(aPacket.from, aPacket.to, i);
      if ((all || this->harms[i]->rotates) && rank >= bestRank) {
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
    size_t instance = this->Pick(*packet);
    const Harm& harm = *this->harms[instance];
    if (static_cast<int>(this->random() % 100) < harm.lossPercent) {
      return;
    }
    int delay = harm.delayMs;
    if (delay > 0) {
      Micros late = static_cast<Micros>(this->random() % delay) * kMillisecond;
      this->late.push({ tagged::SteadyNow() + late,
                        instance,
                        { aBytes.begin(), aBytes.end() } });
      return;
    }
    this->port.Send(aBytes, this->options.packets[instance]);
  }

  void SendLate()
  {
    while (!this->late.empty() && this->late.top().at <= tagged::SteadyNow()) {
      const Late& next = this->late.top();
      this->port.Send(next.bytes, this->options.packets[next.instance]);
      this->late.pop();
    }
  }

  const RelayOptions& options;
  std::vector<std::unique_ptr<Harm>>& harms;
  Port port;
  std::priority_queue<Late> late;
  std::mt19937 random{ 1 };
};

void
Obey(const std::string& aLine, std::vector<std::unique_ptr<Harm>>& aHarms)
{
  std::istringstream words(aLine);
  std::string what;
  size_t instance = 0;
  words >> what >> instance;
  if (instance >= aHarms.size()) {
    return;
  }
  Harm& harm = *aHarms[instance];
  if (what == "fabric") {
    int loss = 0;
    int delay = 0;
    words >> loss >> delay;
    harm.lossPercent = loss;
    harm.delayMs = delay;
    return;
  }
  std::string mode;
  words >> mode;
  if (mode == "reset") {
    ++harm.resets;
    return;
  }
  harm.link = mode == "silent"    ? Mode::Silent
              : mode == "one_way" ? Mode::OneWay
              : mode == "slow"    ? Mode::Slow
                                  : Mode::Pass;
}

}

int
RunRelay(const RelayOptions& aOptions)
{
  absl::StatusOr<Port> port = Port::Bind(aOptions.fabric);
  if (!port.ok()) {
    std::cerr << "soak relay: " << port.status() << std::endl;
    return 1;
  }
  std::vector<std::unique_ptr<Harm>> harms;
  for (size_t i = 0; i < aOptions.packets.size(); ++i) {
    harms.push_back(std::make_unique<Harm>());
    Harm& harm = *harms.back();
    std::thread(RunLink, aOptions.storeLinks[i], aOptions.store, std::ref(harm))
      .detach();
    std::thread(RunReadiness, aOptions.ready[i], std::ref(harm)).detach();
  }
  Fabric fabric(aOptions, harms, *std::move(port));
  std::thread([&fabric] { fabric.Run(); }).detach();
  std::string line;
  while (std::getline(std::cin, line)) {
    Obey(line, harms);
  }
  // The threads end with the process.
  std::quick_exit(0);
}

}
