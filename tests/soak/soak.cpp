#include "soak/soak.h"
#include "soak/http.h"
#include "tagged/loop.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/substitute.h"

#include <algorithm>
#include <fstream>
#include <httplib.h>
#include <iostream>
#include <set>
#include <unistd.h>

namespace gentianspindle::soak {

namespace {

constexpr uint16_t kFirstServerPort = 20000;
constexpr Micros kRestartTime = 300 * kMillisecond;
constexpr Micros kServerAway = 1 * kSecond;
constexpr Micros kRecordPeriod = 100 * kMillisecond;
constexpr Micros kReadyTime = 20 * kSecond;
constexpr Micros kFinishTime = 6 * kSecond;
constexpr Micros kGrace = 6 * kSecond;
constexpr double kLeastAnswered = 0.5; // of the requests
constexpr int kLossPercent = 20;
constexpr int kDelayMs = 250;

}

Soak::Soak(const SoakOptions& aOptions)
  : options(aOptions)
  , net(static_cast<uint8_t>(10 + getpid() % 240))
{
  this->targets = { { { 0xC6120001, 443 }, "web" },
                    { { 0xC6120001, 444 }, "web" },
                    { { 0xC6120002, 443 }, "archive" } };
}

std::string
Soak::ZoneOf(size_t aInstance) const
{
  return "z" + std::to_string(aInstance % this->options.zones);
}

Endpoint
Soak::At(size_t aInstance, uint16_t aPort) const
{
  return { this->instances[aInstance].address, aPort };
}

std::string
Soak::SettingsPath(size_t aInstance) const
{
  return this->options.folder /
         ("instance-" + std::to_string(aInstance) + ".toml");
}

void
Soak::WriteSettings(size_t aInstance) const
{
  const Instance& instance = this->instances[aInstance];
  std::string host = FormatAddress(instance.address);
  std::string seeds;
  for (size_t seed : { size_t{ 0 }, this->instances.size() / 2 }) {
    seeds += (seeds.empty() ? "\"" : ", \"") +
             FormatEndpoint(this->At(seed, kPeerPort)) + "\"";
  }
  std::string path = this->SettingsPath(aInstance);
  std::ofstream(path + ".next") << absl::StrCat(
    absl::Substitute("[instance]\nname = \"i$0\"\naddress = \"$1\"\n"
                     "zone = \"$2\"\ncores = $3\n"
                     "[fabric]\npackets = \"$1:$4\"\n"
                     "[ready]\nlisten = \"$1:$5\"\n"
                     "[store]\naddress = \"$1:$6\"\n"
                     "[peers]\nport = $7\nseeds = [$8]\n",
                     aInstance,
                     host,
                     this->ZoneOf(aInstance),
                     aInstance < this->options.zones ? 0.5 : 0.1,
                     kPacketPort,
                     kReadyPort,
                     kStorePort,
                     kPeerPort,
                     seeds),
    absl::Substitute("[stop]\ngrace_ms = $0\n[log]\nlines_per_s = $1\n",
                     kGrace / kMillisecond,
                     instance.logLines));
  std::filesystem::rename(path + ".next", path);
}

void
Soak::StartInstance(size_t aInstance)
{
  Instance& instance = this->instances[aInstance];
  this->WriteSettings(aInstance);
  instance.process = Process::Start(
    { this->options.daemon, "--settings", this->SettingsPath(aInstance) },
    this->options.folder / ("instance-" + std::to_string(aInstance) + ".log"));
  instance.stopping = false;
  instance.killed = false;
  instance.startAt = 0;
  this->ledger.OnStarted(aInstance);
}

void
Soak::StartStore()
{
  this->store = Process::Start(
    { this->options.program, "store", FormatEndpoint(this->storeAt) },
    this->options.folder / "store.log");
}

void
Soak::StartRelay()
{
  std::vector<std::string> words{
    this->options.program,
    "relay",
    "127." + std::to_string(this->net) +
      ".201.1:" + std::to_string(kPacketPort),
    FormatEndpoint(this->storeAt),
  };
  for (const Instance& instance : this->instances) {
    words.push_back(FormatAddress(instance.address));
  }
  this->relay = Process::Start(words, this->options.folder / "relay.log", true);
}

void
Soak::StartServer(size_t aServer)
{
  Server& server = this->servers[aServer];
  // An address of a server that is gone comes again with another service's.
  uint64_t start = this->serverStarts++;
  Endpoint at{ 0x7F006400 | (Address{ this->net } << 16) |
                 static_cast<Address>(1 + aServer),
               static_cast<uint16_t>(kFirstServerPort + start % 5000) };
  server.id = absl::StrCat(
    absl::Hex(0xA000000000ULL + this->options.seed * 0x10000ULL + start));
  server.record = this->options.folder / ("server-" + server.id + ".jsonl");
  server.read = 0;
  server.leaving = false;
  server.startAt = 0;
  server.process =
    Process::Start({ this->options.program,
                     "server",
                     server.id,
                     server.service,
                     FormatEndpoint(at),
                     "z" + std::to_string(aServer % this->options.zones),
                     FormatEndpoint(this->storeAt),
                     std::to_string(kPacketPort),
                     server.record },
                   this->options.folder / ("server-" + server.id + ".log"));
}

bool
Soak::Start()
{
  std::filesystem::create_directories(this->options.folder);
  Address first = 0x7F000000 | (Address{ this->net } << 16);
  this->storeAt = { first | 0xFA01, kStorePort };
  this->instances.resize(this->options.instances);
  for (size_t i = 0; i < this->instances.size(); ++i) {
    auto zone = static_cast<Address>(i % this->options.zones);
    this->instances[i].address =
      first | (zone << 8) | static_cast<Address>(10 + i);
  }
  this->StartStore();
  this->StartRelay();
  // The store's answers show that it is up.
  Micros end = tagged::SteadyNow() + kReadyTime;
  bool up = false;
  while (!up && tagged::SteadyNow() < end) {
    usleep(20'000);
    httplib::Client client = ClientOf(this->storeAt);
    up = static_cast<bool>(client.Get("/-/objects/config"));
  }
  this->ChangeConfig();
  this->servers.resize(this->options.servers + 1);
  for (size_t i = 0; i < this->servers.size(); ++i) {
    this->servers[i].service = i == this->options.servers ? "probe"
                               : i % 3 == 2               ? "archive"
                                                          : "web";
    this->StartServer(i);
  }
  for (size_t i = 0; i < this->instances.size(); ++i) {
    this->StartInstance(i);
  }
  Endpoint self{ first | 0xC801, kPacketPort };
  CallerOptions callerOptions{ .address = self.address,
                               .fabric = { first | 0xC901, kPacketPort },
                               .targets = this->targets,
                               .requestsPerS = this->options.requestsPerS,
                               .seed = this->options.seed };
  auto made = Callers::Make(callerOptions, this->ledger);
  std::vector<Endpoint> packets;
  for (size_t i = 0; i < this->instances.size(); ++i) {
    packets.push_back(this->At(i, kPacketPort));
  }
  auto probing =
    Prober::Make({ first | 0xCA01, kPacketPort }, packets, this->ledger);
  if (!up || !made.ok() || !probing.ok()) {
    std::cout << "soak: " << made.status() << " " << probing.status()
              << std::endl;
    return false;
  }
  this->callers = *std::move(made);
  this->prober = *std::move(probing);
  return this->WaitReady();
}

bool
Soak::WaitReady()
{
  Micros end = tagged::SteadyNow() + kReadyTime;
  size_t ready = 0;
  while (ready < this->instances.size() && tagged::SteadyNow() < end) {
    ready = 0;
    for (size_t i = 0; i < this->instances.size(); ++i) {
      httplib::Client client = ClientOf(this->At(i, kReadyPort));
      auto answer = client.Get("/-/readiness");
      ready += answer && answer->status == 200 ? 1 : 0;
    }
    usleep(50'000);
  }
  return ready == this->instances.size();
}

void
Soak::Later(Micros aAfter, std::function<void()> aRun)
{
  this->due.push_back({ tagged::SteadyNow() + aAfter, std::move(aRun) });
}

void
Soak::Trouble(const Step& aStep, std::optional<size_t> aInstance)
{
  this->ledger.Trouble().Begin(
    Cause::Unplanned, aInstance, tagged::SteadyNow());
  this->Later(aStep.lasts, [this, aInstance] {
    this->ledger.Trouble().End(
      Cause::Unplanned, aInstance, tagged::SteadyNow());
  });
}

void
Soak::StoreFault(const std::string& aName, int aValue) const
{
  httplib::Client client = ClientOf(this->storeAt);
  client.Post("/fault/" + aName + "/" + std::to_string(aValue));
}

void
Soak::ChangeConfig()
{
  int64_t next = this->version + 1;
  httplib::Client client = ClientOf(this->storeAt);
  auto answer = client.Put("/-/objects/config/main",
                           MakeConfigSpec(next, this->targets).dump(),
                           "application/json");
  if (answer && answer->status == 200) {
    this->version = next;
    this->ledger.OnAccepted(next, tagged::SteadyNow());
  }
}

void
Soak::Kill(size_t aInstance, Micros aAway)
{
  Instance& instance = this->instances[aInstance];
  if (!instance.process.Runs() || instance.stopping) {
    return;
  }
  this->ledger.Trouble().Begin(
    Cause::Unplanned, aInstance, tagged::SteadyNow());
  instance.killed = true;
  instance.process.Signal(SIGKILL);
  instance.startAt = tagged::SteadyNow() + aAway;
}

void
Soak::PlayInstance(const Step& aStep)
{
  Instance& instance = this->instances[aStep.target];
  bool runs = instance.process.Runs() && !instance.stopping && !instance.killed;
  if (aStep.act == Act::KillInstance) {
    this->Kill(aStep.target, aStep.lasts / 2);
  } else if (aStep.act == Act::StopInstance && runs) {
    this->ledger.Trouble().Begin(
      Cause::Planned, aStep.target, tagged::SteadyNow());
    instance.stopping = true;
    instance.process.Signal(SIGTERM);
    // A planned stop is judged by how it ends; a second signal changes
    // nothing.
    this->Later(100 * kMillisecond, [this, target = aStep.target] {
      if (this->instances[target].stopping) {
        this->instances[target].process.Signal(SIGTERM);
      }
    });
  } else if (aStep.act == Act::PauseInstance && runs) {
    this->Trouble(aStep, aStep.target);
    instance.process.Signal(SIGSTOP);
    this->Later(aStep.lasts, [this, target = aStep.target] {
      this->instances[target].process.Signal(SIGCONT);
    });
  } else if (aStep.act == Act::ReloadInstance && runs) {
    instance.logLines = 100 + aStep.lasts % 100;
    this->WriteSettings(aStep.target);
    if (aStep.lasts % 2 == 0) {
      instance.process.Signal(SIGHUP);
    }
  }
}

void
Soak::PlayLink(const Step& aStep)
{
  std::string target = std::to_string(aStep.target);
  std::string harm;
  std::string end = "link " + target + " pass";
  switch (aStep.act) {
    case Act::LinkReset:
      harm = "link " + target + " reset";
      break;
    case Act::LinkSilent:
      harm = "link " + target + " silent";
      break;
    case Act::LinkOneWay:
      harm = "link " + target + " one_way";
      break;
    case Act::LinkSlow:
      harm = "link " + target + " slow";
      break;
    default:
      harm = "fabric " + target +
             (aStep.act == Act::FabricLoses
                ? " " + std::to_string(kLossPercent) + " 0"
                : " 0 " + std::to_string(kDelayMs));
      end = "fabric " + target + " 0 0";
  }
  this->Trouble(aStep, aStep.target);
  this->relay.Write(harm);
  this->Later(aStep.lasts, [this, end] { this->relay.Write(end); });
}

void
Soak::PlayStore(const Step& aStep)
{
  this->Trouble(aStep, std::nullopt);
  std::string name = aStep.act == Act::StoreSilent ? "silent"
                     : aStep.act == Act::StoreAway ? "status"
                                                   : "forget";
  constexpr int kAway = 503;
  constexpr int kGood = 200;
  this->StoreFault(name, name == "status" ? kAway : 1);
  if (name != "forget") {
    this->Later(aStep.lasts, [this, name] {
      this->StoreFault(name, name == "status" ? kGood : 0);
    });
  }
}

void
Soak::PlayServer(const Step& aStep)
{
  Server& server = this->servers[aStep.target];
  if (!server.process.Runs() || server.leaving) {
    return;
  }
  if (aStep.act == Act::DrainServer) {
    server.leaving = true;
    server.process.Signal(SIGTERM);
    return;
  }
  Troubles& troubles = this->ledger.Trouble();
  troubles.Begin(Cause::OfServer, std::nullopt, tagged::SteadyNow());
  Micros lasts = std::max(aStep.lasts, kServerAway);
  this->Later(lasts, [this] {
    this->ledger.Trouble().End(
      Cause::OfServer, std::nullopt, tagged::SteadyNow());
  });
  if (aStep.act == Act::KillServer) {
    server.leaving = true;
    server.process.Signal(SIGKILL);
    this->ledger.OnGone(server.id, tagged::SteadyNow() + lasts);
  } else {
    server.process.Signal(SIGSTOP);
    this->Later(aStep.lasts, [this, target = aStep.target] {
      this->servers[target].process.Signal(SIGCONT);
    });
  }
}

void
Soak::Play(const Step& aStep)
{
  std::ofstream(this->options.folder / "played.txt", std::ios::app)
    << (tagged::SteadyNow() - this->startedAt) / kMillisecond << " ms, steady "
    << tagged::SteadyNow() << ": " << Describe(aStep) << "\n";
  switch (aStep.act) {
    case Act::StopInstance:
    case Act::KillInstance:
    case Act::PauseInstance:
    case Act::ReloadInstance:
      this->PlayInstance(aStep);
      break;
    case Act::KillAll:
      for (size_t i = 0; i < this->instances.size(); ++i) {
        this->Kill(i, kRestartTime);
      }
      break;
    case Act::StoreSilent:
    case Act::StoreAway:
    case Act::StoreForgets:
      this->PlayStore(aStep);
      break;
    case Act::DrainServer:
    case Act::KillServer:
    case Act::PauseServer:
      this->PlayServer(aStep);
      break;
    case Act::ChangeConfig:
      this->ChangeConfig();
      break;
    default:
      this->PlayLink(aStep);
  }
}

// Instances that ended are judged and started again.
void
Soak::FollowInstances()
{
  Micros now = tagged::SteadyNow();
  for (size_t i = 0; i < this->instances.size(); ++i) {
    Instance& instance = this->instances[i];
    if (instance.process.Runs() && instance.process.HasEnded()) {
      if (!instance.killed) {
        this->ledger.OnExit(i, true, instance.process.Status(), now);
        instance.startAt = now + kRestartTime;
      }
    }
    if (!instance.process.Runs() && !this->over && now >= instance.startAt) {
      bool killed = instance.killed;
      this->StartInstance(i);
      this->ledger.Trouble().End(
        killed ? Cause::Unplanned : Cause::Planned, i, now);
    }
  }
}

void
Soak::FollowServers()
{
  Micros now = tagged::SteadyNow();
  for (size_t i = 0; i < this->servers.size(); ++i) {
    Server& server = this->servers[i];
    this->ReadRecord(server);
    if (server.process.Runs() && server.process.HasEnded()) {
      this->ReadRecord(server);
      server.startAt = now + kServerAway;
    }
    if (!server.process.Runs() && !this->over && now >= server.startAt) {
      this->StartServer(i);
    }
  }
}

void
Soak::ReadRecord(Server& aServer)
{
  std::ifstream file(aServer.record);
  file.seekg(aServer.read);
  std::string line;
  while (std::getline(file, line) && !file.eof()) {
    aServer.read = file.tellg();
    this->OnRecord(line);
  }
}

void
Soak::OnRecord(const std::string& aLine)
{
  nlohmann::json line = nlohmann::json::parse(aLine);
  std::string event = line["event"];
  std::string server = line["server"];
  Micros at = line["at"];
  if (event == "run") {
    this->ledger.OnRun(server, line["id"], line["service"], at);
  } else if (event == "draining") {
    this->ledger.OnDraining(server, at);
  } else if (event == "gone") {
    this->ledger.OnGone(server, at);
  } else if (event == "changed") {
    this->ledger.OnChanged(server, at);
  } else if (event == "open") {
    Address by = 0;
    ParseAddress(line["by"].get<std::string>(), by);
    for (size_t i = 0; i < this->instances.size(); ++i) {
      if (this->instances[i].address == by) {
        this->ledger.OnOpened(server, i, at);
      }
    }
  }
}

void
Soak::Turn()
{
  this->callers->Step();
  this->prober->Step(this->version);
  Micros now = tagged::SteadyNow();
  for (size_t i = 0; i < this->due.size();) {
    if (this->due[i].at > now) {
      ++i;
      continue;
    }
    std::function<void()> run = std::move(this->due[i].run);
    this->due.erase(this->due.begin() + static_cast<std::ptrdiff_t>(i));
    run();
  }
  this->FollowInstances();
  if (now >= this->recordsAt) {
    this->recordsAt = now + kRecordPeriod;
    this->FollowServers();
  }
  usleep(1000);
}

void
Soak::StopAll()
{
  this->callers->Finish();
  Micros end = tagged::SteadyNow() + kFinishTime;
  while (!this->callers->Idle() && tagged::SteadyNow() < end) {
    this->Turn();
  }
  this->over = true;
  for (Instance& instance : this->instances) {
    instance.process.Signal(SIGCONT);
    instance.process.Signal(SIGTERM);
  }
  end = tagged::SteadyNow() + kGrace + kSecond;
  auto runs = [](const Instance& aInstance) {
    return aInstance.process.Runs();
  };
  while (std::any_of(this->instances.begin(), this->instances.end(), runs) &&
         tagged::SteadyNow() < end) {
    this->Turn();
  }
  for (size_t i = 0; i < this->instances.size(); ++i) {
    if (this->instances[i].process.Runs()) {
      this->ledger.OnExit(i, true, -1, tagged::SteadyNow()); // still there
    }
  }
  this->FollowServers();
}

bool
Soak::Report(const std::vector<Step>& aPlan)
{
  const CallerCounts& counts = this->callers->Counts();
  const std::vector<Finding>& findings = this->ledger.Findings();
  bool served = static_cast<double>(counts.answered) >=
                kLeastAnswered * static_cast<double>(counts.sent);
  bool good = findings.empty() && served;
  std::cout << "seed " << this->options.seed << ": " << aPlan.size()
            << " steps, " << counts.sent << " requests, " << counts.answered
            << " answered, " << counts.refused << " refused, " << counts.lost
            << " lost, " << this->ledger.Runs() << " run, " << findings.size()
            << " findings" << std::endl;
  if (good) {
    return true;
  }
  if (!served) {
    std::cout << "  too few were answered\n";
  }
  std::map<Breach, size_t> shown;
  for (const Finding& finding : findings) {
    if (++shown[finding.breach] <= 5) {
      std::cout << "  " << BreachName(finding.breach) << " at "
                << (finding.at - this->startedAt) / kMillisecond
                << " ms: " << finding.text << "\n";
    }
  }
  for (const Step& step : aPlan) {
    std::cout << "  " << Describe(step) << "\n";
  }
  std::cout << "  logs: " << this->options.folder.string() << std::endl;
  return false;
}

bool
Soak::Run()
{
  if (!this->Start()) {
    std::cout << "seed " << this->options.seed
              << ": the processes did not get ready, logs: "
              << this->options.folder.string() << std::endl;
    return false;
  }
  std::vector<Step> plan = MakePlan({ .seed = this->options.seed,
                                      .length = this->options.length,
                                      .instances = this->options.instances,
                                      .servers = this->options.servers });
  this->startedAt = tagged::SteadyNow();
  size_t next = 0;
  while (tagged::SteadyNow() - this->startedAt < this->options.length) {
    while (next < plan.size() &&
           tagged::SteadyNow() - this->startedAt >= plan[next].at) {
      this->Play(plan[next++]);
    }
    this->Turn();
  }
  this->StopAll();
  return this->Report(plan);
}

}
