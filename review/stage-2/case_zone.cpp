// Case 8: after a zone has lost its machines, no machine is rented there for the replicas that may run
// nowhere else.

#include <algorithm>

#include "cases.hpp"

namespace review {

namespace {

constexpr double kDieAt = 10, kEnd = 117;
constexpr int kServices = 12;
constexpr Micros kLongestWait = 90 * kSecond;

class ZoneCase : public Stage {
  public:
    ZoneCase(const std::string& record, const std::string& run_command)
        : Stage(vendlab_sfax(), record, run_command) {}

  private:
    void begin() override {
        add_vendlab_machine_types();
        start_services();
        // The capacity in the site file, less the machines that are up.
        left_to_rent_ = {{{"jasmine", "sfax-north", false}, 5}, {{"jasmine", "sfax-port", false}, 5},
                         {{"olive", "sfax-north", false}, 1},   {{"olive", "sfax-port", false}, 1},
                         {{"jasmine", "sfax-north", true}, 5},  {{"jasmine", "sfax-port", true}, 3},
                         {{"olive", "sfax-north", true}, 3},    {{"olive", "sfax-port", true}, 2}};
        add_vendlab_machines();
        for (std::size_t i = 0; i < nodes_.size(); ++i) start_node(i);
        after(2.5, [this] {
            if (!all_healthy()) return finish(kCouldNotRun, "not all controllers were healthy in time");
            for (int i = 0; i < kServices; ++i) submit_service(i);
        });
        after(kDieAt, [this] {
            if (up() < kServices * 2) return finish(kCouldNotRun, "not all replicas ran in the first place");
            if (!trouble_) return;
            std::vector<std::string> machines;
            for (const auto& [name, machine] : cloud_->machines())
                if (machine.info.zone == "sfax-port") machines.push_back(name);
            for (const auto& name : machines) kill_machine(name);
        });
        after(kEnd, [this] { judge(); });
        report();
    }

    void submit_service(int i) {
        char ref[32];
        std::snprintf(ref, sizeof ref, "req-%06d", 1 + i);
        services_.push_back(ref);
        submit({ref,
                job(ref, "telemetry-intake", i % 2 ? "field-ops" : "pricing", "service", "critical", 2, 1,
                    2.2, "img-01", 1.5, false, 0, true),
                3600 * kSecond, 2},
               [](const Answer&) {});
    }

    int up() {
        int count = 0;
        for (const auto& ref : services_)
            for (const auto& [task, on] : tasks_.jobs[ref].on) count += !on.empty();
        return count;
    }

    void tick() override {
        for (const auto& ref : services_)
            for (int task = 0; task < 2; ++task) {
                auto& since = missing_since_[{ref, task}];
                if (!tasks_.jobs[ref].on[task].empty())
                    since = 0;
                else if (since == 0)
                    since = now();
            }
    }

    void report() {
        after(10, [this] { report(); });
        std::map<std::string, int> machines;
        for (const auto& [name, machine] : cloud_->machines())
            if (!dead_machines().count(name))
                ++machines[machine.info.zone + (machine.info.spot ? " spot" : " ordinary") +
                           (machine.boot_ends_at > now() ? " (booting)" : "")];
        std::string line =
            "replicas " + std::to_string(up()) + " of " + std::to_string(kServices * 2) + "; machines:";
        for (const auto& [what, count] : machines) line += " " + what + " " + std::to_string(count) + ",";
        log(line);
    }

    void judge() {
        int missing = 0;
        for (const auto& [task, since] : missing_since_)
            missing += since > 0 && now() - since >= kLongestWait;
        if (missing > 0)
            return broken("an accepted job must run",
                          std::to_string(missing) +
                              " replicas have been on no machine for 90 s or more; the cloud has " +
                              std::to_string(left_to_rent_[{"jasmine", "sfax-port", false}]) +
                              " jasmine left in their zone");
        finish(kHeld, "all replicas run");
    }

    std::vector<std::string> services_;
    std::map<std::pair<std::string, int>, Micros> missing_since_;
};

const bool registered = register_case<ZoneCase>("zone");

}  // namespace

}  // namespace review
