#include "tagged/peers.h"

namespace gentianspindle::tagged {

namespace {

constexpr char kViewPath[] = "/view";
constexpr char kConfigPath[] = "/config";

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
  absl::StatusOr<std::unique_ptr<HttpServer>> pages = HttpServer::Make(aBase);
  if (!pages.ok()) {
    return pages.status();
  }
  peers->pages = *std::move(pages);
  Peers* made = peers.get();
  peers->pages->Put(kViewPath,
                    [made] { return made->AnswerView(true, made->whole); });
  peers->pages->Put(
    kConfigPath, [made] { return made->AnswerView(false, made->configOnly); });
  if (absl::Status status = peers->pages->Listen(aSelf); !status.ok()) {
    return status;
  }
  peers->readable.reset(event_new(
    aBase,
    peers->socket.Descriptor(),
    EV_READ | EV_PERSIST,
    [](evutil_socket_t, short, void* aPeers) {
      static_cast<Peers*>(aPeers)->OnReadable();
    },
    made));
  event_add(peers->readable.get(), nullptr);
  return peers;
}

void
Peers::OnReadable()
{
  size_t count = this->received.Receive(this->socket.Descriptor());
  for (size_t i = 0; i < count; ++i) {
    std::span<uint8_t> bytes = this->received.At(i).subspan(kHeadroom);
    absl::StatusOr<spread::Heartbeat> beat = DecodeHeartbeat(
      { reinterpret_cast<const char*>(bytes.data()), bytes.size() });
    if (!beat.ok()) {
      ++this->counts.badHeartbeats;
      continue;
    }
    ++this->counts.heartbeatsIn;
    this->events.onHeartbeat(this->received.From(i).address, *beat);
  }
}

void
Peers::DropWaiting()
{
  while (this->received.Receive(this->socket.Descriptor()) > 0) {
  }
}

void
Peers::Send(std::span<const Address> aTo, const spread::Heartbeat& aHeartbeat)
{
  std::string bytes = EncodeHeartbeat(aHeartbeat);
  std::span<uint8_t> data(reinterpret_cast<uint8_t*>(bytes.data()),
                          bytes.size());
  SendBatch batch;
  for (Address to : aTo) {
    if (!batch.Add(data, { to, this->self.port })) {
      batch.Send(this->socket.Descriptor());
      batch.Add(data, { to, this->self.port });
    }
  }
  batch.Send(this->socket.Descriptor());
  this->counts.heartbeatsOut += aTo.size();
  this->counts.bytesOut += aTo.size() * bytes.size();
}

HttpReply
Peers::AnswerView(bool aServers, MadeView& aMade)
{
  std::optional<ViewState> state = this->events.state();
  if (!state) {
    return { 503, "" };
  }
  Micros now = SteadyNow();
  if (aMade.state != *state || now - aMade.madeAt >= kViewReuse) {
    aMade = { EncodePeerView(this->events.view(aServers)), *state, now };
  }
  // A configuration is urgent and small.
  if (aServers && !this->TakesView(aMade.bytes.size(), now)) {
    return { 503, "" };
  }
  this->counts.bytesOut += aMade.bytes.size();
  return { 200, aMade.bytes };
}

// The first view of a second is always given.
bool
Peers::TakesView(size_t aBytes, Micros aNow)
{
  if (aNow - this->secondFrom >= kSecond) {
    this->secondFrom = aNow;
    this->bytesThisSecond = 0;
  }
  bool first = this->bytesThisSecond == 0;
  bool fits = this->bytesThisSecond + aBytes <= kViewBytesPerSecond;
  if (first || fits) {
    this->bytesThisSecond += aBytes;
  }
  return first || fits;
}

void
Peers::AskForView(Address aPeer, bool aServers)
{
  if (this->asked != 0 || SteadyNow() < this->askAt) {
    return;
  }
  this->asked = aPeer;
  this->client = std::make_unique<HttpClient>(
    this->base, Endpoint{ aPeer, this->self.port });
  this->client->Get(aServers ? kViewPath : kConfigPath,
                    kViewTimeout,
                    [this](const absl::StatusOr<HttpResponse>& aAnswer) {
                      this->OnViewAnswer(aAnswer);
                    });
}

void
Peers::OnViewAnswer(const absl::StatusOr<HttpResponse>& aAnswer)
{
  std::string peer = FormatAddress(this->asked);
  this->asked = 0;
  if (!aAnswer.ok()) {
    this->Retry(PeerRetry::NoAnswer);
    return;
  }
  if (aAnswer->status != 200) {
    this->Retry(PeerRetry::NotReady);
    return;
  }
  absl::StatusOr<PeerView> view = DecodePeerView(aAnswer->body);
  if (!view.ok()) {
    this->Retry(PeerRetry::Unreadable);
    return;
  }
  ++this->counts.views;
  this->events.onView(*view, peer);
}

void
Peers::Retry(PeerRetry aWhy)
{
  this->askAt = SteadyNow() + kViewRetry;
  ++this->counts.retries[static_cast<size_t>(aWhy)];
}

}
