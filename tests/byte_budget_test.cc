#define BOOST_TEST_MODULE byte_budget
#include "gooseberryturn/core/byte_budget.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <utility>

using namespace gooseberryturn;  // NOLINT

namespace {

constexpr std::size_t kFree = ByteShare::kFreeBytes;

}  // namespace

BOOST_AUTO_TEST_CASE(shares_together_stay_within_the_budget) {
  const std::shared_ptr<ByteBudget> budget = std::make_shared<ByteBudget>(100);
  ByteShare one(budget);
  ByteShare other(budget);
  BOOST_TEST(one.Resize(kFree + 60));
  BOOST_TEST(other.Resize(kFree + 40));
  BOOST_TEST(!other.Resize(kFree + 41));
  BOOST_TEST(budget->used() == 100U);
  BOOST_TEST(one.Resize(kFree + 59));
  BOOST_TEST(other.Resize(kFree + 41));
}

BOOST_AUTO_TEST_CASE(small_messages_pass_when_the_budget_is_used_up) {
  const std::shared_ptr<ByteBudget> budget = std::make_shared<ByteBudget>(10);
  ByteShare large(budget);
  BOOST_TEST(large.Resize(kFree + 10));
  ByteShare small(budget);
  BOOST_TEST(small.Resize(kFree));
  BOOST_TEST(!small.Resize(kFree + 1));
  BOOST_TEST(budget->used() == 10U);
}

BOOST_AUTO_TEST_CASE(what_is_held_moves_and_is_released_once) {
  const std::shared_ptr<ByteBudget> budget = std::make_shared<ByteBudget>(10);
  {
    ByteShare first(budget);
    BOOST_TEST(first.Resize(kFree + 10));
    ByteShare second(std::move(first));
    ByteShare third;
    third = std::move(second);
    BOOST_TEST(budget->used() == 10U);
  }
  BOOST_TEST(budget->used() == 0U);
}

BOOST_AUTO_TEST_CASE(a_share_without_a_budget_has_no_limit) {
  ByteShare share;
  BOOST_TEST(share.Resize(static_cast<std::size_t>(-1)));
}
