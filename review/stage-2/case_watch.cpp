// Case 5: a controller that the state service refused for half a minute gets its machines back, but never
// follows the state service again.

#include <signal.h>

#include <algorithm>

#include "cases.hpp"

namespace review {

namespace {

constexpr double kServicesAt = 2.5, kArraysAt = 2.7, kRefusedAt = 3, kServedAt = 16.5, kCancelAt = 25.5,
                 kEnd = 117;
constexpr Micros kLongestWait = 90 * kSecond;
constexpr Micros kMeanRun = 30 * kSecond;
constexpr std::size_t kRefused = 2;
constexpr int kMachines = 520, kCores = 416 * 16 + 104 * 64, kArrayTasks = 20'000;

class WatchCase : public Stage {
  public:
    WatchCase(const std::string& record, const std::string& run_command)
        : Stage(deployment(), record, run_command) {}

  private:
    /// vendlab-sfax-hunt
    static Deployment deployment() {
        Deployment d;
        d.zones = {"sfax-north", "sfax-port"};
        d.teams = {{"field-ops", 20'000, 30'000}, {"pricing", 15'000, 20'000}};
        d.objectives = {
            "[[deployment.objectives]]\nkind = \"wait\"\nclass = \"price-push\"\nwithin_s = 2.0\nshare = "
            "0.9\n",
            "[[deployment.objectives]]\nkind = \"guarantee\"\nwithin_s = 5.0\nshare = 0.98\n"};
        d.controllers = 5;
        d.report_s = 5;
        d.lease_s = 26.5;
        d.gang_wait_s = 35;
        d.gang_peer_s = 8;
        d.cancel_s = 56.5;
        d.rps = 800;
        d.write_rps = 350;
        d.value_kb = 16;
        d.txn_ops = 16;
        d.cloud_rps = 8;
        d.cpu_share = 0.248;
        d.mem_mb = 208;
        d.sockets = 3116;
        d.skew_ms = 250;
        return d;
    }

    void begin() override {
        tasks_.quiet = true;
        worker_tick_ = 200 * kMillisecond;
        add_vendlab_machine_types();
        start_services();
        for (int i = 0; i < kMachines; ++i)
            add_worker(i % 10 < 8 ? "jasmine" : "olive", d_.zones[static_cast<std::size_t>(i % 2)], false);
        for (std::size_t i = 0; i < nodes_.size(); ++i) start_node(i);
        after(kServicesAt, [this] {
            if (!all_healthy()) return finish(kCouldNotRun, "not all controllers were healthy in time");
            for (int i = 0; i < 20; ++i) submit_service();
        });
        after(kArraysAt, [this] {
            for (int i = 0; i < 24; ++i)
                submit_array(d_.zones[static_cast<std::size_t>(i % 2)], i % 4 < 2 ? "jasmine" : "olive");
        });
        after(kRefusedAt, [this] {
            bytes_before_ = state_.change_bytes();
            changes_before_ = state_.change_count();
            if (!trouble_) return;
            log("the state service refuses " + nodes_[kRefused]->name + " alone");
            nodes_[kRefused]->refused_by_state = true;
        });
        after(kServedAt, [this] {
            log("changes since then: " + std::to_string(state_.change_count() - changes_before_) + ", " +
                std::to_string(state_.change_bytes() - bytes_before_) + " bytes");
            if (trouble_)
                log("the state service serves " + nodes_[kRefused]->name + " again: no trouble from here on");
            nodes_[kRefused]->refused_by_state = false;
            untroubled_since_ = now();
        });
        after(kCancelAt, [this] { cancel_running(); });
        after(kEnd, [this] { judge(); });
        report();
    }

    /// Users cancel every array of which a task has started within the last second, again and again, so that
    /// there is room for those of which none starts.
    void cancel_running() {
        after(2, [this] { cancel_running(); });
        for (const auto& [ref, mean] : tasks_.mean_run_time)
            if (!cancelled_.count(ref) && now() - last_start_[ref] < kSecond)
                abort(ref, [this, ref](const Answer&) { cancelled_.insert(ref); });
    }

    bool intercept_state(std::size_t node, const net::Request& request, const net::Responder&) override {
        if (node != kRefused || request.path.rfind("/changes", 0) != 0) return false;
        const auto since = request.path.find("since=");
        last_since_ = request.path.substr(since, request.path.find('&', since) - since);
        if (last_since_ != first_since_) first_since_ = last_since_, watch_calls_ = 0;
        ++watch_calls_;
        return false;
    }

