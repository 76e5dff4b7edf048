#include "tagged/prober.h"

#include "tagged/udp.h"

#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace gentianspindle::tagged {

namespace {

// A connection that was reset after it was made was answered. Errors of this
// machine, as without free descriptors or a route, say nothing of the server.
steer::ProbeResult
ResultOf(int aError)
{
  switch (aError) {
    case 0:
    case ECONNRESET:
      return steer::ProbeResult::Connected;
    case ECONNREFUSED:
      return steer::ProbeResult::Refused;
    case ETIMEDOUT:
    case EHOSTUNREACH:
      return steer::ProbeResult::TimedOut;
    default:
      return steer::ProbeResult::NotSent;
  }
}

}

Prober::~Prober()
{
  for (const auto& [descriptor, connection] : this->connections) {
    close(descriptor);
  }
}

void
Prober::Start(const steer::Probe& aProbe)
{
  int descriptor =
    this->connections.size() < kMaxOpenProbes
      ? socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)
      : -1;
  if (descriptor < 0) {
    this->report(aProbe, steer::ProbeResult::NotSent);
    return;
  }
  sockaddr_in address = ToSocketAddress(aProbe.endpoint);
  int outcome = connect(
    descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  if (outcome == 0 || errno != EINPROGRESS) {
    int error = outcome == 0 ? 0 : errno;
    close(descriptor);
    this->report(aProbe, ResultOf(error));
    return;
  }
  Connection& connection =
    this->connections
      .emplace(descriptor, Connection{ this, aProbe, descriptor, {} })
      .first->second;
  connection.event.reset(event_new(
    this->base,
    descriptor,
    EV_WRITE,
    [](evutil_socket_t, short aWhat, void* aConnection) {
      auto& self = *static_cast<Connection*>(aConnection);
      self.prober->OnEvent(self, (aWhat & EV_TIMEOUT) != 0);
    },
    &connection));
  timeval lifetime{ kProbeLifetime / kSecond, kProbeLifetime % kSecond };
  event_add(connection.event.get(), &lifetime);
}

void
Prober::OnEvent(Connection& aConnection, bool aTimedOut)
{
  int error = ETIMEDOUT;
  socklen_t size = sizeof error;
  if (!aTimedOut) {
    getsockopt(aConnection.descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
  }
  steer::Probe probe = aConnection.probe;
  int descriptor = aConnection.descriptor;
  this->connections.erase(descriptor);
  close(descriptor);
  this->report(probe, ResultOf(error));
}

}
