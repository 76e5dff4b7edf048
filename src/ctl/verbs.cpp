#include "ctl/verbs.h"

#include "absl/strings/str_join.h"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

namespace gentianspindle {

namespace {

// Time between two reads of the status while "table apply" waits.
constexpr std::chrono::milliseconds kInForcePollPeriod{ 50 };
constexpr int64_t kMaxLogEntries = 50; // versions that "table log" shows

// Prints the result of a command, as JSON or as text, and returns aExit. Text
// goes to stderr unless aExit is kExitDone, JSON always to stdout.
int
PrintResult(const Command& aCommand,
            int aExit,
            std::string_view aOutcome,
            const nlohmann::json& aFields,
            const std::string& aText)
{
  if (aCommand.json) {
    nlohmann::json out = aFields;
    out["outcome"] = aOutcome;
    std::cout << out.dump() << "\n";
  } else {
    (aExit == kExitDone ? std::cout : std::cerr) << aText << "\n";
  }
  return aExit;
}

}

// Reports a failed call to the platform, or an object that can't be decoded.
int
PrintUnknown(const Command& aCommand, const absl::Status& aStatus)
{
  std::string text(aStatus.message());
  return PrintResult(
    aCommand, kExitUnknown, "unknown", { { "reason", text } }, text);
}

namespace {

// Reports that a command was refused or failed and left the table unchanged.
int
PrintRefused(const Command& aCommand, const std::string& aText)
{
  return PrintResult(aCommand,
                     kExitRefused,
                     "refused",
                     { { "reason", aText } },
                     "refused:\n" + aText);
}

bool
ReadFile(const std::string& aPath, std::string& aText)
{
  std::ifstream file(aPath);
  std::stringstream text;
  text << file.rdbuf();
  aText = text.str();
  return file.good();
}

// Returns a random id by which a change is recognised after a lost response.
std::string
MakeChangeId()
{
  std::random_device random;
  uint64_t id = (uint64_t{ random() } << 32) | random();
  return absl::StrCat(absl::Hex(id, absl::kZeroPad16));
}

// Status of the instances, by availability zone.
struct ZoneStatuses
{
  std::vector<msg::ZoneStatus> zones;
};

// Reads the status of the zones that aTable names. A zone without a status
// object is left out.
absl::StatusOr<ZoneStatuses>
FetchZoneStatuses(HttpObjects& aApi, const Table& aTable)
{
  std::vector<std::string> zoneNames;
  for (const Service& service : aTable.services) {
    for (const ServerRow& row : service.rows) {
      if (std::find(zoneNames.begin(), zoneNames.end(), row.zone) ==
          zoneNames.end()) {
        zoneNames.push_back(row.zone);
      }
    }
  }
  ZoneStatuses zoneStatuses;
  for (const std::string& name : zoneNames) {
    absl::StatusOr<Object> object = aApi.Get(StatusObjectName(name));
    if (absl::IsNotFound(object.status())) {
      continue;
    }
    if (!object.ok()) {
      return object.status();
    }
    absl::StatusOr<msg::ZoneStatus> zone = DecodeStatus(object->body);
    if (!zone.ok()) {
      return zone.status();
    }
    zoneStatuses.zones.push_back(*std::move(zone));
  }
  return zoneStatuses;
}

std::vector<std::string>
ZonesOf(const ZoneStatuses& aZoneStatuses)
{
  std::vector<std::string> zones;
  for (const msg::ZoneStatus& zone : aZoneStatuses.zones) {
    zones.push_back(zone.zone);
  }
  return zones;
}

// How many instances have a table version or a later one in force and are not
// unreachable.
struct InForceCount
{
  size_t instances = 0;
  size_t current = 0;              // reachable ones with it or a later one
  std::vector<std::string> behind; // all others, with their state
};

// Counts the instances that report aVersion or a later one. Unreachable ones
// always count as behind.
InForceCount
CountInForce(const ZoneStatuses& aZoneStatuses, int64_t aVersion)
{
  InForceCount inForce;
  for (const msg::ZoneStatus& zone : aZoneStatuses.zones) {
    for (const msg::InstanceStatus& instance : zone.instances) {
      ++inForce.instances;
      if (instance.tableVersion >= aVersion &&
          instance.state != "unreachable") {
        ++inForce.current;
        continue;
      }
      inForce.behind.push_back(absl::StrCat(instance.instance,
                                            " (zone ",
                                            zone.zone,
                                            ", ",
                                            instance.state,
                                            ", version ",
                                            instance.tableVersion,
                                            ")"));
    }
  }
  return inForce;
}

// Waits until aVersion is in force at all instances of the zones that aTable
// names, for aCommand.waitMs at most, and prints the instances where it is not.
// The change is accepted in either case, and the exit code is kExitDone.
int
WaitUntilInForce(const Command& aCommand,
                 HttpObjects& aApi,
                 const Table& aTable,
                 int64_t aVersion)
{
  auto end = std::chrono::steady_clock::now() +
             std::chrono::milliseconds(aCommand.waitMs);
  InForceCount inForce;
  while (std::chrono::steady_clock::now() < end) {
    absl::StatusOr<ZoneStatuses> zoneStatuses = FetchZoneStatuses(aApi, aTable);
    if (zoneStatuses.ok()) {
      inForce = CountInForce(*zoneStatuses, aVersion);
      if (inForce.instances > 0 && inForce.current == inForce.instances) {
        break;
      }
    }
    std::this_thread::sleep_for(kInForcePollPeriod);
  }
  // The numbers are of the last status that was read, or 0 if none was.
  std::string text = absl::StrCat("accepted: version ",
                                  aVersion,
                                  "\nin force on ",
                                  inForce.current,
                                  " of ",
                                  inForce.instances);
  for (const std::string& instance : inForce.behind) {
    absl::StrAppend(&text, "\nnot yet: ", instance);
  }
  return PrintResult(aCommand,
                     kExitDone,
                     "accepted",
                     { { "version", aVersion },
                       { "in_force", inForce.current },
                       { "instances", inForce.instances },
                       { "behind", inForce.behind } },
                     text);
}

// Reads the table that the platform accepted last.
absl::StatusOr<Table>
FetchAccepted(HttpObjects& aApi)
{
  absl::StatusOr<Head> head = FetchHead(aApi);
  if (!head.ok()) {
    return head.status();
  }
  PartCache cache;
  return FetchTable(aApi, head->head, cache);
}

}

// Writes the accepted table to a file.
int
RunGet(const Command& aCommand, HttpObjects& aApi)
{
  absl::StatusOr<Table> table = FetchAccepted(aApi);
  if (!table.ok()) {
    return PrintUnknown(aCommand, table.status());
  }
  std::ofstream file(aCommand.arguments[2]);
  file << FormatTable(*table);
  file.close();
  if (!file) {
    return PrintRefused(aCommand, "cannot write " + aCommand.arguments[2]);
  }
  return PrintResult(aCommand,
                     kExitDone,
                     "done",
                     { { "version", table->version } },
                     absl::StrCat("version ", table->version));
}

// Checks a file by itself and as a change of the accepted table, except for
// whether its zones have instances.
int
RunCheck(const Command& aCommand, HttpObjects& aApi)
{
  std::string csv;
  if (!ReadFile(aCommand.arguments[2], csv)) {
    return PrintRefused(aCommand, "cannot read " + aCommand.arguments[2]);
  }
  TableCheck check = ParseTable(csv);
  absl::StatusOr<Table> now = FetchAccepted(aApi);
  if (check.faults.empty() && now.ok()) {
    check.faults = CheckChange(*now, check.table, {});
  }
  if (!check.faults.empty()) {
    return PrintRefused(aCommand, FormatFaults(check.faults));
  }
  if (!now.ok()) {
    return PrintUnknown(aCommand, now.status());
  }
  return PrintResult(
    aCommand, kExitDone, "done", nlohmann::json::object(), "table is valid");
}

// Makes a file the accepted table. Then waits, for a limited time, until it is
// in force at all instances of the zones that it names.
int
RunApply(const Command& aCommand, HttpObjects& aApi)
{
  std::string csv;
  if (!ReadFile(aCommand.arguments[2], csv)) {
    return PrintRefused(aCommand, "cannot read " + aCommand.arguments[2]);
  }
  TableCheck check = ParseTable(csv);
  if (!check.faults.empty()) {
    return PrintRefused(aCommand, FormatFaults(check.faults));
  }
  absl::StatusOr<ZoneStatuses> zoneStatuses =
    FetchZoneStatuses(aApi, check.table);
  if (!zoneStatuses.ok()) {
    return PrintUnknown(aCommand, zoneStatuses.status());
  }
  ApplyRequest request;
  request.next = check.table;
  request.author = aCommand.author;
  request.changeId = MakeChangeId();
  request.unixSeconds = std::time(nullptr);
  request.zones = ZonesOf(*zoneStatuses);
  ApplyResult result = ApplyTable(aApi, request, RetryOptions{});
  switch (result.outcome) {
    case ApplyOutcome::Accepted:
      return WaitUntilInForce(aCommand, aApi, check.table, result.version);
    case ApplyOutcome::Refused:
      return PrintRefused(aCommand, result.text);
    case ApplyOutcome::Unknown:
      break;
  }
  return PrintResult(
    aCommand,
    kExitUnknown,
    "unknown",
    { { "reason", result.text }, { "change", request.changeId } },
    absl::StrCat("unknown: ",
                 result.text,
                 "\nchange ",
                 request.changeId,
                 "; see 'gentianctl table log' later"));
}

// Lists the latest accepted versions, newest first.
int
RunLog(const Command& aCommand, HttpObjects& aApi)
{
  absl::StatusOr<Head> head = FetchHead(aApi);
  if (!head.ok()) {
    return PrintUnknown(aCommand, head.status());
  }
  nlohmann::json entries = nlohmann::json::array();
  std::vector<std::string> lines;
  int64_t endVersion =
    std::max<int64_t>(0, head->head.version - kMaxLogEntries);
  for (int64_t version = head->head.version; version > endVersion; --version) {
    msg::TableHead entry = head->head;
    if (version != head->head.version) {
      absl::StatusOr<Object> object = aApi.Get(LogObjectName(version));
      absl::StatusOr<msg::TableHead> logged =
        object.ok() ? DecodeHead(object->body)
                    : absl::StatusOr<msg::TableHead>(object.status());
      if (!logged.ok()) {
        // Missing, not decodable, or the call failed. JSON leaves it out.
        lines.push_back(
          absl::StrCat(version, "  log entry missing or unreadable"));
        continue;
      }
      entry = *logged;
    }
    lines.push_back(absl::StrCat(version,
                                 "  ",
                                 entry.unixSeconds,
                                 "  ",
                                 entry.author,
                                 "  ",
                                 entry.changeId,
                                 "  ",
                                 entry.summary));
    entries.push_back({ { "version", version },
                        { "unix_seconds", entry.unixSeconds },
                        { "author", entry.author },
                        { "change", entry.changeId },
                        { "summary", entry.summary } });
  }
  return PrintResult(aCommand,
                     kExitDone,
                     "done",
                     { { "entries", entries } },
                     absl::StrJoin(lines, "\n"));
}

// Shows the accepted version, and the table version and state of each instance
// of the zones that the accepted table names.
int
RunStatus(const Command& aCommand, HttpObjects& aApi)
{
  absl::StatusOr<Table> table = FetchAccepted(aApi);
  if (!table.ok()) {
    return PrintUnknown(aCommand, table.status());
  }
  absl::StatusOr<ZoneStatuses> zoneStatuses = FetchZoneStatuses(aApi, *table);
  if (!zoneStatuses.ok()) {
    return PrintUnknown(aCommand, zoneStatuses.status());
  }
  InForceCount inForce = CountInForce(*zoneStatuses, table->version);
  std::string text = absl::StrCat("table version ",
                                  table->version,
                                  ", in force on ",
                                  inForce.current,
                                  " of ",
                                  inForce.instances);
  nlohmann::json instances = nlohmann::json::array();
  for (const msg::ZoneStatus& zone : zoneStatuses->zones) {
    for (const msg::InstanceStatus& instance : zone.instances) {
      absl::StrAppend(&text,
                      "\n",
                      zone.zone,
                      "  ",
                      instance.instance,
                      "  ",
                      instance.state,
                      "  version ",
                      instance.tableVersion);
      instances.push_back({ { "zone", zone.zone },
                            { "instance", instance.instance },
                            { "state", instance.state },
                            { "version", instance.tableVersion } });
    }
  }
  return PrintResult(aCommand,
                     kExitDone,
                     "done",
                     { { "version", table->version },
                       { "in_force", inForce.current },
                       { "instances", instances } },
                     text);
}

}
