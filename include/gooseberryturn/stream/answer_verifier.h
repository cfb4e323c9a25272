#ifndef GOOSEBERRYTURN_STREAM_ANSWER_VERIFIER_H_
#define GOOSEBERRYTURN_STREAM_ANSWER_VERIFIER_H_

#include <cstdint>
#include <string_view>

#include "gooseberryturn/core/error.h"
#include "gooseberryturn/core/stream_digest.h"
#include "gooseberryturn/protocol/message.h"

namespace gooseberryturn::stream {

/// \brief Proves that an answer that arrived in chunks is whole.
///
/// \details Each chunk must start where the one before it ended, and the end
/// must agree in length and digest. Whatever is late, repeated, out of order
/// or missing shows as an error, never as a short answer.
///
/// \code
///   Result<std::string_view> bytes = check.VerifyChunk(payload);
///   Result<void> whole = check.VerifyEnd(end);
/// \endcode
class AnswerVerifier {
 public:
  /// \brief The target began to answer.
  void Begin() noexcept { this->has_begun = true; }
  /// \brief Takes the payload of a chunk frame.
  /// \returns Its bytes, or kAnswerCut with outcome kUnknown.
  [[nodiscard]] Result<std::string_view> VerifyChunk(std::string_view payload);
  /// \brief Checks the end of the answer.
  [[nodiscard]] Result<void> VerifyEnd(const protocol::AnswerEnd& end) const;

 private:
  bool has_begun = false;
  std::uint64_t length = 0;
  StreamDigest digest;
};

}  // namespace gooseberryturn::stream

#endif  // GOOSEBERRYTURN_STREAM_ANSWER_VERIFIER_H_
