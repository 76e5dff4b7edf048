// HTTP server of the daemon, for readiness, metrics and the views for peers.
#pragma once

#include "base/address.h"
#include "tagged/loop.h"

#include "absl/status/statusor.h"

#include <event2/http.h>
#include <string>

namespace gentianspindle::tagged {

struct HttpReply
{
  int status = 200;
  std::string body;
};

// Answers each GET request with the reply of the handler for its path, on the
// event loop.
class HttpServer
{
public:
  using Handler = std::function<HttpReply()>;

  static absl::StatusOr<std::unique_ptr<HttpServer>> Make(event_base* aBase);

  // Listens at aListen, besides the addresses of earlier calls.
  absl::Status Listen(Endpoint aListen);
  // Calls aHandler for each request of aPath.
  void Handle(const std::string& aPath, Handler aHandler);

private:
  struct FreeServer
  {
    void operator()(evhttp* aServer) const { evhttp_free(aServer); }
  };
  HttpServer() = default;

  std::unique_ptr<evhttp, FreeServer> server;
  std::vector<std::unique_ptr<Handler>> handlers;
};

}
