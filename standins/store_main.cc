#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "standin_store.h"

ABSL_FLAG(std::string, address, "127.0.0.1:2379", "IP:PORT to listen on.");

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  namespace standins = comfreylock::standins;
  comfreylock::asio::io_context context(1);
  standins::StandinStore store(context);
  comfreylock::asio::co_spawn(
      context,
      standins::Serve(context, absl::GetFlag(FLAGS_address),
                      [&store](standins::Exchange& exchange) {
                        return store.Handle(exchange);
                      }),
      comfreylock::asio::detached);
  context.run();
  return 0;
}
