// Messages between instances, and the objects that are stored at the platform.
// Regenerate the code with schema/generate; the output is committed. Fields are
// only ever added. An instance as a number has its IPv4 address in the upper
// bits and its peer port in the lower 16.
namespace cpp gentianspindle.msg

// Header in front of a caller's packet that one instance relays to another, on
// its walk along the owners of the servers that may have or admit the flow.
struct RelayHeader {
  1: i16 step,      // index in the flow's lookup order of servers
  2: i16 hops,      // number of relays so far
  3: i32 flags,     // bits of Walk::flags, see core/engine.h
  4: i32 server,    // IPv4 address of the server at that index
  5: i64 version,   // hash of the sender's part of this service, see
                    // ServiceHash in daemon/node.cpp
  6: i64 first,     // first owner asked: the arbiter, which may hold the SYN
  7: i32 adopt,     // first server that may have the flow, as its owner is cold
                    // or unreachable; 0: none
}

// HELD: the arbiter holds this new flow until a server has a free slot.
// VOID: the arbiter granted it to another owner, or does not grant the claim.
// CLAIM: an owner reserves a slot for the held flow.
// FOUND: an owner tells the flow's replica that the flow is at its server.
enum FlowNoteKind { HELD = 0, VOID = 1, CLAIM = 2, FOUND = 3 }

// Note about one flow from one instance to another.
struct FlowNote {
  1: i32 kind,    // FlowNoteKind; a note with another number is rejected
  2: i32 address, // service
  3: i16 port,
  4: i16 protocol,
  5: i64 flow,    // caller address and port
  6: i32 server,  // CLAIM, FOUND: backend server, IPv4 address; otherwise 0
}

// SUSPECT: a probe and the indirect probes went unanswered. LEAVING: alive, but
// owns no servers. DEAD: was a suspect for too long.
enum MemberState { ALIVE = 0, SUSPECT = 1, LEAVING = 2, DEAD = 3 }

// State of one member. A higher incarnation supersedes a lower one; only the
// member itself raises it.
struct MemberUpdate {
  1: i64 instance,
  2: string zone,
  3: i32 state,    // MemberState; a probe with another number is rejected
  4: i64 incarnation,
  5: i64 tableVersion, // in force at the member
}

// ACK answers PING and JOIN. PING_REQUEST asks for an indirect probe of another
// member; if that member answers, an ACK is passed on to the requester. JOIN
// goes to unknown seeds and dead members; its ACK has more updates.
enum ProbeKind { PING = 0, ACK = 1, PING_REQUEST = 2, JOIN = 3 }

// Membership probe or its reply, with piggybacked updates on members.
struct Probe {
  1: i32 kind,     // ProbeKind; a probe with another number is rejected
  2: i64 sequence, // an ACK repeats that of its probe
  3: i64 target,   // member that is to be or was probed; 0 in the ACK of a JOIN
  4: list<MemberUpdate> news, // updates on members, the sender's own first
}

// One row of the table: one backend server of a service.
struct Row {
  1: string server,   // IPv4 address
  2: string zone,
  3: i32 weight,
  4: i32 slots,       // max. concurrent requests
  5: i32 connections, // max. open flows
  6: bool draining,
}

// One service with all its rows; stored as one immutable object.
struct TablePart {
  1: string name,
  2: string address,
  3: i32 port,
  4: string protocol, // tcp or udp
  5: i32 waitMs, // longest hold of a new flow, milliseconds
  6: list<Row> rows,
  7: list<list<Row>> former, // rows of former versions, newest first
}

// Reference to the part of one service, by the SHA-256 of its object.
struct PartName { 1: string name, 2: string digest }

// Head of the table. A conditional update of this one object accepts a version.
struct TableHead {
  1: i32 format, // kTableFormat in store/store.h
  2: i64 version,
  3: string changeId, // unique to one attempt to apply a table
  4: string author,
  5: i64 unixSeconds,
  6: string summary, // services that were added, changed and removed
  7: list<PartName> parts,
}

// Envelope of every probe and control message. mac covers sender, sequence and
// body; keyId selects its key.
struct Sealed {
  1: i16 keyId,
  2: i64 sender,
  3: i64 sequence, // grows with each message of a sender, against replays
  4: binary body,
  5: binary mac,
}

// Asks a peer for its table. The reply leaves out the parts whose digests, cut
// to 16 characters, the requester lists; of its head only format, version and
// parts are set. haveVersion is not read at present.
struct TablePull { 1: i64 haveVersion, 2: list<string> haveDigests }
struct TableReply { 1: TableHead head, 2: list<binary> parts }

// A flow that is handed over to the new owner of a server, as that owner can't
// derive it from the ranking; see Engine::Exceptions in core/engine.h.
struct HandedFlow {
  1: i64 flow,        // caller address and port
  2: i32 server,      // backend server of the flow, IPv4 address
  3: i16 state,       // FlowState in core/flows.h; a flow with an unknown number
                      // is left out
  4: i32 sentEnd,     // sequence number after the caller's last byte
  5: i32 ackBase,     // acknowledgement number when the request was sent
  6: i32 lastAck,     // latest acknowledgement number
  7: i16 passedSteps, // bits of the walk's steps at which the SYN was passed on
  8: bool finSeen,    // the caller sent a FIN
}

// Part of a hand-over. last: no more parts follow, and the sender knew all
// these flows. It completes the new owner's knowledge of the server; until then
// the new owner is cold.
struct HandOver {
  1: i32 address, // service
  2: i16 port,
  3: i16 protocol,
  4: i32 server,  // the server that changes its owner
  5: list<HandedFlow> flows,
  6: bool last,
}

// Reply to each part: false until the receiver considers itself the owner.
struct HandOverReply { 1: bool accepted }

// Control message, over TCP: pull and handOver are requests, table and answer
// the replies to them.
union Control {
  1: TablePull pull,
  2: TableReply table,
  3: HandOver handOver,
  4: HandOverReply answer,
}

// Status of one instance, as the writer of its zone sees it.
struct InstanceStatus {
  1: string instance, // its peer endpoint, address:port
  2: string zone,
  3: string state, // live, suspect, leaving or unreachable
  4: i64 tableVersion,
  5: i64 flows,      // not set at present
  6: string problem, // not set at present
}

// Status of a zone's instances; one object per zone, written by one instance.
struct ZoneStatus {
  1: string zone,
  2: string writer, // instance that wrote it
  3: i64 sequence,  // not set at present
  4: list<InstanceStatus> instances,
}
