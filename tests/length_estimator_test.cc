#define BOOST_TEST_MODULE length_estimator
#include "gooseberryturn/direct/length_estimator.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <optional>
#include <random>
#include <string>

/// The expected length of an answer, from the caller's hint and the past error
/// of hints.
using namespace gooseberryturn::direct;  // NOLINT

namespace {

constexpr double kMean = 100;

}  // namespace

BOOST_AUTO_TEST_CASE(only_whole_numbers_in_range_are_hints) {
  BOOST_TEST(ReadLengthHint("1").value() == 1);
  BOOST_TEST(ReadLengthHint("250").value() == 250);
  BOOST_TEST(ReadLengthHint("1000000").value() == kMaxHintTokens);
  for (const char* invalid : {"", "0", "-1", "-9223372036854775808", "1000001",
                              "12.5", "1e3", "nan", "inf", "+5", " 5", "5 ",
                              "many", "0x10", "99999999999999999999999999"}) {
    BOOST_TEST(!ReadLengthHint(invalid).has_value(), invalid);
  }
}

BOOST_AUTO_TEST_CASE(without_a_hint_the_mean_of_the_route_is_expected) {
  LengthEstimator estimator;
  estimator.RecordAnswer("r", 10, 1000);
  estimator.RecordAnswer("r", std::nullopt, 1000);
  BOOST_TEST(estimator.Expect("r", std::nullopt, kMean).tokens == kMean);
  BOOST_TEST(estimator.Expect("r", std::nullopt, kMean).deviation == 0);
}

// Nothing is known of a route's hints at first.
BOOST_AUTO_TEST_CASE(a_hint_counts_only_as_far_as_hints_were_right) {
  LengthEstimator estimator;
  BOOST_TEST(estimator.Expect("r", 10'000, kMean).tokens == kMean);
  for (int number = 0; number < 500; ++number) {
    estimator.RecordAnswer("r", 200, 400);
  }
  const double expected = estimator.Expect("r", 200, kMean).tokens;
  BOOST_TEST(expected >= 300);
  BOOST_TEST(expected <= 500);
  BOOST_TEST(estimator.Expect("other", 200, kMean).tokens == kMean);
}

// Hints that are right at the median underestimate what a long tail needs.
BOOST_AUTO_TEST_CASE(the_expected_sum_is_right_with_a_long_tail) {
  std::mt19937_64 random(3);
  std::lognormal_distribution<double> hints(std::log(80), 1);
  std::lognormal_distribution<double> ratios(0, 1);
  LengthEstimator estimator;
  double expected_sum = 0;
  double hint_sum = 0;
  double actual_sum = 0;
  double deviation = 0;
  for (int number = 0; number < 20'000; ++number) {
    const double hint = std::ceil(hints(random));
    const double tokens = hint * ratios(random);
    const LengthEstimate estimate = estimator.Expect("r", hint, kMean);
    expected_sum += estimate.tokens;
    hint_sum += hint;
    actual_sum += tokens;
    deviation = estimate.deviation / hint;
    estimator.RecordAnswer("r", hint, tokens);
  }
  BOOST_TEST_MESSAGE("expected " << expected_sum / actual_sum
                                 << " of the actual sum, hints "
                                 << hint_sum / actual_sum);
  BOOST_TEST(std::abs(expected_sum / actual_sum - 1) <= 0.15);
  BOOST_TEST(hint_sum / actual_sum < 0.7);
  BOOST_TEST(deviation > 0.5);
}

// One caller with absurd hints must not make the cost of a request absurd.
BOOST_AUTO_TEST_CASE(absurd_answers_and_hints_have_a_bounded_effect) {
  LengthEstimator estimator;
  for (int number = 0; number < 1000; ++number) {
    estimator.RecordAnswer("r", 1, 1e12);
    estimator.RecordAnswer("r", 0, 100);
    estimator.RecordAnswer("r", -3, 100);
    estimator.RecordAnswer("r", 10, std::nan(""));
    estimator.RecordAnswer("r", 10, -1);
  }
  const LengthEstimate estimate = estimator.Expect("r", 10, kMean);
  BOOST_TEST(std::isfinite(estimate.tokens));
  BOOST_TEST(estimate.tokens <= 200);
  BOOST_TEST(std::isfinite(estimate.deviation));
}