    std::string next_ref() {
        char ref[32];
        std::snprintf(ref, sizeof ref, "req-%06d", ++count_);
        return ref;
    }
    void submit_service() {
        const std::string ref = next_ref();
        submit({ref,
                job(ref, "telemetry-intake", "field-ops", "service", "critical", 6, 1, 2.2, "img-01", 1.5,
                    false, 0, true),
                3600 * kSecond, 6},
               [this, ref](const Answer& answer) {
                   log("service " + ref + " is accepted: " + std::to_string(answer.status));
                   services_.push_back(ref);
               });
    }
    void submit_array(const std::string& zone, const std::string& type) {
        const std::string ref = next_ref();
        tasks_.mean_run_time[ref] = kMeanRun;
        Json body =
            job(ref, "price-push", count_ % 4 < 2 ? "field-ops" : "pricing", "array", "high", kArrayTasks,
                0.5, 1.9, "img-02", 0.5, true, static_cast<double>(kMeanRun) / 1e6, false);
        body["mill"] = zone;
        body["looms"] = Json::array({type});
        submit({ref, body, kMeanRun, kArrayTasks}, [this, ref](const Answer& answer) {
            log("array " + ref + " is accepted: " + std::to_string(answer.status));
        });
    }

    void tick() override {
        for (const auto& [ref, mean] : tasks_.mean_run_time) {
            auto& [starts, at] = starts_[ref];
            if (tasks_.jobs[ref].starts != starts) starts = tasks_.jobs[ref].starts, last_start_[ref] = now();
        }
    }

    void report() {
        after(2, [this] { report(); });
        std::size_t running = 0, replicas = 0;
        for (const auto& [ref, known] : tasks_.jobs)
            for (const auto& [task, on] : known.on)
                (tasks_.mean_run_time.count(ref) ? running : replicas) += on.size();
        std::string holders;
        state_.for_each("c/domain/", [&](const std::string& key, const Json& value) {
            holders += " " + key.substr(9) + ":" + wire::text(value, "holder").value_or("");
        });
        log("array tasks " + std::to_string(running) + ", replicas " + std::to_string(replicas) + " of " +
            std::to_string(services_.size() * 6) + ", holders of the domains" + holders + "; " +
            nodes_[kRefused]->name + " asks for changes with " + last_since_ + " for the " +
            std::to_string(watch_calls_) + ". time");
    }

    void judge() {
        double cores = 0;
        for (const auto& [ref, known] : tasks_.jobs)
            for (const auto& [task, on] : known.on)
                cores += static_cast<double>(on.size()) * static_cast<double>(known.info.spec.request.cores) /
                         1000;
        log("cores in use: " + std::to_string(static_cast<int>(cores)) + " of " + std::to_string(kCores));
        std::string waiting;
        for (const auto& [ref, mean] : tasks_.mean_run_time) {
            const Tasks::JobTasks& known = tasks_.jobs[ref];
            const Micros wait = now() - std::max(last_start_[ref], untroubled_since_);
            log("array " + ref + ": " + std::to_string(known.completed.size()) + " of " +
                std::to_string(kArrayTasks) + " tasks are done, none has started for " +
                std::to_string(wait / kSecond) + " s" + (cancelled_.count(ref) ? ", cancelled" : ""));
            if (!cancelled_.count(ref) && known.completed.size() < kArrayTasks && wait >= kLongestWait)
                waiting += " " + ref;
        }
        for (const auto& ref : services_) {
            int missing = 0;
            for (int task = 0; task < 6; ++task) missing += tasks_.jobs[ref].on[task].empty();
            if (missing > 0)
                log("service " + ref + ": " + std::to_string(missing) + " of 6 replicas are on no machine");
        }
        if (!waiting.empty() && cores < kCores / 2)
            return broken("an accepted job must run",
                          "no task of" + waiting + " has started for " +
                              std::to_string(kLongestWait / kSecond) +
                              " s, without trouble and with room on half of the machines");
        finish(kHeld, "no accepted job waits for 90 s beside free machines");
    }

    int count_ = 0;
    std::size_t bytes_before_ = 0, changes_before_ = 0;
    std::string first_since_, last_since_;
    int watch_calls_ = 0;
    std::vector<std::string> services_;
    std::map<std::string, std::pair<int, Micros>> starts_;
    std::map<std::string, Micros> last_start_;
    Micros untroubled_since_ = 0;
    std::set<std::string> cancelled_;
};

const bool registered = register_case<WatchCase>("watch");

}  // namespace

}  // namespace review
