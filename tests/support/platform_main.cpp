// Runs the platform stand-in until SIGTERM or SIGINT, and prints its URL.
// Argument: the port at 127.0.0.1; 0 or none: a free one.
#include "support/platform_standin.h"

#include <csignal>
#include <iostream>

int
main(int aCount, char** aArguments)
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  gentianspindle::PlatformStandin platform;
  int port = aCount > 1 ? std::stoi(aArguments[1]) : 0;
  if (platform.Start(port) <= 0) {
    std::cerr << "platform stand-in: cannot listen at 127.0.0.1 on the port "
                 "given as first argument\n";
    return 1;
  }
  std::cout << platform.Url() << std::endl;
  int signal = 0;
  sigwait(&signals, &signal);
  return 0;
}
