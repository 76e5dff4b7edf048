// Messages between instances: beats as datagrams, whole views over HTTP.
#pragma once

#include "tagged/http_client.h"
#include "tagged/http_server.h"
#include "tagged/peer_codec.h"
#include "tagged/udp.h"

#include <array>

namespace gentianspindle::tagged {

// A view of the largest fleet takes less on a small instance.
constexpr Micros kViewTimeout = 800 * kMillisecond;
// Bytes of views that an instance gives in a second: most of the smallest
// link. Who gets none asks another instance.
constexpr size_t kMaxViewBytesPerSecond = 1'000'000;
// Time after a question in vain.
constexpr Micros kViewRetryDelay = 200 * kMillisecond;
// A view that was just made is given again.
constexpr Micros kViewCacheTime = 500 * kMillisecond;

enum class PeerRetry : uint8_t
{
  NoAnswer,
  NotReady,
  Unreadable,
  Count,
};

constexpr std::array<std::string_view, static_cast<size_t>(PeerRetry::Count)>
  kPeerRetryNames{ "no_answer", "not_ready", "unreadable" };

struct PeerCounts
{
  uint64_t heartbeatsIn = 0;
  uint64_t heartbeatsOut = 0;
  uint64_t bytesOut = 0; // of beats and views
  uint64_t badHeartbeats = 0;
  uint64_t views = 0; // taken over
  std::array<uint64_t, static_cast<size_t>(PeerRetry::Count)> retries{};
};

// Tells two views apart.
struct ViewVersion
{
  int64_t configVersion = 0;
  uint64_t serversRevision = 0;
  friend bool operator==(const ViewVersion&, const ViewVersion&) = default;
};

struct PeerEvents
{
  std::function<void(Address, const spread::Heartbeat&)> onHeartbeat;
  // None: there is no view yet.
  std::function<std::optional<ViewVersion>()> viewVersion;
  // With or without servers.
  std::function<PeerView(bool)> view;
  std::function<void(const PeerView&, const std::string&)> onView;
};

class Peers
{
public:
  // Listens at aSelf, for datagrams and for connections.
  static absl::StatusOr<std::unique_ptr<Peers>> Make(event_base* aBase,
                                                     Endpoint aSelf,
                                                     PeerEvents aEvents);

  void Send(std::span<const Address> aTo, const spread::Heartbeat& aHeartbeat);
  // Asks aPeer for its view, with or without servers, unless a question is
  // under way.
  void RequestView(Address aPeer, bool aWithServers);
  // Datagrams that wait say nothing any more.
  void DiscardQueuedDatagrams();

  const PeerCounts& Counts() const { return this->counts; }

private:
  Peers(event_base* aBase,
        Endpoint aSelf,
        UdpSocket aSocket,
        PeerEvents aEvents);
  void OnReadable();
  // A view that is given again while it is the same.
  struct CachedView
  {
    std::string bytes;
    ViewVersion viewVersion;
    Micros encodedAt = 0;
  };
  HttpReply ReplyWithView(bool aWithServers, CachedView& aCache);
  bool ReserveViewBytes(size_t aBytes, Micros aNow);
  void OnViewResponse(const absl::StatusOr<HttpResponse>& aResponse);
  void Retry(PeerRetry aReason);

  event_base* base;
  Endpoint self;
  PeerEvents events;
  UdpSocket socket;
  EventPtr readable;
  ReceiveBatch receiveBatch{ true };
  std::unique_ptr<HttpServer> httpServer;
  std::unique_ptr<HttpClient> client;
  Address requestedPeer = 0; // 0: no question is under way
  Micros nextRequestAt = 0;  // not before
  Micros secondStartedAt = 0;
  size_t bytesThisSecond = 0; // of views
  CachedView fullView;
  CachedView configOnly;
  PeerCounts counts;
};

}
