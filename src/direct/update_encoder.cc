#include "gooseberryturn/direct/update_encoder.h"

#include <tuple>
#include <utility>

#include "gooseberryturn/core/compression.h"
#include "gooseberryturn/protocol/codec.h"
#include "gooseberryturn/protocol/frame.h"

namespace gooseberryturn::direct {

bool UpdateNeeds::operator<(const UpdateNeeds& other) const noexcept {
  return std::tie(this->from_revision, this->from_config_version, this->is_full,
                  this->has_in_flight_work, this->takes_compressed) <
         std::tie(other.from_revision, other.from_config_version, other.is_full,
                  other.has_in_flight_work, other.takes_compressed);
}

UpdateEncoder::UpdateEncoder(FleetUpdate common, Fill fill)
    : shared_fields(std::move(common)), fill(std::move(fill)) {}

const std::string& UpdateEncoder::Frame(const UpdateNeeds& needs) {
  const auto known = this->frames.find(needs);
  if (known != this->frames.end()) {
    return known->second;
  }
  FleetUpdate update = this->shared_fields;
  update.is_full = needs.is_full;
  this->fill(needs, update);
  std::string payload = protocol::Encode(update);
  if (needs.takes_compressed && payload.size() >= kMinCompressedBytes) {
    payload = Compress(payload);
  }
  return this->frames[needs] =
             protocol::EncodeFrame(protocol::FrameType::kMessage, payload);
}

const std::string& UpdateEncoder::CommonFrame() {
  if (this->common_frame.empty()) {
    this->common_frame = protocol::EncodeFrame(
        protocol::FrameType::kMessage, protocol::Encode(this->shared_fields));
  }
  return this->common_frame;
}

}  // namespace gooseberryturn::direct
