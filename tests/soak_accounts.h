#ifndef GOOSEBERRYTURN_TESTS_SOAK_ACCOUNTS_H_
#define GOOSEBERRYTURN_TESTS_SOAK_ACCOUNTS_H_

#include <rapidjson/document.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "http_call.h"
#include "kept_connection.h"
#include "platform_fake_target.h"
#include "soak_caller.h"

/// What became of each request of a soak.
namespace gooseberryturn::fleet::soak {

/// What the logs of the entries and the targets say of each request.
struct Accounts {
  std::map<std::string, int> runs;
  std::map<std::string, std::vector<std::string>> lines;
  std::set<std::string> interrupted;  ///< Attempts that a crash cut short.
  /// Of each request, in order of time, except those that were refused.
  std::map<std::string, std::vector<Arrival>> arrivals;
  std::vector<Outage> outages;  ///< Of all targets.

  [[nodiscard]] int RunsOf(const std::string& id) const {
    const auto found = this->runs.find(id);
    return found == this->runs.end() ? 0 : found->second;
  }
  [[nodiscard]] bool IsRead(const std::string& id) const {
    return this->lines.count(id) > 0;
  }
  /// Adds what a target saw.
  void AddTarget(FakeTarget& target) {
    for (const std::string& id : target.Runs()) {
      this->runs[id] += 1;
    }
    this->interrupted.merge(target.Interrupted());
    for (const Arrival& arrival : target.Arrivals()) {
      if (arrival.fate != Arrival::Fate::kRefused) {
        std::vector<Arrival>& all = this->arrivals[arrival.id];
        all.push_back(arrival);
        std::sort(
            all.begin(), all.end(),
            [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
      }
    }
    for (const Outage& outage : target.Outages()) {
      this->outages.push_back(outage);
    }
  }
  /// True if the target that a request reached ended before `next`, or its
  /// group lost a member or had one that was silent for longer than a sound
  /// target may be.
  [[nodiscard]] bool IsLeftForLoss(const Arrival& arrival, Moment next) const {
    const auto is_loss = [&arrival, next](const Outage& outage) {
      return outage.group == arrival.group && outage.begin < next &&
             outage.end > arrival.at &&
             outage.end - outage.begin > kLongestSilence;
    };
    const bool is_dropped =
        arrival.fate == Arrival::Fate::kDropped && arrival.dropped_at < next;
    return is_dropped ||
           (!arrival.group.empty() &&
            std::any_of(this->outages.begin(), this->outages.end(), is_loss));
  }
  /// True if a stream was sent to as many targets as its route allows, was cut
  /// after the last one had closed its connection, because it had crashed
  /// before it read the request, and left each other target for a loss: the
  /// targets broke off, and no further one may be sent the request.
  [[nodiscard]] bool HasLostItsTargets(const Attempt& attempt) const {
    const auto found = this->arrivals.find(attempt.id);
    if (attempt.kind != Kind::kStream || attempt.ending != Ending::kCut ||
        found == this->arrivals.end()) {
      return false;
    }
    const std::vector<Arrival>& all = found->second;
    bool has_lost = all.size() == static_cast<std::size_t>(kRouteAttempts) &&
                    all.back().fate == Arrival::Fate::kDropped &&
                    all.back().dropped_at < attempt.ended_at;
    for (std::size_t index = 0; index + 1 < all.size(); ++index) {
      has_lost = has_lost && this->IsLeftForLoss(all[index], all[index + 1].at);
    }
    return has_lost;
  }
  /// Sorts the lines of a log by the request that they name.
  void AddLog(const std::string& log) {
    std::istringstream input(log);
    for (std::string line; std::getline(input, line);) {
      rapidjson::Document document;
      document.Parse(line.data(), line.size());
      if (!document.HasParseError() && document.IsObject() &&
          document.HasMember("request")) {
        this->lines[document["request"].GetString()].push_back(line);
      }
    }
  }
};

inline std::string StreamText(int events) {
  std::string text;
  for (int number = 1; number <= events; ++number) {
    text += "id: " + std::to_string(number) +
            "\ndata: " + std::to_string(number) + "\n\n";
  }
  return text;
}

/// \returns Why a success is not the answer to its request; empty when it is.
inline std::string FaultOfSuccess(const Attempt& attempt, int runs) {
  const std::map<std::string, std::string>& headers = attempt.answer.headers;
  const auto id = headers.find("X-Gooseberryturn-Attempt-Id");
  const auto seal = headers.find("X-Gooseberryturn-Server-Seal");
  if (id == headers.end() || id->second != attempt.id) {
    return "the answer names another request";
  }
  if (runs == 0 || seal == headers.end()) {
    return "a success without a run";
  }
  const std::string expected =
      attempt.kind == Kind::kStream
          ? StreamText(attempt.work)
          : "answer of " + seal->second.substr(std::string("seal-").size());
  return attempt.answer.body == expected ? "" : "the body is another one";
}

inline std::string FaultOfRefusal(const Attempt& attempt, int runs) {
  const int status = attempt.answer.status;
  const bool is_promise = status == 503 || status == 429;
  const bool is_allowed = is_promise || status == 502 || status == 504 ||
                          (status == 404 && attempt.kind == Kind::kExtra) ||
                          (status == 401 && attempt.kind == Kind::kSecondKey);
  if (!is_allowed) {
    return "unexpected status";
  }
  const bool is_not_run = status != 502 && status != 504;
  return attempt.kind == Kind::kUnsafe && is_not_run && runs > 0
             ? "refused, but run"
             : "";
}

inline std::string FaultOfMissingAnswer(const Attempt& attempt,
                                        const Accounts& accounts) {
  if (attempt.ending == Ending::kSilent) {
    return "no answer and no end";
  }
  // A stream that falls silent may be broken off: its caller may have left.
  const bool may_end = attempt.is_half_closed &&
                       attempt.kind == Kind::kStream &&
                       attempt.ending == Ending::kCut;
  if (may_end) {
    return "";
  }
  if (accounts.interrupted.count(attempt.id) > 0) {
    return "";
  }
  if (attempt.ending == Ending::kCut) {
    const bool may_be_cut = attempt.waited_ms >= kMinTimeoutMs ||
                            attempt.IsCutAtEndOfGrace() ||
                            accounts.HasLostItsTargets(attempt);
    return may_be_cut ? "" : "LOST: cut answer";
  }
  if (accounts.RunsOf(attempt.id) > 0) {
    return "LOST: run without an answer";
  }
  if (accounts.IsRead(attempt.id)) {
    return "LOST: read without an answer";
  }
  return attempt.IsClosedTooSoon() ? "closed before the idle time was over"
                                   : "";
}

/// \returns What is wrong with a request; empty when nothing is.
inline std::string FaultOf(const Attempt& attempt, const Accounts& accounts) {
  const int runs = accounts.RunsOf(attempt.id);
  if (attempt.kind == Kind::kUnsafe && runs > 1) {
    return "an unsafe request ran " + std::to_string(runs) + " times";
  }
  if (attempt.ending != Ending::kComplete) {
    return FaultOfMissingAnswer(attempt, accounts);
  }
  return attempt.answer.status == 200 ? FaultOfSuccess(attempt, runs)
                                      : FaultOfRefusal(attempt, runs);
}

inline std::string Describe(const Attempt& attempt, const Accounts& accounts) {
  std::ostringstream text;
  text << attempt.id << " kind " << static_cast<int>(attempt.kind) << " work "
       << attempt.work << " entry " << attempt.entry
       << (attempt.is_entry_leaving ? " (leaving)" : "") << " ending "
       << static_cast<int>(attempt.ending) << " status "
       << attempt.answer.status << " runs " << accounts.RunsOf(attempt.id)
       << " idle at most " << attempt.idle_ms << " of " << attempt.idle_limit_ms
       << " ms, waited " << attempt.waited_ms << " ms, body of "
       << attempt.answer.body.size() << " bytes";
  const auto arrived = accounts.arrivals.find(attempt.id);
  if (arrived != accounts.arrivals.end()) {
    for (const Arrival& arrival : arrived->second) {
      const Moment begin = arrived->second.front().at;
      text << "\n    arrived after " << MsBetween(begin, arrival.at)
           << " ms, group '" << arrival.group << "'";
      if (arrival.fate == Arrival::Fate::kDropped) {
        text << ", dropped after " << MsBetween(begin, arrival.dropped_at)
             << " ms";
      }
      for (const Outage& outage : accounts.outages) {
        if (!outage.group.empty() && outage.group == arrival.group) {
          text << ", a member "
               << (outage.end == Moment::max() ? "crashed" : "fell silent")
               << " after " << MsBetween(begin, outage.begin) << " ms";
        }
      }
    }
  }
  const auto found = accounts.lines.find(attempt.id);
  if (found != accounts.lines.end()) {
    for (const std::string& line : found->second) {
      text << "\n    " << line;
    }
  }
  return text.str();
}

}  // namespace gooseberryturn::fleet::soak

#endif  // GOOSEBERRYTURN_TESTS_SOAK_ACCOUNTS_H_
