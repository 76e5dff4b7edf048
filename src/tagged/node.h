// One instance of the tagged transport, from its start to a planned stop: the
// packet path, the store, readiness, metrics and settings. It runs on one
// thread.
#pragma once

#include "tagged/http_server.h"
#include "tagged/log.h"
#include "tagged/metrics.h"
#include "tagged/prober.h"
#include "tagged/settings.h"
#include "tagged/sync.h"
#include "tagged/udp.h"

#include "absl/container/flat_hash_map.h"
#include "absl/hash/hash.h"

#include <algorithm>
#include <csignal>
#include <sys/stat.h>

namespace gentianspindle::tagged {

constexpr Micros kTickPeriod = 50 * kMillisecond;
// A tick that is late by more than this means that the process was paused.
constexpr Micros kPauseThreshold = 800 * kMillisecond;
// If packets are sent later than this after their decision, their flows'
// records get the time of the sending.
constexpr Micros kMaxSendDelay = 10 * kMillisecond;
// Period of the checks whether the settings file has changed, as it may change
// without a signal.
constexpr Micros kSettingsCheckPeriod = 1 * kSecond;
// Number of lines that are kept until the log is open; further ones are lost.
constexpr size_t kMaxEarlyLines = 100;
// A planned stop takes at least this time, unless the grace period ends sooner:
// the fabric needs two readiness checks, half a second apart, to stop sending
// packets here.
constexpr Micros kMinStopTime = 1300 * kMillisecond;
// After that, the instance ends once it has received no packet for this time.
constexpr Micros kStopQuietTime = 400 * kMillisecond;
// It ends at the latest this long before the end of the grace period.
constexpr Micros kStopMargin = 500 * kMillisecond;

// Owns the daemon's parts and handles their events on the event loop.
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

  // Serves readiness and metrics at the readiness address.
  absl::Status StartHttpServer();
  void RecordArrivals();
  void StartSync();
  // Starts the log, and also serves metrics at the metrics port.
  void StartLogAndMetrics();
  void StartSignals();

  void OnReadable();
  // Handles one datagram of receiveBatch.
  void OnDatagram(size_t aIndex);
  Micros QueueTime(size_t aIndex);
  void ExecuteDecision(const steer::Decision& aDecision,
                       const steer::Packet& aPacket,
                       std::span<uint8_t> aBytes);
  void ReleaseHeld();
  void SendOpeningQueries();
  // Sends the probes and resets that are due, and logs verdicts.
  void DetectSilence();
  void SendResets();
  void LogVerdicts();
  void ShareVerdicts();
  void Send(std::span<uint8_t> aBytes, Endpoint aTo);
  void SendAll();
  void CheckSendDelay();
  void AddServerFields(LogLine& aLine, steer::ServerIndex aServer) const;
  void LogDecision(const steer::Decision& aDecision,
                   const steer::Packet& aPacket,
                   std::span<const uint8_t> aBytes);

  void OnView();
  void OnTick();
  void BoundQueueTime();
  void LogShareChanges();
  void OnProcessPause(Micros aDuration);
  void OnStop();
  void CheckStop();
  void CheckSettings(bool aSignalled);

  bool Ready() const { return this->receiving && !this->stopping; }
  std::string Metrics() const;
  // Logs aLine, or keeps it until the log is open.
  void Write(const LogLine& aLine)
  {
    if (this->log) {
      this->log->Write(aLine);
    } else if (this->earlyLines.size() < kMaxEarlyLines) {
      this->earlyLines.push_back(aLine);
    }
  }

  event_base* base;
  TaggedSettings settings;
  std::string settingsPath;
  // State of the settings file when it was last loaded. If it differs, the file
  // is loaded again.
  struct stat settingsStat
  {};
  // Callers get resets at the port number at which this instance receives the
  // fabric's packets.
  uint16_t callerPort;
  UdpSocket socket;
  EventPtr readable;
  ReceiveBatch receiveBatch;
  SendBatch sendBatch;
  // Held packets, each with its headroom.
  absl::flat_hash_map<steer::FlowId, std::vector<uint8_t>> held;
  steer::FlowSteering steer;
  Prober prober;
  std::unique_ptr<Sync> sync;
  std::unique_ptr<HttpServer> httpServer;
  std::unique_ptr<Log> log;
  std::vector<LogLine> earlyLines; // of events before the log was opened
  std::vector<EventPtr> signals;
  Timer tickTimer;
  Micros startedAt = SteadyNow();
  Micros firstViewAt = 0; // when the first view was complete
  Micros now = 0;         // when the present tick or batch of packets began
  Micros lastTickAt = 0;
  Micros lastTickBootTime = 0;
  Micros lastSettingsCheckAt = 0;
  Micros lastPacketAt = 0;
  Micros stopRequestedAt = 0;
  uint64_t reloadsRefused = 0;
  bool stopping = false;
  bool receiving = false; // packets are received from the socket
  // When the socket was last known to hold no packet, by BootNow.
  Micros socketEmptyAt = BootNow();
  bool lastBatchFull = false; // it may have left packets in the socket
  // The event loop has polled the socket since the last tick.
  bool polledSinceTick = false;
  PortCounts port; // counts of the socket for packets
  Histogram handshake;
  Histogram response;
};

}

#include "tagged/node_detect.h"
#include "tagged/node_impl.h"
#include "tagged/node_packets.h"
