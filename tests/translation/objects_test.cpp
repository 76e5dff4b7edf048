// Guards against stored objects that are parsed wrongly, and against one
// unreadable object that makes the others of its list unusable.
#include "platform/objects.h"

#include "absl/strings/str_cat.h"

#include <catch2/catch.hpp>

namespace gentianspindle {

namespace {

using platform::ObjectFormat;

std::string
MakeServerSpec(const std::string& aState)
{
  return R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"jkt",)"
         R"("version":"v1","slots":2,"state":")" +
         aState + R"(","warmup_left_ms":1500,"seq":4,"born":1700000000123})";
}

std::string
MakeObject(const std::string& aName, const std::string& aSpec)
{
  return absl::StrCat(R"({"meta":{"name":")",
                      aName,
                      R"(","revision":412},"spec":)",
                      aSpec,
                      R"(,"status":null})");
}

std::string
MakeList(const std::string& aItems)
{
  return R"({"items":[)" + aItems + R"(],"more":false,"as_of":530})";
}

}

TEST_CASE("A list with a server is parsed into its entry and revisions")
{
  auto page = ObjectFormat::ParseServersList(
    MakeList(MakeObject("i-75bc4be3cd", MakeServerSpec("ready"))));
  REQUIRE(page.ok());
  CHECK(page->revision == 530);
  REQUIRE(page->changes.size() == 1);
  const steer::ServerChange& change = page->changes[0];
  CHECK(change.revision == 412);
  REQUIRE(change.entry);
  CHECK(change.entry->id == 0x75bc4be3cdULL);
  CHECK(change.entry->startedAt == 1700000000123);
  CHECK(FormatEndpoint(change.entry->endpoint) == "10.128.0.9:8080");
  CHECK(change.entry->slots == 2);
  CHECK(change.entry->warmupLeft == 1500 * kMillisecond);
  CHECK_FALSE(change.entry->draining);
}

TEST_CASE("An entry that cannot be read gives no server, and the others of the "
          "list stay readable")
{
  std::string validObject = MakeObject("i-1", MakeServerSpec("draining"));
  for (const std::string& invalidObject : {
         MakeObject("i-2", MakeServerSpec("resting")),
         MakeObject("nothing-hexadecimal!", MakeServerSpec("ready")),
         MakeObject("i-2", "null"),
         MakeObject("i-2", R"({"service":5})"),
         MakeObject("i-2", R"("text")"),
         std::string(R"({"meta":5})"),
         std::string("17"),
       }) {
    auto page = ObjectFormat::ParseServersList(
      MakeList(absl::StrCat(validObject, ",", invalidObject)));
    REQUIRE(page.ok());
    size_t readableCount = 0;
    for (const steer::ServerChange& change : page->changes) {
      readableCount += change.entry ? 1 : 0;
    }
    CHECK(readableCount == 1);
    CHECK(page->changes[0].entry->draining);
  }
}

TEST_CASE("A body that is not a list is an error, not an empty list")
{
  for (const char* body : { "", "{", "[]", R"({"items":[]})", "null" }) {
    CHECK_FALSE(ObjectFormat::ParseServersList(body).ok());
    CHECK_FALSE(ObjectFormat::ParseServersWatch(body).ok());
  }
}

TEST_CASE("A watch response with a tombstone gives a removal and the "
          "response's revision")
{
  auto page = ObjectFormat::ParseServersWatch(
    R"({"events":[{"tombstone":true,"object":)" +
    MakeObject("i-7", MakeServerSpec("ready")) + R"(}],"as_of":533})");
  REQUIRE(page.ok());
  CHECK(page->revision == 533);
  CHECK(page->changes[0].removed);
}

TEST_CASE(
  "A configuration is parsed, and routes that cannot be read are left out")
{
  std::string spec =
    R"({"version":7,"routes":[)"
    R"({"name":"a","host":"198.18.0.1","path_prefix":"/8080/","slo_ms":120,)"
    R"("priority":1,"service":"s"},)"
    R"({"name":"b","host":"198.18.0.1","path_prefix":"/8443/","split":)"
    R"([{"service":"s","weight":90},{"service":"t","weight":10}]},)"
    R"({"name":"c","host":"nowhere","path_prefix":"/1/","service":"s"}],)"
    R"("limits":{"idle_timeout_ms":15000}})";
  auto page = ObjectFormat::ParseConfigList(MakeList(MakeObject("main", spec)));
  REQUIRE(page.ok());
  REQUIRE(page->changes[0].config);
  const steer::Config& config = *page->changes[0].config;
  CHECK(config.version == 7);
  CHECK(config.idle == 15 * kSecond);
  REQUIRE(config.routes.size() == 2);
  CHECK(FormatEndpoint(config.routes[0].endpoint) == "198.18.0.1:8080");
  CHECK(config.routes[0].latencyTarget == 120 * kMillisecond);
  CHECK(config.routes[0].priority == 1);
  CHECK(config.routes[1].services.size() == 2);
}

TEST_CASE("An object of the configuration's kind with another name is not a "
          "configuration")
{
  auto page = ObjectFormat::ParseConfigList(
    MakeList(MakeObject("other", R"({"version":9,"routes":[]})")));
  REQUIRE(page.ok());
  CHECK_FALSE(page->changes[0].config);
}

}
