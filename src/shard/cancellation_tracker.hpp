#pragma once
// Measures how long the tasks of cancelled jobs take to terminate, from when the shard's owner learned of the
// cancellation.

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/units.hpp"
#include "protocol/protocol.hpp"

namespace cottonway {

class CancellationTracker {
  public:
    /// Starts to measure a cancelled job that has tasks on machines, or tasks that may still start.
    void start(const std::string& job, Micros now) {
        open_cancellations_.try_emplace(job, OpenCancellation{now, -1, false});
    }
    /// Records that a stop was sent to a task of the job. Only the first one counts.
    void record_stop_sent(const std::string& job, Micros now);
    /// Ends the measurement: the last task of the job is confirmed terminated.
    void finish(const std::string& job, Micros now);
    /// Returns the jobs that have been unfinished for longer than `limit`; each job is returned only once.
    std::vector<std::string> take_overdue(Micros now, Micros limit);
    Json to_json(Micros now) const;

  private:
    struct OpenCancellation {
        Micros since = 0;
        Micros first_stop = -1;  // -1: none sent yet
        bool reported = false;
    };
    static constexpr std::array<Micros, 7> kDurationBounds{
        kSecond, 3 * kSecond, 8 * kSecond, 15 * kSecond, 30 * kSecond, 45 * kSecond, 60 * kSecond};

    std::map<std::string, OpenCancellation> open_cancellations_;
    std::array<std::uint64_t, kDurationBounds.size() + 1>
        terminated_by_duration_{};  // by upper bound; the last element counts those above all bounds
    std::uint64_t terminated_count_ = 0;
    Micros longest_ = 0;
    Micros longest_to_first_stop_ = 0;
};

}  // namespace cottonway
