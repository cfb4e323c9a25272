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

HttpCall MakeCall(cxxtools::http::Request& request) {
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
    const HttpAnswer answer = this->handler(MakeCall(request));
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

struct HttpServer::Impl {
  explicit Impl(Handler handler)
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
    : impl(std::make_unique<Impl>(std::move(handler))) {}

HttpServer::~HttpServer() { this->Stop(); }

Result<void> HttpServer::Start(const Endpoint& endpoint) {
  try {
    this->impl->server.minThreads(kMinThreads);
    this->impl->server.maxThreads(kMaxThreads);
    this->impl->server.listen(endpoint.address, endpoint.port);
    this->impl->server.addService(cxxtools::Regex(".*"), this->impl->service);
  } catch (const std::exception& error) {
    return tl::make_unexpected(Error{Reason::kBadRequest, Step::kConnect,
                                     Outcome::kNotRun, ToString(endpoint),
                                     error.what()});
  }
  this->impl->thread = std::thread([this] { this->impl->loop.run(); });
  return {};
}

void HttpServer::Stop() {
  if (this->impl->thread.joinable()) {
    this->impl->loop.exit();
    this->impl->thread.join();
  }
}

}  // namespace gooseberryturn::observe
