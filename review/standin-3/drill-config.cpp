// The operator's next configuration is written right after a drill of the
// store.
#include "rig.h"

using namespace rig;

int
main(int aCount, char** aArguments)
{
  World world({ .instances = 3 }, aCount > 1 ? aArguments[1] : ".");
  world.beatRetryMs = 100;
  At kept = world.AddRoute("r-kept", "idempotent", "katalog");
  At dropped = world.AddRoute("r-dropped", "idempotent", "katalog");
  world.WriteConfig();
  for (int i = 0; i < 8; ++i) {
    world.AddHost("katalog", "jkt", 0, 140 * i);
  }
  world.StartInstances();
  if (!world.WaitReady(10000)) {
    return 2;
  }
  bool useDropped = true;
  At added{};
  Ms nextFlowAt = 0;
  int turn = 0;
  auto traffic = [&] {
    if (Now() < nextFlowAt) {
      return;
    }
    nextFlowAt = Now() + 20;
    ++turn;
    if (turn % 5 == 0 && useDropped) {
      world.OpenFlow(dropped, false, 0);
    } else if (turn % 5 == 1 && added.address != 0) {
      world.OpenFlow(added, false, 0);
    } else {
      world.OpenFlow(kept, false, 0);
    }
  };
  world.Run(4000, traffic);
  Store::Copy copy = world.store.Take();
  world.Run(300, traffic);
  // Three hosts begin to drain, as when a service is scaled in.
  for (int i = 0; i < 3; ++i) {
    world.Drain(*world.hosts[i]);
    world.Run(100, traffic);
  }
  world.Run(1600, traffic);
  if (Trouble()) {
    world.store.GoAway();
    world.Run(1200, traffic);
    world.store.ComeBackFrom(copy);
  } else {
    world.Run(1200, traffic);
  }
  // The operator's write is the first one that the store takes again.
  world.DropRoute("r-dropped");
  added = world.AddRoute("r-added", "idempotent", "katalog");
  ++world.configVersion;
  world.WriteConfig();
  Ms acknowledgedAt = Now();
  world.Run(3500, traffic);
  for (int i = 0; i < 3; ++i) {
    world.Leave(*world.hosts[i]);
  }

  // config_apply_ms, and max_skew_ms, as the store was away shortly before.
  constexpr Ms kBoundMs = 3000 + 12000;
  int ran = 0;
  int refused = 0;
  int unanswered = 0;
  auto isLate = [&](const Flow& aFlow) {
    return aFlow.synAt > acknowledgedAt + kBoundMs;
  };
  world.onAnswer = [&](const Flow& aFlow, Ms) {
    if (aFlow.target == dropped && isLate(aFlow)) {
      ++ran;
      world.Say("run with the dropped route: " + aFlow.id + ", sent " +
                std::to_string(aFlow.synAt - acknowledgedAt) +
                " ms after the acknowledgement");
    }
  };
  world.onBalancerReset = [&](const Flow& aFlow, const Packet&) {
    bool isRefusal = aFlow.target == added && isLate(aFlow) && !aFlow.open;
    refused += isRefusal ? 1 : 0;
  };
  world.onNoAnswer = [&](const Flow& aFlow) {
    bool isLost = aFlow.target == added && isLate(aFlow);
    unanswered += isLost ? 1 : 0;
  };
  world.Run(28000, traffic);
  world.Say("requests sent " + std::to_string(world.sent) + ", answered " +
            std::to_string(world.answered) + ", refused " +
            std::to_string(world.refused) + ", lost " +
            std::to_string(world.lost));
  world.Say("sent more than 15 s after the acknowledgement: " +
            std::to_string(ran) + " run with the dropped route, " +
            std::to_string(refused) + " refused on the added route, " +
            std::to_string(unanswered) + " unanswered there");
  if (!world.AllRun()) {
    world.Say("a process ended by itself");
  }
  printf("ran %d, refused %d, unanswered %d\n", ran, refused, unanswered);
  return world.answered < 500 ? 2 : ran + refused > 0 ? 1 : 0;
}
