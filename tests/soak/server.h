// The backend server process of the soak. It registers at the store, serves
// flows, and appends what it observes to a file, one JSON object a line.
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
  uint16_t callerPort = 0; // port of the socket that all callers share
  std::string record;      // path of the file for its observations
};

// Runs until the end of the drain that SIGTERM begins.
int
RunServer(const ServerOptions& aOptions);

// Returns the response body of a request. It follows from the id, so that the
// caller can check each byte.
std::string
MakeBody(const std::string& aId, size_t aBytes);

}
