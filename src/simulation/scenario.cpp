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

void load_settings(Table& t, Scenario& e) {
    Settings& s = e.settings;
    s.zones = t.texts("zones", {"a", "b"});
    s.cpu_share = t.number("cpu_share", 1, 0.001, 1000);
    s.ops.history_apart = t.number("history_apart", 1, 0, 1) > 0;
    t.table("state", [&](Table& x) {
        s.state_rps = x.number("rps", 500, 1, 1e6);
        s.state_write_rps = s.next_write_rps = x.number("write_rps", 200, 1, 1e6);
        s.value_bytes = s.value_bytes_now = static_cast<std::size_t>(x.number("value_kb", 16, 1, 64) * 1024);
        s.txn_ops = static_cast<std::size_t>(x.count("txn_ops", 16, 1000));
        e.limits_state_writes = x.flag("bounded");
    });
    t.table("workers", [&](Table& x) {
        s.report_every = x.seconds("report_s", 5);
        s.lease = x.seconds("lease_s", 26.5);
        s.gang_wait = x.seconds("gang_wait_s", 45);
        s.gang_peer = x.seconds("gang_peer_s", 6);
        s.cancel = x.seconds("cancel_s", 56.5);
    });
    s.teams.clear();
    t.rows("team", [&](Table& x) {
        auto limit = [](Milli m) { return m > 0 ? m : kNoLimit; };
        s.teams.push_back({x.text("name", "red"),
                           {x.milli("cores", 0), x.milli("cards", 0), 0},
                           {limit(x.milli("cores_max", 0)), limit(x.milli("cards_max", 0)), 0}});
    });
}

