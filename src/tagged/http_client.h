// HTTP client for one server, with one connection and one pending request.
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
  std::string header; // value of the header that the client reads, if any
};

// Keeps its connection open for the next request.
class HttpClient
{
public:
  // Called with the response, with kUnavailable if the connection could not be
  // opened, failed or was closed by Disconnect, or with kDeadlineExceeded after
  // the timeout, which also reports a request that could not be started.
  using ResponseCallback = std::function<void(absl::StatusOr<HttpResponse>)>;

  // A response whose body is longer than aMaxBodyBytes counts as a failed
  // connection. aHeader is the name of the header that is read, if any.
  HttpClient(event_base* aBase,
             Endpoint aServer,
             size_t aMaxBodyBytes,
             const char* aHeader = nullptr);

  // Sends a request. Cancels a pending one without calling its callback.
  void Get(const std::string& aPath,
           Micros aTimeout,
           ResponseCallback aOnResponse);
  // Cancels a pending request without calling its callback; the next one uses
  // a new connection.
  void Cancel();
  // Fails a pending request with kUnavailable; the next one uses a new
  // connection.
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
  size_t maxBodyBytes;
  const char* headerName;
  std::unique_ptr<evhttp_connection, FreeConnection> connection;
  bool broken = false; // the connection must not be used again
  bool busy = false;   // a request is pending
  ResponseCallback onResponse;
  Timer timeout;
};

}
