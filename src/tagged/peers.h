// Other instances: each asks one of them a second what it knows. So an
// instance that the store turned away, or whose watch went silent, learns of
// newer versions, and one that starts while the store is away gets its view.
#pragma once

#include "tagged/http_client.h"
#include "tagged/pages.h"
#include "tagged/peer_codec.h"

#include <array>
#include <map>
#include <random>

namespace gentianspindle::tagged {

// Time between two questions.
constexpr Micros kPeerPeriod = 1 * kSecond;
// At start the view is urgent; the store gets this much time first.
constexpr Micros kPeerFirst = 150 * kMillisecond;
constexpr Micros kPeerTimeout = 400 * kMillisecond;
// A peer that nobody has heard of for this time is forgotten; seeds never.
constexpr Micros kPeerForget = 20 * kSecond;

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
  uint64_t asked = 0;
  uint64_t views = 0; // taken over
  std::array<uint64_t, static_cast<size_t>(PeerRetry::Count)> retries{};
};

struct PeerOptions
{
  Endpoint self;
  std::vector<Address> seeds;
  uint32_t randomSeed = 1;
};

// What the instance gives and takes.
struct PeerEvents
{
  std::function<PeerDigest()> digest;
  std::function<PeerView()> view;
  std::function<bool()> hasView;
  // Is a peer with this digest so much ahead that its view is wanted?
  std::function<bool(const PeerDigest&)> wants;
  std::function<void(const PeerView&, const std::string&)> onView;
};

class Peers
{
public:
  static absl::StatusOr<std::unique_ptr<Peers>>
  Make(event_base* aBase, const PeerOptions& aOptions, PeerEvents aEvents);

  const PeerCounts& Counts() const { return this->counts; }
  size_t Known() const { return this->heardAt.size(); }

private:
  Peers(event_base* aBase, const PeerOptions& aOptions, PeerEvents aEvents);
  PageAnswer AnswerDigest(Address aCaller);
  PageAnswer AnswerView(Address aCaller);
  void Ask();
  void AskFor(const char* aPath, void (Peers::*aOn)(const std::string&));
  void OnDigest(const std::string& aBody);
  void OnView(const std::string& aBody);
  void Retry(PeerRetry aWhy);
  void Note(Address aPeer, Micros aNow);
  Address Pick();

  event_base* base;
  PeerOptions options;
  PeerEvents events;
  std::unique_ptr<Pages> pages;
  std::unique_ptr<HttpClient> client;
  Address asked = 0;
  std::map<Address, Micros> heardAt;
  Timer next;
  std::minstd_rand random;
  PeerCounts counts;
};

}
