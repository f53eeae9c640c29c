#ifndef COMFREYLOCK_STANDINS_FAULT_PROXY_H_
#define COMFREYLOCK_STANDINS_FAULT_PROXY_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <set>
#include <string>

#include <nlohmann/json.hpp>

#include "mini_http.h"

/// TCP proxy that delays, slows, withholds, loses or cuts what passes.
namespace comfreylock::standins {

/// Faults in force, for open and for new connections.
struct Faults {
  std::chrono::milliseconds delay{0};   ///< In both directions.
  std::chrono::milliseconds jitter{0};  ///< Most that is added to the delay.
  uint64_t seed = 1;                    ///< Seed of the jitter.
  uint64_t bytes_per_s =
      0;  ///< In each direction of a connection; 0: no limit.
  /// Bytes towards the client after which a connection is reset, counted from
  /// its opening or from the last change of faults; 0: never.
  uint64_t cut_after_bytes = 0;
  /// Answers are kept until this is cleared; requests pass.
  bool withhold_answers = false;
  /// "to_client", "to_upstream" or empty. Bytes in this direction are
  /// discarded; when the loss ends, the connections that lost bytes are reset,
  /// since a stream cannot go on after a gap.
  std::string one_way_loss;
  bool refuse = false;  ///< New connections are closed at once.
};

/// Reads the body of `POST /faults`. Missing fields get their defaults.
/// @throws std::invalid_argument naming the field that is unknown or wrong.
Faults ParseFaults(const std::string& text);

class FaultProxy {
 public:
  FaultProxy(asio::io_context& context, asio::ip::tcp::endpoint upstream);

  /// Accepts connections on IP:PORT and relays them.
  asio::awaitable<void> Listen(std::string address);

  /// Serves `GET /faults` and `POST /faults`.
  asio::awaitable<void> HandleControl(Exchange& exchange);

 private:
  using Clock = std::chrono::steady_clock;
  struct Stream;
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  struct Counters {
    uint64_t connections = 0;
    uint64_t refused = 0;
    uint64_t connect_failures = 0;
    uint64_t resets = 0;  ///< Caused by faults.
    uint64_t bytes_to_client = 0;
    uint64_t bytes_to_upstream = 0;
    uint64_t bytes_lost = 0;
  };

  asio::awaitable<void> Open(ConnectionPtr connection);
  asio::awaitable<void> Read(ConnectionPtr connection, Stream& stream);
  asio::awaitable<void> Write(ConnectionPtr connection, Stream& stream);
  asio::awaitable<void> WritePieces(ConnectionPtr connection,
                                    Stream& stream,
                                    std::string_view data);
  void SetFaults(Faults faults);
  void Close(Connection& connection, bool reset);
  [[nodiscard]] bool IsLost(const Stream& stream) const;
  [[nodiscard]] bool IsWithheld(const Stream& stream) const;
  [[nodiscard]] nlohmann::json Status() const;
  Clock::duration NextDelay();

  asio::io_context& context_;
  asio::ip::tcp::endpoint upstream_;
  Faults faults_;
  Counters counters_;
  std::mt19937_64 random_{1};
  std::set<ConnectionPtr> open_;
};

}  // namespace comfreylock::standins

#endif  // COMFREYLOCK_STANDINS_FAULT_PROXY_H_
