// The TCP port of a soak's backend server: it accepts connections and closes
// them, as probes of an instance need no more.
#pragma once

#include "tagged/udp.h"

#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace gentianspindle::soak {

class Listener
{
public:
  explicit Listener(Endpoint aLocal)
    : address(tagged::ToSocketAddress(aLocal))
    , descriptor(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
  {
    int on = 1;
    setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    (void)bind(this->descriptor,
               reinterpret_cast<const sockaddr*>(&this->address),
               sizeof this->address);
    listen(this->descriptor, kBacklog);
  }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  void Accept()
  {
    for (int one = 0; one >= 0;) {
      one = accept(this->descriptor, nullptr, nullptr);
      if (one >= 0) {
        close(one);
      }
    }
  }
  // Fills the queue of connections, so that the kernel drops further ones.
  void FallSilent()
  {
    listen(this->descriptor, 0);
    for (int i = 0; i < kFillers; ++i) {
      int one = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)connect(one,
                    reinterpret_cast<const sockaddr*>(&this->address),
                    sizeof this->address);
      this->fillers.push_back(one);
    }
  }
  void Return()
  {
    for (int one : this->fillers) {
      close(one);
    }
    this->fillers.clear();
    listen(this->descriptor, kBacklog);
  }

private:
  static constexpr int kBacklog = 64;
  static constexpr int kFillers = 4;
  sockaddr_in address;
  int descriptor;
  std::vector<int> fillers;
};

}
