// HTTP client for one server: one connection, one call at a time.
#pragma once

#include "base/address.h"
#include "tagged/loop.h"

#include "absl/status/statusor.h"

#include <event2/http.h>
#include <string>

namespace gentianspindle::tagged {

struct HttpResponse
{
  int status = 0;
  std::string body;
};

class HttpClient
{
public:
  // Gets kUnavailable (no connection, or it broke) or kDeadlineExceeded.
  using ResponseCallback = std::function<void(absl::StatusOr<HttpResponse>)>;

  HttpClient(event_base* aBase, Endpoint aServer);

  // Ends a call under way without calling back.
  void Get(const std::string& aPath,
           Micros aTimeout,
           ResponseCallback aOnResponse);
  // Ends a call under way without calling back; the next one takes a new
  // connection.
  void Cancel();
  // The next call takes a new connection; a call under way fails.
  void Disconnect();

private:
  struct FreeConnection
  {
    void operator()(evhttp_connection* aConnection) const
    {
      evhttp_connection_free(aConnection);
    }
  };

  bool Connect();
  void SetSocketOptions();
  void OnRequestDone(evhttp_request* aRequest);
  void Finish(absl::StatusOr<HttpResponse> aResponse);

  event_base* base;
  std::string host;
  Endpoint server;
  std::unique_ptr<evhttp_connection, FreeConnection> connection;
  bool broken = false; // the connection must not be used again
  bool busy = false;
  ResponseCallback onResponse;
  Timer timeout;
};

}
