// A zone is evacuated some time after a drill of the store.
#include "rig.h"

using namespace rig;

int
main(int aCount, char** aArguments)
{
  World world({ .instances = 4, .zones = { "jkt", "bdg" }, .evacuations = true },
              aCount > 1 ? aArguments[1] : ".");
  At target = world.AddRoute("r-stock", "idempotent", "katalog");
  world.WriteConfig();
  for (int i = 0; i < 6; ++i) {
    world.AddHost("katalog", i % 2 == 0 ? "jkt" : "bdg", 0, 200 * i);
  }
  world.StartInstances();
  if (!world.WaitReady(10000)) {
    return 2;
  }
  Ms nextFlowAt = 0;
  auto traffic = [&] {
    if (Now() >= nextFlowAt) {
      nextFlowAt = Now() + 20;
      world.OpenFlow(target, false, 0);
    }
  };
  world.Run(3000, traffic);
  Store::Copy copy = world.store.Take();
  world.Run(200, traffic);
  world.AddHost("katalog", "jkt", 2000);
  world.Run(5500, traffic);
  if (Trouble()) {
    world.store.GoAway();
    world.Run(800, traffic);
    world.store.ComeBackFrom(copy);
    world.WriteConfig();
  } else {
    world.Run(800, traffic);
  }
  world.Run(9000, traffic);

  // evacuate_ms of the deployments with evacuations.
  constexpr Ms kEvacuateMs = 5000;
  world.store.Put("evacuations", "bdg", "{}");
  Ms acknowledgedAt = Now();
  int late = 0;
  int usual = 0;
  for (auto& host : world.hosts) {
    if (host->zone != "bdg") {
      continue;
    }
    Host* own = host.get();
    host->onSyn = [&, own](const Packet& aPacket) {
      bool isLate = Now() - acknowledgedAt > kEvacuateMs;
      ++(isLate ? late : usual);
      if (isLate) {
        world.Say("host " + own->name + " in the evacuated zone: SYN of flow " +
                  std::to_string(aPacket.src.port) + " " +
                  std::to_string(Now() - acknowledgedAt) +
                  " ms after the acknowledgement");
      }
    };
  }
  world.Run(kEvacuateMs + 10000, traffic);
  world.Say("requests sent " + std::to_string(world.sent) + ", answered " +
            std::to_string(world.answered) + ", refused " +
            std::to_string(world.refused) + ", lost " +
            std::to_string(world.lost));
  world.Say("openings at hosts of the evacuated zone: " +
            std::to_string(usual) +
            " within evacuate_ms of the acknowledgement, " +
            std::to_string(late) + " later");
  if (!world.AllRun()) {
    world.Say("a process ended by itself");
  }
  printf("late %d, usual %d\n", late, usual);
  return world.answered < 500 ? 2 : late > 0 ? 1 : 0;
}
