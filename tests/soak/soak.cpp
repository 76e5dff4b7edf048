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
// Period at which the records of the servers are read.
constexpr Micros kRecordPeriod = 100 * kMillisecond;
constexpr Micros kReadyTimeout = 20 * kSecond;
// Time that open flows have to end after the plan.
constexpr Micros kFinishTimeout = 6 * kSecond;
// Setting stop.grace_ms of the instances.
constexpr Micros kStopGrace = 6 * kSecond;
constexpr double kMinAnsweredFraction = 0.5; // of the requests

}

Soak::Soak(const SoakOptions& aOptions)
  : options(aOptions)
  , netOctet(static_cast<uint8_t>(10 + getpid() % 240))
{
  // In 198.18.0.0/15, which RFC 2544 reserves for benchmarks.
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
Soak::InstanceEndpoint(size_t aInstance, uint16_t aPort) const
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
             FormatEndpoint(this->InstanceEndpoint(seed, kPeerPort)) + "\"";
  }
  std::string path = this->SettingsPath(aInstance);
  // Replaced as a whole, so that the instance never reads a part of it. The
  // first instance of each zone has more cores, so that it is preferred as
  // reader.
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
    absl::Substitute("[drain]\nbound_ms = $2\n"
                     "[stop]\ngrace_ms = $0\n[log]\nlines_per_s = $1\n"
                     "[detect]\nprobes_per_s = 5\n",
                     kStopGrace / kMillisecond,
                     instance.logLinesPerS,
                     kMaxZoneDrainDelay / kMillisecond));
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
    { this->options.program, "store", FormatEndpoint(this->storeEndpoint) },
    this->options.folder / "store.log");
}

void
Soak::StartRelay()
{
  std::vector<std::string> arguments{
    this->options.program,
    "relay",
    "127." + std::to_string(this->netOctet) +
      ".201.1:" + std::to_string(kPacketPort),
    FormatEndpoint(this->storeEndpoint),
  };
  for (const Instance& instance : this->instances) {
    arguments.push_back(FormatAddress(instance.address));
  }
  this->relay =
    Process::Start(arguments, this->options.folder / "relay.log", true);
}

void
Soak::StartServer(size_t aServer)
{
  Server& server = this->servers[aServer];
  // Each start has another id and port, so that no endpoint of a server that is
  // gone is soon used again.
  uint64_t startIndex = this->serverStarts++;
  Endpoint at{ 0x7F006400 | (Address{ this->netOctet } << 16) |
                 static_cast<Address>(1 + aServer),
               static_cast<uint16_t>(kFirstServerPort + startIndex % 5000) };
  server.id = absl::StrCat(
    absl::Hex(0xA000000000ULL + this->options.seed * 0x10000ULL + startIndex));
  server.record = this->options.folder / ("server-" + server.id + ".jsonl");
  server.readOffset = 0;
  server.leaving = false;
  server.startAt = 0;
  server.process =
    Process::Start({ this->options.program,
                     "server",
                     server.id,
                     server.service,
                     FormatEndpoint(at),
                     "z" + std::to_string(aServer % this->options.zones),
                     FormatEndpoint(this->storeEndpoint),
                     std::to_string(kPacketPort),
                     server.record },
                   this->options.folder / ("server-" + server.id + ".log"));
}

