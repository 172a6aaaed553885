#include "cache/format_cache.hpp"

#include <algorithm>

namespace cottonway {

std::uint64_t FormatCache::format_read_by(const std::string& node) const {
    auto it = formats_read_.find(node);
    return it == formats_read_.end() ? 0 : it->second;
}

bool FormatCache::apply(const std::string& node, const Json& value) {
    auto& format_read = formats_read_[node];
    format_read = std::max(format_read, wire::count(value, "reads").value_or(0));
    std::uint64_t oldest_format = std::min(format_read_by(settings_.node), format::kNewest);
    for (const auto& peer : settings_.peers)
        oldest_format = std::min(oldest_format, format_read_by(peer.name));
    return raise_common_format(oldest_format);
}

bool FormatCache::raise_common_format(std::uint64_t format) {
    if (format <= common_format_) return false;
    common_format_ = format;
    return true;
}

}  // namespace cottonway
