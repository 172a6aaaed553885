#include "cache/finished_jobs.hpp"

namespace cottonway {

namespace {
constexpr std::size_t kMaxVisitedPerInsertion =
    4;  // more than one, so that the size shrinks back to the capacity
}  // namespace

void FinishedJobs::remember(const std::string& ref, const JobView& view) {
    if (const JobView* known = views_.find(ref); known && !known->is_superseded_by(view)) return;
    views_.put(ref, view);
    evict(kMaxVisitedPerInsertion);
}

void FinishedJobs::set_watermark(Revision watermark) {
    if (watermark <= watermark_) return;
    watermark_ = watermark;
    evict(views_.size());
}

void FinishedJobs::evict(std::size_t max_visited) {
    for (; max_visited > 0 && views_.size() > capacity_; --max_visited) {
        const auto& [name, view] = views_.oldest();
        const std::string ref = name;
        if (view.mod_revision > watermark_)
            views_.touch(ref);
        else
            views_.erase(ref);
    }
}

}  // namespace cottonway
