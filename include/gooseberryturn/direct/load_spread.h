#ifndef GOOSEBERRYTURN_DIRECT_LOAD_SPREAD_H_
#define GOOSEBERRYTURN_DIRECT_LOAD_SPREAD_H_

#include <vector>

namespace gooseberryturn::direct {

/// \brief Weights with which to pick one of several group heads at random, so
/// that all entries together spread the work that arrives.
///
/// \details Figures of the heads' load are old by the time they are used, and
/// all entries use the same ones. If each picked the least delayed head, that
/// one would get all requests until the next figures. So the work that is
/// expected until then is divided among the heads: the least delayed ones get
/// most, and each gets what raises its delay to a common level.
///
/// \param delays_ms Expected delay at each head, milliseconds.
/// \param arriving_ms Delay that the arriving work adds at one head if it gets
/// all of it, milliseconds.
/// \returns A weight for each head; at least one is positive.
[[nodiscard]] std::vector<double> SpreadWeights(
    const std::vector<double>& delays_ms, double arriving_ms);

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_LOAD_SPREAD_H_
