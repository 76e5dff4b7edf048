// Communication between instances: heartbeats and queries about openings as
// datagrams, and views over HTTP.
#pragma once

#include "tagged/http_client.h"
#include "tagged/http_server.h"
#include "tagged/peer_codec.h"
#include "tagged/udp.h"

#include <array>

namespace gentianspindle::tagged {

// Timeout of a view request. Even a small instance sends the view of the
// largest fleet in less time.
constexpr Micros kViewTimeout = 800 * kMillisecond;
// Limit for the views with servers that an instance sends: most of the smallest
// link's bandwidth. A peer that is refused requests the view again, from the
// instance that last announced a newer one.
constexpr size_t kMaxViewBytesPerSecond = 1'000'000;
// Minimum time between a failed view request and the next one.
constexpr Micros kViewRetryDelay = 200 * kMillisecond;
// An encoded view is reused for this time, unless the view changes before.
constexpr Micros kViewCacheTime = 500 * kMillisecond;

// Why a view request failed.
enum class ViewRequestFailure : uint8_t
{
  NoAnswer,   // timed out, or the connection failed
  NotReady,   // any status but 200: no view yet, or the limit is reached
  Unreadable, // the body is not as expected
  Count,
};

constexpr std::array<std::string_view,
                     static_cast<size_t>(ViewRequestFailure::Count)>
  kViewRequestFailureNames{ "no_answer", "not_ready", "unreadable" };

// Counts of messages and failed requests, for the metrics.
struct PeerCounts
{
  uint64_t heartbeatsIn = 0;
  uint64_t heartbeatsOut = 0; // handed to the socket, sent or not
  uint64_t bytesOut = 0;      // of these heartbeats, and of views
  uint64_t badHeartbeats = 0; // datagrams that are no message
  // Datagrams about openings.
  uint64_t openingsIn = 0;
  uint64_t openingsOut = 0; // handed to the socket, sent or not
  uint64_t views = 0;       // received from peers, with or without servers
  std::array<uint64_t, static_cast<size_t>(ViewRequestFailure::Count)>
    failures{};
};

// Identifies the content of a view, to notice a change.
struct ViewVersion
{
  int64_t configVersion = 0;
  StorePosition serversPosition;
  StorePosition drainsChanged; // of the last change
  friend bool operator==(const ViewVersion&, const ViewVersion&) = default;
};

// Functions by which Peers reports what it receives, and gets the view that it
// sends.
struct PeerEvents
{
  // Called with each datagram about an opening, and its sender.
  std::function<void(Address, const OpeningMessage&)> onOpening;
  // Called with each heartbeat and its sender.
  std::function<void(Address, const spread::Heartbeat&)> onHeartbeat;
  // Returns the version of this instance's view; nullopt while there is none.
  std::function<std::optional<ViewVersion>()> viewVersion;
  // Returns a copy of this instance's view, with or without the servers.
  std::function<PeerView(bool)> view;
  // Called with the view that a peer sent, and the peer's address.
  std::function<void(const PeerView&, const std::string&)> onView;
};

// Sends and receives the messages of one instance.
class Peers
{
public:
  // Listens at aSelf for datagrams and for HTTP connections. Peers use the same
  // port.
  static absl::StatusOr<std::unique_ptr<Peers>> Make(event_base* aBase,
                                                     Endpoint aSelf,
                                                     PeerEvents aEvents);

  void Send(std::span<const Address> aTo, const spread::Heartbeat& aHeartbeat);
  void Send(std::span<const Address> aTo, const OpeningMessage& aMessage);
  // Requests the view of aPeer, with or without the servers. Does nothing while
  // another request is pending, or shortly after a failed one.
  void RequestView(Address aPeer, bool aWithServers);
  // Discards the received datagrams that wait in the socket's buffer. After a
  // process pause the ages in them are out of date.
  void DiscardQueuedDatagrams();

  const PeerCounts& Counts() const { return this->counts; }

private:
  Peers(event_base* aBase,
        Endpoint aSelf,
        UdpSocket aSocket,
        PeerEvents aEvents);
  void OnReadable();
  void OnDatagram(std::string_view aBytes, Address aFrom);
  // Counts the bytes that it sends.
  void SendDatagram(std::span<const Address> aTo, std::string aBytes);
  // An encoded view, to be sent again while it doesn't change.
  struct CachedView
  {
    std::string bytes;
    ViewVersion viewVersion;
    Micros encodedAt = 0;
  };
  HttpReply ReplyWithView(bool aWithServers, CachedView& aCache);
  bool ReserveViewBytes(size_t aBytes, Micros aNow);
  void OnViewResponse(const absl::StatusOr<HttpResponse>& aResponse);
  // Counts the failure, and blocks further requests for kViewRetryDelay.
  void OnFailedRequest(ViewRequestFailure aReason);

  event_base* base;
  Endpoint self;
  PeerEvents events;
  UdpSocket socket;
  EventPtr readable;
  ReceiveBatch receiveBatch{ true };
  std::unique_ptr<HttpServer> httpServer;
  std::unique_ptr<HttpClient> client;
  Address requestedPeer = 0; // 0: no request is pending
  Micros nextRequestAt = 0;  // earliest time of the next request
  // Start of the present window of kMaxViewBytesPerSecond, and bytes of views
  // sent in it.
  Micros secondStartedAt = 0;
  size_t bytesThisSecond = 0;
  CachedView fullView;
  CachedView configOnly;
  PeerCounts counts;
};

}
