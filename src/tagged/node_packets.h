// Definitions of Node's functions for packets: from a datagram to a decision,
// its log line, and what is sent.
#pragma once

#include "tagged/node.h"

namespace gentianspindle::tagged {

template<Platform P>
void
Node<P>::OnReadable()
{
  this->now = SteadyNow();
  this->lastPacketAt = this->now;
  Micros polledAt = BootNow();
  size_t count = this->receiveBatch.Receive(this->socket.Descriptor());
  for (size_t i = 0; i < count; ++i) {
    this->OnDatagram(i);
  }
  this->lastBatchFull = count == kBatchSize;
  this->socketEmptyAt = this->lastBatchFull ? this->socketEmptyAt : polledAt;
  this->SendAll();
  this->SendOpeningQueries();
  this->ReleaseHeld();
  this->CheckSendDelay();
}

// Returns how long a datagram waited in the socket, or an upper bound if its
// arrival was not recorded: it came after the socket was last known to be
// empty. The bound also limits the error if the time of day was set while it
// waited.
template<Platform P>
Micros
Node<P>::QueueTime(size_t aIndex)
{
  Micros bound = BootNow() - this->socketEmptyAt;
  std::optional<Micros> measured = this->receiveBatch.QueueTime(aIndex);
  this->port.arrivalsUnknown += measured ? 0 : 1;
  return measured ? std::min(*measured, bound) : bound;
}

template<Platform P>
void
Node<P>::OnDatagram(size_t aIndex)
{
  std::span<uint8_t> bytes = this->receiveBatch.At(aIndex);
  ++this->port.packetsIn;
  this->port.bytesIn += bytes.size() - kHeadroom;
  std::optional<steer::Packet> packet = P::Decode(bytes.subspan(kHeadroom));
  if (!packet) {
    ++this->port.badPackets;
    return;
  }
  if (packet->syn) {
    packet->queueTime = this->QueueTime(aIndex);
  }
  steer::Decision decision = this->steer.OnPacket(
    *packet, this->sync->IsConfigFresh(this->now), this->now);
  const steer::LatencySample& sample = this->steer.LastSample();
  if (sample.handshake) {
    this->handshake.Add(sample.duration);
  } else if (sample.response) {
    this->response.Add(sample.duration);
  }
  this->LogDecision(decision, *packet, bytes.subspan(kHeadroom));
  this->ExecuteDecision(decision, *packet, bytes);
}

template<Platform P>
void
Node<P>::ExecuteDecision(const steer::Decision& aDecision,
                         const steer::Packet& aPacket,
                         std::span<uint8_t> aBytes)
{
  if (aDecision.action == steer::Action::Forward) {
    const steer::ServerEntry& server =
      this->steer.CurrentView().At(aDecision.server).entry;
    this->Send(P::Encapsulate(aBytes, aDecision.tag, server.id),
               server.endpoint);
  } else if (aDecision.action == steer::Action::Reset) {
    Endpoint caller = aPacket.flow.caller;
    caller.port = this->callerPort;
    this->Send(P::MakeReset(aPacket, this->sendBatch.NextBuffer()), caller);
  } else if (aDecision.action == steer::Action::Hold) {
    this->held[aPacket.flow].assign(aBytes.begin(), aBytes.end());
  }
}

template<Platform P>
void
Node<P>::ReleaseHeld()
{
  while (std::optional<steer::ReleasedPacket> released =
           this->steer.Release(this->now)) {
    auto bytes = this->held.find(released->packet.flow);
    if (bytes == this->held.end()) {
      continue;
    }
    this->LogDecision(released->decision,
                      released->packet,
                      std::span(bytes->second).subspan(kHeadroom));
    if (released->decision.action == steer::Action::Hold) {
      continue; // for another reason than before
    }
    this->ExecuteDecision(released->decision, released->packet, bytes->second);
    // The batch refers to the bytes, so it is sent before they are erased.
    this->SendAll();
    this->held.erase(bytes);
  }
}

template<Platform P>
void
Node<P>::SendOpeningQueries()
{
  for (const steer::OutgoingOpeningQuery& query :
       this->steer.TakeOpeningQueries()) {
    this->sync->SendOpeningQuery(query);
  }
}

template<Platform P>
void
Node<P>::Send(std::span<uint8_t> aBytes, Endpoint aTo)
{
  ++this->port.packetsOut;
  if (!this->sendBatch.Add(aBytes, aTo)) {
    ++this->port.sendFailed;
  }
}

template<Platform P>
void
Node<P>::SendAll()
{
  size_t size = this->sendBatch.Size();
  if (size > 0) {
    this->port.sendFailed +=
      size - this->sendBatch.Send(this->socket.Descriptor());
  }
}

// A process that is stopped between its decisions and the sending forwards
// opening packets later than their records say; their servers could not answer
// meanwhile.
template<Platform P>
void
Node<P>::CheckSendDelay()
{
  Micros sentAt = SteadyNow();
  if (sentAt - this->now > kMaxSendDelay) {
    this->steer.OnSendDelay(this->now, sentAt);
  }
}

// Adds the server's entry, and its health as this instance sees it.
template<Platform P>
void
Node<P>::AddServerFields(LogLine& aLine, steer::ServerIndex aServer) const
{
  const steer::Server& server = this->steer.CurrentView().At(aServer);
  const steer::ServerHealth& health = this->steer.HealthOf(aServer);
  aLine.Text("server", FormatEndpoint(server.entry.endpoint))
    .Text("server_id", absl::StrCat(absl::Hex(server.entry.id)))
    .Number("server_started", server.entry.startedAt)
    .Number("server_revision", static_cast<int64_t>(server.position.revision))
    .Text("server_zone", server.entry.zone)
    .Number("open", health.open)
    .Number("unanswered", health.unanswered)
    .Number("evidence_age_ms",
            (this->now - health.lastProgress) / kMillisecond);
}

// Logs a decision in one line. Leaves out the packets that are forwarded as
// part of a known flow, except the one with the flow's first request, and the
// flows that sampling leaves out.
template<Platform P>
void
Node<P>::LogDecision(const steer::Decision& aDecision,
                     const steer::Packet& aPacket,
                     std::span<const uint8_t> aBytes)
{
  bool isRoutine =
    aDecision.reason == steer::Reason::Known && !aDecision.firstRequest;
  if (isRoutine || !this->log ||
      !this->log->ShouldLogFlow(absl::HashOf(aPacket.flow), this->now)) {
    return;
  }
  // In the order of steer::Action.
  static constexpr std::array<std::string_view, 4> kActionNames{
    "forward", "reset", "drop", "hold"
  };
  LogLine line("packet");
  line.Text("outcome", kActionNames[static_cast<size_t>(aDecision.action)])
    .Text("reason", steer::ReasonName(aDecision.reason))
    .Text("caller", FormatEndpoint(aPacket.flow.caller))
    .Text("target", FormatEndpoint(aPacket.flow.target))
    .Number("tag", aPacket.tag)
    .Number("config_version", this->steer.CurrentView().Version())
    .Number("view_age_ms", this->sync->ViewAge(this->now) / kMillisecond);
  if (aDecision.firstRequest) {
    line.Text("request", P::RequestId(aBytes));
  }
  if (aDecision.server != steer::kNoServer) {
    this->AddServerFields(line, aDecision.server);
  }
  if (aPacket.syn) {
    line.Number("queued_ms", aPacket.queueTime / kMillisecond)
      .Real("score", aDecision.placement.score)
      .Real("next_score", aDecision.placement.nextScore)
      .Number("candidates", aDecision.placement.candidates)
      .Number("suspects", aDecision.placement.suspects);
  }
  if (aDecision.flowLimit > 0) {
    line.Number("waited_ms", aDecision.waited / kMillisecond)
      .Number("window_open", aDecision.openFlows)
      .Real("window_limit", aDecision.flowLimit);
  }
  this->Write(line);
}

}
