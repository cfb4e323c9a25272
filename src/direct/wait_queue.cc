#include "gooseberryturn/direct/wait_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace gooseberryturn::direct {

namespace {

using Skipped = std::set<std::uint64_t>;

constexpr double kUsPerMs = 1000;

std::int64_t EngineTimeUs(const QueuedRequest& request) {
  return std::llround(kUsPerMs * FairOrder::CostMs(request.engine_ms));
}

/// An id newer than all in the queue.
constexpr std::uint64_t kNewestId = ~std::uint64_t{0};

/// Id of the request at `position` of a team. Positions of requests that are
/// not late hold the distance to kNewestId, so that the newest goes first.
std::uint64_t IdAt(const std::pair<Duration, std::uint64_t>& position,
                   bool is_late) {
  return is_late ? position.second : kNewestId - position.second;
}

}  // namespace

std::string QueueKey(const std::string& service, const std::string& model) {
  return service + "/" + model;
}

bool WaitQueue::Rank::operator<(const Rank& other) const noexcept {
  return std::tie(this->is_late, this->priority, this->is_early_retry) <
         std::tie(other.is_late, other.priority, other.is_early_retry);
}

bool WaitQueue::Place::operator<(const Place& other) const noexcept {
  return std::tie(this->rank, this->start, this->position) <
         std::tie(other.rank, other.start, other.position);
}

WaitQueue::Rank WaitQueue::RankOf(const QueuedRequest& request, bool is_late) {
  return {is_late, request.priority, request.is_early_retry};
}

WaitQueue::Position WaitQueue::PositionOf(const QueuedRequest& request,
                                          bool is_late) {
  if (is_late) {
    return {request.queue_deadline.time_since_epoch(), request.id};
  }
  // The newest goes first, also of those with the same `dispatch_by`.
  return {-request.dispatch_by.time_since_epoch(), kNewestId - request.id};
}

const FairOrder& WaitQueue::FairOrderOf(const std::string& queue_key,
                                        int priority) const {
  static const FairOrder unused;
  const auto orders = this->fair_orders.find(queue_key);
  if (orders == this->fair_orders.end()) {
    return unused;
  }
  const auto order = orders->second.find(priority);
  return order == orders->second.end() ? unused : order->second;
}

void WaitQueue::Insert(ModelQueue& queue, const Stored& stored) {
  const QueuedRequest& request = stored.request;
  TeamLine& line = queue.ranks[RankOf(request, stored.is_late)][request.team];
  if (line.positions.empty()) {
    line.finish = this->FairOrderOf(request.queue_key, request.priority)
                      .Finish(request.team);
  }
  line.positions.insert(PositionOf(request, stored.is_late));
  if (stored.is_late) {
    queue.late_count += 1;
  } else {
    queue.on_time_by_dispatch_by.insert({request.dispatch_by, request.id});
    queue.on_time_us[request.priority] += EngineTimeUs(request);
  }
}

void WaitQueue::Erase(ModelQueue& queue, const Stored& stored) {
  const QueuedRequest& request = stored.request;
  const auto rank = queue.ranks.find(RankOf(request, stored.is_late));
  const auto line = rank->second.find(request.team);
  line->second.positions.erase(PositionOf(request, stored.is_late));
  if (line->second.positions.empty()) {
    rank->second.erase(line);
  }
  if (rank->second.empty()) {
    queue.ranks.erase(rank);
  }
  if (stored.is_late) {
    queue.late_count -= 1;
  } else {
    queue.on_time_by_dispatch_by.erase({request.dispatch_by, request.id});
    queue.on_time_us[request.priority] -= EngineTimeUs(request);
  }
}

void WaitQueue::Add(const QueuedRequest& request) {
  this->Remove(request.id);
  Stored& stored = this->requests[request.id];
  stored.request = request;
  this->Insert(this->queues[request.queue_key], stored);
  this->by_queue_deadline.insert({request.queue_deadline, request.id});
}

void WaitQueue::Remove(std::uint64_t id) {
  const auto found = this->requests.find(id);
  if (found == this->requests.end()) {
    return;
  }
  const QueuedRequest& request = found->second.request;
  const auto queue = this->queues.find(request.queue_key);
  this->Erase(queue->second, found->second);
  if (queue->second.ranks.empty()) {
    this->queues.erase(queue);
  }
  this->by_queue_deadline.erase({request.queue_deadline, id});
  this->requests.erase(found);
}

WaitQueue::ModelQueue* WaitQueue::UpToDate(const std::string& queue_key,
                                           TimePoint now) {
  const auto found = this->queues.find(queue_key);
  if (found == this->queues.end()) {
    return nullptr;
  }
  ModelQueue& queue = found->second;
  while (!queue.on_time_by_dispatch_by.empty() &&
         now >= queue.on_time_by_dispatch_by.begin()->first) {
    Stored& stored =
        this->requests.at(queue.on_time_by_dispatch_by.begin()->second);
    this->Erase(queue, stored);
    stored.is_late = true;
    this->Insert(queue, stored);
  }
  return &queue;
}

