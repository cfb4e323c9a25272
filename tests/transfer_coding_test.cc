#define BOOST_TEST_MODULE transfer_coding
#include "gooseberryturn/link/transfer_coding.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "answer_readers.h"
#include "gooseberryturn/direct/async_http.h"
#include "gooseberryturn/direct/caller_connection.h"
#include "gooseberryturn/direct/http_server_session.h"
#include "gooseberryturn/entry/caller_session.h"

/// Every reader of HTTP, with messages in transfer codings other than chunked.
/// Guards against a failure that the review saw: such a request was taken to
/// have no body, and its body ran as the next request.
using namespace gooseberryturn;  // NOLINT
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr char kSmuggled[] = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n";
/// The same as one chunk.
constexpr char kSmuggledChunk[] =
    "23\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n\r\n0\r\n\r\n";

struct CodedMessage {
  std::string name;
  std::string fields;
  std::string body;
  std::string status;  ///< Of the refusal.
  std::string version = "1.1";
};

/// Messages that no reader may take.
std::vector<CodedMessage> CodedMessages() {
  const std::string te = "Transfer-Encoding: ";
  const std::string length = "Content-Length: ";
  return {
      {"identity", te + "identity\r\n", kSmuggled, "400"},
      {"empty", te + "\r\n", kSmuggled, "400"},
      {"unknown", te + "x-own\r\n", kSmuggled, "400"},
      {"chunked not last", te + "chunked, identity\r\n", kSmuggled, "400"},
      {"chunked with a parameter", te + "chunked;q=1\r\n", kSmuggledChunk,
       "400"},
      {"coding before chunked", te + "gzip, chunked\r\n", kSmuggledChunk,
       "501"},
      {"two fields, chunked last", te + "identity\r\n" + te + "chunked\r\n",
       kSmuggledChunk, "501"},
      {"two fields, chunked first", te + "chunked\r\n" + te + "identity\r\n",
       kSmuggled, "400"},
      {"identity before a length", te + "identity\r\n" + length + "0\r\n",
       kSmuggled, "400"},
      {"length before identity", length + "0\r\n" + te + "identity\r\n",
       kSmuggled, "400"},
      {"chunked before a length", te + "chunked\r\n" + length + "0\r\n",
       kSmuggledChunk, "400"},
      {"length before chunked", length + "0\r\n" + te + "chunked\r\n",
       kSmuggledChunk, "400"},
  };
}

std::vector<CodedMessage> CodedRequests() {
  std::vector<CodedMessage> requests = CodedMessages();
  requests.push_back(
      {"chunked of an old version",
       "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n",
       kSmuggledChunk, "400", "1.0"});
  return requests;
}

std::vector<CodedMessage> ChunkedMessages() {
  std::vector<CodedMessage> messages;
  for (const char* coding : {"chunked", "Chunked", " \tchunked \t"}) {
    messages.push_back({coding,
                        "Transfer-Encoding: " + std::string(coding) + "\r\n",
                        "4\r\nbody\r\n0\r\n\r\n", ""});
  }
  return messages;
}

/// A caller that sends a request, and then reads until the connection ends.
class CodedCaller {
 public:
  CodedCaller(asio::io_context& context, const tcp::endpoint& server,
              const CodedMessage& message)
      : socket(context) {
    this->socket.connect(server);
    asio::write(
        this->socket,
        asio::buffer("POST /first HTTP/" + message.version + "\r\nHost: h\r\n" +
                     message.fields + "\r\n" + message.body));
    this->Read();
  }

  tcp::socket socket;
  std::string answer;
  bool has_ended = false;

 private:
  void Read() {
    this->socket.async_read_some(
        asio::buffer(this->part),
        [this](const error_code& error, std::size_t size) {
          this->answer.append(this->part.data(), size);
          if (error) {
            this->has_ended = true;
          } else {
            this->Read();
          }
        });
  }

