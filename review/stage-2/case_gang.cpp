// Case 7: a gang that lost a machine never runs again where the image takes longer than gang_wait_s to fetch.

#include <algorithm>

#include "cases.hpp"

namespace review {

namespace {

constexpr double kEnd = 117, kImageGb = 10;
constexpr int kGangTasks = 4;
constexpr Micros kLongestWait = 90 * kSecond;

class GangCase : public Stage {
  public:
    GangCase(const std::string& record, const std::string& run_command)
        : Stage(vendlab_sfax(), record, run_command) {}

  private:
    void begin() override {
        add_vendlab_machine_types();
        start_services();
        cloud_->capacity =
            10;  // the machines of type jasmine that the site file has beyond those that are up
        add_vendlab_machines();
        for (std::size_t i = 0; i < nodes_.size(); ++i) start_node(i);
        after(2.5, [this] {
            if (!all_healthy()) return finish(kCouldNotRun, "not all controllers were healthy in time");
            // Tasks of an earlier job with the same image, on four machines that have it.
            submit_job("req-000001", "array", kSecond, 0);
        });
        after(8, [this] {
            if (tasks_.jobs["req-000001"].completed.size() < kGangTasks)
                return finish(kCouldNotRun, "the earlier job is not done in time");
            submit_job("req-000002", "group", 50 * kSecond, -1);
        });
        wait_for_gang();
        after(kEnd, [this] { judge(); });
    }

    void submit_job(const std::string& ref, const std::string& kind, Micros run_time, Micros fetch) {
        Json body =
            job(ref, kind == "group" ? "forecast" : "forecast-prepare", "field-ops", kind, "normal",
                kGangTasks, 16, 60, "img-07", kImageGb, false, static_cast<double>(run_time) / 1e6, false);
        body["looms"] = Json::array({"jasmine"});
        submit({ref, body, run_time, kGangTasks}, [](const Answer&) {});
        tasks_.jobs[ref].info.image_fetch_time = fetch;
    }

    bool gang_runs() {
        if (!tasks_.jobs.count("req-000002")) return false;
        int on_machines = 0;
        for (const auto& [task, on] : tasks_.jobs["req-000002"].on) on_machines += !on.empty();
        return on_machines == kGangTasks;
    }

    void wait_for_gang() {
        after(0.2, [this] { wait_for_gang(); });
        if (gang_runs() && ran_at_ == 0) {
            ran_at_ = now();
            log("the gang runs");
            after(2, [this] {
                if (!trouble_) return;
                died_at_ = now();
                kill_machine(tasks_.jobs["req-000002"].on[kGangTasks - 1].begin()->first);
            });
        }
        if (died_at_ > 0 && !ran_again_ && gang_runs()) {
            ran_again_ = true;
            log("the gang runs again");
        }
    }

    void judge() {
        if (ran_at_ == 0) return finish(kCouldNotRun, "the gang did not run in the first place");
        if (!trouble_) {
            if (tasks_.jobs["req-000002"].completed.size() < kGangTasks)
                return broken("an accepted job must run", "the gang is not done");
            return finish(kHeld, "the gang is done");
        }
        if (!ran_again_ && now() - died_at_ >= kLongestWait)
            return broken("an accepted job must run",
                          "the gang has not run since one of its machines stopped " +
                              std::to_string((now() - died_at_) / kSecond) + " s ago");
        finish(kHeld, "the gang ran again");
    }

    Micros ran_at_ = 0, died_at_ = 0;
    bool ran_again_ = false;
};

const bool registered = register_case<GangCase>("gang");

}  // namespace

}  // namespace review
