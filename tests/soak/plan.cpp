#include "soak/plan.h"

#include <array>
#include <random>
#include <string_view>

namespace gentianspindle::soak {

namespace {

constexpr std::array<std::string_view, static_cast<size_t>(Act::Count)>
  kActNames{ "stop instance",      "kill instance",
             "pause instance",     "kill all instances",
             "reload instance",    "reset store link",
             "silence store link", "cut store link one way",
             "slow store link",    "silence store",
             "store away",         "store forgets",
             "lose packets to",    "delay packets to",
             "drain server",       "kill server",
             "pause server",       "change configuration" };
// How often each comes, against the others.
constexpr std::array<double, static_cast<size_t>(Act::Count)> kWeights{
  4, 2, 2, 0.3, 1, 1, 1, 1, 1, 0.5, 0.7, 0.7, 1, 1, 3, 1, 1, 5
};
constexpr Micros kCalmStart = 6 * kSecond;
constexpr Micros kCalmEnd = 10 * kSecond;
// Steps that follow each other closely overlap; the pauses between series
// are long enough for the bounds to hold again.
constexpr Micros kMeanGap = 500 * kMillisecond;
constexpr Micros kSeriesTime = 6 * kSecond;
constexpr Micros kPauseTime = 7 * kSecond;

}

bool
IsPlanned(Act aAct)
{
  return aAct == Act::StopInstance || aAct == Act::ReloadInstance ||
         aAct == Act::DrainServer || aAct == Act::ChangeConfig;
}

// Series with faults and series of planned work alone take turns, so that
// what only planned work may not do is seen as well.
std::vector<Step>
MakePlan(const PlanOptions& aOptions)
{
  std::mt19937 random(aOptions.seed);
  std::exponential_distribution<double> gap(1.0 / kMeanGap);
  std::discrete_distribution<size_t> kind(kWeights.begin(), kWeights.end());
  std::uniform_int_distribution<Micros> lasts(200 * kMillisecond, 4 * kSecond);
  std::vector<Step> plan;
  Micros at = kCalmStart;
  Micros seriesEnd = at + kSeriesTime;
  bool onlyPlanned = random() % 2 == 0;
  while (at < aOptions.length - kCalmEnd) {
    Step step{ static_cast<Act>(kind(random)), at, lasts(random), 0 };
    bool ofServer = step.act == Act::DrainServer ||
                    step.act == Act::KillServer || step.act == Act::PauseServer;
    step.target = random() % (ofServer ? aOptions.servers : aOptions.instances);
    if (!onlyPlanned || IsPlanned(step.act)) {
      plan.push_back(step);
    }
    at += static_cast<Micros>(gap(random));
    if (at > seriesEnd) {
      at += kPauseTime;
      seriesEnd = at + kSeriesTime;
      onlyPlanned = !onlyPlanned;
    }
  }
  return plan;
}

std::string
Describe(const Step& aStep)
{
  return std::to_string(aStep.at / kMillisecond) +
         " ms: " + std::string(kActNames[static_cast<size_t>(aStep.act)]) +
         " " + std::to_string(aStep.target) + " for " +
         std::to_string(aStep.lasts / kMillisecond) + " ms";
}

}
