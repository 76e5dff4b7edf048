// A backend server of the soak as a process of its own: it registers at the
// store, answers flows, and writes what it saw to a file.
#pragma once

#include "base/address.h"

#include <string>

namespace gentianspindle::soak {

struct ServerOptions
{
  std::string id; // hexadecimal
  std::string service;
  Endpoint at;
  std::string zone;
  Endpoint store;
  uint16_t callerPort = 0; // where callers take packets
  std::string record;      // path of the file
};

// Runs until SIGTERM and the end of the drain.
int
RunServer(const ServerOptions& aOptions);

// The body of an answer; any change of it shows.
std::string
MakeBody(const std::string& aId, size_t aBytes);

}
