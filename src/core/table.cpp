#include "core/table.h"

#include "base/text.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

#include <algorithm>
#include <csv.h>

namespace gentianspindle {

namespace {

constexpr std::array<const char*, 11> kColumns{
  "service", "address", "port",        "protocol", "server", "zone",
  "weight",  "slots",   "connections", "wait_ms",  "state",
};

// Greatest values of the columns, and the greatest length of a name.
constexpr uint32_t kMaxWeight = 1000;
constexpr uint32_t kMaxSlots = 100'000;
constexpr uint32_t kMaxConnections = 10'000'000;
constexpr uint32_t kMaxWaitMs = 60'000;
constexpr size_t kMaxNameBytes = 63;

// Rows of fields that the CSV library has parsed so far.
struct CsvReader
{
  std::vector<std::vector<std::string>> rows;
  std::vector<std::string> current;
};

void
OnField(void* aText, size_t aBytes, void* aReader)
{
  auto* reader = static_cast<CsvReader*>(aReader);
  reader->current.emplace_back(static_cast<const char*>(aText), aBytes);
}

void
OnRow(int /*aEnd*/, void* aReader)
{
  auto* reader = static_cast<CsvReader*>(aReader);
  reader->rows.push_back(std::move(reader->current));
  reader->current.clear();
}

// Splits aCsv into fields; false where a double quote is misplaced. The library
// skips blank lines.
bool
ReadCsv(std::string_view aCsv, CsvReader& aReader)
{
  csv_parser parser;
  if (csv_init(&parser, CSV_STRICT | CSV_APPEND_NULL) != 0) {
    return false;
  }
  bool complete =
    csv_parse(&parser, aCsv.data(), aCsv.size(), OnField, OnRow, &aReader) ==
    aCsv.size();
  complete = csv_fini(&parser, OnField, OnRow, &aReader) == 0 && complete;
  csv_free(&parser);
  return complete;
}

// Reads the fields of one row by column name and collects faults. For a faulty
// field it returns a value all the same, so that the other fields are checked.
struct RowReader
{
  const std::vector<std::string>& fields;
  const std::vector<size_t>& columnIndexes; // where each of kColumns is
  size_t row;
  std::vector<TableFault>& faults;

  const std::string& Text(std::string_view aColumn) const
  {
    size_t column =
      std::find(kColumns.begin(), kColumns.end(), aColumn) - kColumns.begin();
    return this->fields[this->columnIndexes[column]];
  }

  void Fault(std::string_view aColumn, std::string aReason) const
  {
    this->faults.push_back(
      { this->row, std::string(aColumn), std::move(aReason) });
  }

  uint32_t Number(std::string_view aColumn, uint32_t aMin, uint32_t aMax) const
  {
    uint32_t value = 0;
    const std::string& text = this->Text(aColumn);
    if (!absl::SimpleAtoi(text, &value) || value < aMin || value > aMax) {
      this->Fault(
        aColumn,
        absl::StrCat(
          "'", text, "' is not a whole number from ", aMin, " to ", aMax));
      return aMin;
    }
    return value;
  }

  Address Ip(std::string_view aColumn) const
  {
    Address address = 0;
    if (!ParseAddress(this->Text(aColumn), address) || address == 0) {
      this->Fault(aColumn,
                  absl::StrCat("'",
                               this->Text(aColumn),
                               "' is not an IPv4 address other than 0.0.0.0"));
    }
    return address;
  }

