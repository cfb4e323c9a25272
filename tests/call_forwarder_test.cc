#define BOOST_TEST_MODULE call_forwarder
#include "gooseberryturn/direct/call_forwarder.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

/// Orders on their way to the leader, without sockets.
using namespace gooseberryturn;          // NOLINT
using namespace gooseberryturn::direct;  // NOLINT

namespace {

/// A caller, and a leader that answers when a test says so.
struct Way {
  [[nodiscard]] AsyncHttpServer::Reply Reply() {
    return {[](const HttpResponse& /*answer*/) {},
            [this] { return this->is_caller_waiting; }};
  }
  void Send(Duration timeout = std::chrono::minutes(1)) {
    const HttpRequest call = {"DELETE", "/out/a", ""};
    ForwardOrder(
        call, this->Reply(), Clock::now() + timeout,
        [this](const ForwardedCall& forwarded, OnForwarded on_answer) {
          this->forwarded.push_back(forwarded);
          this->answers.push_back(std::move(on_answer));
        },
        [this](const std::optional<ForwardedAnswer>& answer) {
          this->status = answer.has_value() ? answer->status : -1;
        },
        [this] { this->is_late = true; });
  }
  void Answer(int answer_status, std::uint64_t revision) {
    ForwardedAnswer answer;
    answer.status = answer_status;
    answer.revision = revision;
    const OnForwarded on_answer = this->answers.back();
    on_answer(answer);
  }

  bool is_caller_waiting = true;
  bool is_late = false;
  std::optional<int> status;
  std::vector<ForwardedCall> forwarded;
  std::vector<OnForwarded> answers;
};

}  // namespace

BOOST_AUTO_TEST_CASE(an_order_names_the_revision_read_after_it_came) {
  Way way;
  way.Send();
  BOOST_REQUIRE(way.forwarded.size() == 1U);
  BOOST_TEST((way.forwarded[0].step == ForwardedStep::kReadRevision));
  way.Answer(200, 7);
  BOOST_REQUIRE(way.forwarded.size() == 2U);
  BOOST_TEST((way.forwarded[1].step == ForwardedStep::kExecute));
  BOOST_TEST(way.forwarded[1].is_conditional);
  BOOST_TEST(way.forwarded[1].revision == 7U);
  BOOST_TEST(way.forwarded[1].path == "/out/a");
  way.Answer(200, 0);
  BOOST_TEST((way.status == 200));
}

// Review, case 2: a host that had been frozen passed an order on whose caller
// had long sent it elsewhere, and a later one after it.
BOOST_AUTO_TEST_CASE(an_order_whose_caller_gave_up_is_not_forwarded) {
  Way way;
  way.Send();
  way.is_caller_waiting = false;
  way.Answer(200, 7);
  BOOST_TEST(way.forwarded.size() == 1U);
  BOOST_TEST(way.is_late);
  BOOST_TEST(!way.status.has_value());
}

BOOST_AUTO_TEST_CASE(an_order_is_not_forwarded_after_its_deadline) {
  Way way;
  way.Send(Duration(0));
  way.Answer(200, 7);
  BOOST_TEST(way.forwarded.size() == 1U);
  BOOST_TEST(way.is_late);
}

BOOST_AUTO_TEST_CASE(an_order_without_a_leader_is_not_forwarded) {
  Way way;
  way.Send();
  way.Answer(0, 0);
  BOOST_TEST(way.forwarded.size() == 1U);
  BOOST_TEST((way.status == 0));
}
