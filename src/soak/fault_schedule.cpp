#include "soak/fault_schedule.hpp"

#include <algorithm>
#include <random>

namespace cottonway::soak {

namespace {

constexpr Micros kShortestFault = kSecond;
constexpr Micros kLongestFault = 8 * kSecond;
constexpr Micros kLongestPauseBetweenGroups = 3 * kSecond;
constexpr Micros kLongestOffsetInGroup = kSecond;

class Random {
  public:
    explicit Random(std::uint64_t seed) : engine_(seed) {}
    Micros between(Micros least, Micros most) {
        return least + static_cast<Micros>(engine_() % static_cast<std::uint64_t>(most - least + 1));
    }
    int below(int n) { return static_cast<int>(engine_() % static_cast<std::uint64_t>(n)); }

  private:
    std::mt19937_64 engine_;
};

}  // namespace

const char* name_of(FaultKind kind) {
    switch (kind) {
        case FaultKind::KillController:
            return "kill_controller";
        case FaultKind::PauseController:
            return "pause_controller";
        case FaultKind::StoreOutage:
            return "store_outage";
        case FaultKind::StoreRefusesController:
            return "store_refuses_controller";
        case FaultKind::CutFromStore:
            return "cut_from_store";
        case FaultKind::CutFromPeers:
            return "cut_from_peers";
        case FaultKind::CutFromWorkers:
            return "cut_from_workers";
        case FaultKind::LoseCommands:
            return "lose_commands";
        case FaultKind::DelayCommands:
            return "delay_commands";
        case FaultKind::LoseAnswers:
            return "lose_answers";
        case FaultKind::LoseCommits:
            return "lose_commits";
        case FaultKind::DelayCommits:
            return "delay_commits";
        case FaultKind::CancelJobs:
            return "cancel_jobs";
    }
    return "?";
}

std::vector<Fault> generate_faults(std::uint64_t seed, int controllers, Micros from, Micros until) {
    Random random(seed);
    std::vector<Fault> faults;
    Micros group = from;
    while (group + kShortestFault < until) {
        const int overlapping = 2 + random.below(2);
        for (int i = 0; i < overlapping; ++i) {
            Fault fault;
            fault.starts_at =
                std::min(group + random.between(0, kLongestOffsetInGroup), until - kShortestFault);
            fault.duration = std::min(random.between(kShortestFault, kLongestFault), until - fault.starts_at);
            fault.kind = static_cast<FaultKind>(random.below(kFaultKindCount));
            fault.controller = random.below(controllers);
            faults.push_back(fault);
        }
        // Cancellations meet every group of faults.
        faults.push_back({std::min(group + random.between(0, 2 * kLongestOffsetInGroup), until), 0,
                          FaultKind::CancelJobs, 0});
        group += random.between(kShortestFault, kLongestPauseBetweenGroups) + kLongestOffsetInGroup;
    }
    std::stable_sort(faults.begin(), faults.end(),
                     [](const Fault& a, const Fault& b) { return a.starts_at < b.starts_at; });
    return faults;
}

std::string describe(const Fault& fault) {
    return std::string("event=fault kind=") + name_of(fault.kind) +
           " controller=" + std::to_string(fault.controller) +
           " for_ms=" + std::to_string(fault.duration / kMillisecond);
}

}  // namespace cottonway::soak
