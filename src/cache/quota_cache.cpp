#include "cache/quota_cache.hpp"

#include <algorithm>

namespace cottonway {

void QuotaCache::take(const std::string& shard, const Json* value, Revision mod_revision) {
    Stored& s = stored_[shard];
    if (value && mod_revision > s.mod_revision) s = {parse_quota(*value), mod_revision};
}

const QuotaCache::Stored* QuotaCache::find(const std::string& shard) const {
    auto it = stored_.find(shard);
    return it == stored_.end() ? nullptr : &it->second;
}

Resources QuotaCache::shared_out(const std::string& team) const {
    Resources sum;
    for (const auto& [name, s] : stored_)
        if (auto part = s.shares.find(team); part != s.shares.end()) sum += part->second;
    return sum;
}

Resources QuotaCache::part(const std::string& shard, const std::string& team) const {
    const auto limited =
        std::find_if(teams_.begin(), teams_.end(), [&](const Team& t) { return t.name == team; });
    if (limited == teams_.end()) return {};
    Resources ours;
    if (const Stored* stored = find(shard)) {
        if (auto held = stored->shares.find(team); held != stored->shares.end()) ours = held->second;
        if (auto giving = giving_.find(shard); giving != giving_.end())
            if (auto g = giving->second.find(team); g != giving->second.end()) ours -= g->second;
    }
    const Resources sum = shared_out(team);
    auto scale = [](Milli part_of, Milli limit, Milli total) {
        if (limit == kNoLimit) return kNoLimit;
        return total > limit ? static_cast<Milli>(static_cast<double>(part_of) * static_cast<double>(limit) /
                                                  static_cast<double>(total))
                             : part_of;
    };
    return {scale(ours.cores, limited->limit.cores, sum.cores),
            scale(ours.gpus, limited->limit.gpus, sum.gpus), 0};
}

void QuotaCache::giving(const std::string& from, const std::string& to, const std::string& team,
                        const Resources& amount) {
    busy_.insert(from);
    busy_.insert(to);
    giving_[from][team] = amount;
}

void QuotaCache::given(const std::string& from, const std::string& to) {
    giving_.erase(from);
    busy_.erase(from);
    busy_.erase(to);
}

}  // namespace cottonway
