#ifndef GOOSEBERRYTURN_CONTROL_CLAIM_TABLE_H_
#define GOOSEBERRYTURN_CONTROL_CLAIM_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>

#include "gooseberryturn/protocol/message.h"

namespace gooseberryturn::control {

/// \brief State of an idempotency key.
enum class KeyState : std::uint8_t {
  kPending,   ///< Held by an attempt that has not been settled.
  kFinished,  ///< The attempt ran; the record holds its answer.
  kUnknown    ///< The attempt ended, and whether it ran is not known.
};

}  // namespace gooseberryturn::control

MSGPACK_ADD_ENUM(gooseberryturn::control::KeyState)

namespace gooseberryturn::control {

/// \brief Idempotency keys of non-idempotent calls, with the outcomes of their
/// attempts.
///
/// \details Deterministic: every replica that applies the same commands holds
/// the same table. A key is bound to one attempt at a time and is released
/// only when that attempt certainly did not run, or when the key expires.
class ClaimTable {
 public:
  /// \brief Binds a key to an attempt, or tells why it cannot be bound.
  ///
  /// \details A pending key is granted again, if the body digest is the same,
  /// to the attempt that holds it and to one that names the holder in
  /// Claim::replaces.
  /// \param now_ms Wall clock of the leader in milliseconds.
  [[nodiscard]] protocol::ClaimReply Claim(const protocol::Claim& claim,
                                           std::int64_t now_ms);
  /// \brief Records the outcome of the attempt that holds a key.
  ///
  /// \details Not accepted, and without effect, when the key is not known, is
  /// held by another attempt or is already finished. Outcome::kNotRun releases
  /// a pending key; for a key in KeyState::kUnknown it is accepted but changes
  /// nothing. Outcome::kRan makes a key finished in either state.
  /// \param now_ms Wall clock of the leader in milliseconds.
  [[nodiscard]] protocol::SettleReply Settle(const protocol::Settle& settle,
                                             std::int64_t now_ms);

  [[nodiscard]] std::size_t size() const noexcept {
    return this->records.size();
  }
  /// \brief Estimated memory that all records use.
  [[nodiscard]] std::uint64_t kept_bytes() const noexcept {
    return this->total_kept_bytes;
  }

  /// \brief Time from the first claim of a key until it expires, in any state.
  static constexpr std::int64_t kKeyLifetimeMs = 24LL * 3600 * 1000;
  /// \brief New keys are refused beyond kMaxKeys or kMaxKeptBytes.
  static constexpr std::size_t kMaxKeys = 200'000;
  static constexpr std::uint64_t kMaxKeptBytes = 128ULL * 1024 * 1024;
  /// \brief The body of a longer answer is not kept.
  static constexpr std::size_t kMaxAnswerBytes = 64U * 1024U;

 private:
  struct Record {
    std::string body_digest;
    std::uint64_t attempt = 0;
    std::string host;
    std::uint64_t incarnation = 0;
    Endpoint link;
    KeyState state = KeyState::kPending;
    protocol::KeptAnswer answer;
    std::int64_t created_ms = 0;

    MSGPACK_DEFINE(body_digest, attempt, host, incarnation, link, state, answer,
                   created_ms)
  };

  [[nodiscard]] static std::string FullKey(const std::string& team,
                                           const std::string& key);
  [[nodiscard]] static std::uint64_t MemoryCost(const std::string& full_key,
                                                const Record& record);
  /// Advances the clock to `now_ms` and removes keys past their lifetime.
  void Expire(std::int64_t now_ms);
  void Erase(const std::string& full_key);
  /// Makes the attempt of `claim` the holder of `record`.
  static void Bind(const protocol::Claim& claim, Record& record);

  std::map<std::string, Record> records;  ///< By team and key.
  std::multimap<std::int64_t, std::string> by_creation_time;
  std::uint64_t total_kept_bytes = 0;
  /// Latest wall clock seen. It never goes back, even when a leader's clock
  /// does, so that no key expires early.
  std::int64_t clock_ms = 0;

 public:
  MSGPACK_DEFINE(records, by_creation_time, total_kept_bytes, clock_ms)
};

}  // namespace gooseberryturn::control

#endif  // GOOSEBERRYTURN_CONTROL_CLAIM_TABLE_H_
