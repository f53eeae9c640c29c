#include <exception>
#include <iostream>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "fault_proxy.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:9000", "IP:PORT to listen on.");
ABSL_FLAG(std::string,
          upstream,
          "",
          "IP:PORT to which connections are relayed.");
ABSL_FLAG(std::string,
          control,
          "127.0.0.1:9001",
          "Loopback IP:PORT that serves GET and POST /faults.");

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  namespace asio = comfreylock::asio;
  namespace standins = comfreylock::standins;
  asio::ip::tcp::endpoint upstream;
  try {
    upstream = comfreylock::ParseEndpoint(absl::GetFlag(FLAGS_upstream));
    auto control = comfreylock::ParseEndpoint(absl::GetFlag(FLAGS_control));
    comfreylock::ParseEndpoint(absl::GetFlag(FLAGS_listen));
    if (!control.address().is_loopback()) {
      std::cerr << "--control: " << control << " is not a loopback address\n";
      return 2;
    }
  } catch (const std::exception& error) {
    std::cerr << "--listen, --upstream, --control: " << error.what() << '\n';
    return 2;
  }
  asio::io_context context(1);
  standins::FaultProxy proxy(context, upstream);
  // asio::detached would hide errors such as an address already in use.
  auto rethrow = [](std::exception_ptr error) {
    if (error)
      std::rethrow_exception(error);
  };
  asio::co_spawn(context, proxy.Listen(absl::GetFlag(FLAGS_listen)), rethrow);
  asio::co_spawn(context,
                 standins::Serve(context, absl::GetFlag(FLAGS_control),
                                 [&proxy](standins::Exchange& exchange) {
                                   return proxy.HandleControl(exchange);
                                 }),
                 rethrow);
  try {
    context.run();
  } catch (const std::exception& error) {
    std::cerr << "fault-proxy: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
