#ifndef COMFREYLOCK_MESH_SOCKET_OPTIONS_H_
#define COMFREYLOCK_MESH_SOCKET_OPTIONS_H_

#include <chrono>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

/// Sockets of a mesh node.
namespace comfreylock::mesh {

/// Time that sent bytes may stay unacknowledged before a connection counts as
/// dead: to other nodes and the store, and to the target on the same host.
inline constexpr std::chrono::milliseconds kPeerSilence{2000};
inline constexpr std::chrono::milliseconds kTargetSilenceLimit{1000};

/// Sends small packets at once, and ends connections whose other end is gone.
/// @param silence time that sent bytes may stay unacknowledged.
void SetSocketOptions(boost::asio::ip::tcp::socket& socket,
                      std::chrono::milliseconds silence);

/// @return whether the other end has closed and nothing is left to read.
bool HasEnded(boost::asio::ip::tcp::socket& socket);

/// @param address IP:PORT. @throws std::exception if it cannot be bound.
boost::asio::ip::tcp::acceptor ListenOn(boost::asio::io_context& context,
                                        const std::string& address);

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_SOCKET_OPTIONS_H_
