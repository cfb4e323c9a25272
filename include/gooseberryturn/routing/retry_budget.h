#ifndef GOOSEBERRYTURN_ROUTING_RETRY_BUDGET_H_
#define GOOSEBERRYTURN_ROUTING_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>

namespace gooseberryturn::routing {

/// \brief Limits the retries of one service to a share of its first attempts.
///
/// \details Only the entry retries. A budget that has filled up allows `burst`
/// retries at once; beyond that, retries stay below the share, so that they do
/// not overload a failing service.
class RetryBudget {
 public:
  explicit RetryBudget(double burst = kDefaultBurst) noexcept
      : burst(burst), available(burst) {}

  /// \brief Records a first attempt.
  /// \param percent Retries allowed per 100 first attempts.
  void RecordFirstAttempt(std::int64_t percent) noexcept {
    this->available = std::min(
        this->burst, this->available + static_cast<double>(percent) / kPercent);
  }
  [[nodiscard]] bool HasRetry() const noexcept {
    return this->available >= 1.0;
  }
  /// \brief Takes one retry from the budget; false when none is left.
  [[nodiscard]] bool TakeRetry() noexcept {
    if (!this->HasRetry()) {
      return false;
    }
    this->available -= 1.0;
    return true;
  }

  static constexpr double kDefaultBurst = 20.0;

 private:
  static constexpr double kPercent = 100.0;
  double burst;
  double available;
};

}  // namespace gooseberryturn::routing

#endif  // GOOSEBERRYTURN_ROUTING_RETRY_BUDGET_H_
