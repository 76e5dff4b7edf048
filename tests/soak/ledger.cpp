#include "soak/ledger.h"

#include <algorithm>
#include <array>

namespace gentianspindle::soak {

namespace {

constexpr std::array<std::string_view, static_cast<size_t>(Breach::Count)>
  kBreachNames{ "broken_answer",   "wrong_service", "ran_twice", "unasked",
                "refused_and_ran", "changed",       "drained",   "late",
                "went_back",       "flow_broken",   "bad_exit" };

std::string
Milliseconds(Micros aTime)
{
  return std::to_string(aTime / kMillisecond) + " ms";
}

}

std::string_view
BreachName(Breach aBreach)
{
  return kBreachNames[static_cast<size_t>(aBreach)];
}

void
Troubles::Begin(Cause aCause, std::optional<size_t> aInstance, Micros aAt)
{
  this->spans.push_back({ aCause, aInstance, aAt, INT64_MAX });
}

void
Troubles::End(Cause aCause, std::optional<size_t> aInstance, Micros aAt)
{
  for (Span& span : this->spans) {
    bool same = span.cause == aCause && span.instance == aInstance;
    if (same && span.to == INT64_MAX) {
      span.to = aAt;
      return;
    }
  }
}

bool
Troubles::Touches(const Span& aSpan, Micros aAt)
{
  bool over = aSpan.to != INT64_MAX && aAt - aSpan.to >= kTouchTime;
  return aSpan.from <= aAt && !over;
}

bool
Troubles::InTouch(size_t aInstance, Micros aAt) const
{
  return std::none_of(
    this->spans.begin(), this->spans.end(), [&](const Span& aSpan) {
      bool concerns = !aSpan.instance || *aSpan.instance == aInstance;
      return concerns && aSpan.cause != Cause::OfServer && Touches(aSpan, aAt);
    });
}

bool
Troubles::Calm(Micros aAt) const
{
  return std::none_of(
    this->spans.begin(), this->spans.end(), [aAt](const Span& aSpan) {
      return aSpan.cause != Cause::Planned && Touches(aSpan, aAt);
    });
}

void
Ledger::Add(Breach aBreach, Micros aAt, std::string aText)
{
  this->findings.push_back({ aBreach, aAt, std::move(aText) });
}

void
Ledger::OnSent(const std::string& aId, const std::string& aService)
{
  this->sent[aId] = aService;
}

void
Ledger::OnRefused(const std::string& aId, Micros aAt)
{
  this->refused.insert(aId);
  if (this->runs.contains(aId)) {
    this->Add(Breach::RefusedAndRan, aAt, aId);
  }
}

void
Ledger::OnBadAnswer(const std::string& aId, std::string_view aWhy, Micros aAt)
{
  this->Add(Breach::BrokenAnswer, aAt, aId + ": " + std::string(aWhy));
}

// Nothing unplanned was near, and the server lives: planned work broke it.
void
Ledger::OnFlowReset(const std::string& aServer, Micros aAt)
{
  if (this->troubles.Calm(aAt) && !this->servers[aServer].gone) {
    this->Add(Breach::FlowBroken, aAt, "flow to " + aServer);
  }
}

void
Ledger::OnRun(const std::string& aServer,
              const std::string& aId,
              const std::string& aService,
              Micros aAt)
{
  auto known = this->sent.find(aId);
  if (known == this->sent.end()) {
    this->Add(Breach::Unasked, aAt, aId + " at " + aServer);
  } else if (known->second != aService) {
    this->Add(Breach::WrongService, aAt, aId + " at " + aServer);
  }
  if (!this->runs.insert(aId).second) {
    this->Add(Breach::RanTwice, aAt, aId + " at " + aServer);
  }
  if (this->refused.contains(aId)) {
    this->Add(Breach::RefusedAndRan, aAt, aId + " at " + aServer);
  }
}

void
Ledger::OnChanged(std::string_view aWhere, Micros aAt)
{
  this->Add(Breach::Changed, aAt, "packet at " + std::string(aWhere));
}

void
Ledger::OnDraining(const std::string& aServer, Micros aAt)
{
  Server& server = this->servers[aServer];
  server.drainsAt = std::min(server.drainsAt, aAt);
}

void
Ledger::OnGone(const std::string& aServer, Micros aAt)
{
  this->OnDraining(aServer, aAt);
  this->servers[aServer].gone = true;
}

void
Ledger::OnOpened(const std::string& aServer, size_t aInstance, Micros aAt)
{
  Micros since = this->servers[aServer].drainsAt;
  bool late = since != INT64_MAX && aAt - since > kDrainTime;
  if (late && this->troubles.InTouch(aInstance, aAt)) {
    this->Add(Breach::Drained,
              aAt,
              aServer + " by instance " + std::to_string(aInstance) + ", " +
                Milliseconds(aAt - since) + " after it began to drain");
  }
}

void
Ledger::OnAccepted(int64_t aVersion, Micros aAt)
{
  this->accepted[aVersion] = aAt;
}

void
Ledger::OnStarted(size_t aInstance)
{
  this->inForce.erase(aInstance);
}

void
Ledger::OnInForce(size_t aInstance, int64_t aVersion, Micros aAt)
{
  int64_t& before = this->inForce[aInstance];
  if (aVersion < before) {
    this->Add(Breach::WentBack,
              aAt,
              "instance " + std::to_string(aInstance) + " from version " +
                std::to_string(before) + " to " + std::to_string(aVersion));
  }
  before = std::max(before, aVersion);
  for (const auto& [version, at] : this->accepted) {
    bool late = version > aVersion && aAt - at > kInForceTime;
    if (late && this->troubles.InTouch(aInstance, aAt)) {
      this->Add(Breach::Late,
                aAt,
                "instance " + std::to_string(aInstance) + ": version " +
                  std::to_string(version) + " accepted " +
                  Milliseconds(aAt - at) + " ago, in force " +
                  std::to_string(aVersion));
      return;
    }
  }
}

void
Ledger::OnExit(size_t aInstance, bool aPlanned, int aStatus, Micros aAt)
{
  if (aPlanned && aStatus != 0) {
    this->Add(Breach::BadExit,
              aAt,
              "instance " + std::to_string(aInstance) + " with status " +
                std::to_string(aStatus));
  }
}

}
