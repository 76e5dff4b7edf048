#include "steer/warmup_quota.h"

#include <algorithm>
#include <cmath>

namespace gentianspindle::steer {

namespace {

// The openings of one instance keep at least this fraction of their even
// distance, so that they are no burst.
constexpr double kMinSpacing = 0.5;

// The hashes are the same in all processes; absl::HashOf is not.
uint64_t
Mix(uint64_t aValue)
{
  aValue += 0x9E3779B97F4A7C15;
  aValue = (aValue ^ (aValue >> 30)) * 0xBF58476D1CE4E5B9;
  aValue = (aValue ^ (aValue >> 27)) * 0x94D049BB133111EB;
  return aValue ^ (aValue >> 31);
}

uint64_t
HashOf(std::string_view aText)
{
  uint64_t hash = 0;
  for (char byte : aText) {
    hash = Mix(hash ^ static_cast<uint8_t>(byte));
  }
  return hash;
}

// Returns whether aOwn has the highest rendezvous hash for the slot. A
// candidate that is added or removed only takes or leaves slots of its own.
template<typename C, typename F>
bool
Wins(uint64_t aSlotHash, uint64_t aOwn, const C& aCandidates, F aHash)
{
  uint64_t own = Mix(aSlotHash ^ aOwn);
  return std::all_of(
    aCandidates.begin(), aCandidates.end(), [&](const auto& aCandidate) {
      return Mix(aSlotHash ^ aHash(aCandidate)) <= own;
    });
}

}

void
WarmupQuota::SetHolders(const QuotaHolders& aHolders, Micros aValidUntil)
{
  this->validUntil = aValidUntil;
  if (aHolders == this->holders) {
    return;
  }
  this->holders = aHolders;
  this->zones.insert(aHolders.zones.begin(), aHolders.zones.end());
  ++this->holdersVersion;
}

// A zone stays known without servers or instances: its instances may be cut
// off, and still use their slots. An entry of a service that no route leads to
// may be another writer's, and its zone none.
void
WarmupQuota::UpdateZones(const View& aView)
{
  if (this->knownProcesses == aView.ProcessCount() &&
      this->knownVersion == aView.Version()) {
    return;
  }
  this->knownProcesses = aView.ProcessCount();
  this->knownVersion = aView.Version();
  size_t known = this->zones.size();
  for (ServerIndex i = 0; i < aView.Size(); ++i) {
    const ServerEntry& entry = aView.At(i).entry;
    if (aView.IsRouted(entry.service)) {
      this->zones.insert(entry.zone);
    }
  }
  this->holdersVersion += this->zones.size() == known ? 0 : 1;
}

void
WarmupQuota::Tick(const View& aView, Micros aNow)
{
  this->UpdateZones(aView);
  absl::erase_if(this->accounts, [&](const auto& aEntry) {
    const std::deque<Micros>& openings = aEntry.second.openings;
    bool cold = aNow < aView.At(aEntry.first).warmupUntil;
    bool recent = !openings.empty() && aNow - openings.back() < kQuotaWindow;
    return !cold && !recent;
  });
}

bool
WarmupQuota::HoldsSlot(uint64_t aSlotHash) const
{
  if (this->holders.standalone) {
    return true;
  }
  auto zoneHash = [](const std::string& aZone) { return HashOf(aZone); };
  if (this->holders.lists.empty() ||
      !Wins(aSlotHash, HashOf(this->holders.zone), this->zones, zoneHash)) {
    return false;
  }
  auto addressHash = [](Address aAddress) { return uint64_t{ aAddress }; };
  return std::all_of(
    this->holders.lists.begin(),
    this->holders.lists.end(),
    [&](const std::vector<Address>& aList) {
      bool listed = std::find(aList.begin(), aList.end(), this->holders.self) !=
                    aList.end();
      return listed && Wins(aSlotHash, this->holders.self, aList, addressHash);
    });
}

// The openings that are handed out are the quota, rounded up where overage and
// slack leave room for that.
uint32_t
WarmupQuota::CountAllowed(ServerId aServer, double aQuota) const
{
  double bound = aQuota * this->options.overage + this->options.slack;
  auto openings = static_cast<uint32_t>(
    std::min({ std::floor(bound), std::ceil(aQuota), 1e6 }));
  uint32_t slots = std::min(openings, kMaxQuotaSlots);
  uint32_t allowed = 0;
  for (uint32_t slot = 0; slot < slots; ++slot) {
    if (this->HoldsSlot(Mix(Mix(aServer) + slot))) {
      allowed += openings / slots + (slot < openings % slots ? 1 : 0);
    }
  }
  return allowed;
}

// A quota from a peer may be any number; what is no positive number is no
// bound.
WarmupQuota::Account*
WarmupQuota::FindAccount(const View& aView, ServerIndex aServer, Micros aNow)
{
  const Server& server = aView.At(aServer);
  if (aNow >= server.warmupUntil) {
    return nullptr;
  }
  double quota = aView.WarmupQuotaOf(server.entry.service);
  if (!(quota > 0) || std::isinf(quota)) {
    return nullptr;
  }
  Account& account = this->accounts[aServer];
  if (account.holdersVersion != this->holdersVersion ||
      account.quota != quota) {
    account.holdersVersion = this->holdersVersion;
    account.quota = quota;
    account.allowed = this->CountAllowed(server.entry.id, quota);
  }
  return &account;
}

bool
WarmupQuota::Admits(const View& aView, ServerIndex aServer, Micros aNow)
{
  Account* account = this->FindAccount(aView, aServer, aNow);
  if (account == nullptr) {
    return true;
  }
  // A process that was stopped has not heard yet who holds the slots now.
  if (!this->holders.standalone && aNow >= this->validUntil) {
    return false;
  }
  std::deque<Micros>& openings = account->openings;
  while (!openings.empty() && aNow - openings.front() >= kQuotaWindow) {
    openings.pop_front();
  }
  if (openings.size() >= account->allowed) {
    return false;
  }
  auto spacing = static_cast<Micros>(kMinSpacing * kQuotaWindow /
                                     static_cast<double>(account->allowed));
  return openings.empty() || aNow - openings.back() >= spacing;
}

void
WarmupQuota::OnOpening(const View& aView, ServerIndex aServer, Micros aNow)
{
  if (Account* account = this->FindAccount(aView, aServer, aNow)) {
    account->openings.push_back(aNow);
  }
}

void
WarmupQuota::OnSendDelay(Micros aPlacedFrom, Micros aSentAt)
{
  for (auto& [server, account] : this->accounts) {
    for (Micros& opening : account.openings) {
      opening = opening >= aPlacedFrom ? aSentAt : opening;
    }
  }
}

}
