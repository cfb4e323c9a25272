#ifndef GOOSEBERRYTURN_STREAM_ANSWER_VERIFIER_H_
#define GOOSEBERRYTURN_STREAM_ANSWER_VERIFIER_H_

#include <cstdint>
#include <string_view>

#include "gooseberryturn/core/error.h"
#include "gooseberryturn/core/stream_digest.h"
#include "gooseberryturn/protocol/message.h"

namespace gooseberryturn::stream {

/// \brief Verifies that an answer received in chunks is complete and intact.
///
/// \details Each chunk must start where the one before it ended, and the end
/// must agree in length and digest. Chunks that are missing, repeated or out of
/// order lead to an error, never to a truncated answer.
///
/// \code
///   Result<std::string_view> bytes = verifier.VerifyChunk(payload);
///   Result<void> whole = verifier.VerifyEnd(end);
/// \endcode
class AnswerVerifier {
 public:
  /// \brief Records that the target began to answer; chunks are valid only
  /// after that.
  void Begin() noexcept { this->has_begun = true; }
  /// \brief Verifies the payload of a chunk frame.
  /// \returns Its bytes, or kAnswerCut with outcome kUnknown.
  [[nodiscard]] Result<std::string_view> VerifyChunk(std::string_view payload);
  /// \brief Verifies the length and digest of the whole answer.
  /// \returns kAnswerCut with outcome kUnknown when they differ.
  [[nodiscard]] Result<void> VerifyEnd(const protocol::AnswerEnd& end) const;

 private:
  bool has_begun = false;
  std::uint64_t length = 0;
  StreamDigest digest;
};

}  // namespace gooseberryturn::stream

#endif  // GOOSEBERRYTURN_STREAM_ANSWER_VERIFIER_H_
