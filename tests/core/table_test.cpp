// Parsing of tables, and the checks of a change from one table to the next.
#include "core/table.h"
#include "support/examples.h"

#include <catch2/catch.hpp>

namespace gentianspindle {

namespace {

const std::string kHeader =
  "service,address,port,protocol,server,zone,weight,slots,connections,"
  "wait_ms,state\n";

// Returns whether aFaults has one of this row and column that contains aReason.
bool
HasFault(const std::vector<TableFault>& aFaults,
         size_t aRow,
         const std::string& aColumn,
         const std::string& aReason)
{
  return std::any_of(
    aFaults.begin(), aFaults.end(), [&](const TableFault& aFault) {
      return aFault.row == aRow && aFault.column == aColumn &&
             aFault.reason.find(aReason) != std::string::npos;
    });
}

}

TEST_CASE("A table that is formatted and parsed has the same services again")
{
  Table table = MakeTable(Panji());
  TableCheck check = ParseTable(FormatTable(table));
  REQUIRE(check.faults.empty());
  CHECK(check.table.services == table.services);
}

TEST_CASE("All faults of a table's rows are reported at once")
{
  TableCheck check = ParseTable(
    kHeader + "a,203.0.113.1,443,tcp,10.0.0.1,z,10,2,2000,400,serving\n"
              "a,203.0.113.1,443,tcp,10.0.0.1,z,10,2,2000,400,serving\n"
              "a,203.0.113.1,444,tcp,10.0.0.2,z,0,2,2000,400,serving\n"
              "b,203.0.113.1,443,tcp,10.0.0.1,z,10,2,1,99999,gone\n"
              "c,203.0.113.3,443,icmp,10.0.0.256,z!,10,2,2000,400,draining\n"
              "short,row\n");
  CHECK(HasFault(check.faults, 3, "server", "twice"));
  CHECK(HasFault(check.faults, 4, "address", "differ"));
  CHECK(HasFault(check.faults, 4, "weight", "from 1 to 1000"));
  CHECK(HasFault(check.faults, 5, "address", "service 'a'"));
  CHECK(HasFault(check.faults, 5, "server", "service 'a'"));
  CHECK(HasFault(check.faults, 5, "connections", "below slots"));
  CHECK(HasFault(check.faults, 5, "wait_ms", "60000"));
  CHECK(HasFault(check.faults, 5, "state", "neither"));
  CHECK(HasFault(check.faults, 6, "protocol", "neither"));
  CHECK(HasFault(check.faults, 6, "server", "not an IPv4"));
  CHECK(HasFault(check.faults, 6, "zone", "not a name"));
  CHECK(HasFault(check.faults, 7, "", "2 fields"));
  CHECK(HasFault(check.faults, 0, "state", "no serving server"));
}

TEST_CASE("Unknown, missing and repeated columns of a table are faults")
{
  TableCheck check = ParseTable("service,address,port,port,hue\na,b,c,d,e\n");
  CHECK(HasFault(check.faults, 1, "port", "twice"));
  CHECK(HasFault(check.faults, 1, "hue", "not known"));
  CHECK(HasFault(check.faults, 1, "server", "missing"));
}

TEST_CASE(
  "A server cannot move to another service while it may have open flows")
{
  Table current = MakeTable(Panji());
  Table next = current;
  ServerRow moved = next.services[0].rows.back();
  next.services[0].rows.pop_back();
  next.services[1].rows.push_back(moved);
  CHECK(HasFault(CheckChange(current, next, {}), 0, "server", "still serves"));

  // Nor can it move after its row is gone, as long as its former row is kept.
  Table withoutRow = current;
  withoutRow.services[0].rows.pop_back();
  Table successor = MakeSuccessor(current, withoutRow);
  CHECK(CheckChange(current, withoutRow, {}).empty());
  CHECK(
    HasFault(CheckChange(successor, next, {}), 0, "server", "still serves"));
}

TEST_CASE("A table with a server in a zone without instances is refused")
{
  Table table = MakeTable(Panji());
  // All zones of the table's servers but 'sby'.
  std::vector<std::string> zones{ "jkt", "bdg", "smg" };
  CHECK(HasFault(CheckChange({}, table, zones), 0, "zone", "'sby'"));
}

TEST_CASE("A service can be removed only when all its servers are draining")
{
  Table current = MakeTable(Panji());
  Table next = current;
  next.services.pop_back();
  CHECK(HasFault(CheckChange(current, next, {}), 0, "service", "is serving"));
  for (ServerRow& row : current.services[1].rows) {
    row.draining = true;
  }
  CHECK(CheckChange(current, next, {}).empty());
}

TEST_CASE(
  "A successor table keeps a limited number of former versions of its rows")
{
  Table table = MakeTable(Panji());
  for (uint32_t weight = 20; weight < 30; ++weight) {
    Table next = table;
    next.services[0].rows[0].weight = weight;
    table = MakeSuccessor(table, next);
  }
  // MakeTable gave version 1.
  CHECK(table.version == 11);
  REQUIRE(table.services[0].former.size() == kMaxFormerVersions);
  CHECK(table.services[0].former[0][0].weight == 28);
  CHECK(table.services[1].former.empty());
}

}
