// Guards against an operators' page that lacks a setting, reason, outcome,
// failure, metric or log event of the tagged daemon: each must stand there as
// code, in backticks.
#include "spread/spread.h"
#include "support/source_file.h"
#include "tagged/metrics.h"
#include "tagged/settings.h"

#include <catch2/catch.hpp>
#include <regex>
#include <sstream>

namespace gentianspindle {

namespace {

// Checks that aPage has aName in backticks.
void
CheckPageNames(const std::string& aPage, const std::string& aName)
{
  INFO(aName);
  CHECK(aPage.find("`" + aName + "`") != std::string::npos);
}

}

TEST_CASE("OPERATIONS.md names all settings, reasons, outcomes and failures")
{
  std::string page = ReadSource("docs/OPERATIONS.md");
  REQUIRE_FALSE(page.empty());
  for (const auto& field : kTaggedSettingsFields) {
    CheckPageNames(
      page, std::string(field.key.section) + "." + std::string(field.key.key));
  }
  for (std::string_view name : steer::kReasonNames) {
    CheckPageNames(page, std::string(name));
  }
  for (std::string_view name : steer::kOutcomeNames) {
    CheckPageNames(page, std::string(name));
  }
  for (std::string_view name : tagged::kStoreFailureNames) {
    CheckPageNames(page, std::string(name));
  }
  for (std::string_view name : tagged::kViewRequestFailureNames) {
    CheckPageNames(page, std::string(name));
  }
  for (std::string_view name : steer::kEvidenceNames) {
    CheckPageNames(page, std::string(name));
  }
  for (std::string_view name : steer::kProbeResultNames) {
    CheckPageNames(page, std::string(name));
  }
  for (std::string_view name : steer::kVerdictChangeNames) {
    CheckPageNames(page, std::string(name));
  }
  for (std::string_view name : tagged::kEntryKindNames) {
    CheckPageNames(page, std::string(name));
  }
  for (std::string_view name : spread::kReadReasonNames) {
    // ReadReason::None has no name.
    if (!name.empty()) {
      CheckPageNames(page, std::string(name));
    }
  }
}

TEST_CASE(
  "OPERATIONS.md names the metrics and log events that the patterns find")
{
  std::string page = ReadSource("docs/OPERATIONS.md");
  std::string metricsSource = ReadSource("src/tagged/metrics.cpp");
  std::regex metricPattern(
    "(?:counter|gauge|writer\\.Table|writer\\.Latency|aWriter\\.Table)"
    "\\(\\s*\"(\\w+)\"");
  size_t nameCount = 0;
  for (std::sregex_iterator
         match(metricsSource.begin(), metricsSource.end(), metricPattern),
       end;
       match != end;
       ++match) {
    CheckPageNames(page, "gentianspindle_" + (*match)[1].str());
    ++nameCount;
  }
  // Fewer if the pattern no longer fits the source.
  CHECK(nameCount >= 20);
  std::string nodeSource = ReadSource("src/tagged/node_impl.h") +
                           ReadSource("src/tagged/node_packets.h") +
                           ReadSource("src/tagged/node_detect.h") +
                           ReadSource("src/tagged/sync.cpp") +
                           ReadSource("src/tagged/sync_log.cpp") +
                           ReadSource("src/tagged/sync_peers.cpp");
  // The first group is the other name of a conditional.
  std::regex eventPattern(
    "LogLine \\w+\\((?:\\w+ \\? \"(\\w+)\" : )?\"(\\w+)\"\\)");
  nameCount = 0;
  for (std::sregex_iterator
         match(nodeSource.begin(), nodeSource.end(), eventPattern),
       end;
       match != end;
       ++match) {
    for (size_t group : { 1, 2 }) {
      if ((*match)[group].matched) {
        CheckPageNames(page, (*match)[group].str());
        ++nameCount;
      }
    }
  }
  // Fewer if the pattern no longer fits the source.
  CHECK(nameCount >= 17);
}

}
