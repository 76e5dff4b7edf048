// What instances of the tagged transport tell each other over HTTP. Fields
// are only ever added.
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
  4: i64 serversRevision
  5: list<Server> servers
}

struct Digest {
  1: i64 configVersion
  2: i64 serversRevision
  3: list<i32> members // addresses
}
