#include "soak/fault_schedule.hpp"

#include <algorithm>
#include <random>

namespace cottonway::soak {

namespace {

constexpr Micros kMinFaultDuration = kSecond;
constexpr Micros kMaxFaultDuration = 8 * kSecond;
constexpr Micros kMaxGroupInterval = 3 * kSecond;
constexpr Micros kMaxOffsetInGroup = kSecond;

class Random {
  public:
    explicit Random(std::uint64_t seed) : engine_(seed) {}
    Micros between(Micros min, Micros max) {
        return min + static_cast<Micros>(engine_() % static_cast<std::uint64_t>(max - min + 1));
    }
    int below(int limit) { return static_cast<int>(engine_() % static_cast<std::uint64_t>(limit)); }

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
    Micros group_start = from;
    while (group_start + kMinFaultDuration < until) {
        const int faults_in_group = 2 + random.below(2);
        for (int i = 0; i < faults_in_group; ++i) {
            Fault fault;
            fault.starts_at =
                std::min(group_start + random.between(0, kMaxOffsetInGroup), until - kMinFaultDuration);
            fault.duration =
                std::min(random.between(kMinFaultDuration, kMaxFaultDuration), until - fault.starts_at);
            fault.kind = static_cast<FaultKind>(random.below(kFaultKindCount));
            fault.controller = random.below(controllers);
            faults.push_back(fault);
        }
        // Every group of faults includes cancellations.
        faults.push_back({std::min(group_start + random.between(0, 2 * kMaxOffsetInGroup), until), 0,
                          FaultKind::CancelJobs, 0});
        group_start += random.between(kMinFaultDuration, kMaxGroupInterval) + kMaxOffsetInGroup;
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
