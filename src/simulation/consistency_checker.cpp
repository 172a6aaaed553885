#include "simulation/consistency_checker.hpp"

#include <fmt/format.h>

namespace cottonway::simulation {

std::vector<std::string> ConsistencyChecker::check_answer(const std::string& ref, const Answer& a,
                                                          const ActualState& truth) {
    std::vector<std::string> broken;
    auto breach = [&](const char* rule, const std::string& what) {
        broken.push_back(fmt::format("{}: {} {}", rule, ref, what));
    };
    const std::uint64_t now = ++moment_;
    Job& job = jobs_[ref];
    const auto before = [&](std::uint64_t moment) { return moment > 0 && moment < a.request_moment; };
    const bool known = before(job.accepted);
    const bool was_done = before(job.done), was_cancelled = before(job.cancelled);
    ++heard_;
    after_acceptance_ += known;
    after_end_ += was_done || was_cancelled;
    const bool refused = a.request == RequestKind::Submission && (a.status == 400 || a.status == 422);
    // What was never told is nobody's to forget, but what can run must not be refused either.
    if (refused && (known || a.acceptable)) breach("forgotten", fmt::format("was answered {}", a.status));
    if (a.status == 404 && a.request != RequestKind::Submission && known)
        breach("forgotten", "was answered 404");
    if (a.status != 200 && a.status != 201) return broken;

    if (a.request == RequestKind::Submission && (a.status == 201 ? !a.acceptable : !truth.submitted))
        breach("accepted_wrong", "can't run, or lacks a field, and was accepted");
    else if (!truth.submitted)
        breach("invented", "was submitted by nobody and is called " + a.stage);
    if (a.status == 201 && (a.request != RequestKind::Submission || known))
        breach("repeated", "was accepted before and is answered 201");
    const bool over = a.stage == "done" || a.stage == "cancelled";
    if (!over && (a.request == RequestKind::Cancellation || (a.stage != "pending" && a.stage != "running")))
        breach("no_answer", "is called '" + a.stage + "'");
    if (was_done && a.stage != "done") breach("went_back", "was done and is now called " + a.stage);
    if (was_cancelled && a.stage != "cancelled")
        breach("went_back", "was cancelled and is now called " + a.stage);
    if (a.stage == "done" && !truth.complete) breach("not_done", "is called done");
    if (a.stage == "cancelled" && !truth.cancel_requested) breach("went_back", "was cancelled by nobody");
    const auto first = [now](std::uint64_t& moment) {
        if (moment == 0) moment = now;
    };
    first(job.accepted);
    if (a.stage == "done") first(job.done);
    if (a.stage == "cancelled") first(job.cancelled);
    return broken;
}

}  // namespace cottonway::simulation
