#ifndef GOOSEBERRYTURN_DIRECT_ADMISSION_RESERVE_H_
#define GOOSEBERRYTURN_DIRECT_ADMISSION_RESERVE_H_

#include <cstddef>
#include <functional>
#include <map>

#include "gooseberryturn/core/time.h"

namespace gooseberryturn::direct {

/// \brief Keeps room at the group heads of one model for its more urgent
/// requests, and decides which less urgent ones are refused at once.
///
/// \details Trunk reservation, as in telephone networks: a class may use
/// everything but the room that arrivals of more urgent classes need until
/// this entry hears again of the load at the heads. With A such arrivals at one
/// head in that time, this is room for A + 2 sqrt(A) requests (square-root
/// staffing), in slots and in prefill. So a class without more urgent arrivals
/// has nothing reserved against it, and room beyond the reserve is never
/// refused to anyone.
///
/// Arrivals are measured at this entry, which gets the same mix of requests as
/// the others. A rise counts within a second, a fall only after several: the
/// reserve does not follow each wave of arrivals.
///
/// A class is closed while more urgent requests wait and the capacity that
/// their arrivals leave does not work them off in time; it opens again when
/// kReopenShare of that time is enough. A request of a closed class that no
/// target can take is refused without waiting.
///
/// Designed for two to eight priorities of a model whose urgent demand varies
/// by half within 17 s, and for bursts of the least urgent class.
///
/// \code
///   reserve.SetCapacity({12, 16});
///   reserve.RecordArrival(0, 25, now);
///   const double kept_free = reserve.ReservedRequests(1, now);
/// \endcode
class AdmissionReserve {
 public:
  /// \brief What all entries together can use.
  struct Capacity {
    std::size_t heads = 0;    ///< Heads of open groups of the model.
    std::size_t entries = 1;  ///< Entries that share the heads.
  };

  void SetCapacity(const Capacity& capacity) { this->capacity = capacity; }
  /// \brief Records a request that has arrived at this entry.
  /// \param engine_ms Engine time that it needs; one that is not positive is
  /// ignored.
  void RecordArrival(int priority, double engine_ms, TimePoint now);
  /// \brief Records a refusal: the caller may come back with this work.
  void RecordRefusal(double engine_ms, TimePoint now);
  /// \brief Number of more urgent requests for which requests of `priority`
  /// leave room at each head.
  [[nodiscard]] double ReservedRequests(int priority, TimePoint now) const;
  /// \brief Decides whether a request of `priority` that no target can take is
  /// refused without waiting.
  /// \param urgent_ms Engine time of the more urgent requests that wait at
  /// this entry.
  /// \param max_wait Time that the request could wait.
  [[nodiscard]] bool IsClosed(int priority, double urgent_ms, Duration max_wait,
                              TimePoint now);
  /// \brief Time over which callers that were refused should come back: until
  /// the work that waits at this entry and the work refused of late can be
  /// done by what more urgent arrivals leave. At most kMaxReturnTime.
  [[nodiscard]] Duration ReturnTime(int priority, double waiting_ms,
                                    TimePoint now) const;

  /// Called, if set, when a class is closed, at most once in kNoticeInterval
  /// for each class, with the number of its requests refused since the last
  /// call.
  std::function<void(int priority, std::size_t refused)> on_closed;

  /// Time until arrivals at other entries are known: their report, the
  /// leader's update and a round of dispatches.
  static constexpr Duration kFigureDelay = std::chrono::milliseconds(300);
  /// Time constant with which a rise of the arrivals counts.
  static constexpr Duration kRiseTime = std::chrono::seconds(1);
  /// Time constant with which a fall counts.
  static constexpr Duration kFallTime = std::chrono::seconds(4);
  /// Fewer expected urgent arrivals at one head reserve nothing.
  static constexpr double kMinReservedArrivals = 0.05;
  static constexpr double kReopenShare = 0.5;
  static constexpr Duration kNoticeInterval = std::chrono::seconds(1);
  static constexpr Duration kMaxReturnTime = std::chrono::seconds(4);

 private:
  /// A sum that decays exponentially.
  struct DecayingSum {
    double sum = 0;
    TimePoint updated_at;

    void Add(double amount, Duration time_constant, TimePoint now);
    /// Amount per second.
    [[nodiscard]] double Rate(Duration time_constant, TimePoint now) const;
  };
  /// Arrivals of one class, with a fast and a slow decay.
  struct Arrivals {
    DecayingSum rising_requests;
    DecayingSum falling_requests;
    DecayingSum rising_ms;
    DecayingSum falling_ms;
    bool is_closed = false;
    std::size_t refused = 0;  ///< Since the last notice.
    TimePoint next_notice_at;
  };

  void RecordClosed(int priority, Arrivals& own, TimePoint now);
  /// Requests per second of classes more urgent than `priority`, all entries.
  [[nodiscard]] double UrgentRequests(int priority, TimePoint now) const;
  /// Engine milliseconds per millisecond that more urgent arrivals leave to
  /// this entry.
  [[nodiscard]] double SpareRate(int priority, TimePoint now) const;

  Capacity capacity;
  std::map<int, Arrivals> arrivals_by_priority;
  DecayingSum refused_ms;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_ADMISSION_RESERVE_H_
