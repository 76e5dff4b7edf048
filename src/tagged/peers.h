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
constexpr size_t kViewBytesPerSecond = 1'000'000;
// Time after a question in vain.
constexpr Micros kViewRetry = 200 * kMillisecond;
// A view that was just made is given again.
constexpr Micros kViewReuse = 500 * kMillisecond;

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
struct ViewState
{
  int64_t configVersion = 0;
  uint64_t serversRevision = 0;
  friend bool operator==(const ViewState&, const ViewState&) = default;
};

struct PeerEvents
{
  std::function<void(Address, const spread::Heartbeat&)> onHeartbeat;
  // None: there is no view yet.
  std::function<std::optional<ViewState>()> state;
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
  void AskForView(Address aPeer, bool aServers);
  // Datagrams that wait say nothing any more.
  void DropWaiting();

  const PeerCounts& Counts() const { return this->counts; }

private:
  Peers(event_base* aBase,
        Endpoint aSelf,
        UdpSocket aSocket,
        PeerEvents aEvents);
  void OnReadable();
  // A view that is given again while it is the same.
  struct MadeView
  {
    std::string bytes;
    ViewState state;
    Micros madeAt = 0;
  };
  HttpReply AnswerView(bool aServers, MadeView& aMade);
  bool TakesView(size_t aBytes, Micros aNow);
  void OnViewAnswer(const absl::StatusOr<HttpResponse>& aAnswer);
  void Retry(PeerRetry aWhy);

  event_base* base;
  Endpoint self;
  PeerEvents events;
  UdpSocket socket;
  EventPtr readable;
  ReceiveBatch received{ true };
  std::unique_ptr<HttpServer> pages;
  std::unique_ptr<HttpClient> client;
  Address asked = 0; // 0: no question is under way
  Micros askAt = 0;  // not before
  Micros secondFrom = 0;
  size_t bytesThisSecond = 0; // of views
  MadeView whole;
  MadeView configOnly;
  PeerCounts counts;
};

}
