// Messages between instances: beats as datagrams, whole views over HTTP.
#pragma once

#include "tagged/http_client.h"
#include "tagged/pages.h"
#include "tagged/peer_codec.h"
#include "tagged/udp.h"

#include <array>

namespace gentianspindle::tagged {

// A view of the largest fleet takes less on a small instance.
constexpr Micros kViewTimeout = 800 * kMillisecond;
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
  uint64_t beatsIn = 0;
  uint64_t beatsOut = 0;
  uint64_t bytesOut = 0; // of beats and views
  uint64_t badBeats = 0;
  uint64_t views = 0; // taken over
  std::array<uint64_t, static_cast<size_t>(PeerRetry::Count)> retries{};
};

struct PeerEvents
{
  std::function<void(Address, const spread::Beat&)> onBeat;
  // None: there is no view yet.
  std::function<std::optional<PeerView>()> view;
  std::function<void(const PeerView&, const std::string&)> onView;
};

class Peers
{
public:
  // Listens at aSelf, for datagrams and for connections.
  static absl::StatusOr<std::unique_ptr<Peers>> Make(event_base* aBase,
                                                     Endpoint aSelf,
                                                     PeerEvents aEvents);

  void Send(std::span<const Address> aTo, const spread::Beat& aBeat);
  // Asks aPeer for its view, unless a question is under way.
  void AskForView(Address aPeer);
  // Datagrams that wait say nothing any more.
  void DropWaiting();

  const PeerCounts& Counts() const { return this->counts; }

private:
  Peers(event_base* aBase,
        Endpoint aSelf,
        UdpSocket aSocket,
        PeerEvents aEvents);
  void OnReadable();
  PageAnswer AnswerView();
  void OnViewAnswer(const absl::StatusOr<HttpAnswer>& aAnswer);
  void Retry(PeerRetry aWhy);

  event_base* base;
  Endpoint self;
  PeerEvents events;
  UdpSocket socket;
  EventPtr readable;
  ReceiveBatch received{ true };
  std::unique_ptr<Pages> pages;
  std::unique_ptr<HttpClient> client;
  Address asked = 0; // 0: no question is under way
  std::string viewBytes;
  uint64_t viewRevision = 0; // of servers, in viewBytes
  int64_t viewVersion = 0;
  Micros viewMadeAt = 0;
  PeerCounts counts;
};

}
