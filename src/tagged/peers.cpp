#include "tagged/peers.h"

#include <algorithm>

namespace gentianspindle::tagged {

namespace {

constexpr char kDigestPath[] = "/digest";
constexpr char kViewPath[] = "/view";
// Members that one digest names.
constexpr size_t kMostMembers = 64;

}

Peers::Peers(event_base* aBase, const PeerOptions& aOptions, PeerEvents aEvents)
  : base(aBase)
  , options(aOptions)
  , events(std::move(aEvents))
  , next(aBase, [this] { this->Ask(); })
  , random(aOptions.randomSeed)
{
}

absl::StatusOr<std::unique_ptr<Peers>>
Peers::Make(event_base* aBase, const PeerOptions& aOptions, PeerEvents aEvents)
{
  std::unique_ptr<Peers> peers(new Peers(aBase, aOptions, std::move(aEvents)));
  absl::StatusOr<std::unique_ptr<Pages>> pages = Pages::Make(aBase);
  if (!pages.ok()) {
    return pages.status();
  }
  peers->pages = *std::move(pages);
  Peers* self = peers.get();
  peers->pages->Put(kDigestPath, [self](Address aCaller) {
    return self->AnswerDigest(aCaller);
  });
  peers->pages->Put(
    kViewPath, [self](Address aCaller) { return self->AnswerView(aCaller); });
  if (absl::Status status = peers->pages->Listen(aOptions.self); !status.ok()) {
    return status;
  }
  for (Address seed : aOptions.seeds) {
    peers->Note(seed, SteadyNow());
  }
  peers->next.Start(kPeerFirst);
  return peers;
}

void
Peers::Note(Address aPeer, Micros aNow)
{
  if (aPeer != this->options.self.address) {
    this->heardAt[aPeer] = aNow;
  }
}

PageAnswer
Peers::AnswerDigest(Address aCaller)
{
  this->Note(aCaller, SteadyNow());
  PeerDigest digest = this->events.digest();
  for (const auto& [peer, heard] : this->heardAt) {
    if (digest.members.size() < kMostMembers) {
      digest.members.push_back(peer);
    }
  }
  return { 200, EncodePeerDigest(digest) };
}

PageAnswer
Peers::AnswerView(Address aCaller)
{
  this->Note(aCaller, SteadyNow());
  if (!this->events.hasView()) {
    return { 503, "" };
  }
  return { 200, EncodePeerView(this->events.view()) };
}

Address
Peers::Pick()
{
  Micros at = SteadyNow();
  const std::vector<Address>& seeds = this->options.seeds;
  std::erase_if(this->heardAt, [&](const auto& aPeer) {
    bool isSeed =
      std::find(seeds.begin(), seeds.end(), aPeer.first) != seeds.end();
    return !isSeed && at - aPeer.second > kPeerForget;
  });
  if (this->heardAt.empty()) {
    return 0;
  }
  auto peer = this->heardAt.begin();
  std::advance(peer, this->random() % this->heardAt.size());
  return peer->first;
}

void
Peers::Ask()
{
  this->next.Start(this->events.hasView() ? kPeerPeriod : kPeerTimeout);
  this->asked = this->Pick();
  if (this->asked == 0) {
    return;
  }
  this->client = std::make_unique<HttpClient>(
    this->base, Endpoint{ this->asked, this->options.self.port });
  ++this->counts.asked;
  if (this->events.hasView()) {
    this->AskFor(kDigestPath, &Peers::OnDigest);
  } else {
    this->AskFor(kViewPath, &Peers::OnView);
  }
}

void
Peers::AskFor(const char* aPath, void (Peers::*aOn)(const std::string&))
{
  this->client->Get(aPath,
                    kPeerTimeout - 50 * kMillisecond,
                    [this, aOn](absl::StatusOr<HttpAnswer> aAnswer) {
                      if (!aAnswer.ok()) {
                        this->Retry(PeerRetry::NoAnswer);
                      } else if (aAnswer->status != 200) {
                        this->Retry(PeerRetry::NotReady);
                      } else {
                        this->Note(this->asked, SteadyNow());
                        (this->*aOn)(aAnswer->body);
                      }
                    });
}

void
Peers::OnDigest(const std::string& aBody)
{
  absl::StatusOr<PeerDigest> digest = DecodePeerDigest(aBody);
  if (!digest.ok()) {
    this->Retry(PeerRetry::Unreadable);
    return;
  }
  Micros at = SteadyNow();
  for (Address member : digest->members) {
    // Heard of only; it counts as heard when it answers.
    if (member != this->options.self.address) {
      this->heardAt.try_emplace(member, at - kPeerForget / 2);
    }
  }
  if (this->events.wants(*digest)) {
    this->AskFor(kViewPath, &Peers::OnView);
  }
}

void
Peers::OnView(const std::string& aBody)
{
  absl::StatusOr<PeerView> view = DecodePeerView(aBody);
  if (!view.ok()) {
    this->Retry(PeerRetry::Unreadable);
    return;
  }
  ++this->counts.views;
  this->events.onView(*view, FormatAddress(this->asked));
}

void
Peers::Retry(PeerRetry aWhy)
{
  ++this->counts.retries[static_cast<size_t>(aWhy)];
}

}