std::optional<WaitQueue::Place> WaitQueue::FirstPlace(
    const std::string& queue_key, const ModelQueue& queue,
    const Skipped& skipped) const {
  for (const std::pair<const Rank, TeamLines>& rank : queue.ranks) {
    const FairOrder& order = this->FairOrderOf(queue_key, rank.first.priority);
    const bool is_late = rank.first.is_late;
    std::optional<Place> first;
    for (const std::pair<const std::string, TeamLine>& line : rank.second) {
      const double start = order.StartAfter(line.second.finish);
      if (first.has_value() && start > first->start) {
        continue;
      }
      const auto position = std::find_if(
          line.second.positions.begin(), line.second.positions.end(),
          [&skipped, is_late](const Position& candidate) {
            return skipped.count(IdAt(candidate, is_late)) == 0;
          });
      if (position == line.second.positions.end()) {
        continue;
      }
      const Place place = {rank.first, start, *position};
      if (!first.has_value() || place < *first) {
        first = place;
      }
    }
    if (first.has_value()) {
      return first;
    }
  }
  return std::nullopt;
}

std::optional<std::uint64_t> WaitQueue::Next(const std::string& queue_key,
                                             TimePoint now,
                                             const Skipped& skipped) {
  const ModelQueue* queue = this->UpToDate(queue_key, now);
  if (queue == nullptr) {
    return std::nullopt;
  }
  const std::optional<Place> first =
      this->FirstPlace(queue_key, *queue, skipped);
  if (!first.has_value()) {
    return std::nullopt;
  }
  return IdAt(first->position, first->rank.is_late);
}

bool WaitQueue::GoesFirst(const QueuedRequest& request, TimePoint now) {
  const ModelQueue* queue = this->UpToDate(request.queue_key, now);
  if (queue == nullptr) {
    return true;
  }
  QueuedRequest candidate = request;
  candidate.id = kNewestId;
  candidate.queue_deadline = request.dispatch_by;
  const bool is_late = now >= request.dispatch_by;
  const double start = this->FairOrderOf(request.queue_key, request.priority)
                           .Start(request.team);
  const Place place = {RankOf(candidate, is_late), start,
                       PositionOf(candidate, is_late)};
  const std::optional<Place> first =
      this->FirstPlace(request.queue_key, *queue, {});
  return !first.has_value() || place < *first;
}

void WaitQueue::RecordDispatched(const QueuedRequest& request) {
  FairOrder& order = this->fair_orders[request.queue_key][request.priority];
  order.RecordDispatched(request.team, request.engine_ms);
  const auto queue = this->queues.find(request.queue_key);
  if (queue == this->queues.end()) {
    return;
  }
  for (const bool is_late : {false, true}) {
    for (const bool is_early_retry : {false, true}) {
      const auto rank =
          queue->second.ranks.find({is_late, request.priority, is_early_retry});
      if (rank == queue->second.ranks.end()) {
        continue;
      }
      const auto line = rank->second.find(request.team);
      if (line != rank->second.end()) {
        line->second.finish = order.Finish(request.team);
      }
    }
  }
}

std::vector<std::string> WaitQueue::QueueKeys() const {
  std::vector<std::string> queue_keys;
  queue_keys.reserve(this->queues.size());
  for (const std::pair<const std::string, ModelQueue>& queue : this->queues) {
    queue_keys.push_back(queue.first);
  }
  return queue_keys;
}

std::vector<std::uint64_t> WaitQueue::TakeExpired(TimePoint now) {
  std::vector<std::uint64_t> expired;
  while (!this->by_queue_deadline.empty() &&
         now >= this->by_queue_deadline.begin()->first) {
    expired.push_back(this->by_queue_deadline.begin()->second);
    this->Remove(expired.back());
  }
  return expired;
}

std::size_t WaitQueue::Count(const std::string& queue_key, bool is_late,
                             TimePoint now) {
  const ModelQueue* queue = this->UpToDate(queue_key, now);
  if (queue == nullptr) {
    return 0;
  }
  return is_late ? queue->late_count : queue->on_time_by_dispatch_by.size();
}

std::map<int, std::size_t> WaitQueue::CountByPriority(
    const std::string& queue_key, bool is_late, TimePoint now) {
  std::map<int, std::size_t> counts;
  const ModelQueue* queue = this->UpToDate(queue_key, now);
  if (queue == nullptr) {
    return counts;
  }
  for (const std::pair<const Rank, TeamLines>& rank : queue->ranks) {
    if (rank.first.is_late != is_late) {
      continue;
    }
    for (const std::pair<const std::string, TeamLine>& line : rank.second) {
      counts[rank.first.priority] += line.second.positions.size();
    }
  }
  return counts;
}

double WaitQueue::MoreUrgentMs(const std::string& queue_key, int priority,
                               TimePoint now) {
  const ModelQueue* queue = this->UpToDate(queue_key, now);
  if (queue == nullptr) {
    return 0;
  }
  std::int64_t sum_us = 0;
  for (const std::pair<const int, std::int64_t>& known : queue->on_time_us) {
    sum_us += known.first < priority ? known.second : 0;
  }
  return static_cast<double>(sum_us) / kUsPerMs;
}

}  // namespace gooseberryturn::direct
