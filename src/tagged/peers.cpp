#include "tagged/peers.h"

namespace gentianspindle::tagged {

namespace {

// Paths of a whole view and of a view without servers.
constexpr char kViewPath[] = "/view";
constexpr char kConfigPath[] = "/config";
// A longer view of a peer is refused.
constexpr size_t kMaxViewBytes = 4 * 1024 * 1024;

}

Peers::Peers(event_base* aBase,
             Endpoint aSelf,
             UdpSocket aSocket,
             PeerEvents aEvents)
  : base(aBase)
  , self(aSelf)
  , events(std::move(aEvents))
  , socket(std::move(aSocket))
{
}

absl::StatusOr<std::unique_ptr<Peers>>
Peers::Make(event_base* aBase, Endpoint aSelf, PeerEvents aEvents)
{
  absl::StatusOr<UdpSocket> socket = UdpSocket::Bind(aSelf);
  if (!socket.ok()) {
    return socket.status();
  }
  std::unique_ptr<Peers> peers(
    new Peers(aBase, aSelf, *std::move(socket), std::move(aEvents)));
  absl::StatusOr<std::unique_ptr<HttpServer>> httpServer =
    HttpServer::Make(aBase);
  if (!httpServer.ok()) {
    return httpServer.status();
  }
  peers->httpServer = *std::move(httpServer);
  Peers* rawPeers = peers.get();
  peers->httpServer->Handle(kViewPath, [rawPeers] {
    return rawPeers->ReplyWithView(true, rawPeers->fullView);
  });
  peers->httpServer->Handle(kConfigPath, [rawPeers] {
    return rawPeers->ReplyWithView(false, rawPeers->configOnly);
  });
  if (absl::Status status = peers->httpServer->Listen(aSelf); !status.ok()) {
    return status;
  }
  peers->readable.reset(event_new(
    aBase,
    peers->socket.Descriptor(),
    EV_READ | EV_PERSIST,
    [](evutil_socket_t, short, void* aPeers) {
      static_cast<Peers*>(aPeers)->OnReadable();
    },
    rawPeers));
  event_add(peers->readable.get(), nullptr);
  return peers;
}

void
Peers::OnReadable()
{
  size_t count = this->receiveBatch.Receive(this->socket.Descriptor());
  for (size_t i = 0; i < count; ++i) {
    std::span<uint8_t> bytes = this->receiveBatch.At(i).subspan(kHeadroom);
    this->OnDatagram(
      { reinterpret_cast<const char*>(bytes.data()), bytes.size() },
      this->receiveBatch.From(i).address);
  }
}

void
Peers::OnDatagram(std::string_view aBytes, Address aFrom)
{
  if (IsOpeningMessage(aBytes)) {
    absl::StatusOr<OpeningMessage> message = DecodeOpeningMessage(aBytes);
    ++(message.ok() ? this->counts.openingsIn : this->counts.badHeartbeats);
    if (message.ok()) {
      this->events.onOpening(aFrom, *message);
    }
    return;
  }
  absl::StatusOr<spread::Heartbeat> heartbeat = DecodeHeartbeat(aBytes);
  ++(heartbeat.ok() ? this->counts.heartbeatsIn : this->counts.badHeartbeats);
  if (heartbeat.ok()) {
    this->events.onHeartbeat(aFrom, *heartbeat);
  }
}

void
Peers::DiscardQueuedDatagrams()
{
  while (this->receiveBatch.Receive(this->socket.Descriptor()) > 0) {
  }
}

void
Peers::Send(std::span<const Address> aTo, const spread::Heartbeat& aHeartbeat)
{
  this->counts.heartbeatsOut += aTo.size();
  this->SendDatagram(aTo, EncodeHeartbeat(aHeartbeat));
}

void
Peers::Send(std::span<const Address> aTo, const OpeningMessage& aMessage)
{
  this->counts.openingsOut += aTo.size();
  this->SendDatagram(aTo, EncodeOpeningMessage(aMessage));
}

void
Peers::SendDatagram(std::span<const Address> aTo, std::string aBytes)
{
  std::span<uint8_t> data(reinterpret_cast<uint8_t*>(aBytes.data()),
                          aBytes.size());
  SendBatch batch;
  for (Address to : aTo) {
    if (!batch.Add(data, { to, this->self.port })) {
      batch.Send(this->socket.Descriptor());
      batch.Add(data, { to, this->self.port });
    }
  }
  batch.Send(this->socket.Descriptor());
  this->counts.bytesOut += aTo.size() * aBytes.size();
}

HttpReply
Peers::ReplyWithView(bool aWithServers, CachedView& aCache)
{
  std::optional<ViewVersion> viewVersion = this->events.viewVersion();
  if (!viewVersion) {
    return { 503, "" };
  }
  Micros now = SteadyNow();
  if (aCache.viewVersion != *viewVersion ||
      now - aCache.encodedAt >= kViewCacheTime) {
    aCache = { EncodePeerView(this->events.view(aWithServers)),
               *viewVersion,
               now };
  }
  // The configuration alone is urgent and small, so it is not counted against
  // the limit.
  if (aWithServers && !this->ReserveViewBytes(aCache.bytes.size(), now)) {
    return { 503, "" };
  }
  this->counts.bytesOut += aCache.bytes.size();
  return { 200, aCache.bytes };
}

// Counts aBytes against the limit of the present window and returns whether
// they may be sent. A window starts with the first view that is requested a
// second or more after the start of the former one; that view may always be
// sent, whatever its size.
bool
Peers::ReserveViewBytes(size_t aBytes, Micros aNow)
{
  if (aNow - this->secondStartedAt >= kSecond) {
    this->secondStartedAt = aNow;
    this->bytesThisSecond = 0;
  }
  bool first = this->bytesThisSecond == 0;
  bool fits = this->bytesThisSecond + aBytes <= kMaxViewBytesPerSecond;
  if (first || fits) {
    this->bytesThisSecond += aBytes;
  }
  return first || fits;
}

void
Peers::RequestView(Address aPeer, bool aWithServers)
{
  if (this->requestedPeer != 0 || SteadyNow() < this->nextRequestAt) {
    return;
  }
  this->requestedPeer = aPeer;
  this->client = std::make_unique<HttpClient>(
    this->base, Endpoint{ aPeer, this->self.port }, kMaxViewBytes);
  this->client->Get(aWithServers ? kViewPath : kConfigPath,
                    kViewTimeout,
                    [this](const absl::StatusOr<HttpResponse>& aResponse) {
                      this->OnViewResponse(aResponse);
                    });
}

void
Peers::OnViewResponse(const absl::StatusOr<HttpResponse>& aResponse)
{
  std::string peer = FormatAddress(this->requestedPeer);
  this->requestedPeer = 0;
  if (!aResponse.ok()) {
    this->OnFailedRequest(ViewRequestFailure::NoAnswer);
    return;
  }
  if (aResponse->status != 200) {
    this->OnFailedRequest(ViewRequestFailure::NotReady);
    return;
  }
  absl::StatusOr<PeerView> view = DecodePeerView(aResponse->body);
  if (!view.ok()) {
    this->OnFailedRequest(ViewRequestFailure::Unreadable);
    return;
  }
  ++this->counts.views;
  this->events.onView(*view, peer);
}

void
Peers::OnFailedRequest(ViewRequestFailure aReason)
{
  this->nextRequestAt = SteadyNow() + kViewRetryDelay;
  ++this->counts.failures[static_cast<size_t>(aReason)];
}

}
