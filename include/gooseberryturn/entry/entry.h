#ifndef GOOSEBERRYTURN_ENTRY_ENTRY_H_
#define GOOSEBERRYTURN_ENTRY_ENTRY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "gooseberryturn/config/settings.h"
#include "gooseberryturn/control/view_client.h"
#include "gooseberryturn/entry/caller_session.h"
#include "gooseberryturn/entry/request_flow.h"
#include "gooseberryturn/link/channel.h"
#include "gooseberryturn/observe/metrics.h"
#include "gooseberryturn/routing/group_chooser.h"
#include "gooseberryturn/routing/team_limiter.h"

namespace gooseberryturn::entry {

/// \brief The entry process: accepts requests from callers and forwards them
/// to groups of hosts.
class Entry {
 public:
  Entry(boost::asio::io_context& context, const config::EntrySettings& settings,
        observe::Metrics& metrics);

  /// \brief Starts to listen for callers and to renew the view; fails when the
  /// address cannot be listened on.
  [[nodiscard]] Result<void> Start();
  /// \brief Refuses new requests and calls `on_left` when the requests in
  /// progress have finished.
  void Leave(std::function<void()> on_left);
  /// \brief True when the entry is not leaving, the view lease is valid and
  /// the configuration has arrived.
  [[nodiscard]] bool IsReady() const;

 private:
  void Accept();
  void OnRequest(const std::shared_ptr<CallerSession>& caller,
                 const CallerRequest& request);
  /// Sets `service` and `route`, null before the call, to those of the request
  /// and counts it against the limits of its team; an error says why it is
  /// refused.
  [[nodiscard]] Result<void> AdmitRequest(const CallerRequest& request,
                                          const config::Service*& service,
                                          const config::Route*& route);
  void OnRequestFinished(const std::string& team);
  void OnAnswerWritten();
  /// Calls `on_left` once no request is in progress and no answer is unwritten.
  void CheckLeft();
  /// Limits of a new connection; its body limit is the largest of any service.
  [[nodiscard]] CallerLimits MakeLimits() const;

  boost::asio::io_context& context;
  config::EntrySettings settings;
  observe::Metrics& metrics;
  link::ChannelPool channels;
  control::ViewClient view_client;
  routing::GroupChooser chooser;
  routing::TeamLimiter team_limiter;
  std::map<std::string, routing::RetryBudget> retry_budgets;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
  std::int64_t active_requests = 0;
  std::int64_t open_answers = 0;  ///< Received, answer not yet written.
  bool is_leaving = false;
  std::function<void()> on_left;
};

}  // namespace gooseberryturn::entry

#endif  // GOOSEBERRYTURN_ENTRY_ENTRY_H_
