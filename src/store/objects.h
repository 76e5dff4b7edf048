// Client of the platform's object API, a store of named values with versions,
// conditional updates and watches.
#pragma once

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace gentianspindle {

// Version of an object that does not exist.
constexpr int64_t kNoObject = 0;

// An object's value and version.
struct Object
{
  int64_t version = kNoObject;
  std::string body;
};

// Operations of the object API. Their errors:
//   kNotFound          the object does not exist
//   kAborted           the object has another version; nothing was written
//   kInvalidArgument   the platform refused the call; a retry won't help
//   kDeadlineExceeded  no response in time, or no change during a watch
//   kUnavailable       the call failed otherwise; a retry may help
//   kCancelled         Cancel was called
// After the last three, a write may have taken effect all the same.
template<typename A>
concept ObjectApi = requires(A& aApi, std::string_view aName, int64_t aVersion)
{
  {
    aApi.Get(aName)
    } -> std::same_as<absl::StatusOr<Object>>;
  // Waits until the object's version differs from aVersion. Returns
  // kDeadlineExceeded if it does not change in time, or if no response comes.
  {
    aApi.Watch(aName, aVersion)
    } -> std::same_as<absl::StatusOr<Object>>;
  // Writes the object if its version is aVersion; returns the new version.
  {
    aApi.Put(aName, aVersion, aName)
    } -> std::same_as<absl::StatusOr<int64_t>>;
  // Lists the platform's instances, not its objects: one "address:port state" a
  // line. Not used at present.
  {
    aApi.List()
    } -> std::same_as<absl::StatusOr<std::string>>;
};

// Where the object API is and how long to wait for it.
struct HttpOptions
{
  std::string url;
  int64_t timeoutMs = 1500; // limit for calls other than a watch
  int64_t watchMs = 20'000; // how long the platform may hold a watch
};

// The object API over HTTP. Copies share their connection and the flag that
// Cancel sets. Only one thread may use an HttpObjects or its copies at a time,
// but any thread may call Cancel.
class HttpObjects
{
public:
  static absl::StatusOr<HttpObjects> Make(const HttpOptions& aOptions);

  absl::StatusOr<Object> Get(std::string_view aName);
  absl::StatusOr<Object> Watch(std::string_view aName, int64_t aVersion);
  absl::StatusOr<int64_t> Put(std::string_view aName,
                              int64_t aVersion,
                              std::string_view aBody);
  absl::StatusOr<std::string> List(); // of instances

  // Makes the call in progress and all later ones fail with kCancelled.
  void Cancel();

private:
  // What the platform returned.
  struct Response
  {
    int64_t status = 0;
    int64_t version = kNoObject;
    std::string body;
  };
  // One HTTP request; it is a PUT if it has a body, otherwise a GET.
  struct Call
  {
    std::string_view operation; // for error texts
    std::string url;
    std::string condition; // header line of a conditional request, or empty
    const std::string_view* body = nullptr;
    int64_t timeoutMs = 0;
  };
  struct Handle;

  explicit HttpObjects(const HttpOptions& aOptions);
  // Returns the platform's response of any HTTP status, or why there is none.
  absl::StatusOr<Response> Perform(const Call& aCall);
  // Maps the HTTP status to the errors of ObjectApi.
  absl::Status StatusOf(std::string_view aOperation,
                        const Response& aResponse) const;
  std::string UrlOf(std::string_view aName) const;

  HttpOptions options;
  std::shared_ptr<Handle> handle;
};

static_assert(ObjectApi<HttpObjects>);

}
