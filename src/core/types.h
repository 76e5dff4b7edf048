// Types that all decisions share: flows, services and reasons.
#pragma once

#include "base/address.h"
#include "base/time.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace gentianspindle {

// The caller's address and port in 48 bits. They identify a flow of a service.
using FlowKey = uint64_t;

constexpr FlowKey
MakeFlowKey(Address aCaller, uint16_t aPort)
{
  return (uint64_t{ aCaller } << 16) | aPort;
}

enum class Protocol : uint8_t
{
  Tcp = 6,
  Udp = 17,
};

// Address, port and protocol at which callers reach a service.
struct ServiceKey
{
  Address address = 0;
  uint16_t port = 0;
  Protocol protocol = Protocol::Tcp;

  friend bool operator==(const ServiceKey&, const ServiceKey&) = default;

  template<typename H>
  friend H AbslHashValue(H aState, const ServiceKey& aKey)
  {
    return H::combine(
      std::move(aState), aKey.address, aKey.port, aKey.protocol);
  }
};

// Why a packet was dropped or refused, a flow was reset or its entry evicted,
// or a packet needed more than the usual steps. Each reason has a counter.
enum class Reason : uint8_t
{
  None,
  // Invalid packets and messages.
  ShortPacket,
  BadVersion,
  BadOptions,
  BadLength,
  BadChecksum,
  Fragment,
  NotIpv4,
  UnknownProtocol,
  UnknownService,
  UnknownSource,
  BadPeerMessage,
  TooLarge,
  // Established flows.
  UnknownFlow, // no owner knows the flow
  // The owner of a server that may have the flow is unreachable; with a new
  // flow, all owners are.
  OwnerUnreachable,
  HopLimit,   // relayed too often; also packets of new flows
  ServerGone, // reset: neither the table nor former rows have the server
  WalkBudget, // over the limit of lookups per second
  // New flows.
  ColdOwner,          // dropped, not refused: a server may have the flow
  HeldDuplicate,      // copy of a held packet, or grant without claim and slot
  Overloaded,         // no free slot, also not within the waiting time
  OverloadedHoldFull, // no free slot, and too many flows held
  // Passed on, as the server is draining, removed or seems to be down; refused
  // if no candidate was busy either.
  Unavailable,
  ConnectionLimit, // BusyPolicy::LeastLoaded: no server to queue at
  HalfOpenLimit,   // a half-open flow evicted for a new one
  // Additional steps, missing state and failed sends.
  PassedOnBusy,       // server without a free slot
  PassedOnAgain,      // an earlier copy was passed on at this step
  SkippedUnreachable, // server without a reachable owner
  NoTable,            // no table received yet
  NotJoined,          // the instance has not joined its peers yet
  SocketFull,
  Count,
};

constexpr std::array<std::string_view, static_cast<size_t>(Reason::Count)>
  kReasonNames{
    "none",
    "short_packet",
    "bad_version",
    "bad_options",
    "bad_length",
    "bad_checksum",
    "fragment",
    "not_ipv4",
    "unknown_protocol",
    "unknown_service",
    "unknown_source",
    "bad_peer_message",
    "too_large",
    "unknown_flow",
    "owner_unreachable",
    "hop_limit",
    "server_gone",
    "walk_budget",
    "cold_owner",
    "held_duplicate",
    "overloaded",
    "overloaded_hold_full",
    "unavailable",
    "connection_limit",
    "half_open_limit",
    "passed_on_busy",
    "passed_on_again",
    "skipped_unreachable",
    "no_table",
    "not_joined",
    "socket_full",
  };

constexpr std::string_view
ReasonName(Reason aReason)
{
  return kReasonNames[static_cast<size_t>(aReason)];
}

}
