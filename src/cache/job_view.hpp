#pragma once
// Summary of a job for answers to users.

#include <cstdint>

#include "kvstore/records.hpp"

namespace cottonway {

/// Summary of a job's record: enough to answer a poll once the cache is confirmed to be up to date.
struct JobView {
    Stage stage = Stage::Queued;
    int tasks = 0;
    int done = 0;
    int running = 0;
    Revision mod_revision = 0;
    std::int64_t ended_ms = 0;  // wall-clock time, 0: not in its record

    static JobView from_record(const Json& record, Revision mod_revision);
    /// Returns the view that users get once a dependency of the job is cancelled, whatever its own record
    /// says.
    JobView as_cancelled() const;
    bool is_final() const { return stage != Stage::Queued; }
    /// Returns whether another view of the same job replaces this one: an older view never does, and a final
    /// one is replaced only by a final one.
    bool is_superseded_by(const JobView& other) const;
};

}  // namespace cottonway