  std::array<char, 4096> part = {};
};

/// What a reader of requests made of a message. Requests are answered at once,
/// so that a next one would be read.
struct Reading {
  std::vector<std::string> paths;
  std::vector<std::string> bodies;
  std::string answer;
  bool has_ended = false;
};

using Serve = std::function<void(tcp::socket, Reading&)>;

Reading ReadRequest(const CodedMessage& message, const Serve& serve) {
  asio::io_context context;
  tcp::acceptor acceptor(context,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  CodedCaller caller(context, acceptor.local_endpoint(), message);
  Reading reading;
  serve(acceptor.accept(), reading);
  const bool is_refused = !message.status.empty();
  RunUntil(context, [&] {
    return caller.has_ended || (!is_refused && !caller.answer.empty());
  });
  reading.answer = caller.answer;
  reading.has_ended = caller.has_ended;
  return reading;
}

void ServeAsEntry(tcp::socket socket, Reading& reading) {
  const std::shared_ptr<direct::CallerConnection> connection =
      std::make_shared<direct::CallerConnection>(std::move(socket),
                                                 direct::CallerLimits());
  connection->on_request =
      [&reading](const std::shared_ptr<direct::CallerConnection>& from,
                 const direct::CallerMessage& message, TimePoint) {
        reading.paths.emplace_back(message.target());
        reading.bodies.push_back(message.body());
        from->SendAnswer("HTTP/1.1 200 OK\r\n", "done");
      };
  connection->Start();
}

void ServeAsControlHost(tcp::socket socket, Reading& reading) {
  const std::shared_ptr<direct::AsyncHttpServer::Handler> handler =
      std::make_shared<direct::AsyncHttpServer::Handler>(
          [&reading](const direct::HttpRequest& call,
                     const direct::AsyncHttpServer::Reply& reply) {
            reading.paths.push_back(call.path);
            reading.bodies.push_back(call.body);
            reply({200, "application/json", "{}"});
          });
  std::make_shared<direct::HttpServerSession>(std::move(socket), handler,
                                              direct::HttpServerLimits())
      ->Start();
}

void ServeWithAgents(observe::Metrics& metrics, tcp::socket socket,
                     Reading& reading) {
  entry::CallerLimits limits;
  limits.max_header_bytes = 16U * 1024U;
  limits.max_body_bytes = 1024U * 1024U;
  limits.header_timeout = 2 * kReadLimit;
  limits.idle_timeout = 2 * kReadLimit;
  limits.write_timeout = kReadLimit;
  const std::shared_ptr<entry::CallerSession> session =
      std::make_shared<entry::CallerSession>(std::move(socket), limits,
                                             metrics);
  session->on_request = [&reading](
                            const std::shared_ptr<entry::CallerSession>& from,
                            const entry::CallerRequest& request) {
    reading.paths.push_back(request.path);
    reading.bodies.push_back(request.body);
    from->SendAnswer(200, "text/plain", "done", "");
  };
  session->Start();
}

void CheckRefused(const CodedMessage& message, const Reading& reading,
                  const std::string& status) {
  BOOST_TEST_CONTEXT(message.name) {
    BOOST_TEST(reading.paths.empty());
    BOOST_TEST(reading.answer.substr(0, 12) == "HTTP/1.1 " + status);
    BOOST_TEST(reading.answer.rfind("HTTP/1.1") == 0U);
    BOOST_TEST(reading.has_ended);
  }
}

void CheckTaken(const CodedMessage& message, const Reading& reading) {
  BOOST_TEST_CONTEXT(message.name) {
    BOOST_TEST((reading.paths == std::vector<std::string>{"/first"}));
    BOOST_TEST((reading.bodies == std::vector<std::string>{"body"}));
    BOOST_TEST(reading.answer.substr(0, 12) == "HTTP/1.1 200");
  }
}

/// The bytes of an answer that holds a message.
std::string AnswerText(const CodedMessage& message) {
  return "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n" + message.fields + "\r\n" +
         message.body;
}

}  // namespace

