#ifndef GOOSEBERRYTURN_DIRECT_LEARNT_CAPACITY_H_
#define GOOSEBERRYTURN_DIRECT_LEARNT_CAPACITY_H_

#include <cstdint>
#include <msgpack.hpp>
#include <string>

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

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_LEARNT_CAPACITY_H_
