// Guards against stored objects that are parsed wrongly, and against one
// unreadable object that makes the others of its list unusable.
#include "platform/objects.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include <catch2/catch.hpp>

namespace gentianspindle {

namespace {

// Of the store, in which all responses came.
constexpr uint64_t kEra = 2;

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

std::string
MakeEvents(const std::vector<std::string>& aObjects)
{
  std::string events;
  for (const std::string& object : aObjects) {
    absl::StrAppend(&events, events.empty() ? "" : ",", R"({"object":)");
    absl::StrAppend(&events, object, R"(,"tombstone":false})");
  }
  return R"({"events":[)" + events + R"(],"as_of":530})";
}

// Returns aDepth copies of aOpen, then as many of aClose.
std::string
Nested(size_t aDepth, std::string_view aOpen, std::string_view aClose)
{
  std::string text;
  for (size_t i = 0; i < aDepth; ++i) {
    text += aOpen;
  }
  text += aOpen == "[" ? "" : "0";
  for (size_t i = 0; i < aDepth; ++i) {
    text += aClose;
  }
  return text;
}

// Returns values that are no valid name, number or list.
std::vector<std::string>
MakeMalformedValues()
{
  return { "1e999",
           std::string(400, '9'),
           R"("\ud800")",
           R"("\x")",
           "nonsense",
           Nested(2'000'000, "[", "]"),
           Nested(2'000'000, "{\"a\":", "}"),
           Nested(33, "[", "]"),
           '"' + std::string(100'000, 'x') + '"' };
}

// Returns the specs of servers that cannot be read: with a malformed value as
// a member that is read, and with one beside the members that are read.
std::vector<std::string>
MakeMalformedSpecs()
{
  std::vector<std::string> specs;
  std::string valid = MakeServerSpec("ready");
  for (const std::string& value : MakeMalformedValues()) {
    specs.push_back(R"({"service":)" + value + "," + valid.substr(1));
  }
  // A long text that is not read is no fault.
  std::vector<std::string> values = MakeMalformedValues();
  values.pop_back();
  for (const std::string& value : values) {
    specs.push_back(R"({"other":)" + value + "," + valid.substr(1));
  }
  for (const char* port : { "70000", "0", "-1", "99999999999999999999" }) {
    specs.push_back(absl::StrCat(R"({"address":"10.128.0.9:)", port, R"(",)") +
                    valid.substr(1));
  }
  for (const char* slots : { "0", "-1", "3000000000", "1.5", "1e30" }) {
    specs.push_back(absl::StrCat(R"({"slots":)", slots, ",") + valid.substr(1));
  }
  return specs;
}

}

TEST_CASE("A list with a server is parsed into its entry and revisions")
{
  auto page = ObjectFormat::ParseServersList(
    MakeList(MakeObject("i-75bc4be3cd", MakeServerSpec("ready"))), kEra);
  REQUIRE(page.ok());
  CHECK(page->position == StorePosition(kEra, 530));
  REQUIRE(page->changes.size() == 1);
  const steer::ServerChange& change = page->changes[0];
  CHECK(change.position == StorePosition(kEra, 412));
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
      MakeList(absl::StrCat(validObject, ",", invalidObject)), kEra);
    REQUIRE(page.ok());
    size_t readableCount = 0;
    for (const steer::ServerChange& change : page->changes) {
      readableCount += change.entry ? 1 : 0;
    }
    CHECK(readableCount == 1);
    CHECK(page->changes[0].entry->draining);
  }
}

// An entry of another writer may name an address that later belongs to a server
// of another service.
// Guards against flows that reach another service's server (review/8): an entry
// of another writer, with a text as "born", counted as a server's own.
TEST_CASE("An entry with a member of another type gives no server")
{
  const std::vector<std::string> texts{
    "service", "address", "zone", "version", "state"
  };
  const std::vector<std::string> numbers{
    "slots", "warmup_left_ms", "seq", "born"
  };
  auto isRead = [](const std::string& aMember, const std::string& aValue) {
    INFO(aMember << ": " << aValue);
    // Of two members with one name the first counts.
    std::string spec = absl::StrCat(
      "{\"", aMember, "\":", aValue, ",", MakeServerSpec("ready").substr(1));
    auto page =
      ObjectFormat::ParseServersList(MakeList(MakeObject("i-2", spec)), kEra);
    REQUIRE(page.ok());
    REQUIRE(page->changes.size() == 1);
    return page->changes[0].entry.has_value();
  };
  for (const char* value :
       { "null", "true", "[]", "{}", "5", "1.5", "1e999", "[\"ready\"]" }) {
    for (const std::string& member : texts) {
      INFO(member << ": " << value);
      CHECK_FALSE(isRead(member, value));
    }
  }
  for (const char* value : { "null",
                             "true",
                             "[]",
                             "{}",
                             "\"5\"",
                             "\"\"",
                             "\"2026-12-07\"",
                             "1.5",
                             "1e999",
                             "[5]" }) {
    for (const std::string& member : numbers) {
      INFO(member << ": " << value);
      CHECK_FALSE(isRead(member, value));
    }
  }
  CHECK(isRead("born", "1700000000124"));
}

// Guards against requests that run at another service's server: an entry of
// another writer, without the start or with bytes that are no text, was used.
TEST_CASE(
  "An entry without a start or with bytes that are no UTF-8 is unreadable")
{
  auto isRead = [](const std::string& aSpec) {
    auto page = ObjectFormat::ParseServersList(
      MakeList(MakeObject("i-2", aSpec) + "," +
               MakeObject("i-3", MakeServerSpec("ready"))),
      kEra);
    REQUIRE(page.ok());
    REQUIRE(page->changes.size() == 2);
    CHECK(page->changes[1].entry);
    return page->changes[0].entry.has_value();
  };
  const std::string whole = MakeServerSpec("ready");
  REQUIRE(isRead(whole));
  std::string withoutStart = whole;
  withoutStart.resize(whole.find(",\"born\""));
  CHECK_FALSE(isRead(withoutStart + "}"));
  // A lone start or continuation, an overlong form, a surrogate, too large.
  for (std::string_view bytes : { "\xFF\xFE",
                                  "\xC3",
                                  "\x80",
                                  "\xC0\xAF",
                                  "\xED\xA0\x80",
                                  "\xF5\x80\x80\x80" }) {
    for (const std::string member : { "service", "version", "zone" }) {
      std::string spec = whole;
      size_t at = spec.find("\"" + member + "\":\"");
      REQUIRE(at != std::string::npos);
      spec.insert(at + member.size() + 4, bytes);
      INFO(member);
      CHECK_FALSE(isRead(spec));
    }
  }
  std::string withText = whole;
  withText.insert(withText.find("\"version\":\"") + 11, "\xC3\xA9\xE2\x82\xAC");
  CHECK(isRead(withText));
}

TEST_CASE("An entry without a version or a sequence number gives no server")
{
  auto [member, replacement] = GENERATE(table<std::string, std::string>({
    { R"("version":"v1",)", "" },
    { R"("version":"v1")", R"("version":1)" },
    { R"("version":"v1")", R"("version":null)" },
    { R"("seq":4,)", "" },
    { R"("seq":4)", R"("seq":"4")" },
    { R"("seq":4)", R"("seq":4.5)" },
  }));
  std::string spec = MakeServerSpec("ready");
  spec.replace(spec.find(member), member.size(), replacement);
  auto page = ObjectFormat::ParseServersList(
    MakeList(MakeObject("host-7f3a91c6", spec)), kEra);
  REQUIRE(page.ok());
  REQUIRE(page->changes.size() == 1);
  CHECK_FALSE(page->changes[0].entry);
}

TEST_CASE("A body that is not a list is an error, not an empty list")
{
  for (const char* body : { "", "{", "[]", R"({"items":[]})", "null" }) {
    CHECK_FALSE(ObjectFormat::ParseServersList(body, kEra).ok());
    CHECK_FALSE(ObjectFormat::ParseServersWatch(body, kEra).ok());
  }
}

TEST_CASE("A watch response with a tombstone gives a removal and the "
          "response's revision")
{
  auto page = ObjectFormat::ParseServersWatch(
    R"({"events":[{"tombstone":true,"object":)" +
      MakeObject("i-7", MakeServerSpec("ready")) + R"(}],"as_of":533})",
    kEra);
  REQUIRE(page.ok());
  CHECK(page->position == StorePosition(kEra, 533));
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
  auto page =
    ObjectFormat::ParseConfigList(MakeList(MakeObject("main", spec)), kEra);
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

TEST_CASE("A configuration says which requests may be repeated, which regions "
          "may serve a route, and what a cold server bears")
{
  std::string route = R"("host":"198.18.0.1","service":"s","path_prefix":)";
  std::string spec =
    R"({"version":7,"routes":[)"
    R"({"type":"idempotent","allowed_regions":["r","q"],)" +
    route + R"("/1/"},{"type":"download",)" + route +
    R"("/2/"},{"type":"non_idempotent",)" + route + R"("/3/"},{)" + route +
    R"("/4/"},{"allowed_regions":"r",)" + route +
    R"("/5/"},{"allowed_regions":[7],)" + route +
    R"("/6/"}],"services":[{"name":"s","warmup_per_s":2.5},)"
    R"({"name":"t","warmup_per_s":0.0},{"name":"u","warmup_per_s":"9"},7]})";
  auto page =
    ObjectFormat::ParseConfigList(MakeList(MakeObject("main", spec)), kEra);
  REQUIRE(page.ok());
  REQUIRE(page->changes[0].config);
  const steer::Config& config = *page->changes[0].config;
  // A route whose regions cannot be read is left out, not served everywhere.
  REQUIRE(config.routes.size() == 4);
  CHECK(config.routes[0].repeatable);
  CHECK(config.routes[0].regions == std::vector<std::string>{ "r", "q" });
  CHECK(config.routes[1].repeatable);
  CHECK_FALSE(config.routes[2].repeatable);
  CHECK_FALSE(config.routes[3].repeatable);
  CHECK(config.routes[3].regions.empty());
  CHECK(config.services == std::vector<steer::ServiceEntry>{ { "s", 2.5 } });
}

TEST_CASE("An object of the configuration's kind with another name is not a "
          "configuration")
{
  auto page = ObjectFormat::ParseConfigList(
    MakeList(MakeObject("other", R"({"version":9,"routes":[]})")), kEra);
  REQUIRE(page.ok());
  CHECK_FALSE(page->changes[0].config);
}

TEST_CASE("A malformed entry keeps its name and leaves the others readable, in "
          "lists and in watches")
{
  std::string first = MakeObject("i-1", MakeServerSpec("ready"));
  std::string last = MakeObject("i-3", MakeServerSpec("ready"));
  for (const std::string& spec : MakeMalformedSpecs()) {
    std::string malformed = MakeObject("i-2", spec);
    auto list = ObjectFormat::ParseServersList(
      MakeList(absl::StrCat(first, ",", malformed, ",", last)), kEra);
    auto watch = ObjectFormat::ParseServersWatch(
      MakeEvents({ first, malformed, last }), kEra);
    for (const auto* page : { &list, &watch }) {
      INFO(spec.substr(0, 100));
      REQUIRE(page->ok());
      REQUIRE((*page)->changes.size() == 3);
      CHECK((*page)->changes[0].entry);
      CHECK((*page)->changes[1].name == "i-2");
      CHECK_FALSE((*page)->changes[1].entry);
      CHECK((*page)->changes[2].entry);
    }
  }
}

TEST_CASE("Objects without a readable name are counted and left out")
{
  std::string valid = MakeObject("i-1", MakeServerSpec("ready"));
  for (const std::string& malformed : {
         std::string("17"),
         MakeObject("\\ud800", MakeServerSpec("ready")),
         MakeObject("", MakeServerSpec("ready")),
         Nested(2'000'000, "[", "]"),
         Nested(2'000'000, "{\"meta\":", "}"),
       }) {
    auto page = ObjectFormat::ParseServersList(
      MakeList(absl::StrCat(valid, ",", malformed)), kEra);
    INFO(malformed.substr(0, 100));
    REQUIRE(page.ok());
    CHECK(page->changes.size() == 1);
    CHECK(page->unnamed == 1);
    CHECK(page->lastName == "i-1");
  }
}

TEST_CASE("An object with a long name is left out, and the next page starts "
          "after it")
{
  std::string longName(100'000, 'x');
  auto page = ObjectFormat::ParseServersList(
    MakeList(MakeObject(longName, MakeServerSpec("ready"))), kEra);
  REQUIRE(page.ok());
  CHECK(page->changes.empty());
  CHECK(page->unnamed == 1);
  CHECK(page->lastName == longName);
}

TEST_CASE("The name after which a page starts is escaped in the path")
{
  CHECK(ObjectFormat::ServersListPath("i-1") == "/-/objects/servers?after=i-1");
  CHECK(ObjectFormat::ServersListPath("a b&c=\n#%") ==
        "/-/objects/servers?after=a%20b%26c%3D%0A%23%25");
}

TEST_CASE("A malformed route leaves the others readable")
{
  std::string good = R"({"name":"a","host":"198.18.0.1",)"
                     R"("path_prefix":"/8080/","service":"s"})";
  for (const std::string& value : MakeMalformedValues()) {
    std::string malformed = R"({"name":"malformed","host":"198.18.0.1",)"
                            R"("path_prefix":"/8081/","service":)" +
                            value + "}";
    std::string spec =
      absl::StrCat(R"({"version":7,"routes":[)",
                   absl::StrJoin({ good, malformed, good }, ","),
                   R"(],"limits":{"idle_timeout_ms":15000}})");
    auto page =
      ObjectFormat::ParseConfigList(MakeList(MakeObject("main", spec)), kEra);
    INFO(value.substr(0, 100));
    REQUIRE(page.ok());
    REQUIRE(page->changes[0].config);
    CHECK(page->changes[0].config->routes.size() == 2);
    CHECK(page->changes[0].config->idle == 15 * kSecond);
    CHECK(page->changes[0].unreadableRoutes ==
          std::vector<std::string>{ "malformed" });
  }
}

TEST_CASE("A configuration whose version is malformed is unreadable")
{
  for (const std::string& value : MakeMalformedValues()) {
    auto page = ObjectFormat::ParseConfigList(
      MakeList(
        MakeObject("main", R"({"version":)" + value + R"(,"routes":[]})")),
      kEra);
    REQUIRE(page.ok());
    CHECK_FALSE(page->changes[0].config);
  }
}

TEST_CASE("A body that is cut off is an error at each length")
{
  std::string body = MakeList(MakeObject("i-1", MakeServerSpec("ready")));
  for (size_t i = 0; i < body.size(); ++i) {
    CHECK_FALSE(ObjectFormat::ParseServersList(body.substr(0, i), kEra).ok());
  }
}

// The operators' page says that the name of the object is the zone's.
TEST_CASE("Each named request to drain a zone counts, whatever its content")
{
  std::string items =
    absl::StrJoin({ MakeObject("jkt", "{}"),
                    MakeObject("bdg", "{\"odd\":1e999}"),
                    std::string(R"({"meta":{"revision":9},"spec":{}})"),
                    std::string(R"({"meta":{"name":"smg"}})") },
                  ",");
  auto list = ObjectFormat::ParseDrainsList(MakeList(items), kEra);
  REQUIRE(list.ok());
  CHECK(list->position == StorePosition(kEra, 530));
  CHECK(list->unnamed == 1);
  REQUIRE(list->changes.size() == 3);
  CHECK(list->changes[0].zone == "jkt");
  CHECK(list->changes[0].position == StorePosition(kEra, 412));
  CHECK(list->changes[1].zone == "bdg");
  CHECK(list->changes[2].zone == "smg");
  auto watch = ObjectFormat::ParseDrainsWatch(
    R"({"events":[{"object":)" + MakeObject("jkt", "{}") +
      R"(,"tombstone":true}],"as_of":531})",
    kEra);
  REQUIRE(watch.ok());
  REQUIRE(watch->changes.size() == 1);
  CHECK(watch->changes[0].removed);
  CHECK(ObjectFormat::DrainsListPath("") == "/-/objects/evacuations");
  CHECK(ObjectFormat::DrainsWatchPath(7, 2500) ==
        "/-/objects/evacuations?watch=7&wait_ms=2500");
}

}
