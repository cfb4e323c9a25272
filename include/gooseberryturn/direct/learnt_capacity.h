#ifndef GOOSEBERRYTURN_DIRECT_LEARNT_CAPACITY_H_
#define GOOSEBERRYTURN_DIRECT_LEARNT_CAPACITY_H_

#include <chrono>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

#include "gooseberryturn/core/time.h"

namespace gooseberryturn::direct {

/// \brief What was learnt, from the answers of a target, of the work that it
/// takes well.
struct LearntCapacity {
  std::string target;
  std::int64_t start_time_ms = 0;  ///< Of the incarnation.
  float time_factor = 1;  ///< Observed over expected times; above 1 if slower.
  float request_limit = 0;    ///< Requests that it takes well; 0 if unknown.
  std::uint32_t samples = 0;  ///< Observations that it rests on.

  MSGPACK_DEFINE(target, start_time_ms, time_factor, request_limit, samples)
};

/// \brief Bounds of LearntCapacity::time_factor.
inline constexpr double kMinTimeFactor = 0.25;
inline constexpr double kMaxTimeFactor = 16;
/// \brief Largest LearntCapacity::request_limit.
inline constexpr double kMaxRequestLimit = 256;
/// \brief Most samples that one report of an entry counts for, so that no entry
/// outweighs all others.
inline constexpr std::uint32_t kMaxReportedSamples = 100;
/// \brief A time factor that differs from 1 by less than this share is taken
/// for 1.
inline constexpr double kNotableDifference = 0.2;
/// \brief Time in which a time factor without new samples comes closer to 1 by
/// a factor of e.
inline constexpr Duration kFactorRelaxTime = std::chrono::seconds(5);

/// \brief True if all values are numbers within their bounds.
[[nodiscard]] bool IsValid(const LearntCapacity& learnt) noexcept;
/// \brief True for a factor that differs from 1 by more than
/// kNotableDifference.
[[nodiscard]] bool IsNotable(double time_factor) noexcept;
/// \brief `time_factor` after `age` without new samples.
[[nodiscard]] double RelaxFactor(double time_factor, Duration age) noexcept;

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_LEARNT_CAPACITY_H_
