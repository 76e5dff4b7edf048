#include "tagged/http_client.h"

#include "absl/strings/str_cat.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace gentianspindle::tagged {

namespace {

// A connection whose other end acknowledges nothing for about this time, as it
// is cut off or without power, is closed. While a watch waits, only keepalive
// probes are sent; without them only the request's timeout, which grows with
// the wait, would show the failure.
constexpr int kUserTimeoutMs = 2500;
constexpr int kKeepaliveIdleS = 1;
constexpr int kKeepaliveIntervalS = 1;
// On Linux kUserTimeoutMs overrides it.
constexpr int kKeepaliveProbes = 2;
constexpr ev_ssize_t kMaxHeaderBytes = 16 * 1024;

}

HttpClient::HttpClient(event_base* aBase,
                       Endpoint aServer,
                       size_t aMaxBodyBytes,
                       const char* aHeader)
  : base(aBase)
  , host(FormatAddress(aServer.address))
  , server(aServer)
  , maxBodyBytes(aMaxBodyBytes)
  , headerName(aHeader)
  , timeout(aBase, [this] {
    this->broken = true;
    this->Finish(absl::DeadlineExceededError(
      absl::StrCat("GET from ", FormatEndpoint(this->server), ": timed out")));
  })
{
}

bool
HttpClient::Connect()
{
  if (this->broken) {
    this->connection.reset();
    this->broken = false;
  }
  if (!this->connection) {
    this->connection.reset(evhttp_connection_base_new(
      this->base, nullptr, this->host.c_str(), this->server.port));
    if (this->connection) {
      evhttp_connection_set_max_headers_size(this->connection.get(),
                                             kMaxHeaderBytes);
      evhttp_connection_set_max_body_size(
        this->connection.get(), static_cast<ev_ssize_t>(this->maxBodyBytes));
    }
  }
  return this->connection != nullptr;
}

void
HttpClient::SetSocketOptions()
{
  bufferevent* stream =
    evhttp_connection_get_bufferevent(this->connection.get());
  evutil_socket_t socket = bufferevent_getfd(stream);
  if (socket < 0) {
    return;
  }
  int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt(socket,
             IPPROTO_TCP,
             TCP_KEEPIDLE,
             &kKeepaliveIdleS,
             sizeof kKeepaliveIdleS);
  setsockopt(socket,
             IPPROTO_TCP,
             TCP_KEEPINTVL,
             &kKeepaliveIntervalS,
             sizeof kKeepaliveIntervalS);
  setsockopt(socket,
             IPPROTO_TCP,
             TCP_KEEPCNT,
             &kKeepaliveProbes,
             sizeof kKeepaliveProbes);
  setsockopt(socket,
             IPPROTO_TCP,
             TCP_USER_TIMEOUT,
             &kUserTimeoutMs,
             sizeof kUserTimeoutMs);
}

void
HttpClient::Get(const std::string& aPath,
                Micros aTimeout,
                ResponseCallback aOnResponse)
{
  this->broken = this->broken || this->busy;
  this->busy = true;
  this->onResponse = std::move(aOnResponse);
  this->timeout.Start(aTimeout);
  if (!this->Connect()) {
    return; // the timeout reports the failure
  }
  evhttp_request* request = evhttp_request_new(
    [](evhttp_request* aRequest, void* aSelf) {
      static_cast<HttpClient*>(aSelf)->OnRequestDone(aRequest);
    },
    this);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", FormatEndpoint(this->server).c_str());
  int result = evhttp_make_request(
    this->connection.get(), request, EVHTTP_REQ_GET, aPath.c_str());
  if (result == 0) {
    this->SetSocketOptions();
  } else {
    this->broken = true;
  }
}

void
HttpClient::Cancel()
{
  this->broken = this->broken || this->busy;
  this->busy = false;
  this->timeout.Stop();
  this->onResponse = nullptr;
}

void
HttpClient::Disconnect()
{
  this->broken = true;
  if (this->busy) {
    this->Finish(absl::UnavailableError(
      absl::StrCat("GET from ",
                   FormatEndpoint(this->server),
                   ": connection closed by this instance")));
  }
}

void
HttpClient::OnRequestDone(evhttp_request* aRequest)
{
  if (!this->busy) {
    return;
  }
  int status =
    aRequest == nullptr ? 0 : evhttp_request_get_response_code(aRequest);
  if (status == 0) {
    this->broken = true;
    this->Finish(absl::UnavailableError(absl::StrCat(
      "GET from ", FormatEndpoint(this->server), ": connection failed")));
    return;
  }
  HttpResponse response{ status, {}, {} };
  if (this->headerName != nullptr) {
    const char* value = evhttp_find_header(
      evhttp_request_get_input_headers(aRequest), this->headerName);
    response.header = value == nullptr ? "" : value;
  }
  evbuffer* body = evhttp_request_get_input_buffer(aRequest);
  response.body.resize(evbuffer_get_length(body));
  evbuffer_remove(body, response.body.data(), response.body.size());
  this->Finish(std::move(response));
}

void
HttpClient::Finish(absl::StatusOr<HttpResponse> aResponse)
{
  this->timeout.Stop();
  this->busy = false;
  ResponseCallback callback = std::move(this->onResponse);
  this->onResponse = nullptr;
  callback(std::move(aResponse));
}

}
