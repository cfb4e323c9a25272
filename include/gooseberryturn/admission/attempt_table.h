#ifndef GOOSEBERRYTURN_ADMISSION_ATTEMPT_TABLE_H_
#define GOOSEBERRYTURN_ADMISSION_ATTEMPT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "gooseberryturn/core/time.h"
#include "gooseberryturn/protocol/message.h"

namespace gooseberryturn::admission {

/// \brief Attempts that must not run twice, as one incarnation of an agent
/// remembers them.
///
/// \details An attempt that is queried before it arrives is refused from then
/// on, so that the reply "never run" stays true if the attempt arrives later.
class AttemptTable {
 public:
  /// \brief Starts an attempt; false when it was seen or refused before, or
  /// when the table is full.
  [[nodiscard]] bool Begin(std::uint64_t attempt, TimePoint now);
  /// \brief Records that the attempt never reached the target; it is refused
  /// from now on.
  void MarkNeverRun(std::uint64_t attempt);
  /// \brief Records that the attempt ran to its end.
  void MarkFinished(std::uint64_t attempt, const protocol::KeptAnswer& answer);
  /// \brief Records that the target may or may not have run the attempt.
  void MarkUnknown(std::uint64_t attempt);
  /// \brief Result of an attempt; one not seen before is refused from now on
  /// or, while the table is full, reported as unknown.
  [[nodiscard]] protocol::AttemptReply Query(std::uint64_t attempt,
                                             TimePoint now);

  [[nodiscard]] std::size_t size() const noexcept {
    return this->records.size();
  }

  /// \brief Time after which an attempt is forgotten.
  static constexpr Duration kLifetime = std::chrono::hours(2);
  /// \brief No attempt is recorded while the table holds this many.
  static constexpr std::size_t kMaxAttempts = 50'000;
  /// \brief No attempt is started while the kept answers take this much.
  static constexpr std::size_t kMaxKeptBytes = 64U * 1024U * 1024U;
  /// \brief A longer answer is not kept.
  static constexpr std::size_t kMaxAnswerBytes = 1024U * 1024U;

 private:
  struct Expiry {
    std::uint64_t attempt = 0;
    TimePoint expires_at;
  };

  void Expire(TimePoint now);
  void Insert(std::uint64_t attempt, protocol::AttemptState state,
              TimePoint now);
  void DropBody(protocol::AttemptReply& record);

  std::map<std::uint64_t, protocol::AttemptReply> records;
  std::deque<Expiry> expiries;
  std::size_t kept_bytes = 0;
};

}  // namespace gooseberryturn::admission

#endif  // GOOSEBERRYTURN_ADMISSION_ATTEMPT_TABLE_H_
