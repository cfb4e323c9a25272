#include "gooseberryturn/direct/configuration_text.h"

#include <algorithm>
#include <utility>

#include "gooseberryturn/core/compression.h"
#include "gooseberryturn/core/id.h"

namespace gooseberryturn::direct {

namespace {

tl::unexpected<Error> PatchError(const ConfigurationPatch& patch,
                                 const std::string& why) {
  return tl::make_unexpected(Error{
      Reason::kBadRequest, Step::kDocument, Outcome::kNotRun, std::string(),
      "configuration " + std::to_string(patch.version) + ": " + why});
}

}  // namespace

Result<ConfigurationText> ApplyPatch(const ConfigurationPatch& patch,
                                     const ConfigurationText& held) {
  const bool is_whole = patch.base_version == 0;
  if (!is_whole && patch.base_version != held.version) {
    return PatchError(patch, "a patch on version " +
                                 std::to_string(patch.base_version) +
                                 ", but version " +
                                 std::to_string(held.version) + " is held");
  }
  Result<std::string> text =
      Decompress(patch.frame, kMaxConfigurationBytes,
                 is_whole ? std::string_view() : held.text);
  if (!text.has_value()) {
    return PatchError(patch, text.error().message);
  }
  if (Digest(*text) != patch.digest) {
    return PatchError(patch, "the digest does not fit");
  }
  return ConfigurationText{patch.version, std::move(*text)};
}

void ConfigurationHistory::Record(std::uint64_t version,
                                  const std::string& text) {
  const std::uint64_t last =
      this->versions.empty() ? 0 : this->versions.back().version;
  if (version <= last) {
    return;
  }
  this->patches.clear();
  this->versions.push_back({version, text});
  this->bytes += text.size();
  while (this->versions.size() > 1 &&
         (this->versions.size() > kMaxVersions || this->bytes > kMaxBytes)) {
    this->bytes -= this->versions.front().text.size();
    this->versions.pop_front();
  }
}

const ConfigurationPatch& ConfigurationHistory::PatchFrom(
    std::uint64_t base_version) {
  const auto base = std::find_if(this->versions.begin(), this->versions.end(),
                                 [base_version](const ConfigurationText& kept) {
                                   return kept.version == base_version;
                                 });
  const bool is_whole = base == this->versions.end();
  ConfigurationPatch& patch = this->patches[is_whole ? 0 : base_version];
  if (patch.version == 0 && !this->versions.empty()) {
    const ConfigurationText& newest = this->versions.back();
    patch.base_version = is_whole ? 0 : base_version;
    patch.version = newest.version;
    patch.digest = Digest(newest.text);
    patch.frame =
        Compress(newest.text,
                 is_whole ? std::string_view() : std::string_view(base->text));
  }
  return patch;
}

}  // namespace gooseberryturn::direct
