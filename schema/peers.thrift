// What instances of the tagged transport tell each other: whole views over
// HTTP, beats as datagrams. Fields are only ever added.
namespace cpp gentianspindle.tagged.msg

struct Weight {
  1: string serviceName
  2: i32 weight
}

struct Route {
  1: string name
  2: i64 endpoint // address in the upper bits, port in the lower 16
  3: list<Weight> services
  4: i64 timeout // microseconds, as all times here
  5: i64 aim
  6: i32 priority
}

struct Server {
  1: string name
  2: i64 revision
  3: i64 id
  4: i64 startedAt // milliseconds since 1970
  5: string serviceName
  6: i64 endpoint
  7: string zone
  8: i32 slots
  9: bool draining
  10: i64 coldFor
}

// All that an instance believes; complete or not sent at all.
struct ViewCopy {
  1: i64 configVersion
  2: list<Route> routes
  3: i64 idle
  4: i64 serversRevision // of the store, up to which all is known; 0: no servers here
  5: list<Server> servers
  6: i64 configRevision // of the store, up to which all is known
}

// A change of one entry of the registry.
struct Change {
  1: Server server // of one that is not listed only name and revision count
  2: i8 kind       // 0 listed, 1 removed, 2 unreadable
}

// An instance that reads at the store for its availability zone.
struct Reader {
  1: i32 address
  2: string zone
}

// What one instance knows and how new that is; a datagram. Ages are
// microseconds from the store's answer to the sending.
struct Heartbeat {
  1: string zone // of the sender
  2: i32 share   // of a processor, in thousandths
  3: bool reads  // the sender asks the store
  4: bool storeAnswers
  5: bool hasView
  6: bool wantsAnswer
  7: i64 configVersion
  8: i64 configRevision // of the store, up to which the sender knows all
  9: i64 configAge
  10: i64 serversRevision
  11: i64 serversAge
  12: i64 storeBackAge // since the store was away; -1: it was not
  13: i64 changesFrom  // changes are all from after this revision ...
  14: i64 changesTo    // ... up to this one
  15: list<Change> changes
  16: list<i32> members // of the sender's zone
  17: list<Reader> readers // of other zones
  18: i32 zoneSize  // instances in the sender's zone
  19: i32 fleetSize // in all zones
}
