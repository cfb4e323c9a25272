#ifndef GOOSEBERRYTURN_CONTROL_CLAIM_TABLE_H_
#define GOOSEBERRYTURN_CONTROL_CLAIM_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>

#include "gooseberryturn/protocol/message.h"

namespace gooseberryturn::control {

/// \brief State of a key.
enum class KeyState : std::uint8_t { kPending, kFinished, kUnknown };

}  // namespace gooseberryturn::control

MSGPACK_ADD_ENUM(gooseberryturn::control::KeyState)

namespace gooseberryturn::control {

/// \brief Keys of non-idempotent calls and how their attempts ended.
///
/// \details Deterministic: every replica that applies the same commands holds
/// the same table. A key is bound to one attempt at a time; only an attempt
/// that certainly did not run sets it free.
class ClaimTable {
 public:
  /// \brief Binds a key, or says why not.
  [[nodiscard]] protocol::ClaimReply Claim(const protocol::Claim& claim,
                                           std::int64_t now_ms);
  /// \brief Records how the attempt that holds a key ended.
  [[nodiscard]] protocol::SettleReply Settle(const protocol::Settle& settle,
                                             std::int64_t now_ms);

  [[nodiscard]] std::size_t size() const noexcept {
    return this->records.size();
  }
  [[nodiscard]] std::uint64_t kept_bytes() const noexcept {
    return this->bytes;
  }

  static constexpr std::int64_t kKeyLifetimeMs = 24LL * 3600 * 1000;
  static constexpr std::size_t kMaxKeys = 200'000;
  static constexpr std::uint64_t kMaxKeptBytes = 128ULL * 1024 * 1024;
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
  [[nodiscard]] static std::uint64_t Cost(const std::string& full_key,
                                          const Record& record);
  void Expire(std::int64_t now_ms);
  void Erase(const std::string& full_key);
  static void Bind(const protocol::Claim& claim, Record& record);

  std::map<std::string, Record> records;
  std::multimap<std::int64_t, std::string> by_age;
  std::uint64_t bytes = 0;
  std::int64_t clock_ms = 0;

 public:
  MSGPACK_DEFINE(records, by_age, bytes, clock_ms)
};

}  // namespace gooseberryturn::control

#endif  // GOOSEBERRYTURN_CONTROL_CLAIM_TABLE_H_
