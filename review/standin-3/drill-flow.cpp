// A drill of the store while hosts that came after the copy serve long flows.
#include "rig.h"

using namespace rig;

int
main(int aCount, char** aArguments)
{
  World world({ .instances = 2 }, aCount > 1 ? aArguments[1] : ".");
  At feed = world.AddRoute("r-feed", "idempotent", "katalog");
  At hold = world.AddRoute("r-hold", "non_idempotent", "katalog");
  world.WriteConfig();
  for (int i = 0; i < 4; ++i) {
    world.AddHost("katalog", "jkt", 0, 300 * i);
  }
  world.StartInstances();
  if (!world.WaitReady(10000)) {
    return 2;
  }
  // Flows of many requests, one every 3.5 s or so.
  auto openLong = [&](int aFlows) {
    for (int i = 0; i < aFlows; ++i) {
      world.OpenFlow(i % 3 == 0 ? hold : feed, true, 3300 + 10 * i);
      world.Run(20);
    }
  };
  openLong(20);
  world.Run(1500);
  Store::Copy copy = world.store.Take();
  world.Run(500);
  Host& fresh = world.AddHost("katalog", "jkt", 2000);
  world.Run(3500);
  openLong(80);
  world.Run(500);

  Ms stableFrom = 0;
  if (Trouble()) {
    world.store.GoAway();
    world.Run(800);
    world.store.ComeBackFrom(copy);
    // The operator and the hosts write again what is theirs; this host does so
    // 1.15 s after the store's return.
    world.WriteConfig();
    fresh.nextBeatAt = Now() + 1150;
    stableFrom = Now() + 4000;
  } else {
    stableFrom = Now() + 4800;
  }

  int resets = 0;
  int early = 0;
  world.onBalancerReset = [&](const Flow& aFlow, const Packet&) {
    bool counted = aFlow.open && aFlow.answers > 0 &&
                   aFlow.host == fresh.name && fresh.alive &&
                   Now() - aFlow.lastUsedAt < 12000 &&
                   Now() - aFlow.openedAt < 60000;
    if (counted && Now() >= stableFrom) {
      ++resets;
    } else if (counted) {
      ++early;
    }
  };
  uint64_t synsBefore = fresh.syns;
  world.Run(16000);
  if (!world.AllRun()) {
    world.Say("a process ended by itself");
  }
  world.Say("requests sent " + std::to_string(world.sent) + ", answered " +
            std::to_string(world.answered) + ", refused " +
            std::to_string(world.refused) + ", lost " +
            std::to_string(world.lost));
  world.Say("host " + fresh.name + " opened " +
            std::to_string(synsBefore) + " flows before the drill");
  world.Say("resets by the system of open flows of the live host " +
            fresh.name + ": " + std::to_string(early) +
            " within 4 s of the store's return (not counted), " +
            std::to_string(resets) + " later");
  bool ran = synsBefore >= 5 && world.answered > 100;
  printf("resets %d (early %d), syns %d\n", resets, early, (int)synsBefore);
  return !ran ? 2 : resets > 0 ? 1 : 0;
}
