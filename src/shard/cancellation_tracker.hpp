#pragma once
// How long the tasks of cancelled jobs take to be gone, from when their holder knew of the cancellation.

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
    /// A cancelled job has tasks on machines, or that may still start.
    void start(const std::string& job, Micros now) { open_.try_emplace(job, Open{now, -1, false}); }
    void record_stop_sent(const std::string& job, Micros now);
    /// The last of its tasks is proven gone.
    void finish(const std::string& job, Micros now);
    /// Jobs that have been unfinished for longer than `limit`, each told once.
    std::vector<std::string> take_overdue(Micros now, Micros limit);
    Json to_json(Micros now) const;

  private:
    struct Open {
        Micros since = 0;
        Micros first_stop = -1;  // -1: none sent yet
        bool told = false;
    };
    static constexpr std::array<Micros, 7> kBounds{kSecond,      3 * kSecond,  8 * kSecond, 15 * kSecond,
                                                   30 * kSecond, 45 * kSecond, 60 * kSecond};

    std::map<std::string, Open> open_;
    std::array<std::uint64_t, kBounds.size() + 1> gone_within_{};  // the last: later
    std::uint64_t gone_ = 0;
    Micros longest_ = 0;
    Micros longest_to_stop_ = 0;
};

}  // namespace cottonway
