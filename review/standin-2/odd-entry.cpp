// Another writer leaves an entry with a field of another type in the place of a
// host's own entry.
#include "rig.h"

#include <csignal>
#include <cstdlib>
#include <cstring>

using namespace rig;

namespace {

struct Route
{
  const char* service;
  uint16_t port;
};

constexpr Route kRoutes[] = { { "katalog", 8080 }, { "arsip-pola", 8443 } };
constexpr int kSeconds = 14;

Addr
Target(const Route& aRoute)
{
  return { Ip("198.18.0.1"), aRoute.port };
}

std::string
Config()
{
  std::string routes;
  std::string services;
  for (const Route& route : kRoutes) {
    routes +=
      std::string(routes.empty() ? "" : ",") + "{\"name\":\"r-" +
      route.service + "\",\"host\":\"198.18.0.1\",\"path_prefix\":\"/" +
      std::to_string(route.port) +
      "/\",\"type\":\"non_idempotent\",\"timeout_ms\":3000,\"slo_ms\":300,"
      "\"priority\":1,\"service\":\"" +
      route.service + "\",\"max_attempts\":2}";
    services +=
      std::string(services.empty() ? "" : ",") + "{\"name\":\"" +
      route.service +
      "\",\"health_path\":\"/health\",\"max_conns\":2000,\"protocol\":"
      "\"h1\",\"tls\":false}";
  }
  return "{\"version\":7,\"routes\":[" + routes + "],\"services\":[" +
         services + "],\"limits\":{\"idle_timeout_ms\":15000}}";
}

}

int
main(int aCount, char** aArguments)
{
  if (aCount != 4) {
    return 2;
  }
  const bool trouble = strcmp(aArguments[3], "0") != 0;
  srand(7);
  Site site(aArguments[1], aArguments[2], Ip("127.40.2.1"));
  std::vector<uint32_t> ips{ Ip("127.20.2.1"), Ip("127.20.2.2") };
  std::vector<uint32_t> all = ips;
  all.push_back(Ip("127.30.2.1"));
  site.packetPort = FreePort(all);
  site.readyPort = FreePort(ips);
  site.controlPort = FreePort(ips);
  site.peerPort = FreePort(ips);
  std::vector<std::unique_ptr<Host>> hosts;
  for (int i = 0; i < 6; ++i) {
    hosts.push_back(
      std::make_unique<Host>(site,
                             kRoutes[i < 4 ? 0 : 1].service,
                             "jkt",
                             Ip("127.50.2." + std::to_string(i + 1)),
                             0x7f3a91c0 + i));
    hosts.back()->Register();
    hosts.back()->StartHeartbeats();
  }
  site.store->Put("config", "main", Config());
  for (uint32_t ip : ips) {
    site.AddDaemon("jkt", ip);
  }
  for (const auto& daemon : site.daemons) {
    site.WriteSettings(*daemon, ips);
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
  Micros start = loop.Now() + 4 * kSecond;
  loop.Run([&] { return loop.Now() > start; });

  Client client(site, "jkt", Ip("127.30.2.1"));
  int sent = 0;
  int answered = 0;
  int wrong = 0;
  for (const auto& host : hosts) {
    host->workTime = 0; // drawn for each request
  }
  Host::onRun =
    [&](const Host& aHost, const std::string& aId, const Packet& aPacket) {
      for (const Route& route : kRoutes) {
        if (aPacket.dst == Target(route) && aHost.service != route.service) {
          ++wrong;
          Record("ROUTE: request %s to the route of %s is run by %s of %s",
                 aId.c_str(),
                 route.service,
                 aHost.EntryName().c_str(),
                 aHost.service.c_str());
        }
      }
    };
  std::function<void()> traffic = [&] {
    if (loop.Now() > start + kSeconds * kSecond) {
      return;
    }
    loop.After(6 * kMs, traffic);
    const Route& route = kRoutes[sent % 5 == 0 ? 1 : 0];
    std::string id = "a" + std::to_string(sent++);
    auto flow = std::make_shared<std::shared_ptr<Client::Flow>>();
    *flow =
      client.Open(Target(route), [&, id, flow](const std::string& aOpened) {
        if (aOpened != "open") {
          Record("client: %s: %s", id.c_str(), aOpened.c_str());
          return;
        }
        client.Request(
          *flow, id, 3 * kSecond, [&, id, flow](const std::string& aResult) {
            answered += aResult == "200" ? 1 : 0;
            Record("client: %s ends with %s", id.c_str(), aResult.c_str());
            client.Close(*flow);
          });
      });
  };
  traffic();
  Host& victim = *hosts[4];
  if (trouble) {
    // FIELD names the field of another type.
    const char* field = getenv("FIELD");
    bool slots = field != nullptr && strcmp(field, "slots") == 0;
    std::string spec =
      victim.Spec(kRoutes[0].service,
                  slots ? std::to_string(victim.born) : "\"2026-12-07\"");
    if (slots) {
      spec.replace(spec.find("\"slots\":2"), 9, "\"slots\":\"2\"");
    }
    // The writer comes back every fourth heartbeat of the host.
    auto beats = std::make_shared<int>(0);
    victim.onHeartbeat = [&, spec, beats] {
      if (++*beats % 4 != 0 || loop.Now() > start + kSeconds * kSecond) {
        return;
      }
      loop.After(100 * kMs, [&, spec] {
        Record("another writer puts servers/%s: %s",
               victim.EntryName().c_str(),
               spec.c_str());
        site.store->Put("servers", victim.EntryName(), spec);
      });
    };
  }
  loop.Run([&] { return loop.Now() > start + (kSeconds + 4) * kSecond; });
  site.KillAll();
  Record("%d requests sent, %d answered, %d run by a service that their route "
         "never led to",
         sent,
         answered,
         wrong);
  printf("requests run by a wrong service: %d of %d\n", wrong, sent);
  if (site.unexpectedEnds > 0 || answered < sent / 2) {
    return 2;
  }
  return wrong > 0 ? 1 : 0;
}
