// One instance of the tagged transport: sockets, store, readiness, its life
// from start to a planned stop. All on one thread.
#pragma once

#include "tagged/http_server.h"
#include "tagged/log.h"
#include "tagged/metrics.h"
#include "tagged/settings.h"
#include "tagged/sync.h"
#include "tagged/udp.h"

#include "absl/container/flat_hash_map.h"
#include "absl/hash/hash.h"

#include <csignal>
#include <sys/stat.h>

namespace gentianspindle::tagged {

constexpr Micros kTickTime = 50 * kMillisecond;
// A tick that comes this much late means that the instance stood still.
constexpr Micros kPauseTime = 800 * kMillisecond;
// The settings file may change without a signal.
constexpr Micros kSettingsCheckTime = 1 * kSecond;
// A planned stop: the fabric needs two readiness checks, half a second apart,
// to turn away.
constexpr Micros kLeastStop = 1300 * kMillisecond;
constexpr Micros kQuietStop = 400 * kMillisecond;
constexpr Micros kStopMargin = 500 * kMillisecond;

template<Platform P>
class Node
{
public:
  static absl::StatusOr<std::unique_ptr<Node>> Make(
    event_base* aBase,
    const TaggedSettings& aSettings,
    const std::string& aSettingsPath);

  // Returns when the planned stop is done.
  void Run();

private:
  Node(event_base* aBase,
       const TaggedSettings& aSettings,
       UdpSocket aSocket,
       const std::string& aSettingsPath);

  absl::Status StartPages();
  void StartStore();
  void StartLog();
  void StartSignals();

  void OnReadable();
  void OnDatagram(std::span<uint8_t> aBytes);
  void CarryOut(const steer::Decision& aDecision,
                const steer::Packet& aPacket,
                std::span<uint8_t> aBytes);
  void ReleaseHeld();
  void Send(std::span<uint8_t> aBytes, Endpoint aTo);
  void SendAll();
  void AddServer(LogLine& aLine, steer::ServerIndex aServer) const;
  void LogDecision(const steer::Decision& aDecision,
                   const steer::Packet& aPacket,
                   std::span<const uint8_t> aBytes);

  void OnView();
  void OnTick();
  void OnProcessPause(Micros aDuration);
  void OnStop();
  void CheckStop();
  void CheckSettings(bool aSignalled);

  bool Ready() const
  {
    return this->steer.CurrentView().Ready() && !this->stopping;
  }
  std::string Metrics() const;
  void Write(const LogLine& aLine)
  {
    if (this->log) {
      this->log->Write(aLine);
    }
  }

  event_base* base;
  TaggedSettings settings;
  std::string settingsPath;
  struct stat settingsStat
  {};
  // Resets go to the callers at the port that the fabric uses here.
  uint16_t callerPort;
  UdpSocket socket;
  EventPtr readable;
  ReceiveBatch received;
  SendBatch sending;
  // Held packets, each behind its headroom.
  absl::flat_hash_map<steer::FlowId, std::vector<uint8_t>> held;
  steer::FlowSteering steer;
  std::unique_ptr<Sync> sync;
  std::unique_ptr<HttpServer> pages;
  std::unique_ptr<Log> log;
  std::vector<EventPtr> signals;
  Timer tick;
  Micros startedAt = SteadyNow();
  Micros viewAt = 0; // when the first view was complete
  Micros now = 0;
  Micros lastTick = 0;
  Micros lastBoot = 0;
  Micros lastSettingsCheck = 0;
  Micros lastPacket = 0;
  Micros stopAt = 0;
  bool stopping = false;
  bool reading = false; // packets are read
  PortCounts port;
  Histogram handshake;
  Histogram response;
};

}

#include "tagged/node_impl.h"
