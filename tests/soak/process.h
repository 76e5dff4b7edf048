// One process that the soak has started; it ends only these, by their ids.
#pragma once

#include <csignal>
#include <string>
#include <sys/types.h>
#include <vector>

namespace gentianspindle::soak {

class Process
{
public:
  Process() = default;
  // Output goes to the file aOutputPath; aPipeInput: the soak writes to its
  // input.
  static Process Start(const std::vector<std::string>& aArguments,
                       const std::string& aOutputPath,
                       bool aPipeInput = false);
  Process(Process&& aOther) noexcept;
  Process& operator=(Process&& aOther) noexcept;
  ~Process();

  void Signal(int aSignal) const;
  // Has it ended? Its status is known then.
  bool HasEnded();
  bool Runs() const { return this->id > 0; }
  int Status() const { return this->status; }
  void Write(const std::string& aLine) const;

private:
  void KillAndReap();

  pid_t id = -1;
  int input = -1;
  int status = 0; // exit code; 128 and the signal where one ended it
};

}
