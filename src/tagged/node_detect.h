// Definitions of Node's functions for servers that fall silent: probes, resets
// of waiting flows, and verdicts for the log and the peers.
#pragma once

#include "tagged/node.h"

namespace gentianspindle::tagged {

template<Platform P>
void
Node<P>::DetectSilence()
{
  for (const steer::Probe& probe : this->steer.TakeProbes(this->now)) {
    this->prober.Start(probe);
  }
  this->SendResets();
  this->LogVerdicts();
  this->ShareVerdicts();
}

template<Platform P>
void
Node<P>::ShareVerdicts()
{
  std::vector<spread::Verdict> verdicts;
  for (const auto& [server, confirmedAt] : this->steer.Detector().Verdicts()) {
    const steer::ServerEntry& entry =
      this->steer.CurrentView().At(server).entry;
    verdicts.push_back({ entry.id, entry.startedAt, confirmedAt });
  }
  this->sync->SetVerdicts(verdicts, this->now);
}

// The batch has room for kBatchSize packets, so it is sent after each.
template<Platform P>
void
Node<P>::SendResets()
{
  for (const steer::Packet& packet : this->steer.TakeResets()) {
    steer::Decision decision{
      .action = steer::Action::Reset,
      .reason = steer::Reason::ServerSilent,
      .server = this->steer.CurrentView().FindTag(packet.tag),
    };
    this->LogDecision(decision, packet, {});
    Endpoint caller = packet.flow.caller;
    caller.port = this->callerPort;
    this->Send(P::MakeReset(packet, this->sendBatch.NextBuffer()), caller);
    this->SendAll();
  }
}

template<Platform P>
void
Node<P>::LogVerdicts()
{
  for (const steer::VerdictEvent& event : this->steer.Detector().TakeEvents()) {
    const steer::Suspect& suspect = event.suspect;
    bool ended = event.change >= steer::VerdictChange::Progress;
    LogLine line(ended ? "server_back" : "server_silent");
    line.Text("cause",
              steer::kVerdictChangeNames[static_cast<size_t>(event.change)]);
    this->AddServerFields(line, event.server);
    for (size_t i = 0; i < suspect.evidence.size(); ++i) {
      line.Number(steer::kEvidenceNames[i], suspect.evidence[i]);
    }
    line.Number("probes", suspect.probes)
      .Number("refused", suspect.refused)
      .Number("suspect_ms",
              ended ? 0 : (this->now - suspect.since) / kMillisecond)
      .Number("verdict_age_ms",
              ended ? (this->now - suspect.confirmedAt) / kMillisecond : 0);
    this->Write(line);
  }
}

}
