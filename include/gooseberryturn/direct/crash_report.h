#ifndef GOOSEBERRYTURN_DIRECT_CRASH_REPORT_H_
#define GOOSEBERRYTURN_DIRECT_CRASH_REPORT_H_

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace gooseberryturn::direct {

/// \brief Reported by an entry: an attempt that ended without a whole answer,
/// or whose target is silent. The target may have crashed.
struct CutRequest {
  std::string fingerprint;  ///< Of the whole request; see RequestContentId.
  std::string target;       ///< Id.
  std::int64_t start_time_ms = 0;  ///< Of the target, as in TargetIncarnation.
  std::vector<std::string> parts;  ///< Shared parts of its prompt.
  /// The target broke off or fell silent; otherwise the entry gave up.
  bool is_observed = false;
  /// The target had not begun to write the answer, or just had.
  bool is_recent = false;
  std::uint32_t age_ms = 0;  ///< When the report was sent.
  /// Content ids of this request that the entry saw answered lately.
  std::vector<std::string> answered;

  MSGPACK_DEFINE(fingerprint, target, start_time_ms, parts, is_observed,
                 is_recent, age_ms, answered)
};

/// \brief Reported by an entry: content that a target answered whole and
/// outlived.
struct AnsweredContent {
  std::string content;
  std::uint32_t age_ms = 0;  ///< Of the answer, when the report was sent.

  MSGPACK_DEFINE(content, age_ms)
};

/// \brief Content that is suspected of crashing targets. Requests with it wait,
/// but for one that is sent as a trial.
struct HeldContent {
  std::string content;
  std::string trial_entry;         ///< Entry that may send one; empty for none.
  std::uint64_t trial_number = 0;  ///< Differs for each trial of a content.

  MSGPACK_DEFINE(content, trial_entry, trial_number)
};

/// \brief A crash of a target that ran requests with some content.
struct CrashRecord {
  std::string target;  ///< Id.
  std::int64_t start_time_ms = 0;
  bool is_recent = false;  ///< As in CutRequest, for one of its requests.

  MSGPACK_DEFINE(target, start_time_ms, is_recent)
};

/// \brief What the log holds of a suspected or quarantined content.
struct SuspectRecord {
  std::string content;
  bool is_quarantined = false;
  bool was_answered = false;  ///< Shortly before its first crash.
  std::vector<CrashRecord> crashes;

  MSGPACK_DEFINE(content, is_quarantined, was_answered, crashes)
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_CRASH_REPORT_H_
