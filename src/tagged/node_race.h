// Definitions of Node's functions for second openings: the bytes of opening
// packets are kept while a second server may get them.
#pragma once

#include "tagged/node.h"

namespace gentianspindle::tagged {

// Beyond this number the oldest are left out, which bounds the memory.
constexpr size_t kMaxKeptOpenings = 256;
// An opening packet is older than UsableTime by then.
constexpr Micros kMaxOpeningAge = 200 * kMillisecond;

template<Platform P>
void
Node<P>::KeepOpening(const steer::FlowId& aFlow, std::span<uint8_t> aBytes)
{
  if (this->openings.size() >= kMaxKeptOpenings) {
    this->openings.pop_front();
  }
  this->openings.push_back(
    { aFlow, this->now, { aBytes.begin(), aBytes.end() } });
}

// The batch refers to the bytes, so it is sent before they are erased.
template<Platform P>
void
Node<P>::SendSecondOpenings()
{
  while (std::optional<steer::SecondOpening> second =
           this->steer.TakeRace(this->now)) {
    auto kept = std::find_if(this->openings.rbegin(),
                             this->openings.rend(),
                             [&second](const KeptOpening& aOpening) {
                               return aOpening.flow == second->packet.flow;
                             });
    if (kept == this->openings.rend()) {
      continue;
    }
    const steer::ServerEntry& server =
      this->steer.CurrentView().At(second->server).entry;
    this->Send(P::Encapsulate(kept->bytes, second->tag, server.id),
               server.endpoint);
    this->SendAll();
    this->LogSecondOpening(*second);
  }
  while (!this->openings.empty() &&
         this->now - this->openings.front().at >= kMaxOpeningAge) {
    this->openings.pop_front();
  }
}

template<Platform P>
void
Node<P>::LogSecondOpening(const steer::SecondOpening& aSecond)
{
  const steer::ServerEntry& first =
    this->steer.CurrentView().At(aSecond.first).entry;
  LogLine line("second_opening");
  line.Text("caller", FormatEndpoint(aSecond.packet.flow.caller))
    .Text("target", FormatEndpoint(aSecond.packet.flow.target))
    .Text("first_server", FormatEndpoint(first.endpoint))
    .Text("first_server_id", absl::StrCat(absl::Hex(first.id)))
    .Number("waited_ms", aSecond.waited / kMillisecond);
  this->AddServerFields(line, aSecond.server);
  this->Write(line);
}

}
