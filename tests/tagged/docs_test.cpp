// The operators' page names everything that the tagged daemon has.
#include "spread/spread.h"
#include "support/source_file.h"
#include "tagged/metrics.h"
#include "tagged/settings.h"

#include <catch2/catch.hpp>
#include <regex>
#include <sstream>

namespace gentianspindle {

namespace {

void
CheckNamed(const std::string& aPage, const std::string& aName)
{
  INFO(aName);
  CHECK(aPage.find("`" + aName + "`") != std::string::npos);
}

}

TEST_CASE("OPERATIONS.md names all settings, reasons, metrics and events")
{
  std::string page = ReadSource("docs/OPERATIONS.md");
  REQUIRE_FALSE(page.empty());
  for (const auto& field : kTaggedSettingsFields) {
    CheckNamed(
      page, std::string(field.key.section) + "." + std::string(field.key.key));
  }
  for (std::string_view name : steer::kReasonNames) {
    CheckNamed(page, std::string(name));
  }
  for (std::string_view name : steer::kOutcomeNames) {
    CheckNamed(page, std::string(name));
  }
  for (std::string_view name : tagged::kStoreRetryNames) {
    CheckNamed(page, std::string(name));
  }
  for (std::string_view name : tagged::kPeerRetryNames) {
    CheckNamed(page, std::string(name));
  }
  for (std::string_view name : spread::kReadReasonNames) {
    if (!name.empty()) {
      CheckNamed(page, std::string(name));
    }
  }
}

TEST_CASE("OPERATIONS.md names all metrics and log events of the sources")
{
  std::string page = ReadSource("docs/OPERATIONS.md");
  std::string metrics = ReadSource("src/tagged/metrics.cpp");
  std::regex metric(
    "(?:counter|gauge|writer\\.Table|writer\\.Latency|aWriter\\.Table)"
    "\\(\\s*\"(\\w+)\"");
  size_t found = 0;
  for (std::sregex_iterator at(metrics.begin(), metrics.end(), metric), end;
       at != end;
       ++at) {
    CheckNamed(page, "gentianspindle_" + (*at)[1].str());
    ++found;
  }
  CHECK(found >= 20);
  std::string node =
    ReadSource("src/tagged/node_impl.h") + ReadSource("src/tagged/sync.cpp");
  std::regex event("LogLine \\w+\\((?:\\w+ \\? \"\\w+\" : )?\"(\\w+)\"\\)");
  found = 0;
  for (std::sregex_iterator at(node.begin(), node.end(), event), end; at != end;
       ++at) {
    CheckNamed(page, (*at)[1].str());
    ++found;
  }
  CHECK(found >= 12);
}

}
