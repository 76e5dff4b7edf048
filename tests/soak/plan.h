// Makes a random schedule of faults and planned changes from a seed.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gentianspindle::soak {

// What a step does to the deployment.
enum class StepAction : uint8_t
{
  StopInstance, // planned: SIGTERM, then a restart
  KillInstance, // restarted after half of the step's duration
  PauseInstance,
  KillAll,        // all instances at once
  ReloadInstance, // planned: new settings file, with or without SIGHUP
  // Faults of the connections between an instance and the store.
  LinkReset,
  LinkSilent,
  LinkOneWay, // requests pass, responses don't
  LinkSlow,
  StoreSilent,
  StoreUnavailable,  // replies 503
  StoreLosesHistory, // watches must begin anew
  FabricLoss,        // of packets from callers to an instance
  FabricDelay,
  DrainServer, // planned: it leaves, and another one replaces it
  KillServer,
  PauseServer,
  ChangeConfig,  // planned
  SilenceServer, // it takes no packets and no connections for a while
  DrainZone,     // planned
  Count,
};

// One entry of the schedule.
struct Step
{
  StepAction action = StepAction::Count;
  Micros at = 0;       // since the start of the schedule
  Micros duration = 0; // of the fault; planned steps end by themselves
  // Index of an instance or a server; unused by steps that affect the store,
  // the configuration or all instances.
  size_t target = 0;
};

// Which steps are frequent.
enum class Schedule : uint8_t
{
  All,
  Servers, // mostly servers that fall silent, are paused or killed
};

struct PlanOptions
{
  Schedule schedule = Schedule::All;
  uint32_t seed = 1;
  Micros length = 60 * kSecond;
  size_t instances = 12;
  size_t servers = 8;
};

// Returns the steps ordered by time. None begins in the first six and the last
// ten seconds. A zone is drained once, in the middle.
std::vector<Step>
MakePlan(const PlanOptions& aOptions);

// Whether the action is one of operators rather than a fault. Planned actions
// must not break open flows.
bool
IsPlanned(StepAction aAction);
// Returns time, action, target and duration as text, also where the action has
// no target.
std::string
Describe(const Step& aStep);

}
