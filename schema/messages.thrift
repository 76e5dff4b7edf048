// Messages between instances and objects kept at the platform.
// Regenerate with schema/generate; the output is committed.
namespace cpp gentianspindle.msg

// Goes before a caller's packet that one instance relays to another.
struct RelayHeader {
  1: i16 step,      // place in the lookup order being asked
  2: i16 hops,      // relays so far
  3: i32 flags,     // WalkFlag bits
  4: i32 server,    // backend server being asked, IPv4 address
  5: i64 version,   // table version of the sender
  6: i64 first,     // instance that was asked first, the arbiter of a held SYN
  7: i32 adopt,     // first server whose owner could not say no, 0 for none
}

enum FlowNoteKind { HELD = 0, VOID = 1, CLAIM = 2, FOUND = 3 }

// One instance tells another about one flow.
struct FlowNote {
  1: i32 kind,    // FlowNoteKind; a peer may send any number
  2: i32 address, // service
  3: i16 port,
  4: i16 protocol,
  5: i64 flow,    // caller address and port
  6: i32 server,  // backend server, IPv4 address
}

enum MemberState { ALIVE = 0, SUSPECT = 1, LEAVING = 2, DEAD = 3 }

struct MemberUpdate {
  1: i64 instance, // IPv4 address and peer port
  2: string zone,
  3: i32 state,    // MemberState; a peer may send any number
  4: i64 incarnation,
  5: i64 tableVersion,
}

enum ProbeKind { PING = 0, ACK = 1, PING_REQUEST = 2, JOIN = 3 }

// Membership probe; news of members rides on it.
struct Probe {
  1: i32 kind,     // ProbeKind; a peer may send any number
  2: i64 sequence,
  3: i64 target, // PING_REQUEST: whom to probe; ACK: on whose behalf
  4: list<MemberUpdate> news,
}

// One row of the table.
struct Row {
  1: string server,
  2: string zone,
  3: i32 weight,
  4: i32 slots,
  5: i32 connections,
  6: bool draining,
}

// All rows of one service; stored as one immutable object.
struct TablePart {
  1: string name,
  2: string address,
  3: i32 port,
  4: string protocol,
  5: i32 waitMs,
  6: list<Row> rows,
  7: list<list<Row>> former, // rows of former versions, newest first
}

struct PartName { 1: string name, 2: string digest }

// The one object whose conditional update accepts a table.
struct TableHead {
  1: i32 format,
  2: i64 version,
  3: string changeId,
  4: string author,
  5: i64 unixSeconds,
  6: string summary,
  7: list<PartName> parts,
}

// Envelope of every control message; mac covers keyId, sequence and body.
struct Sealed {
  1: i16 keyId,
  2: i64 sender,
  3: i64 sequence, // grows with each message of a sender
  4: binary body,
  5: binary mac,
}

// Asks a peer for its table; parts whose digest the asker has stay away.
struct TablePull { 1: i64 haveVersion, 2: list<string> haveDigests }
struct TableReply { 1: TableHead head, 2: list<binary> parts }

// A flow on its way to the next owner of a server.
struct HandedFlow {
  1: i64 flow,
  2: i32 server,
  3: i16 state,
  4: i32 sentEnd,
  5: i32 ackBase,
  6: i32 lastAck,
  7: i16 passedSteps,
  8: bool finSeen,
}

// Part of a hand-over; knowledge is complete with the last part.
struct HandOver {
  1: i32 address, // service
  2: i16 port,
  3: i16 protocol,
  4: i32 server,
  5: list<HandedFlow> flows,
  6: bool last,
}

struct HandOverReply { 1: bool accepted }

union Control {
  1: TablePull pull,
  2: TableReply table,
  3: HandOver handOver,
  4: HandOverReply answer,
}

// Written once per zone by one instance.
struct InstanceStatus {
  1: string instance,
  2: string zone,
  3: string state,
  4: i64 tableVersion,
  5: i64 flows,
  6: string problem,
}
struct ZoneStatus {
  1: string zone,
  2: string writer,
  3: i64 sequence,
  4: list<InstanceStatus> instances,
}
