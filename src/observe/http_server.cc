#include "gooseberryturn/observe/http_server.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>

#include <exception>
#include <ostream>
#include <thread>
#include <utility>

namespace gooseberryturn::observe {

namespace {

constexpr unsigned kMinThreads = 1;
constexpr unsigned kMaxThreads = 8;

HttpCall ToCall(cxxtools::http::Request& request) {
  HttpCall call;
  call.method = request.method();
  call.path = request.url();
  call.body = request.bodyStr();
  call.query = cxxtools::QueryParams(request.qparams());
  return call;
}

class HandlerResponder : public cxxtools::http::Responder {
 public:
  HandlerResponder(cxxtools::http::Service& service,
                   const HttpServer::Handler& handler)
      : cxxtools::http::Responder(service), handler(handler) {}

  void reply(std::ostream& out, cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override {  // NOLINT
    const HttpAnswer answer = this->handler(ToCall(request));
    reply.httpReturn(static_cast<unsigned>(answer.status),
                     answer.status < 400 ? "OK" : "Refused");
    reply.setHeader("Content-Type", answer.content_type.c_str());
    out << answer.body;
  }

 private:
  const HttpServer::Handler& handler;
};

class HandlerService : public cxxtools::http::Service {
 public:
  explicit HandlerService(HttpServer::Handler handler)
      : handler(std::move(handler)) {}

  cxxtools::http::Responder* createResponder(  // NOLINT
      const cxxtools::http::Request& /*request*/) override {
    return new HandlerResponder(*this, this->handler);
  }
  void releaseResponder(  // NOLINT
      cxxtools::http::Responder* responder) override {
    delete responder;
  }

 private:
  HttpServer::Handler handler;
};

}  // namespace

struct HttpServer::Parts {
  explicit Parts(Handler handler)
      : service(std::move(handler)), server(this->loop) {}

  cxxtools::EventLoop loop;
  HandlerService service;
  cxxtools::http::Server server;
  std::thread thread;
};

std::string HttpCall::Parameter(const std::string& name) const {
  return this->query.param(name, std::string());
}

HttpServer::HttpServer(Handler handler)
    : parts(std::make_unique<Parts>(std::move(handler))) {}

HttpServer::~HttpServer() { this->Stop(); }

Result<void> HttpServer::Start(const Endpoint& endpoint) {
  try {
    this->parts->server.minThreads(kMinThreads);
    this->parts->server.maxThreads(kMaxThreads);
    this->parts->server.listen(endpoint.address, endpoint.port);
    this->parts->server.addService(cxxtools::Regex(".*"), this->parts->service);
  } catch (const std::exception& error) {
    return tl::make_unexpected(Error{Reason::kBadRequest, Step::kConnect,
                                     Outcome::kNotRun, ToString(endpoint),
                                     error.what()});
  }
  this->parts->thread = std::thread([this] { this->parts->loop.run(); });
  return {};
}

void HttpServer::Stop() {
  if (this->parts->thread.joinable()) {
    this->parts->loop.exit();
    this->parts->thread.join();
  }
}

}  // namespace gooseberryturn::observe
