#include "soak/process.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace gentianspindle::soak {

namespace {

constexpr int kSignalled = 128;
constexpr int kNotStarted = 127;

}

Process
Process::Start(const std::vector<std::string>& aWords,
               const std::string& aOutput,
               bool aInput)
{
  int ends[2] = { -1, -1 };
  if (aInput && pipe2(ends, O_CLOEXEC) != 0) {
    return {};
  }
  std::vector<char*> words;
  words.reserve(aWords.size() + 1);
  for (const std::string& word : aWords) {
    words.push_back(const_cast<char*>(word.c_str()));
  }
  words.push_back(nullptr);
  Process process;
  process.id = fork();
  if (process.id == 0) {
    int output =
      open(aOutput.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    if (aInput) {
      dup2(ends[0], STDIN_FILENO);
    }
    execv(words[0], words.data());
    _exit(kNotStarted);
  }
  if (aInput) {
    close(ends[0]);
    process.input = ends[1];
  }
  return process;
}

Process::Process(Process&& aOther) noexcept
  : id(std::exchange(aOther.id, -1))
  , input(std::exchange(aOther.input, -1))
  , status(aOther.status)
{
}

Process&
Process::operator=(Process&& aOther) noexcept
{
  if (this != &aOther) {
    this->End();
    this->id = std::exchange(aOther.id, -1);
    this->input = std::exchange(aOther.input, -1);
    this->status = aOther.status;
  }
  return *this;
}

Process::~Process()
{
  this->End();
}

void
Process::End()
{
  if (this->id > 0) {
    kill(this->id, SIGKILL);
    waitpid(this->id, nullptr, 0);
  }
  if (this->input >= 0) {
    close(this->input);
  }
  this->id = -1;
  this->input = -1;
}

void
Process::Signal(int aSignal) const
{
  if (this->id > 0) {
    kill(this->id, aSignal);
  }
}

bool
Process::HasEnded()
{
  if (this->id <= 0) {
    return true;
  }
  int raw = 0;
  if (waitpid(this->id, &raw, WNOHANG) != this->id) {
    return false;
  }
  this->status = WIFEXITED(raw) ? WEXITSTATUS(raw) : kSignalled + WTERMSIG(raw);
  this->id = -1;
  return true;
}

void
Process::Write(const std::string& aLine) const
{
  std::string line = aLine + "\n";
  if (write(this->input, line.data(), line.size()) < 0) {
    // The process has ended; whoever looks at it sees that.
    return;
  }
}

}
