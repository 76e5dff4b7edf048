#include "store/objects.h"

#include "base/text.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"

#include <curl/curl.h>
#include <mutex>

namespace gentianspindle {

namespace {

// Limit for connecting, a part of the limit for the whole call.
constexpr int64_t kConnectTimeoutMs = 500;
// A watch times out this long after the time that the platform may hold it, as
// the response still has to arrive.
constexpr int64_t kWatchTimeoutMarginMs = 2000;

// Callback of curl: appends a part of the body to the string aBody.
size_t
OnBody(char* aData, size_t aSize, size_t aCount, void* aBody)
{
  static_cast<std::string*>(aBody)->append(aData, aSize * aCount);
  return aSize * aCount;
}

// Callback of curl: reads the version from the ETag header. Makes the call fail
// if the ETag is not a number, with or without quotes.
size_t
OnHeader(char* aData, size_t aSize, size_t aCount, void* aVersion)
{
  absl::string_view line(aData, aSize * aCount);
  size_t colon = line.find(':');
  if (colon != absl::string_view::npos &&
      absl::EqualsIgnoreCase(line.substr(0, colon), "etag")) {
    absl::string_view tag = absl::StripAsciiWhitespace(line.substr(colon + 1));
    absl::ConsumePrefix(&tag, "\"");
    absl::ConsumeSuffix(&tag, "\"");
    if (!absl::SimpleAtoi(tag, static_cast<int64_t*>(aVersion))) {
      return 0;
    }
  }
  return aSize * aCount;
}

// Callback of curl: aborts the transfer once Cancel was called.
int
OnProgress(void* aCancelled,
           curl_off_t /*aTotal*/,
           curl_off_t /*aNow*/,
           curl_off_t /*aUpTotal*/,
           curl_off_t /*aUpNow*/)
{
  return static_cast<std::atomic<bool>*>(aCancelled)->load() ? 1 : 0;
}

}

// State that copies share: curl's handle and the flag that Cancel sets.
struct HttpObjects::Handle
{
  CURL* curl = nullptr;
  std::atomic<bool> cancelled = false;

  Handle() = default;
  Handle(const Handle&) = delete;
  Handle& operator=(const Handle&) = delete;
  ~Handle() { curl_easy_cleanup(this->curl); }
};

HttpObjects::HttpObjects(const HttpOptions& aOptions)
  : options(aOptions)
  , handle(std::make_shared<Handle>())
{
}

absl::StatusOr<HttpObjects>
HttpObjects::Make(const HttpOptions& aOptions)
{
  static std::once_flag once;
  std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
  HttpObjects objects(aOptions);
  objects.handle->curl = curl_easy_init();
  if (objects.handle->curl == nullptr) {
    return absl::InternalError("start HTTP client: curl_easy_init failed");
  }
  return objects;
}

void
HttpObjects::Cancel()
{
  this->handle->cancelled = true;
}

// Inserts aName as it is, so it must need no escaping.
std::string
HttpObjects::UrlOf(std::string_view aName) const
{
  return absl::StrCat(this->options.url, "/v1/objects/", ToAbsl(aName));
}

absl::StatusOr<HttpObjects::Response>
HttpObjects::Perform(const Call& aCall)
{
  CURL* curl = this->handle->curl;
  curl_easy_reset(curl);
  Response response;
  curl_slist* headers = nullptr;
  if (!aCall.condition.empty()) {
    headers = curl_slist_append(headers, aCall.condition.c_str());
  }
  if (aCall.body != nullptr) {
    // An empty Expect header makes curl send the body at once.
    headers = curl_slist_append(headers, "Expect:");
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, "PUT");
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, aCall.body->data());
    curl_easy_setopt(curl,
                     CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(aCall.body->size()));
  }
  curl_easy_setopt(curl, CURLOPT_URL, aCall.url.c_str());
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, aCall.timeoutMs);
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, OnBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &response.body);
  curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, OnHeader);
  curl_easy_setopt(curl, CURLOPT_HEADERDATA, &response.version);
  curl_easy_setopt(curl, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt(curl, CURLOPT_XFERINFOFUNCTION, OnProgress);
  curl_easy_setopt(curl, CURLOPT_XFERINFODATA, &this->handle->cancelled);
  CURLcode code = curl_easy_perform(curl);
  curl_slist_free_all(headers);
  std::string context =
    absl::StrCat(ToAbsl(aCall.operation), " at ", this->options.url, ": ");
  if (code == CURLE_ABORTED_BY_CALLBACK) {
    return absl::CancelledError(absl::StrCat(context, "cancelled"));
  }
  if (code == CURLE_OPERATION_TIMEDOUT) {
    return absl::DeadlineExceededError(absl::StrCat(context, "timed out"));
  }
  if (code != CURLE_OK) {
    return absl::UnavailableError(
      absl::StrCat(context, curl_easy_strerror(code)));
  }
  long status = 0;
  curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
  response.status = status;
  return response;
}

