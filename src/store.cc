#include "comfreylock/store.h"

namespace comfreylock {

std::string PrefixEnd(std::string_view prefix) {
  std::string end(prefix);
  while (!end.empty() && static_cast<unsigned char>(end.back()) == 0xff)
    end.pop_back();
  if (!end.empty())
    end.back() = static_cast<char>(static_cast<unsigned char>(end.back()) + 1);
  return end;
}

}  // namespace comfreylock
