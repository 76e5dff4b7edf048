// A host drains some time after a drill of the store.
#include "rig.h"

using namespace rig;

int
main(int aCount, char** aArguments)
{
  World world({ .instances = 3 }, aCount > 1 ? aArguments[1] : ".");
  At target = world.AddRoute("r-stock", "idempotent", "katalog");
  world.WriteConfig();
  for (int i = 0; i < 5; ++i) {
    world.AddHost("katalog", "jkt", 0, 250 * i).workMs = 40;
  }
  world.StartInstances();
  if (!world.WaitReady(10000)) {
    return 2;
  }
  Ms nextFlowAt = 0;
  auto traffic = [&] {
    if (Now() >= nextFlowAt) {
      nextFlowAt = Now() + 8;
      world.OpenFlow(target, false, 0);
    }
  };
  world.Run(3000, traffic);
  Store::Copy copy = world.store.Take();
  world.Run(500, traffic);
  world.AddHost("katalog", "jkt", 2000).workMs = 40;
  world.Run(4000, traffic);
  if (Trouble()) {
    world.store.GoAway();
    world.Run(800, traffic);
    world.store.ComeBackFrom(copy);
    world.WriteConfig();
  } else {
    world.Run(800, traffic);
  }
  world.Run(8000, traffic);

  // Of the hosts that were there before the copy, the one with most flows.
  std::vector<uint64_t> before;
  for (auto& host : world.hosts) {
    before.push_back(host->syns);
  }
  world.Run(2000, traffic);
  size_t busiest = 0;
  for (size_t i = 0; i < 5; ++i) {
    bool busier = world.hosts[i]->syns - before[i] >
                  world.hosts[busiest]->syns - before[busiest];
    busiest = busier ? i : busiest;
  }
  Host& leaver = *world.hosts[busiest];
  // drain_ms of the small deployments.
  constexpr Ms kDrainMs = 3000;
  world.Drain(leaver);
  Ms acknowledgedAt = Now();
  int late = 0;
  int usual = 0;
  leaver.onSyn = [&](const Packet& aPacket) {
    bool isLate = Now() - acknowledgedAt > kDrainMs;
    ++(isLate ? late : usual);
    if (isLate) {
      world.Say("host " + leaver.name + ": SYN of flow " +
                std::to_string(aPacket.src.port) + " " +
                std::to_string(Now() - acknowledgedAt) +
                " ms after its drain was acknowledged");
    }
  };
  // It serves for drain_ms and a little longer, and then exits.
  world.Run(kDrainMs + 5000, traffic);
  uint64_t lostBefore = world.lost;
  world.Leave(leaver);
  world.Run(8000, traffic);
  world.Say("requests sent " + std::to_string(world.sent) + ", answered " +
            std::to_string(world.answered) + ", refused " +
            std::to_string(world.refused) + ", lost " +
            std::to_string(world.lost) + ", of these after the host's exit " +
            std::to_string(world.lost - lostBefore));
  world.Say("openings at the draining host: " + std::to_string(usual) +
            " within drain_ms of the acknowledgement, " + std::to_string(late) +
            " later");
  if (!world.AllRun()) {
    world.Say("a process ended by itself");
  }
  printf("late %d, usual %d, lost after exit %d\n",
         late,
         usual,
         (int)(world.lost - lostBefore));
  return world.answered < 500 ? 2 : late > 0 ? 1 : 0;
}
