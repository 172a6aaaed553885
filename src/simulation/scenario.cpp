#include "simulation/scenario.hpp"

#include <fmt/format.h>

#include <set>

#include "config/table.hpp"
#include "logging/log.hpp"

namespace cottonway::simulation {

namespace {

using settings::fail;
using settings::one_of;
using settings::Table;

void load_settings(Table& table, Scenario& scenario) {
    Settings& settings = scenario.settings;
    settings.zones = table.texts("zones", {"a", "b"});
    settings.cpu_cores = table.number("cpu_share", 1, 0.001, 1000);
    settings.operators.separate_history = table.number("history_apart", 1, 0, 1) > 0;
    table.table("state", [&](Table& row) {
        settings.state_rps = row.number("rps", 500, 1, 1e6);
        settings.state_write_rps = settings.next_write_rps = row.number("write_rps", 200, 1, 1e6);
        settings.max_value_bytes = settings.current_max_value_bytes =
            static_cast<std::size_t>(row.number("value_kb", 16, 1, 64) * 1024);
        settings.max_txn_ops = static_cast<std::size_t>(row.count("txn_ops", 16, 1000));
        scenario.limits_state_writes = row.flag("bounded");
    });
    table.table("workers", [&](Table& row) {
        settings.report_interval = row.seconds("report_s", 5);
        settings.worker_lease = row.seconds("lease_s", 26.5);
        settings.gang_wait_timeout = row.seconds("gang_wait_s", 45);
        settings.gang_peer_timeout = row.seconds("gang_peer_s", 6);
        settings.cancel_deadline = row.seconds("cancel_s", 56.5);
    });
    settings.teams.clear();
    table.rows("team", [&](Table& row) {
        auto limit = [](Milli value) { return value > 0 ? value : kNoLimit; };
        settings.teams.push_back({row.text("name", "red"),
                                  {row.milli("cores", 0), row.milli("cards", 0), 0},
                                  {limit(row.milli("cores_max", 0)), limit(row.milli("cards_max", 0)), 0}});
    });
}

void load_workload(Table& table, Scenario& scenario) {
    Workload workload;
    JobSpec& job = workload.job;
    job.job_class = table.text("class", "class");
    job.team = table.text("team", scenario.settings.teams.front().name);
    job.kind =
        one_of<JobKind>("load.kind", table.text("kind", "array"),
                        {{"array", JobKind::Array}, {"gang", JobKind::Gang}, {"service", JobKind::Service}});
    job.priority_class = one_of<PriorityClass>("load.rank", table.text("rank", "normal"),
                                               {{"production", PriorityClass::Production},
                                                {"high", PriorityClass::High},
                                                {"normal", PriorityClass::Normal},
                                                {"low", PriorityClass::Low}});
    job.request = {table.milli("cores", 1), table.milli("cards", 0), table.milli("ram_gb", 2)};
    job.spot = table.flag("spot");
    job.spread = table.flag("spread");
    job.one_zone = table.flag("one_zone");
    job.image_gb = table.milli("image_gb", 0.5);
    workload.task_duration = table.seconds("run_s", 20);
    job.estimated_duration = job.kind == JobKind::Service ? 0 : workload.task_duration;
    workload.image_count = std::max(table.count("images", 5), 1);
    // Unless its size counts, an image takes the same time on each machine.
    workload.image_fetch_time = table.flag("fetch_by_size") ? -1 : table.seconds("fetch_s", 0.5);
    job.checkpoint_interval = table.seconds("checkpoint_s", 0);
    job.save_duration = table.seconds("save_s", 0);
    if (const Micros deadline = table.seconds("deadline_s", 0); deadline > 0) job.deadline = deadline;
    workload.mean_lifetime = table.seconds("lasts_s", 0);
    workload.per_minute = table.number("per_minute", 0, 0, 1e6);
    workload.arrivals_end = table.seconds("until_s", 0);
    workload.initial_jobs = table.count("initial", 0);
    workload.min_tasks = std::max(table.count("tasks", 1, 100'000), 1);
    workload.max_tasks = std::max(table.count("tasks_max", workload.min_tasks, 100'000), workload.min_tasks);
    workload.tasks_median = table.number("tasks_median", 0, 0, 1e5);
    workload.tasks_p95 = table.number("tasks_p95", workload.tasks_median, workload.tasks_median, 1e5);
    table.table("burst", [&](Table& burst) {
        workload.burst_factor = burst.number("factor", 1, 0, 1000);
        workload.burst_start = burst.seconds("at_s", 0);
        workload.burst_duration = burst.seconds("for_s", 600);
    });
    if (const Micros max_wait = table.seconds("start_within_s", 0); max_wait > 0)
        scenario.settings.objectives.push_back({"wait", job.job_class, max_wait});
    scenario.workloads.push_back(std::move(workload));
}

const std::set<std::string> kFaultKinds{
    "end",        "end_all",       "state_down",   "cut_state",    "cut_workers",   "freeze",
    "hang",       "kill",          "refuse",       "repeat",       "cut_peers",     "zone_lost",
    "zone_back",  "late_writes",   "late_reports", "deaf",         "cut_off",       "mute",
    "cancel_now", "cancel_at_end", "close_looks",  "odd_requests", "late_commands", "slow_state"};
/// Kinds whose target is a number or fraction of machines, or those of a zone.
const std::set<std::string> kMachineFaultKinds{"deaf", "mute"};

Fault load_fault(Table& table, const Scenario& scenario) {
    using Target = Fault::Target;
    Fault fault;
    fault.start = table.seconds("at_s", 0);
    fault.kind = table.text("kind", "");
    if (!kFaultKinds.count(fault.kind)) fail(table.path("kind"), "unknown: \"" + fault.kind + "\"");
    fault.duration = table.seconds("for_s", 3);
    fault.return_interval = table.seconds("apart_s", 0);
    if (table.has_text("node"))
        fault.target = one_of<Target>(table.path("node"), table.text("node", ""),
                                      {{"leader", Target::Leader}, {"busiest", Target::Busiest}});
    else
        fault.node = table.count("node", -1, scenario.controllers - 1, -1);
    if (table.flag("any")) {
        if (fault.target != Target::Node) fail(table.path("any"), "the node is named already");
        fault.target = Target::Any;
    }
    const bool has_count = table.has("count"), has_zone = table.has("zone"), has_fraction = table.has("part");
    fault.count = table.count("count", 1, 20'000);
    fault.repetitions = std::max(table.count("times", 1, 10'000), 1);
    fault.interval = table.seconds("every_s", 0);
    fault.zone = table.text("zone", scenario.settings.zones.front());
    if (const auto& zones = scenario.settings.zones;
        std::find(zones.begin(), zones.end(), fault.zone) == zones.end())
        fail(table.path("zone"), "no such zone: " + fault.zone);
    fault.ends_zone = table.flag("ends");
    if (fault.kind == "repeat") {
        fault.max_delay = table.seconds("late_s", 8);
        fault.duplicates_commands = table.flag("commands");
    } else if (fault.kind == "late_writes") {
        fault.only_answers_lost = table.flag("at_once");
        fault.max_delay = fault.only_answers_lost ? 0 : Simulator::kMaxWriteDelay;
    } else if (fault.kind == "late_reports") {
        fault.replays_to_next_leader = table.flag("for_next");
        fault.max_delay = fault.replays_to_next_leader
                              ? 0
                              : Simulator::max_report_copy_delay(scenario.settings.worker_lease);
    } else if (fault.kind == "late_commands") {
        fault.max_delay = Simulator::kMaxCommandDelay;
    } else if (fault.kind == "slow_state") {
        fault.max_delay = table.seconds("late_s", 0.5);
    } else if (fault.kind == "cancel_now") {
        fault.duration = table.seconds("hang_s", 0);
    } else if (kMachineFaultKinds.count(fault.kind)) {
        if (has_count && has_fraction) fail(table.path("part"), "either part or count");
        if (!has_zone) fault.zone.clear();
        if (!has_count && (has_fraction || has_zone)) fault.count = 20'000;
        fault.fraction = table.number("part", 1, 0, 1);
        return fault;
    }
    fault.fraction = table.number("part", fault.kind == "cancel_at_end" ? 1 : 0.05, 0, 1);
    return fault;
}

}  // namespace

int Workload::draw_tasks(std::mt19937_64& random) const {
    if (tasks_median <= 0) return std::uniform_int_distribution<int>(min_tasks, max_tasks)(random);
    // The 95th percentile lies 1.645 standard deviations above the median.
    const double deviation = std::log(tasks_p95 / tasks_median) / 1.645;
    const double drawn = std::lognormal_distribution<double>(std::log(tasks_median), deviation)(random);
    return static_cast<int>(std::clamp<double>(std::round(drawn), min_tasks, max_tasks));
}

std::vector<Micros> Workload::arrivals(Micros end, std::mt19937_64& random) const {
    std::vector<Micros> times;
    if (arrivals_end > 0) end = std::min(end, arrivals_end);
    std::exponential_distribution<double> draw_gap(std::max(per_minute, 1e-9) / 60e6);
    for (double time = 3e6;;) {
        const auto last_arrival = static_cast<Micros>(time);
        const bool in_burst = last_arrival >= burst_start && last_arrival < burst_start + burst_duration;
        time += draw_gap(random) / std::max(in_burst ? burst_factor : 1, 1e-9);
        if (time >= static_cast<double>(end)) return times;
        times.push_back(static_cast<Micros>(time));
    }
}

Micros Fault::end_time(int nodes) const {
    return start + interval * (repetitions - 1) + duration +
           return_interval * (node < 0 && target == Target::Node ? nodes - 1 : 0) + max_delay;
}

Micros Scenario::faults_end() const {
    Micros last = 0;
    for (const auto& fault : faults) last = std::max(last, fault.end_time(controllers));
    return last;
}

Scenario Scenario::load(const std::string& path) {
    const toml::table file = settings::parse_file(path);
    Scenario scenario;
    Table table(file, "");
    scenario.name = table.text("name", path);
    scenario.seed = static_cast<std::uint64_t>(table.count("seed", 1));
    scenario.seeds = table.count("seeds", 1, 100'000);
    scenario.duration = table.seconds("duration_s", 60);
    scenario.controllers = table.count("controllers", 3, 9);
    scenario.finished_jobs = table.count("history", 0);
    scenario.cloud_capacity = table.count("capacity", 0);
    scenario.min_poll_interval = table.seconds("poll_s", 1);
    scenario.max_extra_link_delay = table.seconds("slow_links_s", 0);
    scenario.fast_boot_rate = table.number("swift_boots", 0, 0, 1);
    scenario.checks_acceptance = table.flag("acceptance", true);
    const std::string policy_file = table.text("policy", "");
    if (scenario.controllers < 1) fail("controllers", "must be at least 1");
    load_settings(table, scenario);
    if (scenario.settings.teams.empty()) fail("team", "at least one is needed");
    table.rows("type", [&](Table& row) {
        MachineType entry;
        entry.name = row.text("name", "small");
        entry.size = {row.milli("cores", 8), row.milli("cards", 0), row.milli("ram_gb", 32)};
        entry.cache_gb = row.milli("cache_gb", 50);
        entry.fetch_gb_per_s = row.number("fetch_gb_per_s", 1, 0.001, 1000);
        entry.price = row.number("price", 1, 0, 1e6);
        entry.spot_price = entry.price / 3;
        entry.boot_duration = row.seconds("boot_s", 20);
        entry.zones = scenario.settings.zones;
        scenario.machine_types.push_back(entry);
    });
    if (scenario.machine_types.empty()) fail("type", "at least one is needed");
    table.rows("machines", [&](Table& row) {
        MachineGroup entry{row.text("type", scenario.machine_types.front().name),
                           row.text("zone", scenario.settings.zones.front()), row.flag("spot"),
                           row.count("count", 1, 20'000)};
        if (std::none_of(scenario.machine_types.begin(), scenario.machine_types.end(),
                         [&](const auto& type) { return type.name == entry.type; }))
            fail("machines.type", "no such type: " + entry.type);
        scenario.machine_groups.push_back(entry);
    });
    table.rows("load", [&](Table& row) { load_workload(row, scenario); });
    table.rows("fault", [&](Table& row) { scenario.faults.push_back(load_fault(row, scenario)); });
    if (scenario.checks_acceptance && !scenario.faults.empty() &&
        scenario.duration < scenario.faults_end() + kMaxPollGap + 5 * kSecond)
        fail("duration_s", "must leave 80 s after the last fault, or set acceptance = false");
    if (!policy_file.empty())
        scenario.settings.operators.policy = policy::load(
            (std::filesystem::path(path).parent_path() / policy_file).string(), &scenario.settings);
    return scenario;
}

// ---------------------------------------------------------------- results

void DurationHistogram::add(Micros duration) {
    bins_(static_cast<double>(std::max<Micros>(duration, kMillisecond)));
    ++count_;
    max_ = std::max(max_, duration);
}

Micros DurationHistogram::quantile(double share) const {
    double remaining = share * static_cast<double>(count_);
    for (auto&& bin : boost::histogram::indexed(bins_, boost::histogram::coverage::all)) {
        remaining -= *bin;
        if (remaining <= 0 && count_ > 0) return std::min(static_cast<Micros>(bin.bin().upper()), max_);
    }
    return 0;
}

void DurationHistogram::merge(const DurationHistogram& other) {
    bins_ += other.bins_;
    count_ += other.count_;
    max_ = std::max(max_, other.max_);
}

namespace {
Json histogram_json(const DurationHistogram& histogram) {
    auto milliseconds = [](Micros duration) { return static_cast<double>(duration) / 1e3; };
    return {{"count", histogram.count()},
            {"p50_ms", milliseconds(histogram.quantile(0.5))},
            {"p95_ms", milliseconds(histogram.quantile(0.95))},
            {"p99_ms", milliseconds(histogram.quantile(0.99))},
            {"worst_ms", milliseconds(histogram.max())}};
}

Json shares_json(const std::map<std::string, ServedShare>& shares) {
    Json value = Json::object();
    for (const auto& [name, share] : shares)
        value[name] = {{"due", share.due}, {"served", share.served}, {"part", share.fraction()}};
    return value;
}

Json acceptance_json(const AcceptanceResult& result) {
    Json waits = Json::object();
    for (const auto& [name, wait] : result.longest_wait_of_largest) waits[name] = wait / kMillisecond;
    return {{"broken", result.violations},
            {"unanswered_ms", result.longest_unanswered / kMillisecond},
            {"left_waiting_ms", result.longest_startable_wait / kMillisecond},
            {"served_by_class", shares_json(result.served_by_class)},
            {"served_by_team", shares_json(result.served_by_team)},
            {"served_of_largest", shares_json(result.served_of_largest)},
            {"longest_wait_of_largest_ms", waits}};
}
}  // namespace

Json ScenarioResults::to_json() const {
    Json delays = Json::object();
    for (const auto& [name, histogram] : start_delays) delays[name] = histogram_json(histogram);
    Json downtimes = Json::object();
    for (const auto& [name, histogram] : replica_downtimes) downtimes[name] = histogram_json(histogram);
    return {
        {"runs", runs},
        {"rules_broken", violations},
        {"acceptance", acceptance_json(acceptance)},
        {"jobs", {{"submitted", jobs_submitted}, {"accepted", jobs_accepted}, {"over", jobs_finished}}},
        {"tasks", {{"started", task_starts}, {"started_again", unnecessary_starts}}},
        {"waits", delays},
        {"started_within_aim", shares_json(within_wait_objective)},
        {"gaps", downtimes},
        {"to_active", histogram_json(time_to_active)},
        {"active_to_first_bind", histogram_json(time_to_first_bind)},
        {"most_domains_at_one_node", max_shards_per_node},
        {"orders", {{"launches", launches}, {"stops", stops}, {"once_more", repeated_orders}}},
        {"requests_a_start_of_all", restarts_of_all ? state_requests_after_restarts / restarts_of_all : 0},
        {"changes", changes_by_purpose}};
}

std::string ScenarioResults::table() const {
    std::string out;
    auto add_line = [&](const std::string& name, const std::string& what) {
        out += fmt::format("{:<34} {}\n", name, what);
    };
    auto add_histogram = [&](const std::string& name, const DurationHistogram& histogram) {
        if (histogram.count() == 0) return;
        auto seconds = [](Micros duration) { return static_cast<double>(duration) / 1e6; };
        add_line(name, fmt::format("{} of them, p50 {:.3f} s, p95 {:.3f} s, p99 {:.3f} s, worst {:.3f} s",
                                   histogram.count(), seconds(histogram.quantile(0.5)),
                                   seconds(histogram.quantile(0.95)), seconds(histogram.quantile(0.99)),
                                   seconds(histogram.max())));
    };
    add_line("runs", std::to_string(runs));
    add_line("rules broken",
             violations.empty() ? "none" : std::to_string(violations.size()) + ": " + violations.front());
    add_line("jobs",
             fmt::format("{} submitted, {} accepted, {} over", jobs_submitted, jobs_accepted, jobs_finished));
    add_line("tasks",
             fmt::format("{} started, {} again though they ran on", task_starts, unnecessary_starts));
    for (const auto& [name, histogram] : start_delays) add_histogram("wait of " + name, histogram);
    for (const auto& [name, share] : within_wait_objective)
        add_line("started within aim of " + name,
                 fmt::format("{:.3f}, {} of {}", share.fraction(), share.served, share.due));
    for (const auto& [name, histogram] : replica_downtimes)
        add_histogram("without a replica of " + name, histogram);
    add_histogram("process back to domain active", time_to_active);
    add_histogram("active to first bind", time_to_first_bind);
    if (restarts_of_all > 0) {
        add_line("most domains at one node", fmt::format("{}, 2 s after all were back", max_shards_per_node));
        add_line("requests a start of all", std::to_string(state_requests_after_restarts / restarts_of_all));
    }
    add_line("orders of domains that started",
             fmt::format("{} launches, {} stops, {} of them once more", launches, stops, repeated_orders));
    for (const auto& [purpose, count] : changes_by_purpose)
        add_line("changes: " + purpose, std::to_string(count));
    add_line("longest unanswered after troubles",
             fmt::format("{:.1f} s", static_cast<double>(acceptance.longest_unanswered) / 1e6));
    add_line("longest left waiting with room",
             fmt::format("{:.1f} s", static_cast<double>(acceptance.longest_startable_wait) / 1e6));
    auto add_shares = [&](const std::string& group, const std::map<std::string, ServedShare>& served) {
        for (const auto& [name, share] : served)
            add_line(fmt::format("served of {} {}", group, name),
                     fmt::format("{:.3f}, {} of {}", share.fraction(), share.served, share.due));
    };
    add_shares("class", acceptance.served_by_class);
    add_shares("team", acceptance.served_by_team);
    add_shares("the largest of", acceptance.served_of_largest);
    for (const auto& [name, wait] : acceptance.longest_wait_of_largest)
        add_line("longest wait of a largest " + name,
                 fmt::format("{:.1f} s", static_cast<double>(wait) / 1e6));
    for (const auto& violation : acceptance.violations) add_line("NOT ACCEPTABLE", violation);
    return out;
}

std::string ScenarioResults::csv() const {
    std::string out = "figure,count,p50_s,p95_s,p99_s,worst_s\n";
    auto add_histogram = [&](const std::string& name, const DurationHistogram& histogram) {
        auto seconds = [](Micros duration) { return static_cast<double>(duration) / 1e6; };
        out += fmt::format("{},{},{:.6f},{:.6f},{:.6f},{:.6f}\n", name, histogram.count(),
                           seconds(histogram.quantile(0.5)), seconds(histogram.quantile(0.95)),
                           seconds(histogram.quantile(0.99)), seconds(histogram.max()));
    };
    for (const auto& [name, histogram] : start_delays) add_histogram("wait " + name, histogram);
    add_histogram("to active", time_to_active);
    add_histogram("active to first bind", time_to_first_bind);
    auto add_count = [&](const std::string& name, std::size_t n) {
        out += fmt::format("{},{},,,,\n", name, n);
    };
    add_count("rules broken", violations.size());
    add_count("tasks started", task_starts);
    add_count("tasks started again", unnecessary_starts);
    add_count("most domains at one node", max_shards_per_node);
    add_count("orders", launches + stops);
    add_count("orders once more", repeated_orders);
    add_count("requests a start of all",
              restarts_of_all ? state_requests_after_restarts / restarts_of_all : 0);
    for (const auto& [purpose, n] : changes_by_purpose) add_count("changes " + purpose, n);
    add_count("not acceptable", acceptance.violations.size());
    add_count("unanswered ms", static_cast<std::size_t>(acceptance.longest_unanswered / kMillisecond));
    add_count("left waiting ms", static_cast<std::size_t>(acceptance.longest_startable_wait / kMillisecond));
    auto add_shares = [&](const std::string& group, const std::map<std::string, ServedShare>& served) {
        for (const auto& [name, share] : served) {
            add_count("due of " + group + name, static_cast<std::size_t>(share.due));
            add_count("served of " + group + name, static_cast<std::size_t>(share.served));
        }
    };
    add_shares("class ", acceptance.served_by_class);
    add_shares("team ", acceptance.served_by_team);
    add_shares("largest ", acceptance.served_of_largest);
    return out;
}

// ---------------------------------------------------------------- runs

namespace {

/// Measures the starts of the controllers' shards from outside.
class ShardObserver {
  public:
    ShardObserver(Simulator& simulator, ScenarioResults& results)
        : simulator_(simulator),
          results_(results),
          active_shards_(static_cast<std::size_t>(simulator.node_count())) {}

    void process_ended(int node, Micros back_after) {
        process_back_at_[node] = simulator_.now() + back_after;
    }
    void observe() {
        for (int i = 0; i < simulator_.node_count(); ++i) {
            Controller* controller = simulator_.node(i);
            auto& active_shards = active_shards_[static_cast<std::size_t>(i)];
            if (!controller) {
                active_shards.clear();
                continue;
            }
            for (const auto& [name, owner] : controller->owners()) {
                if (!owner || !owner->active() || !active_shards.insert({name, owner->mod_revision()}).second)
                    continue;
                if (auto process_back = process_back_at_.find(i);
                    process_back != process_back_at_.end() && owner->machines().size() > 0)
                    results_.time_to_active.add(simulator_.now() - process_back->second);
            }
        }
    }
    /// Adds the startup figures of the shards that are active now, each once.
    void collect(std::set<std::pair<std::string, Revision>>& collected) {
        for (int i = 0; i < simulator_.node_count(); ++i) {
            Controller* controller = simulator_.node(i);
            if (!controller) continue;
            for (const auto& [name, owner] : controller->owners()) {
                if (!owner || !owner->active() || owner->machines().empty() ||
                    !collected.insert({name, owner->mod_revision()}).second)
                    continue;
                const Json startup = owner->status()["start"];
                results_.launches += startup["launches"].get<std::size_t>();
                results_.stops += startup["stops"].get<std::size_t>();
                results_.repeated_orders += startup["orders_again"].get<std::size_t>();
                if (startup["first_bind_ms"].is_number())
                    results_.time_to_first_bind.add(startup["first_bind_ms"].get<Micros>() * kMillisecond);
            }
        }
    }

  private:
    Simulator& simulator_;
    ScenarioResults& results_;
    std::vector<std::set<std::pair<std::string, Revision>>> active_shards_;
    std::map<int, Micros> process_back_at_;
};

/// Returns the nodes that a fault affects. Where no node leads or has machines, a random one takes its place.
std::vector<int> target_nodes(Simulator& simulator, const Fault& fault) {
    int chosen = fault.target == Fault::Target::Leader    ? simulator.leader_node()
                 : fault.target == Fault::Target::Busiest ? simulator.busiest_node()
                                                          : fault.node;
    if (chosen < 0 && fault.target != Fault::Target::Node)
        chosen = static_cast<int>(simulator.random() % static_cast<std::uint64_t>(simulator.node_count()));
    std::vector<int> nodes;
    for (int i = 0; i < simulator.node_count(); ++i)
        if (chosen < 0 || chosen == i) nodes.push_back(i);
    return nodes;
}

/// Returns the machines that a fault affects.
std::vector<std::string> target_machines(Simulator& simulator, const Fault& fault) {
    auto names = simulator.machine_names();
    if (kMachineFaultKinds.count(fault.kind))
        std::erase_if(names, [&](const auto& name) {
            return !fault.zone.empty() && simulator.worker(name)->zone() != fault.zone;
        });
    std::shuffle(names.begin(), names.end(), simulator.random);
    auto max_count = static_cast<std::size_t>(fault.count);
    if (kMachineFaultKinds.count(fault.kind))
        max_count =
            std::min(max_count,
                     static_cast<std::size_t>(std::ceil(fault.fraction * static_cast<double>(names.size()))));
    names.resize(std::min(names.size(), max_count));
    return names;
}

void begin_fault(Simulator& simulator, const Fault& fault, ShardObserver& observer,
                 ScenarioResults& results) {
    const std::vector<int> nodes = target_nodes(simulator, fault);
    const std::vector<std::string> machines = target_machines(simulator, fault);
    auto host = [](int i) { return "loom-" + std::to_string(i); };
    auto set_temporarily = [&](auto& field, auto value) {
        field = value;
        simulator.schedule_at(simulator.now() + fault.duration, [&field] { field = {}; });
    };
    if (fault.kind == "end" || fault.kind == "end_all") {
        simulator.record_running_tasks();
        Micros back_after = fault.duration;
        for (int i : nodes) {
            simulator.crash(i, back_after);
            observer.process_ended(i, back_after);
            back_after += fault.return_interval;
        }
        if (fault.kind != "end_all") return;
        const Micros all_back = simulator.now() + back_after - fault.return_interval;
        auto requests_before = std::make_shared<std::uint64_t>(0);
        auto count_requests = [&simulator] {
            std::uint64_t count = 0;
            for (int i = 0; i < simulator.node_count(); ++i) count += simulator.state_requests(i);
            return count;
        };
        *requests_before = count_requests();
        simulator.schedule_at(
            all_back + 2 * kSecond, [&simulator, &results, requests_before, count_requests] {
                results.state_requests_after_restarts += count_requests() - *requests_before;
                ++results.restarts_of_all;
                for (int i = 0; i < simulator.node_count(); ++i) {
                    std::size_t shards = 0;
                    if (simulator.node(i))
                        for (const auto& [name, owner] : simulator.node(i)->owners())
                            shards += owner && !owner->machines().empty();
                    results.max_shards_per_node = std::max(results.max_shards_per_node, shards);
                }
            });
    } else if (fault.kind == "state_down") {
        simulator.state().set_down(true, simulator.now());
        simulator.schedule_at(simulator.now() + fault.duration,
                              [&simulator] { simulator.state().set_down(false, simulator.now()); });
    } else if (fault.kind == "freeze") {
        for (int i : nodes) simulator.freeze_process(i, fault.duration);
    } else if (fault.kind == "refuse") {
        for (int i : nodes) {
            simulator.refuse_state_requests(i, true);
            simulator.schedule_at(simulator.now() + fault.duration,
                                  [&simulator, i] { simulator.refuse_state_requests(i, false); });
        }
    } else if (fault.kind == "cut_state" || fault.kind == "cut_workers") {
        std::vector<std::string> others =
            fault.kind == "cut_state" ? std::vector<std::string>{"state"} : machines;
        for (int i : nodes)
            for (const auto& other : others) {
                simulator.cut_link(host(i), other);
                simulator.schedule_at(
                    simulator.now() + fault.duration,
                    [&simulator, controller = host(i), other] { simulator.heal_link(controller, other); });
            }
    } else if (fault.kind == "cut_peers") {
        for (int i : nodes)
            for (int j = 0; j < simulator.node_count(); ++j)
                if (i != j) {
                    simulator.cut_link(host(i), host(j));
                    simulator.schedule_at(
                        simulator.now() + fault.duration,
                        [&simulator, a = host(i), b = host(j)] { simulator.heal_link(a, b); });
                }
    } else if (fault.kind == "repeat") {
        set_temporarily(simulator.duplicate_rate, fault.fraction);
        simulator.duplicate_commands = fault.duplicates_commands;
        simulator.max_duplicate_delay = std::max(fault.max_delay, kMillisecond);
    } else if (fault.kind == "late_writes") {
        set_temporarily(
            fault.only_answers_lost ? simulator.unanswered_write_rate : simulator.delayed_write_rate,
            fault.fraction);
    } else if (fault.kind == "late_reports") {
        set_temporarily(
            fault.replays_to_next_leader ? simulator.replayed_report_rate : simulator.late_report_copy_rate,
            fault.fraction);
    } else if (fault.kind == "late_commands") {
        set_temporarily(simulator.delayed_command_rate, fault.fraction);
    } else if (fault.kind == "slow_state") {
        set_temporarily(simulator.max_state_answer_delay, fault.max_delay);
    } else if (fault.kind == "cancel_now") {
        simulator.cancel_random_jobs(fault.count, fault.duration);
    } else if (fault.kind == "cancel_at_end") {
        set_temporarily(simulator.cancel_on_completion_rate, fault.fraction);
    } else if (fault.kind == "close_looks") {
        set_temporarily(simulator.query_after_changes, true);
    } else if (fault.kind == "odd_requests") {
        set_temporarily(simulator.send_unusual_requests, true);
    } else if (fault.kind == "cut_off") {
        for (int i : nodes) {
            simulator.isolate_controller(i, true);
            simulator.schedule_at(simulator.now() + fault.duration,
                                  [&simulator, i] { simulator.isolate_controller(i, false); });
        }
    } else if (fault.kind == "deaf") {
        for (const auto& machine : machines) {
            simulator.block_messages_to(machine, true);
            simulator.schedule_at(simulator.now() + fault.duration,
                                  [&simulator, machine] { simulator.block_messages_to(machine, false); });
        }
    } else if (fault.kind == "mute") {
        for (const auto& machine : machines) {
            simulator.block_reports_from(machine, true);
            simulator.schedule_at(simulator.now() + fault.duration,
                                  [&simulator, machine] { simulator.block_reports_from(machine, false); });
        }
    } else if (fault.kind == "zone_lost") {
        simulator.fail_zone(fault.zone, fault.ends_zone);
        if (fault.duration > 0)
            simulator.schedule_at(simulator.now() + fault.duration,
                                  [&simulator, zone = fault.zone] { simulator.restore_zone(zone); });
    } else if (fault.kind == "zone_back") {
        simulator.restore_zone(fault.zone);
    } else if (fault.kind == "kill") {
        for (const auto& machine : machines) simulator.kill_machine(machine);
    } else if (fault.kind == "hang") {
        for (const auto& machine : machines) {
            simulator.set_hung(machine, true);
            simulator.schedule_at(simulator.now() + fault.duration,
                                  [&simulator, machine] { simulator.set_hung(machine, false); });
        }
    }
}

}  // namespace

void run_scenario(const Scenario& scenario, std::uint64_t seed, ScenarioResults& results) {
    Simulator simulator(seed, scenario.settings, scenario.machine_types);
    fakes::add_finished_jobs(simulator.state(), scenario.finished_jobs);
    for (const auto& group : scenario.machine_groups)
        for (int i = 0; i < group.count; ++i) simulator.add_machine(group.type, group.zone, group.spot);
    simulator.cloud().capacity = scenario.cloud_capacity;
    simulator.min_poll_interval = scenario.min_poll_interval;
    simulator.fast_boot_rate = scenario.fast_boot_rate;
    simulator.max_extra_link_delay = scenario.max_extra_link_delay;
    simulator.start_nodes(scenario.controllers);
    if (scenario.limits_state_writes) simulator.state().limits.write_rps = scenario.settings.state_write_rps;
    ShardObserver observer(simulator, results);
    std::mt19937_64 random(seed * 7919 + 1);
    int number = 1;
    auto submit = [&](const Workload& workload) {
        JobSpec spec = workload.job;
        spec.ref = simulator.make_job(number, spec.kind, 1).ref;
        spec.image = spec.job_class + "-" + std::to_string(number % workload.image_count);
        spec.tasks = workload.draw_tasks(random);
        const double duration_factor = std::uniform_real_distribution<double>(0.6, 1.4)(random);
        ++number;
        simulator.submit(spec,
                         static_cast<Micros>(static_cast<double>(workload.task_duration) * duration_factor),
                         workload.image_fetch_time);
        if (workload.mean_lifetime == 0) return;
        const double rate = 1 / static_cast<double>(workload.mean_lifetime);
        const auto lifetime = static_cast<Micros>(std::exponential_distribution<double>(rate)(random));
        simulator.schedule_at(simulator.now() + lifetime,
                              [&simulator, ref = spec.ref] { simulator.cancel(ref); });
    };
    for (const auto& workload : scenario.workloads) {
        for (int i = 0; i < workload.initial_jobs; ++i)
            simulator.schedule_at(2 * kSecond + i * 20 * kMillisecond, [&] { submit(workload); });
        for (const Micros time : workload.arrivals(scenario.duration - 20 * kSecond, random))
            simulator.schedule_at(time, [&] { submit(workload); });
    }
    for (const auto& fault : scenario.faults)
        for (int n = 0; n < fault.repetitions; ++n)
            simulator.schedule_at(fault.start + n * fault.interval,
                                  [&simulator, &fault, &observer, &results] {
                                      begin_fault(simulator, fault, observer, results);
                                  });
    simulator.schedule_at(scenario.faults_end(), [&simulator] { simulator.mark_faults_over(); });
    std::set<std::pair<std::string, Revision>> collected;
    for (Micros time = 0; time < scenario.duration; time += 20 * kMillisecond)
        simulator.schedule_at(time, [&] { observer.observe(); });
    // Shards sum up their startup after ten seconds, so the figures are collected twelve seconds after each
    // restart.
    for (const auto& fault : scenario.faults)
        if (fault.kind == "end" || fault.kind == "end_all")
            simulator.schedule_at(
                fault.start + fault.duration + fault.return_interval * scenario.controllers + 12 * kSecond,
                [&] { observer.collect(collected); });
    simulator.run(scenario.duration);
    for (int i = 0; i < simulator.node_count(); ++i)
        if (simulator.node(i))
            for (const auto& [purpose, n] : simulator.node(i)->store().sent_writes())
                results.changes_by_purpose[purpose] += n;
    ++results.runs;
    for (const auto& violation : simulator.violations)
        results.violations.push_back(fmt::format("seed {}: {}", seed, violation));
    for (const auto& ref : simulator.job_refs()) {
        ++results.jobs_submitted;
        const std::string stage = simulator.reported_stage(ref);
        results.jobs_accepted += !stage.empty();
        results.jobs_finished += stage == "done" || stage == "cancelled";
        results.task_starts += static_cast<std::size_t>(simulator.task_starts(ref));
    }
    results.unnecessary_starts += simulator.unnecessary_starts();
    if (scenario.checks_acceptance)
        results.acceptance.add(
            evaluate_acceptance(simulator.job_outcomes(), simulator.settings.teams, simulator.now()),
            fmt::format("seed {}: ", seed));
    for (const auto& [job_class, time] : simulator.task_start_delays()) {
        results.start_delays[job_class].add(time);
        const auto objectives = scenario.settings.objective_time_limits("wait", job_class);
        if (objectives.empty()) continue;
        ++results.within_wait_objective[job_class].due;
        results.within_wait_objective[job_class].served += time <= objectives.front();
    }
    for (const auto& [job_class, time] : simulator.replica_downtimes())
        results.replica_downtimes[job_class].add(time);
}

}  // namespace cottonway::simulation
