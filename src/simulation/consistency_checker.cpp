#include "simulation/consistency_checker.hpp"

#include <fmt/format.h>

namespace cottonway::simulation {

std::vector<std::string> ConsistencyChecker::check_answer(const std::string& ref, const Answer& answer,
                                                          const ActualState& actual) {
    std::vector<std::string> violations;
    auto add_violation = [&](const char* rule, const std::string& what) {
        violations.push_back(fmt::format("{}: {} {}", rule, ref, what));
    };
    const std::uint64_t now = ++moment_;
    Job& job = jobs_[ref];
    const auto known_before_request = [&](std::uint64_t moment) {
        return moment > 0 && moment < answer.request_moment;
    };
    const bool was_accepted = known_before_request(job.accepted);
    const bool was_done = known_before_request(job.done), was_cancelled = known_before_request(job.cancelled);
    ++answers_;
    answers_after_acceptance_ += was_accepted;
    answers_after_end_ += was_done || was_cancelled;
    const bool refused =
        answer.request == RequestKind::Submission && (answer.status == 400 || answer.status == 422);
    // A job that no answer has mentioned can't be forgotten, but one that can run must not be refused either.
    if (refused && (was_accepted || answer.acceptable))
        add_violation("forgotten", fmt::format("was answered {}", answer.status));
    if (answer.status == 404 && answer.request != RequestKind::Submission && was_accepted)
        add_violation("forgotten", "was answered 404");
    if (answer.status != 200 && answer.status != 201) return violations;

    if (answer.request == RequestKind::Submission &&
        (answer.status == 201 ? !answer.acceptable : !actual.submitted))
        add_violation("accepted_wrong", "can't run, or lacks a field, and was accepted");
    else if (!actual.submitted)
        add_violation("invented", "was submitted by nobody and is called " + answer.stage);
    if (answer.status == 201 && (answer.request != RequestKind::Submission || was_accepted))
        add_violation("repeated", "was accepted before and is answered 201");
    const bool is_over = answer.stage == "done" || answer.stage == "cancelled";
    if (!is_over && (answer.request == RequestKind::Cancellation ||
                     (answer.stage != "pending" && answer.stage != "running")))
        add_violation("no_answer", "is called '" + answer.stage + "'");
    if (was_done && answer.stage != "done")
        add_violation("went_back", "was done and is now called " + answer.stage);
    if (was_cancelled && answer.stage != "cancelled")
        add_violation("went_back", "was cancelled and is now called " + answer.stage);
    if (answer.stage == "done" && !actual.complete) add_violation("not_done", "is called done");
    if (answer.stage == "cancelled" && !actual.cancel_requested)
        add_violation("went_back", "was cancelled by nobody");
    const auto set_if_first = [now](std::uint64_t& moment) {
        if (moment == 0) moment = now;
    };
    set_if_first(job.accepted);
    if (answer.stage == "done") set_if_first(job.done);
    if (answer.stage == "cancelled") set_if_first(job.cancelled);
    return violations;
}

}  // namespace cottonway::simulation
