// Reads files of the repository, for tests that compare documents with the
// code.
#pragma once

#include <fstream>
#include <sstream>
#include <string>

namespace gentianspindle {

// Content of a file of the repository; empty where there is none.
inline std::string
ReadSource(const std::string& aPath)
{
  std::ifstream file(std::string(GENTIANSPINDLE_SOURCE) + "/" + aPath);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}
