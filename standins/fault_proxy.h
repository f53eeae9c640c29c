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

/// TCP proxy that injects faults: delays, rate limits, withheld answers,
/// one-way loss, connection resets and refused connections.
namespace comfreylock::standins {

/// Active faults. They apply to open and to new connections.
struct Faults {
  std::chrono::milliseconds delay{0};  ///< In both directions.
  /// Upper bound of the random extra delay.
  std::chrono::milliseconds jitter{0};
  uint64_t seed = 1;  ///< Seed of the random extra delay.
  /// Rate limit of each direction of a connection; 0: no limit.
  uint64_t bytes_per_s = 0;
  /// Bytes sent to the client after which a connection is reset, counted since
  /// it was opened or since the last `POST /faults`; 0: never.
  uint64_t cut_after_bytes = 0;
  /// Bytes to the client are buffered until this is cleared; bytes to the
  /// upstream are relayed.
  bool withhold_answers = false;
  /// Direction in which bytes are discarded: "to_client", "to_upstream", or
  /// empty for none. Connections that lost bytes are reset when the loss ends,
  /// since a byte stream cannot continue after a gap.
  std::string one_way_loss;
  bool refuse = false;  ///< New connections are reset at once.
};

/// Parses the body of `POST /faults`. Missing fields get their defaults.
/// @throws std::invalid_argument naming the unknown or invalid field.
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

  asio::awaitable<void> Relay(ConnectionPtr connection);
  asio::awaitable<void> Read(ConnectionPtr connection, Stream& stream);
  asio::awaitable<void> Write(ConnectionPtr connection, Stream& stream);
  asio::awaitable<void> WriteChunk(ConnectionPtr connection,
                                   Stream& stream,
                                   std::string_view data);
  void SetFaults(Faults faults);
  void Close(Connection& connection, bool reset);
  [[nodiscard]] bool ShouldDiscard(const Stream& stream) const;
  [[nodiscard]] bool ShouldWithhold(const Stream& stream) const;
  [[nodiscard]] nlohmann::json Status() const;
  Clock::duration NextDelay();

  asio::io_context& context_;
  asio::ip::tcp::endpoint upstream_;
  Faults faults_;
  Counters counters_;
  std::mt19937_64 random_{1};
  std::set<ConnectionPtr> connections_;
};

}  // namespace comfreylock::standins

#endif  // COMFREYLOCK_STANDINS_FAULT_PROXY_H_
