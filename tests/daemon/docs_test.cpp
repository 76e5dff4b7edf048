// The operators' page names everything that the code has.
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
  auto names = [&](std::string_view aName) {
    INFO(aName);
    CHECK(page.find("`" + std::string(aName) + "`") != std::string::npos);
  };
  for (const SettingField<Settings>& field : kSettingsFields) {
    names(std::string(field.key.section) + "." + std::string(field.key.key));
  }
  for (size_t i = 1; i < kReasonNames.size(); ++i) {
    names(kReasonNames[i]);
  }
  for (std::string_view path : kPathNames) {
    names(path);
  }
  for (std::string_view retry : kRetryNames) {
    names(retry);
  }
}

TEST_CASE("The operators' page names all metrics and table columns")
{
  std::string page = ReadSource("docs/OPERATING.md");
  std::string metrics = ReadSource("src/daemon/metrics.cpp");
  size_t found = 0;
  for (std::string_view call : { "Add(families, \"", "aFamilies, \"" }) {
    for (size_t at = metrics.find(call); at != std::string::npos;
         at = metrics.find(call, at + 1)) {
      size_t start = at + call.size();
      std::string name =
        metrics.substr(start, metrics.find('"', start) - start);
      INFO(name);
      CHECK(page.find("`gentianspindle_" + name + "`") != std::string::npos);
      ++found;
    }
  }
  CHECK(found >= 8);
  std::istringstream header(ReadSource("examples/panji-table.csv"));
  std::string column;
  for (size_t i = 0; i < 10 && std::getline(header, column, ','); ++i) {
    INFO(column);
    CHECK(page.find("`" + column + "`") != std::string::npos);
  }
}

}
