// Case 6: wide arrays take a controller over its memory limit, and every controller that takes over after it.

#include <algorithm>

#include "cases.hpp"

namespace review {

namespace {

constexpr double kEnd = 117, kFirstArrayAt = 6, kArrayInterval = 3;
constexpr int kArrays = 4, kBurst = 2, kServices = 10;
constexpr double kRestartDelay = 6;
constexpr Micros kLongestGap = 45 * kSecond;

class MemoryCase : public Stage {
  public:
    MemoryCase(const std::string& record, const std::string& run_command)
        : Stage(vendlab_sfax(), record, run_command) {}

  private:
    void begin() override {
        tasks_.quiet = true;
        worker_tick_ = 100 * kMillisecond;
        add_vendlab_machine_types();
        start_services();
        add_vendlab_machines();
        for (std::size_t i = 0; i < nodes_.size(); ++i) start_node(i);
        after(2.5, [this] {
            if (!all_healthy()) return finish(kCouldNotRun, "not all controllers were healthy in time");
            for (int i = 0; i < kServices; ++i) submit_service();
        });
        // The class comes as often as it is wont to, or twice as often.
        for (int i = 0; i < kArrays * (trouble_ ? kBurst : 1); ++i)
            after(kFirstArrayAt + kArrayInterval / (trouble_ ? kBurst : 1) * i, [this] { submit_array(); });
        after(kEnd, [this] { judge(); });
        report();
    }

    std::string next_ref() {
        char ref[32];
        std::snprintf(ref, sizeof ref, "req-%06d", ++count_);
        return ref;
    }
    void submit_service() {
        const std::string ref = next_ref();
        submit({ref,
                job(ref, "telemetry-intake", "pricing", "service", "critical", 2, 1, 2.2, "img-01", 1.5,
                    false, 0, true),
                3600 * kSecond, 2},
               [this, ref](const Answer& answer) {
                   log("service " + ref + ": " + std::to_string(answer.status));
                   last_up_[ref] = now();
               });
    }
    void submit_array() {
        const std::string ref = next_ref();
        tasks_.mean_run_time[ref] = 20 * kSecond;
        submit({ref,
                job(ref, "snack-sim", "field-ops", "array", "normal", 100'000, 0.25, 0.9, "img-02", 0.5, true,
                    20, false),
                20 * kSecond, 100'000},
               [this, ref](const Answer& answer) {
                   log("array " + ref + ": " + std::to_string(answer.status));
               });
    }

    void tick() override {
        kills_ += enforce_memory_limit(kRestartDelay);
        for (auto& [ref, at] : last_up_) {
            int running = 0;
            for (const auto& [task, on] : tasks_.jobs[ref].on) running += !on.empty();
            if (running > 0) at = now();
        }
    }

    void report() {
        after(5, [this] { report(); });
        std::size_t running = 0, replicas = 0, done = 0;
        for (const auto& [ref, known] : tasks_.jobs) {
            for (const auto& [task, on] : known.on)
                (tasks_.mean_run_time.count(ref) ? running : replicas) += on.size();
            done += known.completed.size();
        }
        log("array tasks " + std::to_string(running) + ", done " + std::to_string(done) + ", replicas " +
            std::to_string(replicas) + ", kills " + std::to_string(kills_) + ", at most " +
            std::to_string(highest_kb_ / 1024) + " MB held");
    }

    void judge() {
        int down = 0;
        for (const auto& [ref, at] : last_up_) down += now() - at >= kLongestGap;
        if (kills_ >= 3 && down > 0)
            return broken("a process crashes, and accepted jobs don't run",
                          std::to_string(kills_) + " ends for memory; of " + std::to_string(down) + " of " +
                              std::to_string(last_up_.size()) + " services no replica has run for 45 s");
        if (kills_ > 0) return broken("a process crashes", std::to_string(kills_) + " ends for memory");
        finish(kHeld, "no controller ended for memory");
    }

    int count_ = 0, kills_ = 0;
    std::map<std::string, Micros> last_up_;
};

const bool registered = register_case<MemoryCase>("memory");

}  // namespace

}  // namespace review
