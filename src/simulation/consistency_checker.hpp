#pragma once
// Checks the answers that users get about their jobs from any node, as operators would: in real time, no
// answer to a request that began after another answer had been received may be older than that answer.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cottonway::simulation {

enum class RequestKind { State, Submission, Cancellation };

/// The actual state of a job when an answer about it arrives, whatever the controllers say.
struct ActualState {
    bool submitted = false;  // in a form that may be accepted
    bool cancel_requested = false;
    bool complete = false;  // all tasks are
};

struct Answer {
    RequestKind request = RequestKind::State;
    std::uint64_t request_moment = 0;  // see ConsistencyChecker::begin_request
    int status = 0;
    std::string stage;
    /// For a submission: true if it may be accepted.
    bool acceptable = true;
};

class ConsistencyChecker {
  public:
    /// Returns a logical time later than all before, for a request that begins now.
    std::uint64_t begin_request() { return ++moment_; }
    /// Records an answer that arrives now. Returns a line "rule: what happened" for each rule that it breaks.
    std::vector<std::string> check_answer(const std::string& ref, const Answer& answer,
                                          const ActualState& actual);
    /// The number of answers so far: all of them, those about jobs that were known to be accepted when the
    /// request began, and those about jobs that were known to be over by then. Tests compare them with the
    /// least that they expect.
    std::size_t answers() const { return answers_; }
    std::size_t answers_after_acceptance() const { return answers_after_acceptance_; }
    std::size_t answers_after_end() const { return answers_after_end_; }

  private:
    /// Logical times of the first answer that reported each state, 0: none yet.
    struct Job {
        std::uint64_t accepted = 0, done = 0, cancelled = 0;
    };
    std::map<std::string, Job> jobs_;
    std::uint64_t moment_ = 0;
    std::size_t answers_ = 0, answers_after_acceptance_ = 0, answers_after_end_ = 0;
};

}  // namespace cottonway::simulation
