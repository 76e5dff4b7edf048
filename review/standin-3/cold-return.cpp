// A zone is taken back shortly after its hosts became cold.
#include "rig.h"

#include <algorithm>

using namespace rig;

int
main(int aCount, char** aArguments)
{
  constexpr int kWarmupPerS = 6;
  constexpr double kBound = kWarmupPerS * 1.5 + 5;
  World world({ .instances = 4,
                .zones = { "jkt", "bdg" },
                .evacuations = true,
                .warmupPerS = kWarmupPerS },
              aCount > 1 ? aArguments[1] : ".");
  At target = world.AddRoute("r-stock", "idempotent", "katalog");
  world.WriteConfig();
  for (int i = 0; i < 6; ++i) {
    world.AddHost("katalog", i % 2 == 0 ? "jkt" : "bdg", 0, 100 * i).workMs = 20;
  }
  world.StartInstances();
  if (!world.WaitReady(10000)) {
    return 2;
  }
  Ms nextFlowAt = 0;
  auto traffic = [&] {
    while (Now() >= nextFlowAt) {
      nextFlowAt = std::max(nextFlowAt + 4, Now() - 20);
      world.OpenFlow(target, false, 0);
    }
  };
  world.Run(8000, traffic);
  world.store.Put("evacuations", "bdg", "{}");
  world.Run(8000, traffic);
  // They become cold, and say so at once, one after the other.
  for (auto& host : world.hosts) {
    if (Trouble() && host->zone == "bdg") {
      host->startedAt = Now();
      host->warmupMs = 8000;
      host->nextBeatAt = Now();
      world.Run(30, traffic);
    }
  }
  world.Run(100, traffic);
  std::map<std::string, std::deque<Ms>> openings;
  size_t worst = 0;
  for (auto& host : world.hosts) {
    if (host->zone == "bdg") {
      Host* own = host.get();
      host->onSyn = [&, own](const Packet&) {
        std::deque<Ms>& times = openings[own->name];
        times.push_back(Now());
        while (times.front() <= Now() - 1000) {
          times.pop_front();
        }
        bool cold = Now() < own->startedAt + own->warmupMs;
        if (cold && times.size() > worst) {
          worst = times.size();
          world.Say("cold host " + own->name + ": " + std::to_string(worst) +
                    " openings within a second");
        }
      };
    }
  }
  world.store.Remove("evacuations", "bdg");
  world.Run(10000, traffic);
  world.Say("most openings of a cold host within a second: " +
            std::to_string(worst) + ", allowed " + std::to_string(kBound));
  printf("worst %zu, allowed %.1f, answered %d of %d\n", worst, kBound, (int)world.answered, (int)world.sent);
  return world.answered < 500 ? 2 : static_cast<double>(worst) > kBound ? 1 : 0;
}
