// A random schedule of faults and planned changes, from a seed.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gentianspindle::soak {

enum class StepAction : uint8_t
{
  StopInstance, // planned: SIGTERM, then a new start
  KillInstance,
  PauseInstance,
  KillAll,        // all instances at once
  ReloadInstance, // its settings file changes, with or without a signal
  LinkReset,      // of an instance to the store
  LinkSilent,
  LinkOneWay, // questions pass, answers do not
  LinkSlow,
  StoreSilent,
  StoreUnavailable, // answers 503
  StoreLosesHistory,
  FabricLoss, // packets to an instance
  FabricDelay,
  DrainServer, // planned: it leaves, another one comes
  KillServer,
  PauseServer,
  ChangeConfig,
  Count,
};

struct Step
{
  StepAction action = StepAction::Count;
  Micros at = 0;
  Micros duration = 0;
  size_t target = 0; // of the instances or servers
};

struct PlanOptions
{
  uint32_t seed = 1;
  Micros length = 60 * kSecond;
  size_t instances = 12;
  size_t servers = 8;
};

// By time; the last ten seconds are left calm.
std::vector<Step>
MakePlan(const PlanOptions& aOptions);

// Does it change only what operators change?
bool
IsPlanned(StepAction aAction);
std::string
Describe(const Step& aStep);

}
