#include "soak/process.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace gentianspindle::soak {

namespace {

// Statuses as shells report them: this plus the signal that ended the process,
// and the exit code if the program can't be executed.
constexpr int kSignalBase = 128;
constexpr int kExecFailed = 127;

}

Process
Process::Start(const std::vector<std::string>& aArguments,
               const std::string& aOutputPath,
               bool aPipeInput)
{
  int pipeEnds[2] = { -1, -1 };
  if (aPipeInput && pipe2(pipeEnds, O_CLOEXEC) != 0) {
    return {};
  }
  std::vector<char*> arguments;
  arguments.reserve(aArguments.size() + 1);
  for (const std::string& argument : aArguments) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  Process process;
  process.id = fork();
  if (process.id == 0) {
    int output = open(
      aOutputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    if (aPipeInput) {
      dup2(pipeEnds[0], STDIN_FILENO);
    }
    execv(arguments[0], arguments.data());
    _exit(kExecFailed);
  }
  if (aPipeInput) {
    close(pipeEnds[0]);
    process.input = pipeEnds[1];
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
    this->KillAndReap();
    this->id = std::exchange(aOther.id, -1);
    this->input = std::exchange(aOther.input, -1);
    this->status = aOther.status;
  }
  return *this;
}

Process::~Process()
{
  this->KillAndReap();
}

void
Process::KillAndReap()
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
  int waitStatus = 0;
  if (waitpid(this->id, &waitStatus, WNOHANG) != this->id) {
    return false;
  }
  this->status = WIFEXITED(waitStatus) ? WEXITSTATUS(waitStatus)
                                       : kSignalBase + WTERMSIG(waitStatus);
  this->id = -1;
  return true;
}

void
Process::Write(const std::string& aLine) const
{
  std::string line = aLine + "\n";
  if (write(this->input, line.data(), line.size()) < 0) {
    // The process has ended, which HasEnded reports.
    return;
  }
}

}
