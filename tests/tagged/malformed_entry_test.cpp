// Runs the daemon of the tagged transport with a store whose entries are partly
// malformed. It guards against one entry that ends the process, or that makes
// the other entries unreadable.
#include "support/tagged_process.h"

namespace gentianspindle {

TEST_CASE("A malformed entry of the store leaves the others readable, and the "
          "daemon goes on")
{
  std::string nested(2'000'000, '[');
  nested.append(2'000'000, ']');
  std::string objects;
  for (size_t i = 0; i < 2'000'000; ++i) {
    objects += "{\"a\":";
  }
  // The first of two members with the same name is read.
  std::string member = GENERATE_COPY(values<std::string>({
    R"("address":"127.0.0.1:70000")",
    R"("address":"127.0.0.1:0")",
    R"("address":"127.0.0.1:-1")",
    "\"state\":\"\xff\xfe\"",
    R"("service":1e999)",
    R"("slots":)" + std::string(400, '9'),
    R"("service":"\ud800")",
    R"("other":)" + nested,
    R"("other":)" + objects + "0" + std::string(2'000'000, '}'),
  }));
  INFO(member.substr(0, 60));
  Fixture fixture;
  std::string complete = ServerSpec(fixture.fabricSocket.endpoint).dump();
  std::string malformed = "{" + member + "," + complete.substr(1);
  fixture.store.PutText("servers", "i-76", malformed);
  Daemon daemon(fixture.port);
  fcntl(daemon.output, F_SETFL, O_NONBLOCK);
  // The first list has one malformed entry, a watch brings another.
  REQUIRE(Eventually([&] { return daemon.IsReady(); }));
  fixture.store.PutText("servers", "i-74", malformed);
  fixture.store.Put("config", "main", ConfigSpec(9));
  CHECK(Eventually([&] {
    return daemon.Metric("gentianspindle_config_version") == 9 &&
           daemon.Metric(
             "gentianspindle_unreadable_entries_total{kind=\"server\"}") == 2;
  }));
  std::string logText;
  CHECK(Eventually([&] {
    logText += daemon.ReadOutput();
    return logText.find(R"("kind":"server","name":"i-74")") !=
             std::string::npos &&
           logText.find(R"("kind":"server","name":"i-76")") !=
             std::string::npos;
  }));
  daemon.Send(MakePacket(7000, true), fixture.fabricSocket);
  CHECK(fixture.serverSocket.Receive().size() == 40);
  fixture.store.Put("servers",
                    "i-75bc4be3cd",
                    ServerSpec(fixture.serverSocket.endpoint, "draining"));
  CHECK(Eventually([&] {
    daemon.Send(MakePacket(7100, true), fixture.fabricSocket);
    return fixture.serverSocket.Receive(20).empty();
  }));
  // The process is the one that was started.
  CHECK(waitpid(daemon.pid, nullptr, WNOHANG) == 0);
}

TEST_CASE(
  "A configuration with a malformed route loses that route, and one that "
  "cannot be read leaves the version in force")
{
  Fixture fixture;
  Daemon daemon(fixture.port);
  REQUIRE(Eventually([&] { return daemon.IsReady(); }));
  std::string good = ConfigSpec(20)["routes"][0].dump();
  fixture.store.PutText(
    "config",
    "main",
    R"({"version":20,"routes":[{"name":"malformed","x":1e999},)" + good + "]}");
  CHECK(Eventually(
    [&] { return daemon.Metric("gentianspindle_config_version") == 20; }));
  fixture.store.PutText("config", "main", R"({"version":1e999,"routes":[]})");
  CHECK(Eventually([&] {
    return daemon.Metric(
             "gentianspindle_unreadable_entries_total{kind=\"config\"}") == 1;
  }));
  CHECK(daemon.Metric(
          "gentianspindle_unreadable_entries_total{kind=\"route\"}") == 1);
  CHECK(daemon.Metric("gentianspindle_config_version") == 20);
  daemon.Send(MakePacket(7000, true), fixture.fabricSocket);
  CHECK(fixture.serverSocket.Receive().size() == 40);
}

}
