#include "shard/cancellation_tracker.hpp"

#include <algorithm>

namespace cottonway {

void CancellationTracker::record_stop_sent(const std::string& job, Micros now) {
    auto it = open_.find(job);
    if (it == open_.end() || it->second.first_stop >= 0) return;
    it->second.first_stop = now;
    longest_to_stop_ = std::max(longest_to_stop_, now - it->second.since);
}

void CancellationTracker::finish(const std::string& job, Micros now) {
    auto it = open_.find(job);
    if (it == open_.end()) return;
    const Micros took = now - it->second.since;
    open_.erase(it);
    ++gone_;
    longest_ = std::max(longest_, took);
    const auto bound = std::lower_bound(kBounds.begin(), kBounds.end(), took);
    ++gone_within_[static_cast<std::size_t>(bound - kBounds.begin())];
}

std::vector<std::string> CancellationTracker::take_overdue(Micros now, Micros limit) {
    std::vector<std::string> jobs;
    for (auto& [job, open] : open_) {
        if (open.told || now - open.since <= limit) continue;
        open.told = true;
        jobs.push_back(job);
    }
    return jobs;
}

Json CancellationTracker::to_json(Micros now) const {
    Micros oldest = 0;
    for (const auto& [job, open] : open_) oldest = std::max(oldest, now - open.since);
    Json within = Json::object();
    for (std::size_t i = 0; i < kBounds.size(); ++i)
        within[std::to_string(kBounds[i] / kSecond)] = gone_within_[i];
    within["later"] = gone_within_.back();
    return {{"unfinished", open_.size()},
            {"oldest_unfinished_ms", oldest / kMillisecond},
            {"gone", gone_},
            {"gone_within_s", within},
            {"longest_ms", longest_ / kMillisecond},
            {"longest_to_first_stop_ms", longest_to_stop_ / kMillisecond}};
}

}  // namespace cottonway
