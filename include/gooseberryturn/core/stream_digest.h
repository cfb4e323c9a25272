#ifndef GOOSEBERRYTURN_CORE_STREAM_DIGEST_H_
#define GOOSEBERRYTURN_CORE_STREAM_DIGEST_H_

#include <memory>
#include <string>
#include <string_view>

struct XXH3_state_s;

namespace gooseberryturn {

/// \brief XXH3 digest of bytes that arrive in pieces.
///
/// \details Equals Digest() of all pieces joined together. Copies share one
/// state: bytes added to one are added to all.
class StreamDigest {
 public:
  StreamDigest();

  void Update(std::string_view bytes) noexcept;
  /// \brief Digest of all bytes so far as 32 hexadecimal digits.
  [[nodiscard]] std::string Hex() const;

 private:
  std::shared_ptr<XXH3_state_s> state;
};

}  // namespace gooseberryturn

#endif  // GOOSEBERRYTURN_CORE_STREAM_DIGEST_H_
