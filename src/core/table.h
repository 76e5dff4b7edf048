// The shared table: parsing, checks, and the change from one version to the
// next.
#pragma once

#include "base/address.h"
#include "core/types.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianspindle {

// Former rows of a service that are kept for looking flows up.
constexpr size_t kMaxFormerRows = 4;

struct ServerRow
{
  Address address = 0;
  std::string zone;
  uint32_t weight = 1;
  uint32_t slots = 1;       // requests at a time
  uint32_t connections = 1; // open flows
  bool draining = false;

  friend bool operator==(const ServerRow&, const ServerRow&) = default;
};

struct Service
{
  std::string name;
  ServiceKey key;
  uint32_t waitMs = 0; // longest hold of a new flow, milliseconds
  std::vector<ServerRow> rows;
  // Rows of former versions, newest first; flows of their time may live.
  std::vector<std::vector<ServerRow>> former;

  friend bool operator==(const Service&, const Service&) = default;
};

struct Table
{
  int64_t version = 0;
  std::vector<Service> services;
};

// Null where aTable has no such service.
const Service*
FindService(const Table& aTable, const std::string& aName);

// One reason to refuse a table; row counts from 1, the header line being 1.
// Row 0 means the table as a whole.
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

// Parses the spreadsheet and finds all faults that it shows by itself.
TableCheck
ParseTable(std::string_view aCsv);

// Faults of aNext as the successor of aNow. aZones are the zones that have
// an instance; empty where they are not known.
std::vector<TableFault>
CheckChange(const Table& aNow,
            const Table& aNext,
            std::span<const std::string> aZones);

// aNext with the former rows that lookups still need and the next version.
Table
MakeSuccessor(const Table& aNow, const Table& aNext);

// The table as a spreadsheet; former rows are left out.
std::string
FormatTable(const Table& aTable);

}
