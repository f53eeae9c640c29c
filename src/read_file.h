#ifndef COMFREYLOCK_READ_FILE_H_
#define COMFREYLOCK_READ_FILE_H_

#include <string>

namespace comfreylock {

/// @throws InputError if the file cannot be read.
std::string ReadFile(const std::string& path);

}  // namespace comfreylock

#endif  // COMFREYLOCK_READ_FILE_H_
