#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <thread>

#include "http_io.h"

/// The signs of a reset that a socket shows after an end of stream.
namespace comfreylock {
namespace {

/// Two connected sockets on loopback.
struct Connection {
  Connection() {
    boost::asio::ip::tcp::acceptor acceptor(
        context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    client.connect(acceptor.local_endpoint());
    server = acceptor.accept();
  }
  /// Reads until the end of stream or an error.
  /// @return whether the last read was an end of stream.
  bool ReadToEnd() {
    std::array<char, 64> bytes;
    ssize_t got = 0;
    do {
      got = ::recv(client.native_handle(), bytes.data(), bytes.size(), 0);
    } while (got > 0);
    return got == 0;
  }
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket client{context};
  boost::asio::ip::tcp::socket server{context};
};

// Guards against a response that counts as complete after a reset whose error
// a failed write has cleared.
TEST(IsOrderlyEndTest, ResetIsSeenAfterFailedWriteClearedItsError) {
  Connection connection;
  ASSERT_EQ(::send(connection.server.native_handle(), "part", 4, 0), 4);
  connection.server.set_option(boost::asio::socket_base::linger(true, 0));
  connection.server.close();
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  EXPECT_EQ(::send(connection.client.native_handle(), "x", 1, MSG_NOSIGNAL),
            -1);
  EXPECT_TRUE(connection.ReadToEnd());
  EXPECT_FALSE(IsOrderlyEnd(connection.client.native_handle()));
}

// Guards against missing a reset that is still the pending error.
TEST(IsOrderlyEndTest, PendingErrorIsNoOrderlyEnd) {
  Connection connection;
  connection.server.set_option(boost::asio::socket_base::linger(true, 0));
  connection.server.close();
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  EXPECT_FALSE(IsOrderlyEnd(connection.client.native_handle()));
}

// Guards against rejecting a response that its server ends in order, also on a
// system that does not give the state of a connection.
TEST(IsOrderlyEndTest, OrderlyCloseIsAccepted) {
  Connection connection;
  ASSERT_EQ(::send(connection.server.native_handle(), "all", 3, 0), 3);
  connection.server.close();
  EXPECT_TRUE(connection.ReadToEnd());
  EXPECT_TRUE(IsOrderlyEnd(connection.client.native_handle()));
  // A socket without TCP has no TCP_INFO.
  std::array<int, 2> pair{};
  ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, pair.data()), 0);
  ::close(pair[1]);
  EXPECT_TRUE(IsOrderlyEnd(pair[0]));
  ::close(pair[0]);
}

}  // namespace
}  // namespace comfreylock
