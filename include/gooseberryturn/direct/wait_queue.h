#ifndef GOOSEBERRYTURN_DIRECT_WAIT_QUEUE_H_
#define GOOSEBERRYTURN_DIRECT_WAIT_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gooseberryturn/core/time.h"
#include "gooseberryturn/direct/fair_order.h"

namespace gooseberryturn::direct {

/// \brief Key of the wait queue for requests of one model.
[[nodiscard]] std::string QueueKey(const std::string& service,
                                   const std::string& model);

/// \brief A request that waits until a target can take it.
struct QueuedRequest {
  std::uint64_t id = 0;
  std::string queue_key;        ///< Service and model.
  int priority = 0;             ///< 0 is the most urgent.
  TimePoint dispatch_by;        ///< Dispatched later, it misses its objective.
  TimePoint queue_deadline;     ///< Leaves the queue without a target then.
  std::string team{};           ///< Empty without teams.
  double engine_ms = 0;         ///< Engine time that it needs.
  bool is_early_retry = false;  ///< Came back before its Retry-After.
};

/// \brief Requests that no target could take, in the order of their next try.
///
/// \details Keeps most served requests on time while more arrive than can be
/// served: requests that can still meet their objective go first, by priority;
/// late requests follow, by priority. Of one priority, first attempts go before
/// early retries, and then the team that has used the least engine time
/// (FairOrder). Of one team, the request with the latest `dispatch_by` goes
/// first, because a queue in order of arrival would make all of them late; late
/// ones go by the earliest queue deadline.
///
/// Designed for 1,000 requests of up to 100 teams that wait at one entry: the
/// work for one request grows with the number of teams that wait, and only
/// logarithmically with the number of requests. `now` must not decrease.
///
/// \code
///   queue.Add(request);
///   const std::optional<std::uint64_t> id = queue.Next(key, now, {});
/// \endcode
class WaitQueue {
 public:
  /// \brief Adds a request, or replaces the one with the same id.
  void Add(const QueuedRequest& request);
  void Remove(std::uint64_t id);
  /// \brief Id of the request with `queue_key` to dispatch next, leaving out
  /// those in `skipped`. Empty if there is none.
  [[nodiscard]] std::optional<std::uint64_t> Next(
      const std::string& queue_key, TimePoint now,
      const std::set<std::uint64_t>& skipped);
  /// \brief True if no request in the queue goes before `request`, whose queue
  /// deadline is taken to be its `dispatch_by`. If it is late already, that
  /// lies in the past: it goes before late requests of its priority and team
  /// whose queue deadline is later.
  [[nodiscard]] bool GoesFirst(const QueuedRequest& request, TimePoint now);
  /// \brief Records that `request` was dispatched, whether or not it waited.
  void RecordDispatched(const QueuedRequest& request);
  /// \brief Keys of all requests in the queue.
  [[nodiscard]] std::vector<std::string> QueueKeys() const;
  /// \brief Removes the requests whose queue deadline is over.
  /// \returns Their ids.
  [[nodiscard]] std::vector<std::uint64_t> TakeExpired(TimePoint now);
  /// \brief Number of requests with `queue_key` that can still meet their
  /// objective, or that are late.
  [[nodiscard]] std::size_t Count(const std::string& queue_key, bool is_late,
                                  TimePoint now);
  /// \brief The same by priority, for those that have waiting requests.
  [[nodiscard]] std::map<int, std::size_t> CountByPriority(
      const std::string& queue_key, bool is_late, TimePoint now);
  /// \brief Engine time of the requests with `queue_key` that can still meet
  /// their objective and are more urgent than `priority`, milliseconds.
  [[nodiscard]] double MoreUrgentMs(const std::string& queue_key, int priority,
                                    TimePoint now);
  [[nodiscard]] std::size_t size() const noexcept {
    return this->requests.size();
  }

 private:
  /// Requests of a lower rank go first.
  struct Rank {
    bool is_late = false;
    int priority = 0;
    bool is_early_retry = false;

    [[nodiscard]] bool operator<(const Rank& other) const noexcept;
  };
  /// Order within a team: the key that decides, then the id.
  using Position = std::pair<Duration, std::uint64_t>;
  /// Requests of one team and rank.
  struct TeamLine {
    double finish = 0;  ///< FairOrder::Finish of the team.
    std::set<Position> positions;
  };
  using TeamLines = std::map<std::string, TeamLine>;
  /// A request, with all that its order depends on.
  struct Place {
    Rank rank;
    double start = 0;  ///< FairOrder::Start of its team.
    Position position;

    [[nodiscard]] bool operator<(const Place& other) const noexcept;
  };
  struct Stored {
    QueuedRequest request;
    bool is_late = false;  ///< When its queue was last brought up to date.
  };
  /// Requests with one queue key.
  struct ModelQueue {
    std::map<Rank, TeamLines> ranks;
    std::set<std::pair<TimePoint, std::uint64_t>> on_time_by_dispatch_by;
    std::size_t late_count = 0;
    /// Engine time of the requests that are not late, by priority. Whole
    /// microseconds, so that the sum of none is 0.
    std::map<int, std::int64_t> on_time_us;
  };
  /// By priority.
  using FairOrders = std::map<int, FairOrder>;

  [[nodiscard]] static Rank RankOf(const QueuedRequest& request, bool is_late);
  [[nodiscard]] static Position PositionOf(const QueuedRequest& request,
                                           bool is_late);
  [[nodiscard]] const FairOrder& FairOrderOf(const std::string& queue_key,
                                             int priority) const;
  void Insert(ModelQueue& queue, const Stored& stored);
  void Erase(ModelQueue& queue, const Stored& stored);
  /// The queue with `queue_key` with the requests that are late at `now` marked
  /// as such; null if it is empty.
  [[nodiscard]] ModelQueue* UpToDate(const std::string& queue_key,
                                     TimePoint now);
  /// The first of `queue` that is not in `skipped`.
  [[nodiscard]] std::optional<Place> FirstPlace(
      const std::string& queue_key, const ModelQueue& queue,
      const std::set<std::uint64_t>& skipped) const;

  std::map<std::uint64_t, Stored> requests;
  std::set<std::pair<TimePoint, std::uint64_t>> by_queue_deadline;
  std::map<std::string, ModelQueue> queues;  ///< Those with requests, by key.
  /// By queue key, of models that requests were dispatched for.
  std::map<std::string, FairOrders> fair_orders;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_WAIT_QUEUE_H_
