// Case: another writer leaves an incomplete entry among those of the hosts.
#include "ends.h"

using namespace rig;

namespace {

constexpr Ms kOddAt = 2000, kNewHostAt = 4000, kEnd = 14000;

std::string
RouteText(const std::string& name, Endpoint route, const std::string& service)
{
  return "{\"name\":\"" + name + "\",\"host\":\"" + Text(route.address) +
         "\",\"path_prefix\":\"/" + std::to_string(route.port) +
         "/\",\"type\":\"idempotent\",\"timeout_ms\":500,\"slo_ms\":100,"
         "\"priority\":2,\"service\":\"" +
         service + "\",\"max_attempts\":2}";
}

std::string
ServiceText(const std::string& name)
{
  return "{\"name\":\"" + name +
         "\",\"health_path\":\"/health\",\"max_conns\":2000,\"protocol\":"
         "\"h1\",\"tls\":false}";
}

}

int
Play(Record& record)
{
  const char* trouble = std::getenv("TROUBLE");
  bool disrupt = trouble == nullptr || std::string(trouble) != "0";
  Deployment deployment;
  deployment.packetPort = FreePort();
  deployment.readyPort = FreePort();
  deployment.controlPort = FreePort();
  deployment.peerPort = FreePort();
  deployment.store = { Loopback(200), FreePort() };
  deployment.seeds = { Text(Endpoint{ Loopback(10), deployment.controlPort }) };
  // Its threads run until the process ends.
  Store& store = *new Store(deployment.store);
  Endpoint stockRoute{ Loopback(150), 443 };
  Endpoint sheetRoute{ Loopback(150), 8443 };
  store.Put("config",
            "main",
            "{\"version\":7,\"routes\":[" +
              RouteText("r-1", stockRoute, "katalog") + "," +
              RouteText("r-2", sheetRoute, "arsip-pola") + "],\"services\":[" +
              ServiceText("katalog") + "," + ServiceText("arsip-pola") +
              "],\"limits\":{\"idle_timeout_ms\":15000}}");
  Fleet fleet(deployment, record);
  World world;
  world.fleet = &fleet;
  world.store = &store;
  world.record = &record;
  // The last host is added later.
  for (int i = 0; i < 7; ++i) {
    world.hosts.emplace_back(world,
                             i,
                             0x7f3a91c0 + i,
                             Endpoint{ Loopback(100 + i), FreePort() },
                             i < 4 ? "katalog" : "arsip-pola");
    if (i < 6) {
      world.hosts.back().Register(false);
    }
  }
  Host& newHost = world.hosts.back();
  fleet.Add("frontend-jkt-1", "jkt", Loopback(10));
  fleet.Add("frontend-jkt-2", "jkt", Loopback(11));
  if (!fleet.WaitReady(10000)) {
    CannotRun("the instances are not ready");
  }
  uint16_t port = deployment.packetPort;
  world.clients.emplace_back(
    world, Endpoint{ Loopback(180), port }, stockRoute, "jkt");
  world.clients.emplace_back(
    world, Endpoint{ Loopback(181), port }, sheetRoute, "jkt");

  Ms start = Now();
  Ms nextFlow = start;
  bool oddWritten = false;
  newHost.listening = false;
  ClientOptions options;
  options.requests = 1;
  options.deadline = 500;
  world.Run(start + kEnd, [&] {
    Ms now = Now();
    if (now >= nextFlow && now < start + kEnd - 2000) {
      nextFlow += 5;
      world.clients[0].Open(options);
      world.clients[1].Open(options);
    }
    if (disrupt && !oddWritten && now >= start + kOddAt) {
      oddWritten = true;
      // Fields `version` and `seq` are missing.
      std::string name = "host-" + newHost.Name().substr(2);
      std::string spec = "{\"service\":\"katalog\",\"address\":\"" +
                         Text(newHost.at) +
                         "\",\"zone\":\"jkt\",\"slots\":2,\"state\":\"ready\","
                         "\"warmup_left_ms\":0}";
      store.Put("servers", name, spec);
      record.Line("another writer puts servers/" + name + ": " + spec);
    }
    if (!newHost.listening && now >= start + kNewHostAt) {
      newHost.listening = true;
      newHost.Register(false);
    }
  });

  int answered = 0;
  int unanswered = 0;
  int wrong = 0;
  for (const FlowStory& story : world.stories) {
    std::string allowed = story.route == stockRoute ? "katalog" : "arsip-pola";
    for (const FlowStory::Request& request : story.requests) {
      answered += request.answeredAt >= 0 ? 1 : 0;
      unanswered += request.gaveUpAt >= 0 ? 1 : 0;
      for (const std::string& service : request.ranAt) {
        if (service != allowed) {
          ++wrong;
          record.Line("ROUTE broken: request " + request.id + " to " +
                      Text(story.route) + ", a route of " + allowed +
                      ", is run by a host of " + service);
        }
      }
    }
  }
  std::ostringstream summary;
  summary << "flows " << world.stories.size() << ", requests answered "
          << answered << ", never answered " << unanswered
          << ", run by a service that the route does not allow " << wrong;
  record.Line(summary.str());
  std::cout << summary.str() << std::endl;
  if (answered < 100) {
    return kCannotRun;
  }
  return wrong > 0 ? kBroken : kHeld;
}

int
main(int, char** arguments)
{
  RunCase(arguments[1], Play);
}
