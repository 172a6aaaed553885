#include "cache/job_view.hpp"

namespace cottonway {

JobView JobView::from_record(const Json& record, Revision mod_revision) {
    JobView view;
    const auto stage = wire::text(record, "s");
    view.stage = stage == "done" ? Stage::Done : stage == "cancelled" ? Stage::Cancelled : Stage::Queued;
    view.tasks = static_cast<int>(wire::count(record, "k").value_or(0));
    view.done = static_cast<int>(wire::count(record, "fd").value_or(0));
    view.running = view.is_final() ? 0 : static_cast<int>(wire::count(record, "fr").value_or(0));
    view.mod_revision = mod_revision;
    view.ended_ms = static_cast<std::int64_t>(wire::count(record, "end").value_or(0));
    return view;
}

JobView JobView::as_cancelled() const {
    JobView view = *this;
    view.stage = Stage::Cancelled;
    view.running = 0;
    return view;
}

bool JobView::is_superseded_by(const JobView& other) const {
    if (mod_revision > other.mod_revision) return false;
    return other.is_final() || !is_final();
}

}  // namespace cottonway
