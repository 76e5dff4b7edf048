// Measures for docs/CAPACITY.md how costs grow: control traffic by fleet size,
// and the time and memory of owners, rankings, flows and decisions.
#include "core/engine.h"
#include "core/membership.h"
#include "support/examples.h"
#include "wire/codec.h"

#include <chrono>
#include <iostream>
#include <map>

namespace gentianspindle {

namespace {

// IPv4 and UDP headers of a datagram.
constexpr int kDatagramHeaderBytes = 28;

// Returns how long aFunction runs.
double
MeasureSeconds(auto aFunction)
{
  auto start = std::chrono::steady_clock::now();
  aFunction();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
    .count();
}

// Runs the membership protocol among aMembers instances in virtual time and
// prints what one of them sends on average after kSettleTime, and its share of
// one processor over the whole time, without the opening of sealed messages.
void
MeasureMembers(size_t aMembers)
{
  constexpr Micros kTickInterval = 50 * kMillisecond;
  constexpr Micros kSettleTime = 60 * kSecond;
  constexpr Micros kMeasuredTime = 60 * kSecond;
  std::vector<InstanceId> ids;
  std::vector<Membership> fleet;
  std::map<InstanceId, size_t> indices;
  for (size_t i = 0; i < aMembers; ++i) {
    ids.push_back(MakeInstanceId(0x0A000001 + static_cast<Address>(i), 6082));
    indices[ids.back()] = i;
  }
  std::span<const InstanceId> seeds =
    std::span(ids).first(std::min<size_t>(3, ids.size()));
  for (size_t i = 0; i < aMembers; ++i) {
    fleet.emplace_back(MembershipOptions{},
                       ids[i],
                       "zone-" + std::to_string(i % 10),
                       seeds,
                       i + 1);
  }
  std::vector<SealKey> keys{ { 1, "key-of-the-benchmark" } };
  Sealer sealer(keys, 1, 1);
  uint64_t bytes = 0;
  uint64_t messages = 0;
  double processorSeconds = 0;
  for (Micros now = kSecond; now < kSettleTime + kMeasuredTime;
       now += kTickInterval) {
    bool isMeasured = now > kSettleTime;
    processorSeconds += MeasureSeconds([&] {
      for (size_t i = 0; i < aMembers; ++i) {
        std::vector<OutgoingProbe> out;
        fleet[i].OnTick(now, out);
        for (size_t j = 0; j < out.size(); ++j) {
          OutgoingProbe probe = out[j];
          std::string sealed = sealer.Seal(EncodeProbe(probe.probe));
          bytes += isMeasured ? sealed.size() + kDatagramHeaderBytes : 0;
          messages += isMeasured ? 1 : 0;
          std::vector<OutgoingProbe> answers;
          fleet[indices[probe.peer]].OnProbe(ids[i], probe.probe, now, answers);
          for (OutgoingProbe& answer : answers) {
            std::string back = sealer.Seal(EncodeProbe(answer.probe));
            bytes += isMeasured ? back.size() + kDatagramHeaderBytes : 0;
            messages += isMeasured ? 1 : 0;
            std::vector<OutgoingProbe> unused;
            fleet[indices[answer.peer]].OnProbe(
              probe.peer, answer.probe, now, unused);
          }
        }
      }
    });
  }
  double instanceSeconds =
    static_cast<double>(aMembers) * kMeasuredTime / kSecond;
  std::cout << "members " << aMembers << ": known " << fleet[0].All().size()
            << ", sent bytes/s " << static_cast<double>(bytes) / instanceSeconds
            << ", messages/s "
            << static_cast<double>(messages) / instanceSeconds
            << ", processor share % "
            << 100 * processorSeconds /
                 (static_cast<double>(aMembers) *
                  (kSettleTime + kMeasuredTime) / kSecond)
            << "\n";
}

// Prints how long the assignment of owners to all servers takes.
void
MeasureOwners(size_t aMembers, size_t aServers)
{
  std::vector<Member> members;
  members.reserve(aMembers);
  for (size_t i = 0; i < aMembers; ++i) {
    members.push_back({ i + 1, "zone-" + std::to_string(i % 10) });
  }
  std::vector<std::string> zones;
  zones.reserve(10);
  for (int i = 0; i < 10; ++i) {
    zones.push_back("zone-" + std::to_string(i));
  }
  std::vector<OwnedServer> servers;
  servers.reserve(aServers);
  for (size_t i = 0; i < aServers; ++i) {
    servers.push_back({ static_cast<Address>(i + 1), zones[i % 10] });
  }
  double assignTime = MeasureSeconds([&] { AssignOwners(members, servers); });
  std::cout << "owners of " << aServers << " servers among " << aMembers
            << " members: " << assignTime * 1000 << " ms\n";
}

// Prints the cost of a ranking (the whole SetService), of opening flows and of
// packets of known flows, for a service with 7 servers on which all flows fit.
void
MeasureEngine()
{
  Table table = MakeTable(Panji());
  Service service = table.services[0];
  service.rows.resize(7);
  for (ServerRow& row : service.rows) {
    row.slots = 100'000;
    row.connections = 10'000'000;
  }
  Engine engine({}, 1);
  double rankingTime =
    MeasureSeconds([&] { engine.SetService(service, 1, true, kSecond); });
  std::vector<InstanceId> owners(engine.Servers().size(), 1);
  engine.SetOwners(owners, owners, owners, kSecond);
  std::cout << "ranking of a service with 7 servers: " << rankingTime * 1000
            << " ms, " << kRankClasses * 7 * sizeof(ServerIndex) << " bytes\n";
  constexpr FlowKey kFlows = 300'000;
  Segment segment;
  segment.service = service.key;
  Outbox out;
  Arrival arrival{ .now = kSecond, .segment = &segment };
  auto send = [&](uint8_t aFlags) {
    segment.flags = aFlags;
    arrival.now += 10;
    out.clear();
    engine.OnPacket(arrival, out);
  };
  double openTime = MeasureSeconds([&] {
    for (segment.flow = 1; segment.flow <= kFlows; ++segment.flow) {
      send(kTcpSyn);
      send(kTcpAck);
    }
  });
  double knownTime = MeasureSeconds([&] {
    for (segment.flow = 1; segment.flow <= kFlows; ++segment.flow) {
      send(kTcpAck);
    }
  });
  std::cout << "flows " << engine.Flows().Size() << ": bytes each "
            << static_cast<double>(engine.Flows().Bytes()) / kFlows
            << ", ns per SYN and first ACK " << openTime * 1e9 / kFlows
            << ", ns per known packet " << knownTime * 1e9 / kFlows << "\n";
}

}

}

int
main()
{
  using namespace gentianspindle;
  for (size_t members : { 7, 25, 50, 100, 200 }) {
    MeasureMembers(members);
  }
  MeasureOwners(7, 18);
  MeasureOwners(100, 640);
  MeasureOwners(840, 5400);
  MeasureEngine();
  return 0;
}
