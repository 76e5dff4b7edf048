// The platform's object API: named values with versions, conditional updates
// and watches. See docs/OPERATING.md for the protocol.
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

struct Object
{
  int64_t version = kNoObject;
  std::string body;
};

// Status codes: kNotFound (no such object), kAborted (the version was
// another one, nothing was written), kDeadlineExceeded and kUnavailable (for
// a write: it may have taken effect), kInvalidArgument (the platform refused
// it for good).
template<typename A>
concept ObjectApi = requires(A& aApi, std::string_view aName, int64_t aVersion)
{
  {
    aApi.Get(aName)
    } -> std::same_as<absl::StatusOr<Object>>;
  // Waits until the version differs from aVersion; kDeadlineExceeded where
  // nothing changed.
  {
    aApi.Watch(aName, aVersion)
    } -> std::same_as<absl::StatusOr<Object>>;
  // Writes where the present version is aVersion; returns the new one.
  {
    aApi.Put(aName, aVersion, aName)
    } -> std::same_as<absl::StatusOr<int64_t>>;
  // The instances that the platform lists, one "address:port state" a line.
  {
    aApi.List()
    } -> std::same_as<absl::StatusOr<std::string>>;
};

struct HttpOptions
{
  std::string url;
  int64_t timeoutMs = 1500; // of a call that is not a watch
  int64_t watchMs = 20'000; // that a watch waits
};

// The object API over HTTP. One thread at a time; Cancel may be called by
// any.
class HttpObjects
{
public:
  static absl::StatusOr<HttpObjects> Make(const HttpOptions& aOptions);

  absl::StatusOr<Object> Get(std::string_view aName);
  absl::StatusOr<Object> Watch(std::string_view aName, int64_t aVersion);
  absl::StatusOr<int64_t> Put(std::string_view aName,
                              int64_t aVersion,
                              std::string_view aBody);
  absl::StatusOr<std::string> List();

  // Ends a call under way, and all later ones, with kCancelled.
  void Cancel();

private:
  struct Response
  {
    int64_t status = 0;
    int64_t version = kNoObject;
    std::string body;
  };
  struct Call
  {
    std::string_view operation; // for errors
    std::string url;
    std::string condition; // header line, may be empty
    const std::string_view* body = nullptr;
    int64_t timeoutMs = 0;
  };
  struct Handle;

  explicit HttpObjects(const HttpOptions& aOptions);
  absl::StatusOr<Response> Perform(const Call& aCall);
  absl::Status StatusOf(std::string_view aOperation,
                        const Response& aResponse) const;
  std::string UrlOf(std::string_view aName) const;

  HttpOptions options;
  std::shared_ptr<Handle> handle;
};

static_assert(ObjectApi<HttpObjects>);

}
