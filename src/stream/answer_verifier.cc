#include "gooseberryturn/stream/answer_verifier.h"

#include <string>

#include "gooseberryturn/protocol/frame.h"

namespace gooseberryturn::stream {

namespace {

tl::unexpected<Error> CutError(const std::string& message) {
  return tl::make_unexpected(Error{Reason::kAnswerCut, Step::kRelay,
                                   Outcome::kUnknown, std::string(), message});
}

}  // namespace

Result<std::string_view> AnswerVerifier::VerifyChunk(std::string_view payload) {
  protocol::Chunk chunk;
  if (!this->has_begun || !protocol::DecodeChunk(payload, chunk)) {
    return CutError("a chunk is malformed or came before the answer began");
  }
  if (chunk.offset != this->length) {
    return CutError("a chunk is missing, repeated or out of order");
  }
  this->length += chunk.bytes.size();
  this->digest.Update(chunk.bytes);
  return chunk.bytes;
}

Result<void> AnswerVerifier::VerifyEnd(const protocol::AnswerEnd& end) const {
  const bool is_complete = this->has_begun && end.length == this->length &&
                           end.digest == this->digest.Hex();
  if (!is_complete) {
    return CutError("the length or digest of the answer does not match");
  }
  return {};
}

}  // namespace gooseberryturn::stream
