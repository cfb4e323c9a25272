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

constexpr int kMaxAttempts = 60;
constexpr std::chrono::milliseconds kRetryInterval(250);

ApiAnswer SendRequest(const Endpoint& host, const std::string& method,
                      const std::string& path,
                      const cxxtools::QueryParams& query,
                      const std::string& body) {
  cxxtools::http::Client client(
      cxxtools::net::AddrInfo(host.address, host.port));
  // cxxtools does not send Request::qparams, so the query goes into the URL.
  const std::string query_string = query.getUrl();
  cxxtools::http::Request request(
      query_string.empty() ? path : path + "?" + query_string);
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

std::string GetText(const config::JsonValue& tree, const std::string& name) {
  std::string value;
  tree.getMember(name, value);
  return value;
}

bool IsTrue(const config::JsonValue& tree, const std::string& name) {
  return GetText(tree, name) == "true";
}

std::vector<const config::JsonValue*> GetItems(const config::JsonValue& tree,
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

ApiAnswer CallLeader(const std::vector<Endpoint>& control_hosts,
                     const std::string& method, const std::string& path,
                     const cxxtools::QueryParams& query,
                     const std::string& body) {
  ApiAnswer last_answer;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const Endpoint& host =
        control_hosts[static_cast<std::size_t>(attempt) % control_hosts.size()];
    try {
      ApiAnswer answer = SendRequest(host, method, path, query, body);
      if (IsFromLeader(answer)) {
        return answer;
      }
      const std::optional<Endpoint> leader =
          ParseEndpoint(GetText(answer.tree, "leader"));
      if (leader.has_value()) {
        answer = SendRequest(*leader, method, path, query, body);
        if (IsFromLeader(answer)) {
          return answer;
        }
      }
      last_answer = answer;
    } catch (const std::exception& error) {
      last_answer.body = ToString(host) + ": " + error.what();
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
  return last_answer;
}

}  // namespace gooseberryturn::ctl
