// Guards against tables that are lost, damaged or reported wrongly, also when
// operators race, responses are lost or the platform has an outage.
#include "store/store.h"
#include "support/examples.h"
#include "support/platform_standin.h"

#include <catch2/catch.hpp>

namespace gentianspindle {

namespace {

// Attempts and first backoff. The backoff is short, as the stand-in responds at
// once.
constexpr RetryOptions kShortRetry{ 4, std::chrono::milliseconds(1) };

// Sets timeoutMs and watchMs. A test waits until a watch has timed out.
HttpObjects
Connect(const PlatformStandin& aPlatform)
{
  return *HttpObjects::Make({ aPlatform.Url(), 1000, 300 });
}

// Request of aAuthor to apply the example table as change aChangeId.
ApplyRequest
MakeRequest(const std::string& aAuthor, const std::string& aChangeId)
{
  ApplyRequest request;
  request.next = MakeTable(Panji());
  request.author = aAuthor;
  request.changeId = aChangeId;
  return request;
}

}

TEST_CASE(
  "A write fails on a changed object, a watch returns a newer version or times "
  "out, and the error of an outage has the URL")
{
  PlatformStandin platform;
  REQUIRE(platform.Start() > 0);
  HttpObjects api = Connect(platform);
  CHECK(absl::IsNotFound(api.Get("a").status()));
  CHECK(*api.Put("a", kNoObject, "one") == 1);
  CHECK(absl::IsAborted(api.Put("a", kNoObject, "x").status()));
  CHECK(*api.Put("a", 1, "two") == 2);
  CHECK(absl::IsAborted(api.Put("a", 1, "x").status()));
  CHECK(api.Get("a")->body == "two");
  CHECK(api.Watch("a", 1)->version == 2);
  CHECK(absl::IsDeadlineExceeded(api.Watch("a", 2).status()));
  platform.down = true;
  absl::Status unavailable = api.Get("a").status();
  CHECK(absl::IsUnavailable(unavailable));
  CHECK(std::string(unavailable.message()).find(platform.Url()) !=
        std::string::npos);
}

TEST_CASE("An accepted table is read back whole, and unchanged parts are not "
          "fetched again")
{
  PlatformStandin platform;
  REQUIRE(platform.Start() > 0);
  HttpObjects api = Connect(platform);
  ApplyResult result = ApplyTable(api, MakeRequest("ani", "c1"), kShortRetry);
  REQUIRE(result.outcome == ApplyOutcome::Accepted);
  CHECK(result.version == 1);
  absl::StatusOr<Head> head = FetchHead(api);
  REQUIRE(head.ok());
  CHECK(head->head.author == "ani");
  PartCache cache;
  absl::StatusOr<Table> table = FetchTable(api, head->head, cache);
  REQUIRE(table.ok());
  CHECK(table->services == MakeTable(Panji()).services);
  uint64_t calls = platform.calls;
  REQUIRE(FetchTable(api, head->head, cache).ok());
  CHECK(platform.calls == calls); // unchanged parts come from the cache
}

TEST_CASE(
  "Of two operators who apply at the same time, one that is refused learns "
  "who was first")
{
  PlatformStandin platform;
  REQUIRE(platform.Start() > 0);
  for (int round = 0; round < 200; ++round) {
    std::array<ApplyResult, 2> results;
    std::vector<std::thread> threads;
    for (size_t i = 0; i < results.size(); ++i) {
      threads.emplace_back([&, i] {
        HttpObjects api = Connect(platform);
        ApplyRequest request =
          MakeRequest(i == 0 ? "ani" : "budi",
                      std::to_string(round) + (i == 0 ? "a" : "b"));
        request.next.services[0].rows[0].weight =
          static_cast<uint32_t>(1 + (round * 2 + i) % 900);
        results[i] = ApplyTable(api, request, kShortRetry);
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    HttpObjects api = Connect(platform);
    int64_t version = FetchHead(api)->head.version;
    for (size_t i = 0; i < results.size(); ++i) {
      REQUIRE(results[i].outcome != ApplyOutcome::Unknown);
      if (results[i].outcome == ApplyOutcome::Refused) {
        REQUIRE(results[1 - i].outcome == ApplyOutcome::Accepted);
        REQUIRE(results[i].text.find(i == 0 ? "budi" : "ani") !=
                std::string::npos);
        REQUIRE(results[1 - i].version == version);
      }
    }
  }
}

TEST_CASE("An apply is accepted although the responses to its writes are lost")
{
  PlatformStandin platform;
  REQUIRE(platform.Start() > 0);
  HttpObjects api = Connect(platform);
  // The table is written as two parts and the head; the response to each of the
  // three writes is lost.
  platform.lostReplies = 3;
  ApplyResult result = ApplyTable(api, MakeRequest("ani", "c1"), kShortRetry);
  CHECK(result.outcome == ApplyOutcome::Accepted);
  CHECK(FetchHead(api)->head.changeId == "c1");
}

TEST_CASE("During a platform outage the result of an apply is unknown")
{
  PlatformStandin platform;
  REQUIRE(platform.Start() > 0);
  HttpObjects api = Connect(platform);
  platform.down = true;
  ApplyResult result = ApplyTable(api, MakeRequest("ani", "c1"), kShortRetry);
  CHECK(result.outcome == ApplyOutcome::Unknown);
}

TEST_CASE(
  "A table that gives a serving server to another service is refused and "
  "changes nothing")
{
  PlatformStandin platform;
  REQUIRE(platform.Start() > 0);
  HttpObjects api = Connect(platform);
  ApplyTable(api, MakeRequest("ani", "c1"), kShortRetry);
  ApplyRequest request = MakeRequest("budi", "c2");
  std::swap(request.next.services[0].rows[0].address,
            request.next.services[1].rows[0].address);
  ApplyResult result = ApplyTable(api, request, kShortRetry);
  CHECK(result.outcome == ApplyOutcome::Refused);
  CHECK(result.text.find("still serves") != std::string::npos);
  CHECK(FetchHead(api)->head.changeId == "c1");
}

TEST_CASE(
  "A part that does not match its digest or cannot be parsed is refused")
{
  Service service = MakeTable(Panji()).services[0];
  std::string part = EncodePart(service);
  msg::PartName name;
  name.name = service.name;
  name.digest = Digest(part);
  CHECK(CheckPart(part, name).ok());
  part[part.size() / 2] ^= 1;
  CHECK(absl::IsDataLoss(CheckPart(part, name).status()));
  CHECK_FALSE(DecodePart("{broken").ok());
}

TEST_CASE("A list of a part that claims more elements than bytes follow is "
          "refused before memory is taken for it")
{
  std::string part = EncodePart(MakeTable(Panji()).services[0]);
  size_t count = part.find("\"rec\",") + 6;
  REQUIRE(count > 6);
  part.replace(count, part.find(',', count) - count, "9000000");
  absl::Status status = DecodePart(part).status();
  REQUIRE_FALSE(status.ok());
  CHECK(std::string(status.message()).find("size limit") != std::string::npos);
}

}
