#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <optional>
#include <thread>

#include "http_io.h"
#include "mesh/http_client.h"
#include "mesh/http_server.h"
#include "mesh/socket_options.h"

/// Responses that end early and heads that violate the rules for HTTP messages,
/// over real sockets.
namespace comfreylock::mesh {
namespace {

using namespace std::chrono_literals;
using boost::system::error_code;
using Tcp = asio::ip::tcp;
using Kind = ExchangeResult::Kind;

/// Larger than what the socket buffers of both sides hold, so that the upload
/// is still being written while the server does not read.
constexpr size_t kUnfinishedUploadBytes = 12 * 1024 * 1024;
constexpr std::chrono::milliseconds kExchangeTimeout = 3s;

/// How the server ends the connection after its bytes.
enum class End {
  kKeptOpen,
  kOrderly,     ///< End of stream; the socket stays open for reading.
  kReset,       ///< Reset at once.
  kResetLater,  ///< Reset after the client has read the bytes.
  kOrderlyThenReset,
};

/// A blocking server in its own thread. For each connection it reads a request
/// head, writes the given pieces and ends the connection.
class RawServer {
 public:
  RawServer() : thread_([this] { Run(); }) {}
  ~RawServer() {
    stopping_ = true;
    asio::io_context context;
    Tcp::socket socket(context);
    socket.connect(acceptor_.local_endpoint());
    thread_.join();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  /// Must not be called while a connection is served.
  void SetScript(std::vector<std::string> pieces, End end) {
    pieces_ = std::move(pieces);
    end_ = end;
  }

 private:
  void Run() {
    while (true) {
      Tcp::socket socket = acceptor_.accept();
      if (stopping_)
        return;
      // The one of the previous connection, which the client has closed.
      previous_ = std::make_unique<Tcp::socket>(std::move(socket));
      Serve(*previous_);
    }
  }

  void Serve(Tcp::socket& socket) {
    error_code error;
    socket.set_option(Tcp::no_delay(true), error);
    std::string request;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
    for (size_t i = 0; i < pieces_.size(); ++i) {
      if (i > 0)
        std::this_thread::sleep_for(1ms);
      asio::write(socket, asio::buffer(pieces_[i]), error);
    }
    if (end_ == End::kKeptOpen)
      return;
    if (end_ == End::kOrderly || end_ == End::kOrderlyThenReset)
      socket.shutdown(Tcp::socket::shutdown_send, error);
    if (end_ == End::kOrderly)
      return;
    if (end_ != End::kReset)
      std::this_thread::sleep_for(3ms);
    socket.set_option(asio::socket_base::linger(true, 0), error);
    socket.close(error);
  }

  asio::io_context context_;
  Tcp::acceptor acceptor_ = ListenOn(context_, "127.0.0.1:0");
  std::unique_ptr<Tcp::socket> previous_;
  std::vector<std::string> pieces_;
  End end_ = End::kKeptOpen;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

class HttpMessageTest : public testing::Test {
 protected:
  HttpMessageTest() {
    upload_.method = "POST";
    upload_.request_target = "/";
    upload_.fields.emplace_back("Host", "h");
    upload_.has_body = true;
    get_ = upload_;
    get_.method = "GET";
    get_.has_body = false;
    upload_.body.assign(kUnfinishedUploadBytes, 'u');
  }

  /// Sends one request on a new connection.
  ExchangeResult Exchange(bool unfinished_upload,
                          std::vector<std::string> pieces,
                          End end) {
    server_.SetScript(std::move(pieces), end);
    HttpClient client(context_, server_.address(), {});
    HttpClient::Options options;
    options.timeout = kExchangeTimeout;
    std::optional<ExchangeResult> result;
    client.Send(unfinished_upload ? upload_ : get_, options,
                [&](ExchangeResult ended) { result = std::move(ended); });
    auto limit = std::chrono::steady_clock::now() + 2 * kExchangeTimeout;
    while (!result && std::chrono::steady_clock::now() < limit) {
      context_.restart();
      context_.run_one_for(10ms);
    }
    EXPECT_TRUE(result);
    connections_left_ = client.connections();
    return result.value_or(ExchangeResult{.kind = Kind::kTimedOut});
  }

  asio::io_context context_;
  RawServer server_;
  HttpRequest upload_;
  HttpRequest get_;
  size_t connections_left_ = 0;
};

const char kWithLength[] = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n";
const char kChunked[] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const char kWithoutLength[] = "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n";

// Guards against a truncated response to a long upload that counts as complete:
// a reset can be seen as a failed write first and as an end of stream after it.
TEST_F(HttpMessageTest, ResponseWithoutLengthNeedsWrittenRequest) {
  for (End end :
       {End::kOrderly, End::kReset, End::kResetLater, End::kOrderlyThenReset}) {
    for (int run = 0; run < 6; ++run) {
      ExchangeResult result =
          Exchange(true, {std::string(kWithoutLength) + "part"}, end);
      EXPECT_EQ(result.kind, Kind::kBroken) << static_cast<int>(end);
      EXPECT_EQ(result.answer.body, "");
    }
  }
}

// Guards against rejecting the response of a server that ends its responses
// with the connection, after it has read the request.
TEST_F(HttpMessageTest, ResponseWithoutLengthIsCompleteAfterOrderlyEnd) {
  for (int run = 0; run < 20; ++run) {
    ExchangeResult result = Exchange(
        false, {std::string(kWithoutLength) + "wh", "ole"}, End::kOrderly);
    EXPECT_EQ(result.kind, Kind::kAnswered);
    EXPECT_EQ(result.answer.body, "whole");
  }
}

// Guards against a response that counts as complete although its connection was
// reset after its last byte.
TEST_F(HttpMessageTest, ResponseWithoutLengthIsNotCompleteAfterReset) {
  for (End end : {End::kReset, End::kResetLater}) {
    ExchangeResult result =
        Exchange(false, {std::string(kWithoutLength) + "part"}, end);
    EXPECT_EQ(result.kind, Kind::kBroken) << static_cast<int>(end);
  }
}

// Guards against part of a response that is taken for the whole, wherever the
// connection ends.
TEST_F(HttpMessageTest, ResponseCutAtAnyByteIsNotComplete) {
  const std::vector<std::pair<std::string, std::string>> responses = {
      {kWithLength, "the body"},
      {kChunked, "3\r\nthe\r\n5\r\n body\r\n0\r\n\r\n"},
      {kWithoutLength, "the body"}};
  for (const auto& [head, body] : responses) {
    std::string whole = head + body;
    for (bool unfinished : {false, true}) {
      for (End end : {End::kOrderly, End::kReset}) {
        // Without a length, any part of the body is a whole body after an
        // orderly end of stream.
        bool is_body_open =
            head == kWithoutLength && !unfinished && end == End::kOrderly;
        size_t cuts = is_body_open ? head.size() : whole.size();
        for (size_t cut = 0; cut < cuts; ++cut) {
          ExchangeResult result =
              Exchange(unfinished, {whole.substr(0, cut)}, end);
          EXPECT_EQ(result.kind, Kind::kBroken)
              << head << "cut at " << cut << ", unfinished " << unfinished
              << ", end " << static_cast<int>(end);
        }
      }
    }
  }
}

// Guards against losing the response to an upload that is rejected early, and
// against reusing a connection on which the rest of the upload is missing.
TEST_F(HttpMessageTest, EarlyResponseWithLengthIsValid) {
  for (const std::string& response :
       {kWithLength + std::string("the body"),
        kChunked + std::string("8\r\nthe body\r\n0\r\n\r\n")}) {
    ExchangeResult result = Exchange(true, {response}, End::kKeptOpen);
    EXPECT_EQ(result.kind, Kind::kAnswered);
    EXPECT_EQ(result.answer.body, "the body");
    EXPECT_EQ(connections_left_, 0u);
  }
}

/// Lines after the start line that violate the rules, each without its CRLF.
std::vector<std::string> MalformedLines() {
  return {"X Y: z",
          " X: z",
          "X : z",
          "X\t: z",
          ": z",
          "X",
          "X\x01Y: z",
          "X\x7fY: z",
          "X(Y): z",
          "X\xe9: z",
          std::string("X\0Y: z", 6),
          "X\rY: z",
          "X: a\rb",
          "X: a\r",
          std::string("X: a\0b", 6),
          "X: y\r\n folded",
          "X: y\r\n\tfolded",
          "X: y\r\n folded: z",
          "X: y\r\n "};
}

/// @return `text` as one piece, in two pieces at each of some positions.
std::vector<std::vector<std::string>> Splits(const std::string& text) {
  std::vector<std::vector<std::string>> all = {{text}};
  for (size_t at : {size_t{9}, text.size() / 2, text.size() - 3})
    all.push_back({text.substr(0, at), text.substr(at)});
  return all;
}

// Guards against heads that this node and the caller would read differently,
// and against waiting for the time limit instead of ending the exchange.
TEST_F(HttpMessageTest, MalformedResponseHeadEndsExchange) {
  std::vector<std::string> heads;
  for (const char* status : {"000", "42", "099", "600", "999", "1000", "0200",
                             "2x0", "", "-20", "+200", "20 "}) {
    heads.push_back("HTTP/1.1 " + std::string(status) +
                    " OK\r\nContent-Length: 2\r\n\r\nok");
  }
  for (const std::string& line : MalformedLines()) {
    heads.push_back("HTTP/1.1 200 OK\r\n" + line +
                    "\r\nContent-Length: 2\r\n\r\nok");
    heads.push_back("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + line +
                    "\r\n\r\nok");
    // After an interim response.
    heads.push_back(
        "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: "
        "2\r\n" +
        line + "\r\n\r\nok");
  }
  for (const std::string& head : heads) {
    for (const auto& pieces : Splits(head)) {
      ExchangeResult result = Exchange(false, pieces, End::kKeptOpen);
      EXPECT_EQ(result.kind, Kind::kBroken)
          << testing::PrintToString(head) << " in " << pieces.size()
          << " pieces, status " << result.answer.status;
      EXPECT_EQ(connections_left_, 0u);
    }
  }
}

// Guards against rejecting what is unusual but within the rules.
TEST_F(HttpMessageTest, UnusualResponseHeadIsAccepted) {
  for (const char* line :
       {"!#$%&'*+-.^_`|~09azAZ: v", "X:", "X:v", "X: \t v \t ", "X: a:b (c)",
        "X: caf\xe9", "X: tab\tinside"}) {
    std::string head = "HTTP/1.1 599 \r\n" + std::string(line) +
                       "\r\nContent-Length: 2\r\n\r\nok";
    for (const auto& pieces : Splits(head)) {
      ExchangeResult result = Exchange(false, pieces, End::kKeptOpen);
      EXPECT_EQ(result.kind, Kind::kAnswered) << line;
      EXPECT_EQ(result.answer.status, 599);
      EXPECT_EQ(result.answer.body, "ok");
    }
  }
}

// Guards against a request that this node and the target would read
// differently.
TEST(HttpServerMessageTest, MalformedRequestHeadIsRefused) {
  asio::io_context context;
  int delivered = 0;
  HttpServer* self = nullptr;
  HttpServer server(context, {[&](CallId call, HttpRequest) {
                                ++delivered;
                                self->Respond(call, {});
                              },
                              [](CallId) {}, [] { return CallerLimits(); }});
  self = &server;
  uint16_t port = 0;
  {
    // A port that was free a moment ago.
    auto probe = ListenOn(context, "127.0.0.1:0");
    port = probe.local_endpoint().port();
  }
  std::string address = "127.0.0.1:" + std::to_string(port);
  server.Listen(address);
  auto send = [&](const std::vector<std::string>& pieces) {
    Tcp::socket socket(context);
    socket.connect(ParseEndpoint(address));
    std::string answer;
    bool closed = false;
    for (const std::string& piece : pieces) {
      error_code ignored;
      asio::write(socket, asio::buffer(piece), ignored);
      context.restart();
      context.run_for(2ms);
    }
    asio::async_read(socket, asio::dynamic_buffer(answer),
                     [&](error_code, size_t) { closed = true; });
    for (int i = 0; i < 300 && !closed; ++i) {
      context.restart();
      context.run_one_for(10ms);
    }
    EXPECT_TRUE(closed);
    return answer;
  };
  for (const std::string& line : MalformedLines()) {
    for (const char* before : {"", "X-A: b\r\n"}) {
      std::string head = "GET / HTTP/1.1\r\n" + std::string(before) + line +
                         "\r\nHost: h\r\n\r\n";
      for (const auto& pieces : Splits(head)) {
        EXPECT_EQ(send(pieces).substr(0, 12), "HTTP/1.1 400")
            << testing::PrintToString(head);
      }
    }
  }
  EXPECT_EQ(delivered, 0);
  EXPECT_EQ(send({"GET / HTTP/1.1\r\n!#$%&'*+-.^_`|~: v\r\nHost: h\r\n"
                  "Connection: close\r\n\r\n"})
                .substr(0, 12),
            "HTTP/1.1 200");
}

}  // namespace
}  // namespace comfreylock::mesh
