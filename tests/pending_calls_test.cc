#define BOOST_TEST_MODULE pending_calls
#include "gooseberryturn/direct/pending_calls.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <vector>

using namespace gooseberryturn;          // NOLINT
using namespace gooseberryturn::direct;  // NOLINT
using std::chrono::milliseconds;

namespace {

const TimePoint kNow = TimePoint() + std::chrono::hours(1);

/// Collects the status of each answer that its caller gets.
struct Caller {
  AsyncHttpServer::Reply Reply() {
    return [this](const HttpResponse& response) {
      this->statuses.push_back(response.status);
    };
  }
  std::vector<int> statuses;
};

}  // namespace

BOOST_AUTO_TEST_CASE(a_call_is_answered_by_its_handler) {
  PendingCalls calls;
  Caller caller;
  const AsyncHttpServer::Reply reply =
      calls.Add(caller.Reply(), kNow + milliseconds(100));
  BOOST_TEST(!calls.is_empty());
  reply({200, "", ""});
  BOOST_TEST(calls.is_empty());
  BOOST_TEST(calls.Expire(kNow + milliseconds(200), {503, "", ""}) == 0U);
  BOOST_TEST(caller.statuses == std::vector<int>({200}));
}

BOOST_AUTO_TEST_CASE(a_call_is_answered_once_at_its_deadline) {
  PendingCalls calls;
  Caller caller;
  Caller later;
  const AsyncHttpServer::Reply reply =
      calls.Add(caller.Reply(), kNow + milliseconds(100));
  const AsyncHttpServer::Reply later_reply =
      calls.Add(later.Reply(), kNow + milliseconds(150));
  BOOST_TEST(calls.Expire(kNow + milliseconds(99), {503, "", ""}) == 0U);
  BOOST_TEST(calls.Expire(kNow + milliseconds(100), {503, "", ""}) == 1U);
  reply({200, "", ""});
  later_reply({200, "", ""});
  BOOST_TEST(caller.statuses == std::vector<int>({503}));
  BOOST_TEST(later.statuses == std::vector<int>({200}));
  BOOST_TEST(calls.is_empty());
}

BOOST_AUTO_TEST_CASE(an_answer_may_add_the_next_call) {
  PendingCalls calls;
  Caller caller;
  AsyncHttpServer::Reply next;
  const AsyncHttpServer::Reply reply = calls.Add(
      [&](const HttpResponse& /*response*/) {
        next = calls.Add(caller.Reply(), kNow + milliseconds(900));
      },
      kNow);
  BOOST_TEST(calls.Expire(kNow, {503, "", ""}) == 1U);
  BOOST_TEST(!calls.is_empty());
  next({200, "", ""});
  BOOST_TEST(caller.statuses == std::vector<int>({200}));
}