absl::Status
HttpObjects::StatusOf(std::string_view aOperation,
                      const Response& aResponse) const
{
  std::string text = absl::StrCat(
    ToAbsl(aOperation), " at ", this->options.url, ": HTTP ", aResponse.status);
  switch (aResponse.status) {
    case 200:
    case 201:
      return absl::OkStatus();
    case 304:
      return absl::DeadlineExceededError(text);
    case 404:
      return absl::NotFoundError(text);
    case 412:
      return absl::AbortedError(text);
    default:
      return aResponse.status >= 500 || aResponse.status == 429
               ? absl::UnavailableError(text)
               : absl::InvalidArgumentError(text);
  }
}

absl::StatusOr<Object>
HttpObjects::Get(std::string_view aName)
{
  absl::StatusOr<Response> response =
    this->Perform({ .operation = "get object",
                    .url = this->UrlOf(aName),
                    .timeoutMs = this->options.timeoutMs });
  if (!response.ok()) {
    return response.status();
  }
  if (absl::Status status = this->StatusOf("get object", *response);
      !status.ok()) {
    return status;
  }
  return Object{ response->version, std::move(response->body) };
}

absl::StatusOr<Object>
HttpObjects::Watch(std::string_view aName, int64_t aVersion)
{
  absl::StatusOr<Response> response = this->Perform(
    { .operation = "watch object",
      .url =
        absl::StrCat(this->UrlOf(aName), "?wait_ms=", this->options.watchMs),
      .condition = absl::StrCat("If-None-Match: \"", aVersion, "\""),
      .timeoutMs = this->options.watchMs + kWatchTimeoutMarginMs });
  if (!response.ok()) {
    return response.status();
  }
  if (absl::Status status = this->StatusOf("watch object", *response);
      !status.ok()) {
    return status;
  }
  return Object{ response->version, std::move(response->body) };
}

absl::StatusOr<int64_t>
HttpObjects::Put(std::string_view aName,
                 int64_t aVersion,
                 std::string_view aBody)
{
  absl::StatusOr<Response> response = this->Perform(
    { .operation = "put object",
      .url = this->UrlOf(aName),
      .condition = aVersion == kNoObject
                     ? "If-None-Match: *"
                     : absl::StrCat("If-Match: \"", aVersion, "\""),
      .body = &aBody,
      .timeoutMs = this->options.timeoutMs });
  if (!response.ok()) {
    return response.status();
  }
  if (absl::Status status = this->StatusOf("put object", *response);
      !status.ok()) {
    return status;
  }
  return response->version;
}

absl::StatusOr<std::string>
HttpObjects::List()
{
  absl::StatusOr<Response> response =
    this->Perform({ .operation = "list instances",
                    .url = absl::StrCat(this->options.url, "/v1/instances"),
                    .timeoutMs = this->options.timeoutMs });
  if (!response.ok()) {
    return response.status();
  }
  if (absl::Status status = this->StatusOf("list instances", *response);
      !status.ok()) {
    return status;
  }
  return std::move(response->body);
}

}
