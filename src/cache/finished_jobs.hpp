#pragma once
// Bounded cache of the jobs that finished most recently.

#include <cstddef>
#include <string>

#include "base/recency_map.hpp"
#include "cache/job_view.hpp"

namespace cottonway {

/// If a job is absent nothing is known of it; it does not mean that the job is unfinished.
class FinishedJobs {
  public:
    static constexpr std::size_t kDefaultCapacity = 20'000;

    explicit FinishedJobs(std::size_t capacity = kDefaultCapacity) : capacity_(capacity) {}

    /// Keeps the newest view of a job. Beyond the capacity the views that were stored longest ago are
    /// evicted.
    void remember(const std::string& ref, const JobView& view);
    const JobView* find(const std::string& ref) const { return views_.find(ref); }
    void forget(const std::string& ref) { views_.erase(ref); }
    std::size_t size() const { return views_.size(); }

    /// Declares that no record older than this revision will be received any more. Newer views are kept
    /// beyond the capacity: without them an older record of the same job would be taken for a new one.
    void set_watermark(Revision watermark);

  private:
    void evict(std::size_t max_visited);

    std::size_t capacity_;
    Revision watermark_ = 0;
    RecencyMap<JobView> views_;
};

}  // namespace cottonway
