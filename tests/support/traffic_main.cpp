// Sends the traffic of callers to running instances and prints the outcome.
// Exits with 1 where a flow was broken or did not end, a packet reached the
// wrong service, a flow was refused that a server had seen, or a socket could
// not be opened.
#include "support/traffic.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace gentianspindle {

namespace {

int
Main(int aCount, char** aArguments)
{
  cxxopts::Options commandLine("traffic",
                               "Callers, fabric and backend servers.");
  commandLine.add_options()(
    "table", "table file", cxxopts::value<std::string>())(
    "instances",
    "fabric endpoints of the instances, address:port",
    cxxopts::value<std::vector<std::string>>())(
    "answer-port",
    "UDP port for packets to callers; 0: a free one",
    cxxopts::value<int>()->default_value("0"))(
    "server-port",
    "UDP port of the backend servers",
    cxxopts::value<int>()->default_value("6081"))(
    "flows",
    "number of flows",
    cxxopts::value<uint32_t>()->default_value("2000"))(
    "rate", "flows a second", cxxopts::value<double>()->default_value("800"))(
    "service-us",
    "mean service time of a request, microseconds",
    cxxopts::value<int64_t>()->default_value("2000"))(
    "requests",
    "requests per flow",
    cxxopts::value<uint32_t>()->default_value("1"))(
    "seed",
    "seed of the random numbers",
    cxxopts::value<uint64_t>()->default_value("1"));
  cxxopts::ParseResult parsed = commandLine.parse(aCount, aArguments);
  std::ifstream file(parsed["table"].as<std::string>());
  std::stringstream csv;
  csv << file.rdbuf();
  TrafficOptions options;
  options.table = ParseTable(csv.str()).table;
  for (const std::string& text :
       parsed["instances"].as<std::vector<std::string>>()) {
    ParseInstance(text, options.instances.emplace_back());
  }
  options.returnPort = static_cast<uint16_t>(parsed["answer-port"].as<int>());
  options.serverPort = static_cast<uint16_t>(parsed["server-port"].as<int>());
  options.flows = parsed["flows"].as<uint32_t>();
  options.flowsPerSecond = parsed["rate"].as<double>();
  options.serviceTime = parsed["service-us"].as<int64_t>();
  options.requestsPerFlow = parsed["requests"].as<uint32_t>();
  options.seed = parsed["seed"].as<uint64_t>();
  Traffic traffic(options);
  if (!traffic.Open()) {
    std::cerr
      << "cannot bind a UDP socket: the return port on 127.0.0.1 or a "
         "backend server's port is in use, or its address is not local\n";
    return 1;
  }
  TrafficResult result = traffic.Run();
  std::sort(result.latencies.begin(), result.latencies.end());
  auto at = [&](double aQuantile) {
    size_t count = result.latencies.size();
    return count == 0 ? 0
                      : result.latencies[static_cast<size_t>(
                          aQuantile * static_cast<double>(count - 1))];
  };
  std::cout << "flows opened          " << result.opened
            << "\ncompleted             " << result.completed
            << "\nrefused               " << result.refused
            << "\nrefused but seen      " << result.refusedButSeen
            << "\nbroken                " << result.broken
            << "\nwrong-service packets " << result.wrongService
            << "\nwrong-server packets  " << result.wrongServer
            << "\nbad checksums         " << result.badChecksum
            << "\nretransmissions       " << result.retransmissions
            << "\nlatency p50/p99 us    " << at(0.5) << " / " << at(0.99)
            << "\nflows per backend server\n";
  for (const auto& [server, flows] : result.flowsPerServer) {
    std::cout << "  " << server << "  " << flows << "\n";
  }
  bool passed = result.broken == 0 && result.wrongService == 0 &&
                result.refusedButSeen == 0 &&
                result.completed + result.refused == result.opened;
  return passed ? 0 : 1;
}

}

}

int
main(int aCount, char** aArguments)
{
  return gentianspindle::Main(aCount, aArguments);
}
