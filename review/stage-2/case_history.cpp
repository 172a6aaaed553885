// Case 4: after some weeks of service no controller that has crashed comes up again.

#include <signal.h>

#include <algorithm>

#include "cases.hpp"

namespace review {

namespace {

constexpr double kEnd = 117, kCrashAt = 12, kRestartDelay = 6;
constexpr int kServices = 10, kHistory = 750'000, kHistoryPerTick = 10'000;
constexpr Micros kForgottenAfter = 75 * kSecond, kPollInterval = 5 * kSecond;
const std::string kFirstJob = "req-000001";

class HistoryCase : public Stage {
  public:
    HistoryCase(const std::string& record, const std::string& run_command)
        : Stage(vendlab_sfax(), record, run_command) {}

  private:
    void begin() override {
        tasks_.quiet = true;
        add_vendlab_machine_types();
        start_services();
        add_vendlab_machines();
        for (std::size_t i = 0; i < nodes_.size(); ++i) start_node(i);
        after(2.2, [this] {
            if (!all_healthy()) return finish(kCouldNotRun, "not all controllers were healthy in time");
            submit({kFirstJob,
                    job(kFirstJob, "restock-plan", "field-ops", "array", "normal", 3, 8, 30, "img-02", 0.6,
                        true, 1, false),
                    kSecond, 3},
                   [](const Answer&) {});
            for (int i = 0; i < kServices; ++i) submit_service();
        });
        after(6, [this] { find_final_record(); });
        if (trouble_)
            after(kCrashAt, [this] {
                if (added_ < kHistory) return finish(kCouldNotRun, "the history was not there in time");
                log("all controllers crash");
                for (std::size_t i = 0; i < nodes_.size(); ++i) {
                    signal_node(i, SIGKILL);
                    after(kRestartDelay, [this, i] { start_node(i); });
                }
            });
        after(kCrashAt + kRestartDelay + 0.1, [this] { untroubled_since_ = now(); });
        after(kEnd, [this] { judge(); });
        report();
    }

    void submit_service() {
        char ref[32];
        std::snprintf(ref, sizeof ref, "req-%06d", ++count_);
        submit({ref,
                job(ref, "telemetry-intake", "pricing", "service", "critical", 2, 1, 2.2, "img-01", 1.5,
                    false, 0, true),
                3600 * kSecond, 2},
               [this, ref = std::string(ref)](const Answer& answer) {
                   log("service " + ref + ": " + std::to_string(answer.status));
                   answered_[ref] = now();
                   poll(ref);
               });
    }

    /// A user polls every 5 s, at a node that the load balancer takes for healthy.
    void poll(const std::string& ref) {
        after(static_cast<double>(kPollInterval) / 1e6, [this, ref] { poll(ref); });
        ++polls_;
        ask(ref, std::nullopt, [this, ref](const Answer& answer) {
            if (answer.status == 200 || answer.status == 404) ++answers_, answered_[ref] = now();
        });
    }

    /// The key and the value under which the controllers keep the final state of the first job.
    void find_final_record() {
        state_.for_each("", [this](const std::string& key, const Json& value) {
            if (key.size() > kFirstJob.size() &&
                key.compare(key.size() - kFirstJob.size(), kFirstJob.size(), kFirstJob) == 0 &&
                wire::text(value, "s") == "done") {
                prefix_ = key.substr(0, key.size() - kFirstJob.size());
                record_ = value;
            }
        });
        if (!record_) return finish(kCouldNotRun, "the first job's final record was not found");
        log("the final record of the first job, " + std::to_string(record_->dump().size()) +
            " bytes, stands for those of " + std::to_string(kHistory) + " earlier jobs");
    }

    /// What weeks of service have left in the state service: as many final records of the same form.
    void add_history() {
        for (int i = 0; i < kHistoryPerTick && added_ < kHistory; ++i, ++added_) {
            char ref[32];
            std::snprintf(ref, sizeof ref, "req-%07d", 2'000'000 + added_);
            state_.put(prefix_ + ref, *record_);
        }
        if (added_ == kHistory) log("the history is there");
    }

    void tick() override {
        if (record_ && added_ < kHistory) add_history();
        kills_ += enforce_memory_limit(kRestartDelay);
    }

    void report() {
        after(5, [this] { report(); });
        std::size_t replicas = 0;
        for (const auto& [ref, at] : answered_)
            for (const auto& [task, on] : tasks_.jobs[ref].on) replicas += on.size();
        log("replicas " + std::to_string(replicas) + " of " + std::to_string(kServices * 2) + ", polls " +
            std::to_string(polls_) + ", answered " + std::to_string(answers_) + ", ends for memory " +
            std::to_string(kills_) + ", at most " + std::to_string(highest_kb_ / 1024) + " MB held");
    }

    void judge() {
        if (added_ < kHistory) return finish(kCouldNotRun, "the history was not there in time");
        int forgotten = 0, down = 0;
        for (const auto& [ref, at] : answered_) {
            forgotten += now() - std::max(at, untroubled_since_) >= kForgottenAfter;
            int running = 0;
            for (const auto& [task, on] : tasks_.jobs[ref].on) running += !on.empty();
            down += running == 0;
        }
        const std::string text = std::to_string(kills_) + " ends for memory; " + std::to_string(forgotten) +
                                 " of " + std::to_string(answered_.size()) +
                                 " accepted jobs without an answer for 75 s, " + std::to_string(down) +
                                 " without a running replica";
        if (forgotten > 0) return broken("forgotten", text);
        finish(kHeld, text);
    }

    int count_ = 100, kills_ = 0, added_ = 0;
    std::string prefix_;
    std::optional<Json> record_;
    std::map<std::string, Micros> answered_;  // when a question about the job was last answered
    Micros untroubled_since_ = 0;
    int polls_ = 0, answers_ = 0;
};

const bool registered = register_case<HistoryCase>("history");

}  // namespace

}  // namespace review
