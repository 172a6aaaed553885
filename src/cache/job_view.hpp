#pragma once
// What is told of a job when it is asked after.

#include <cstdint>

#include "kvstore/records.hpp"

namespace cottonway {

/// What is known of a job's record: enough to answer a poll once its revision is confirmed.
struct JobView {
    Stage stage = Stage::Queued;
    int tasks = 0;
    int done = 0;
    int running = 0;
    Revision mod_revision = 0;
    std::int64_t ended_ms = 0;  // by the time of day, if its record tells

    static JobView from_record(const Json& record, Revision mod_revision);
    /// What users are told of it once one before it is cancelled, whatever its record says.
    JobView as_cancelled() const;
    bool is_final() const { return stage != Stage::Queued; }
    /// Whether another view of the same job takes its place: never an older one, and what is final stays so.
    bool is_superseded_by(const JobView& other) const;
};

}  // namespace cottonway
