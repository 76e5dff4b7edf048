// The steps of a soak's plan: what each does to the instances, links, store and
// servers.
#include "absl/strings/str_cat.h"
#include "absl/strings/substitute.h"
#include "soak/http.h"
#include "soak/soak.h"
#include "tagged/loop.h"
#include <algorithm>
#include <fstream>
#include <httplib.h>
#include <iostream>
#include <set>
#include <unistd.h>

namespace gentianspindle::soak {

namespace {

// Of the fabric's faults: fraction of the packets that are lost, and bound of
// the random delay.
constexpr int kLossPercent = 20;
constexpr int kMaxDelayMs = 250;

}

void
Soak::RecordFault(const Step& aStep, std::optional<size_t> aInstance)
{
  this->ledger.Disruptions().Begin(
    DisruptionKind::Unplanned, aInstance, tagged::SteadyNow());
  this->RunAfter(aStep.duration, [this, aInstance] {
    this->ledger.Disruptions().End(
      DisruptionKind::Unplanned, aInstance, tagged::SteadyNow());
  });
}

void
Soak::SetStoreFault(const std::string& aName, int aValue) const
{
  httplib::Client client = ClientOf(this->storeEndpoint);
  client.Post("/fault/" + aName + "/" + std::to_string(aValue));
}

void
Soak::ChangeConfig()
{
  int64_t next = this->version + 1;
  httplib::Client client = ClientOf(this->storeEndpoint);
  auto response = client.Put("/-/objects/config/main",
                             MakeConfigSpec(next, this->targets).dump(),
                             "application/json");
  if (response && response->status == 200) {
    this->version = next;
    this->ledger.OnAccepted(next, tagged::SteadyNow());
  }
}

void
Soak::DrainZone(const Step& aStep)
{
  size_t zone = aStep.target % this->options.zones;
  std::string path = "/-/objects/evacuations/z" + std::to_string(zone);
  auto response =
    ClientOf(this->storeEndpoint).Put(path, "{}", "application/json");
  if (!response || response->status != 200) {
    return;
  }
  Micros now = tagged::SteadyNow();
  for (size_t i = zone; i < this->servers.size(); i += this->options.zones) {
    this->ledger.OnZoneDrain(this->servers[i].id, now, now + aStep.duration);
  }
  this->RunAfter(aStep.duration,
                 [this, path] { ClientOf(this->storeEndpoint).Delete(path); });
}

void
Soak::Kill(size_t aInstance, Micros aDowntime)
{
  Instance& instance = this->instances[aInstance];
  if (!instance.process.Runs() || instance.stopping) {
    return;
  }
  this->ledger.Disruptions().Begin(
    DisruptionKind::Unplanned, aInstance, tagged::SteadyNow());
  instance.killed = true;
  instance.process.Signal(SIGKILL);
  instance.startAt = tagged::SteadyNow() + aDowntime;
}

void
Soak::ApplyInstanceStep(const Step& aStep)
{
  Instance& instance = this->instances[aStep.target];
  bool isRunning =
    instance.process.Runs() && !instance.stopping && !instance.killed;
  if (aStep.action == StepAction::KillInstance) {
    this->Kill(aStep.target, aStep.duration / 2);
  } else if (aStep.action == StepAction::StopInstance && isRunning) {
    this->ledger.Disruptions().Begin(
      DisruptionKind::Planned, aStep.target, tagged::SteadyNow());
    instance.stopping = true;
    instance.process.Signal(SIGTERM);
    // A second signal during a planned stop must not change how it ends.
    this->RunAfter(100 * kMillisecond, [this, target = aStep.target] {
      if (this->instances[target].stopping) {
        this->instances[target].process.Signal(SIGTERM);
      }
    });
  } else if (aStep.action == StepAction::PauseInstance && isRunning) {
    this->RecordFault(aStep, aStep.target);
    instance.process.Signal(SIGSTOP);
    this->RunAfter(aStep.duration, [this, target = aStep.target] {
      this->instances[target].process.Signal(SIGCONT);
    });
  } else if (aStep.action == StepAction::ReloadInstance && isRunning) {
    // The duration only serves as a random number here.
    instance.logLinesPerS = 100 + aStep.duration % 100;
    this->WriteSettings(aStep.target);
    if (aStep.duration % 2 == 0) {
      instance.process.Signal(SIGHUP);
    }
  }
}

void
Soak::ApplyLinkStep(const Step& aStep)
{
  std::string target = std::to_string(aStep.target);
  std::string command;
  std::string end = "link " + target + " pass";
  switch (aStep.action) {
    case StepAction::LinkReset:
      command = "link " + target + " reset";
      break;
    case StepAction::LinkSilent:
      command = "link " + target + " silent";
      break;
    case StepAction::LinkOneWay:
      command = "link " + target + " one_way";
      break;
    case StepAction::LinkSlow:
      command = "link " + target + " slow";
      break;
    default:
      command = "fabric " + target +
                (aStep.action == StepAction::FabricLoss
                   ? " " + std::to_string(kLossPercent) + " 0"
                   : " 0 " + std::to_string(kMaxDelayMs));
      end = "fabric " + target + " 0 0";
  }
  this->RecordFault(aStep, aStep.target);
  this->relay.Write(command);
  this->RunAfter(aStep.duration, [this, end] { this->relay.Write(end); });
}

void
Soak::ApplyStoreStep(const Step& aStep)
{
  this->RecordFault(aStep, std::nullopt);
  std::string name = aStep.action == StepAction::StoreSilent        ? "silent"
                     : aStep.action == StepAction::StoreUnavailable ? "status"
                                                                    : "forget";
  constexpr int kUnavailableStatus = 503;
  constexpr int kOkStatus = 200;
  this->SetStoreFault(name, name == "status" ? kUnavailableStatus : 1);
  // The loss of the history has no end; it counts as a fault for the duration.
  if (name != "forget") {
    this->RunAfter(aStep.duration, [this, name] {
      this->SetStoreFault(name, name == "status" ? kOkStatus : 0);
    });
  }
}

void
Soak::ApplyServerStep(const Step& aStep)
{
  Server& server = this->servers[aStep.target];
  if (!server.process.Runs() || server.leaving) {
    return;
  }
  if (aStep.action == StepAction::DrainServer) {
    server.leaving = true;
    server.process.Signal(SIGTERM);
    return;
  }
  DisruptionLog& disruptionLog = this->ledger.Disruptions();
  disruptionLog.Begin(
    DisruptionKind::ServerFault, std::nullopt, tagged::SteadyNow());
  Micros duration = std::max(aStep.duration, kServerDowntime);
  this->RunAfter(duration, [this] {
    this->ledger.Disruptions().End(
      DisruptionKind::ServerFault, std::nullopt, tagged::SteadyNow());
  });
  if (aStep.action == StepAction::KillServer) {
    server.leaving = true;
    server.process.Signal(SIGKILL);
    // It counts as gone from now on, and as draining from the end of the fault.
    this->ledger.OnGone(server.id, tagged::SteadyNow() + duration);
  } else {
    bool silent = aStep.action == StepAction::SilenceServer;
    server.process.Signal(silent ? SIGUSR1 : SIGSTOP);
    this->RunAfter(aStep.duration, [this, silent, target = aStep.target] {
      this->servers[target].process.Signal(silent ? SIGUSR2 : SIGCONT);
    });
  }
}

void
Soak::ApplyStep(const Step& aStep)
{
  std::ofstream(this->options.folder / "played.txt", std::ios::app)
    << (tagged::SteadyNow() - this->startedAt) / kMillisecond
    << " ms, monotonic clock in us " << tagged::SteadyNow() << ": "
    << Describe(aStep) << "\n";
  switch (aStep.action) {
    case StepAction::StopInstance:
    case StepAction::KillInstance:
    case StepAction::PauseInstance:
    case StepAction::ReloadInstance:
      this->ApplyInstanceStep(aStep);
      break;
    case StepAction::KillAll:
      for (size_t i = 0; i < this->instances.size(); ++i) {
        this->Kill(i, kRestartDelay);
      }
      break;
    case StepAction::StoreSilent:
    case StepAction::StoreUnavailable:
    case StepAction::StoreLosesHistory:
      this->ApplyStoreStep(aStep);
      break;
    case StepAction::DrainServer:
    case StepAction::KillServer:
    case StepAction::PauseServer:
    case StepAction::SilenceServer:
      this->ApplyServerStep(aStep);
      break;
    case StepAction::ChangeConfig:
      this->ChangeConfig();
      break;
    case StepAction::DrainZone:
      this->DrainZone(aStep);
      break;
    default:
      this->ApplyLinkStep(aStep);
  }
}

}
