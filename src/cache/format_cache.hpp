#pragma once
// Record formats during a rolling upgrade. A new version writes what the previous version can read and
// preserve, until it is proven that no process of the previous version can come back. Each process of the new
// version announces the format that it reads, under a key that the previous version ignores, and an upgraded
// node is never started with the previous version again. So once every node in the settings has announced a
// format, that stays true.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "protocol/protocol.hpp"

namespace cottonway {

namespace format {
/// Values stored in chunks (kvstore/chunks.hpp), jobs with dependencies (cache/dependency_graph.hpp), and the
/// time at which a job ended in its final record.
constexpr std::uint64_t kChunksAndDependencies = 2;
/// Unfinished jobs under a key of their own, so that a starting process need not read finished jobs
/// (docs/history.md).
constexpr std::uint64_t kSeparateActiveRecords = 3;
constexpr std::uint64_t kNewest = kSeparateActiveRecords;
}  // namespace format

class FormatCache {
  public:
    explicit FormatCache(const Settings& settings) : settings_(settings) {}
    /// Applies a node's announcement. Returns whether all nodes read a newer format by this.
    bool apply(const std::string& node, const Json& value);
    /// Notes that all nodes read this format because another controller has already relied on that. Returns
    /// whether this is new.
    bool raise_common_format(std::uint64_t format);
    /// Returns whether every controller in the settings is proven to read the format.
    bool is_read_by_all(std::uint64_t format) const { return common_format_ >= format; }
    std::uint64_t common_format() const { return common_format_; }
    std::uint64_t format_read_by(const std::string& node) const;
    const std::map<std::string, std::uint64_t>& all() const { return formats_read_; }

  private:
    const Settings& settings_;
    std::map<std::string, std::uint64_t> formats_read_;
    std::uint64_t common_format_ = 0;
};

}  // namespace cottonway
