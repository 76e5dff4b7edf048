// Probes over the loopback interface.
#include "tagged/prober.h"
#include "tagged/udp.h"

#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace gentianspindle {

using namespace tagged;

namespace {

// A bound TCP port of the loopback interface, which listens if asked to.
struct Port
{
  int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  Endpoint endpoint{ 0x7F000001, 0 };

  explicit Port(bool aListens)
  {
    sockaddr_in address = ToSocketAddress(this->endpoint);
    socklen_t size = sizeof address;
    auto* general = reinterpret_cast<sockaddr*>(&address);
    REQUIRE(bind(this->descriptor, general, size) == 0);
    if (aListens) {
      REQUIRE(listen(this->descriptor, 1) == 0);
    }
    REQUIRE(getsockname(this->descriptor, general, &size) == 0);
    this->endpoint.port = ntohs(address.sin_port);
  }
  Port(const Port&) = delete;
  Port& operator=(const Port&) = delete;
  ~Port() { close(this->descriptor); }
};

// Returns the result of one probe of aEndpoint.
steer::ProbeResult
ProbeOnce(Endpoint aEndpoint)
{
  EventBasePtr base(event_base_new());
  std::optional<steer::ProbeResult> result;
  Prober prober(base.get(),
                [&](const steer::Probe& aProbe, steer::ProbeResult aResult) {
                  CHECK(aProbe.server == 3);
                  result = aResult;
                });
  prober.Start({ 3, 1, aEndpoint });
  while (!result && event_base_loop(base.get(), EVLOOP_ONCE) == 0) {
  }
  REQUIRE(result);
  return *result;
}

}

TEST_CASE("A probe tells a port that listens from one that does not")
{
  Port listening(true);
  CHECK(ProbeOnce(listening.endpoint) == steer::ProbeResult::Connected);
  Port closed(false);
  CHECK(ProbeOnce(closed.endpoint) == steer::ProbeResult::Refused);
}

TEST_CASE("A probe that this machine cannot send says nothing of the server")
{
  // Connections to the broadcast address fail here.
  CHECK(ProbeOnce({ 0xFFFFFFFF, 80 }) == steer::ProbeResult::NotSent);
}

TEST_CASE("Probes beyond the bound are not sent")
{
  EventBasePtr base(event_base_new());
  size_t notSent = 0;
  Prober prober(base.get(),
                [&](const steer::Probe&, steer::ProbeResult aResult) {
                  notSent += aResult == steer::ProbeResult::NotSent ? 1 : 0;
                });
  Port listening(true);
  for (size_t i = 0; i <= kMaxOpenProbes; ++i) {
    prober.Start({ 3, 1, listening.endpoint });
  }
  CHECK(notSent == 1);
}

}
