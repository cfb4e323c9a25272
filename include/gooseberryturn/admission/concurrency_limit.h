#ifndef GOOSEBERRYTURN_ADMISSION_CONCURRENCY_LIMIT_H_
#define GOOSEBERRYTURN_ADMISSION_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "gooseberryturn/core/time.h"

namespace gooseberryturn::admission {

/// \brief Limits the requests in progress at a target while it warms up.
///
/// \details Starts at the cold limit. Each request completed at normal
/// speed raises it by one up to the warm limit, so that it grows with work done
/// and not with time. Several first tokens in a row that are much slower than
/// average show that the target is cold again, without a restart, and put the
/// limit back to the cold one.
class ConcurrencyLimit {
 public:
  ConcurrencyLimit(std::int64_t cold, std::int64_t warm);

  /// \brief Returns to the cold limit and forgets all first tokens.
  void Reset() noexcept;
  /// \brief Applies new limits; the current one is kept within them.
  void Configure(std::int64_t cold, std::int64_t warm) noexcept;
  /// \brief Records a completed request whose first token came `first_token`
  /// after it was sent to the target.
  void RecordCompletion(Duration first_token);

  [[nodiscard]] std::int64_t limit() const noexcept { return this->current; }
  /// \brief True after slow first tokens put the limit back, until the next
  /// request completes at normal speed.
  [[nodiscard]] bool turned_cold() const noexcept {
    return this->is_cold_again;
  }

  /// \brief A first token this many times slower than average is slow.
  static constexpr int kColdFactor = 5;
  /// \brief Slow first tokens in a row that put the limit back.
  static constexpr int kColdStreak = 3;
  /// \brief A first token that takes no longer than this is never slow.
  static constexpr Duration kColdFloor = std::chrono::milliseconds(200);

 private:
  std::int64_t cold;
  std::int64_t warm;
  std::int64_t current;
  Duration average = Duration::zero();  ///< Moving average of first tokens.
  int slow_streak = 0;
  bool is_cold_again = false;
};

}  // namespace gooseberryturn::admission

#endif  // GOOSEBERRYTURN_ADMISSION_CONCURRENCY_LIMIT_H_
