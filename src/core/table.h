// The shared table of services: parsing, checks, and the change from one
// version to the next.
#pragma once

#include "base/address.h"
#include "core/types.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianspindle {

// Max. number of former versions of a service's rows that are kept to look
// flows up.
constexpr size_t kMaxFormerVersions = 4;

// A backend server of a service.
struct ServerRow
{
  Address address = 0;
  std::string zone;
  uint32_t weight = 1;
  uint32_t slots = 1;       // max. concurrent requests
  uint32_t connections = 1; // max. open flows
  bool draining = false;    // gets no new flows

  friend bool operator==(const ServerRow&, const ServerRow&) = default;
};

struct Service
{
  std::string name;
  ServiceKey key;
  // Max. time that a new flow is held, milliseconds; with 0 none is held.
  uint32_t waitMs = 0;
  std::vector<ServerRow> rows;
  // Rows of former versions, newest first; their flows may still be open.
  std::vector<std::vector<ServerRow>> former;

  friend bool operator==(const Service&, const Service&) = default;
};

struct Table
{
  int64_t version = 0;
  std::vector<Service> services;
};

// Null if aTable has no such service.
const Service*
FindService(const Table& aTable, const std::string& aName);

// One reason to refuse a table. Row 1 is the header; blank lines are not
// counted. Row 0 is the table as a whole. column is empty for a whole row.
struct TableFault
{
  size_t row = 0;
  std::string column;
  std::string reason;
};

struct TableCheck
{
  Table table;
  std::vector<TableFault> faults;
};

// Parses a table in CSV and finds the faults that do not depend on the current
// table: all faults of the rows, if the quotes and the header have none.
TableCheck
ParseTable(std::string_view aCsv);

// Finds the faults of aNext as the successor of aNow, the current table. aZones
// are the zones that have an instance; empty if they are not known.
std::vector<TableFault>
CheckChange(const Table& aNow,
            const Table& aNext,
            std::span<const std::string> aZones);

// Returns aNext with the version number after that of aNow, and with the former
// rows of each service: the rows of aNow, if they differ, and its former rows,
// kMaxFormerVersions versions at most.
Table
MakeSuccessor(const Table& aNow, const Table& aNext);

// Returns the table as CSV, without former rows.
std::string
FormatTable(const Table& aTable);

}
