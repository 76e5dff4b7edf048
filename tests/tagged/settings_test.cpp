#include "support/source_file.h"
#include "tagged/settings.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <unistd.h>

namespace gentianspindle {

namespace {

// Valid settings that leave most keys to their defaults. They end in section
// [store], so that a test can add keys to it.
const std::string kValidSettings =
  "[instance]\nname = \"n\"\naddress = \"10.0.0.1\"\n"
  "zone = \"a\"\n[fabric]\npackets = \"10.0.0.1:1\"\n"
  "[ready]\nlisten = \"10.0.0.1:2\"\n"
  "[store]\naddress = \"10.0.0.9:3\"\n";

}

TEST_CASE("Omitted settings of the tagged daemon get their defaults")
{
  auto settings = ParseTaggedSettings(kValidSettings, "file");
  REQUIRE(settings.ok());
  CHECK(settings->store.watchMs == 1000);
  CHECK(settings->instance.cores == 1);
  CHECK(settings->stop.graceMs == 6000);
  CHECK(settings->peers.seeds.empty());
}

namespace {

// Renders a section of the template as the platform does: once with its value,
// or not at all if the platform hands out none.
void
FillSection(std::string& aText,
            const std::string& aName,
            const std::string& aValue)
{
  std::string opening = "{{#" + aName + "}}";
  std::string closing = "{{/" + aName + "}}";
  std::string placeholder = "{{" + aName + "}}";
  size_t from = aText.find(opening);
  size_t to = aText.find(closing);
  INFO(aName);
  REQUIRE(from < to);
  REQUIRE(to != std::string::npos);
  size_t insideAt = from + opening.size();
  std::string inside = aText.substr(insideAt, to - insideAt);
  size_t at = inside.find(placeholder);
  if (at != std::string::npos) {
    inside.replace(at, placeholder.size(), aValue);
  } else if (inside.find("{{") != std::string::npos) {
    inside = aValue; // of a table, already rendered
  }
  aText.replace(
    from, to + closing.size() - from, aValue.empty() ? std::string() : inside);
}

// Values that a platform may hand out or leave out, by name.
using PlatformValues = std::map<std::string, std::string>;

// Fills in the platform's template with plain values, as the platform does.
std::string
FillTemplate(const std::string& aGraceSeconds,
             const PlatformValues& aValues = {})
{
  std::string text = ReadSource("platform/settings.template");
  REQUIRE_FALSE(text.empty());
  for (const char* name : { "policy_values.evacuate_ms",
                            "policy_values.reorder_ms",
                            "policy_values.warmup_overage",
                            "policy_values.warmup_slack",
                            "zones" }) {
    auto value = aValues.find(name);
    FillSection(text, name, value == aValues.end() ? "" : value->second);
  }
  for (const auto& [name, value] :
       std::vector<std::pair<std::string, std::string>>{
         { "{{node_name}}", "frontend-1" },
         { "{{ip}}", "10.0.0.1" },
         { "{{zone}}", "a" },
         { "{{limits.cpu_share}}", "0.055" },
         { "{{listen_addrs.packet_addr}}", "10.0.0.1:1" },
         { "{{listen_addrs.readiness}}", "10.0.0.1:2" },
         { "{{platform.address}}", "10.0.0.9:3" },
         { "{{internal_ports.0}}", "7720" },
         { "{{seeds|json}}", "[\"10.0.0.2:8166\"]" },
         { "{{policy_values.grace_s}}", aGraceSeconds },
       }) {
    size_t at = text.find(name);
    REQUIRE(at != std::string::npos);
    text.replace(at, name.size(), value);
  }
  REQUIRE(text.find("{{") == std::string::npos);
  return text;
}

}

TEST_CASE("The platform's template works with and without warm-up bounds")
{
  auto without = ParseTaggedSettings(FillTemplate("6"), "file");
  REQUIRE(without.ok());
  CHECK(without->warmup.overage == 1);
  CHECK(without->warmup.slack == 0);
  auto with = ParseTaggedSettings(
    FillTemplate("6",
                 { { "policy_values.warmup_overage", "1.5" },
                   { "policy_values.warmup_slack", "5" } }),
    "file");
  REQUIRE(with.ok());
  CHECK(with->warmup.overage == 1.5);
  CHECK(with->warmup.slack == 5);
}

// Guards against a daemon that doesn't start: the template appended zeros to
// the seconds, and a fraction of them was refused.
TEST_CASE("The platform's template takes each grace period in seconds")
{
  for (const auto& [seconds, milliseconds] :
       std::vector<std::pair<std::string, double>>{
         { "6", 6000 },
         { "5.5", 5500 },
         { "6.0", 6000 },
         { "0.25", 250 },
         { "0", 0 },
         { "3600", 3'600'000 },
       }) {
    INFO(seconds);
    auto settings = ParseTaggedSettings(FillTemplate(seconds), "file");
    INFO(settings.status().ToString());
    REQUIRE(settings.ok());
    CHECK(settings->stop.graceMs == milliseconds);
  }
}

TEST_CASE(
  "The platform's template takes the bound of drains and the regions of "
  "zones, or none")
{
  auto none = ParseTaggedSettings(FillTemplate("6"), "file");
  REQUIRE(none.ok());
  CHECK(none->drain.boundMs == 0);
  for (const auto& [text, milliseconds] :
       std::vector<std::pair<std::string, double>>{ { "2500.5", 2500.5 },
                                                    { "5000", 5000 } }) {
    auto bound = ParseTaggedSettings(
      FillTemplate("6", { { "policy_values.evacuate_ms", text } }), "file");
    REQUIRE(bound.ok());
    CHECK(bound->drain.boundMs == milliseconds);
  }
}

TEST_CASE("The platform's template probes servers where flows are promised")
{
  auto settings = ParseTaggedSettings(
    FillTemplate("6", { { "policy_values.reorder_ms", "2000" } }), "file");
  REQUIRE(settings.ok());
  CHECK(settings->detect.probesPerS > 0);
  settings = ParseTaggedSettings(FillTemplate("6"), "file");
  REQUIRE(settings.ok());
  CHECK(settings->detect.probesPerS == 0);
}

TEST_CASE("The platform's template takes the region of each zone, or none")
{
  auto none = ParseTaggedSettings(FillTemplate("6"), "file");
  REQUIRE(none.ok());
  CHECK(none->regions.zones.empty());
  auto filled = ParseTaggedSettings(
    FillTemplate("6", { { "zones", R"("jkt=jawa","bdg=jawa")" } }), "file");
  INFO(filled.status().ToString());
  REQUIRE(filled.ok());
  auto regions = ParseRegions(filled->regions.zones);
  REQUIRE(regions.ok());
  CHECK(regions->size() == 2);
  CHECK(regions->at("bdg") == "jawa");
}

TEST_CASE("A zone without a region, or with two, is refused")
{
  for (const char* entry :
       { "jkt", "=jawa", "jkt=", "", "a=b\",\"a=c", "a=b\",\"a=b" }) {
    INFO(entry);
    std::string text = kValidSettings + "[regions]\nzones = [\"" + entry;
    auto settings = ParseTaggedSettings(text + "\"]\n", "file");
    REQUIRE_FALSE(settings.ok());
    CHECK(std::string(settings.status().message()).find("regions.zones") !=
          std::string::npos);
  }
}

// Guards against second openings, which could move an open flow: an operator
// who has asked for them is told that there are none.
TEST_CASE("A budget of second openings is refused with the reason")
{
  std::string text = kValidSettings + "[race]\nbudget = ";
  CHECK(ParseTaggedSettings(text + "0\n", "file").ok());
  for (const char* budget : { "0.02", "0.2", "1" }) {
    auto settings = ParseTaggedSettings(text + budget + "\n", "file");
    REQUIRE_FALSE(settings.ok());
    std::string message(settings.status().message());
    CHECK(message.find("race.budget: second openings are no longer sent") !=
          std::string::npos);
  }
}

TEST_CASE(
  "The list of seeds may have none, and cores may be a fraction but not a "
  "string")
{
  std::string text = kValidSettings + "[peers]\nport = 7720\nseeds = []\n";
  auto settings = ParseTaggedSettings(text, "file");
  REQUIRE(settings.ok());
  CHECK(settings->peers.seeds.empty());
  text.replace(text.find("zone ="), 0, "cores = 0.038\n");
  settings = ParseTaggedSettings(text, "file");
  REQUIRE(settings.ok());
  CHECK(settings->instance.cores == 0.038);
  text.replace(text.find("0.038"), 5, "\"x\"");
  CHECK_FALSE(ParseTaggedSettings(text, "file").ok());
}

TEST_CASE("Bad settings of the tagged daemon are refused with the reason")
{
  for (const auto& [extra, reason] :
       std::vector<std::pair<std::string, std::string>>{
         { "watch_ms = 1\n", "store.watch_ms: 1 is not from 100" },
         { "other = 1\n", "store.other: key is not known" },
         { "[wrong]\nx = 1\n", "wrong: section is not known" },
         { "watch_ms = \"x\"\n", "must be a whole number" },
       }) {
    auto settings = ParseTaggedSettings(kValidSettings + extra, "file");
    REQUIRE_FALSE(settings.ok());
    CHECK(std::string(settings.status().message()).find(reason) !=
          std::string::npos);
  }
}

TEST_CASE("Settings that are very deep, long or large in number are refused")
{
  std::string deep(20'000, '[');
  std::string keys = "a";
  for (int i = 0; i < 10'000; ++i) {
    keys += ".a";
  }
  std::string longKeys;
  for (int i = 0; i < 50; ++i) {
    longKeys += keys + ".";
  }
  for (const std::string& extra : {
         "other = " + deep + std::string(20'000, ']') + "\n",
         "other = " + deep + "\n",
         keys + " = 1\n",
         longKeys + "a = 1\n",
         "watch_ms = " + std::string(400, '9') + "\n",
         std::string("watch_ms = 1e999\n"),
         std::string("watch_ms = nan\n"),
         std::string("watch_ms = 9223372036854775808\n"),
         std::string("watch_ms = \"\\ud800\"\n"),
         std::string("watch_ms = \"\xff\"\n"),
       }) {
    INFO(extra.substr(0, 60));
    CHECK_FALSE(ParseTaggedSettings(kValidSettings + extra, "file").ok());
  }
  std::string noNumber = kValidSettings;
  noNumber.replace(noNumber.find("zone ="), 0, "cores = nan\n");
  CHECK_FALSE(ParseTaggedSettings(noNumber, "file").ok());
}

TEST_CASE("A settings file of megabytes is refused")
{
  std::string path = std::filesystem::temp_directory_path() /
                     ("settings-" + std::to_string(getpid()) + ".toml");
  std::ofstream(path) << kValidSettings << '#' << std::string(1 << 20, 'x');
  auto settings = LoadTaggedSettings(path);
  std::filesystem::remove(path);
  REQUIRE_FALSE(settings.ok());
  CHECK(std::string(settings.status().message()).find("more than") !=
        std::string::npos);
}

}
