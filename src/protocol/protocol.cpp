#include "protocol/protocol.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace cottonway::wire {
namespace {

constexpr int kMaxDepth = 24;
constexpr std::size_t kMaxTextBytes = 256;
constexpr std::size_t kMaxMachineTypes = 64;
constexpr std::size_t kMaxDependencies = 1000;
constexpr double kMaxAmount = 1e9;

/// Builds the value, and fails on nesting so deep that it would exhaust the stack.
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
using NameTable = std::array<std::pair<const char*, E>, N>;

constexpr NameTable<JobKind, 3> kJobKinds{
    {{"array", JobKind::Array}, {"group", JobKind::Gang}, {"service", JobKind::Service}}};
constexpr NameTable<PriorityClass, 4> kPriorityClasses{{{"critical", PriorityClass::Production},
                                                        {"high", PriorityClass::High},
                                                        {"normal", PriorityClass::Normal},
                                                        {"idle", PriorityClass::Low}}};
constexpr NameTable<Phase, 5> kPhases{{{"pulling", Phase::Fetching},
                                       {"gathering", Phase::WaitingForGang},
                                       {"running", Phase::Running},
                                       {"saving", Phase::Saving},
                                       {"exited", Phase::Exited}}};
constexpr NameTable<ExitCause, 8> kExitCauses{{{"done", ExitCause::Done},
                                               {"stopped", ExitCause::Stopped},
                                               {"mates_gone", ExitCause::GangPeersGone},
                                               {"incomplete", ExitCause::GangIncomplete},
                                               {"error", ExitCause::Error},
                                               {"full", ExitCause::NoCapacity},
                                               {"in_use", ExitCause::AlreadyPresent},
                                               {"no_such", ExitCause::UnknownJob}}};
constexpr NameTable<CloudState, 3> kCloudStates{
    {{"starting", CloudState::Starting}, {"running", CloudState::Running}, {"failed", CloudState::Failed}}};

template <class E, std::size_t N>
std::optional<E> parse_name(const NameTable<E, N>& table, const std::optional<std::string>& name) {
    if (!name) return std::nullopt;
    for (const auto& [text, value] : table)
        if (*name == text) return value;
    return std::nullopt;
}

template <class E, std::size_t N>
const char* name_of(const NameTable<E, N>& table, E value) {
    for (const auto& [text, v] : table)
        if (v == value) return text;
    return "";
}

std::optional<double> read_amount(const Json& map, const char* key) {
    auto n = number(map, key);
    if (!n || !std::isfinite(*n) || *n < 0 || *n > kMaxAmount) return std::nullopt;
    return n;
}

/// Requests are rounded up and capacities down, so that the rounding never allows a machine to be
/// overcommitted.
Milli round_up_to_milli(double v) {
    return static_cast<Milli>(std::ceil(v * 1000.0 - 1e-6));
}
Milli round_down_to_milli(double v) {
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

Json order_value(const Order& order) {
    Json json{{"thread", order.job + "/" + std::to_string(order.task)}, {"try", order.attempt}};
    switch (order.kind) {
        case OrderKind::Launch:
            json["order"] = "launch";
            break;
        case OrderKind::Stop:
            json["order"] = "stop";
            json["slack_s"] = seconds(order.grace);
            break;
        case OrderKind::Clear:
            json["order"] = "clear";
            break;
    }
    return json;
}

Json orders_value(const std::vector<Order>& orders) {
    Json list = Json::array();
    for (const auto& order : orders) list.push_back(order_value(order));
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
    JobSpec spec;
    auto error = [](const char* field) { return JobResult{std::nullopt, field}; };
    if (!body.is_object()) return error("not a map");
    if (auto value = parse_ref(body))
        spec.ref = *value;
    else
        return error("ref");
    auto parse_text = [&](const char* key, std::string& out) {
        auto value = text(body, key);
        if (!value || value->empty() || value->size() > kMaxTextBytes) return false;
        out = *value;
        return true;
    };
    if (!parse_text("pattern", spec.job_class)) return error("pattern");
    if (!parse_text("crew", spec.team)) return error("crew");
    if (!parse_text("bolt", spec.image)) return error("bolt");
    if (auto value = parse_name(kJobKinds, text(body, "weave")))
        spec.kind = *value;
    else
        return error("weave");
    if (auto value = parse_name(kPriorityClasses, text(body, "rank")))
        spec.priority_class = *value;
    else
        return error("rank");
    if (auto value = count(body, "threads"); value && *value >= 1 && *value <= 100'000)
        spec.tasks = static_cast<int>(*value);
    else
        return error("threads");
    auto parse_amount = [&](const char* key, auto&& store) {
        auto value = read_amount(body, key);
        if (value) store(*value);
        return value.has_value();
    };
    if (!parse_amount("cores", [&](double value) { spec.request.cores = round_up_to_milli(value); }))
        return error("cores");
    if (!parse_amount("cards", [&](double value) { spec.request.gpus = round_up_to_milli(value); }))
        return error("cards");
    if (!parse_amount("ram_gb", [&](double value) { spec.request.ram = round_up_to_milli(value); }))
        return error("ram_gb");
    if (!parse_amount("pull_gb", [&](double value) { spec.image_gb = round_up_to_milli(value); }))
        return error("pull_gb");
    if (!parse_amount("reckon_s", [&](double value) { spec.estimated_duration = micros(value); }))
        return error("reckon_s");
    if (!parse_amount("knot_s", [&](double value) { spec.checkpoint_interval = micros(value); }))
        return error("knot_s");
    if (!parse_amount("bind_s", [&](double value) { spec.save_duration = micros(value); }))
        return error("bind_s");
    auto parse_flag = [&](const char* key, bool& out) {
        auto value = flag(body, key);
        if (value) out = *value;
        return value.has_value();
    };
    if (!parse_flag("one_zone", spec.one_zone)) return error("one_zone");
    if (!parse_flag("spread", spec.spread)) return error("spread");
    if (!parse_flag("remnant", spec.spot)) return error("remnant");
    if (const Json* types = find(body, "looms")) {
        if (!types->is_array() || types->size() > kMaxMachineTypes) return error("looms");
        spec.types.emplace();
        for (const auto& type : *types) {
            if (!type.is_string() || type.get_ref<const std::string&>().size() > kMaxTextBytes)
                return error("looms");
            spec.types->push_back(type.get<std::string>());
        }
    }
    if (find(body, "mill")) {
        std::string zone;
        if (!parse_text("mill", zone)) return error("mill");
        spec.zone = zone;
    }
    if (find(body, "due_s")) {
        auto value = read_amount(body, "due_s");
        if (!value) return error("due_s");
        spec.deadline = micros(*value);
    }
    if (const Json* dependencies = find(body, "warp")) {
        if (!dependencies->is_array() || dependencies->size() > kMaxDependencies) return error("warp");
        for (const auto& dependency : *dependencies) {
            if (!dependency.is_string() || !is_valid_ref(dependency.get_ref<const std::string&>()))
                return error("warp");
            const auto ref = dependency.get<std::string>();
            if (std::find(spec.dependencies.begin(), spec.dependencies.end(), ref) == spec.dependencies.end())
                spec.dependencies.push_back(ref);
        }
    }
    return {std::move(spec), ""};
}

Json job_value(const JobSpec& spec) {
    auto amount_of = [](Milli m) { return static_cast<double>(m) / 1000.0; };
    Json json{{"ref", spec.ref},
              {"pattern", spec.job_class},
              {"crew", spec.team},
              {"weave", name_of(kJobKinds, spec.kind)},
              {"rank", name_of(kPriorityClasses, spec.priority_class)},
              {"threads", spec.tasks},
              {"cores", amount_of(spec.request.cores)},
              {"cards", amount_of(spec.request.gpus)},
              {"ram_gb", amount_of(spec.request.ram)},
              {"bolt", spec.image},
              {"pull_gb", amount_of(spec.image_gb)},
              {"one_zone", spec.one_zone},
              {"spread", spec.spread},
              {"remnant", spec.spot},
              {"reckon_s", seconds(spec.estimated_duration)},
              {"knot_s", seconds(spec.checkpoint_interval)},
              {"bind_s", seconds(spec.save_duration)}};
    if (spec.types) json["looms"] = *spec.types;
    if (spec.zone) json["mill"] = *spec.zone;
    if (spec.deadline) json["due_s"] = seconds(*spec.deadline);
    if (!spec.dependencies.empty()) json["warp"] = spec.dependencies;
    return json;
}

std::optional<Report> parse_report(const Json& body) {
    Report report;
    auto machine = text(body, "frame"), address = text(body, "addr"), type = text(body, "loom_type"),
         zone = text(body, "mill");
    auto session = count(body, "shift"), seq = count(body, "tally");
    if (!machine || machine->empty() || machine->size() > 100 || !address || !type || !zone || !session ||
        !seq)
        return std::nullopt;
    report.machine = *machine;
    report.address = *address;
    report.type = *type;
    report.zone = *zone;
    report.spot = flag(body, "remnant").value_or(false);
    report.session = *session;
    report.seq = *seq;
    report.token = count(body, "shuttle").value_or(0);
    if (auto notice = read_amount(body, "warning_s")) report.interruption_notice = micros(*notice);
    const Json* tasks = find(body, "threads");
    if (tasks && !tasks->is_array()) return std::nullopt;
    if (!tasks) return report;
    for (const auto& entry : *tasks) {
        auto name = text(entry, "thread");
        auto task_name = name ? parse_task_name(*name) : std::nullopt;
        auto attempt = count(entry, "try");
        auto phase = parse_name(kPhases, text(entry, "stage"));
        if (!task_name || !attempt || !phase) return std::nullopt;
        ReportedTask task;
        task.job = task_name->first;
        task.task = task_name->second;
        task.attempt = static_cast<std::int64_t>(*attempt);
        task.phase = *phase;
        task.cause = parse_name(kExitCauses, text(entry, "cause")).value_or(ExitCause::Stopped);
        task.saved = flag(entry, "stored").value_or(false);
        report.tasks.push_back(std::move(task));
    }
    return report;
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
    std::vector<MachineType> types;
    for (const auto& entry : *list) {
        MachineType type;
        auto name = text(entry, "name");
        auto cores = read_amount(entry, "cores"), ram = read_amount(entry, "ram_gb");
        const Json* zones = find(entry, "mills");
        if (!name || !cores || !ram || !zones || !zones->is_array()) return std::nullopt;
        type.name = *name;
        type.size = {round_down_to_milli(*cores),
                     round_down_to_milli(read_amount(entry, "cards").value_or(0)), round_down_to_milli(*ram)};
        type.cache_gb = round_down_to_milli(read_amount(entry, "cache_gb").value_or(0));
        type.fetch_gb_per_s = read_amount(entry, "fetch_gb_per_s").value_or(0);
        type.price = read_amount(entry, "price").value_or(0);
        type.spot_price = read_amount(entry, "spot_price").value_or(type.price);
        type.boot_duration = micros(read_amount(entry, "ready_s").value_or(60));
        for (const auto& zone : *zones)
            if (zone.is_string()) type.zones.push_back(zone.get<std::string>());
        types.push_back(std::move(type));
    }
    return types;
}

std::optional<MachinePage> parse_machines(const Json& body) {
    const Json* list = find(body, "frames");
    if (!list || !list->is_array()) return std::nullopt;
    MachinePage page;
    page.has_more = flag(body, "has_next").value_or(false);
    for (const auto& entry : *list) {
        CloudMachine machine;
        auto name = text(entry, "ref"), type = text(entry, "loom_type"), zone = text(entry, "mill");
        auto state = parse_name(kCloudStates, text(entry, "stage"));
        if (!name || !type || !zone || !state) return std::nullopt;
        machine.name = *name;
        machine.address = text(entry, "addr").value_or("");
        machine.type = *type;
        machine.zone = *zone;
        machine.spot = flag(entry, "remnant").value_or(false);
        machine.state = *state;
        machine.age = micros(read_amount(entry, "held_s").value_or(0));
        page.machines.push_back(std::move(machine));
    }
    return page;
}

Json rent_request(const std::string& name, const std::string& type, const std::string& zone, bool spot,
                  int machine_count) {
    return {
        {"hire", name}, {"loom_type", type}, {"mill", zone}, {"remnant", spot}, {"how_many", machine_count}};
}

std::optional<std::vector<std::string>> parse_rented(const Json& body) {
    const Json* list = find(body, "frames");
    if (!list || !list->is_array()) return std::nullopt;
    std::vector<std::string> names;
    for (const auto& entry : *list) {
        if (!entry.is_string()) return std::nullopt;
        names.push_back(entry.get<std::string>());
    }
    return names;
}

Json delete_request(const std::vector<std::string>& machines) {
    return {{"frames", machines}};
}

}  // namespace cottonway::wire
