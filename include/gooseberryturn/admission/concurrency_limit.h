#ifndef GOOSEBERRYTURN_ADMISSION_CONCURRENCY_LIMIT_H_
#define GOOSEBERRYTURN_ADMISSION_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "gooseberryturn/core/time.h"

namespace gooseberryturn::admission {

/// \brief How many requests a target bears at a time, from cold to warm.
///
/// \details Starts at the cold limit. Each request completed at the normal
/// pace raises it by one up to the warm limit, so that it grows with work done
/// and not with time. A first token much slower than the best seen under the
/// same limit means that the target turned cold again without a restart.
class ConcurrencyLimit {
 public:
  ConcurrencyLimit(std::int64_t cold, std::int64_t warm);

  /// \brief Back to the cold limit: a new incarnation of the target.
  void Reset() noexcept;
  /// \brief New limits from the document; progress so far is kept.
  void Configure(std::int64_t cold, std::int64_t warm) noexcept;
  /// \brief A request completed, `first_token` after it was handed over.
  void RecordCompletion(Duration first_token);

  [[nodiscard]] std::int64_t limit() const noexcept { return this->current; }
  /// \brief True when a completed request showed that the target is cold.
  [[nodiscard]] bool turned_cold() const noexcept {
    return this->is_cold_again;
  }

  /// \brief First tokens this many times slower than usual are suspicious.
  static constexpr int kColdFactor = 5;
  /// \brief Suspicious requests in a row that send the limit back.
  static constexpr int kColdStreak = 3;
  /// \brief First tokens faster than this are never suspicious.
  static constexpr Duration kColdFloor = std::chrono::milliseconds(200);

 private:
  std::int64_t cold;
  std::int64_t warm;
  std::int64_t current;
  Duration usual = Duration::zero();  ///< Moving average of first tokens.
  int slow_streak = 0;
  bool is_cold_again = false;
};

}  // namespace gooseberryturn::admission

#endif  // GOOSEBERRYTURN_ADMISSION_CONCURRENCY_LIMIT_H_