void load_load(Table& x, Scenario& e) {
    Workload l;
    JobSpec& j = l.job;
    j.job_class = x.text("class", "class");
    j.team = x.text("team", e.settings.teams.front().name);
    j.kind =
        one_of<JobKind>("load.kind", x.text("kind", "array"),
                        {{"array", JobKind::Array}, {"gang", JobKind::Gang}, {"service", JobKind::Service}});
    j.rank = one_of<PriorityClass>("load.rank", x.text("rank", "normal"),
                                   {{"production", PriorityClass::Production},
                                    {"high", PriorityClass::High},
                                    {"normal", PriorityClass::Normal},
                                    {"low", PriorityClass::Low}});
    j.request = {x.milli("cores", 1), x.milli("cards", 0), x.milli("ram_gb", 2)};
    j.spot = x.flag("spot");
    j.spread = x.flag("spread");
    j.one_zone = x.flag("one_zone");
    j.image_gb = x.milli("image_gb", 0.5);
    l.task_duration = x.seconds("run_s", 20);
    j.estimate = j.kind == JobKind::Service ? 0 : l.task_duration;
    l.image_count = std::max(x.count("images", 5), 1);
    // Without a rate of fetching, an image takes the same time on each machine.
    l.image_fetch_time = x.flag("fetch_by_size") ? -1 : x.seconds("fetch_s", 0.5);
    j.checkpoint = x.seconds("checkpoint_s", 0);
    j.save = x.seconds("save_s", 0);
    if (const Micros due = x.seconds("deadline_s", 0); due > 0) j.deadline = due;
    l.mean_lifetime = x.seconds("lasts_s", 0);
    l.per_minute = x.number("per_minute", 0, 0, 1e6);
    l.arrivals_end = x.seconds("until_s", 0);
    l.initial_jobs = x.count("initial", 0);
    l.min_tasks = std::max(x.count("tasks", 1, 100'000), 1);
    l.max_tasks = std::max(x.count("tasks_max", l.min_tasks, 100'000), l.min_tasks);
    l.tasks_median = x.number("tasks_median", 0, 0, 1e5);
    l.tasks_p95 = x.number("tasks_p95", l.tasks_median, l.tasks_median, 1e5);
    x.table("burst", [&](Table& b) {
        l.burst_factor = b.number("factor", 1, 0, 1000);
        l.burst_start = b.seconds("at_s", 0);
        l.burst_duration = b.seconds("for_s", 600);
    });
    if (const Micros goal = x.seconds("start_within_s", 0); goal > 0)
        e.settings.objectives.push_back({"wait", j.job_class, goal});
    e.workloads.push_back(std::move(l));
}

const std::set<std::string> kKinds{
    "end",        "end_all",       "state_down",   "cut_state",    "cut_workers",   "freeze",
    "hang",       "kill",          "refuse",       "repeat",       "cut_peers",     "zone_lost",
    "zone_back",  "late_writes",   "late_reports", "deaf",         "cut_off",       "mute",
    "cancel_now", "cancel_at_end", "close_looks",  "odd_requests", "late_commands", "slow_state"};
/// Those that hit machines by count, part or zone.
const std::set<std::string> kOfMachines{"deaf", "mute"};

Fault load_fault(Table& x, const Scenario& e) {
    using Target = Fault::Target;
    Fault f;
    f.start = x.seconds("at_s", 0);
    f.kind = x.text("kind", "");
    if (!kKinds.count(f.kind)) fail(x.path("kind"), "unknown: \"" + f.kind + "\"");
    f.duration = x.seconds("for_s", 3);
    f.return_interval = x.seconds("apart_s", 0);
    if (x.has_text("node"))
        f.target = one_of<Target>(x.path("node"), x.text("node", ""),
                                  {{"leader", Target::Leader}, {"busiest", Target::Busiest}});
    else
        f.node = x.count("node", -1, e.controllers - 1, -1);
    if (x.flag("any")) {
        if (f.target != Target::Node) fail(x.path("any"), "the node is named already");
        f.target = Target::Any;
    }
    const bool counted = x.has("count"), somewhere = x.has("zone"), parted = x.has("part");
    f.count = x.count("count", 1, 20'000);
    f.repetitions = std::max(x.count("times", 1, 10'000), 1);
    f.interval = x.seconds("every_s", 0);
    f.zone = x.text("zone", e.settings.zones.front());
    if (const auto& zones = e.settings.zones; std::find(zones.begin(), zones.end(), f.zone) == zones.end())
        fail(x.path("zone"), "no such zone: " + f.zone);
    f.ends_zone = x.flag("ends");
    if (f.kind == "repeat") {
        f.max_delay = x.seconds("late_s", 8);
        f.duplicates_commands = x.flag("commands");
    } else if (f.kind == "late_writes") {
        f.only_answers_lost = x.flag("at_once");
        f.max_delay = f.only_answers_lost ? 0 : Simulator::kMaxWriteDelay;
    } else if (f.kind == "late_reports") {
        f.replays_to_next_leader = x.flag("for_next");
        f.max_delay = f.replays_to_next_leader ? 0 : Simulator::max_report_copy_delay(e.settings.lease);
    } else if (f.kind == "late_commands") {
        f.max_delay = Simulator::kMaxCommandDelay;
    } else if (f.kind == "slow_state") {
        f.max_delay = x.seconds("late_s", 0.5);
    } else if (f.kind == "cancel_now") {
        f.duration = x.seconds("hang_s", 0);
    } else if (kOfMachines.count(f.kind)) {
        if (counted && parted) fail(x.path("part"), "either part or count");
        if (!somewhere) f.zone.clear();
        if (!counted && (parted || somewhere)) f.count = 20'000;
        f.fraction = x.number("part", 1, 0, 1);
        return f;
    }
    f.fraction = x.number("part", f.kind == "cancel_at_end" ? 1 : 0.05, 0, 1);
    return f;
}

}  // namespace

int Workload::draw_tasks(std::mt19937_64& random) const {
    if (tasks_median <= 0) return std::uniform_int_distribution<int>(min_tasks, max_tasks)(random);
    // 1.645 standard deviations above the median lie 95%.
    const double spread = std::log(tasks_p95 / tasks_median) / 1.645;
    const double drawn = std::lognormal_distribution<double>(std::log(tasks_median), spread)(random);
    return static_cast<int>(std::clamp<double>(std::round(drawn), min_tasks, max_tasks));
}

std::vector<Micros> Workload::arrivals(Micros end, std::mt19937_64& random) const {
    std::vector<Micros> out;
    if (arrivals_end > 0) end = std::min(end, arrivals_end);
    std::exponential_distribution<double> gap(std::max(per_minute, 1e-9) / 60e6);
    for (double t = 3e6;;) {
        const auto at = static_cast<Micros>(t);
        const bool more = at >= burst_start && at < burst_start + burst_duration;
        t += gap(random) / std::max(more ? burst_factor : 1, 1e-9);
        if (t >= static_cast<double>(end)) return out;
        out.push_back(static_cast<Micros>(t));
    }
}

Micros Fault::end_time(int nodes) const {
    return start + interval * (repetitions - 1) + duration +
           return_interval * (node < 0 && target == Target::Node ? nodes - 1 : 0) + max_delay;
}

Micros Scenario::faults_end() const {
    Micros last = 0;
    for (const auto& f : faults) last = std::max(last, f.end_time(controllers));
    return last;
}

Scenario Scenario::load(const std::string& path) {
    const toml::table file = settings::parse_file(path);
    Scenario e;
    Table t(file, "");
    e.name = t.text("name", path);
    e.seed = static_cast<std::uint64_t>(t.count("seed", 1));
    e.seeds = t.count("seeds", 1, 100'000);
    e.duration = t.seconds("duration_s", 60);
    e.controllers = t.count("controllers", 3, 9);
    e.finished_jobs = t.count("history", 0);
    e.cloud_capacity = t.count("capacity", 0);
    e.min_poll_interval = t.seconds("poll_s", 1);
    e.max_extra_link_delay = t.seconds("slow_links_s", 0);
    e.fast_boot_rate = t.number("swift_boots", 0, 0, 1);
    e.checks_acceptance = t.flag("acceptance", true);
    const std::string policy_file = t.text("policy", "");
    if (e.controllers < 1) fail("controllers", "must be at least 1");
    load_settings(t, e);
    if (e.settings.teams.empty()) fail("team", "at least one is needed");
    t.rows("type", [&](Table& x) {
        MachineType m;
        m.name = x.text("name", "small");
        m.size = {x.milli("cores", 8), x.milli("cards", 0), x.milli("ram_gb", 32)};
        m.cache_gb = x.milli("cache_gb", 50);
        m.fetch_gb_per_s = x.number("fetch_gb_per_s", 1, 0.001, 1000);
        m.price = x.number("price", 1, 0, 1e6);
        m.spot_price = m.price / 3;
        m.boot = x.seconds("boot_s", 20);
        m.zones = e.settings.zones;
        e.machine_types.push_back(m);
    });
    if (e.machine_types.empty()) fail("type", "at least one is needed");
    t.rows("machines", [&](Table& x) {
        MachineGroup m{x.text("type", e.machine_types.front().name), x.text("zone", e.settings.zones.front()),
                       x.flag("spot"), x.count("count", 1, 20'000)};
        if (std::none_of(e.machine_types.begin(), e.machine_types.end(),
                         [&](const auto& k) { return k.name == m.type; }))
            fail("machines.type", "no such type: " + m.type);
        e.machine_groups.push_back(m);
    });
    t.rows("load", [&](Table& x) { load_load(x, e); });
    t.rows("fault", [&](Table& x) { e.faults.push_back(load_fault(x, e)); });
    if (e.checks_acceptance && !e.faults.empty() && e.duration < e.faults_end() + kMaxPollGap + 5 * kSecond)
        fail("duration_s", "must leave 80 s after the last fault, or set acceptance = false");
    if (!policy_file.empty())
        e.settings.ops.policy =
            policy::load((std::filesystem::path(path).parent_path() / policy_file).string(), &e.settings);
    return e;
}

// ---------------------------------------------------------------- figures

void DurationHistogram::add(Micros t) {
    bins_(static_cast<double>(std::max<Micros>(t, kMillisecond)));
    ++count_;
    worst_ = std::max(worst_, t);
}

Micros DurationHistogram::quantile(double share) const {
    double left = share * static_cast<double>(count_);
    for (auto&& bin : boost::histogram::indexed(bins_, boost::histogram::coverage::all)) {
        left -= *bin;
        if (left <= 0 && count_ > 0) return std::min(static_cast<Micros>(bin.bin().upper()), worst_);
    }
    return 0;
}

void DurationHistogram::merge(const DurationHistogram& other) {
    bins_ += other.bins_;
    count_ += other.count_;
    worst_ = std::max(worst_, other.worst_);
}

namespace {
Json times_value(const DurationHistogram& t) {
    auto ms = [](Micros x) { return static_cast<double>(x) / 1e3; };
    return {{"count", t.count()},
            {"p50_ms", ms(t.quantile(0.5))},
            {"p95_ms", ms(t.quantile(0.95))},
            {"p99_ms", ms(t.quantile(0.99))},
            {"worst_ms", ms(t.max())}};
}

Json shares_value(const std::map<std::string, ServedShare>& all) {
    Json v = Json::object();
    for (const auto& [name, s] : all)
        v[name] = {{"due", s.due}, {"served", s.served}, {"part", s.fraction()}};
    return v;
}

Json acceptance_value(const AcceptanceResult& a) {
    Json waits = Json::object();
    for (const auto& [name, t] : a.longest_wait_of_largest) waits[name] = t / kMillisecond;
    return {{"broken", a.violations},
            {"unanswered_ms", a.longest_unanswered / kMillisecond},
            {"left_waiting_ms", a.longest_startable_wait / kMillisecond},
            {"served_by_class", shares_value(a.served_by_class)},
            {"served_by_team", shares_value(a.served_by_team)},
            {"served_of_largest", shares_value(a.served_of_largest)},
            {"longest_wait_of_largest_ms", waits}};
}
}  // namespace

Json ScenarioResults::to_json() const {
    Json w = Json::object();
    for (const auto& [name, t] : start_delays) w[name] = times_value(t);
    Json g = Json::object();
    for (const auto& [name, t] : replica_downtimes) g[name] = times_value(t);
    return {
        {"runs", runs},
        {"rules_broken", violations},
        {"acceptance", acceptance_value(acceptance)},
        {"jobs", {{"submitted", jobs_submitted}, {"accepted", jobs_accepted}, {"over", jobs_finished}}},
        {"tasks", {{"started", task_starts}, {"started_again", unnecessary_starts}}},
        {"waits", w},
        {"started_within_aim", shares_value(within_wait_objective)},
        {"gaps", g},
        {"to_active", times_value(time_to_active)},
        {"active_to_first_bind", times_value(time_to_first_bind)},
        {"most_domains_at_one_node", max_shards_per_node},
        {"orders", {{"launches", launches}, {"stops", stops}, {"once_more", repeated_orders}}},
        {"requests_a_start_of_all", restarts_of_all ? state_requests_after_restarts / restarts_of_all : 0},
        {"changes", changes_by_purpose}};
}

std::string ScenarioResults::table() const {
    std::string out;
    auto line = [&](const std::string& name, const std::string& what) {
        out += fmt::format("{:<34} {}\n", name, what);
    };
    auto times = [&](const std::string& name, const DurationHistogram& t) {
        if (t.count() == 0) return;
        auto s = [](Micros x) { return static_cast<double>(x) / 1e6; };
        line(name,
             fmt::format("{} of them, p50 {:.3f} s, p95 {:.3f} s, p99 {:.3f} s, worst {:.3f} s", t.count(),
                         s(t.quantile(0.5)), s(t.quantile(0.95)), s(t.quantile(0.99)), s(t.max())));
    };
    line("runs", std::to_string(runs));
    line("rules broken",
         violations.empty() ? "none" : std::to_string(violations.size()) + ": " + violations.front());
    line("jobs",
         fmt::format("{} submitted, {} accepted, {} over", jobs_submitted, jobs_accepted, jobs_finished));
    line("tasks", fmt::format("{} started, {} again though they ran on", task_starts, unnecessary_starts));
    for (const auto& [name, t] : start_delays) times("wait of " + name, t);
    for (const auto& [name, s] : within_wait_objective)
        line("started within aim of " + name, fmt::format("{:.3f}, {} of {}", s.fraction(), s.served, s.due));
    for (const auto& [name, t] : replica_downtimes) times("without a replica of " + name, t);
    times("process back to domain active", time_to_active);
    times("active to first bind", time_to_first_bind);
    if (restarts_of_all > 0) {
        line("most domains at one node", fmt::format("{}, 2 s after all were back", max_shards_per_node));
        line("requests a start of all", std::to_string(state_requests_after_restarts / restarts_of_all));
    }
    line("orders of domains that started",
         fmt::format("{} launches, {} stops, {} of them once more", launches, stops, repeated_orders));
    for (const auto& [purpose, n] : changes_by_purpose) line("changes: " + purpose, std::to_string(n));
    line("longest unanswered after troubles",
         fmt::format("{:.1f} s", static_cast<double>(acceptance.longest_unanswered) / 1e6));
    line("longest left waiting with room",
         fmt::format("{:.1f} s", static_cast<double>(acceptance.longest_startable_wait) / 1e6));
    auto shares = [&](const std::string& what, const std::map<std::string, ServedShare>& all) {
        for (const auto& [name, s] : all)
            line(fmt::format("served of {} {}", what, name),
                 fmt::format("{:.3f}, {} of {}", s.fraction(), s.served, s.due));
    };
    shares("class", acceptance.served_by_class);
    shares("team", acceptance.served_by_team);
    shares("the largest of", acceptance.served_of_largest);
    for (const auto& [name, t] : acceptance.longest_wait_of_largest)
        line("longest wait of a largest " + name, fmt::format("{:.1f} s", static_cast<double>(t) / 1e6));
    for (const auto& b : acceptance.violations) line("NOT ACCEPTABLE", b);
    return out;
}

std::string ScenarioResults::csv() const {
    std::string out = "figure,count,p50_s,p95_s,p99_s,worst_s\n";
    auto times = [&](const std::string& name, const DurationHistogram& t) {
        auto s = [](Micros x) { return static_cast<double>(x) / 1e6; };
        out += fmt::format("{},{},{:.6f},{:.6f},{:.6f},{:.6f}\n", name, t.count(), s(t.quantile(0.5)),
                           s(t.quantile(0.95)), s(t.quantile(0.99)), s(t.max()));
    };
    for (const auto& [name, t] : start_delays) times("wait " + name, t);
    times("to active", time_to_active);
    times("active to first bind", time_to_first_bind);
    auto count = [&](const std::string& name, std::size_t n) { out += fmt::format("{},{},,,,\n", name, n); };
    count("rules broken", violations.size());
    count("tasks started", task_starts);
    count("tasks started again", unnecessary_starts);
    count("most domains at one node", max_shards_per_node);
    count("orders", launches + stops);
    count("orders once more", repeated_orders);
    count("requests a start of all", restarts_of_all ? state_requests_after_restarts / restarts_of_all : 0);
    for (const auto& [purpose, n] : changes_by_purpose) count("changes " + purpose, n);
    count("not acceptable", acceptance.violations.size());
    count("unanswered ms", static_cast<std::size_t>(acceptance.longest_unanswered / kMillisecond));
    count("left waiting ms", static_cast<std::size_t>(acceptance.longest_startable_wait / kMillisecond));
    auto shares = [&](const std::string& what, const std::map<std::string, ServedShare>& all) {
        for (const auto& [name, s] : all) {
            count("due of " + what + name, static_cast<std::size_t>(s.due));
            count("served of " + what + name, static_cast<std::size_t>(s.served));
        }
    };
    shares("class ", acceptance.served_by_class);
    shares("team ", acceptance.served_by_team);
    shares("largest ", acceptance.served_of_largest);
    return out;
}

// ---------------------------------------------------------------- playing

namespace {

/// Watches what controllers do, from outside.
class Watcher {
  public:
    Watcher(Simulator& w, ScenarioResults& into)
        : w_(w), into_(into), active_(static_cast<std::size_t>(w.node_count())) {}

    void ended(int node, Micros back) { back_at_[node] = w_.now() + back; }
    void look() {
        for (int i = 0; i < w_.node_count(); ++i) {
            Controller* c = w_.node(i);
            auto& active = active_[static_cast<std::size_t>(i)];
            if (!c) {
                active.clear();
                continue;
            }
            for (const auto& [name, o] : c->owners()) {
                if (!o || !o->active() || !active.insert({name, o->mod_revision()}).second) continue;
                if (auto back = back_at_.find(i); back != back_at_.end() && o->machines().size() > 0)
                    into_.time_to_active.add(w_.now() - back->second);
            }
        }
    }
    /// Figures of the starts that are held now.
    void collect(std::set<std::pair<std::string, Revision>>& collected) {
        for (int i = 0; i < w_.node_count(); ++i) {
            Controller* c = w_.node(i);
            if (!c) continue;
            for (const auto& [name, o] : c->owners()) {
                if (!o || !o->active() || o->machines().empty() ||
                    !collected.insert({name, o->mod_revision()}).second)
                    continue;
                const Json s = o->status()["start"];
                into_.launches += s["launches"].get<std::size_t>();
                into_.stops += s["stops"].get<std::size_t>();
                into_.repeated_orders += s["orders_again"].get<std::size_t>();
                if (s["first_bind_ms"].is_number())
                    into_.time_to_first_bind.add(s["first_bind_ms"].get<Micros>() * kMillisecond);
            }
        }
    }

  private:
    Simulator& w_;
    ScenarioResults& into_;
    std::vector<std::set<std::pair<std::string, Revision>>> active_;
    std::map<int, Micros> back_at_;
};

/// The nodes that it hits: where nobody leads or holds a machine, one is drawn.
std::vector<int> nodes_of(Simulator& w, const Fault& f) {
    int one = f.target == Fault::Target::Leader    ? w.leader_node()
              : f.target == Fault::Target::Busiest ? w.busiest_node()
                                                   : f.node;
    if (one < 0 && f.target != Fault::Target::Node)
        one = static_cast<int>(w.random() % static_cast<std::uint64_t>(w.node_count()));
    std::vector<int> nodes;
    for (int i = 0; i < w.node_count(); ++i)
        if (one < 0 || one == i) nodes.push_back(i);
    return nodes;
}

/// The machines that it hits.
std::vector<std::string> machines_of(Simulator& w, const Fault& f) {
    auto names = w.machine_names();
    if (kOfMachines.count(f.kind))
        std::erase_if(names, [&](const auto& m) { return !f.zone.empty() && w.worker(m)->zone() != f.zone; });
    std::shuffle(names.begin(), names.end(), w.random);
    auto most = static_cast<std::size_t>(f.count);
    if (kOfMachines.count(f.kind))
        most = std::min(most,
                        static_cast<std::size_t>(std::ceil(f.fraction * static_cast<double>(names.size()))));
    names.resize(std::min(names.size(), most));
    return names;
}

void begin_fault(Simulator& w, const Fault& f, Watcher& watcher, ScenarioResults& into) {
    const std::vector<int> nodes = nodes_of(w, f);
    const std::vector<std::string> names = machines_of(w, f);
    auto host = [](int i) { return "loom-" + std::to_string(i); };
    auto set = [&](auto& what, auto to) {
        what = to;
        w.schedule_at(w.now() + f.duration, [&what] { what = {}; });
    };
    if (f.kind == "end" || f.kind == "end_all") {
        w.record_running_tasks();
        Micros back = f.duration;
        for (int i : nodes) {
            w.crash(i, back);
            watcher.ended(i, back);
            back += f.return_interval;
        }
        if (f.kind != "end_all") return;
        const Micros all_back = w.now() + back - f.return_interval;
        auto before = std::make_shared<std::uint64_t>(0);
        auto requests = [&w] {
            std::uint64_t n = 0;
            for (int i = 0; i < w.node_count(); ++i) n += w.state_requests(i);
            return n;
        };
        *before = requests();
        w.schedule_at(all_back + 2 * kSecond, [&w, &into, before, requests] {
            into.state_requests_after_restarts += requests() - *before;
            ++into.restarts_of_all;
            for (int i = 0; i < w.node_count(); ++i) {
                std::size_t held = 0;
                if (w.node(i))
                    for (const auto& [name, o] : w.node(i)->owners()) held += o && !o->machines().empty();
                into.max_shards_per_node = std::max(into.max_shards_per_node, held);
            }
        });
    } else if (f.kind == "state_down") {
        w.state().set_down(true, w.now());
        w.schedule_at(w.now() + f.duration, [&w] { w.state().set_down(false, w.now()); });
    } else if (f.kind == "freeze") {
        for (int i : nodes) w.freeze_process(i, f.duration);
    } else if (f.kind == "refuse") {
        for (int i : nodes) {
            w.refuse_state_requests(i, true);
            w.schedule_at(w.now() + f.duration, [&w, i] { w.refuse_state_requests(i, false); });
        }
    } else if (f.kind == "cut_state" || f.kind == "cut_workers") {
        std::vector<std::string> others = f.kind == "cut_state" ? std::vector<std::string>{"state"} : names;
        for (int i : nodes)
            for (const auto& other : others) {
                w.cut_link(host(i), other);
                w.schedule_at(w.now() + f.duration, [&w, n = host(i), other] { w.heal_link(n, other); });
            }
    } else if (f.kind == "cut_peers") {
        for (int i : nodes)
            for (int j = 0; j < w.node_count(); ++j)
                if (i != j) {
                    w.cut_link(host(i), host(j));
                    w.schedule_at(w.now() + f.duration,
                                  [&w, a = host(i), b = host(j)] { w.heal_link(a, b); });
                }
    } else if (f.kind == "repeat") {
        set(w.duplicate_rate, f.fraction);
        w.duplicate_commands = f.duplicates_commands;
        w.max_duplicate_delay = std::max(f.max_delay, kMillisecond);
    } else if (f.kind == "late_writes") {
        set(f.only_answers_lost ? w.unanswered_write_rate : w.delayed_write_rate, f.fraction);
    } else if (f.kind == "late_reports") {
        set(f.replays_to_next_leader ? w.replayed_report_rate : w.late_report_copy_rate, f.fraction);
    } else if (f.kind == "late_commands") {
        set(w.delayed_command_rate, f.fraction);
    } else if (f.kind == "slow_state") {
        set(w.max_state_answer_delay, f.max_delay);
    } else if (f.kind == "cancel_now") {
        w.cancel_random_jobs(f.count, f.duration);
    } else if (f.kind == "cancel_at_end") {
        set(w.cancel_on_completion_rate, f.fraction);
    } else if (f.kind == "close_looks") {
        set(w.query_after_changes, true);
    } else if (f.kind == "odd_requests") {
        set(w.send_unusual_requests, true);
    } else if (f.kind == "cut_off") {
        for (int i : nodes) {
            w.isolate_controller(i, true);
            w.schedule_at(w.now() + f.duration, [&w, i] { w.isolate_controller(i, false); });
        }
    } else if (f.kind == "deaf") {
        for (const auto& m : names) {
            w.block_messages_to(m, true);
            w.schedule_at(w.now() + f.duration, [&w, m] { w.block_messages_to(m, false); });
        }
    } else if (f.kind == "mute") {
        for (const auto& m : names) {
            w.block_reports_from(m, true);
            w.schedule_at(w.now() + f.duration, [&w, m] { w.block_reports_from(m, false); });
        }
    } else if (f.kind == "zone_lost") {
        w.fail_zone(f.zone, f.ends_zone);
        if (f.duration > 0)
            w.schedule_at(w.now() + f.duration, [&w, zone = f.zone] { w.restore_zone(zone); });
    } else if (f.kind == "zone_back") {
        w.restore_zone(f.zone);
    } else if (f.kind == "kill") {
        for (const auto& m : names) w.kill_machine(m);
    } else if (f.kind == "hang") {
        for (const auto& m : names) {
            w.set_hung(m, true);
            w.schedule_at(w.now() + f.duration, [&w, m] { w.set_hung(m, false); });
        }
    }
}

}  // namespace

void run_scenario(const Scenario& e, std::uint64_t seed, ScenarioResults& into) {
    Simulator w(seed, e.settings, e.machine_types);
    fakes::add_history(w.state(), e.finished_jobs);
    for (const auto& m : e.machine_groups)
        for (int i = 0; i < m.count; ++i) w.add_machine(m.type, m.zone, m.spot);
    w.cloud().capacity = e.cloud_capacity;
    w.min_poll_interval = e.min_poll_interval;
    w.fast_boot_rate = e.fast_boot_rate;
    w.max_extra_link_delay = e.max_extra_link_delay;
    w.start_nodes(e.controllers);
    if (e.limits_state_writes) w.state().limits.write_rps = e.settings.state_write_rps;
    Watcher watcher(w, into);
    std::mt19937_64 random(seed * 7919 + 1);
    int number = 1;
    auto submit = [&](const Workload& l) {
        JobSpec s = l.job;
        s.ref = w.make_job(number, s.kind, 1).ref;
        s.image = s.job_class + "-" + std::to_string(number % l.image_count);
        s.tasks = l.draw_tasks(random);
        const double spread = std::uniform_real_distribution<double>(0.6, 1.4)(random);
        ++number;
        w.submit(s, static_cast<Micros>(static_cast<double>(l.task_duration) * spread), l.image_fetch_time);
        if (l.mean_lifetime == 0) return;
        const double rate = 1 / static_cast<double>(l.mean_lifetime);
        const auto lasts = static_cast<Micros>(std::exponential_distribution<double>(rate)(random));
        w.schedule_at(w.now() + lasts, [&w, ref = s.ref] { w.cancel(ref); });
    };
    for (const auto& l : e.workloads) {
        for (int i = 0; i < l.initial_jobs; ++i)
            w.schedule_at(2 * kSecond + i * 20 * kMillisecond, [&] { submit(l); });
        for (const Micros t : l.arrivals(e.duration - 20 * kSecond, random))
            w.schedule_at(t, [&] { submit(l); });
    }
    for (const auto& f : e.faults)
        for (int n = 0; n < f.repetitions; ++n)
            w.schedule_at(f.start + n * f.interval,
                          [&w, &f, &watcher, &into] { begin_fault(w, f, watcher, into); });
    w.schedule_at(e.faults_end(), [&w] { w.mark_faults_over(); });
    std::set<std::pair<std::string, Revision>> collected;
    for (Micros t = 0; t < e.duration; t += 20 * kMillisecond) w.schedule_at(t, [&] { watcher.look(); });
    // Twelve seconds after each end, when starts have summed themselves up, and at the very end.
    for (const auto& f : e.faults)
        if (f.kind == "end" || f.kind == "end_all")
            w.schedule_at(f.start + f.duration + f.return_interval * e.controllers + 12 * kSecond,
                          [&] { watcher.collect(collected); });
    w.run(e.duration);
    for (int i = 0; i < w.node_count(); ++i)
        if (w.node(i))
            for (const auto& [purpose, n] : w.node(i)->store().sent()) into.changes_by_purpose[purpose] += n;
    ++into.runs;
    for (const auto& b : w.violations) into.violations.push_back(fmt::format("seed {}: {}", seed, b));
    for (const auto& ref : w.job_refs()) {
        ++into.jobs_submitted;
        const std::string told = w.reported_stage(ref);
        into.jobs_accepted += !told.empty();
        into.jobs_finished += told == "done" || told == "cancelled";
        into.task_starts += static_cast<std::size_t>(w.task_starts(ref));
    }
    into.unnecessary_starts += w.unnecessary_starts();
    if (e.checks_acceptance)
        into.acceptance.add(evaluate_acceptance(w.job_outcomes(), w.settings.teams, w.now()),
                            fmt::format("seed {}: ", seed));
    for (const auto& [name, t] : w.task_start_delays()) {
        into.start_delays[name].add(t);
        const auto goals = e.settings.goals("wait", name);
        if (goals.empty()) continue;
        ++into.within_wait_objective[name].due;
        into.within_wait_objective[name].served += t <= goals.front();
    }
    for (const auto& [name, t] : w.replica_downtimes()) into.replica_downtimes[name].add(t);
}

}  // namespace cottonway::simulation
