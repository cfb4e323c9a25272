#ifndef GOOSEBERRYTURN_DIRECT_EARLY_RETRIES_H_
#define GOOSEBERRYTURN_DIRECT_EARLY_RETRIES_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "gooseberryturn/core/time.h"

namespace gooseberryturn::direct {

/// \brief Recognises callers that come back before their Retry-After is over.
///
/// \details An entry remembers only its own refusals, and a request by the
/// digest of its team and content. Two callers of one team with the same
/// content cannot be told apart.
///
/// Designed for a few hundred refusals a second whose Retry-After is at most a
/// few seconds. Memory is bounded by kMaxRefusals; beyond it, the refusals
/// whose Retry-After ends first are forgotten.
///
/// \code
///   refusals.Record(digest, now + retry_after);
///   const bool is_early = refusals.IsEarly(digest, received_at);
/// \endcode
class EarlyRetries {
 public:
  /// \brief Records that a request was refused until `not_before`.
  void Record(const std::string& digest, TimePoint not_before);
  /// \brief True if `digest` was refused until later than `now`.
  [[nodiscard]] bool IsEarly(const std::string& digest, TimePoint now) const;
  /// \brief Forgets the refusals whose Retry-After is over.
  void Expire(TimePoint now);
  /// \brief True if no refusal is remembered.
  [[nodiscard]] bool empty() const noexcept { return this->ends.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return this->ends.size(); }

  static constexpr std::size_t kMaxRefusals = 4096;

 private:
  void ForgetFirst();

  std::map<std::string, TimePoint> ends;  ///< By digest.
  std::set<std::pair<TimePoint, std::string>> digests_by_end;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_EARLY_RETRIES_H_
