#include "cache/job_view.hpp"

namespace cottonway {

JobView JobView::from_record(const Json& record, Revision mod_revision) {
    JobView v;
    const auto stage = wire::text(record, "s");
    v.stage = stage == "done" ? Stage::Done : stage == "cancelled" ? Stage::Cancelled : Stage::Queued;
    v.tasks = static_cast<int>(wire::count(record, "k").value_or(0));
    v.done = static_cast<int>(wire::count(record, "fd").value_or(0));
    v.running = v.is_final() ? 0 : static_cast<int>(wire::count(record, "fr").value_or(0));
    v.mod_revision = mod_revision;
    v.ended_ms = static_cast<std::int64_t>(wire::count(record, "end").value_or(0));
    return v;
}

JobView JobView::as_cancelled() const {
    JobView v = *this;
    v.stage = Stage::Cancelled;
    v.running = 0;
    return v;
}

bool JobView::is_superseded_by(const JobView& other) const {
    if (mod_revision > other.mod_revision) return false;
    return other.is_final() || !is_final();
}

}  // namespace cottonway
