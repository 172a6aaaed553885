#include "protocol/protocol.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace cottonway::wire {
namespace {

constexpr int kMaxDepth = 24;
constexpr std::size_t kMaxText = 256;
constexpr std::size_t kMaxTypes = 64;
constexpr std::size_t kMaxNeeds = 1000;
constexpr double kMaxAmount = 1e9;

/// Builds the value, but gives up on nesting that would exhaust the stack.
class BoundedSax : public nlohmann::detail::json_sax_dom_parser<Json> {
    using Base = nlohmann::detail::json_sax_dom_parser<Json>;

  public:
    explicit BoundedSax(Json& out) : Base(out, false) {}
    bool start_object(std::size_t n) { return ++depth_ <= kMaxDepth && Base::start_object(n); }
    bool end_object() {
        --depth_;
        return Base::end_object();
    }
    bool start_array(std::size_t n) { return ++depth_ <= kMaxDepth && Base::start_array(n); }
    bool end_array() {
        --depth_;
        return Base::end_array();
    }

  private:
    int depth_ = 0;
};

template <class E, std::size_t N>
using Words = std::array<std::pair<const char*, E>, N>;

constexpr Words<JobKind, 3> kKinds{
    {{"array", JobKind::Array}, {"group", JobKind::Gang}, {"service", JobKind::Service}}};
constexpr Words<PriorityClass, 4> kRanks{{{"critical", PriorityClass::Production},
                                          {"high", PriorityClass::High},
                                          {"normal", PriorityClass::Normal},
                                          {"idle", PriorityClass::Low}}};
constexpr Words<Phase, 5> kPhases{{{"pulling", Phase::Fetching},
                                   {"gathering", Phase::WaitingForGang},
                                   {"running", Phase::Running},
                                   {"saving", Phase::Saving},
                                   {"exited", Phase::Exited}}};
constexpr Words<ExitCause, 8> kCauses{{{"done", ExitCause::Done},
                                       {"stopped", ExitCause::Stopped},
                                       {"mates_gone", ExitCause::GangPeersGone},
                                       {"incomplete", ExitCause::GangIncomplete},
                                       {"error", ExitCause::Error},
                                       {"full", ExitCause::NoCapacity},
                                       {"in_use", ExitCause::AlreadyPresent},
                                       {"no_such", ExitCause::UnknownJob}}};
constexpr Words<CloudState, 3> kCloudStates{
    {{"starting", CloudState::Starting}, {"running", CloudState::Running}, {"failed", CloudState::Failed}}};

template <class E, std::size_t N>
std::optional<E> word(const Words<E, N>& words, const std::optional<std::string>& name) {
    if (!name) return std::nullopt;
    for (const auto& [text, value] : words)
        if (*name == text) return value;
    return std::nullopt;
}

template <class E, std::size_t N>
const char* name_of(const Words<E, N>& words, E value) {
    for (const auto& [text, v] : words)
        if (v == value) return text;
    return "";
}

std::optional<double> amount(const Json& map, const char* key) {
    auto n = number(map, key);
    if (!n || !std::isfinite(*n) || *n < 0 || *n > kMaxAmount) return std::nullopt;
    return n;
}

/// Needs are rounded up, so that whole thousandths never promise more room than there is.
Milli milli_up(double v) {
    return static_cast<Milli>(std::ceil(v * 1000.0 - 1e-6));
}
Milli milli_down(double v) {
    return static_cast<Milli>(std::floor(v * 1000.0 + 1e-6));
}
Micros micros(double seconds) {
    return static_cast<Micros>(std::llround(seconds * 1e6));
}
double seconds(Micros t) {
    return static_cast<double>(t) / 1e6;
}

std::optional<std::pair<std::string, int>> parse_task_name(const std::string& name) {
    auto slash = name.rfind('/');
    if (slash == std::string::npos || slash + 1 >= name.size() || name.size() - slash > 8)
        return std::nullopt;
    int task = 0;
    for (auto i = slash + 1; i < name.size(); ++i) {
        if (name[i] < '0' || name[i] > '9') return std::nullopt;
        task = task * 10 + (name[i] - '0');
    }
    return std::pair{name.substr(0, slash), task};
}

Json order_value(const Order& o) {
    Json v{{"thread", o.job + "/" + std::to_string(o.task)}, {"try", o.attempt}};
    switch (o.kind) {
        case OrderKind::Launch:
            v["order"] = "launch";
            break;
        case OrderKind::Stop:
            v["order"] = "stop";
            v["slack_s"] = seconds(o.grace);
            break;
        case OrderKind::Clear:
            v["order"] = "clear";
            break;
    }
    return v;
}

Json orders_value(const std::vector<Order>& orders) {
    Json list = Json::array();
    for (const auto& o : orders) list.push_back(order_value(o));
    return list;
}

}  // namespace

