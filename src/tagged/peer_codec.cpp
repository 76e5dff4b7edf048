#include "tagged/peer_codec.h"

#include "peers_types.h"

#include "absl/strings/str_cat.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace gentianspindle::tagged {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using Protocol = TCompactProtocolT<TMemoryBuffer>;

// Bounds on what a peer's message may make this instance allocate.
constexpr int32_t kMostText = 4096;
constexpr int32_t kMostEntries = 1 << 20;

template<typename M>
std::string
Encode(const M& aMessage)
{
  auto buffer = std::make_shared<TMemoryBuffer>();
  Protocol protocol(buffer);
  aMessage.write(&protocol);
  return buffer->getBufferAsString();
}

template<typename M>
absl::StatusOr<M>
Decode(std::string_view aBytes, absl::string_view aStep)
{
  M message;
  try {
    auto buffer = std::make_shared<TMemoryBuffer>(
      reinterpret_cast<uint8_t*>(const_cast<char*>(aBytes.data())),
      static_cast<uint32_t>(aBytes.size()));
    Protocol protocol(buffer, kMostText, kMostEntries);
    message.read(&protocol);
  } catch (const std::exception& error) {
    return absl::DataLossError(
      absl::StrCat("read ", aStep, " of a peer: ", error.what()));
  }
  return message;
}

int64_t
ToNumber(Endpoint aEndpoint)
{
  return (int64_t{ aEndpoint.address } << 16) | aEndpoint.port;
}

Endpoint
ToEndpoint(int64_t aNumber)
{
  return { static_cast<Address>(aNumber >> 16),
           static_cast<uint16_t>(aNumber) };
}

msg::Route
ToMessage(const steer::RouteEntry& aRoute)
{
  msg::Route route;
  route.name = aRoute.name;
  route.endpoint = ToNumber(aRoute.endpoint);
  for (const steer::WeightedService& one : aRoute.services) {
    msg::Weight weight;
    weight.serviceName = one.service;
    weight.weight = static_cast<int32_t>(one.weight);
    route.services.push_back(std::move(weight));
  }
  route.timeout = aRoute.timeout;
  route.aim = aRoute.aim;
  route.priority = static_cast<int32_t>(aRoute.priority);
  return route;
}

steer::RouteEntry
FromMessage(const msg::Route& aRoute)
{
  steer::RouteEntry route;
  route.name = aRoute.name;
  route.endpoint = ToEndpoint(aRoute.endpoint);
  for (const msg::Weight& weight : aRoute.services) {
    route.services.push_back(
      { weight.serviceName, static_cast<uint32_t>(weight.weight) });
  }
  route.timeout = aRoute.timeout;
  route.aim = aRoute.aim;
  route.priority = static_cast<uint32_t>(aRoute.priority);
  return route;
}

msg::Server
ToMessage(const steer::ServerChange& aChange)
{
  const steer::ServerEntry& entry = *aChange.entry;
  msg::Server server;
  server.name = aChange.name;
  server.revision = static_cast<int64_t>(aChange.revision);
  server.id = static_cast<int64_t>(entry.id);
  server.startedAt = entry.startedAt;
  server.serviceName = entry.service;
  server.endpoint = ToNumber(entry.endpoint);
  server.zone = entry.zone;
  server.slots = static_cast<int32_t>(entry.slots);
  server.draining = entry.draining;
  server.coldFor = entry.coldFor;
  return server;
}

steer::ServerChange
FromMessage(const msg::Server& aServer)
{
  steer::ServerEntry entry;
  entry.id = static_cast<steer::ServerId>(aServer.id);
  entry.startedAt = aServer.startedAt;
  entry.service = aServer.serviceName;
  entry.endpoint = ToEndpoint(aServer.endpoint);
  entry.zone = aServer.zone;
  entry.slots = static_cast<uint32_t>(aServer.slots);
  entry.draining = aServer.draining;
  entry.coldFor = aServer.coldFor;
  return { aServer.name,
           static_cast<uint64_t>(aServer.revision),
           false,
           std::move(entry) };
}

}

std::string
EncodePeerView(const PeerView& aView)
{
  msg::ViewCopy copy;
  copy.configVersion = aView.config.version;
  for (const steer::RouteEntry& route : aView.config.routes) {
    copy.routes.push_back(ToMessage(route));
  }
  copy.idle = aView.config.idle;
  copy.serversRevision = static_cast<int64_t>(aView.serversRevision);
  for (const steer::ServerChange& change : aView.servers) {
    copy.servers.push_back(ToMessage(change));
  }
  return Encode(copy);
}

absl::StatusOr<PeerView>
DecodePeerView(std::string_view aBytes)
{
  absl::StatusOr<msg::ViewCopy> copy = Decode<msg::ViewCopy>(aBytes, "view");
  if (!copy.ok()) {
    return copy.status();
  }
  PeerView view;
  view.config.version = copy->configVersion;
  view.config.idle = copy->idle;
  for (const msg::Route& route : copy->routes) {
    view.config.routes.push_back(FromMessage(route));
  }
  view.serversRevision = static_cast<uint64_t>(copy->serversRevision);
  for (const msg::Server& server : copy->servers) {
    view.servers.push_back(FromMessage(server));
  }
  return view;
}

std::string
EncodePeerDigest(const PeerDigest& aDigest)
{
  msg::Digest digest;
  digest.configVersion = aDigest.configVersion;
  digest.serversRevision = static_cast<int64_t>(aDigest.serversRevision);
  digest.members.assign(aDigest.members.begin(), aDigest.members.end());
  return Encode(digest);
}

absl::StatusOr<PeerDigest>
DecodePeerDigest(std::string_view aBytes)
{
  absl::StatusOr<msg::Digest> digest = Decode<msg::Digest>(aBytes, "digest");
  if (!digest.ok()) {
    return digest.status();
  }
  PeerDigest result;
  result.configVersion = digest->configVersion;
  result.serversRevision = static_cast<uint64_t>(digest->serversRevision);
  result.members.assign(digest->members.begin(), digest->members.end());
  return result;
}

}
