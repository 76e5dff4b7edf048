#include "tagged/http_server.h"

#include "absl/strings/str_cat.h"

#include <cstring>
#include <event2/buffer.h>

namespace gentianspindle::tagged {

namespace {

constexpr int kConnectionTimeoutS = 30;
constexpr size_t kMaxRequestBytes = 16 * 1024; // of headers and of body, each

}

absl::StatusOr<std::unique_ptr<HttpServer>>
HttpServer::Make(event_base* aBase)
{
  std::unique_ptr<HttpServer> httpServer(new HttpServer);
  httpServer->server.reset(evhttp_new(aBase));
  if (!httpServer->server) {
    return absl::InternalError("start HTTP server: evhttp_new failed");
  }
  evhttp_set_timeout(httpServer->server.get(), kConnectionTimeoutS);
  evhttp_set_max_body_size(httpServer->server.get(), kMaxRequestBytes);
  evhttp_set_max_headers_size(httpServer->server.get(), kMaxRequestBytes);
  evhttp_set_allowed_methods(httpServer->server.get(), EVHTTP_REQ_GET);
  return httpServer;
}

absl::Status
HttpServer::Listen(Endpoint aListen)
{
  std::string host = FormatAddress(aListen.address);
  int bound =
    evhttp_bind_socket(this->server.get(), host.c_str(), aListen.port);
  if (bound != 0) {
    return absl::UnavailableError(absl::StrCat(
      "listen for HTTP at ", FormatEndpoint(aListen), ": ", strerror(errno)));
  }
  return absl::OkStatus();
}

void
HttpServer::Handle(const std::string& aPath, Handler aHandler)
{
  this->handlers.push_back(std::make_unique<Handler>(std::move(aHandler)));
  evhttp_set_cb(
    this->server.get(),
    aPath.c_str(),
    [](evhttp_request* aRequest, void* aArgument) {
      HttpReply reply = (*static_cast<Handler*>(aArgument))();
      evbuffer* body = evbuffer_new();
      evbuffer_add(body, reply.body.data(), reply.body.size());
      evhttp_send_reply(aRequest,
                        reply.status,
                        reply.status == 200 ? "OK" : "Unavailable",
                        body);
      evbuffer_free(body);
    },
    this->handlers.back().get());
}

}
