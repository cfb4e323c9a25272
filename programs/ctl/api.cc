#include "api.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/net/addrinfo.h>

#include <chrono>
#include <exception>
#include <optional>
#include <thread>

namespace gooseberryturn::ctl {

namespace {

constexpr int kTries = 60;
constexpr std::chrono::milliseconds kTryPause(250);

ApiAnswer CallOnce(const Endpoint& host, const std::string& method,
                   const std::string& path, const cxxtools::QueryParams& query,
                   const std::string& body) {
  cxxtools::http::Client client(
      cxxtools::net::AddrInfo(host.address, host.port));
  // The client does not send Request::qparams.
  const std::string text = query.getUrl();
  cxxtools::http::Request request(text.empty() ? path : path + "?" + text);
  request.method(method);
  request.body() << body;
  ApiAnswer answer;
  client.execute(request, cxxtools::Milliseconds(10'000),
                 cxxtools::Milliseconds(1'000));
  client.readBody();
  answer.status = static_cast<int>(client.header().httpReturnCode());
  answer.body = client.body();
  const tl::expected<config::JsonValue, config::Faults> tree =
      config::ParseJson(answer.body);
  if (tree.has_value()) {
    answer.tree = *tree;
  }
  return answer;
}

}  // namespace

std::string Text(const config::JsonValue& tree, const std::string& name) {
  std::string value;
  tree.getMember(name, value);
  return value;
}

bool IsTrue(const config::JsonValue& tree, const std::string& name) {
  return Text(tree, name) == "true";
}

std::vector<const config::JsonValue*> Items(const config::JsonValue& tree,
                                            const std::string& name) {
  std::vector<const config::JsonValue*> items;
  const config::JsonValue* array = tree.findMember(name);
  if (array != nullptr) {
    for (auto item = array->begin(); item != array->end(); ++item) {
      items.push_back(&*item);
    }
  }
  return items;
}

bool IsFromLeader(const ApiAnswer& answer) {
  return answer.status != 0 && answer.status != 421 && answer.status != 503;
}

ApiAnswer Call(const std::vector<Endpoint>& control, const std::string& method,
               const std::string& path, const cxxtools::QueryParams& query,
               const std::string& body) {
  ApiAnswer last;
  for (int attempt = 0; attempt < kTries; ++attempt) {
    const Endpoint& host =
        control[static_cast<std::size_t>(attempt) % control.size()];
    try {
      ApiAnswer answer = CallOnce(host, method, path, query, body);
      if (IsFromLeader(answer)) {
        return answer;
      }
      const std::optional<Endpoint> leader =
          ParseEndpoint(Text(answer.tree, "leader"));
      if (leader.has_value()) {
        answer = CallOnce(*leader, method, path, query, body);
        if (IsFromLeader(answer)) {
          return answer;
        }
      }
      last = answer;
    } catch (const std::exception& error) {
      last.body = ToString(host) + ": " + error.what();
    }
    std::this_thread::sleep_for(kTryPause);
  }
  return last;
}

}  // namespace gooseberryturn::ctl