BOOST_AUTO_TEST_CASE(the_body_of_a_coded_request_is_no_next_request) {
  for (const CodedMessage& message : CodedRequests()) {
    CheckRefused(message, ReadRequest(message, ServeAsEntry), message.status);
  }
}

BOOST_AUTO_TEST_CASE(the_body_of_a_coded_call_is_no_next_call) {
  for (const CodedMessage& message : CodedRequests()) {
    CheckRefused(message, ReadRequest(message, ServeAsControlHost),
                 message.status);
  }
}

// Refusals of entries with agents have one status for what is no request.
BOOST_AUTO_TEST_CASE(the_body_of_a_coded_request_with_agents_is_no_next_one) {
  observe::Metrics metrics;
  for (const CodedMessage& message : CodedRequests()) {
    const Reading reading =
        ReadRequest(message, [&metrics](tcp::socket socket, Reading& read) {
          ServeWithAgents(metrics, std::move(socket), read);
        });
    CheckRefused(message, reading, "400");
  }
}

BOOST_AUTO_TEST_CASE(a_chunked_request_is_taken) {
  observe::Metrics metrics;
  for (const CodedMessage& message : ChunkedMessages()) {
    CheckTaken(message, ReadRequest(message, ServeAsEntry));
    CheckTaken(message, ReadRequest(message, ServeAsControlHost));
    CheckTaken(message,
               ReadRequest(message, [&](tcp::socket socket, Reading& read) {
                 ServeWithAgents(metrics, std::move(socket), read);
               }));
  }
}

BOOST_AUTO_TEST_CASE(a_coded_answer_is_not_complete_by_its_length) {
  for (const CodedMessage& message : CodedMessages()) {
    const TargetReading reading = ReadTargetAnswer(AnswerText(message));
    BOOST_TEST_CONTEXT(message.name) {
      BOOST_TEST((reading.end == direct::ExchangeEnd::kInvalid));
      BOOST_TEST(reading.heads == 0);
      BOOST_TEST(reading.body == "");
      BOOST_TEST(!reading.is_reusable);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_coded_answer_to_an_order_is_an_error) {
  for (const CodedMessage& message : CodedMessages()) {
    const std::optional<Result<direct::HttpResponse>> response =
        ReadOrderAnswer(AnswerText(message));
    BOOST_TEST_CONTEXT(message.name) {
      BOOST_REQUIRE(response.has_value());
      BOOST_TEST(!response->has_value());
    }
  }
}

BOOST_AUTO_TEST_CASE(a_coded_answer_to_an_agent_is_an_error) {
  for (const CodedMessage& message : CodedMessages()) {
    const std::optional<Result<void>> result =
        ReadAgentAnswer(AnswerText(message)).result;
    BOOST_TEST_CONTEXT(message.name) {
      BOOST_REQUIRE(result.has_value());
      BOOST_TEST(!result->has_value());
    }
  }
}

BOOST_AUTO_TEST_CASE(a_chunked_answer_is_taken) {
  for (const CodedMessage& message : ChunkedMessages()) {
    const TargetReading reading = ReadTargetAnswer(AnswerText(message));
    const std::optional<Result<direct::HttpResponse>> response =
        ReadOrderAnswer(AnswerText(message));
    const std::optional<Result<void>> result =
        ReadAgentAnswer(AnswerText(message)).result;
    BOOST_TEST_CONTEXT(message.name) {
      BOOST_TEST((reading.end == direct::ExchangeEnd::kComplete));
      BOOST_TEST(reading.body == "body");
      BOOST_TEST(reading.is_reusable);
      BOOST_REQUIRE(response.has_value() && response->has_value());
      BOOST_TEST((*response)->body == "body");
      BOOST_REQUIRE(result.has_value());
      BOOST_TEST(result->has_value());
    }
  }
}
