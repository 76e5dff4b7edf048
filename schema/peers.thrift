// Messages between instances of the tagged transport: whole views over HTTP,
// heartbeats and queries about openings as datagrams. Fields are only ever
// added.
namespace cpp gentianspindle.tagged.msg

// Weight of one service among those of a route.
struct Weight {
  1: string serviceName
  2: i32 weight
}

// A route of the configuration.
struct Route {
  1: string name
  2: i64 endpoint // address in the upper bits, port in the lower 16
  3: list<Weight> services
  4: i64 timeout  // of one request; instances only pass it on. Microseconds, as
                  // all durations here
  5: i64 aim      // latency target
  6: i32 priority // 0 is the most urgent
  7: bool repeatable
  8: list<string> regions // whose servers may serve the route; none: all
}

// A service that needs more than its defaults.
struct Service {
  1: string name
  2: double warmupQuota // new flows a second for one server in its warm-up
}

// A backend server as the store lists it.
struct Server {
  1: string name
  2: i64 revision // of the entry in the store
  3: i64 id
  4: i64 startedAt // milliseconds since 1970
  5: string serviceName
  6: i64 endpoint
  7: string zone
  8: i32 slots // concurrent requests
  9: bool draining
  10: i64 coldFor // time left of the server's warm-up
}

// Copy of an instance's view: the configuration and the servers. An instance
// whose view is incomplete sends none.
struct ViewCopy {
  1: i64 configVersion
  2: list<Route> routes
  3: i64 idle // idle timeout of flows; instances only pass it on
  4: i64 serversRevision // store revision up to which all changes are known;
                         // 0: the copy has no servers
  5: list<Server> servers
  6: i64 configRevision // store revision up to which all changes are known
  7: list<Server> unreadable // listed servers whose entries cannot be read;
                             // only name and revision are valid
  10: list<Service> services
  11: i64 drainsRevision // store revision of drainedZones; 0: not known
  12: i64 drainsChanged  // store revision of the last change of a zone
  13: list<string> drainedZones
  // Eras of the store that the revisions above belong to; that of the servers
  // is also their entries'. 0, as from a former version of this program: not
  // known.
  14: i64 configEra
  15: i64 serversEra
  16: i64 drainsEra
  17: i64 drainsChangedEra
}

// A change of one server's entry in the store.
struct Change {
  1: Server server // only name and revision are valid unless kind is 0
  2: i8 kind       // 0 listed, 1 removed, 2 unreadable
}

// An instance that reads the store for its availability zone.
struct Reader {
  1: i32 address
  2: string zone
}

// A verdict that a server is gone or out of reach.
struct Verdict {
  1: i64 server    // its id
  2: i64 startedAt // of its process, milliseconds since 1970
  3: i64 age       // microseconds from the last confirmation to the sending
}

// Heartbeat datagram: what one instance knows, and its freshness. configAge and
// serversAge are microseconds from the store's response that last confirmed the
// configuration and the servers to the sending of the heartbeat.
struct Heartbeat {
  1: string zone // of the sender
  2: i32 share   // processors that the sender may use, in thousandths, rounded
                 // down
  3: bool reads  // the sender is a reader: it reads the store itself
  4: bool storeAnswers // the store responds to the sender
  5: bool hasView      // the sender has a configuration and servers
  6: bool wantsAnswer  // the receiver is asked to reply with a heartbeat
  7: i64 configVersion
  8: i64 configRevision // store revision up to which all changes are known
  9: i64 configAge
  10: i64 serversRevision // the same for servers
  11: i64 serversAge
  12: i64 storeBackAge // microseconds since the last store outage ended; -1:
                       // none is known
  13: i64 changesFrom  // changes are complete from after this revision
  14: i64 changesTo    // up to and including this one
  15: list<Change> changes
  16: list<i32> members // some instances of the sender's zone, or none
  17: list<Reader> readers // of other zones; in a reply also of the sender's
  18: i32 zoneSize  // instances in the sender's zone
  19: i32 fleetSize // instances in all zones
  20: i64 drainsRevision // as in ViewCopy
  21: i64 drainsAge // microseconds since the store confirmed that
  22: i64 drainsChanged // as in ViewCopy
  23: list<string> drainedZones // as in ViewCopy
  24: bool drainsLeftOut // the zones are too many for a heartbeat
  25: list<Verdict> verdicts // of the sender; from a reader, of its zone
  30: list<i32> quotaHolders // instances of the sender's zone that hold slots
                             // of warm-up quotas, in ascending order
  31: bool handsOutQuota     // the sender says that they hold them now
  // As in ViewCopy; serversEra is also that of the changes.
  32: i64 configEra
  33: i64 serversEra
  34: i64 drainsEra
  35: i64 drainsChangedEra
}

// Datagram about an opening packet that a caller sent again: the query of an
// instance that has no record of the flow, or the reply to it. A byte 0x0F goes
// before it, with which no heartbeat starts.
struct Opening {
  1: i64 caller // endpoint, as in Route
  2: i64 target
  3: i32 seq             // of the opening packet
  4: i32 retransmissions // how often the caller had sent it before
  5: i8 state // -1 query; reply: 0 not sent to a server, 1 sent, 2 not known
  6: i64 server    // that got it: its id
  7: i64 startedAt // and start, as in Verdict
  8: bool knowsZone    // the sender of the reply knows its zone, that of the
                       // one that asked, too
  9: list<i32> members // the zone's instances but these two
}
