#ifndef GOOSEBERRYTURN_DIRECT_UPDATE_ENCODER_H_
#define GOOSEBERRYTURN_DIRECT_UPDATE_ENCODER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "gooseberryturn/direct/view.h"

namespace gooseberryturn::direct {

/// \brief What an update to a follower has to contain.
struct UpdateNeeds {
  std::uint64_t from_revision = 0;  ///< 0 for all targets and groups.
  std::uint64_t from_config_version = 0;
  bool is_full = false;  ///< See FleetUpdate::is_full.
  bool has_in_flight_work = false;
  bool takes_compressed = false;  ///< See FollowerHello::takes_compressed.

  [[nodiscard]] bool operator<(const UpdateNeeds& other) const noexcept;
};

/// \brief Encodes the updates of one moment, once for all followers with the
/// same needs.
///
/// \details Most of 300 followers stand at the same revision, so that the cost
/// of a change grows with its size and not with the number of followers.
class UpdateEncoder {
 public:
  /// Completes an update, which has the fields that are the same for all
  /// followers, by what `needs` names.
  using Fill = std::function<void(const UpdateNeeds& needs, FleetUpdate&)>;

  UpdateEncoder(FleetUpdate common, Fill fill);

  [[nodiscard]] const FleetUpdate& common() const noexcept {
    return this->shared_fields;
  }
  /// \brief The frame to send to a follower with `needs`; valid as long as
  /// this object.
  [[nodiscard]] const std::string& Frame(const UpdateNeeds& needs);
  /// \brief The frame with no more than the common fields, which tells
  /// followers of a new configuration version.
  [[nodiscard]] const std::string& CommonFrame();

  /// Shorter updates are sent uncompressed.
  static constexpr std::size_t kMinCompressedBytes = 4096;

 private:
  FleetUpdate shared_fields;
  Fill fill;
  std::map<UpdateNeeds, std::string> frames;
  std::string common_frame;  ///< Empty until needed.
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_UPDATE_ENCODER_H_
