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

/// \brief The process that callers talk to.
class Entry {
 public:
  Entry(boost::asio::io_context& context, const config::EntrySettings& settings,
        observe::Metrics& metrics);

  [[nodiscard]] Result<void> Start();
  /// \brief Refuses new requests, lets the others finish, calls `on_left`.
  void Leave(std::function<void()> on_left);
  [[nodiscard]] bool IsReady() const;

 private:
  void Accept();
  void OnRequest(const std::shared_ptr<CallerSession>& caller,
                 const CallerRequest& request);
  [[nodiscard]] Result<void> Check(const CallerRequest& request,
                                   const config::Service*& service,
                                   const config::Route*& route);
  void OnOver(const std::string& team);
  [[nodiscard]] CallerLimits MakeLimits() const;

  boost::asio::io_context& context;
  config::EntrySettings settings;
  observe::Metrics& metrics;
  link::ChannelPool channels;
  control::ViewClient views;
  routing::GroupChooser chooser;
  routing::TeamLimiter teams;
  std::map<std::string, routing::RetryBudget> budgets;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
  std::int64_t active = 0;
  bool is_leaving = false;
  std::function<void()> on_left;
};

}  // namespace gooseberryturn::entry

#endif  // GOOSEBERRYTURN_ENTRY_ENTRY_H_
