#include "soak/plan.h"

#include <algorithm>
#include <array>
#include <random>
#include <string_view>

namespace gentianspindle::soak {

namespace {

constexpr std::array<std::string_view, static_cast<size_t>(StepAction::Count)>
  kActionNames{ "stop instance",          "kill instance",
                "pause instance",         "kill all instances",
                "reload instance",        "reset store link",
                "silence store link",     "block store link replies",
                "slow store link",        "silence store",
                "make store unavailable", "store loses history",
                "lose packets to",        "delay packets to",
                "drain server",           "kill server",
                "pause server",           "change configuration",
                "silence server",         "drain zone of server" };
// Relative frequencies of the actions, in the order of StepAction.
using Weights = std::array<double, static_cast<size_t>(StepAction::Count)>;
constexpr Weights kWeights{
  4,   2,   2,   0.3, 1, // instances: stop, kill, pause, kill all, reload
  1,   1,   1,   1,      // links to the store: reset, silent, one way, slow
  0.5, 0.7, 0.7,         // store: silent, unavailable, without history
  1,   1,                // fabric: loss, delay
  3,   1,   1,           // servers: drain, kill, pause
  5,                     // change of the configuration
  0,                     // servers: silence
  0                      // drain of a zone: once, see MakePlan
};
constexpr Weights kServerWeights{
  1, 0.3, 1,   0, 0, // instances: stop, kill, pause
  0, 0,   0,   0,    // links to the store
  0, 0,   0,         // store
  1, 1,              // fabric: loss, delay
  1, 1.5, 1.5,       // servers: drain, kill, pause
  1,                 // change of the configuration
  5,                 // servers: silence
  0                  // drain of a zone
};
// Longer than the bound, so that its end is checked for a while.
constexpr Micros kZoneDrainTime = 12 * kSecond;
// No step begins during these times at the start and end of the plan.
constexpr Micros kQuietStart = 6 * kSecond;
constexpr Micros kQuietEnd = 10 * kSecond;
// Steps of a series overlap, as they follow each other closely. The gap between
// series is longer than kRecoveryTime, so that the bounds apply again before
// the next one, unless a disruption lasts for more than 3 s beyond the series.
constexpr Micros kMeanGap = 500 * kMillisecond;
constexpr Micros kSeriesTime = 6 * kSecond;
constexpr Micros kSeriesGap = 7 * kSecond;

}

bool
IsPlanned(StepAction aAction)
{
  return aAction == StepAction::StopInstance ||
         aAction == StepAction::ReloadInstance ||
         aAction == StepAction::DrainServer ||
         aAction == StepAction::ChangeConfig ||
         aAction == StepAction::DrainZone;
}

// Series with faults alternate with series of planned steps alone. Some checks
// apply only without faults, for example that no open flow is reset.
std::vector<Step>
MakePlan(const PlanOptions& aOptions)
{
  std::mt19937 random(aOptions.seed);
  std::exponential_distribution<double> gap(1.0 / kMeanGap);
  const Weights& weights =
    aOptions.schedule == Schedule::Servers ? kServerWeights : kWeights;
  std::discrete_distribution<size_t> kind(weights.begin(), weights.end());
  std::uniform_int_distribution<Micros> duration(200 * kMillisecond,
                                                 4 * kSecond);
  std::vector<Step> plan;
  Micros at = kQuietStart;
  Micros seriesEnd = at + kSeriesTime;
  bool onlyPlanned = random() % 2 == 0;
  while (at < aOptions.length - kQuietEnd) {
    Step step{ static_cast<StepAction>(kind(random)), at, duration(random), 0 };
    bool ofServer = step.action == StepAction::DrainServer ||
                    step.action == StepAction::KillServer ||
                    step.action == StepAction::PauseServer ||
                    step.action == StepAction::SilenceServer;
    step.target = random() % (ofServer ? aOptions.servers : aOptions.instances);
    if (!onlyPlanned || IsPlanned(step.action)) {
      plan.push_back(step);
    }
    at += static_cast<Micros>(gap(random));
    if (at > seriesEnd) {
      at += kSeriesGap;
      seriesEnd = at + kSeriesTime;
      onlyPlanned = !onlyPlanned;
    }
  }
  // The zone of the first server: the prober's and others' services have
  // servers elsewhere.
  Step drain{ StepAction::DrainZone, aOptions.length / 2, kZoneDrainTime, 0 };
  auto later = std::find_if(plan.begin(), plan.end(), [&](const Step& aStep) {
    return aStep.at > drain.at;
  });
  plan.insert(later, drain);
  return plan;
}

std::string
Describe(const Step& aStep)
{
  return std::to_string(aStep.at / kMillisecond) + " ms: " +
         std::string(kActionNames[static_cast<size_t>(aStep.action)]) + " " +
         std::to_string(aStep.target) + " for " +
         std::to_string(aStep.duration / kMillisecond) + " ms";
}

}
