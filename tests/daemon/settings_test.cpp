// Guards against settings that are read wrongly, and against errors that do not
// lead an operator to the fault in the file.
#include "daemon/settings.h"

#include <catch2/catch.hpp>

namespace gentianspindle {

namespace {

const std::string kValidSettings = R"([instance]
address = "10.0.0.1"
zone = "jkt"
[fabric]
sources = ["10.0.9.1"]
answer = "10.0.9.1:6081"
[peers]
seeds = ["10.0.0.1:6082", "10.0.0.2:6082"]
key = "sixteen-or-more-characters"
[platform]
url = "http://10.0.8.1:8080"
[metrics]
listen = "10.0.0.1:9100"
)";

// Error message of the settings aText; empty if they are accepted.
std::string
ErrorOf(const std::string& aText)
{
  return std::string(ParseSettings(aText, "f.toml").status().message());
}

// The valid settings with the first aOld replaced by aNew.
std::string
ReplaceInSettings(const std::string& aOld, const std::string& aNew)
{
  std::string text = kValidSettings;
  text.replace(text.find(aOld), aOld.size(), aNew);
  return text;
}

}

TEST_CASE("Valid settings are read, and missing keys get their defaults")
{
  absl::StatusOr<Settings> settings = ParseSettings(kValidSettings, "f.toml");
  REQUIRE(settings.ok());
  CHECK(settings->instance.zone == "jkt");
  CHECK(settings->fabric.port == 6081);
  CHECK(settings->peers.seeds.size() == 2);
}

TEST_CASE("Bad settings are refused with file, line, key and reason")
{
  CHECK(ErrorOf(ReplaceInSettings("zone =", "zoen =")) ==
        "f.toml:3: instance.zoen: key is not known\n"
        "f.toml:0: instance.zone: is missing");
  CHECK(ErrorOf(ReplaceInSettings("10.0.0.1\"", "10.0.0\"")) ==
        "f.toml:2: instance.address: '10.0.0' is not of the form a.b.c.d");
  CHECK(ErrorOf(
          ReplaceInSettings("zone = \"jkt\"", "zone = \"jkt\"\nworkers = 0")) ==
        "f.toml:4: instance.workers: 0 is not from 1 to 64 threads");
  CHECK(ErrorOf(ReplaceInSettings("\"jkt\"", "7")) ==
        "f.toml:3: instance.zone: must be a string");
  CHECK(ErrorOf(ReplaceInSettings("sixteen-or-more-characters", "short")) ==
        "f.toml:9: peers.key: is shorter than 16 characters");
  CHECK(ErrorOf("[instance\n").find("f.toml:1") == 0);
}

}
