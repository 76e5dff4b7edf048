// Guards against an operators' page that lacks a setting, reason, path, retry,
// metric or table column of the daemon: each must stand there in backticks. The
// names of the metrics are found in the source of their calls.
#include "core/types.h"
#include "daemon/node.h"
#include "daemon/settings.h"
#include "support/source_file.h"

#include <catch2/catch.hpp>
#include <sstream>

namespace gentianspindle {

TEST_CASE("The operators' page names all settings, reasons and paths")
{
  std::string page = ReadSource("docs/OPERATING.md");
  auto checkNamed = [&](std::string_view aName) {
    INFO(aName);
    CHECK(page.find("`" + std::string(aName) + "`") != std::string::npos);
  };
  for (const SettingField<Settings>& field : kSettingsFields) {
    checkNamed(std::string(field.key.section) + "." +
               std::string(field.key.key));
  }
  for (size_t i = 1; i < kReasonNames.size(); ++i) {
    checkNamed(kReasonNames[i]);
  }
  for (std::string_view path : kPathNames) {
    checkNamed(path);
  }
  for (std::string_view retry : kRetryNames) {
    checkNamed(retry);
  }
}

TEST_CASE("The operators' page names all metrics and table columns")
{
  std::string page = ReadSource("docs/OPERATING.md");
  std::string metricsSource = ReadSource("src/daemon/metrics.cpp");
  size_t nameCount = 0;
  for (std::string_view prefix : { "Add(families, \"", "aFamilies, \"" }) {
    for (size_t at = metricsSource.find(prefix); at != std::string::npos;
         at = metricsSource.find(prefix, at + 1)) {
      size_t start = at + prefix.size();
      std::string name =
        metricsSource.substr(start, metricsSource.find('"', start) - start);
      INFO(name);
      CHECK(page.find("`gentianspindle_" + name + "`") != std::string::npos);
      ++nameCount;
    }
  }
  CHECK(nameCount >= 8);
  std::istringstream header(ReadSource("examples/panji-table.csv"));
  std::string column;
  for (size_t i = 0; i < 10 && std::getline(header, column, ','); ++i) {
    INFO(column);
    CHECK(page.find("`" + column + "`") != std::string::npos);
  }
}

}