std::optional<Json> decode(std::string_view bytes) {
    Json out;
    BoundedSax sax(out);
    try {
        if (!Json::sax_parse(bytes.begin(), bytes.end(), &sax, nlohmann::detail::input_format_t::msgpack))
            return std::nullopt;
    } catch (const std::exception&) {
        return std::nullopt;
    }
    return out;
}

std::string encode(const Json& value) {
    std::string out;
    Json::to_msgpack(value, out);
    return out;
}

const Json* find(const Json& map, const char* key) {
    if (!map.is_object()) return nullptr;
    auto it = map.find(key);
    return it == map.end() || it->is_null() ? nullptr : &*it;
}

std::optional<std::string> text(const Json& map, const char* key) {
    const Json* v = find(map, key);
    if (!v || !v->is_string()) return std::nullopt;
    return v->get<std::string>();
}

std::optional<std::uint64_t> count(const Json& map, const char* key) {
    const Json* v = find(map, key);
    if (!v || !v->is_number_integer()) return std::nullopt;
    if (!v->is_number_unsigned() && v->get<std::int64_t>() < 0) return std::nullopt;
    return v->get<std::uint64_t>();
}

std::optional<double> number(const Json& map, const char* key) {
    const Json* v = find(map, key);
    if (!v || !v->is_number()) return std::nullopt;
    return v->get<double>();
}

std::optional<bool> flag(const Json& map, const char* key) {
    const Json* v = find(map, key);
    if (!v || !v->is_boolean()) return std::nullopt;
    return v->get<bool>();
}

bool is_valid_ref(std::string_view ref) {
    constexpr std::string_view prefix = "req-";
    if (ref.substr(0, prefix.size()) != prefix) return false;
    auto digits = ref.substr(prefix.size());
    return digits.size() >= 6 && digits.size() <= 18 &&
           std::all_of(digits.begin(), digits.end(), [](char c) { return c >= '0' && c <= '9'; });
}

std::optional<std::string> parse_ref(const Json& body) {
    auto ref = text(body, "ref");
    if (!ref || !is_valid_ref(*ref)) return std::nullopt;
    return ref;
}

