#include "api.h"

#include <boost/beast/http/verb.hpp>
#include <chrono>
#include <optional>
#include <thread>
#include <utility>

#include "api_call.h"

namespace gooseberryturn::ctl {

namespace http = boost::beast::http;

namespace {

constexpr unsigned kHttpVersion = 11;
constexpr int kMaxAttempts = 60;
constexpr std::chrono::milliseconds kRetryInterval(250);

ApiAnswer SendRequest(const Endpoint& host, const std::string& method,
                      const std::string& path,
                      const cxxtools::QueryParams& query,
                      const std::string& body) {
  const std::string query_string = query.getUrl();
  ApiCall::Request request(
      http::string_to_verb(method),
      query_string.empty() ? path : path + "?" + query_string, kHttpVersion);
  request.body() = body;
  ApiCall call(host, std::move(request));
  const boost::system::error_code error = call.Run();
  ApiAnswer answer;
  if (error) {
    answer.body = ToString(host) + ": " + error.message();
    return answer;
  }
  answer.status = static_cast<int>(call.response().result_int());
  answer.body = call.response().body();
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
    std::this_thread::sleep_for(kRetryInterval);
  }
  return last_answer;
}

}  // namespace gooseberryturn::ctl