  std::string Name(std::string_view aColumn) const
  {
    const std::string& text = this->Text(aColumn);
    bool valid = !text.empty() && text.size() <= kMaxNameBytes;
    for (char c : text) {
      valid = valid && (absl::ascii_isalnum(c) || c == '-' || c == '_');
    }
    if (!valid) {
      this->Fault(aColumn,
                  absl::StrCat("'",
                               text,
                               "' is not a name of 1 to ",
                               kMaxNameBytes,
                               " letters, digits, '-' or '_'"));
    }
    return text;
  }
};

// Sets aColumnIndexes to the index of each of kColumns in aHeader. False if one
// is missing or appears more than once, or if there are others.
bool
FindColumns(const std::vector<std::string>& aHeader,
            std::vector<size_t>& aColumnIndexes,
            std::vector<TableFault>& aFaults)
{
  for (const char* column : kColumns) {
    auto count = std::count(aHeader.begin(), aHeader.end(), column);
    if (count != 1) {
      aFaults.push_back(
        { 1,
          column,
          count == 0 ? "column is missing" : "column appears twice" });
      continue;
    }
    aColumnIndexes.push_back(std::find(aHeader.begin(), aHeader.end(), column) -
                             aHeader.begin());
  }
  for (const std::string& name : aHeader) {
    if (std::find(kColumns.begin(), kColumns.end(), name) == kColumns.end()) {
      aFaults.push_back({ 1, name, "column is not known" });
    }
  }
  return aFaults.empty();
}

ServerRow
ReadServer(const RowReader& aReader)
{
  ServerRow server;
  server.address = aReader.Ip("server");
  server.zone = aReader.Name("zone");
  server.weight = aReader.Number("weight", 1, kMaxWeight);
  server.slots = aReader.Number("slots", 1, kMaxSlots);
  server.connections = aReader.Number("connections", 1, kMaxConnections);
  const std::string& state = aReader.Text("state");
  server.draining = state == "draining";
  if (state != "serving" && state != "draining") {
    aReader.Fault(
      "state",
      absl::StrCat("'", state, "' is neither 'serving' nor 'draining'"));
  }
  if (server.connections < server.slots) {
    aReader.Fault("connections", "is below slots in the same row");
  }
  return server;
}

Service
ReadService(const RowReader& aReader)
{
  Service service;
  service.name = aReader.Name("service");
  service.key.address = aReader.Ip("address");
  service.key.port = static_cast<uint16_t>(aReader.Number("port", 1, 65535));
  service.waitMs = aReader.Number("wait_ms", 0, kMaxWaitMs);
  const std::string& protocol = aReader.Text("protocol");
  service.key.protocol = protocol == "udp" ? Protocol::Udp : Protocol::Tcp;
  if (protocol != "tcp" && protocol != "udp") {
    aReader.Fault("protocol",
                  absl::StrCat("'", protocol, "' is neither 'tcp' nor 'udp'"));
  }
  return service;
}

// Builds the table row by row and checks each row against the earlier ones.
struct TableBuilder
{
  Table table;
  absl::flat_hash_map<std::string, size_t> byName;
  absl::flat_hash_map<ServiceKey, std::string> byKey;
  absl::flat_hash_map<Address, std::string> byServer;

  void Add(const RowReader& aReader)
  {
    Service service = ReadService(aReader);
    ServerRow server = ReadServer(aReader);
    auto [entry, inserted] =
      this->byName.try_emplace(service.name, this->table.services.size());
    if (inserted) {
      this->table.services.push_back(service);
    }
    Service& known = this->table.services[entry->second];
    this->CheckService(aReader, known, service);
    this->CheckServer(aReader, service.name, server.address);
    known.rows.push_back(std::move(server));
  }

  void CheckService(const RowReader& aReader,
                    const Service& aKnown,
                    const Service& aService)
  {
    if (!(aKnown.key == aService.key)) {
      aReader.Fault("address",
                    "address, port or protocol differs from the service's "
                    "first row");
    }
    if (aKnown.waitMs != aService.waitMs) {
      aReader.Fault("wait_ms", "differs from the service's first row");
    }
    auto [usedBy, inserted] =
      this->byKey.try_emplace(aService.key, aService.name);
    if (usedBy->second != aService.name) {
      aReader.Fault("address",
                    absl::StrCat("already used by service '",
                                 usedBy->second,
                                 "' with this port and protocol"));
    }
  }

