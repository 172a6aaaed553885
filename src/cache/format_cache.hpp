#pragma once
// What versions read and write. A new version writes what the one before reads and keeps, until it is proven
// that no process of that can come back: each process of the new one says so under a key that the old one
// ignores, and a node that has been brought up to date is never started with the old version again. So once
// every node that the settings name has said so, it is true for good.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "protocol/protocol.hpp"

namespace cottonway {

namespace format {
/// Values in pieces (state/pieces.hpp), jobs that need others (replica/pipelines.hpp), and the time at which
/// a job ended in its final record.
constexpr std::uint64_t kChunksAndDependencies = 2;
/// Jobs that are not over under a key of their own, so that history need not be read (docs/history.md).
constexpr std::uint64_t kSeparateActiveRecords = 3;
constexpr std::uint64_t kNewest = kSeparateActiveRecords;
}  // namespace format

class FormatCache {
  public:
    explicit FormatCache(const Settings& settings) : settings_(settings) {}
    /// True if more has become common knowledge by this.
    bool apply(const std::string& node, const Json& value);
    /// Somebody has proven that much before, and rests on it. True if it is news.
    bool raise_common_format(std::uint64_t format);
    /// What every controller that the settings name is proven to read.
    bool is_read_by_all(std::uint64_t format) const { return common_ >= format; }
    std::uint64_t common_format() const { return common_; }
    std::uint64_t format_read_by(const std::string& node) const;
    const std::map<std::string, std::uint64_t>& all() const { return reads_; }

  private:
    const Settings& settings_;
    std::map<std::string, std::uint64_t> reads_;
    std::uint64_t common_ = 0;
};

}  // namespace cottonway
