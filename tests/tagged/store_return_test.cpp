// The daemon as a process, while its store comes back from an older copy.
#include "support/tagged_process.h"

namespace gentianspindle {

// Guards against changes that a daemon never sees after a drill of the store,
// as they have revisions that were given out before.
TEST_CASE("After the store came back from a copy its changes are seen again")
{
  Fixture fixture;
  Daemon daemon(fixture.port);
  REQUIRE(Eventually([&] { return daemon.IsReady(); }));
  fixture.store.Copy();
  fixture.store.Put("config", "main", ConfigSpec(20));
  REQUIRE(Eventually(
    [&] { return daemon.Metric("gentianspindle_config_version") == 20; }));
  for (int i = 0; i < 2; ++i) {
    double failures =
      daemon.Metric("gentianspindle_store_retries_total{reason=\"away\"}");
    fixture.store.status = 503;
    REQUIRE(Eventually([&] {
      return daemon.Metric(
               "gentianspindle_store_retries_total{reason=\"away\"}") >
             failures;
    }));
    fixture.store.ReturnToCopy();
    fixture.store.Put("config", "main", ConfigSpec(30 + i));
    for (int id = 1; id <= 9; ++id) {
      fixture.store.Put("servers",
                        "i-" + std::to_string(id),
                        ServerSpec(BoundSocket::Make().endpoint, "draining"));
    }
    fixture.store.status = 200;
    CHECK(Eventually([&] {
      return daemon.Metric("gentianspindle_config_version") == 30 + i;
    }));
    CHECK(daemon.Metric("gentianspindle_store_returns_total") == i + 1);
    CHECK(daemon.Metric("gentianspindle_store_era") == i + 2);
  }
  // The server's entry is the copy's; its flows and new ones reach it.
  CHECK(OpensAFlow(daemon, fixture));
}

}
