#include "tagged/http_server.h"

#include "absl/strings/str_cat.h"

#include <cstring>
#include <event2/buffer.h>

namespace gentianspindle::tagged {

namespace {

constexpr int kIdleConnectionS = 30;
constexpr size_t kMaxRequestBytes = 16 * 1024;

}

absl::StatusOr<std::unique_ptr<HttpServer>>
HttpServer::Make(event_base* aBase)
{
  std::unique_ptr<HttpServer> pages(new HttpServer);
  pages->server.reset(evhttp_new(aBase));
  if (!pages->server) {
    return absl::InternalError("start HTTP pages: no server");
  }
  evhttp_set_timeout(pages->server.get(), kIdleConnectionS);
  evhttp_set_max_body_size(pages->server.get(), kMaxRequestBytes);
  evhttp_set_max_headers_size(pages->server.get(), kMaxRequestBytes);
  evhttp_set_allowed_methods(pages->server.get(), EVHTTP_REQ_GET);
  return pages;
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
HttpServer::Put(const std::string& aPath, Answer aPage)
{
  this->pages.push_back(std::make_unique<Answer>(std::move(aPage)));
  evhttp_set_cb(
    this->server.get(),
    aPath.c_str(),
    [](evhttp_request* aRequest, void* aCall) {
      HttpReply answer = (*static_cast<Answer*>(aCall))();
      evbuffer* body = evbuffer_new();
      evbuffer_add(body, answer.body.data(), answer.body.size());
      evhttp_send_reply(aRequest,
                        answer.status,
                        answer.status == 200 ? "OK" : "Unavailable",
                        body);
      evbuffer_free(body);
    },
    this->pages.back().get());
}

}
