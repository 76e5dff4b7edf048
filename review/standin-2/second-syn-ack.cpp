// Long flows while one SYN+ACK is lost. With RESTARTS=1 the daemons are also
// restarted in turn. PAUSE_MS is the pause between the requests of a flow.
#include "rig.h"

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <unistd.h>

using namespace rig;

namespace {

constexpr int kFlows = 24;
constexpr int kLossAt = 8; // flow whose first SYN+ACK is lost
const Addr kRoute{ Ip("198.18.0.1"), 8080 };

int
Setting(const char* aName, int aDefault)
{
  const char* text = getenv(aName);
  return text == nullptr ? aDefault : atoi(text);
}

struct LongFlow
{
  std::shared_ptr<Client::Flow> flow;
  int answered = 0;
  std::string end;
};

}

int
main(int aCount, char** aArguments)
{
  if (aCount != 4) {
    return 2;
  }
  const bool trouble = strcmp(aArguments[3], "0") != 0;
  const bool restarts = Setting("RESTARTS", 0) != 0;
  const Micros pause = Setting("PAUSE_MS", 2700) * kMs;
  const int requests = Setting("REQUESTS", 4);
  // Whether clients acknowledge what they have when a second SYN+ACK comes.
  const bool acks = Setting("CLIENT_ACKS", 0) != 0;
  srand(7);
  Site site(aArguments[1], aArguments[2], Ip("127.40.0.1"));
  std::vector<uint32_t> ips{ Ip("127.20.0.1"),
                             Ip("127.20.0.2"),
                             Ip("127.20.0.3") };
  std::vector<uint32_t> clientIps{ Ip("127.30.0.1"), Ip("127.30.0.2") };
  std::vector<uint32_t> both = ips;
  both.insert(both.end(), clientIps.begin(), clientIps.end());
  site.packetPort = FreePort(both);
  site.readyPort = FreePort(ips);
  site.controlPort = FreePort(ips);
  site.peerPort = FreePort(ips);
  std::vector<std::unique_ptr<Host>> hosts;
  for (int i = 0; i < 4; ++i) {
    hosts.push_back(
      std::make_unique<Host>(site,
                             "katalog",
                             "jkt",
                             Ip("127.50.0." + std::to_string(i + 1)),
                             0x7f3a9100 + i));
    hosts.back()->Register();
  }
  site.store->Put(
    "config",
    "main",
    "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"198.18.0.1\","
    "\"path_"
    "prefix\":\"/8080/\",\"type\":\"non_idempotent\",\"timeout_ms\":3000,\"slo_"
    "ms\":300,\"priority\":1,\"service\":\"katalog\",\"max_attempts\":2}],"
    "\"services\":[{\"name\":\"katalog\",\"health_path\":\"/"
    "health\",\"max_conns\":"
    "2000,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"idle_timeout_ms\":"
    "15000}}");
  for (uint32_t ip : ips) {
    site.AddDaemon("jkt", ip);
  }
  for (const auto& daemon : site.daemons) {
    site.WriteSettings(*daemon, { ips[0], ips[1], ips[2] });
    daemon->Start();
  }
  site.StartRouters();
  std::function<void()> reap = [&] {
    site.ReapChildren();
    loop.After(20 * kMs, reap);
  };
  reap();
  loop.Run([&] { return site.AllReady() || loop.Now() > 10 * kSecond; });
  if (!site.AllReady()) {
    Record("the daemons did not get ready");
    site.KillAll();
    return 2;
  }
  Micros settled = loop.Now() + 5 * kSecond;
  loop.Run([&] { return loop.Now() > settled; });

  std::vector<std::unique_ptr<Client>> clients;
  for (uint32_t ip : clientIps) {
    clients.push_back(std::make_unique<Client>(site, "jkt", ip));
    clients.back()->acksSecondSynAck = acks;
  }
  std::vector<LongFlow> flows(kFlows);
  int broken = 0;
  int ended = 0;
  int packets = 0;
  bool lost = false;
  Host::lose = [&](const Host& aHost, const Packet& aPacket) {
    ++packets;
    const auto& chosen = flows[kLossAt].flow;
    bool isSynAck = (aPacket.flags & kSyn) != 0;
    if (trouble && !lost && isSynAck && chosen && aPacket.dst == chosen->self) {
      lost = true;
      Record("lost: SYN+ACK of host %08x to %s",
             aHost.id,
             Text(aPacket.dst).c_str());
      return true;
    }
    return false;
  };

  Micros start = loop.Now();
  auto finish = [&](int i, const std::string& aOutcome) {
    flows[i].end = aOutcome;
    ++ended;
    Record("flow %d: %s", i, aOutcome.c_str());
  };
  for (int i = 0; i < kFlows; ++i) {
    loop.At(start + i * 400 * kMs, [&, i] {
      Client& client = *clients[i % 2];
      auto next = std::make_shared<std::function<void()>>();
      *next = [&, i, next] {
        Client& own = *clients[i % 2];
        std::string id =
          "a" + std::to_string(i) + "-" + std::to_string(flows[i].answered);
        own.Request(flows[i].flow,
                    id,
                    3 * kSecond,
                    [&, i, id, next](const std::string& aResult) {
                      Record("client %s: %s ends with %s",
                             Text(flows[i].flow->self).c_str(),
                             id.c_str(),
                             aResult.c_str());
                      if (aResult != "200") {
                        finish(i, aResult);
                      } else if (++flows[i].answered == requests) {
                        clients[i % 2]->Close(flows[i].flow);
                        finish(i, "closed");
                      } else {
                        loop.After(pause, [&, i, next] {
                          if (flows[i].flow->ended) {
                            return;
                          }
                          (*next)();
                        });
                      }
                    });
      };
      flows[i].flow =
        client.Open(kRoute, [&, i, next](const std::string& aResult) {
          if (aResult != "open") {
            finish(i, aResult);
            return;
          }
          (*next)();
        });
      flows[i].flow->onReset = [&, i](const Packet& aPacket) {
        auto key = std::make_pair(flows[i].flow->self, kRoute);
        auto open = Host::openAt.find(key);
        if (open == Host::openAt.end()) {
          return;
        }
        Host* sender = aPacket.sum == 0 ? nullptr : lastReset[key];
        Record("client %s: RST of %s on a flow that is open at host %08x",
               Text(flows[i].flow->self).c_str(),
               sender == nullptr ? "the system" : Text(sender->addr).c_str(),
               open->second->id);
        if (sender != open->second) {
          ++broken;
          if (!flows[i].flow->busy) {
            finish(i, "reset while idle");
          }
        }
      };
    });
  }
  // The restarts: SIGTERM in turn, and a start when the process ended.
  for (size_t i = 0; restarts && i < site.daemons.size(); ++i) {
    Daemon& daemon = *site.daemons[i];
    daemon.onEnd = [&daemon](int) {
      loop.After(300 * kMs, [&daemon] { daemon.Start(); });
    };
    loop.At(start + 4 * kSecond + static_cast<Micros>(i) * 2 * kSecond,
            [&daemon] { daemon.Signal(SIGTERM); });
  }
  loop.Run(
    [&] { return ended == kFlows || loop.Now() > start + 60 * kSecond; });
  site.KillAll();
  Record("%d flows, %d ended, %d packets of hosts, one of them lost: %s; "
         "broken by a reset that the flow's host didn't send: %d",
         kFlows,
         ended,
         packets,
         lost ? "yes" : "no",
         broken);
  if (ended < kFlows || (trouble && !lost)) {
    return 2;
  }
  printf("broken flows: %d\n", broken);
  return broken > 0 ? 1 : 0;
}