JobResult parse_job(const Json& body) {
    JobSpec s;
    auto bad = [](const char* field) { return JobResult{std::nullopt, field}; };
    if (!body.is_object()) return bad("not a map");
    if (auto v = parse_ref(body))
        s.ref = *v;
    else
        return bad("ref");
    auto name = [&](const char* key, std::string& out) {
        auto v = text(body, key);
        if (!v || v->empty() || v->size() > kMaxText) return false;
        out = *v;
        return true;
    };
    if (!name("pattern", s.job_class)) return bad("pattern");
    if (!name("crew", s.team)) return bad("crew");
    if (!name("bolt", s.image)) return bad("bolt");
    if (auto v = word(kKinds, text(body, "weave")))
        s.kind = *v;
    else
        return bad("weave");
    if (auto v = word(kRanks, text(body, "rank")))
        s.rank = *v;
    else
        return bad("rank");
    if (auto v = count(body, "threads"); v && *v >= 1 && *v <= 100'000)
        s.tasks = static_cast<int>(*v);
    else
        return bad("threads");
    auto take = [&](const char* key, auto&& use) {
        auto v = amount(body, key);
        if (v) use(*v);
        return v.has_value();
    };
    if (!take("cores", [&](double v) { s.request.cores = milli_up(v); })) return bad("cores");
    if (!take("cards", [&](double v) { s.request.gpus = milli_up(v); })) return bad("cards");
    if (!take("ram_gb", [&](double v) { s.request.ram = milli_up(v); })) return bad("ram_gb");
    if (!take("pull_gb", [&](double v) { s.image_gb = milli_up(v); })) return bad("pull_gb");
    if (!take("reckon_s", [&](double v) { s.estimated_duration = micros(v); })) return bad("reckon_s");
    if (!take("knot_s", [&](double v) { s.checkpoint_interval = micros(v); })) return bad("knot_s");
    if (!take("bind_s", [&](double v) { s.save_duration = micros(v); })) return bad("bind_s");
    auto boolean = [&](const char* key, bool& out) {
        auto v = flag(body, key);
        if (v) out = *v;
        return v.has_value();
    };
    if (!boolean("one_zone", s.one_zone)) return bad("one_zone");
    if (!boolean("spread", s.spread)) return bad("spread");
    if (!boolean("remnant", s.spot)) return bad("remnant");
    if (const Json* types = find(body, "looms")) {
        if (!types->is_array() || types->size() > kMaxTypes) return bad("looms");
        s.types.emplace();
        for (const auto& t : *types) {
            if (!t.is_string() || t.get_ref<const std::string&>().size() > kMaxText) return bad("looms");
            s.types->push_back(t.get<std::string>());
        }
    }
    if (find(body, "mill")) {
        std::string zone;
        if (!name("mill", zone)) return bad("mill");
        s.zone = zone;
    }
    if (find(body, "due_s")) {
        auto v = amount(body, "due_s");
        if (!v) return bad("due_s");
        s.deadline = micros(*v);
    }
    if (const Json* needs = find(body, "warp")) {
        if (!needs->is_array() || needs->size() > kMaxNeeds) return bad("warp");
        for (const auto& n : *needs) {
            if (!n.is_string() || !is_valid_ref(n.get_ref<const std::string&>())) return bad("warp");
            const auto ref = n.get<std::string>();
            if (std::find(s.dependencies.begin(), s.dependencies.end(), ref) == s.dependencies.end())
                s.dependencies.push_back(ref);
        }
    }
    return {std::move(s), ""};
}

Json job_value(const JobSpec& s) {
    auto amount_of = [](Milli m) { return static_cast<double>(m) / 1000.0; };
    Json v{{"ref", s.ref},
           {"pattern", s.job_class},
           {"crew", s.team},
           {"weave", name_of(kKinds, s.kind)},
           {"rank", name_of(kRanks, s.rank)},
           {"threads", s.tasks},
           {"cores", amount_of(s.request.cores)},
           {"cards", amount_of(s.request.gpus)},
           {"ram_gb", amount_of(s.request.ram)},
           {"bolt", s.image},
           {"pull_gb", amount_of(s.image_gb)},
           {"one_zone", s.one_zone},
           {"spread", s.spread},
           {"remnant", s.spot},
           {"reckon_s", seconds(s.estimated_duration)},
           {"knot_s", seconds(s.checkpoint_interval)},
           {"bind_s", seconds(s.save_duration)}};
    if (s.types) v["looms"] = *s.types;
    if (s.zone) v["mill"] = *s.zone;
    if (s.deadline) v["due_s"] = seconds(*s.deadline);
    if (!s.dependencies.empty()) v["warp"] = s.dependencies;
    return v;
}

std::optional<Report> parse_report(const Json& body) {
    Report r;
    auto machine = text(body, "frame"), addr = text(body, "addr"), type = text(body, "loom_type"),
         zone = text(body, "mill");
    auto session = count(body, "shift"), seq = count(body, "tally");
    if (!machine || machine->empty() || machine->size() > 100 || !addr || !type || !zone || !session || !seq)
        return std::nullopt;
    r.machine = *machine;
    r.address = *addr;
    r.type = *type;
    r.zone = *zone;
    r.spot = flag(body, "remnant").value_or(false);
    r.session = *session;
    r.seq = *seq;
    r.token = count(body, "shuttle").value_or(0);
    if (auto n = amount(body, "warning_s")) r.termination_notice = micros(*n);
    const Json* tasks = find(body, "threads");
    if (tasks && !tasks->is_array()) return std::nullopt;
    if (!tasks) return r;
    for (const auto& t : *tasks) {
        auto name = text(t, "thread");
        auto parsed = name ? parse_task_name(*name) : std::nullopt;
        auto attempt = count(t, "try");
        auto phase = word(kPhases, text(t, "stage"));
        if (!parsed || !attempt || !phase) return std::nullopt;
        ReportedTask task;
        task.job = parsed->first;
        task.task = parsed->second;
        task.attempt = static_cast<std::int64_t>(*attempt);
        task.phase = *phase;
        task.cause = word(kCauses, text(t, "cause")).value_or(ExitCause::Stopped);
        task.saved = flag(t, "stored").value_or(false);
        r.tasks.push_back(std::move(task));
    }
    return r;
}

Json report_answer(std::uint64_t token, const std::vector<Order>& orders) {
    return {{"shuttle", token}, {"orders", orders_value(orders)}};
}

Json direct_orders(std::uint64_t token, std::uint64_t session, const std::vector<Order>& orders) {
    return {{"shuttle", token}, {"shift", session}, {"orders", orders_value(orders)}};
}

Json redirect(const std::string& node) {
    return {{"overseer", node}};
}

Json job_answer(const std::string& ref, std::string_view stage) {
    return {{"ref", ref}, {"stage", stage}};
}

Json job_state(const std::string& ref, std::string_view stage, int done, int running) {
    return {{"ref", ref}, {"stage", stage}, {"done", done}, {"running", running}};
}

std::optional<std::vector<MachineType>> parse_machine_types(const Json& body) {
    const Json* list = find(body, "looms");
    if (!list || !list->is_array()) return std::nullopt;
    std::vector<MachineType> out;
    for (const auto& t : *list) {
        MachineType m;
        auto name = text(t, "name");
        auto cores = amount(t, "cores"), ram = amount(t, "ram_gb");
        const Json* zones = find(t, "mills");
        if (!name || !cores || !ram || !zones || !zones->is_array()) return std::nullopt;
        m.name = *name;
        m.size = {milli_down(*cores), milli_down(amount(t, "cards").value_or(0)), milli_down(*ram)};
        m.cache_gb = milli_down(amount(t, "cache_gb").value_or(0));
        m.fetch_gb_per_s = amount(t, "fetch_gb_per_s").value_or(0);
        m.price = amount(t, "price").value_or(0);
        m.spot_price = amount(t, "spot_price").value_or(m.price);
        m.boot_duration = micros(amount(t, "ready_s").value_or(60));
        for (const auto& z : *zones)
            if (z.is_string()) m.zones.push_back(z.get<std::string>());
        out.push_back(std::move(m));
    }
    return out;
}

std::optional<MachinePage> parse_machines(const Json& body) {
    const Json* list = find(body, "frames");
    if (!list || !list->is_array()) return std::nullopt;
    MachinePage page;
    page.has_more = flag(body, "has_next").value_or(false);
    for (const auto& f : *list) {
        CloudMachine m;
        auto name = text(f, "ref"), type = text(f, "loom_type"), zone = text(f, "mill");
        auto state = word(kCloudStates, text(f, "stage"));
        if (!name || !type || !zone || !state) return std::nullopt;
        m.name = *name;
        m.address = text(f, "addr").value_or("");
        m.type = *type;
        m.zone = *zone;
        m.spot = flag(f, "remnant").value_or(false);
        m.state = *state;
        m.age = micros(amount(f, "held_s").value_or(0));
        page.machines.push_back(std::move(m));
    }
    return page;
}

Json rent_request(const std::string& name, const std::string& type, const std::string& zone, bool spot,
                  int how_many) {
    return {{"hire", name}, {"loom_type", type}, {"mill", zone}, {"remnant", spot}, {"how_many", how_many}};
}

std::optional<std::vector<std::string>> parse_rented(const Json& body) {
    const Json* list = find(body, "frames");
    if (!list || !list->is_array()) return std::nullopt;
    std::vector<std::string> out;
    for (const auto& f : *list) {
        if (!f.is_string()) return std::nullopt;
        out.push_back(f.get<std::string>());
    }
    return out;
}

Json delete_request(const std::vector<std::string>& machines) {
    return {{"frames", machines}};
}

}  // namespace cottonway::wire
