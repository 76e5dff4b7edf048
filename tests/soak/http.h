// HTTP client of the soak.
#pragma once

#include "base/address.h"

#include <httplib.h>

namespace gentianspindle::soak {

inline httplib::Client
ClientOf(Endpoint aServer)
{
  return httplib::Client(FormatAddress(aServer.address), aServer.port);
}

}
