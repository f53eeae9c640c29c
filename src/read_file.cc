#include "read_file.h"

#include <fstream>
#include <sstream>

#include "comfreylock/types.h"

namespace comfreylock {

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    throw InputError(path + ": cannot be read");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace comfreylock
