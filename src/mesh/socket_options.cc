#include "mesh/socket_options.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>

#include "http_io.h"

namespace comfreylock::mesh {
namespace {

/// Connections that may wait to be accepted.
constexpr int kBacklog = 1024;

}  // namespace

void SetSocketOptions(asio::ip::tcp::socket& socket,
                      std::chrono::milliseconds tcp_user_timeout) {
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  unsigned value = static_cast<unsigned>(tcp_user_timeout.count());
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &value,
             sizeof(value));
}

void LimitUnsentBytes(asio::ip::tcp::socket& socket, size_t bytes) {
  unsigned value = static_cast<unsigned>(bytes);
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &value,
             sizeof(value));
}

bool IsClosedByPeer(asio::ip::tcp::socket& socket) {
  char byte = 0;
  return recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

size_t UnacknowledgedBytes(asio::ip::tcp::socket& socket) {
  int bytes = 0;
  if (ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0)
    return 0;
  return static_cast<size_t>(std::max(bytes, 0));
}

asio::ip::tcp::acceptor ListenOn(asio::io_context& context,
                                 const std::string& address,
                                 size_t receive_buffer_bytes) {
  auto endpoint = ParseEndpoint(address);
  asio::ip::tcp::acceptor acceptor(context);
  acceptor.open(endpoint.protocol());
  acceptor.set_option(asio::socket_base::reuse_address(true));
  if (receive_buffer_bytes > 0) {
    // Accepted sockets inherit the size, so that no system call is needed for
    // each of them.
    acceptor.set_option(asio::socket_base::receive_buffer_size(
        static_cast<int>(receive_buffer_bytes)));
  }
  acceptor.bind(endpoint);
  acceptor.listen(kBacklog);
  return acceptor;
}

}  // namespace comfreylock::mesh
