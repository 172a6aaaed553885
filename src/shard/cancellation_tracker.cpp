#include "shard/cancellation_tracker.hpp"

#include <algorithm>

namespace cottonway {

void CancellationTracker::record_stop_sent(const std::string& job, Micros now) {
    auto it = open_cancellations_.find(job);
    if (it == open_cancellations_.end() || it->second.first_stop >= 0) return;
    it->second.first_stop = now;
    longest_to_first_stop_ = std::max(longest_to_first_stop_, now - it->second.since);
}

void CancellationTracker::finish(const std::string& job, Micros now) {
    auto it = open_cancellations_.find(job);
    if (it == open_cancellations_.end()) return;
    const Micros duration = now - it->second.since;
    open_cancellations_.erase(it);
    ++terminated_count_;
    longest_ = std::max(longest_, duration);
    const auto bound = std::lower_bound(kDurationBounds.begin(), kDurationBounds.end(), duration);
    ++terminated_by_duration_[static_cast<std::size_t>(bound - kDurationBounds.begin())];
}

std::vector<std::string> CancellationTracker::take_overdue(Micros now, Micros limit) {
    std::vector<std::string> jobs;
    for (auto& [job, cancellation] : open_cancellations_) {
        if (cancellation.reported || now - cancellation.since <= limit) continue;
        cancellation.reported = true;
        jobs.push_back(job);
    }
    return jobs;
}

Json CancellationTracker::to_json(Micros now) const {
    Micros oldest = 0;
    for (const auto& [job, cancellation] : open_cancellations_)
        oldest = std::max(oldest, now - cancellation.since);
    Json counts = Json::object();
    for (std::size_t i = 0; i < kDurationBounds.size(); ++i)
        counts[std::to_string(kDurationBounds[i] / kSecond)] = terminated_by_duration_[i];
    counts["later"] = terminated_by_duration_.back();
    return {{"unfinished", open_cancellations_.size()},
            {"oldest_unfinished_ms", oldest / kMillisecond},
            {"gone", terminated_count_},
            {"gone_within_s", counts},
            {"longest_ms", longest_ / kMillisecond},
            {"longest_to_first_stop_ms", longest_to_first_stop_ / kMillisecond}};
}

}  // namespace cottonway
