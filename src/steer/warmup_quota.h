// Bound on the flows that all instances together open at a server in its
// warm-up. The quota of a server is divided into slots of one opening a second;
// each slot belongs to one instance, and no call is made for a flow.
#pragma once

#include "steer/view.h"

#include <deque>
#include <limits>
#include <set>

namespace gentianspindle::steer {

// Slots of one server at most. A larger quota gives a slot several openings.
constexpr uint32_t kMaxQuotaSlots = 256;
// The span in which a slot gives its openings. It exceeds one second, as a
// packet leaves some time after its decision.
constexpr Micros kQuotaWindow = kSecond + 30 * kMillisecond;

// In any second a server in its warm-up gets at most its service's quota times
// the overage, plus the slack.
struct WarmupQuotaOptions
{
  double overage = 1;
  double slack = 0; // flows
};

// The instances that hold slots, as this instance knows them.
struct QuotaHolders
{
  Address self = 0;
  std::string zone;               // of this instance
  bool standalone = false;        // there are no other instances
  std::vector<std::string> zones; // that have instances
  // Lists of this zone's holders that may be in use. A slot is this instance's
  // if each of them gives it to this instance; without a list it has none.
  std::vector<std::vector<Address>> lists;

  friend bool operator==(const QuotaHolders&, const QuotaHolders&) = default;
};

// Decides which servers in their warm-up may get a flow from this instance.
class WarmupQuota
{
public:
  explicit WarmupQuota(const WarmupQuotaOptions& aOptions)
    : options(aOptions)
  {
  }

  // The holders hold their slots until aValidUntil.
  void SetHolders(const QuotaHolders& aHolders,
                  Micros aValidUntil = std::numeric_limits<Micros>::max());
  // Adds the zones of the view's servers, and forgets servers whose warm-up is
  // over.
  void Tick(const View& aView, Micros aNow);
  // Returns whether the server may get one more flow. It always may after its
  // warm-up, and if its service has no quota.
  bool Admits(const View& aView, ServerIndex aServer, Micros aNow);
  // A flow was placed at the server.
  void OnOpening(const View& aView, ServerIndex aServer, Micros aNow);
  // The flows placed at aPlacedFrom or later were sent only at aSentAt.
  void OnSendDelay(Micros aPlacedFrom, Micros aSentAt);

private:
  struct Account
  {
    uint64_t holdersVersion = 0; // of the holders that allowed was counted for
    double quota = 0;            // and the quota
    uint32_t allowed = 0;        // openings in kQuotaWindow
    std::deque<Micros> openings; // within the last kQuotaWindow
  };
  // Returns null if the server has no bound.
  Account* FindAccount(const View& aView, ServerIndex aServer, Micros aNow);
  uint32_t CountAllowed(ServerId aServer, double aQuota) const;
  bool HoldsSlot(uint64_t aSlotHash) const;
  void UpdateZones(const View& aView);

  WarmupQuotaOptions options;
  Micros validUntil = 0; // of the holders
  QuotaHolders holders;
  uint64_t holdersVersion = 1; // changes with the holders and the zones
  std::set<std::string> zones; // all that were ever known
  // View::ProcessCount and View::Version at the last Tick.
  uint64_t knownProcesses = 0;
  int64_t knownVersion = 0;
  absl::flat_hash_map<ServerIndex, Account> accounts;
};

}
