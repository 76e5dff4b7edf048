#include "store/store.h"

#include "base/bounded_protocol.h"
#include "base/text.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_join.h"

#include <openssl/evp.h>
#include <thrift/protocol/TJSONProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace gentianspindle {

namespace {

using apache::thrift::protocol::TJSONProtocol;
using apache::thrift::transport::TMemoryBuffer;

// Encodes an object as JSON with the field numbers of messages.thrift as keys,
// so that an operator of the platform can read it and a later version of the
// program can add fields.
template<typename T>
std::string
EncodeJson(const T& aMessage)
{
  auto buffer = std::make_shared<TMemoryBuffer>();
  TJSONProtocol protocol(buffer);
  aMessage.write(&protocol);
  return buffer->getBufferAsString();
}

// Decodes an object; aOperation goes into the error text.
template<typename T>
absl::StatusOr<T>
DecodeJson(std::string_view aOperation, std::string_view aBytes)
{
  auto buffer = std::make_shared<TMemoryBuffer>();
  buffer->resetBuffer(
    reinterpret_cast<uint8_t*>(const_cast<char*>(aBytes.data())),
    static_cast<uint32_t>(aBytes.size()),
    TMemoryBuffer::OBSERVE);
  BoundedProtocol<TJSONProtocol> protocol(buffer);
  T message;
  try {
    message.read(&protocol);
  } catch (const std::exception& error) {
    return absl::DataLossError(
      absl::StrCat(ToAbsl(aOperation), ": ", error.what()));
  }
  return message;
}

msg::Row
ToMessage(const ServerRow& aRow)
{
  msg::Row row;
  row.server = FormatAddress(aRow.address);
  row.zone = aRow.zone;
  row.weight = static_cast<int32_t>(aRow.weight);
  row.slots = static_cast<int32_t>(aRow.slots);
  row.connections = static_cast<int32_t>(aRow.connections);
  row.draining = aRow.draining;
  return row;
}

std::vector<msg::Row>
ToMessages(const std::vector<ServerRow>& aRows)
{
  std::vector<msg::Row> rows;
  rows.reserve(aRows.size());
  for (const ServerRow& row : aRows) {
    rows.push_back(ToMessage(row));
  }
  return rows;
}

// Appends aRows to aServers; false if a row has an invalid value.
bool
FromMessages(const std::vector<msg::Row>& aRows,
             std::vector<ServerRow>& aServers)
{
  for (const msg::Row& row : aRows) {
    ServerRow server;
    bool valid = ParseAddress(row.server, server.address) && row.weight > 0 &&
                 row.slots > 0 && row.connections > 0;
    if (!valid) {
      return false;
    }
    server.zone = row.zone;
    server.weight = static_cast<uint32_t>(row.weight);
    server.slots = static_cast<uint32_t>(row.slots);
    server.connections = static_cast<uint32_t>(row.connections);
    server.draining = row.draining;
    aServers.push_back(std::move(server));
  }
  return true;
}

}

std::string
PartObjectName(std::string_view aDigest)
{
  return absl::StrCat("table-part-", ToAbsl(aDigest));
}

std::string
LogObjectName(int64_t aVersion)
{
  return absl::StrCat("table-log-", aVersion);
}

std::string
StatusObjectName(std::string_view aZone)
{
  return absl::StrCat("status-", ToAbsl(aZone));
}

std::string
EncodeHead(const msg::TableHead& aHead)
{
  return EncodeJson(aHead);
}

absl::StatusOr<msg::TableHead>
DecodeHead(std::string_view aBytes)
{
  absl::StatusOr<msg::TableHead> head =
    DecodeJson<msg::TableHead>("read table head", aBytes);
  if (head.ok() && head->format != kTableFormat) {
    return absl::FailedPreconditionError(
      absl::StrCat("read table head: format ", head->format, " is not known"));
  }
  return head;
}

