#pragma once
// The latest jobs that are known to be over, up to a number of them.

#include <cstddef>
#include <string>

#include "base/recency_map.hpp"
#include "cache/job_view.hpp"

namespace cottonway {

/// Absence means that nothing is known of a job, never that it goes on.
class FinishedJobs {
  public:
    static constexpr std::size_t kDefaultCapacity = 20'000;

    explicit FinishedJobs(std::size_t capacity = kDefaultCapacity) : capacity_(capacity) {}

    /// Keeps the newest view of a job. The views remembered longest ago are dropped beyond the capacity.
    void remember(const std::string& ref, const JobView& view);
    const JobView* find(const std::string& ref) const { return views_.find(ref); }
    void forget(const std::string& ref) { views_.erase(ref); }
    std::size_t size() const { return views_.size(); }

    /// No record as of before this revision will be heard of any more. Newer views are kept beyond the
    /// capacity: without them an older record of the same job would count as new.
    void set_watermark(Revision watermark);

  private:
    void evict(std::size_t most_visited);

    std::size_t capacity_;
    Revision watermark_ = 0;
    RecencyMap<JobView> views_;
};

}  // namespace cottonway
