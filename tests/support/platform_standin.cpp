#include "support/platform_standin.h"

#include <chrono>

namespace gentianspindle {

namespace {

// Each GET that waits for a change occupies a thread.
constexpr size_t kThreads = 64;

std::string
MakeETag(int64_t aVersion)
{
  return "\"" + std::to_string(aVersion) + "\"";
}

}

PlatformStandin::PlatformStandin()
  : HttpStandin(kThreads)
{
  this->server.Get(
    "/v1/objects/(.+)",
    [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
      this->OnGet(aRequest, aResponse);
    });
  this->server.Put(
    "/v1/objects/(.+)",
    [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
      this->OnPut(aRequest, aResponse);
    });
}

PlatformStandin::~PlatformStandin()
{
  this->Stop();
}

std::string
PlatformStandin::Url() const
{
  return "http://127.0.0.1:" + std::to_string(this->port);
}

bool
PlatformStandin::ApplyFaults(httplib::Response& aResponse)
{
  ++this->calls;
  if (this->delayMs > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(this->delayMs));
  }
  if (this->down) {
    aResponse.status = 503;
  }
  return this->down;
}

void
PlatformStandin::OnGet(const httplib::Request& aRequest,
                       httplib::Response& aResponse)
{
  if (this->ApplyFaults(aResponse)) {
    return;
  }
  std::string name = aRequest.matches[1];
  std::unique_lock lock(this->mutex);
  std::string knownTag = aRequest.get_header_value("If-None-Match");
  if (aRequest.has_param("wait_ms")) {
    int wait = std::stoi(aRequest.get_param_value("wait_ms"));
    this->changed.wait_for(lock, std::chrono::milliseconds(wait), [&] {
      return this->stopping || this->down ||
             MakeETag(this->values[name].version) != knownTag;
    });
    if (this->down) {
      aResponse.status = 503;
      return;
    }
  }
  const Value& value = this->values[name];
  if (!knownTag.empty() && MakeETag(value.version) == knownTag) {
    aResponse.status = 304;
    return;
  }
  if (value.version == 0) {
    aResponse.status = 404;
    return;
  }
  aResponse.set_header("ETag", MakeETag(value.version));
  aResponse.set_content(value.body, "application/octet-stream");
}

void
PlatformStandin::OnPut(const httplib::Request& aRequest,
                       httplib::Response& aResponse)
{
  if (this->ApplyFaults(aResponse)) {
    return;
  }
  {
    std::lock_guard lock(this->mutex);
    Value& value = this->values[aRequest.matches[1]];
    bool mustBeAbsent = aRequest.get_header_value("If-None-Match") == "*";
    bool versionMatches =
      mustBeAbsent
        ? value.version == 0
        : MakeETag(value.version) == aRequest.get_header_value("If-Match");
    if (!versionMatches) {
      aResponse.status = 412;
      return;
    }
    ++value.version;
    value.body = aRequest.body;
    aResponse.set_header("ETag", MakeETag(value.version));
  }
  this->changed.notify_all();
  if (this->lostReplies > 0) {
    --this->lostReplies;
    aResponse.status = 503;
    return;
  }
  aResponse.status = 200;
}

}