bool
Soak::Start()
{
  std::filesystem::create_directories(this->options.folder);
  Address netBase = 0x7F000000 | (Address{ this->netOctet } << 16);
  this->storeEndpoint = { netBase | 0xFA01, kStorePort };
  this->instances.resize(this->options.instances);
  for (size_t i = 0; i < this->instances.size(); ++i) {
    auto zone = static_cast<Address>(i % this->options.zones);
    this->instances[i].address =
      netBase | (zone << 8) | static_cast<Address>(10 + i);
  }
  this->StartStore();
  this->StartRelay();
  // The store is ready once it replies.
  Micros end = tagged::SteadyNow() + kReadyTimeout;
  bool storeUp = false;
  while (!storeUp && tagged::SteadyNow() < end) {
    usleep(20'000);
    httplib::Client client = ClientOf(this->storeEndpoint);
    storeUp = static_cast<bool>(client.Get("/-/objects/config"));
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
  Endpoint self{ netBase | 0xC801, kPacketPort };
  CallerOptions callerOptions{ .address = self.address,
                               .fabric = { netBase | 0xC901, kPacketPort },
                               .targets = this->targets,
                               .flowsPerS = this->options.flowsPerS,
                               .seed = this->options.seed };
  auto madeCallers = Callers::Make(callerOptions, this->ledger);
  std::vector<Endpoint> packets;
  for (size_t i = 0; i < this->instances.size(); ++i) {
    packets.push_back(this->InstanceEndpoint(i, kPacketPort));
  }
  auto madeProber =
    Prober::Make({ netBase | 0xCA01, kPacketPort }, packets, this->ledger);
  if (!storeUp || !madeCallers.ok() || !madeProber.ok()) {
    std::cout << "soak: the store gave no reply in time, or a socket could "
                 "not be bound; callers: "
              << madeCallers.status() << ", prober: " << madeProber.status()
              << std::endl;
    return false;
  }
  this->callers = *std::move(madeCallers);
  this->prober = *std::move(madeProber);
  return this->WaitReady();
}

bool
Soak::WaitReady()
{
  Micros end = tagged::SteadyNow() + kReadyTimeout;
  size_t ready = 0;
  while (ready < this->instances.size() && tagged::SteadyNow() < end) {
    ready = 0;
    for (size_t i = 0; i < this->instances.size(); ++i) {
      httplib::Client client = ClientOf(this->InstanceEndpoint(i, kReadyPort));
      auto response = client.Get("/-/readiness");
      ready += response && response->status == 200 ? 1 : 0;
    }
    usleep(50'000);
  }
  return ready == this->instances.size();
}

void
Soak::RunAfter(Micros aAfter, std::function<void()> aRun)
{
  this->scheduled.push_back({ tagged::SteadyNow() + aAfter, std::move(aRun) });
}

// Restarts instances that have ended. Unless a step killed them, their exit
// status must be 0, whether or not a stop was planned.
void
Soak::CheckInstances()
{
  Micros now = tagged::SteadyNow();
  for (size_t i = 0; i < this->instances.size(); ++i) {
    Instance& instance = this->instances[i];
    if (instance.process.Runs() && instance.process.HasEnded()) {
      if (!instance.killed) {
        this->ledger.OnExit(i, true, instance.process.Status(), now);
        instance.startAt = now + kRestartDelay;
      }
    }
    if (!instance.process.Runs() && !this->shuttingDown &&
        now >= instance.startAt) {
      bool killed = instance.killed;
      this->StartInstance(i);
      this->ledger.Disruptions().End(
        killed ? DisruptionKind::Unplanned : DisruptionKind::Planned, i, now);
    }
  }
}

void
Soak::CheckServers()
{
  Micros now = tagged::SteadyNow();
  for (size_t i = 0; i < this->servers.size(); ++i) {
    Server& server = this->servers[i];
    this->ReadRecord(server);
    if (server.process.Runs() && server.process.HasEnded()) {
      this->ReadRecord(server);
      server.startAt = now + kServerDowntime;
    }
    if (!server.process.Runs() && !this->shuttingDown &&
        now >= server.startAt) {
      this->StartServer(i);
    }
  }
}

void
Soak::ReadRecord(Server& aServer)
{
  std::ifstream file(aServer.record);
  file.seekg(aServer.readOffset);
  std::string line;
  while (std::getline(file, line) && !file.eof()) {
    aServer.readOffset = file.tellg();
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
    this->ledger.OnCorruptedPacket(server, at);
  } else if (event == "open") {
    Address instanceAddress = 0;
    ParseAddress(line["by"].get<std::string>(), instanceAddress);
    for (size_t i = 0; i < this->instances.size(); ++i) {
      if (this->instances[i].address == instanceAddress) {
        this->ledger.OnOpened(server, i, at);
      }
    }
  }
}

void
Soak::RunLoopOnce()
{
  this->callers->Step();
  this->prober->Step(this->version);
  Micros now = tagged::SteadyNow();
  for (size_t i = 0; i < this->scheduled.size();) {
    if (this->scheduled[i].at > now) {
      ++i;
      continue;
    }
    std::function<void()> run = std::move(this->scheduled[i].run);
    this->scheduled.erase(this->scheduled.begin() +
                          static_cast<std::ptrdiff_t>(i));
    run();
  }
  this->CheckInstances();
  if (now >= this->nextRecordReadAt) {
    this->nextRecordReadAt = now + kRecordPeriod;
    this->CheckServers();
  }
  usleep(1000);
}

void
Soak::StopAll()
{
  this->callers->Finish();
  Micros end = tagged::SteadyNow() + kFinishTimeout;
  while (!this->callers->Idle() && tagged::SteadyNow() < end) {
    this->RunLoopOnce();
  }
  this->shuttingDown = true;
  for (Instance& instance : this->instances) {
    instance.process.Signal(SIGCONT);
    instance.process.Signal(SIGTERM);
  }
  end = tagged::SteadyNow() + kStopGrace + kSecond;
  auto isRunning = [](const Instance& aInstance) {
    return aInstance.process.Runs();
  };
  while (
    std::any_of(this->instances.begin(), this->instances.end(), isRunning) &&
    tagged::SteadyNow() < end) {
    this->RunLoopOnce();
  }
  for (size_t i = 0; i < this->instances.size(); ++i) {
    if (this->instances[i].process.Runs()) {
      this->ledger.OnExit(i, true, -1, tagged::SteadyNow()); // it has not ended
    }
  }
  this->CheckServers();
}

bool
Soak::Report(const std::vector<Step>& aPlan)
{
  const CallerCounts& counts = this->callers->Counts();
  const std::vector<Finding>& findings = this->ledger.Findings();
  bool enoughAnswered = static_cast<double>(counts.answered) >=
                        kMinAnsweredFraction * static_cast<double>(counts.sent);
  bool passed = findings.empty() && enoughAnswered;
  std::cout << "seed " << this->options.seed << ": " << aPlan.size()
            << " steps, " << counts.sent << " requests, " << counts.answered
            << " answered, " << counts.refused << " refused, " << counts.lost
            << " lost, " << this->ledger.Runs() << " run, " << findings.size()
            << " findings" << std::endl;
  if (passed) {
    return true;
  }
  if (!enoughAnswered) {
    std::cout << "  too few requests were answered\n";
  }
  std::map<Violation, size_t> shown;
  for (const Finding& finding : findings) {
    if (++shown[finding.violation] <= 5) {
      std::cout << "  " << ViolationName(finding.violation) << " at "
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
              << ": not all processes became ready in time, logs: "
              << this->options.folder.string() << std::endl;
    return false;
  }
  std::vector<Step> plan = MakePlan({ .schedule = this->options.schedule,
                                      .seed = this->options.seed,
                                      .length = this->options.length,
                                      .instances = this->options.instances,
                                      .servers = this->options.servers });
  this->startedAt = tagged::SteadyNow();
  size_t next = 0;
  while (tagged::SteadyNow() - this->startedAt < this->options.length) {
    while (next < plan.size() &&
           tagged::SteadyNow() - this->startedAt >= plan[next].at) {
      this->ApplyStep(plan[next++]);
    }
    this->RunLoopOnce();
  }
  this->StopAll();
  return this->Report(plan);
}

}
