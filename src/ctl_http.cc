#include "ctl_http.h"

#include <boost/asio/co_spawn.hpp>

#include "comfreylock/config.h"

namespace comfreylock {
namespace {

constexpr std::chrono::milliseconds kExchangeTimeout = 2s;
constexpr size_t kMaxAnswerBytes = 16 << 20;

asio::awaitable<CtlResponse> Exchange(asio::any_io_executor executor,
                                      std::string address,
                                      RequestHead head) {
  IoTimePoint deadline = std::chrono::steady_clock::now() + kExchangeTimeout;
  HttpClientConnection connection(executor, address);
  co_await connection.Connect(deadline);
  ClientRequest request{std::move(head), nullptr, deadline};
  ResponseHead answer = co_await connection.RoundTrip(std::move(request));
  CtlResponse response;
  response.status = answer.result_int();
  bool complete = false;
  response.body =
      co_await ReadUpTo(connection.body(), kMaxAnswerBytes, complete);
  if (!complete)
    throw Error("the answer is longer than 16 MiB");
  co_return response;
}

}  // namespace

CtlResponse SendCtlRequest(const std::string& address,
                           http::verb method,
                           const std::string& target,
                           const std::string& credentials) {
  RequestHead head;
  head.method(method);
  head.target(target);
  head.version(11);
  head.set(http::field::host, address);
  head.set(http::field::authorization, credentials);
  head.set(http::field::connection, "close");
  if (method == http::verb::post)
    SetFraming(head, 0);
  asio::io_context context(1);
  CtlResponse response;
  std::exception_ptr failure;
  asio::co_spawn(context,
                 Exchange(context.get_executor(), address, std::move(head)),
                 [&](std::exception_ptr error, CtlResponse result) {
                   failure = error;
                   response = std::move(result);
                 });
  context.run();
  if (failure)
    std::rethrow_exception(failure);
  return response;
}

}  // namespace comfreylock
