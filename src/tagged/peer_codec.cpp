#include "tagged/peer_codec.h"

#include "base/bounded_protocol.h"
#include "peers_types.h"
#include "spread/quota_sharing.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace gentianspindle::tagged {

namespace {

using apache::thrift::transport::TMemoryBuffer;

// Limits for each text and each list of a peer's message, to bound the memory
// that this instance allocates for them.
constexpr int32_t kMaxTextBytes = 4096;
constexpr int32_t kMaxEntries = 1 << 16;

template<typename M>
std::string
Encode(const M& aMessage)
{
  auto buffer = std::make_shared<TMemoryBuffer>();
  BoundedCompactProtocol protocol(buffer);
  aMessage.write(&protocol);
  return buffer->getBufferAsString();
}

template<typename M>
absl::StatusOr<M>
Decode(std::string_view aBytes, absl::string_view aMessageName)
{
  M message;
  try {
    auto buffer = std::make_shared<TMemoryBuffer>(
      reinterpret_cast<uint8_t*>(const_cast<char*>(aBytes.data())),
      static_cast<uint32_t>(aBytes.size()));
    BoundedCompactProtocol protocol(buffer, kMaxTextBytes, kMaxEntries);
    message.read(&protocol);
  } catch (const std::exception& error) {
    return absl::DataLossError(
      absl::StrCat("read ", aMessageName, " of a peer: ", error.what()));
  }
  return message;
}

// An endpoint is sent as one number, in the form of an InstanceId.
int64_t
ToNumber(Endpoint aEndpoint)
{
  return static_cast<int64_t>(
    MakeInstanceId(aEndpoint.address, aEndpoint.port));
}

Endpoint
ToEndpoint(int64_t aNumber)
{
  auto instance = static_cast<InstanceId>(aNumber);
  return { InstanceAddress(instance), InstancePort(instance) };
}

msg::Route
ToMessage(const steer::RouteEntry& aRoute)
{
  msg::Route route;
  route.name = aRoute.name;
  route.endpoint = ToNumber(aRoute.endpoint);
  for (const steer::WeightedService& weighted : aRoute.services) {
    msg::Weight weight;
    weight.serviceName = weighted.service;
    weight.weight = static_cast<int32_t>(weighted.weight);
    route.services.push_back(std::move(weight));
  }
  route.timeout = aRoute.timeout;
  route.aim = aRoute.latencyTarget;
  route.priority = static_cast<int32_t>(aRoute.priority);
  route.repeatable = aRoute.repeatable;
  route.regions = aRoute.regions;
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
  route.latencyTarget = aRoute.aim;
  route.priority = static_cast<uint32_t>(aRoute.priority);
  route.repeatable = aRoute.repeatable;
  route.regions = aRoute.regions;
  return route;
}

msg::Server
ToMessage(const steer::ServerChange& aChange)
{
  msg::Server server;
  server.name = aChange.name;
  server.revision = static_cast<int64_t>(aChange.position.revision);
  if (!aChange.entry) {
    return server; // removed or unreadable, as ToChange marks it
  }
  const steer::ServerEntry& entry = *aChange.entry;
  server.id = static_cast<int64_t>(entry.id);
  server.startedAt = entry.startedAt;
  server.serviceName = entry.service;
  server.endpoint = ToNumber(entry.endpoint);
  server.zone = entry.zone;
  server.slots = static_cast<int32_t>(entry.slots);
  server.draining = entry.draining;
  server.coldFor = entry.warmupLeft;
  return server;
}

StorePosition
ToPosition(int64_t aEra, int64_t aRevision)
{
  return { static_cast<uint64_t>(aEra), static_cast<uint64_t>(aRevision) };
}

// The entries of a message are all of one era, which they do not repeat.
steer::ServerChange
FromMessage(const msg::Server& aServer, int64_t aEra)
{
  steer::ServerEntry entry;
  entry.id = static_cast<steer::ServerId>(aServer.id);
  entry.startedAt = aServer.startedAt;
  entry.service = aServer.serviceName;
  entry.endpoint = ToEndpoint(aServer.endpoint);
  entry.zone = aServer.zone;
  entry.slots = static_cast<uint32_t>(aServer.slots);
  entry.draining = aServer.draining;
  entry.warmupLeft = aServer.coldFor;
  return {
    aServer.name, ToPosition(aEra, aServer.revision), false, std::move(entry)
  };
}

// ViewCopy and Heartbeat have the same fields for the drained zones.
template<typename M>
void
WriteDrains(const steer::DrainState& aDrains, M& aMessage)
{
  aMessage.drainsEra = static_cast<int64_t>(aDrains.position.era);
  aMessage.drainsRevision = static_cast<int64_t>(aDrains.position.revision);
  aMessage.drainsChangedEra = static_cast<int64_t>(aDrains.changedPosition.era);
  aMessage.drainsChanged =
    static_cast<int64_t>(aDrains.changedPosition.revision);
  aMessage.drainedZones = aDrains.zones;
}

// The zones are sorted by their sender, but a damaged message may have others.
template<typename M>
steer::DrainState
ReadDrains(const M& aMessage)
{
  steer::DrainState drains{
    ToPosition(aMessage.drainsEra, aMessage.drainsRevision),
    ToPosition(aMessage.drainsChangedEra, aMessage.drainsChanged),
    aMessage.drainedZones,
  };
  std::sort(drains.zones.begin(), drains.zones.end());
  drains.zones.erase(std::unique(drains.zones.begin(), drains.zones.end()),
                     drains.zones.end());
  return drains;
}

// A position that no store can reach would keep out all later states.
template<typename M>
bool
HasValidPositions(const M& aMessage)
{
  bool isNegative = aMessage.configEra < 0 || aMessage.configRevision < 0 ||
                    aMessage.serversEra < 0 || aMessage.serversRevision < 0 ||
                    aMessage.drainsEra < 0 || aMessage.drainsRevision < 0 ||
                    aMessage.drainsChangedEra < 0 || aMessage.drainsChanged < 0;
  return !isNegative &&
         ToPosition(aMessage.drainsChangedEra, aMessage.drainsChanged) <=
           ToPosition(aMessage.drainsEra, aMessage.drainsRevision);
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
  for (const steer::ServiceEntry& service : aView.config.services) {
    msg::Service message;
    message.name = service.name;
    message.warmupQuota = service.warmupQuota;
    copy.services.push_back(std::move(message));
  }
  copy.idle = aView.config.idle;
  copy.configEra = static_cast<int64_t>(aView.configPosition.era);
  copy.configRevision = static_cast<int64_t>(aView.configPosition.revision);
  copy.serversEra = static_cast<int64_t>(aView.serversPosition.era);
  copy.serversRevision = static_cast<int64_t>(aView.serversPosition.revision);
  for (const steer::ServerChange& change : aView.servers) {
    (change.entry ? copy.servers : copy.unreadable)
      .push_back(ToMessage(change));
  }
  WriteDrains(aView.drains, copy);
  return Encode(copy);
}

absl::StatusOr<PeerView>
DecodePeerView(std::string_view aBytes)
{
  absl::StatusOr<msg::ViewCopy> copy = Decode<msg::ViewCopy>(aBytes, "view");
  if (!copy.ok()) {
    return copy.status();
  }
  if (!HasValidPositions(*copy)) {
    return absl::DataLossError(
      "read view of a peer: an era or a revision is invalid");
  }
  PeerView view;
  view.config.version = copy->configVersion;
  view.config.idle = copy->idle;
  for (const msg::Route& route : copy->routes) {
    view.config.routes.push_back(FromMessage(route));
  }
  for (const msg::Service& service : copy->services) {
    view.config.services.push_back({ service.name, service.warmupQuota });
  }
  view.configPosition = ToPosition(copy->configEra, copy->configRevision);
  view.serversPosition = ToPosition(copy->serversEra, copy->serversRevision);
  for (const msg::Server& server : copy->servers) {
    view.servers.push_back(FromMessage(server, copy->serversEra));
  }
  for (const msg::Server& server : copy->unreadable) {
    view.servers.push_back({ server.name,
                             ToPosition(copy->serversEra, server.revision),
                             false,
                             {} });
  }
  view.drains = ReadDrains(*copy);
  return view;
}

namespace {

// Values of msg::Change::kind.
constexpr int8_t kListed = 0;
constexpr int8_t kRemoved = 1;
constexpr int8_t kUnreadable = 2;

msg::Change
ToChange(const steer::ServerChange& aChange)
{
  msg::Change change;
  change.server = ToMessage(aChange);
  change.kind = aChange.removed ? kRemoved
                : aChange.entry ? kListed
                                : kUnreadable;
  return change;
}

steer::ServerChange
FromChange(const msg::Change& aChange, int64_t aEra)
{
  steer::ServerChange change = FromMessage(aChange.server, aEra);
  change.removed = aChange.kind == kRemoved;
  if (aChange.kind != kListed) {
    change.entry.reset();
  }
  return change;
}

void
WritePositions(const spread::Heartbeat& aHeartbeat, msg::Heartbeat& aMessage)
{
  aMessage.configVersion = aHeartbeat.configVersion;
  aMessage.configEra = static_cast<int64_t>(aHeartbeat.configPosition.era);
  aMessage.configRevision =
    static_cast<int64_t>(aHeartbeat.configPosition.revision);
  aMessage.configAge = aHeartbeat.configAge;
  aMessage.serversEra = static_cast<int64_t>(aHeartbeat.serversPosition.era);
  aMessage.serversRevision =
    static_cast<int64_t>(aHeartbeat.serversPosition.revision);
  aMessage.serversAge = aHeartbeat.serversAge;
  aMessage.storeBackAge = aHeartbeat.storeBackAge;
  aMessage.changesFrom = static_cast<int64_t>(aHeartbeat.recent.from.revision);
  aMessage.changesTo = static_cast<int64_t>(aHeartbeat.recent.to.revision);
  for (const steer::ServerChange& change : aHeartbeat.recent.changes) {
    aMessage.changes.push_back(ToChange(change));
  }
}

void
ReadPositions(const msg::Heartbeat& aMessage, spread::Heartbeat& aHeartbeat)
{
  aHeartbeat.configVersion = aMessage.configVersion;
  aHeartbeat.configPosition =
    ToPosition(aMessage.configEra, aMessage.configRevision);
  aHeartbeat.configAge = aMessage.configAge;
  aHeartbeat.serversPosition =
    ToPosition(aMessage.serversEra, aMessage.serversRevision);
  aHeartbeat.serversAge = aMessage.serversAge;
  aHeartbeat.storeBackAge = aMessage.storeBackAge;
  aHeartbeat.recent.from =
    ToPosition(aMessage.serversEra, aMessage.changesFrom);
  aHeartbeat.recent.to = ToPosition(aMessage.serversEra, aMessage.changesTo);
  for (const msg::Change& change : aMessage.changes) {
    aHeartbeat.recent.changes.push_back(
      FromChange(change, aMessage.serversEra));
  }
}

// Checks ages, the change range and the number of quota holders: a negative age
// would make old knowledge look recently confirmed.
bool
IsValid(const spread::Heartbeat& aHeartbeat)
{
  for (const spread::SentVerdict& verdict : aHeartbeat.verdicts) {
    if (verdict.age < 0) {
      return false;
    }
  }
  return aHeartbeat.configAge >= 0 && aHeartbeat.serversAge >= 0 &&
         aHeartbeat.drainsAge >= 0 &&
         aHeartbeat.quotaHolders.size() <= spread::kMaxQuotaHolders &&
         aHeartbeat.recent.from <= aHeartbeat.recent.to;
}

}

std::string
EncodeHeartbeat(const spread::Heartbeat& aHeartbeat)
{
  msg::Heartbeat message;
  message.zone = aHeartbeat.zone;
  message.share = spread::ToMillicores(aHeartbeat.cores);
  message.reads = aHeartbeat.reads;
  message.storeAnswers = aHeartbeat.storeAnswers;
  message.hasView = aHeartbeat.hasView;
  message.wantsAnswer = aHeartbeat.wantsAnswer;
  WritePositions(aHeartbeat, message);
  WriteDrains(aHeartbeat.drains, message);
  message.drainsAge = aHeartbeat.drainsAge;
  message.drainsLeftOut = aHeartbeat.drainsLeftOut;
  message.members.assign(aHeartbeat.members.begin(), aHeartbeat.members.end());
  for (const spread::ReaderAddress& reader : aHeartbeat.readers) {
    msg::Reader readerMessage;
    readerMessage.address = static_cast<int32_t>(reader.address);
    readerMessage.zone = reader.zone;
    message.readers.push_back(std::move(readerMessage));
  }
  message.zoneSize = static_cast<int32_t>(aHeartbeat.zoneSize);
  message.fleetSize = static_cast<int32_t>(aHeartbeat.fleetSize);
  for (const spread::SentVerdict& verdict : aHeartbeat.verdicts) {
    msg::Verdict verdictMessage;
    verdictMessage.server = static_cast<int64_t>(verdict.server);
    verdictMessage.startedAt = verdict.startedAt;
    verdictMessage.age = verdict.age;
    message.verdicts.push_back(std::move(verdictMessage));
  }
  message.quotaHolders.assign(aHeartbeat.quotaHolders.begin(),
                              aHeartbeat.quotaHolders.end());
  message.handsOutQuota = aHeartbeat.handsOutQuota;
  return Encode(message);
}

absl::StatusOr<spread::Heartbeat>
DecodeHeartbeat(std::string_view aBytes)
{
  absl::StatusOr<msg::Heartbeat> message =
    Decode<msg::Heartbeat>(aBytes, "heartbeat");
  if (!message.ok()) {
    return message.status();
  }
  spread::Heartbeat heartbeat;
  heartbeat.zone = message->zone;
  heartbeat.cores = spread::FromMillicores(message->share);
  heartbeat.reads = message->reads;
  heartbeat.storeAnswers = message->storeAnswers;
  heartbeat.hasView = message->hasView;
  heartbeat.wantsAnswer = message->wantsAnswer;
  ReadPositions(*message, heartbeat);
  heartbeat.drains = ReadDrains(*message);
  heartbeat.drainsAge = message->drainsAge;
  heartbeat.drainsLeftOut = message->drainsLeftOut;
  heartbeat.members.assign(message->members.begin(), message->members.end());
  for (const msg::Reader& reader : message->readers) {
    heartbeat.readers.push_back(
      { static_cast<Address>(reader.address), reader.zone });
  }
  heartbeat.zoneSize = static_cast<uint32_t>(message->zoneSize);
  heartbeat.fleetSize = static_cast<uint32_t>(message->fleetSize);
  for (const msg::Verdict& verdict : message->verdicts) {
    heartbeat.verdicts.push_back({ static_cast<steer::ServerId>(verdict.server),
                                   verdict.startedAt,
                                   verdict.age });
  }
  heartbeat.quotaHolders.assign(message->quotaHolders.begin(),
                                message->quotaHolders.end());
  std::sort(heartbeat.quotaHolders.begin(), heartbeat.quotaHolders.end());
  heartbeat.handsOutQuota = message->handsOutQuota;
  if (!HasValidPositions(*message) || !IsValid(heartbeat)) {
    return absl::DataLossError(
      "read heartbeat of a peer: negative age or position, a change before its "
      "start, or too many holders of quotas");
  }
  return heartbeat;
}

namespace {

// First byte of a datagram about an opening. A compact Thrift struct never
// starts with it, as there is no type 15.
constexpr char kOpeningMark = 0x0F;
// Value of msg::Opening::state in a query; in a reply it is an OpeningState.
constexpr int8_t kIsQuery = -1;

msg::Opening
ToMessage(const steer::OpeningQuery& aQuery)
{
  msg::Opening message;
  message.caller = ToNumber(aQuery.flow.caller);
  message.target = ToNumber(aQuery.flow.target);
  message.seq = static_cast<int32_t>(aQuery.seq);
  message.retransmissions = static_cast<int32_t>(aQuery.retransmissions);
  message.state = kIsQuery;
  return message;
}

msg::Opening
ToMessage(const steer::OpeningReply& aReply)
{
  msg::Opening message = ToMessage(aReply.query);
  message.state = static_cast<int8_t>(aReply.state);
  message.server = static_cast<int64_t>(aReply.server);
  message.startedAt = aReply.startedAt;
  message.knowsZone = aReply.zone.has_value();
  if (aReply.zone) {
    message.members.assign(aReply.zone->begin(), aReply.zone->end());
  }
  return message;
}

}

bool
IsOpeningMessage(std::string_view aBytes)
{
  return !aBytes.empty() && aBytes.front() == kOpeningMark;
}

std::string
EncodeOpeningMessage(const OpeningMessage& aMessage)
{
  msg::Opening message = std::visit(
    [](const auto& aContent) { return ToMessage(aContent); }, aMessage);
  return kOpeningMark + Encode(message);
}

absl::StatusOr<OpeningMessage>
DecodeOpeningMessage(std::string_view aBytes)
{
  absl::StatusOr<msg::Opening> message =
    Decode<msg::Opening>(aBytes.substr(1), "opening");
  if (!message.ok()) {
    return message.status();
  }
  steer::OpeningQuery query{ { ToEndpoint(message->caller),
                               ToEndpoint(message->target) },
                             static_cast<uint32_t>(message->seq),
                             static_cast<uint32_t>(message->retransmissions) };
  if (message->state == kIsQuery) {
    return query;
  }
  constexpr auto kStates = static_cast<int8_t>(steer::OpeningState::Count);
  if (message->state < 0 || message->state >= kStates) {
    return absl::DataLossError("read opening of a peer: state is not known");
  }
  steer::OpeningReply reply{ query,
                             static_cast<steer::OpeningState>(message->state),
                             static_cast<steer::ServerId>(message->server),
                             message->startedAt };
  if (message->knowsZone) {
    reply.zone.emplace(message->members.begin(), message->members.end());
  }
  return reply;
}

}
