// A child process of the soak. Signals go only to such processes, by their ids.
#pragma once

#include <csignal>
#include <string>
#include <sys/types.h>
#include <vector>

namespace gentianspindle::soak {

// Owns a child process; the destructor kills it.
class Process
{
public:
  Process() = default;
  // Starts a program. Its output is appended to the file aOutputPath.
  // aPipeInput: whether Write can write to its standard input. If the program
  // can't be executed, the process ends with exit code 127.
  static Process Start(const std::vector<std::string>& aArguments,
                       const std::string& aOutputPath,
                       bool aPipeInput = false);
  Process(Process&& aOther) noexcept;
  Process& operator=(Process&& aOther) noexcept;
  ~Process();

  void Signal(int aSignal) const;
  // Whether the process has ended, after which Status is known. Also true, with
  // status 0, if none was started.
  bool HasEnded();
  // Whether it was started and HasEnded has not seen its end.
  bool Runs() const { return this->id > 0; }
  int Status() const { return this->status; }
  // Writes a line to its standard input.
  void Write(const std::string& aLine) const;

private:
  void KillAndReap();

  pid_t id = -1;
  int input = -1;
  int status = 0; // exit code, or 128 plus the signal that ended it
};

}
