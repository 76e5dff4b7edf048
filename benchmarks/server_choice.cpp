// Times the choice of one new flow's server, by the number of servers, for
// flows placed by open flows and by requests. Prints one table row per size.
#include "steer/placer.h"

#include <chrono>
#include <iomanip>
#include <iostream>

namespace gentianspindle {

namespace {

using namespace steer;

constexpr size_t kZones = 3;
constexpr size_t kChoices = 20'000;

View
MakeView(size_t aServers)
{
  std::vector<ServerChange> list;
  for (size_t i = 0; i < aServers; ++i) {
    ServerEntry entry;
    entry.id = i + 1;
    entry.service = "service";
    entry.zone = "zone-" + std::to_string(i % kZones);
    entry.slots = 2;
    list.push_back({ "i-" + std::to_string(i), { 1, i + 1 }, false, entry });
  }
  View view;
  view.PutServers(list, 0);
  return view;
}

// Returns the time of one choice in microseconds.
double
TimeChoice(const View& aView, bool aByRequests)
{
  std::vector<ServerHealth> health(aView.Size());
  Placer placer({ .zone = "zone-0" });
  RouteEntry route;
  PlacementRequest request{ .service = "service",
                            .route = route,
                            .byRequests = aByRequests };
  auto start = std::chrono::steady_clock::now();
  for (size_t i = 0; i < kChoices; ++i) {
    Placement placement =
      placer.ChooseServer(aView, health, request, static_cast<Micros>(i));
    health[placement.server].load.inFlight += 1;
    health[placement.server].open += 1;
  }
  std::chrono::duration<double, std::micro> elapsed =
    std::chrono::steady_clock::now() - start;
  return elapsed.count() / kChoices;
}

}

}

int
main()
{
  using namespace gentianspindle;
  std::cout
    << "| servers | by open flows us | by requests us |\n|---|---|---|\n"
    << std::fixed << std::setprecision(2);
  for (size_t servers : { 60, 300, 1350, 5400 }) {
    steer::View view = MakeView(servers);
    std::cout << "| " << servers << " | " << TimeChoice(view, false) << " | "
              << TimeChoice(view, true) << " |\n";
  }
  return 0;
}
