// Probes of backend servers: TCP connections that are closed as soon as they
// are answered. Nothing is sent on them, so that they take no room at a server.
#pragma once

#include "steer/decision.h"
#include "steer/failure_detector.h"
#include "tagged/loop.h"

#include <functional>
#include <unordered_map>

namespace gentianspindle::tagged {

// Number of probes that wait for an answer at once; further ones are not sent.
constexpr size_t kMaxOpenProbes = 64;
// A probe is given up after this time: a late answer still is a sign of life.
constexpr Micros kProbeLifetime = 900 * kMillisecond;

// Sends probes without blocking, and reports the result of each.
class Prober
{
public:
  using Report = std::function<void(const steer::Probe&, steer::ProbeResult)>;

  Prober(event_base* aBase, Report aReport)
    : base(aBase)
    , report(std::move(aReport))
  {
  }
  Prober(const Prober&) = delete;
  Prober& operator=(const Prober&) = delete;
  ~Prober();

  // Reports the result at once if the connection fails at once.
  void Start(const steer::Probe& aProbe);

private:
  // One connection that waits for its answer.
  struct Connection
  {
    Prober* prober;
    steer::Probe probe;
    int descriptor;
    EventPtr event;
  };

  void OnEvent(Connection& aConnection, bool aTimedOut);

  event_base* base;
  Report report;
  std::unordered_map<int, Connection> connections; // by descriptor
};

}
