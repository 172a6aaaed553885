#include "cache/format_cache.hpp"

#include <algorithm>

namespace cottonway {

std::uint64_t FormatCache::format_read_by(const std::string& node) const {
    auto it = reads_.find(node);
    return it == reads_.end() ? 0 : it->second;
}

bool FormatCache::apply(const std::string& node, const Json& value) {
    auto& reads = reads_[node];
    reads = std::max(reads, wire::count(value, "reads").value_or(0));
    std::uint64_t least = std::min(format_read_by(settings_.node), format::kNewest);
    for (const auto& p : settings_.peers) least = std::min(least, format_read_by(p.name));
    return raise_common_format(least);
}

bool FormatCache::raise_common_format(std::uint64_t format) {
    if (format <= common_) return false;
    common_ = format;
    return true;
}

}  // namespace cottonway
