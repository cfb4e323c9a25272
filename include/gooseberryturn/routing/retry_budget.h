#ifndef GOOSEBERRYTURN_ROUTING_RETRY_BUDGET_H_
#define GOOSEBERRYTURN_ROUTING_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>

namespace gooseberryturn::routing {

/// \brief Retries of one service as a share of its first attempts.
///
/// \details Only the entry retries. A burst of `reserve` retries is always
/// possible after a quiet time; beyond it retries stay below the share, so
/// that a failing service is not loaded further.
class RetryBudget {
 public:
  explicit RetryBudget(double reserve = kDefaultBurst) noexcept
      : reserve(reserve), credit(reserve) {}

  /// \brief A first attempt was made.
  void RecordFirstAttempt(std::int64_t percent) noexcept {
    this->credit = std::min(
        this->reserve, this->credit + static_cast<double>(percent) / kPercent);
  }
  /// \brief Takes one retry from the budget; false when it is spent.
  [[nodiscard]] bool TakeRetry() noexcept {
    if (this->credit < 1.0) {
      return false;
    }
    this->credit -= 1.0;
    return true;
  }

  static constexpr double kDefaultBurst = 20.0;

 private:
  static constexpr double kPercent = 100.0;
  double reserve;
  double credit;
};

}  // namespace gooseberryturn::routing

#endif  // GOOSEBERRYTURN_ROUTING_RETRY_BUDGET_H_
