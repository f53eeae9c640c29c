#ifndef COMFREYLOCK_MESH_SOCKET_OPTIONS_H_
#define COMFREYLOCK_MESH_SOCKET_OPTIONS_H_

#include <chrono>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

/// Options and listeners of a mesh node's TCP sockets.
namespace comfreylock::mesh {

/// Time for which sent data may stay unacknowledged before a connection to
/// another node or to the store is closed.
inline constexpr std::chrono::milliseconds kPeerTcpUserTimeout{2000};
/// The same for connections to the target, which is on the same host.
inline constexpr std::chrono::milliseconds kTargetTcpUserTimeout{1000};

/// Disables Nagle's algorithm and sets TCP_USER_TIMEOUT, which closes
/// connections to peers that do not acknowledge.
/// @param tcp_user_timeout time for which sent data may stay unacknowledged.
void SetSocketOptions(boost::asio::ip::tcp::socket& socket,
                      std::chrono::milliseconds tcp_user_timeout);

/// Limits the bytes that the kernel accepts for sending ahead of their
/// transmission, so that data written later does not queue behind megabytes.
/// @param bytes unsent bytes above which the socket is not writable.
void LimitUnsentBytes(boost::asio::ip::tcp::socket& socket, size_t bytes);

/// @return whether the peer has closed the connection and all its data was
/// read.
bool IsClosedByPeer(boost::asio::ip::tcp::socket& socket);

/// @return bytes written to the socket that the peer has not acknowledged, the
///     end of the stream included; 0 if the system does not tell.
size_t UnacknowledgedBytes(boost::asio::ip::tcp::socket& socket);

/// @return a listening socket.
/// @param address IP:PORT. @throws std::exception if it cannot be bound.
/// @param receive_buffer_bytes size of the kernel's receive buffer of each
///     accepted connection; 0: chosen by the kernel, up to several megabytes.
boost::asio::ip::tcp::acceptor ListenOn(boost::asio::io_context& context,
                                        const std::string& address,
                                        size_t receive_buffer_bytes = 0);

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_SOCKET_OPTIONS_H_
