#ifndef GOOSEBERRYTURN_DIRECT_CONFIGURATION_TEXT_H_
#define GOOSEBERRYTURN_DIRECT_CONFIGURATION_TEXT_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <msgpack.hpp>
#include <string>

#include "gooseberryturn/core/error.h"

namespace gooseberryturn::direct {

/// \brief Longest text of a configuration, bytes.
inline constexpr std::size_t kMaxConfigurationBytes = 8U * 1024U * 1024U;

/// \brief A configuration as operators sent it.
struct ConfigurationText {
  std::uint64_t version = 0;  ///< 0 for none.
  std::string text;
};

/// \brief A configuration text, compressed against an older version.
struct ConfigurationPatch {
  std::uint64_t base_version = 0;  ///< 0: the whole text.
  std::uint64_t version = 0;       ///< 0: no patch.
  std::string digest;              ///< Of the whole text.
  std::string frame;               ///< See Compress.

  MSGPACK_DEFINE(base_version, version, digest, frame)
};

/// \brief Makes `patch` on top of `held`.
/// \returns kBadRequest if `held` is not the patch's base, if the frame is
/// damaged, or if the result doesn't have the patch's digest; the whole text
/// must then be asked for.
[[nodiscard]] Result<ConfigurationText> ApplyPatch(
    const ConfigurationPatch& patch, const ConfigurationText& held);

/// \brief The newest configuration and some before it, from which the leader
/// sends each follower what it lacks.
///
/// \details Answers configurations of thousands of routes that change in quick
/// succession: a patch is made once for each base, not for each follower, and
/// its size goes with the change.
class ConfigurationHistory {
 public:
  /// \brief Adds a version; ignored unless it is newer than all others.
  void Record(std::uint64_t version, const std::string& text);
  /// \brief Patch from `base_version` to the newest version; the whole text if
  /// that version is unknown or no longer kept. Valid until the next Record.
  [[nodiscard]] const ConfigurationPatch& PatchFrom(std::uint64_t base_version);

  /// Older versions are dropped beyond either bound; the newest is always kept.
  static constexpr std::size_t kMaxVersions = 16;
  static constexpr std::size_t kMaxBytes = 4U * 1024U * 1024U;

 private:
  std::list<ConfigurationText> versions;                ///< Oldest first.
  std::size_t bytes = 0;                                ///< Of all texts.
  std::map<std::uint64_t, ConfigurationPatch> patches;  ///< By base version.
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_CONFIGURATION_TEXT_H_
