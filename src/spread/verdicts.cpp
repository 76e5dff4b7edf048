#include "spread/verdicts.h"

#include <algorithm>

namespace gentianspindle::spread {

namespace {

// Bounds the verdicts that are kept of peers.
constexpr size_t kMaxHeard = 4 * kMaxVerdicts;

auto
FindSame(std::vector<Verdict>& aVerdicts, const Verdict& aVerdict)
{
  return std::find_if(
    aVerdicts.begin(), aVerdicts.end(), [&](const Verdict& aOther) {
      return aOther.IsOnSame(aVerdict);
    });
}

void
EraseOld(std::vector<Verdict>& aVerdicts, Micros aNow)
{
  std::erase_if(aVerdicts, [aNow](const Verdict& aVerdict) {
    return aNow - aVerdict.at >= kSentVerdictLifetime;
  });
}

}

bool
SharedVerdicts::SetOwn(std::span<const Verdict> aVerdicts, Micros aNow)
{
  bool anyNew = false;
  for (const Verdict& verdict : aVerdicts) {
    bool isRecent = aNow - verdict.at < kSentVerdictLifetime;
    anyNew =
      anyNew || (isRecent && FindSame(this->own, verdict) == this->own.end());
  }
  this->own.assign(aVerdicts.begin(), aVerdicts.end());
  EraseOld(this->own, aNow);
  return anyNew;
}

bool
SharedVerdicts::OnPeerVerdicts(std::span<const SentVerdict> aVerdicts,
                               Micros aNow)
{
  EraseOld(this->heard, aNow);
  bool anyNew = false;
  for (const SentVerdict& sent : aVerdicts) {
    Verdict verdict{ sent.server, sent.startedAt, aNow - sent.age };
    if (this->newFromPeers.size() < kMaxHeard) {
      this->newFromPeers.push_back(verdict);
    }
    auto known = FindSame(this->heard, verdict);
    if (known != this->heard.end()) {
      known->at = std::max(known->at, verdict.at);
    } else if (aNow - verdict.at < kSentVerdictLifetime &&
               this->heard.size() < kMaxHeard) {
      this->heard.push_back(verdict);
      anyNew = true;
    }
  }
  return anyNew;
}

std::vector<SentVerdict>
SharedVerdicts::Newest(bool aWithHeard, Micros aNow) const
{
  std::vector<Verdict> newest = this->own;
  if (aWithHeard) {
    for (const Verdict& verdict : this->heard) {
      if (FindSame(newest, verdict) == newest.end()) {
        newest.push_back(verdict);
      }
    }
  }
  EraseOld(newest, aNow);
  std::sort(newest.begin(),
            newest.end(),
            [](const Verdict& aLeft, const Verdict& aRight) {
              return aLeft.at > aRight.at;
            });
  newest.resize(std::min(newest.size(), kMaxVerdicts));
  std::vector<SentVerdict> sent;
  sent.reserve(newest.size());
  for (const Verdict& verdict : newest) {
    sent.push_back({ verdict.server, verdict.startedAt, aNow - verdict.at });
  }
  return sent;
}

}
