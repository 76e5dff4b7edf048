// Another writer puts an entry in the place of a host's own, which names
// another service.
#include "rig.h"

#include <set>

using namespace rig;

int
main(int aCount, char** aArguments)
{
  World world({ .instances = 2 }, aCount > 1 ? aArguments[1] : ".");
  At stock = world.AddRoute("r-stock", "non_idempotent", "katalog");
  At sheets = world.AddRoute("r-sheets", "download", "arsip-pola");
  world.WriteConfig();
  for (int i = 0; i < 6; ++i) {
    world.AddHost(i < 4 ? "katalog" : "arsip-pola", "jkt", 0, 200 * i);
  }
  world.StartInstances();
  if (!world.WaitReady(10000)) {
    return 2;
  }
  std::string odd = "none";
  std::map<std::string, int> wrong;
  std::set<std::string> wrongHosts;
  world.onAnswer = [&](const Flow& aFlow, Ms) {
    for (auto& host : world.hosts) {
      bool allowed = (aFlow.target == stock) == (host->service == "katalog");
      if (host->name == aFlow.host && !allowed) {
        ++wrong[odd];
        world.Say("ROUTE: " + aFlow.id + " to " +
                  (aFlow.target == stock ? "katalog" : "arsip-pola") +
                  " was run by host " + host->name + " of " + host->service);
      }
    }
  };
  Ms nextFlowAt = 0;
  int turn = 0;
  auto traffic = [&] {
    if (Now() >= nextFlowAt) {
      nextFlowAt = Now() + 6;
      world.OpenFlow(++turn % 10 == 0 ? sheets : stock, false, 0);
    }
  };
  world.Run(6000, traffic);
  // The whole entry of a host of katalog, but for what the name says.
  Host& host = *world.hosts[4];
  std::string head = "{\"service\":\"katalog\",\"address\":\"" + Text(host.at) +
                     "\",\"zone\":\"jkt\",\"slots\":2,\"state\":\"ready\","
                     "\"warmup_left_ms\":0,\"seq\":7,\"version\":";
  std::string born = ",\"born\":" + std::to_string(host.born);
  std::vector<std::pair<std::string, std::string>> entries{
    { "without born", head + "\"v1\"}" },
    { "bytes that are no UTF-8", head + "\"v\xff\xfe\x31\"" + born + "}" },
  };
  for (int round = 0; Trouble() && round < 2; ++round) {
    for (const auto& [name, spec] : entries) {
      odd = name;
      // It stands until the host's next heartbeat.
      world.Beat(host);
      world.Run(50, traffic);
      world.store.Put("servers", host.name, spec, "odd entry, " + name);
      world.Run(4000, traffic);
    }
  }
  world.Run(Trouble() ? 1000 : 17000, traffic);
  world.Say("requests sent " + std::to_string(world.sent) + ", answered " +
            std::to_string(world.answered) + ", refused " +
            std::to_string(world.refused) + ", lost " +
            std::to_string(world.lost));
  int all = 0;
  for (const auto& [name, count] : wrong) {
    world.Say("run by a host of the other service after the entry '" + name +
              "': " + std::to_string(count));
    printf("%s: %d, ", name.c_str(), count);
    all += count;
  }
  if (!world.AllRun()) {
    world.Say("a process ended by itself");
  }
  printf("wrong %d, answered %d\n", all, (int)world.answered);
  return world.answered < 500 ? 2 : all > 0 ? 1 : 0;
}
