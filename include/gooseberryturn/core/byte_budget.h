#ifndef GOOSEBERRYTURN_CORE_BYTE_BUDGET_H_
#define GOOSEBERRYTURN_CORE_BYTE_BUDGET_H_

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>

namespace gooseberryturn {

/// \brief Bytes that a process may hold for its peers, all together. Used by
/// one thread.
class ByteBudget {
 public:
  explicit ByteBudget(std::size_t limit) noexcept : limit(limit) {}

  [[nodiscard]] std::size_t used() const noexcept { return this->taken; }

 private:
  friend class ByteShare;

  std::size_t limit;
  std::size_t taken = 0;
};

/// \brief What one request or connection holds of a budget, until it is
/// destroyed.
///
/// \details Some bytes are free, so that small messages pass while others have
/// used the budget up. A share without a budget has no limit.
class ByteShare {
 public:
  ByteShare() = default;
  explicit ByteShare(std::shared_ptr<ByteBudget> budget) noexcept
      : budget(std::move(budget)) {}
  ByteShare(ByteShare&& other) noexcept
      : budget(std::move(other.budget)), held(std::exchange(other.held, 0)) {}
  ByteShare& operator=(ByteShare&& other) noexcept {
    std::swap(this->budget, other.budget);
    std::swap(this->held, other.held);
    return *this;
  }
  ByteShare(const ByteShare&) = delete;
  ByteShare& operator=(const ByteShare&) = delete;
  ~ByteShare() { this->Release(); }

  /// \brief Changes what is held to `bytes`.
  /// \returns False if the budget has too little left; nothing changes then.
  [[nodiscard]] bool Resize(std::size_t bytes) noexcept {
    const std::size_t needed = bytes - std::min(bytes, kFreeBytes);
    if (this->budget == nullptr) {
      return true;
    }
    const std::size_t others = this->budget->taken - this->held;
    if (needed > this->held && others + needed > this->budget->limit) {
      return false;
    }
    this->budget->taken = others + needed;
    this->held = needed;
    return true;
  }
  void Release() noexcept { (void)this->Resize(0); }

  static constexpr std::size_t kFreeBytes = 8U * 1024U;

 private:
  std::shared_ptr<ByteBudget> budget;
  std::size_t held = 0;
};

}  // namespace gooseberryturn

#endif  // GOOSEBERRYTURN_CORE_BYTE_BUDGET_H_
