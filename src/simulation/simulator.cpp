#include "simulation/simulator.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "logging/log.hpp"

namespace cottonway::simulation {

using fakes::JobInfo;
using fakes::Worker;

namespace {
std::pair<std::string, std::string> make_link(const std::string& a, const std::string& b) {
    return a < b ? std::pair(a, b) : std::pair(b, a);
}
constexpr Micros kTickInterval = 50 * kMillisecond;
constexpr Micros kDeadMachineListedTime = 30 * kSecond;  // the cloud lists it as running for so long
constexpr Micros kNever = 1'000'000 * kSecond;
}  // namespace

Settings small_cluster_settings() {
    Settings settings;
    settings.node = "loom-0";
    settings.zone = "a";
    settings.zones = {"a", "b"};
    settings.teams = {{"red", {8'000, 0, 0}, {24'000, 0, 0}},
                      {"blue", {8'000, 0, 0}, {16'000, 0, 0}},
                      {"guests", {}, {kNoLimit, kNoLimit, 0}}};
    settings.operators.separate_history = true;
    settings.report_interval = 2 * kSecond;
    settings.worker_lease = 12 * kSecond;
    settings.gang_wait_timeout = 20 * kSecond;
    settings.gang_peer_timeout = 4 * kSecond;
    settings.cancel_deadline = 30 * kSecond;
    settings.state_rps = 500;
    settings.state_write_rps = 200;
    settings.cloud_rps = 5;
    return settings;
}

std::vector<MachineType> small_cluster_machine_types() {
    MachineType small{"small", {8'000, 0, 32'000}, 50'000, 1.0, 1.0, 0.4, 10 * kSecond, {"a", "b"}};
    MachineType large{"large", {16'000, 0, 64'000}, 50'000, 1.0, 2.0, 0.8, 10 * kSecond, {"a", "b"}};
    return {small, large};
}

/// The runtime of one controller's process. Its clock drifts, and its timers and calls end with the process.
class Simulator::NodeRuntime : public Runtime, public std::enable_shared_from_this<NodeRuntime> {
  public:
    NodeRuntime(Simulator& simulator, int index, std::uint64_t seed)
        : simulator_(simulator), index_(index), name_("loom-" + std::to_string(index)), random_(seed) {
        drift_ppm_ = static_cast<Micros>(random_() % 500);
        offset_ = static_cast<Micros>(random_() % 1'000'000'000) + kSecond;
    }
    Micros now() override { return offset_ + simulator_.now_ + simulator_.now_ / 1'000'000 * drift_ppm_; }
    Micros listening_time() override {
        clock_.advance(now());
        return clock_.now();
    }
    std::int64_t wall_clock_ms() override { return 1'790'000'000'000 + simulator_.now_ / kMillisecond; }
    std::mt19937_64& random() override { return random_; }
    void after(Micros delay, std::function<void()> run) override {
        simulator_.schedule_at(
            simulator_.now_ + std::max<Micros>(delay, 0),
            [self = shared_from_this(), run = std::move(run)] { self->run_in_process(run, true); });
    }
    /// Runs an action in this process, unless the process has ended meanwhile.
    void run_in_process(std::function<void()> action, bool timer) {
        if (!alive) return;
        simulator_.run_on_node(
            index_,
            [self = shared_from_this(), action = std::move(action)] {
                if (!self->alive) return;
                self->clock_.advance(self->now());
                action();
            },
            timer);
    }
    void call(Call call, ReplyHandler done) override {
        if (simulator_.on_traffic)
            simulator_.on_traffic(name_, call.method + " " + call.path,
                                  call.body.is_null() ? call.bytes : wire::encode(call.body));
        auto pending = std::make_shared<Pending>();
        auto complete = [self = shared_from_this(), pending, done = std::move(done)](const Reply& reply) {
            self->run_in_process(
                [pending, done, reply] {
                    if (!std::exchange(pending->is_completed, true)) done(reply);
                },
                false);
        };
        schedule_timeout(listening_time() + call.timeout, pending, complete);
        std::string destination = call.target == Target::State   ? "state"
                                  : call.target == Target::Cloud ? "cloud"
                                                                 : "";
        if (call.target == Target::Worker)
            if (auto found_address = simulator_.machine_by_address_.find(call.address);
                found_address != simulator_.machine_by_address_.end() &&
                simulator_.worker(found_address->second))
                destination = found_address->second;
        if (call.target == Target::Peer)
            destination = "loom-" + std::to_string(std::stoi(call.address.substr(7)) - 1);
        auto respond = [self = shared_from_this(), destination, complete](Reply reply) {
            self->simulator_.send(destination, self->name_,
                                  [complete, reply = std::move(reply)] { complete(reply); });
        };
        auto send = [self = shared_from_this(), call, destination, respond] {
            self->simulator_.send(self->name_, destination, [self, call, destination, respond] {
                self->execute_call(call, destination, respond);
            });
        };
        if (call.target != Target::Worker && call.target != Target::Peer) return send();
        const bool no_socket = simulator_.nodes_[static_cast<std::size_t>(index_)].sockets_exhausted;
        if (call.target == Target::Worker && no_socket) return complete_unsent(0, complete);
        // A connection comes first: if none is established in time, nothing was sent.
        const bool refused =
            call.target == Target::Peer && !simulator_.node(std::stoi(destination.substr(5)));
        if (destination.empty() || refused || simulator_.is_link_cut(name_, destination)) {
            return complete_unsent(refused ? kMillisecond : std::min(call.timeout, kSecond), complete);
        }
        simulator_.schedule_at(simulator_.now_ + simulator_.draw_delay(), send);
    }
    bool alive = true;

  private:
    struct Pending {
        bool is_completed = false;
    };
    void complete_unsent(Micros after, const std::function<void(const Reply&)>& complete) {
        simulator_.schedule_at(simulator_.now_ + after, [complete] { complete(Reply{kNotSent, {}}); });
    }
    /// Times the call out. Only time in which the process was listening counts.
    void schedule_timeout(Micros deadline, const std::shared_ptr<Pending>& pending,
                          const std::function<void(const Reply&)>& complete) {
        after(std::max<Micros>(deadline - listening_time(), kMillisecond),
              [self = shared_from_this(), deadline, pending, complete] {
                  if (pending->is_completed) return;
                  if (self->listening_time() < deadline)
                      return self->schedule_timeout(deadline, pending, complete);
                  complete(Reply{});
              });
    }
    void execute_call(const Call& call, const std::string& destination,
                      const std::function<void(Reply)>& respond) {
        Simulator& simulator = simulator_;
        // Bodies are encoded and decoded, as they would be on the wire.
        const Json body =
            call.body.is_null() ? Json() : wire::decode(wire::encode(call.body)).value_or(Json());
        if (destination == "state") {
            ++simulator.nodes_[static_cast<std::size_t>(index_)].state_requests;
            if (simulator.nodes_[static_cast<std::size_t>(index_)].state_refused)
                return respond(Reply{503, Json::object()});
            if (call.path.compare(0, 8, "/changes") == 0)
                return poll_changes(call.path, simulator.now_ + fakes::StateService::block_time(call.path),
                                    respond);
            if (call.method != "GET")
                simulator.duplicate_at_random([&simulator, call, body] {
                    simulator.state_.handle(call.method, call.path, body, simulator.now_);
                });
            if (const auto write_delay =
                    call.path == "/commit" ? simulator.draw_write_delay(body) : std::nullopt)
                return simulator.schedule_at(simulator.now_ + *write_delay, [&simulator, call, body] {
                    simulator.state_.handle(call.method, call.path, body, simulator.now_);
                    simulator.replay_reports_to_new_leader();
                });
            const Reply reply = simulator.state_.handle(call.method, call.path, body, simulator.now_);
            if (call.path == "/commit") simulator.replay_reports_to_new_leader();
            return respond(reply);
        }
        if (destination == "cloud" && call.method != "GET")
            simulator.duplicate_at_random([&simulator, call, body] {
                simulator.cloud_.handle(call.method, call.path, body, simulator.now_);
            });
        if (destination == "cloud")
            return respond(simulator.cloud_.handle(call.method, call.path, body, simulator.now_));
        if (call.target == Target::Peer) {
            const int peer = std::stoi(destination.substr(5));
            return simulator.run_on_node(peer, [&simulator, peer, bytes = call.bytes, respond] {
                if (!simulator.node(peer)) return;
                simulator.node(peer)->handle_peer_message(bytes, [respond](std::string answer) {
                    const int status = answer.empty() ? 400 : 200;
                    respond(Reply{status, {}, std::move(answer)});
                });
            });
        }
        auto worker_state = simulator.workers_.find(destination);
        if (worker_state == simulator.workers_.end() || !worker_state->second.worker) return;
        auto execute = [&simulator, destination, call, body, respond] {
            auto found = simulator.workers_.find(destination);
            if (found == simulator.workers_.end() || !found->second.worker) return;
            respond(found->second.worker->handle(call.method, call.path, body, simulator.now_));
        };
        if (call.method != "GET" && simulator.duplicate_commands)
            simulator.duplicate_at_random([&simulator, destination, call, body] {
                if (Worker* worker = simulator.worker(destination);
                    worker && !simulator.workers_[destination].hung)
                    worker->handle(call.method, call.path, body, simulator.now_);
            });
        if (call.method != "GET" && simulator.happens(simulator.delayed_command_rate)) {
            simulator.schedule_at(
                simulator.now_ + simulator.random_between(2 * kSecond, kMaxCommandDelay),
                [&simulator, destination, call, body] {
                    auto execute_late = [&simulator, destination, call, body] {
                        if (Worker* worker = simulator.worker(destination))
                            worker->handle(call.method, call.path, body, simulator.now_);
                    };
                    if (simulator.workers_[destination].hung)
                        return simulator.workers_[destination].deferred_requests.push_back(execute_late);
                    execute_late();
                });
            return;
        }
        if (worker_state->second.hung)
            worker_state->second.deferred_requests.push_back(execute);
        else
            execute();
    }
    void poll_changes(const std::string& path, Micros until, const std::function<void(Reply)>& respond) {
        const bool refused = simulator_.nodes_[static_cast<std::size_t>(index_)].state_refused;
        auto reply = refused ? std::nullopt : simulator_.state_.watch(path, simulator_.now_ >= until);
        if (reply) return respond(*reply);
        if (simulator_.now_ > until + 60 * kSecond) return;
        simulator_.schedule_at(simulator_.now_ + 10 * kMillisecond,
                               [self = shared_from_this(), path, until, respond] {
                                   if (self->alive) self->poll_changes(path, until, respond);
                               });
    }

    Simulator& simulator_;
    int index_;
    std::string name_;
    std::mt19937_64 random_;
    Micros drift_ppm_ = 0;
    Micros offset_ = 0;
    ListeningClock clock_;
};

Simulator::Simulator(std::uint64_t seed, Settings cluster_settings, std::vector<MachineType> types)
    : settings(std::move(cluster_settings)), random(seed), cloud_(std::move(types)) {
    // WORLD_LOG=1 prints the event history and the controllers' log lines as they come.
    spdlog::set_level(std::getenv("WORLD_LOG") ? spdlog::level::info : spdlog::level::off);
    cloud_.capacity = 0;
    cloud_.on_delete = [this](const std::string& name) { kill_machine(name); };
    schedule_at(0, [this] { tick(); });
}

Simulator::~Simulator() {
    for (auto& node : nodes_) {
        if (node.runtime) node.runtime->alive = false;
        node.controller.reset();
    }
    events_.clear();
    workers_.clear();  // their destructors report the tasks that leave them
}

void Simulator::schedule_at(Micros when, std::function<void()> action) {
    events_[{std::max(when, now_), ++last_event_number_}] = std::move(action);
}

void Simulator::run(Micros span) {
    const Micros end = now_ + span;
    while (!events_.empty() && events_.begin()->first.first <= end) {
        auto event = events_.extract(events_.begin());
        now_ = event.key().first;
        event.mapped()();
    }
    now_ = end;
}

Micros Simulator::draw_delay() {
    return 500 + static_cast<Micros>(random() % 4500) +
           (max_extra_link_delay > 0 ? random_between(0, max_extra_link_delay) : 0);
}

void Simulator::send(const std::string& from, const std::string& to, std::function<void()> deliver) {
    if (hold_requests_.erase({from, to})) {
        record_event("a message from " + from + " to " + to + " is held back");
        held_messages_.push_back(std::move(deliver));
        return;
    }
    if (auto worker = workers_.find(to); worker != workers_.end() && worker->second.inbound_blocked) return;
    if (cut_links_.count(make_link(from, to)) || one_way_cuts_.count({from, to})) {
        held_by_cuts_.emplace_back(from, to, std::move(deliver));
        return;
    }
    if (happens(message_loss_rate) || (from == "state" && happens(state_answer_loss_rate))) return;
    const Micros slow =
        from == "state" && max_state_answer_delay > 0 ? random_between(0, max_state_answer_delay) : 0;
    schedule_at(now_ + draw_delay() + slow, std::move(deliver));
}

std::optional<Micros> Simulator::draw_write_delay(const Json& transaction) {
    const Json* operations = wire::find(transaction, "then");
    for (auto it = write_delays_.begin(); operations && it != write_delays_.end(); ++it) {
        const auto& [prefix, delay_of_next] = *it;
        const auto writes_prefix = [&prefix = prefix](const Json& operation) {
            const auto key = wire::text(operation, wire::find(operation, "drop") ? "drop" : "write");
            return key && key->compare(0, prefix.size(), prefix) == 0;
        };
        if (std::none_of(operations->begin(), operations->end(), writes_prefix)) continue;
        record_event("a transaction on " + prefix + " is carried out " +
                     std::to_string(delay_of_next / kMillisecond) + " ms late");
        const Micros chosen_delay = delay_of_next;
        write_delays_.erase(it);
        return chosen_delay;
    }
    if (happens(unanswered_write_rate)) return 0;
    if (happens(delayed_write_rate)) return random_between(2 * kSecond, kMaxWriteDelay);
    return std::nullopt;
}

void Simulator::replay_reports_to_new_leader() {
    const Reply reply = state_.handle("GET", "/store/c/leader", Json(), now_);
    const Json* data = reply.status == 200 ? wire::find(reply.body, "data") : nullptr;
    const std::string node = data ? wire::text(*data, "node").value_or("") : "";
    if (node.empty() || node == last_leader_) return;
    last_leader_ = node;
    for (const auto& body : std::exchange(reports_to_replay_, {}))
        for (int i = 0; i < node_count(); ++i)
            schedule_at(now_ + draw_delay(), [this, i, body] {
                run_on_node(i, [this, i, body] {
                    if (node_count() > i && this->node(i))
                        this->node(i)->handle_request({"POST", "/v1/report", body, false},
                                                      [](const auto&) {});
                });
            });
}

void Simulator::duplicate_at_random(std::function<void()> again) {
    if (happens(duplicate_rate)) schedule_at(now_ + random_between(0, max_duplicate_delay), std::move(again));
}

void Simulator::run_on_node(int node_index, std::function<void()> action, bool timer) {
    Node& node = nodes_[static_cast<std::size_t>(node_index)];
    if (!node.frozen) return action();
    (timer ? node.deferred_timers : node.deferred_messages).push_back(std::move(action));
}

void Simulator::freeze_process(int node_index, Micros span) {
    Node& node = nodes_[static_cast<std::size_t>(node_index)];
    if (!node.controller || node.frozen) return;
    record_event("loom-" + std::to_string(node_index) + " is frozen for " +
                 std::to_string(span / kMillisecond) + " ms");
    node.frozen = true;
    schedule_at(now_ + span, [this, node_index] {
        Node& frozen_node = nodes_[static_cast<std::size_t>(node_index)];
        if (!std::exchange(frozen_node.frozen, false)) return;
        record_event("loom-" + std::to_string(node_index) + " continues");
        // The worst order: all timers run before any message is read.
        for (auto& run : std::exchange(frozen_node.deferred_timers, {})) run();
        for (auto& run : std::exchange(frozen_node.deferred_messages, {})) run();
    });
}

void Simulator::cut_link_one_way(const std::string& from, const std::string& to) {
    record_event("cut one way from " + from + " to " + to);
    one_way_cuts_.insert({from, to});
}

void Simulator::cut_link(const std::string& a, const std::string& b) {
    record_event("cut between " + a + " and " + b);
    cut_links_.insert(make_link(a, b));
}

void Simulator::heal_link(const std::string& a, const std::string& b) {
    heal_link({{a, b}});
}

void Simulator::heal_link(const std::vector<std::pair<std::string, std::string>>& links) {
    std::set<std::pair<std::string, std::string>> healed;
    for (const auto& [a, b] : links) {
        record_event("healed between " + a + " and " + b);
        cut_links_.erase(make_link(a, b));
        one_way_cuts_.erase({a, b});
        one_way_cuts_.erase({b, a});
        healed.insert(make_link(a, b));
    }
    auto held = std::exchange(held_by_cuts_, {});
    for (auto& [from, to, deliver] : held) {
        if (healed.count(make_link(from, to)))
            schedule_at(now_ + draw_delay(), std::move(deliver));  // late by minutes, maybe, but delivered
        else
            held_by_cuts_.emplace_back(from, to, std::move(deliver));
    }
}

void Simulator::fail_zone(const std::string& zone, bool ends) {
    if (lost_zones_.count(zone)) return;
    record_event("zone " + zone + (ends ? " ends" : " is cut off"));
    LostZone& lost = lost_zones_[zone];
    std::vector<std::string> inside, outside{"state", "cloud"};
    for (int i = 0; i < node_count(); ++i) {
        const bool in_zone = settings.zones[static_cast<std::size_t>(i) % settings.zones.size()] == zone;
        (in_zone ? inside : outside).push_back("loom-" + std::to_string(i));
        if (in_zone && ends) crash(i, kNever);
    }
    for (const auto& name : machine_names()) {
        const Worker& worker_ref = *worker(name);
        (worker_ref.zone() == zone ? inside : outside).push_back(name);
        if (worker_ref.zone() != zone || !ends) continue;
        lost.machines.emplace_back(worker_ref.type().name, worker_ref.spot());
        kill_machine(name);
    }
    if (ends) return;
    auto is_controller = [](const std::string& host) { return host.compare(0, 5, "loom-") == 0; };
    for (const auto& a : inside)
        for (const auto& b : outside)
            if (is_controller(a) || is_controller(b)) {
                cut_links_.insert(make_link(a, b));
                lost.links.emplace_back(a, b);
            }
}

void Simulator::restore_zone(const std::string& zone) {
    auto lost = lost_zones_.extract(zone);
    if (!lost) return;
    record_event("zone " + zone + " is back");
    heal_link(lost.mapped().links);
    for (const auto& [type, spot] : lost.mapped().machines) add_machine(type, zone, spot);
    for (int i = 0; i < node_count(); ++i)
        if (settings.zones[static_cast<std::size_t>(i) % settings.zones.size()] == zone && !node(i)) {
            record_event("loom-" + std::to_string(i) + " is back");
            start_node(i);
        }
}

void Simulator::heal_all_links() {
    for (const auto& [a, b] : std::set(cut_links_)) heal_link(a, b);
    for (const auto& [a, b] : std::set(one_way_cuts_)) heal_link(a, b);
}

void Simulator::hold_next_message(const std::string& from, const std::string& to) {
    hold_requests_.insert({from, to});
}

void Simulator::release_held_messages() {
    record_event("messages that were held back arrive");
    for (auto& deliver : std::exchange(held_messages_, {}))
        schedule_at(now_ + draw_delay(), std::move(deliver));
}

void Simulator::refuse_state_requests(int node_index, bool on) {
    record_event("state service " + std::string(on ? "refuses" : "serves") + " loom-" +
                 std::to_string(node_index));
    nodes_[static_cast<std::size_t>(node_index)].state_refused = on;
}

void Simulator::exhaust_sockets(int node_index, bool on) {
    record_event("loom-" + std::to_string(node_index) +
                 (on ? " has no socket left for workers" : " has sockets again"));
    nodes_[static_cast<std::size_t>(node_index)].sockets_exhausted = on;
}

void Simulator::isolate_controller(int node_index, bool on) {
    std::vector<std::pair<std::string, std::string>> links;
    const std::string host = "loom-" + std::to_string(node_index);
    links.emplace_back(host, "state");
    for (int peer = 0; peer < node_count(); ++peer)
        if (peer != node_index) links.emplace_back(host, "loom-" + std::to_string(peer));
    if (!on) return heal_link(links);
    for (const auto& [a, b] : links) cut_link(a, b);
}

void Simulator::block_messages_to(const std::string& machine, bool on) {
    record_event("machine " + machine + (on ? " receives no messages" : " receives messages again"));
    workers_[machine].inbound_blocked = on;
}

void Simulator::block_reports_from(const std::string& machine, bool on) {
    record_event("machine " + machine + (on ? " reaches no controller" : " reaches controllers again"));
    workers_[machine].reports_blocked = on;
}

// ---------------------------------------------------------------- nodes and machines

void Simulator::start_nodes(int count, std::set<int> old) {
    nodes_.resize(static_cast<std::size_t>(count));
    for (int i : old) nodes_[static_cast<std::size_t>(i)].runs_old_version = true;
    state_.limits = {settings.current_max_value_bytes, std::max<std::size_t>(settings.max_txn_ops, 8), 0};
    for (int i = 0; i < count; ++i) start_node(i);
}

void Simulator::start_node(int node_index) {
    Node& node = nodes_[static_cast<std::size_t>(node_index)];
    Settings node_settings = settings;
    node_settings.node = "loom-" + std::to_string(node_index);
    for (int peer = 0; peer < node_count(); ++peer)
        if (peer != node_index)
            node_settings.peers.push_back(
                {"loom-" + std::to_string(peer),
                 "",
                 {"10.0.0." + std::to_string(peer + 1), static_cast<std::uint16_t>(8081)}});
    node_settings.zone = settings.zones[static_cast<std::size_t>(node_index) % settings.zones.size()];
    node_settings.announces_format = !node.runs_old_version;
    node.invariant_violations = 0;
    node.runtime = std::make_shared<NodeRuntime>(*this, node_index, random());
    node.controller = std::make_unique<Controller>(*node.runtime, node_settings);
    node.controller->start();
}

void Simulator::upgrade(int node_index, Micros back_after) {
    record_event("loom-" + std::to_string(node_index) + " is upgraded");
    nodes_[static_cast<std::size_t>(node_index)].runs_old_version = false;
    crash(node_index, back_after);
}

void Simulator::crash(int node_index, Micros back_after) {
    Node& node = nodes_[static_cast<std::size_t>(node_index)];
    if (!node.controller) return;
    record_event("loom-" + std::to_string(node_index) + " ends");
    if (last_leader_ == "loom-" + std::to_string(node_index)) last_leader_.clear();
    node.runtime->alive = false;
    node.controller.reset();
    node.frozen = false;
    node.deferred_timers.clear();
    node.deferred_messages.clear();
    schedule_at(now_ + back_after, [this, node_index] {
        if (nodes_[static_cast<std::size_t>(node_index)].controller) return;
        record_event("loom-" + std::to_string(node_index) + " is back");
        start_node(node_index);
    });
}

int Simulator::leader_node() const {
    for (int i = 0; i < node_count(); ++i)
        if (const auto& c = nodes_[static_cast<std::size_t>(i)].controller; c && c->is_leader()) return i;
    return -1;
}

int Simulator::owner_node() {
    for (int i = 0; i < node_count(); ++i)
        if (owner_at(i)) return i;
    return -1;
}

int Simulator::busiest_node() {
    int busiest = -1;
    std::size_t max_machines = 0;
    for (int i = 0; i < node_count(); ++i) {
        std::size_t machine_count = 0;
        if (node(i))
            for (const auto& [name, owner] : node(i)->owners())
                if (owner) machine_count += owner->machines().size();
        if (machine_count > max_machines) max_machines = machine_count, busiest = i;
    }
    return busiest;
}

ShardOwner* Simulator::owner_at(int node_index) {
    if (!node(node_index)) return nullptr;
    for (const auto& [name, owner] : node(node_index)->owners())
        if (owner && owner->active() && !owner->machines().empty()) return owner.get();
    return nullptr;
}

bool Simulator::is_link_cut(const std::string& a, const std::string& b) const {
    return cut_links_.count(make_link(a, b)) || one_way_cuts_.count({a, b}) || one_way_cuts_.count({b, a});
}

std::string Simulator::add_machine(const std::string& type, const std::string& zone, bool spot) {
    const std::string name = cloud_.rent_machine(type, zone, spot, now_, 0);
    boot_machines();
    return name;
}

void Simulator::boot_machines() {
    for (auto& [name, machine] : cloud_.machines()) {
        if (machine.booted) continue;
        if (machine.boot_ends_at > machine.rented_at && boot_time_drawn_.insert(name).second &&
            happens(fast_boot_rate))
            machine.boot_ends_at = std::min(
                machine.boot_ends_at, machine.rented_at + random_between(200 * kMillisecond, 2 * kSecond));
        if (machine.boot_ends_at > now_) continue;
        machine.booted = true;
        machine.info.state = CloudState::Running;
        machine.info.address = "10.1." + std::to_string(workers_.size() / 250) + "." +
                               std::to_string(workers_.size() % 250 + 1) + ":9000";
        machine_by_address_[machine.info.address] = name;
        machine_zones_[name] = machine.info.zone;
        auto& worker_state = workers_[name];
        worker_state.worker = std::make_unique<Worker>(
            name, machine.info.address, *cloud_.type(machine.info.type), machine.info.zone, machine.info.spot,
            settings.worker_lease, settings.gang_wait_timeout, *this, now_);
        worker_state.report_node = static_cast<int>(random() % std::max<std::size_t>(nodes_.size(), 1));
        worker_state.next_report_at = now_ + draw_delay();
    }
}

Worker* Simulator::worker(const std::string& name) {
    auto it = workers_.find(name);
    return it == workers_.end() ? nullptr : it->second.worker.get();
}

std::vector<std::string> Simulator::machine_names() const {
    std::vector<std::string> names;
    for (const auto& [name, r] : workers_)
        if (r.worker) names.push_back(name);
    return names;
}

void Simulator::kill_machine(const std::string& name) {
    auto it = workers_.find(name);
    if (it == workers_.end() || !it->second.worker) return;
    record_event("machine " + name + " is gone");
    it->second.worker.reset();
    // A machine that wasn't deleted is still listed as running for a while, then as failed until it is
    // deleted.
    schedule_at(now_ + kDeadMachineListedTime, [this, name] {
        if (auto machine = cloud_.machines().find(name); machine != cloud_.machines().end())
            machine->second.info.state = CloudState::Failed;
    });
}

void Simulator::set_hung(const std::string& name, bool on) {
    auto& worker_state = workers_[name];
    if (!worker_state.worker || worker_state.hung == on) return;
    record_event("machine " + name + (on ? " hangs" : " continues"));
    worker_state.hung = on;
    if (!on)
        for (auto& request : std::exchange(worker_state.deferred_requests, {})) request();
}

void Simulator::observe_answer(int node, const ApiResponse& response) const {
    if (on_traffic)
        on_traffic("loom-" + std::to_string(node),
                   std::to_string(response.status) + " " + std::to_string(response.retry_after_s),
                   wire::encode(response.body));
}

void Simulator::tick() {
    schedule_at(now_ + kTickInterval, [this] { tick(); });
    if (send_unusual_requests && happens(0.2)) send_unusual_request();
    boot_machines();
    state_.expire_leases(now_);
    for (auto& [name, worker_state] : workers_) {
        if (!worker_state.worker) continue;
        if (worker_state.hung) {
            worker_state.worker->expire_session(now_);
            continue;
        }
        worker_state.worker->advance(now_);
        const bool due =
            now_ >= worker_state.next_report_at || (worker_state.worker->has_unreported_changes &&
                                                    now_ - worker_state.last_report_at >= 500 * kMillisecond);
        if (!worker_state.report_in_flight && due) send_report(name);
    }
    for (auto& node : nodes_) {
        if (!node.controller ||
            node.controller->permission_counters().violations() == node.invariant_violations)
            continue;
        node.invariant_violations = node.controller->permission_counters().violations();
        record_violation("invariant", "a lease was about to be renewed without a stop that was due");
    }
    for (auto& [ref, job_state] : jobs_) {
        if (job_state.reported_stage != "cancelled" ||
            now_ <= job_state.cancellation_reported_at + settings.cancel_deadline)
            continue;
        if (running_tasks(ref) > 0) record_violation("ran_cancelled", ref + " is still on a machine");
    }
}

void Simulator::send_report(const std::string& name) {
    auto& worker_state = workers_[name];
    Worker& worker = *worker_state.worker;
    const Micros sent_at = now_;
    const auto session = worker.session();
    const auto report_number = ++worker_state.report_number;
    worker_state.report_in_flight = true;
    worker_state.last_report_at = now_;
    worker_state.next_report_at = now_ + settings.report_interval * 3 / 4 +
                                  static_cast<Micros>(random() % 1000) * settings.report_interval / 2000;
    const std::string body = wire::encode(worker.report(now_));
    const int target = worker_state.report_node;
    const std::string host = "loom-" + std::to_string(target);
    auto retry_report = [this, name, report_number](int next_node, Micros wait) {
        auto& current = workers_[name];
        if (!current.worker || current.report_number != report_number || !current.report_in_flight) return;
        current.report_in_flight = false;
        current.report_node = next_node;
        current.next_report_at = now_ + wait;
        current.last_report_at = now_ + wait - 500 * kMillisecond;
    };
    auto send_copy = [this, target, body] {
        run_on_node(target, [this, target, body] {
            if (node(target))
                node(target)->handle_request({"POST", "/v1/report", body, false}, [](const auto&) {});
        });
    };
    if (replay_requests_.erase(name) || happens(replayed_report_rate)) reports_to_replay_.push_back(body);
    if (worker_state.reports_blocked) {
        schedule_at(now_ + 4 * kSecond,
                    [retry_report, next = (target + 1) % node_count()] { retry_report(next, kSecond); });
        return;
    }
    duplicate_at_random(send_copy);
    if (happens(late_report_copy_rate))
        schedule_at(now_ + random_between(2 * kSecond, max_report_copy_delay(settings.worker_lease)),
                    send_copy);
    const int next = (target + 1) % node_count();
    schedule_at(now_ + 4 * kSecond, [retry_report, next] { retry_report(next, kSecond); });
    if (!nodes_[static_cast<std::size_t>(target)].controller) {
        schedule_at(now_ + draw_delay(), [retry_report, next] { retry_report(next, kSecond); });
        return;
    }
    send(name, host, [this, name, host, target, next, session, sent_at, report_number, body, retry_report] {
        run_on_node(target, [=, this] {
            Node& target_node = nodes_[static_cast<std::size_t>(target)];
            if (!target_node.controller) return;
            target_node.controller->handle_request(
                {"POST", "/v1/report", body, false}, [=, this](const ApiResponse& response) {
                    observe_answer(target, response);
                    send(host, name, [=, this] {
                        auto& current = workers_[name];
                        if (!current.worker || current.hung || current.report_number != report_number ||
                            !current.report_in_flight)
                            return;
                        if (response.status == 200) {
                            current.report_in_flight = false;
                            current.worker->on_report_answered(response.body, session, sent_at, now_);
                        } else if (response.status == 421 && wire::text(response.body, "overseer")) {
                            const std::string next_node = *wire::text(response.body, "overseer");
                            retry_report(std::atoi(next_node.c_str() + 5),
                                         static_cast<Micros>(random() % 500) * kMillisecond);
                        } else {
                            retry_report(next, kSecond);
                        }
                    });
                });
        });
    });
}

// ---------------------------------------------------------------- users

JobSpec Simulator::make_job(int number, JobKind kind, int tasks, double cores) {
    JobSpec spec;
    char ref[32];
    std::snprintf(ref, sizeof ref, "req-%06d", number);
    spec.ref = ref;
    spec.job_class = "class";
    spec.team = "red";
    spec.kind = kind;
    spec.priority_class = PriorityClass::Normal;
    spec.tasks = tasks;
    spec.request = {static_cast<Milli>(cores * 1000), 0, static_cast<Milli>(cores * 2000)};
    spec.image = "img-" + std::to_string(number % 3);
    spec.image_gb = 500;
    spec.spot = true;
    return spec;
}

void Simulator::submit(const JobSpec& spec, Micros task_duration, Micros image_fetch_time,
                       bool always_fails) {
    jobs_[spec.ref].info = {spec, task_duration, image_fetch_time, always_fails};
    try_submit(spec.ref);
}

void Simulator::cancel(const std::string& ref) {
    jobs_[ref].cancel_requested = true;
    try_cancel(ref);
}

std::vector<std::string> Simulator::cancel_random_jobs(int count, Micros hang_for) {
    std::vector<std::string> chosen;
    for (const auto& [ref, job_state] : jobs_) {
        const bool long_to_go = job_state.info.spec.kind == JobKind::Service ||
                                (job_state.first_started_at >= 0 &&
                                 now_ - job_state.first_started_at < job_state.info.run_time / 2);
        if (job_state.reported_stage == "accepted" && !job_state.cancel_requested && long_to_go &&
            running_tasks(ref) > 0)
            chosen.push_back(ref);
    }
    std::shuffle(chosen.begin(), chosen.end(), random);
    chosen.resize(std::min(chosen.size(), static_cast<std::size_t>(count)));
    std::set<std::string> machines;
    for (const auto& ref : chosen) {
        for (const auto& machine : machines_running(ref))
            if (machines.size() < 8) machines.insert(machine);
        schedule_at(now_ + random_between(0, 200 * kMillisecond), [this, ref] { cancel(ref); });
    }
    if (hang_for == 0) return chosen;
    for (const auto& machine : machines) {
        set_hung(machine, true);
        schedule_at(now_ + hang_for, [this, machine] { set_hung(machine, false); });
    }
    return chosen;
}

void Simulator::call_as_user(const std::string& method, const std::string& path, const Json& body,
                             std::function<void(ApiResponse)> done, int target) {
    std::vector<int> up;
    for (int i = 0; i < node_count(); ++i)
        if (node(i)) up.push_back(i);
    auto is_answered = std::make_shared<bool>(false);
    auto answer_once = [is_answered, done = std::move(done)](const ApiResponse& response) {
        if (!std::exchange(*is_answered, true)) done(response);
    };
    schedule_at(now_ + 5 * kSecond, [answer_once] { answer_once({0, Json(), 0}); });
    if (up.empty()) return;
    if (target < 0)
        target = preferred_node >= 0 && node(preferred_node) ? preferred_node : up[random() % up.size()];
    if (is_link_cut("users", "loom-" + std::to_string(target))) return;
    const std::string bytes = wire::encode(body);
    schedule_at(now_ + draw_delay(), [this, target, method, path, bytes, answer_once] {
        run_on_node(target, [this, target, method, path, bytes, answer_once] {
            if (!node(target)) return;
            node(target)->handle_request(
                {method, path, bytes, false}, [this, target, answer_once](const ApiResponse& response) {
                    observe_answer(target, response);
                    schedule_at(now_ + draw_delay(), [this, target, answer_once, response] {
                        if (node(target)) answer_once(response);
                    });
                });
        });
    });
}

void Simulator::query_job(RequestKind kind, const std::string& ref, const Json& body,
                          std::function<void(const ApiResponse&)> done, int target) {
    const auto submitted_job = jobs_.find(ref);
    const bool acceptable = submitted_job != jobs_.end() && wire::parse_job(body).spec;
    const std::string path = "/v1/jobs" + (kind == RequestKind::Submission     ? ""
                                           : kind == RequestKind::Cancellation ? "/" + ref + "/abort"
                                                                               : "/" + ref);
    call_as_user(
        kind == RequestKind::State ? "GET" : "POST", path, body,
        [this, kind, ref, acceptable, request_moment = consistency_checker_.begin_request(), sent_at = now_,
         done = std::move(done)](const ApiResponse& response) {
            if (response.status == 0) return done(response);
            ActualState actual;
            if (auto known_job = jobs_.find(ref); known_job != jobs_.end())
                actual = {true, is_cancel_requested(ref),
                          static_cast<int>(known_job->second.completed_tasks.size()) >=
                              known_job->second.info.spec.tasks};
            const std::string stage = wire::text(response.body, "stage").value_or("");
            for (const auto& line : consistency_checker_.check_answer(
                     ref, {kind, request_moment, response.status, stage, acceptable}, actual)) {
                record_event("BROKEN " + line);
                violations.push_back(line);
            }
            if (actual.submitted && (response.status == 200 || response.status == 201))
                record_answer(ref, sent_at, response.body);
            done(response);
        },
        target);
}

void Simulator::try_submit(const std::string& ref) {
    query_job(RequestKind::Submission, ref, wire::job_value(jobs_[ref].info.spec),
              [this, ref](const ApiResponse& response) {
                  if (response.status == 200 || response.status == 201) {
                      // A repeated submission, however late, is answered with the job's state.
                      duplicate_at_random([this, ref] { try_submit(ref); });
                      return schedule_poll(ref);
                  }
                  if (response.status == 400 || response.status == 422) return;
                  schedule_at(now_ + kSecond, [this, ref] { try_submit(ref); });
              });
}

void Simulator::try_cancel(const std::string& ref) {
    query_job(RequestKind::Cancellation, ref, Json::object(), [this, ref](const ApiResponse& response) {
        if (response.status == 200) return duplicate_at_random([this, ref] { try_cancel(ref); });
        schedule_at(now_ + kSecond, [this, ref] { try_cancel(ref); });
    });
}

void Simulator::schedule_poll(const std::string& ref) {
    if (jobs_[ref].poll_scheduled) return;
    jobs_[ref].poll_scheduled = true;
    const Micros pause =
        (min_poll_interval + static_cast<Micros>(random() % 2000) * min_poll_interval / 1000) /
        poll_frequency_factor;
    schedule_at(now_ + pause, [this, ref] {
        jobs_[ref].poll_scheduled = false;
        query_job(RequestKind::State, ref, Json::object(), [this, ref](const ApiResponse& response) {
            if (response.status == 200) {
                JobState& job_state = jobs_[ref];
                job_state.longest_unanswered =
                    std::max(job_state.longest_unanswered, time_unanswered(job_state));
                job_state.last_answered_at = now_;
            }
            schedule_poll(ref);
        });
    });
}

void Simulator::query_all_nodes(const std::string& ref) {
    const JobSpec& spec = jobs_.at(ref).info.spec;
    // Another job of the same name, which might be refused if the name were new.
    JobSpec other = spec;
    other.tasks = spec.tasks + 1;
    other.image = other.job_class = std::string(250, 'x');
    for (const Micros later : {1, 3, 10, 30, 100})
        for (int i = 0; i < node_count(); ++i)
            schedule_at(now_ + later * kMillisecond, [this, ref, later, i, spec, other] {
                if (!node(i)) return;
                query_state(ref, i);
                if (later == 3 || later == 30) resubmit(ref, wire::job_value(spec), i);
                if (later == 10) resubmit(ref, wire::job_value(other), i);
                // Without a request of the user, a job may be cancelled here only once it is over.
                const bool over = reported_stage(ref) == "done" || reported_stage(ref) == "cancelled";
                if (later == 10 && (over || is_cancel_requested(ref)))
                    query_job(
                        RequestKind::Cancellation, ref, Json::object(), [](const auto&) {}, i);
            });
}

void Simulator::query_and_resubmit(const JobSpec& spec, int target) {
    resubmit(spec.ref, wire::job_value(spec), target);
    query_state(spec.ref, target);
}

void Simulator::query_state(const std::string& ref, int target) {
    query_job(
        RequestKind::State, ref, Json::object(), [](const auto&) {}, target);
}

void Simulator::resubmit(const std::string& ref, const Json& body, int target) {
    query_job(
        RequestKind::Submission, ref, body, [](const auto&) {}, target);
}

void Simulator::submit_invalid_job(const Json& body, int target) {
    if (target < 0)
        for (int i = 1; i < node_count(); ++i) submit_invalid_job(body, i);
    target = std::max(target, 0);
    const std::string ref = wire::text(body, "ref").value_or("");
    query_job(
        RequestKind::Submission, ref, body,
        [this, body, target](const ApiResponse& r) {
            if (r.status != 400 && r.status != 422)
                schedule_at(now_ + kSecond, [this, body, target] { submit_invalid_job(body, target); });
        },
        target);
    if (!ref.empty()) query_state(ref, target);
}

void Simulator::send_unusual_request() {
    const int target = static_cast<int>(random() % nodes_.size());
    if (!node(target)) return;
    const auto random_job_in_stage = [this](const std::string& stage) -> const JobSpec* {
        std::vector<const JobSpec*> candidates;
        for (const auto& [ref, job_state] : jobs_)
            if (job_state.reported_stage == stage) candidates.push_back(&job_state.info.spec);
        return candidates.empty() ? nullptr : candidates[random() % candidates.size()];
    };
    JobSpec new_job = make_job(900'000 + ++unusual_jobs_sent_, JobKind::Array, 1);
    Json body = wire::job_value(new_job);
    switch (random() % 5) {
        case 0:
            if (const JobSpec* spec = random_job_in_stage("accepted")) {
                body = wire::job_value(*spec);
                if (random() % 2) body.erase(body.begin());  // the first field by name, which isn't "ref"
                resubmit(spec->ref, body, target);
            }
            break;
        case 1:
            if (const JobSpec* spec = random_job_in_stage("done"))
                query_job(
                    RequestKind::Cancellation, spec->ref, Json::object(), [](const auto&) {}, target);
            break;
        case 2:
            body["cores"] = 1e6;
            submit_invalid_job(body, target);
            break;
        case 3: {
            auto field = body.begin();
            std::advance(field, static_cast<std::ptrdiff_t>(random() % body.size()));
            body.erase(field);
            submit_invalid_job(body, target);
            break;
        }
        default:
            query_state(new_job.ref, target);
            break;
    }
}

void Simulator::record_answer(const std::string& ref, Micros sent_at, const Json& body) {
    JobState& job_state = jobs_[ref];
    const std::string stage = wire::text(body, "stage").value_or("");
    if (const Micros cancelled_at = cancellation_report_time(ref);
        stage != "cancelled" && stage != "done" && cancelled_at > 0 &&
        sent_at > cancelled_at + settings.cancel_deadline)
        record_violation("orphaned", ref + " is still called " + stage);
    const std::string new_stage = stage == "done" || stage == "cancelled" ? stage : "accepted";
    // An answer that was overtaken by a newer one is ignored.
    if (job_state.reported_stage == new_stage || job_state.reported_stage == "done" ||
        job_state.reported_stage == "cancelled")
        return;
    record_event("user is told: " + ref + " is " + new_stage);
    if (job_state.reported_stage.empty()) job_state.accepted_at = now_;
    if (new_stage == "cancelled") job_state.cancellation_reported_at = now_;
    const bool accepted = job_state.reported_stage.empty() && new_stage == "accepted";
    job_state.reported_stage = new_stage;
    if (!query_after_changes) return;
    query_all_nodes(ref);
    if (accepted && !job_state.cancel_requested && happens(0.1)) cancel(ref);
}

Micros Simulator::time_unanswered(const JobState& job_state) const {
    return faults_over_since_ < 0
               ? 0
               : now_ - std::max({faults_over_since_, job_state.last_answered_at, job_state.accepted_at});
}

void Simulator::mark_faults_over() {
    if (faults_over_since_ < 0) schedule_at(now_, [this] { check_starvation(); });
    faults_over_since_ = now_;
}

ClusterSnapshot Simulator::take_snapshot() {
    ClusterSnapshot snapshot;
    for (const auto& team : settings.teams) snapshot.remaining_limits[team.name] = team.limit;
    std::map<std::pair<std::string, int>, std::string> zone_of_task;  // tasks on machines, by their zones
    for (const auto& [name, worker_state] : workers_) {
        if (!worker_state.worker) continue;
        FreeCapacity capacity{worker_state.worker->type().name, worker_state.worker->zone(),
                              worker_state.worker->spot(), worker_state.worker->type().size};
        for (const auto& [ref, task] : worker_state.worker->occupying_tasks()) {
            const JobSpec& spec = jobs_.at(ref).info.spec;
            capacity.free -= spec.request;
            snapshot.remaining_limits[spec.team] -= spec.request;
            zone_of_task[{ref, task}] = capacity.zone;
        }
        bool reachable = !worker_state.hung && !worker_state.inbound_blocked &&
                         !worker_state.reports_blocked && !worker_state.worker->faulty &&
                         !worker_state.worker->reclaim_deadline;
        for (int i = 0; reachable && !(cut_links_.empty() && one_way_cuts_.empty()) && i < node_count(); ++i)
            reachable = !is_link_cut(name, "loom-" + std::to_string(i));
        if (reachable) snapshot.machines[name] = std::move(capacity);
    }
    for (const auto& [ref, job_state] : jobs_) {
        const JobSpec& spec = job_state.info.spec;
        if (job_state.reported_stage != "accepted" || job_state.completed_at >= 0 ||
            job_state.info.always_fails || is_cancel_requested(ref))
            continue;
        if (std::any_of(spec.dependencies.begin(), spec.dependencies.end(),
                        [this](const auto& dependency) { return jobs_.at(dependency).completed_at < 0; }))
            continue;
        WaitingJob waiting{
            spec, spec.tasks - static_cast<int>(job_state.completed_tasks.size()), {}, job_state.task_starts};
        for (auto it = zone_of_task.lower_bound({ref, 0}); it != zone_of_task.end() && it->first.first == ref;
             ++it) {
            ++waiting.running_by_zone[it->second];
            waiting.waiting_tasks -= !job_state.completed_tasks.count(it->first.second);
        }
        const bool waits =
            spec.kind == JobKind::Gang ? waiting.running_by_zone.empty() : waiting.waiting_tasks > 0;
        if (waits) snapshot.waiting_jobs[ref] = std::move(waiting);
    }
    return snapshot;
}

void Simulator::check_starvation() {
    schedule_at(now_ + kSecond, [this] { check_starvation(); });
    starvation_checker_.observe(now_, take_snapshot());
}

std::vector<JobOutcome> Simulator::job_outcomes() const {
    std::vector<JobOutcome> outcomes;
    for (const auto& [ref, job_state] : jobs_) {
        if (job_state.reported_stage.empty()) continue;
        const bool excluded = job_state.info.always_fails || job_state.reported_stage == "cancelled" ||
                              is_cancel_requested(ref);
        const Micros fetch = std::max<Micros>(job_state.info.image_fetch_time, 0);
        outcomes.push_back({job_state.info.spec, job_state.info.run_time + fetch, job_state.accepted_at,
                            job_state.first_started_at, job_state.all_started_at, job_state.completed_at,
                            excluded, std::max(job_state.longest_unanswered, time_unanswered(job_state)),
                            starvation_checker_.wait_of(ref)});
    }
    return outcomes;
}

void Simulator::record_running_tasks() {
    running_before_restart_.clear();
    for (const auto& [key, machines] : running_on_) running_before_restart_.insert(key);
}

std::vector<std::string> Simulator::job_refs() const {
    std::vector<std::string> refs;
    for (const auto& [ref, job_state] : jobs_) refs.push_back(ref);
    return refs;
}

ApiResponse Simulator::request_raw(int node_index, const std::string& method, const std::string& path,
                                   const std::string& body) {
    auto result = std::make_shared<std::optional<ApiResponse>>();
    node(node_index)->handle_request({method, path, body, false}, [result](const ApiResponse& response) {
        if (!*result) *result = response;
    });
    for (int attempt = 0; attempt < 500 && !*result; ++attempt) run(10 * kMillisecond);
    return result->value_or(ApiResponse{0, Json(), 0});
}

ApiResponse Simulator::request(int node_index, const std::string& method, const std::string& path,
                               const Json& body) {
    return request_raw(node_index, method, path, wire::encode(body));
}

std::string Simulator::reported_stage(const std::string& ref) const {
    auto it = jobs_.find(ref);
    return it == jobs_.end() ? "" : it->second.reported_stage;
}

int Simulator::running_tasks(const std::string& ref) const {
    int count = 0;
    for (const auto& [key, machines] : running_on_)
        if (key.first == ref) count += static_cast<int>(machines.size());
    return count;
}

std::set<std::string> Simulator::machines_running(const std::string& ref) const {
    std::set<std::string> names;
    for (const auto& [key, machines] : running_on_)
        if (key.first == ref)
            for (const auto& [machine, attempt] : machines) names.insert(machine);
    return names;
}

int Simulator::task_starts(const std::string& ref) const {
    auto it = jobs_.find(ref);
    return it == jobs_.end() ? 0 : it->second.task_starts;
}

int Simulator::completed_tasks(const std::string& ref) const {
    auto it = jobs_.find(ref);
    return it == jobs_.end() ? 0 : static_cast<int>(it->second.completed_tasks.size());
}

// ---------------------------------------------------------------- protocol rules

void Simulator::record_event(const std::string& line) {
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f ", static_cast<double>(now_) / 1e6);
    event_history.push_back(time + line);
    spdlog::info("{}", event_history.back());
}

std::string Simulator::format_history(std::size_t last) const {
    std::string lines;
    for (std::size_t i = event_history.size() > last ? event_history.size() - last : 0;
         i < event_history.size(); ++i)
        lines += event_history[i] + "\n";
    return lines;
}

bool Simulator::is_cancel_requested(const std::string& ref) const {
    const JobState& job_state = jobs_.at(ref);
    return job_state.cancel_requested ||
           std::any_of(job_state.info.spec.dependencies.begin(), job_state.info.spec.dependencies.end(),
                       [this](const auto& dependency) { return is_cancel_requested(dependency); });
}

Micros Simulator::cancellation_report_time(const std::string& ref) const {
    const JobState& job_state = jobs_.at(ref);
    if (job_state.reported_stage == "cancelled") return job_state.cancellation_reported_at;
    for (const auto& dependency : job_state.info.spec.dependencies)
        if (const Micros time = cancellation_report_time(dependency)) return time;
    return 0;
}

void Simulator::record_violation(const std::string& rule, const std::string& what) {
    record_event("BROKEN " + rule + ": " + what);
    violations.push_back(rule + ": " + what);
}

const JobInfo* Simulator::job(const std::string& ref) {
    auto it = jobs_.find(ref);
    return it == jobs_.end() ? nullptr : &it->second.info;
}

void Simulator::on_task_started(const std::string& machine, const std::string& ref, int task,
                                std::int64_t attempt) {
    JobState& job_state = jobs_.at(ref);
    const JobSpec& spec = job_state.info.spec;
    ++job_state.task_starts;
    record_event(ref + "/" + std::to_string(task) + " attempt " + std::to_string(attempt) + " starts on " +
                 machine);
    for (const auto& dependency : spec.dependencies)
        if (static_cast<int>(jobs_.at(dependency).completed_tasks.size()) <
            jobs_.at(dependency).info.spec.tasks)
            record_violation("too_early", ref + " starts before " + dependency + " is done");
    auto& machines = running_on_[{ref, task}];
    if (!machines.empty())
        record_violation("ran_twice", ref + "/" + std::to_string(task) + " is on " + machines.begin()->first);
    machines[machine] = attempt;
    if (job_state.started_tasks.insert(task).second && job_state.accepted_at > 0)
        task_start_delays_.emplace_back(spec.job_class, now_ - job_state.accepted_at);
    if (auto stopped = replica_stopped_at_.extract({ref, task}))
        replica_downtimes_.emplace_back(spec.job_class, now_ - stopped.mapped());
    if (job_state.first_started_at < 0) job_state.first_started_at = now_;
    if (job_state.all_started_at < 0 && static_cast<int>(job_state.started_tasks.size()) == spec.tasks)
        job_state.all_started_at = now_;
    unnecessary_starts_ += running_before_restart_.count({ref, task});
    if (job_state.reported_stage == "cancelled" &&
        now_ > job_state.cancellation_reported_at + settings.cancel_deadline)
        record_violation("ran_cancelled", ref + " starts on " + machine);
    const Resources used = team_usage_[spec.team] += spec.request;
    auto& zones = job_state.tasks_by_zone;
    ++zones[worker(machine)->zone()];
    for (const auto& team : settings.teams)
        if (team.name == spec.team && (used.cores > team.limit.cores || used.gpus > team.limit.gpus))
            record_violation("quota",
                             fmt::format("{} uses {} and {} cards", spec.team, used.cores, used.gpus));
    const Worker& host_worker = *worker(machine);
    const bool type_ok = !spec.types || std::find(spec.types->begin(), spec.types->end(),
                                                  host_worker.type().name) != spec.types->end();
    if (!type_ok || (spec.zone && *spec.zone != host_worker.zone()) || (host_worker.spot() && !spec.spot) ||
        (spec.one_zone && zones.size() > 1) ||
        (spec.spread && zones[host_worker.zone()] > (spec.tasks + 1) / 2))
        record_violation("wrong_place", ref + " on " + machine);
}

void Simulator::on_task_stopped(const std::string& machine, const std::string& ref, int task,
                                std::int64_t attempt) {
    record_event(ref + "/" + std::to_string(task) + " attempt " + std::to_string(attempt) + " leaves " +
                 machine);
    auto it = running_on_.find({ref, task});
    if (it == running_on_.end() || it->second.erase(machine) == 0) return;
    JobState& job_state = jobs_.at(ref);
    team_usage_[job_state.info.spec.team] -= job_state.info.spec.request;
    auto zone = job_state.tasks_by_zone.find(machine_zone(machine));
    if (zone != job_state.tasks_by_zone.end() && --zone->second == 0) job_state.tasks_by_zone.erase(zone);
    if (it->second.empty()) running_on_.erase(it);
    if (job_state.info.spec.kind == JobKind::Service && !running_on_.count({ref, task}))
        replica_stopped_at_[{ref, task}] = now_;
}

void Simulator::on_task_completed(const std::string& ref, int task, std::int64_t attempt) {
    JobState& job_state = jobs_.at(ref);
    job_state.completed_tasks.insert(task);
    if (job_state.info.spec.kind == JobKind::Gang) {
        finished_gangs_.insert({ref, attempt});
        for (int i = 0; i < job_state.info.spec.tasks; ++i) job_state.completed_tasks.insert(i);
    }
    if (job_state.completed_at >= 0 ||
        static_cast<int>(job_state.completed_tasks.size()) < job_state.info.spec.tasks)
        return;
    job_state.completed_at = now_;
    if (query_after_changes && !job_state.reported_stage.empty()) query_all_nodes(ref);
    if (!job_state.cancel_requested && happens(cancel_on_completion_rate))
        schedule_at(now_ + random_between(0, 100 * kMillisecond), [this, ref] { cancel(ref); });
}

bool Simulator::is_gang_complete(const std::string& ref, std::int64_t attempt) {
    const int tasks = jobs_.at(ref).info.spec.tasks;
    for (int i = 0; i < tasks; ++i) {
        auto it = running_on_.find({ref, i});
        if (it == running_on_.end() || it->second.begin()->second != attempt) return false;
    }
    return true;
}

bool Simulator::is_gang_intact(const std::string& ref, std::int64_t attempt) {
    return finished_gangs_.count({ref, attempt}) || is_gang_complete(ref, attempt);
}

}  // namespace cottonway::simulation
