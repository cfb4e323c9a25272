#include "gooseberryturn/core/id.h"

#include <xxhash.h>

#include <cstdio>
#include <random>

#include "gooseberryturn/core/stream_digest.h"

namespace gooseberryturn {

namespace {

std::string Hex(std::uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(value));  // NOLINT
  return text;
}

std::string Hex(const XXH128_hash_t& hash) {
  return Hex(hash.high64) + Hex(hash.low64);
}

}  // namespace

std::uint64_t RandomId() {
  thread_local std::mt19937_64 engine(
      (static_cast<std::uint64_t>(std::random_device()()) << 32U) ^
      std::random_device()());
  std::uint64_t value = 0;
  while (value == 0) {
    value = engine();
  }
  return value;
}

std::string RandomHexId() { return Hex(RandomId()); }

std::string Digest(std::string_view bytes) {
  return Hex(XXH3_128bits(bytes.data(), bytes.size()));
}

StreamDigest::StreamDigest() : state(XXH3_createState(), XXH3_freeState) {
  XXH3_128bits_reset(this->state.get());
}

void StreamDigest::Update(std::string_view bytes) noexcept {
  XXH3_128bits_update(this->state.get(), bytes.data(), bytes.size());
}

std::string StreamDigest::Hex() const {
  return gooseberryturn::Hex(XXH3_128bits_digest(this->state.get()));
}

}  // namespace gooseberryturn