std::string
EncodePart(const Service& aService)
{
  msg::TablePart part;
  part.name = aService.name;
  part.address = FormatAddress(aService.key.address);
  part.port = aService.key.port;
  part.protocol = aService.key.protocol == Protocol::Tcp ? "tcp" : "udp";
  part.waitMs = static_cast<int32_t>(aService.waitMs);
  part.rows = ToMessages(aService.rows);
  for (const std::vector<ServerRow>& rows : aService.former) {
    part.former.push_back(ToMessages(rows));
  }
  return EncodeJson(part);
}

absl::StatusOr<Service>
DecodePart(std::string_view aBytes)
{
  absl::StatusOr<msg::TablePart> part =
    DecodeJson<msg::TablePart>("read table part", aBytes);
  if (!part.ok()) {
    return part.status();
  }
  Service service;
  service.name = part->name;
  bool valid = ParseAddress(part->address, service.key.address) &&
               part->port > 0 && part->port <= UINT16_MAX &&
               part->waitMs >= 0 &&
               (part->protocol == "tcp" || part->protocol == "udp") &&
               FromMessages(part->rows, service.rows);
  for (const std::vector<msg::Row>& rows : part->former) {
    valid = valid && FromMessages(rows, service.former.emplace_back());
  }
  if (!valid) {
    return absl::DataLossError(
      absl::StrCat("read table part: service '",
                   part->name,
                   "' has an invalid address, port, protocol, wait or row"));
  }
  service.key.port = static_cast<uint16_t>(part->port);
  service.key.protocol =
    part->protocol == "tcp" ? Protocol::Tcp : Protocol::Udp;
  service.waitMs = static_cast<uint32_t>(part->waitMs);
  return service;
}

std::string
EncodeStatus(const msg::ZoneStatus& aStatus)
{
  return EncodeJson(aStatus);
}

absl::StatusOr<msg::ZoneStatus>
DecodeStatus(std::string_view aBytes)
{
  return DecodeJson<msg::ZoneStatus>("read zone status", aBytes);
}

std::string
Digest(std::string_view aBytes)
{
  std::array<uint8_t, EVP_MAX_MD_SIZE> digest{};
  unsigned int count = 0;
  EVP_Digest(
    aBytes.data(), aBytes.size(), digest.data(), &count, EVP_sha256(), nullptr);
  return absl::BytesToHexString(
    absl::string_view(reinterpret_cast<const char*>(digest.data()), count));
}

absl::StatusOr<Service>
CheckPart(std::string_view aBytes, const msg::PartName& aName)
{
  if (Digest(aBytes) != aName.digest) {
    return absl::DataLossError(absl::StrCat(
      "check table part: digest of '", aName.name, "' does not match"));
  }
  absl::StatusOr<Service> service = DecodePart(aBytes);
  if (service.ok() && service->name != aName.name) {
    return absl::DataLossError(absl::StrCat(
      "check table part: '", aName.name, "' holds '", service->name, "'"));
  }
  return service;
}

std::string
Summarize(const Table& aCurrent, const Table& aNext)
{
  std::vector<std::string> changes;
  for (const Service& service : aNext.services) {
    const Service* current = FindService(aCurrent, service.name);
    if (current == nullptr) {
      changes.push_back(absl::StrCat("+", service.name));
    } else if (!(current->rows == service.rows) ||
               current->waitMs != service.waitMs) {
      changes.push_back(absl::StrCat("~", service.name));
    }
  }
  for (const Service& service : aCurrent.services) {
    if (FindService(aNext, service.name) == nullptr) {
      changes.push_back(absl::StrCat("-", service.name));
    }
  }
  return changes.empty() ? "no change" : absl::StrJoin(changes, " ");
}

std::string
FormatFaults(std::span<const TableFault> aFaults)
{
  std::vector<std::string> lines;
  for (const TableFault& fault : aFaults) {
    std::string location =
      fault.row == 0 ? "table" : absl::StrCat("row ", fault.row);
    if (!fault.column.empty()) {
      absl::StrAppend(&location, ", column ", fault.column);
    }
    lines.push_back(absl::StrCat(location, ": ", fault.reason));
  }
  return absl::StrJoin(lines, "\n");
}

}
