#include <gtest/gtest.h>
#include <unistd.h>

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "http_io.h"
#include "mesh/http_client.h"
#include "mesh/http_server.h"
#include "mesh/socket_options.h"

/// Peers that send bytes without end, or answers twice, over real sockets.
namespace comfreylock::mesh {
namespace {

using namespace std::chrono_literals;
using boost::system::error_code;
using std::chrono::milliseconds;

/// What a peer may make this process receive in one exchange: the 16 MB of the
/// largest answer, and what the socket buffers of both sides hold.
constexpr size_t kMaxReceivedBytes = 32 * 1024 * 1024;

/// Answers each request with `begin` and then with `repeated` without end,
/// until the connection is closed.
class EndlessServer {
 public:
  EndlessServer(asio::io_context& context,
                std::string begin,
                const std::string& repeated)
      : context_(context),
        acceptor_(ListenOn(context, "127.0.0.1:0")),
        begin_(std::move(begin)) {
    while (!repeated.empty() && repeated_.size() < 64 * 1024)
      repeated_ += repeated;
    Accept();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  size_t sent_bytes() const { return sent_bytes_; }

 private:
  struct Session {
    explicit Session(asio::io_context& context) : socket(context) {}
    asio::ip::tcp::socket socket;
    std::string request;
  };

  void Accept() {
    auto session = std::make_shared<Session>(context_);
    acceptor_.async_accept(session->socket, [this, session](error_code error) {
      if (error)
        return;
      Answer(session);
      Accept();
    });
  }

  void Answer(std::shared_ptr<Session> session) {
    asio::async_read_until(session->socket,
                           asio::dynamic_buffer(session->request), "\r\n\r\n",
                           [this, session](error_code error, size_t /*bytes*/) {
                             if (!error)
                               Send(session, begin_);
                           });
  }

  void Send(std::shared_ptr<Session> session, const std::string& bytes) {
    asio::async_write(session->socket, asio::buffer(bytes),
                      [this, session](error_code error, size_t sent) {
                        sent_bytes_ += sent;
                        if (!error && !repeated_.empty())
                          Send(session, repeated_);
                      });
  }

  asio::io_context& context_;
  asio::ip::tcp::acceptor acceptor_;
  std::string begin_;
  std::string repeated_;
  size_t sent_bytes_ = 0;
};

HttpRequest GetRequest() {
  HttpRequest request;
  request.method = "GET";
  request.request_target = "/";
  request.fields.emplace_back("Host", "h");
  return request;
}

struct EndlessBytes {
  const char* name;
  std::string begin;
  std::string repeated;
};

std::vector<EndlessBytes> AllEndlessBytes() {
  std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  return {
      {"garbage", "", "#"},
      {"status line", "HTTP/1.1 200 ", "a"},
      {"header line", "HTTP/1.1 200 OK\r\nX: ", "a"},
      {"header lines", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
      {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"other answers", "",
       "HTTP/1.1 200 OK\r\nX-Other: 1\r\nContent-Length: 0\r\n\r\n"},
      {"chunk extension", chunked + "5;x=", "a"},
      {"chunk size", chunked, "0"},
      {"trailers", chunked + "0\r\n", "X: y\r\n"},
      {"chunked body", chunked, "400\r\n" + std::string(1024, 'a') + "\r\n"},
      {"body without length", "HTTP/1.1 200 OK\r\n\r\n", "a"},
  };
}

HttpClient::Options OptionsForTarget() {
  HttpClient::Options options;
  options.match = [](const HttpAnswer& answer, bool /*first*/) {
    return FindField(answer.fields, "x-other") ? AnswerMatch::kOther
                                               : AnswerMatch::kOwn;
  };
  return options;
}

// Guards against a process that reads and stores what a faulty target sends
// until the request's deadline, or until its memory is used up.
TEST(HttpEndlessTest, AnswerWithoutEndBreaksExchange) {
  for (const EndlessBytes& endless : AllEndlessBytes()) {
    asio::io_context context;
    EndlessServer server(context, endless.begin, endless.repeated);
    HttpClient client(context, server.address(), {});
    std::optional<ExchangeResult> result;
    client.Send(GetRequest(), OptionsForTarget(),
                [&](ExchangeResult ended) { result = std::move(ended); });
    for (int i = 0; i < 500 && !result; ++i)
      context.run_for(10ms);
    ASSERT_TRUE(result) << endless.name;
    EXPECT_EQ(result->kind, ExchangeResult::Kind::kBroken) << endless.name;
    EXPECT_EQ(client.connections(), 0u) << endless.name;
    EXPECT_LE(server.sent_bytes(), kMaxReceivedBytes) << endless.name;
  }
}

// Several endless bodies at once must not use up the memory either, and a whole
// answer beside them must arrive.
TEST(HttpEndlessTest, EndlessBodiesShareOneLimit) {
  asio::io_context context;
  EndlessServer server(context, "HTTP/1.1 200 OK\r\n\r\n", "a");
  HttpClient client(context, server.address(), {});
  constexpr int kExchanges = 12;
  int broken = 0;
  for (int i = 0; i < kExchanges; ++i) {
    client.Send(GetRequest(), OptionsForTarget(), [&](ExchangeResult ended) {
      broken += ended.kind == ExchangeResult::Kind::kBroken ? 1 : 0;
    });
  }
  size_t largest = 0;
  for (int i = 0; i < 1000 && broken < kExchanges; ++i) {
    context.run_for(10ms);
    largest = std::max(largest, client.buffered_bytes());
  }
  EXPECT_EQ(broken, kExchanges);
  EXPECT_LE(largest, 32u * 1024 * 1024);
  EXPECT_EQ(client.buffered_bytes(), 0u);
}

// A target answers a request twice, the second time when the same request is
// sent to it again. Guards against the copy that is taken for the answer to the
// repeated request: the copy of "not run" would let it run a third time.
TEST(HttpEndlessTest, RepeatedRequestIgnoresCopyOfEarlierAnswer) {
  asio::io_context context;
  int requests = 0;
  std::vector<std::shared_ptr<asio::ip::tcp::socket>> sockets;
  asio::ip::tcp::acceptor acceptor = ListenOn(context, "127.0.0.1:0");
  std::string input;
  std::string shed =
      "HTTP/1.1 503 Busy\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n";
  std::string done = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n";
  std::function<void(std::shared_ptr<asio::ip::tcp::socket>, bool)> serve =
      [&](std::shared_ptr<asio::ip::tcp::socket> socket, bool used) {
        auto bytes = std::make_shared<std::string>();
        asio::async_read_until(
            *socket, asio::dynamic_buffer(*bytes), "\r\n\r\n",
            [&, socket, bytes, used](error_code error, size_t /*bytes*/) {
              if (error)
                return;
              bool repeated = ++requests > 1;
              std::string answer = repeated ? done : shed;
              if (used)
                answer = shed + answer;
              error_code ignored;
              asio::write(*socket, asio::buffer(answer), ignored);
              serve(socket, true);
            });
      };
  std::function<void()> accept = [&] {
    auto socket = std::make_shared<asio::ip::tcp::socket>(context);
    acceptor.async_accept(*socket, [&, socket](error_code error) {
      if (error)
        return;
      serve(socket, false);
      accept();
    });
  };
  accept();
  HttpClient client(
      context, "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
      {});
  std::vector<int> statuses;
  auto send = [&](bool repeat) {
    HttpClient::Options options;
    options.require_new_connection = repeat;
    client.Send(GetRequest(), options, [&](ExchangeResult ended) {
      statuses.push_back(ended.answer.status);
    });
    context.run_for(100ms);
  };
  send(false);
  send(true);
  EXPECT_EQ(statuses, (std::vector<int>{503, 200}));
}

// The same from a caller: the node closes the connection after a clear refusal.
TEST(HttpEndlessTest, RequestWithoutEndIsRefused) {
  std::string chunked =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<EndlessBytes> all = {
      {"garbage", "", "#"},
      {"header line", "GET / HTTP/1.1\r\nX: ", "a"},
      {"header lines", "GET / HTTP/1.1\r\n", "X: y\r\n"},
      {"chunk extension", chunked + "5;x=", "a"},
      {"chunk size", chunked, "0"},
      {"trailers", chunked + "0\r\n", "X: y\r\n"},
      {"chunked body", chunked, "400\r\n" + std::string(1024, 'a') + "\r\n"},
  };
  for (const EndlessBytes& endless : all) {
    asio::io_context context;
    int delivered = 0;
    HttpServer server(context, {[&](CallId, HttpRequest) { ++delivered; },
                                [](CallId) {}, [] { return CallerLimits(); }});
    std::string address =
        "127.0.0.1:" + std::to_string(29'000 + getpid() % 900);
    server.Listen(address);
    asio::ip::tcp::socket socket(context);
    socket.connect(ParseEndpoint(address));
    std::string bytes = endless.begin;
    std::string block;
    while (block.size() < 64 * 1024)
      block += endless.repeated;
    size_t sent_bytes = 0;
    std::function<void()> write = [&] {
      asio::async_write(socket, asio::buffer(bytes),
                        [&](error_code error, size_t sent) {
                          sent_bytes += sent;
                          bytes = block;
                          if (!error)
                            write();
                        });
    };
    write();
    std::string answer;
    bool closed = false;
    asio::async_read(socket, asio::dynamic_buffer(answer),
                     [&](error_code, size_t) { closed = true; });
    size_t sent_before_refusal = 0;
    for (int i = 0; i < 1000 && !closed; ++i) {
      context.run_for(10ms);
      if (answer.empty())
        sent_before_refusal = sent_bytes;
    }
    EXPECT_TRUE(closed) << endless.name;
    EXPECT_EQ(delivered, 0) << endless.name;
    EXPECT_EQ(answer.substr(0, 10), "HTTP/1.1 4") << endless.name;
    EXPECT_LE(sent_before_refusal, kMaxReceivedBytes) << endless.name;
  }
}

}  // namespace
}  // namespace comfreylock::mesh
