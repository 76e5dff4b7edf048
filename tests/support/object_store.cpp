#include "support/object_store.h"

namespace gentianspindle {

namespace {

// Each open connection occupies a thread.
constexpr size_t kThreads = 96;
// Period at which a silent store checks whether it responds again.
constexpr std::chrono::milliseconds kSilentPollPeriod{ 100 };

}

ObjectStore::ObjectStore()
  : HttpStandin(kThreads)
{
  this->server.Get(
    "/-/objects/(\\w+)",
    [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
      this->OnGet(aRequest, aResponse);
    });
}

ObjectStore::~ObjectStore()
{
  this->Stop();
}

void
ObjectStore::Put(const std::string& aKind,
                 const std::string& aName,
                 const nlohmann::json& aSpec)
{
  std::lock_guard lock(this->mutex);
  this->putAt[aKind + "/" + aName] = std::chrono::steady_clock::now();
  auto known = this->now.objects[aKind].find(aName);
  if (known != this->now.objects[aKind].end() &&
      known->second["spec"] == aSpec) {
    return;
  }
  nlohmann::json object{
    { "meta", { { "name", aName }, { "revision", ++this->now.revision } } },
    { "spec", aSpec },
    { "status", nullptr }
  };
  this->now.objects[aKind][aName] = object;
  this->now.events.push_back(
    { aKind,
      this->now.revision,
      { { "object", object }, { "tombstone", false } } });
  this->changed.notify_all();
}

void
ObjectStore::PutText(const std::string& aKind,
                     const std::string& aName,
                     const std::string& aSpec)
{
  std::string key;
  {
    std::lock_guard lock(this->mutex);
    key = "spec-text-" + std::to_string(this->specTexts.size()) + "-";
    this->specTexts[key] = aSpec;
  }
  this->Put(aKind, aName, key);
}

std::string
ObjectStore::Dump(const nlohmann::json& aBody) const
{
  std::string text = aBody.dump();
  for (const auto& [key, spec] : this->specTexts) {
    std::string quoted = '"' + key + '"';
    for (size_t at = text.find(quoted); at != std::string::npos;
         at = text.find(quoted, at + spec.size())) {
      text.replace(at, quoted.size(), spec);
    }
  }
  return text;
}

void
ObjectStore::Remove(const std::string& aKind, const std::string& aName)
{
  std::lock_guard lock(this->mutex);
  if (!this->now.objects[aKind].contains(aName)) {
    return;
  }
  nlohmann::json object = this->now.objects[aKind][aName];
  this->now.objects[aKind].erase(aName);
  object["meta"]["revision"] = ++this->now.revision;
  this->now.events.push_back(
    { aKind,
      this->now.revision,
      { { "object", object }, { "tombstone", true } } });
  this->changed.notify_all();
}

void
ObjectStore::RemoveExpired(const std::string& aKind,
                           std::chrono::milliseconds aLeaseTime)
{
  std::vector<std::string> silent;
  {
    std::lock_guard lock(this->mutex);
    auto oldest = std::chrono::steady_clock::now() - aLeaseTime;
    for (const auto& [name, object] : this->now.objects[aKind]) {
      std::string path = aKind;
      path += "/";
      path += name;
      if (this->putAt[path] < oldest) {
        silent.push_back(name);
      }
    }
  }
  for (const std::string& name : silent) {
    this->Remove(aKind, name);
  }
}

void
ObjectStore::ServeWrites()
{
  const std::string object = "/-/objects/(\\w+)/([^/]+)";
  auto write = [this](const httplib::Request& aRequest,
                      httplib::Response& aResponse) {
    this->OnWrite(aRequest, aResponse);
  };
  this->server.Put(object, write);
  this->server.Delete(object, write);
  this->server.Post(
    "/fault/(\\w+)/(\\d+)",
    [this](const httplib::Request& aRequest, httplib::Response& /*aResponse*/) {
      this->OnFault(aRequest.matches[1], std::stoi(aRequest.matches[2]));
    });
}

void
ObjectStore::OnWrite(const httplib::Request& aRequest,
                     httplib::Response& aResponse)
{
  // Neither an unavailable nor a silent store accepts writes.
  if (this->status != 200 || this->silent) {
    aResponse.status = 503;
    return;
  }
  if (aRequest.method == "PUT") {
    this->Put(aRequest.matches[1],
              aRequest.matches[2],
              nlohmann::json::parse(aRequest.body));
  } else {
    this->Remove(aRequest.matches[1], aRequest.matches[2]);
  }
}

void
ObjectStore::OnFault(const std::string& aName, int aValue)
{
  if (aName == "status") {
    this->status = aValue;
  } else if (aName == "silent") {
    this->silent = aValue != 0;
  } else if (aName == "forget") {
    this->DropHistory();
  }
}

void
ObjectStore::Copy()
{
  std::lock_guard lock(this->mutex);
  this->copy = this->now;
}

void
ObjectStore::ReturnToCopy()
{
  std::lock_guard lock(this->mutex);
  this->now = this->copy;
  ++this->era;
  this->changed.notify_all();
}

void
ObjectStore::DropHistory()
{
  std::lock_guard lock(this->mutex);
  this->now.oldestRevision = ++this->now.revision;
  this->now.events.clear();
  this->changed.notify_all();
}

void
ObjectStore::OnGet(const httplib::Request& aRequest,
                   httplib::Response& aResponse)
{
  ++this->calls;
  this->Answer(aRequest, aResponse);
  this->SetEra(aResponse);
}

// Sets the header with the era once, together with the content that it names.
void
ObjectStore::SetEra(httplib::Response& aResponse) const
{
  if (this->era > 0 && !aResponse.has_header("Store-Era")) {
    aResponse.set_header("Store-Era", std::to_string(this->era));
  }
}

void
ObjectStore::Answer(const httplib::Request& aRequest,
                    httplib::Response& aResponse)
{
  while (this->silent) {
    std::unique_lock lock(this->mutex);
    if (this->stopping) {
      return;
    }
    this->changed.wait_for(lock, kSilentPollPeriod);
  }
  if (this->status != 200) {
    aResponse.status = this->status;
    return;
  }
  this->Reply(aRequest, aResponse);
  // If a fault began while a watch waited, the response has the status of the
  // fault, or 503 if the store is silent.
  if (this->status != 200 || this->silent) {
    aResponse.status = this->silent ? 503 : this->status.load();
    aResponse.body.clear();
  }
}

void
ObjectStore::Reply(const httplib::Request& aRequest,
                   httplib::Response& aResponse)
{
  std::string kind = aRequest.matches[1];
  if (aRequest.has_param("watch")) {
    this->Watch(kind,
                std::stoull(aRequest.get_param_value("watch")),
                std::stoi(aRequest.get_param_value("wait_ms")),
                aResponse);
  } else {
    this->List(kind, aRequest.get_param_value("after"), aResponse);
  }
}

void
ObjectStore::List(const std::string& aKind,
                  const std::string& aAfter,
                  httplib::Response& aResponse)
{
  std::lock_guard lock(this->mutex);
  this->SetEra(aResponse);
  nlohmann::json items = nlohmann::json::array();
  const auto& kind = this->now.objects[aKind];
  auto next = kind.upper_bound(aAfter);
  while (next != kind.end() && items.size() < this->pageSize) {
    items.push_back(next->second);
    ++next;
  }
  nlohmann::json body{ { "items", items },
                       { "more", next != kind.end() },
                       { "as_of", this->now.revision } };
  aResponse.set_content(this->Dump(body), "application/json");
}

void
ObjectStore::Watch(const std::string& aKind,
                   uint64_t aFrom,
                   int aWaitMs,
                   httplib::Response& aResponse)
{
  std::unique_lock lock(this->mutex);
  nlohmann::json found = nlohmann::json::array();
  auto isGone = [&] {
    return aFrom < this->now.oldestRevision || aFrom > this->now.revision;
  };
  auto ready = [&] {
    found.clear();
    for (const Event& event : this->now.events) {
      if (event.kind == aKind && event.revision > aFrom) {
        found.push_back(event.body);
      }
    }
    return !found.empty() || this->stopping || isGone();
  };
  this->changed.wait_for(lock, std::chrono::milliseconds(aWaitMs), ready);
  this->SetEra(aResponse);
  if (isGone()) {
    aResponse.status = 410;
    return;
  }
  nlohmann::json body{ { "events", found }, { "as_of", this->now.revision } };
  aResponse.set_content(this->Dump(body), "application/json");
}

}
