#pragma once
// What users are told of their jobs, by whatever node, judged as the operators do: in the order of real time,
// no answer to a request that was begun after another answer had been received may be older than that one.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cottonway::simulation {

enum class RequestKind { State, Submission, Cancellation };

/// What is true of a job when an answer about it arrives, whatever the controllers say.
struct ActualState {
    bool submitted = false;  // in a form in which it may be accepted
    bool cancel_requested = false;
    bool complete = false;  // all its tasks are
};

struct Answer {
    RequestKind request = RequestKind::State;
    std::uint64_t request_moment = 0;  // the request: see ConsistencyChecker::begin
    int status = 0;
    std::string stage;
    /// Of a submission: whether what was sent may be accepted.
    bool acceptable = true;
};

class ConsistencyChecker {
  public:
    /// A moment later than all before, for a request that begins now.
    std::uint64_t begin_request() { return ++moment_; }
    /// Remembers an answer that arrives now. A line "rule: what" for each rule that it breaks.
    std::vector<std::string> check_answer(const std::string& ref, const Answer& answer,
                                          const ActualState& truth);
    /// Answers so far, to compare a run's number of them with what it should at least be; those about jobs
    /// that were known to be accepted, and to be over, when they were asked for.
    std::size_t answers() const { return heard_; }
    std::size_t answers_after_acceptance() const { return after_acceptance_; }
    std::size_t answers_after_end() const { return after_end_; }

  private:
    /// When it was first heard, 0: not yet.
    struct Job {
        std::uint64_t accepted = 0, done = 0, cancelled = 0;
    };
    std::map<std::string, Job> jobs_;
    std::uint64_t moment_ = 0;
    std::size_t heard_ = 0, after_acceptance_ = 0, after_end_ = 0;
};

}  // namespace cottonway::simulation
