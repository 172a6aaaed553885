#include "cache/quota_cache.hpp"

#include <algorithm>

namespace cottonway {

void QuotaCache::apply(const std::string& shard, const Json* value, Revision mod_revision) {
    Stored& stored = allocations_[shard];
    if (value && mod_revision > stored.mod_revision) stored = {parse_quota(*value), mod_revision};
}

const QuotaCache::Stored* QuotaCache::find(const std::string& shard) const {
    auto it = allocations_.find(shard);
    return it == allocations_.end() ? nullptr : &it->second;
}

Resources QuotaCache::total_allocated(const std::string& team) const {
    Resources sum;
    for (const auto& [name, stored] : allocations_)
        if (auto allocated = stored.allocation.find(team); allocated != stored.allocation.end())
            sum += allocated->second;
    return sum;
}

Resources QuotaCache::available_quota(const std::string& shard, const std::string& team) const {
    const auto team_settings = std::find_if(teams_.begin(), teams_.end(),
                                            [&](const Team& candidate) { return candidate.name == team; });
    if (team_settings == teams_.end()) return {};
    Resources available;
    if (const Stored* stored = find(shard)) {
        if (auto allocated = stored->allocation.find(team); allocated != stored->allocation.end())
            available = allocated->second;
        if (auto transfers = outgoing_.find(shard); transfers != outgoing_.end())
            if (auto amount = transfers->second.find(team); amount != transfers->second.end())
                available -= amount->second;
    }
    const Resources sum = total_allocated(team);
    auto scale = [](Milli allocated_amount, Milli limit, Milli total) {
        if (limit == kNoLimit) return kNoLimit;
        return total > limit ? static_cast<Milli>(static_cast<double>(allocated_amount) *
                                                  static_cast<double>(limit) / static_cast<double>(total))
                             : allocated_amount;
    };
    return {scale(available.cores, team_settings->limit.cores, sum.cores),
            scale(available.gpus, team_settings->limit.gpus, sum.gpus), 0};
}

void QuotaCache::begin_transfer(const std::string& from, const std::string& to, const std::string& team,
                                const Resources& amount) {
    in_transfer_.insert(from);
    in_transfer_.insert(to);
    outgoing_[from][team] = amount;
}

void QuotaCache::end_transfer(const std::string& from, const std::string& to) {
    outgoing_.erase(from);
    in_transfer_.erase(from);
    in_transfer_.erase(to);
}

}  // namespace cottonway
