#include "peer_zmq.h"

#include <gtest/gtest.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace comfreylock {
namespace {

using Tcp = boost::asio::ip::tcp;

constexpr char kSecret[] = "0123456789abcdef";

std::string FreeAddress() {
  boost::asio::io_context context;
  Tcp::acceptor probe(context, {boost::asio::ip::address_v4::loopback(), 0});
  return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

wire::PeerMessage PingWith(uint64_t nonce) {
  wire::PeerMessage message;
  message.mutable_ping()->set_nonce(nonce);
  return message;
}

// Guards against a field that the MAC does not cover, and against bytes that
// can be moved to the next field without changing the MAC.
TEST(PeerZmqTest, EveryFieldIsAuthenticated) {
  PeerSender sender{"node-1", 7, "127.0.0.1:1"};
  std::string sealed = SealEnvelope(sender, PingWith(9), kSecret);
  auto opened = OpenEnvelope(sealed, kSecret);
  ASSERT_TRUE(opened);
  EXPECT_EQ(opened->from, "node-1");
  EXPECT_EQ(opened->incarnation, 7u);
  EXPECT_EQ(opened->control_address, "127.0.0.1:1");
  EXPECT_EQ(opened->message.ping().nonce(), 9u);
  EXPECT_FALSE(OpenEnvelope(sealed, "another secret"));
  using Change = void (*)(wire::PeerEnvelope&);
  const Change changes[] = {
      [](auto& e) { e.set_version(2); },
      [](auto& e) { e.set_sender("node-2"); },
      [](auto& e) { e.set_incarnation(8); },
      [](auto& e) { e.set_sender_control_address("127.0.0.1:2"); },
      [](auto& e) { e.set_payload(PingWith(8).SerializeAsString()); },
      [](auto& e) { e.clear_mac(); },
      [](auto& e) {
        e.set_sender("node-");
        e.set_sender_control_address("1" + e.sender_control_address());
      }};
  for (size_t i = 0; i < std::size(changes); ++i) {
    wire::PeerEnvelope envelope;
    ASSERT_TRUE(envelope.ParseFromString(sealed));
    changes[i](envelope);
    EXPECT_FALSE(OpenEnvelope(envelope.SerializeAsString(), kSecret)) << i;
  }
}

// Guards against handling messages of another fleet, against a receiver thread
// that does not end, and against a socket count that grows with the fleet.
TEST(PeerZmqTest, DropsMessagesOfOtherFleets) {
  boost::asio::io_context context;
  auto work_guard = boost::asio::make_work_guard(context);
  std::vector<uint64_t> nonces;
  auto ignore = [](const PeerMessageReceived&) {};
  std::string address = FreeAddress();
  PeerZmq receiver(context.get_executor(), {"r", 1, address}, kSecret,
                   [&](const PeerMessageReceived& received) {
                     nonces.push_back(received.message.ping().nonce());
                     if (nonces.back() == 99)
                       context.stop();
                   });
  PeerZmq other_fleet(context.get_executor(), {"s", 1, FreeAddress()},
                      "another secret", ignore);
  PeerZmq sender(context.get_executor(), {"p", 1, FreeAddress()}, kSecret,
                 ignore);
  other_fleet.Send({"r", address, PingWith(1)});
  while (receiver.counters().not_authentic == 0)
    std::this_thread::yield();
  for (size_t i = 0; i < 2 * PeerZmq::kMaxSendSockets; ++i)
    sender.Send({"away", "127.0.0.1:" + std::to_string(2 + i), PingWith(1)});
  sender.Send({"r", address, PingWith(2)});
  sender.Send({"r", address, PingWith(99)});
  context.run();
  EXPECT_EQ(nonces, (std::vector<uint64_t>{2, 99}));
  EXPECT_EQ(receiver.counters().received, 2u);
  EXPECT_THROW(
      PeerZmq(context.get_executor(), {"q", 1, address}, kSecret, ignore),
      Error);
  receiver.Stop();
  receiver.Stop();
}

// Guards against messages to an unreachable peer filling this node's memory.
TEST(PeerZmqTest, SendQueueToUnreachablePeerIsBounded) {
  boost::asio::io_context context;
  PeerZmq sender(context.get_executor(), {"p", 1, FreeAddress()}, kSecret,
                 [](const PeerMessageReceived&) {});
  std::string unused_address = FreeAddress();
  for (int i = 0; i < 2000; ++i)
    sender.Send({"away", unused_address, PingWith(1)});
  EXPECT_GE(sender.counters().send_queue_full, 1000u);
}

}  // namespace
}  // namespace comfreylock
