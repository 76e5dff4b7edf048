#include "support/http_standin.h"

namespace gentianspindle {

HttpStandin::HttpStandin(size_t aThreads)
{
  this->server.set_tcp_nodelay(true);
  this->server.new_task_queue = [aThreads] {
    return new httplib::ThreadPool(aThreads);
  };
}

int
HttpStandin::Start(int aPort, const char* aHost)
{
  if (aPort == 0) {
    this->port = this->server.bind_to_any_port(aHost);
  } else {
    this->port = this->server.bind_to_port(aHost, aPort) ? aPort : -1;
  }
  if (this->port > 0) {
    this->thread = std::thread([this] { this->server.listen_after_bind(); });
    while (!this->server.is_running()) {
      std::this_thread::yield();
    }
  }
  return this->port;
}

void
HttpStandin::Stop()
{
  {
    std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->changed.notify_all();
  this->server.stop();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

}