  void CheckServer(const RowReader& aReader,
                   const std::string& aService,
                   Address aServer)
  {
    if (aServer == 0) {
      return;
    }
    auto [usedBy, inserted] = this->byServer.try_emplace(aServer, aService);
    if (inserted) {
      return;
    }
    aReader.Fault(
      "server",
      usedBy->second == aService
        ? "appears twice in this service"
        : absl::StrCat("already a server of service '", usedBy->second, "'"));
  }
};

// Each service must have a server that is not draining.
void
CheckServing(const Table& aTable, std::vector<TableFault>& aFaults)
{
  for (const Service& service : aTable.services) {
    bool serving =
      std::any_of(service.rows.begin(),
                  service.rows.end(),
                  [](const ServerRow& aRow) { return !aRow.draining; });
    if (!serving) {
      aFaults.push_back(
        { 0,
          "state",
          absl::StrCat(
            "service '",
            service.name,
            "' has no serving server: all of its servers are draining") });
    }
  }
}

}

const Service*
FindService(const Table& aTable, const std::string& aName)
{
  for (const Service& service : aTable.services) {
    if (service.name == aName) {
      return &service;
    }
  }
  return nullptr;
}

TableCheck
ParseTable(std::string_view aCsv)
{
  TableCheck check;
  CsvReader csv;
  if (!ReadCsv(aCsv, csv)) {
    check.faults.push_back(
      { csv.rows.size() + 1,
        "",
        "double quotes must enclose a whole field, or be doubled inside one" });
    return check;
  }
  if (csv.rows.size() < 2) {
    check.faults.push_back({ 0, "", "table has no rows" });
    return check;
  }
  std::vector<size_t> columnIndexes;
  if (!FindColumns(csv.rows[0], columnIndexes, check.faults)) {
    return check;
  }
  TableBuilder builder;
  for (size_t i = 1; i < csv.rows.size(); ++i) {
    if (csv.rows[i].size() != csv.rows[0].size()) {
      check.faults.push_back(
        { i + 1,
          "",
          absl::StrCat(
            "has ", csv.rows[i].size(), " fields, not ", csv.rows[0].size()) });
      continue;
    }
    builder.Add({ csv.rows[i], columnIndexes, i + 1, check.faults });
  }
  check.table = std::move(builder.table);
  CheckServing(check.table, check.faults);
  return check;
}

std::vector<TableFault>
CheckChange(const Table& aNow,
            const Table& aNext,
            std::span<const std::string> aZones)
{
  std::vector<TableFault> faults;
  absl::flat_hash_map<Address, std::string> users;
  for (const Service& service : aNow.services) {
    for (const ServerRow& row : service.rows) {
      users.emplace(row.address, service.name);
    }
    for (const std::vector<ServerRow>& rows : service.former) {
      for (const ServerRow& row : rows) {
        users.emplace(row.address, service.name);
      }
    }
  }
  for (const Service& service : aNext.services) {
    const Service* now = FindService(aNow, service.name);
    if (now != nullptr && !(now->key == service.key)) {
      faults.push_back(
        { 0,
          "address",
          absl::StrCat(
            "service '",
            service.name,
            "' may have open flows, so its address, port and protocol "
            "cannot change; give the new ones a new service name") });
    }
    for (const ServerRow& row : service.rows) {
      auto user = users.find(row.address);
      if (user != users.end() && user->second != service.name) {
        faults.push_back({ 0,
                           "server",
                           absl::StrCat(FormatAddress(row.address),
                                        " still serves flows of service '",
                                        user->second,
                                        "'") });
      }
      if (!aZones.empty() &&
          std::find(aZones.begin(), aZones.end(), row.zone) == aZones.end()) {
        faults.push_back({ 0,
                           "zone",
                           absl::StrCat("no instance is in zone '",
                                        row.zone,
                                        "' of server ",
                                        FormatAddress(row.address)) });
      }
    }
  }
  for (const Service& service : aNow.services) {
    bool gone = FindService(aNext, service.name) == nullptr;
    bool drained =
      std::all_of(service.rows.begin(),
                  service.rows.end(),
                  [](const ServerRow& aRow) { return aRow.draining; });
    if (gone && !drained) {
      faults.push_back({ 0,
                         "service",
                         absl::StrCat("service '",
                                      service.name,
                                      "' is removed while a server of it is "
                                      "serving") });
    }
  }
  return faults;
}

Table
MakeSuccessor(const Table& aNow, const Table& aNext)
{
  Table next;
  next.version = aNow.version + 1;
  for (Service service : aNext.services) {
    const Service* now = FindService(aNow, service.name);
    service.former.clear();
    if (now != nullptr) {
      service.former = now->former;
      if (!(now->rows == service.rows)) {
        service.former.insert(service.former.begin(), now->rows);
      }
      if (service.former.size() > kMaxFormerVersions) {
        service.former.resize(kMaxFormerVersions);
      }
    }
    next.services.push_back(std::move(service));
  }
  return next;
}

std::string
FormatTable(const Table& aTable)
{
  std::string csv = absl::StrCat(absl::StrJoin(kColumns, ","), "\n");
  for (const Service& service : aTable.services) {
    for (const ServerRow& row : service.rows) {
      absl::StrAppend(
        &csv,
        absl::StrJoin(
          std::make_tuple(service.name,
                          FormatAddress(service.key.address),
                          service.key.port,
                          service.key.protocol == Protocol::Tcp ? "tcp" : "udp",
                          FormatAddress(row.address),
                          row.zone,
                          row.weight,
                          row.slots,
                          row.connections,
                          service.waitMs,
                          row.draining ? "draining" : "serving"),
          ","),
        "\n");
    }
  }
  return csv;
}

}
