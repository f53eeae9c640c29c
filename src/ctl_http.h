#ifndef COMFREYLOCK_CTL_HTTP_H_
#define COMFREYLOCK_CTL_HTTP_H_

#include <string>

#include "http_io.h"

/// Blocking HTTP requests for command-line programs.
namespace comfreylock {

struct CtlResponse {
  unsigned status = 0;
  std::string body;
};

/// @param credentials value of the Authorization field.
/// @throws Error or boost::system::system_error if there is no complete
///   answer within 2 s or the body exceeds 16 MiB.
CtlResponse SendCtlRequest(const std::string& address,
                           http::verb method,
                           const std::string& target,
                           const std::string& credentials);

}  // namespace comfreylock

#endif  // COMFREYLOCK_CTL_HTTP_H_
