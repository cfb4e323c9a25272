#include "gooseberryturn/direct/room_share.h"

#include <algorithm>
#include <utility>

namespace gooseberryturn::direct {

std::string RoomPool(const std::string& queue_key, bool is_late,
                     std::optional<int> priority) {
  return queue_key + (is_late ? "/late" : "") +
         (priority.has_value() ? "/" + std::to_string(*priority) : "");
}

void RoomShare::BeginRound(std::size_t entries, const WaitingByPool& waiting,
                           TimePoint now) {
  this->UpdateMeans(waiting);
  this->entry_count = static_cast<double>(std::max<std::size_t>(1, entries));
  this->round_ends_at = now + kMaxRound;
  this->sent_by_pool.clear();
}

void RoomShare::UpdateMeans(const WaitingByPool& waiting) {
  std::map<std::string, double> contenders;
  for (const std::pair<const std::string, double>& known :
       this->mean_contenders) {
    contenders[known.first] = 0;
  }
  for (const WaitingByPool::value_type& pool : waiting) {
    contenders[pool.first] += static_cast<double>(pool.second);
  }
  for (const std::pair<const std::string, Sent>& sent : this->sent_by_pool) {
    contenders[sent.first] += sent.second.requests;
  }
  for (const std::pair<const std::string, double>& pool : contenders) {
    double& mean = this->mean_contenders[pool.first];
    mean += kRoundWeight * (pool.second - mean);
    // Callers name the models of pools, so those without requests must end.
    if (mean < kMinMeanContenders) {
      this->mean_contenders.erase(pool.first);
    }
  }
}

RoomShare::Sent& RoomShare::SentOf(const std::string& pool) {
  const auto known = this->sent_by_pool.find(pool);
  if (known != this->sent_by_pool.end()) {
    return known->second;
  }
  std::uniform_real_distribution<double> draw(0, 1);
  const Sent sent = {0, draw(this->random)};
  return this->sent_by_pool.emplace(pool, sent).first->second;
}

double RoomShare::Contenders(const std::string& pool,
                             std::size_t waiting) const {
  const auto mean = this->mean_contenders.find(pool);
  const double expected =
      mean == this->mean_contenders.end() ? 0 : mean->second;
  return std::max(static_cast<double>(waiting), this->entry_count * expected);
}

bool RoomShare::MaySend(const std::string& pool, double room,
                        std::size_t waiting, double contenders, TimePoint now) {
  if (now >= this->round_ends_at) {
    this->round_ends_at = now + kMaxRound;
    this->sent_by_pool.clear();
  }
  const Sent& sent = this->SentOf(pool);
  const double own = sent.requests + static_cast<double>(waiting);
  const double share = own / std::max(own, contenders);
  return sent.requests + 1 <= share * (room + sent.requests) + sent.draw;
}

void RoomShare::RecordSent(const std::string& pool) {
  this->SentOf(pool).requests += 1;
}

}  // namespace gooseberryturn::direct
