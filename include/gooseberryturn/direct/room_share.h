#ifndef GOOSEBERRYTURN_DIRECT_ROOM_SHARE_H_
#define GOOSEBERRYTURN_DIRECT_ROOM_SHARE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>

#include "gooseberryturn/core/time.h"

namespace gooseberryturn::direct {

/// \brief Pool of RoomShare for requests with one queue key that compete with
/// each other: those that can still meet their objective, or those that are
/// late; of one priority only, if that is given.
[[nodiscard]] std::string RoomPool(const std::string& queue_key, bool is_late,
                                   std::optional<int> priority = std::nullopt);

/// \brief Divides room at group heads among the entries that see it.
///
/// \details Entries hear of each other's requests with a delay. Within it, all
/// of them see the same room, and each would fill it on its own: the heads then
/// get many times what they can start in time, and nothing while they work that
/// off. So in each round, which lasts until the next figures arrive, an entry
/// uses only its share. Requests that compete for the same room form a pool;
/// the share is the part of the pool that this entry holds. Where the share is
/// not a whole number of requests, a random draw for each round decides on the
/// last one, so that all entries together send what fits.
///
/// \code
///   share.BeginRound(entries, {{"large", 2}}, now);
///   if (share.MaySend("large", 12.5, 2, share.Contenders("large", 2), now)) {
///     share.RecordSent("large");
///   }
/// \endcode
class RoomShare {
 public:
  /// Number of requests that wait at this entry, by pool.
  using WaitingByPool = std::map<std::string, std::size_t>;

  explicit RoomShare(std::uint64_t seed) : random(seed) {}

  /// \brief Begins a round of figures that `entries` entries see.
  void BeginRound(std::size_t entries, const WaitingByPool& waiting,
                  TimePoint now);
  /// \brief Expected number of requests of `pool` that all entries want to send
  /// in this round, when `waiting` of them wait at this one.
  [[nodiscard]] double Contenders(const std::string& pool,
                                  std::size_t waiting) const;
  /// \brief True if one more request of `pool` is within this entry's share.
  /// \param room Requests that the heads can take after those that this entry
  /// has sent in this round.
  /// \param waiting Requests that wait at this entry, with this one.
  /// \param contenders Requests that all entries want to send in this round.
  [[nodiscard]] bool MaySend(const std::string& pool, double room,
                             std::size_t waiting, double contenders,
                             TimePoint now);
  void RecordSent(const std::string& pool);
  /// \brief Number of entries that the last round was begun with.
  [[nodiscard]] double entries() const noexcept { return this->entry_count; }

  /// A round ends after this time also without new figures, so that an entry
  /// that hears nothing goes on.
  static constexpr Duration kMaxRound = std::chrono::milliseconds(250);
  /// Weight of the newest round in the moving average of contenders.
  static constexpr double kRoundWeight = 0.1;
  /// A pool whose average is lower is forgotten.
  static constexpr double kMinMeanContenders = 0.001;

  /// \brief Number of pools with an average.
  [[nodiscard]] std::size_t PoolCount() const noexcept {
    return this->mean_contenders.size();
  }

 private:
  /// What this entry has sent of one pool in this round.
  struct Sent {
    double requests = 0;
    double draw = 0;  ///< Within [0, 1).
  };

  [[nodiscard]] Sent& SentOf(const std::string& pool);
  void UpdateMeans(const WaitingByPool& waiting);

  std::mt19937_64 random;
  double entry_count = 1;
  TimePoint round_ends_at;
  std::map<std::string, Sent> sent_by_pool;
  /// Requests that this entry wants to send in a round, moving average.
  std::map<std::string, double> mean_contenders;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_ROOM_SHARE_H_
