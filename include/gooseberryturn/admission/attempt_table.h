#ifndef GOOSEBERRYTURN_ADMISSION_ATTEMPT_TABLE_H_
#define GOOSEBERRYTURN_ADMISSION_ATTEMPT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "gooseberryturn/core/time.h"
#include "gooseberryturn/protocol/message.h"

namespace gooseberryturn::admission {

/// \brief What one incarnation of an agent remembers of attempts that must
/// not run twice.
///
/// \details An attempt that somebody asked about before it arrived is refused
/// for good, so that "never run" stays true when a late frame turns up.
class AttemptTable {
 public:
  /// \brief Starts an attempt; false when it was seen or refused before, or
  /// when the table has no room.
  [[nodiscard]] bool Begin(std::uint64_t attempt, TimePoint now);
  /// \brief The attempt never reached the target and is refused from now on.
  void MarkNeverRun(std::uint64_t attempt);
  /// \brief The attempt ran to its end.
  void MarkFinished(std::uint64_t attempt, const protocol::KeptAnswer& answer);
  /// \brief Nobody can tell whether the target ran it.
  void MarkUnknown(std::uint64_t attempt);
  /// \brief What became of an attempt; an unknown one is refused from now on.
  [[nodiscard]] protocol::AttemptReply Query(std::uint64_t attempt,
                                             TimePoint now);

  [[nodiscard]] std::size_t size() const noexcept {
    return this->records.size();
  }

  static constexpr Duration kLifetime = std::chrono::hours(2);
  static constexpr std::size_t kMaxAttempts = 50'000;
  static constexpr std::size_t kMaxKeptBytes = 64U * 1024U * 1024U;
  static constexpr std::size_t kMaxAnswerBytes = 1024U * 1024U;

 private:
  struct Age {
    std::uint64_t attempt = 0;
    TimePoint expires_at;
  };

  void Expire(TimePoint now);
  void Insert(std::uint64_t attempt, protocol::AttemptState state,
              TimePoint now);
  void DropBody(protocol::AttemptReply& record);

  std::map<std::uint64_t, protocol::AttemptReply> records;
  std::deque<Age> ages;
  std::size_t kept_bytes = 0;
};

}  // namespace gooseberryturn::admission

#endif  // GOOSEBERRYTURN_ADMISSION_ATTEMPT_TABLE_H_
