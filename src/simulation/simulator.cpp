#include "simulation/simulator.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "logging/log.hpp"

namespace cottonway::simulation {

using fakes::JobInfo;
using fakes::Worker;

namespace {
std::pair<std::string, std::string> link(const std::string& a, const std::string& b) {
    return a < b ? std::pair(a, b) : std::pair(b, a);
}
constexpr Micros kStep = 50 * kMillisecond;
constexpr Micros kListedOn = 30 * kSecond;  // as running, of a machine that died
constexpr Micros kNever = 1'000'000 * kSecond;
}  // namespace

Settings small_cluster_settings() {
    Settings s;
    s.node = "loom-0";
    s.zone = "a";
    s.zones = {"a", "b"};
    s.teams = {{"red", {8'000, 0, 0}, {24'000, 0, 0}},
               {"blue", {8'000, 0, 0}, {16'000, 0, 0}},
               {"guests", {}, {kNoLimit, kNoLimit, 0}}};
    s.ops.history_apart = true;
    s.report_every = 2 * kSecond;
    s.lease = 12 * kSecond;
    s.gang_wait = 20 * kSecond;
    s.gang_peer = 4 * kSecond;
    s.cancel = 30 * kSecond;
    s.state_rps = 500;
    s.state_write_rps = 200;
    s.cloud_rps = 5;
    return s;
}

std::vector<MachineType> small_cluster_machine_types() {
    MachineType small{"small", {8'000, 0, 32'000}, 50'000, 1.0, 1.0, 0.4, 10 * kSecond, {"a", "b"}};
    MachineType large{"large", {16'000, 0, 64'000}, 50'000, 1.0, 2.0, 0.8, 10 * kSecond, {"a", "b"}};
    return {small, large};
}

/// A node's host: its clock drifts, and what it started dies with its process.
class Simulator::NodeRuntime : public Runtime, public std::enable_shared_from_this<NodeRuntime> {
  public:
    NodeRuntime(Simulator& simulator, int index, std::uint64_t seed)
        : simulator_(simulator), index_(index), name_("loom-" + std::to_string(index)), random_(seed) {
        drift_ppm_ = static_cast<Micros>(random_() % 500);
        offset_ = static_cast<Micros>(random_() % 1'000'000'000) + kSecond;
    }
    Micros now() override { return offset_ + simulator_.now_ + simulator_.now_ / 1'000'000 * drift_ppm_; }
    Micros listened() override {
        clock_.turn(now());
        return clock_.now();
    }
    std::int64_t wall_ms() override { return 1'790'000'000'000 + simulator_.now_ / kMillisecond; }
    std::mt19937_64& random() override { return random_; }
    void after(Micros delay, std::function<void()> run) override {
        simulator_.schedule_at(simulator_.now_ + std::max<Micros>(delay, 0),
                               [self = shared_from_this(), run = std::move(run)] { self->take(run, true); });
    }
    /// Runs in this process, if it has not ended meanwhile.
    void take(std::function<void()> what, bool timer) {
        if (!alive) return;
        simulator_.hand(
            index_,
            [self = shared_from_this(), what = std::move(what)] {
                if (!self->alive) return;
                self->clock_.turn(self->now());
                what();
            },
            timer);
    }
    void call(Call call, ReplyHandler done) override {
        if (simulator_.on_traffic)
            simulator_.on_traffic(name_, call.method + " " + call.path,
                                  call.body.is_null() ? call.bytes : wire::encode(call.body));
        auto pending = std::make_shared<Pending>();
        auto finish = [self = shared_from_this(), pending, done = std::move(done)](const Reply& r) {
            self->take(
                [pending, done, r] {
                    if (!std::exchange(pending->over, true)) done(r);
                },
                false);
        };
        release_shard(listened() + call.timeout, pending, finish);
        std::string to = call.target == Target::State ? "state" : call.target == Target::Cloud ? "cloud" : "";
        if (call.target == Target::Worker)
            if (auto at = simulator_.by_addr_.find(call.addr);
                at != simulator_.by_addr_.end() && simulator_.worker(at->second))
                to = at->second;
        if (call.target == Target::Peer) to = "loom-" + std::to_string(std::stoi(call.addr.substr(7)) - 1);
        auto back = [self = shared_from_this(), to, finish](Reply r) {
            self->simulator_.send(to, self->name_, [finish, r = std::move(r)] { finish(r); });
        };
        auto send = [self = shared_from_this(), call, to, back] {
            self->simulator_.send(self->name_, to, [self, call, to, back] { self->arrive(call, to, back); });
        };
        if (call.target != Target::Worker && call.target != Target::Peer) return send();
        const bool no_socket = simulator_.nodes_[static_cast<std::size_t>(index_)].sockets_exhausted;
        if (call.target == Target::Worker && no_socket) return finish_unsent(0, finish);
        // A connection first: one that does not come about in time has carried nothing.
        const bool refused = call.target == Target::Peer && !simulator_.node(std::stoi(to.substr(5)));
        if (to.empty() || refused || simulator_.is_link_cut(name_, to)) {
            return finish_unsent(refused ? kMillisecond : std::min(call.timeout, kSecond), finish);
        }
        simulator_.schedule_at(simulator_.now_ + simulator_.delay(), send);
    }
    bool alive = true;

  private:
    struct Pending {
        bool over = false;
    };
    void finish_unsent(Micros after, const std::function<void(const Reply&)>& finish) {
        simulator_.schedule_at(simulator_.now_ + after, [finish] { finish(Reply{kNotSent, {}}); });
    }
    /// Time-outs go by the time spent listening.
    void release_shard(Micros deadline, const std::shared_ptr<Pending>& pending,
                       const std::function<void(const Reply&)>& finish) {
        after(std::max<Micros>(deadline - listened(), kMillisecond),
              [self = shared_from_this(), deadline, pending, finish] {
                  if (pending->over) return;
                  if (self->listened() < deadline) return self->release_shard(deadline, pending, finish);
                  finish(Reply{});
              });
    }
    void arrive(const Call& call, const std::string& to, const std::function<void(Reply)>& back) {
        Simulator& w = simulator_;
        // Bodies go through the codec, as they would on the wire.
        const Json body =
            call.body.is_null() ? Json() : wire::decode(wire::encode(call.body)).value_or(Json());
        if (to == "state") {
            ++w.nodes_[static_cast<std::size_t>(index_)].state_requests;
            if (w.nodes_[static_cast<std::size_t>(index_)].refused) return back(Reply{503, Json::object()});
            if (call.path.compare(0, 8, "/changes") == 0)
                return wait_for_change(call.path, w.now_ + fakes::StateService::block_time(call.path), back);
            if (call.method != "GET")
                w.repeat([&w, call, body] { w.state_.handle(call.method, call.path, body, w.now_); });
            if (const auto late = call.path == "/commit" ? w.lateness(body) : std::nullopt)
                return w.schedule_at(w.now_ + *late, [&w, call, body] {
                    w.state_.handle(call.method, call.path, body, w.now_);
                    w.watch_leader();
                });
            const Reply reply = w.state_.handle(call.method, call.path, body, w.now_);
            if (call.path == "/commit") w.watch_leader();
            return back(reply);
        }
        if (to == "cloud" && call.method != "GET")
            w.repeat([&w, call, body] { w.cloud_.handle(call.method, call.path, body, w.now_); });
        if (to == "cloud") return back(w.cloud_.handle(call.method, call.path, body, w.now_));
        if (call.target == Target::Peer) {
            const int peer = std::stoi(to.substr(5));
            return w.hand(peer, [&w, peer, bytes = call.bytes, back] {
                if (!w.node(peer)) return;
                w.node(peer)->handle_peer(bytes, [back](std::string answer) {
                    const int status = answer.empty() ? 400 : 200;
                    back(Reply{status, {}, std::move(answer)});
                });
            });
        }
        auto it = w.workers_.find(to);
        if (it == w.workers_.end() || !it->second.worker) return;
        auto execute = [&w, to, call, body, back] {
            auto found = w.workers_.find(to);
            if (found == w.workers_.end() || !found->second.worker) return;
            back(found->second.worker->handle(call.method, call.path, body, w.now_));
        };
        if (call.method != "GET" && w.duplicate_commands)
            w.repeat([&w, to, call, body] {
                if (Worker* x = w.worker(to); x && !w.workers_[to].hung)
                    x->handle(call.method, call.path, body, w.now_);
            });
        if (call.method != "GET" && w.drawn(w.delayed_command_rate)) {
            w.schedule_at(w.now_ + w.between(2 * kSecond, kMaxCommandDelay), [&w, to, call, body] {
                auto late = [&w, to, call, body] {
                    if (Worker* x = w.worker(to)) x->handle(call.method, call.path, body, w.now_);
                };
                if (w.workers_[to].hung) return w.workers_[to].waiting.push_back(late);
                late();
            });
            return;
        }
        if (it->second.hung)
            it->second.waiting.push_back(execute);
        else
            execute();
    }
    void wait_for_change(const std::string& path, Micros until, const std::function<void(Reply)>& back) {
        const bool refused = simulator_.nodes_[static_cast<std::size_t>(index_)].refused;
        auto reply = refused ? std::nullopt : simulator_.state_.watch(path, simulator_.now_ >= until);
        if (reply) return back(*reply);
        if (simulator_.now_ > until + 60 * kSecond) return;
        simulator_.schedule_at(simulator_.now_ + 10 * kMillisecond,
                               [self = shared_from_this(), path, until, back] {
                                   if (self->alive) self->wait_for_change(path, until, back);
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

Simulator::Simulator(std::uint64_t seed, Settings s, std::vector<MachineType> types)
    : settings(std::move(s)), random(seed), cloud_(std::move(types)) {
    // WORLD_LOG=1 prints the trace and the controllers' own log lines as they come.
    spdlog::set_level(std::getenv("WORLD_LOG") ? spdlog::level::info : spdlog::level::off);
    cloud_.capacity = 0;
    cloud_.on_delete = [this](const std::string& name) { kill_machine(name); };
    schedule_at(0, [this] { tick(); });
}

Simulator::~Simulator() {
    for (auto& n : nodes_) {
        if (n.host) n.host->alive = false;
        n.controller.reset();
    }
    events_.clear();
    workers_.clear();  // they still tell what leaves them
}

void Simulator::schedule_at(Micros when, std::function<void()> what) {
    events_[{std::max(when, now_), ++order_}] = std::move(what);
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

Micros Simulator::delay() {
    return 500 + static_cast<Micros>(random() % 4500) +
           (max_extra_link_delay > 0 ? between(0, max_extra_link_delay) : 0);
}

void Simulator::send(const std::string& from, const std::string& to, std::function<void()> deliver) {
    if (hold_next_.erase({from, to})) {
        record_event("a message from " + from + " to " + to + " is kept back");
        kept_back_.push_back(std::move(deliver));
        return;
    }
    if (auto worker = workers_.find(to); worker != workers_.end() && worker->second.deaf) return;
    if (cuts_.count(link(from, to)) || one_way_.count({from, to})) {
        held_.emplace_back(from, to, std::move(deliver));
        return;
    }
    if (drawn(message_loss_rate) || (from == "state" && drawn(state_answer_loss_rate))) return;
    const Micros slow =
        from == "state" && max_state_answer_delay > 0 ? between(0, max_state_answer_delay) : 0;
    schedule_at(now_ + delay() + slow, std::move(deliver));
}

std::optional<Micros> Simulator::lateness(const Json& transaction) {
    const Json* then = wire::find(transaction, "then");
    for (auto it = late_next_.begin(); then && it != late_next_.end(); ++it) {
        const auto& [prefix, late] = *it;
        const auto touches = [&prefix = prefix](const Json& op) {
            const auto key = wire::text(op, wire::find(op, "drop") ? "drop" : "write");
            return key && key->compare(0, prefix.size(), prefix) == 0;
        };
        if (std::none_of(then->begin(), then->end(), touches)) continue;
        record_event("a transaction on " + prefix + " is carried out " + std::to_string(late / kMillisecond) +
                     " ms late");
        const Micros so_late = late;
        late_next_.erase(it);
        return so_late;
    }
    if (drawn(unanswered_write_rate)) return 0;
    if (drawn(delayed_write_rate)) return between(2 * kSecond, kMaxWriteDelay);
    return std::nullopt;
}

void Simulator::watch_leader() {
    const Reply r = state_.handle("GET", "/store/c/leader", Json(), now_);
    const Json* data = r.status == 200 ? wire::find(r.body, "data") : nullptr;
    const std::string node = data ? wire::text(*data, "node").value_or("") : "";
    if (node.empty() || node == led_by_) return;
    led_by_ = node;
    for (const auto& body : std::exchange(kept_reports_, {}))
        for (int i = 0; i < node_count(); ++i)
            schedule_at(now_ + delay(), [this, i, body] {
                hand(i, [this, i, body] {
                    if (node_count() > i && this->node(i))
                        this->node(i)->handle({"POST", "/v1/report", body, false}, [](const auto&) {});
                });
            });
}

void Simulator::repeat(std::function<void()> again) {
    if (drawn(duplicate_rate)) schedule_at(now_ + between(0, max_duplicate_delay), std::move(again));
}

void Simulator::hand(int i, std::function<void()> what, bool timer) {
    Node& n = nodes_[static_cast<std::size_t>(i)];
    if (!n.frozen) return what();
    (timer ? n.due : n.unread).push_back(std::move(what));
}

void Simulator::freeze_process(int i, Micros span) {
    Node& n = nodes_[static_cast<std::size_t>(i)];
    if (!n.controller || n.frozen) return;
    record_event("loom-" + std::to_string(i) + " stands still for " + std::to_string(span / kMillisecond) +
                 " ms");
    n.frozen = true;
    schedule_at(now_ + span, [this, i] {
        Node& x = nodes_[static_cast<std::size_t>(i)];
        if (!std::exchange(x.frozen, false)) return;
        record_event("loom-" + std::to_string(i) + " goes on");
        // The worst order: every timer is due before anything is read.
        for (auto& run : std::exchange(x.due, {})) run();
        for (auto& run : std::exchange(x.unread, {})) run();
    });
}

void Simulator::cut_link_one_way(const std::string& from, const std::string& to) {
    record_event("nothing passes from " + from + " to " + to);
    one_way_.insert({from, to});
}

void Simulator::cut_link(const std::string& a, const std::string& b) {
    record_event("cut between " + a + " and " + b);
    cuts_.insert(link(a, b));
}

void Simulator::heal_link(const std::string& a, const std::string& b) {
    heal_link({{a, b}});
}

void Simulator::heal_link(const std::vector<std::pair<std::string, std::string>>& links) {
    std::set<std::pair<std::string, std::string>> healed;
    for (const auto& [a, b] : links) {
        record_event("healed between " + a + " and " + b);
        cuts_.erase(link(a, b));
        one_way_.erase({a, b});
        one_way_.erase({b, a});
        healed.insert(link(a, b));
    }
    auto held = std::exchange(held_, {});
    for (auto& [from, to, deliver] : held) {
        if (healed.count(link(from, to)))
            schedule_at(now_ + delay(), std::move(deliver));  // minutes late, but delivered
        else
            held_.emplace_back(from, to, std::move(deliver));
    }
}

void Simulator::fail_zone(const std::string& zone, bool ends) {
    if (lost_zones_.count(zone)) return;
    record_event("zone " + zone + (ends ? " ends" : " is cut off"));
    LostZone& lost = lost_zones_[zone];
    std::vector<std::string> inside, outside{"state", "cloud"};
    for (int i = 0; i < node_count(); ++i) {
        const bool in = settings.zones[static_cast<std::size_t>(i) % settings.zones.size()] == zone;
        (in ? inside : outside).push_back("loom-" + std::to_string(i));
        if (in && ends) crash(i, kNever);
    }
    for (const auto& name : machine_names()) {
        const Worker& w = *worker(name);
        (w.zone() == zone ? inside : outside).push_back(name);
        if (w.zone() != zone || !ends) continue;
        lost.machines.emplace_back(w.type().name, w.spot());
        kill_machine(name);
    }
    if (ends) return;
    auto speaks = [](const std::string& host) { return host.compare(0, 5, "loom-") == 0; };
    for (const auto& a : inside)
        for (const auto& b : outside)
            if (speaks(a) || speaks(b)) {
                cuts_.insert(link(a, b));
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
    for (const auto& [a, b] : std::set(cuts_)) heal_link(a, b);
    for (const auto& [a, b] : std::set(one_way_)) heal_link(a, b);
}

void Simulator::hold_next_message(const std::string& from, const std::string& to) {
    hold_next_.insert({from, to});
}

void Simulator::release_held_messages() {
    record_event("what was kept back arrives");
    for (auto& deliver : std::exchange(kept_back_, {})) schedule_at(now_ + delay(), std::move(deliver));
}

void Simulator::refuse_state_requests(int i, bool on) {
    record_event("state service " + std::string(on ? "refuses" : "serves") + " loom-" + std::to_string(i));
    nodes_[static_cast<std::size_t>(i)].refused = on;
}

void Simulator::exhaust_sockets(int i, bool on) {
    record_event("loom-" + std::to_string(i) +
                 (on ? " has no socket left for workers" : " has sockets again"));
    nodes_[static_cast<std::size_t>(i)].sockets_exhausted = on;
}

void Simulator::isolate_controller(int i, bool on) {
    std::vector<std::pair<std::string, std::string>> links;
    const std::string host = "loom-" + std::to_string(i);
    links.emplace_back(host, "state");
    for (int peer = 0; peer < node_count(); ++peer)
        if (peer != i) links.emplace_back(host, "loom-" + std::to_string(peer));
    if (!on) return heal_link(links);
    for (const auto& [a, b] : links) cut_link(a, b);
}

void Simulator::block_messages_to(const std::string& machine, bool on) {
    record_event("machine " + machine + (on ? " is deaf" : " hears again"));
    workers_[machine].deaf = on;
}

void Simulator::block_messages_from(const std::string& machine, bool on) {
    record_event("machine " + machine + (on ? " reaches no controller" : " reaches controllers again"));
    workers_[machine].mute = on;
}

// ---------------------------------------------------------------- nodes and machines

void Simulator::start_nodes(int count, std::set<int> old) {
    nodes_.resize(static_cast<std::size_t>(count));
    for (int i : old) nodes_[static_cast<std::size_t>(i)].old = true;
    state_.limits = {settings.value_bytes_now, std::max<std::size_t>(settings.txn_ops, 8), 0};
    for (int i = 0; i < count; ++i) start_node(i);
}

void Simulator::start_node(int i) {
    Node& n = nodes_[static_cast<std::size_t>(i)];
    Settings s = settings;
    s.node = "loom-" + std::to_string(i);
    for (int p = 0; p < node_count(); ++p)
        if (p != i)
            s.peers.push_back({"loom-" + std::to_string(p),
                               "",
                               {"10.0.0." + std::to_string(p + 1), static_cast<std::uint16_t>(8081)}});
    s.zone = settings.zones[static_cast<std::size_t>(i) % settings.zones.size()];
    s.announces_format = !n.old;
    n.violations = 0;
    n.host = std::make_shared<NodeRuntime>(*this, i, random());
    n.controller = std::make_unique<Controller>(*n.host, s);
    n.controller->start();
}

void Simulator::upgrade(int i, Micros back_after) {
    record_event("loom-" + std::to_string(i) + " is brought up to date");
    nodes_[static_cast<std::size_t>(i)].old = false;
    crash(i, back_after);
}

void Simulator::crash(int i, Micros back_after) {
    Node& n = nodes_[static_cast<std::size_t>(i)];
    if (!n.controller) return;
    record_event("loom-" + std::to_string(i) + " ends");
    if (led_by_ == "loom-" + std::to_string(i)) led_by_.clear();
    n.host->alive = false;
    n.controller.reset();
    n.frozen = false;
    n.due.clear();
    n.unread.clear();
    schedule_at(now_ + back_after, [this, i] {
        if (nodes_[static_cast<std::size_t>(i)].controller) return;
        record_event("loom-" + std::to_string(i) + " is back");
        start_node(i);
    });
}

int Simulator::leader_node() const {
    for (int i = 0; i < node_count(); ++i)
        if (const auto& c = nodes_[static_cast<std::size_t>(i)].controller; c && c->leads()) return i;
    return -1;
}

int Simulator::owner_node() {
    for (int i = 0; i < node_count(); ++i)
        if (owner_at(i)) return i;
    return -1;
}

int Simulator::busiest_node() {
    int found = -1;
    std::size_t most = 0;
    for (int i = 0; i < node_count(); ++i) {
        std::size_t held = 0;
        if (node(i))
            for (const auto& [name, owner] : node(i)->owners())
                if (owner) held += owner->machines().size();
        if (held > most) most = held, found = i;
    }
    return found;
}

ShardOwner* Simulator::owner_at(int i) {
    if (!node(i)) return nullptr;
    for (const auto& [name, owner] : node(i)->owners())
        if (owner && owner->active() && !owner->machines().empty()) return owner.get();
    return nullptr;
}

bool Simulator::is_link_cut(const std::string& a, const std::string& b) const {
    return cuts_.count(link(a, b)) || one_way_.count({a, b}) || one_way_.count({b, a});
}

std::string Simulator::add_machine(const std::string& type, const std::string& zone, bool spot) {
    const std::string name = cloud_.rent_one(type, zone, spot, now_, 0);
    boot_machines();
    return name;
}

void Simulator::boot_machines() {
    for (auto& [name, m] : cloud_.machines()) {
        if (m.up) continue;
        if (m.up_at > m.rented && seen_rented_.insert(name).second && drawn(fast_boot_rate))
            m.up_at = std::min(m.up_at, m.rented + between(200 * kMillisecond, 2 * kSecond));
        if (m.up_at > now_) continue;
        m.up = true;
        m.info.state = CloudState::Running;
        m.info.addr = "10.1." + std::to_string(workers_.size() / 250) + "." +
                      std::to_string(workers_.size() % 250 + 1) + ":9000";
        by_addr_[m.info.addr] = name;
        zone_of_[name] = m.info.zone;
        auto& r = workers_[name];
        r.worker = std::make_unique<Worker>(name, m.info.addr, *cloud_.type(m.info.type), m.info.zone,
                                            m.info.spot, settings.lease, settings.gang_wait, *this, now_);
        r.node = static_cast<int>(random() % std::max<std::size_t>(nodes_.size(), 1));
        r.next = now_ + delay();
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
    // One that was not deleted is listed as running for a while yet, then as failed until it is.
    schedule_at(now_ + kListedOn, [this, name] {
        if (auto m = cloud_.machines().find(name); m != cloud_.machines().end())
            m->second.info.state = CloudState::Failed;
    });
}

void Simulator::set_hung(const std::string& name, bool on) {
    auto& r = workers_[name];
    if (!r.worker || r.hung == on) return;
    record_event("machine " + name + (on ? " hangs" : " goes on"));
    r.hung = on;
    if (!on)
        for (auto& w : std::exchange(r.waiting, {})) w();
}

void Simulator::answered(int node, const ApiResponse& response) const {
    if (on_traffic)
        on_traffic("loom-" + std::to_string(node),
                   std::to_string(response.status) + " " + std::to_string(response.retry_after),
                   wire::encode(response.body));
}

void Simulator::tick() {
    schedule_at(now_ + kStep, [this] { tick(); });
    if (send_unusual_requests && drawn(0.2)) odd_request();
    boot_machines();
    state_.expire(now_);
    for (auto& [name, r] : workers_) {
        if (!r.worker) continue;
        if (r.hung) {
            r.worker->expire(now_);
            continue;
        }
        r.worker->advance(now_);
        const bool due = now_ >= r.next || (r.worker->changed && now_ - r.last >= 500 * kMillisecond);
        if (!r.in_flight && due) report(name);
    }
    for (auto& n : nodes_) {
        if (!n.controller || n.controller->decisions().violations() == n.violations) continue;
        n.violations = n.controller->decisions().violations();
        breach("invariant", "a lease was about to be renewed without a stop that was due");
    }
    for (auto& [ref, u] : users_) {
        if (u.told != "cancelled" || now_ <= u.cancelled_at + settings.cancel) continue;
        if (running_tasks(ref) > 0) breach("ran_cancelled", ref + " is still on a machine");
    }
}

void Simulator::report(const std::string& name) {
    auto& r = workers_[name];
    Worker& w = *r.worker;
    const Micros sent = now_;
    const auto session = w.session();
    const auto generation = ++r.generation;
    r.in_flight = true;
    r.last = now_;
    r.next = now_ + settings.report_every * 3 / 4 +
             static_cast<Micros>(random() % 1000) * settings.report_every / 2000;
    const std::string body = wire::encode(w.report(now_));
    const int target = r.node;
    const std::string host = "loom-" + std::to_string(target);
    auto release_shard = [this, name, generation](int to, Micros wait) {
        auto& x = workers_[name];
        if (!x.worker || x.generation != generation || !x.in_flight) return;
        x.in_flight = false;
        x.node = to;
        x.next = now_ + wait;
        x.last = now_ + wait - 500 * kMillisecond;
    };
    auto again = [this, target, body] {
        hand(target, [this, target, body] {
            if (node(target)) node(target)->handle({"POST", "/v1/report", body, false}, [](const auto&) {});
        });
    };
    if (keep_reports_.erase(name) || drawn(replayed_report_rate)) kept_reports_.push_back(body);
    if (r.mute) {
        schedule_at(now_ + 4 * kSecond,
                    [release_shard, next = (target + 1) % node_count()] { release_shard(next, kSecond); });
        return;
    }
    repeat(again);
    if (drawn(late_report_copy_rate))
        schedule_at(now_ + between(2 * kSecond, max_report_copy_delay(settings.lease)), again);
    const int next = (target + 1) % node_count();
    schedule_at(now_ + 4 * kSecond, [release_shard, next] { release_shard(next, kSecond); });
    if (!nodes_[static_cast<std::size_t>(target)].controller) {
        schedule_at(now_ + delay(), [release_shard, next] { release_shard(next, kSecond); });
        return;
    }
    send(name, host, [this, name, host, target, next, session, sent, generation, body, release_shard] {
        hand(target, [=, this] {
            Node& n = nodes_[static_cast<std::size_t>(target)];
            if (!n.controller) return;
            n.controller->handle({"POST", "/v1/report", body, false}, [=, this](const ApiResponse& a) {
                answered(target, a);
                send(host, name, [=, this] {
                    auto& x = workers_[name];
                    if (!x.worker || x.hung || x.generation != generation || !x.in_flight) return;
                    if (a.status == 200) {
                        x.in_flight = false;
                        x.worker->answered(a.body, session, sent, now_);
                    } else if (a.status == 421 && wire::text(a.body, "overseer")) {
                        const std::string to = *wire::text(a.body, "overseer");
                        release_shard(std::atoi(to.c_str() + 5),
                                      static_cast<Micros>(random() % 500) * kMillisecond);
                    } else {
                        release_shard(next, kSecond);
                    }
                });
            });
        });
    });
}

// ---------------------------------------------------------------- users

JobSpec Simulator::make_job(int number, JobKind kind, int tasks, double cores) {
    JobSpec s;
    char ref[32];
    std::snprintf(ref, sizeof ref, "req-%06d", number);
    s.ref = ref;
    s.job_class = "class";
    s.team = "red";
    s.kind = kind;
    s.rank = PriorityClass::Normal;
    s.tasks = tasks;
    s.request = {static_cast<Milli>(cores * 1000), 0, static_cast<Milli>(cores * 2000)};
    s.image = "img-" + std::to_string(number % 3);
    s.image_gb = 500;
    s.spot = true;
    return s;
}

void Simulator::submit(const JobSpec& spec, Micros run, Micros fetch, bool mistaken) {
    users_[spec.ref].info = {spec, run, fetch, mistaken};
    try_submit(spec.ref);
}

void Simulator::cancel(const std::string& ref) {
    users_[ref].wants_cancel = true;
    try_cancel(ref);
}

std::vector<std::string> Simulator::cancel_random_jobs(int count, Micros hang_for) {
    std::vector<std::string> chosen;
    for (const auto& [ref, u] : users_) {
        const bool long_to_go =
            u.info.spec.kind == JobKind::Service || (u.begun >= 0 && now_ - u.begun < u.info.run / 2);
        if (u.told == "accepted" && !u.wants_cancel && long_to_go && running_tasks(ref) > 0)
            chosen.push_back(ref);
    }
    std::shuffle(chosen.begin(), chosen.end(), random);
    chosen.resize(std::min(chosen.size(), static_cast<std::size_t>(count)));
    std::set<std::string> machines;
    for (const auto& ref : chosen) {
        for (const auto& m : machines_running(ref))
            if (machines.size() < 8) machines.insert(m);
        schedule_at(now_ + between(0, 200 * kMillisecond), [this, ref] { cancel(ref); });
    }
    if (hang_for == 0) return chosen;
    for (const auto& m : machines) {
        set_hung(m, true);
        schedule_at(now_ + hang_for, [this, m] { set_hung(m, false); });
    }
    return chosen;
}

void Simulator::user_call(const std::string& method, const std::string& path, const Json& body,
                          std::function<void(ApiResponse)> done, int target) {
    std::vector<int> up;
    for (int i = 0; i < node_count(); ++i)
        if (node(i)) up.push_back(i);
    auto over = std::make_shared<bool>(false);
    auto finish = [over, done = std::move(done)](const ApiResponse& r) {
        if (!std::exchange(*over, true)) done(r);
    };
    schedule_at(now_ + 5 * kSecond, [finish] { finish({0, Json(), 0}); });
    if (up.empty()) return;
    if (target < 0)
        target = preferred_node >= 0 && node(preferred_node) ? preferred_node : up[random() % up.size()];
    if (is_link_cut("users", "loom-" + std::to_string(target))) return;
    const std::string bytes = wire::encode(body);
    schedule_at(now_ + delay(), [this, target, method, path, bytes, finish] {
        hand(target, [this, target, method, path, bytes, finish] {
            if (!node(target)) return;
            node(target)->handle({method, path, bytes, false}, [this, target, finish](const ApiResponse& r) {
                answered(target, r);
                schedule_at(now_ + delay(), [this, target, finish, r] {
                    if (node(target)) finish(r);
                });
            });
        });
    });
}

void Simulator::user_ask(RequestKind what, const std::string& ref, const Json& body,
                         std::function<void(const ApiResponse&)> done, int target) {
    const auto user = users_.find(ref);
    const bool right = user != users_.end() && wire::parse_job(body).spec;
    const std::string path = "/v1/jobs" + (what == RequestKind::Submission     ? ""
                                           : what == RequestKind::Cancellation ? "/" + ref + "/abort"
                                                                               : "/" + ref);
    user_call(
        what == RequestKind::State ? "GET" : "POST", path, body,
        [this, what, ref, right, begun = looks_.begin_request(), sent = now_,
         done = std::move(done)](const ApiResponse& r) {
            if (r.status == 0) return done(r);
            ActualState truth;
            if (auto u = users_.find(ref); u != users_.end())
                truth = {true, cancel_wanted(ref),
                         static_cast<int>(u->second.done.size()) >= u->second.info.spec.tasks};
            const std::string stage = wire::text(r.body, "stage").value_or("");
            for (const auto& line : looks_.check_answer(ref, {what, begun, r.status, stage, right}, truth)) {
                record_event("BROKEN " + line);
                violations.push_back(line);
            }
            if (truth.submitted && (r.status == 200 || r.status == 201)) hear(ref, sent, r.body);
            done(r);
        },
        target);
}

void Simulator::try_submit(const std::string& ref) {
    user_ask(RequestKind::Submission, ref, wire::job_value(users_[ref].info.spec),
             [this, ref](const ApiResponse& r) {
                 if (r.status == 200 || r.status == 201) {
                     // Asked again at any later time, it is answered with its state.
                     repeat([this, ref] { try_submit(ref); });
                     return poll(ref);
                 }
                 if (r.status == 400 || r.status == 422) return;
                 schedule_at(now_ + kSecond, [this, ref] { try_submit(ref); });
             });
}

void Simulator::try_cancel(const std::string& ref) {
    user_ask(RequestKind::Cancellation, ref, Json::object(), [this, ref](const ApiResponse& r) {
        if (r.status == 200) return repeat([this, ref] { try_cancel(ref); });
        schedule_at(now_ + kSecond, [this, ref] { try_cancel(ref); });
    });
}

void Simulator::poll(const std::string& ref) {
    if (users_[ref].polling) return;
    users_[ref].polling = true;
    const Micros pause =
        (min_poll_interval + static_cast<Micros>(random() % 2000) * min_poll_interval / 1000) /
        poll_frequency_factor;
    schedule_at(now_ + pause, [this, ref] {
        users_[ref].polling = false;
        user_ask(RequestKind::State, ref, Json::object(), [this, ref](const ApiResponse& r) {
            if (r.status == 200) {
                User& u = users_[ref];
                u.unanswered = std::max(u.unanswered, unanswered(u));
                u.answered = now_;
            }
            poll(ref);
        });
    });
}

void Simulator::query_all_nodes(const std::string& ref) {
    const JobSpec& spec = users_.at(ref).info.spec;
    // Another job under the same name, which by itself may be refused.
    JobSpec other = spec;
    other.tasks = spec.tasks + 1;
    other.image = other.job_class = std::string(250, 'x');
    for (const Micros later : {1, 3, 10, 30, 100})
        for (int i = 0; i < node_count(); ++i)
            schedule_at(now_ + later * kMillisecond, [this, ref, later, i, spec, other] {
                if (!node(i)) return;
                ask_about(ref, i);
                if (later == 3 || later == 30) submit_again(ref, wire::job_value(spec), i);
                if (later == 10) submit_again(ref, wire::job_value(other), i);
                // One that nobody wanted can only be repeated once the job is over.
                const bool over = reported_stage(ref) == "done" || reported_stage(ref) == "cancelled";
                if (later == 10 && (over || cancel_wanted(ref)))
                    user_ask(
                        RequestKind::Cancellation, ref, Json::object(), [](const auto&) {}, i);
            });
}

void Simulator::query_and_resubmit(const JobSpec& spec, int target) {
    submit_again(spec.ref, wire::job_value(spec), target);
    ask_about(spec.ref, target);
}

void Simulator::ask_about(const std::string& ref, int target) {
    user_ask(
        RequestKind::State, ref, Json::object(), [](const auto&) {}, target);
}

void Simulator::submit_again(const std::string& ref, const Json& body, int target) {
    user_ask(
        RequestKind::Submission, ref, body, [](const auto&) {}, target);
}

void Simulator::submit_invalid_job(const Json& body, int target) {
    if (target < 0)
        for (int i = 1; i < node_count(); ++i) submit_invalid_job(body, i);
    target = std::max(target, 0);
    const std::string ref = wire::text(body, "ref").value_or("");
    user_ask(
        RequestKind::Submission, ref, body,
        [this, body, target](const ApiResponse& r) {
            if (r.status != 400 && r.status != 422)
                schedule_at(now_ + kSecond, [this, body, target] { submit_invalid_job(body, target); });
        },
        target);
    if (!ref.empty()) ask_about(ref, target);
}

void Simulator::odd_request() {
    const int target = static_cast<int>(random() % nodes_.size());
    if (!node(target)) return;
    const auto some = [this](const std::string& stage) -> const JobSpec* {
        std::vector<const JobSpec*> all;
        for (const auto& [ref, u] : users_)
            if (u.told == stage) all.push_back(&u.info.spec);
        return all.empty() ? nullptr : all[random() % all.size()];
    };
    JobSpec fresh = make_job(900'000 + ++odd_jobs_, JobKind::Array, 1);
    Json body = wire::job_value(fresh);
    switch (random() % 5) {
        case 0:
            if (const JobSpec* s = some("accepted")) {
                body = wire::job_value(*s);
                if (random() % 2) body.erase(body.begin());  // by name, so not its ref
                submit_again(s->ref, body, target);
            }
            break;
        case 1:
            if (const JobSpec* s = some("done"))
                user_ask(
                    RequestKind::Cancellation, s->ref, Json::object(), [](const auto&) {}, target);
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
            ask_about(fresh.ref, target);
            break;
    }
}

void Simulator::hear(const std::string& ref, Micros sent, const Json& body) {
    User& u = users_[ref];
    const std::string stage = wire::text(body, "stage").value_or("");
    if (const Micros told = cancel_told(ref);
        stage != "cancelled" && stage != "done" && told > 0 && sent > told + settings.cancel)
        breach("orphaned", ref + " is still called " + stage);
    const std::string next = stage == "done" || stage == "cancelled" ? stage : "accepted";
    // An answer that was overtaken by a newer one tells nothing.
    if (u.told == next || u.told == "done" || u.told == "cancelled") return;
    record_event("user is told: " + ref + " is " + next);
    if (u.told.empty()) u.accepted_at = now_;
    if (next == "cancelled") u.cancelled_at = now_;
    const bool accepted = u.told.empty() && next == "accepted";
    u.told = next;
    if (!query_after_changes) return;
    query_all_nodes(ref);
    if (accepted && !u.wants_cancel && drawn(0.1)) cancel(ref);
}

Micros Simulator::unanswered(const User& u) const {
    return quiesced_since_ < 0 ? 0 : now_ - std::max({quiesced_since_, u.answered, u.accepted_at});
}

void Simulator::mark_faults_over() {
    if (quiesced_since_ < 0) schedule_at(now_, [this] { watch_waiting(); });
    quiesced_since_ = now_;
}

ClusterSnapshot Simulator::sight() {
    ClusterSnapshot s;
    for (const auto& t : settings.teams) s.remaining_limits[t.name] = t.limit;
    std::map<std::pair<std::string, int>, std::string> held;  // tasks on machines, by their zones
    for (const auto& [name, r] : workers_) {
        if (!r.worker) continue;
        FreeCapacity room{r.worker->type().name, r.worker->zone(), r.worker->spot(), r.worker->type().size};
        for (const auto& [ref, task] : r.worker->held()) {
            const JobSpec& spec = users_.at(ref).info.spec;
            room.free -= spec.request;
            s.remaining_limits[spec.team] -= spec.request;
            held[{ref, task}] = room.zone;
        }
        bool reached = !r.hung && !r.deaf && !r.mute && !r.worker->faulty && !r.worker->notice;
        for (int i = 0; reached && !(cuts_.empty() && one_way_.empty()) && i < node_count(); ++i)
            reached = !is_link_cut(name, "loom-" + std::to_string(i));
        if (reached) s.machines[name] = std::move(room);
    }
    for (const auto& [ref, u] : users_) {
        const JobSpec& spec = u.info.spec;
        if (u.told != "accepted" || u.finished >= 0 || u.info.broken || cancel_wanted(ref)) continue;
        if (std::any_of(spec.needs.begin(), spec.needs.end(),
                        [this](const auto& need) { return users_.at(need).finished < 0; }))
            continue;
        WaitingJob job{spec, spec.tasks - static_cast<int>(u.done.size()), {}, u.starts};
        for (auto it = held.lower_bound({ref, 0}); it != held.end() && it->first.first == ref; ++it) {
            ++job.running_by_zone[it->second];
            job.waiting_tasks -= !u.done.count(it->first.second);
        }
        const bool waits = spec.kind == JobKind::Gang ? job.running_by_zone.empty() : job.waiting_tasks > 0;
        if (waits) s.waiting_jobs[ref] = std::move(job);
    }
    return s;
}

void Simulator::watch_waiting() {
    schedule_at(now_ + kSecond, [this] { watch_waiting(); });
    starvation_checker_.observe(now_, sight());
}

std::vector<JobOutcome> Simulator::job_outcomes() const {
    std::vector<JobOutcome> out;
    for (const auto& [ref, u] : users_) {
        if (u.told.empty()) continue;
        const bool excluded = u.info.broken || u.told == "cancelled" || cancel_wanted(ref);
        const Micros fetch = std::max<Micros>(u.info.fetch, 0);
        out.push_back({u.info.spec, u.info.run + fetch, u.accepted_at, u.begun, u.all_started_at, u.finished,
                       excluded, std::max(u.unanswered, unanswered(u)), starvation_checker_.wait_of(ref)});
    }
    return out;
}

void Simulator::record_running_tasks() {
    running_before_.clear();
    for (const auto& [key, where] : on_) running_before_.insert(key);
}

std::vector<std::string> Simulator::job_refs() const {
    std::vector<std::string> out;
    for (const auto& [ref, u] : users_) out.push_back(ref);
    return out;
}

ApiResponse Simulator::request_raw(int i, const std::string& method, const std::string& path,
                                   const std::string& body) {
    auto result = std::make_shared<std::optional<ApiResponse>>();
    node(i)->handle({method, path, body, false}, [result](const ApiResponse& r) {
        if (!*result) *result = r;
    });
    for (int n = 0; n < 500 && !*result; ++n) run(10 * kMillisecond);
    return result->value_or(ApiResponse{0, Json(), 0});
}

ApiResponse Simulator::request(int i, const std::string& method, const std::string& path, const Json& body) {
    return request_raw(i, method, path, wire::encode(body));
}

std::string Simulator::reported_stage(const std::string& ref) const {
    auto it = users_.find(ref);
    return it == users_.end() ? "" : it->second.told;
}

int Simulator::running_tasks(const std::string& ref) const {
    int n = 0;
    for (const auto& [key, where] : on_)
        if (key.first == ref) n += static_cast<int>(where.size());
    return n;
}

std::set<std::string> Simulator::machines_running(const std::string& ref) const {
    std::set<std::string> names;
    for (const auto& [key, where] : on_)
        if (key.first == ref)
            for (const auto& [machine, attempt] : where) names.insert(machine);
    return names;
}

int Simulator::task_starts(const std::string& ref) const {
    auto it = users_.find(ref);
    return it == users_.end() ? 0 : it->second.starts;
}

int Simulator::completed_tasks(const std::string& ref) const {
    auto it = users_.find(ref);
    return it == users_.end() ? 0 : static_cast<int>(it->second.done.size());
}

// ---------------------------------------------------------------- the rules

void Simulator::record_event(const std::string& line) {
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f ", static_cast<double>(now_) / 1e6);
    event_history.push_back(time + line);
    spdlog::info("{}", event_history.back());
}

std::string Simulator::format_history(std::size_t last) const {
    std::string out;
    for (std::size_t i = event_history.size() > last ? event_history.size() - last : 0;
         i < event_history.size(); ++i)
        out += event_history[i] + "\n";
    return out;
}

bool Simulator::cancel_wanted(const std::string& ref) const {
    const User& u = users_.at(ref);
    return u.wants_cancel || std::any_of(u.info.spec.needs.begin(), u.info.spec.needs.end(),
                                         [this](const auto& need) { return cancel_wanted(need); });
}

Micros Simulator::cancel_told(const std::string& ref) const {
    const User& u = users_.at(ref);
    if (u.told == "cancelled") return u.cancelled_at;
    for (const auto& need : u.info.spec.needs)
        if (const Micros told = cancel_told(need)) return told;
    return 0;
}

void Simulator::breach(const std::string& rule, const std::string& what) {
    record_event("BROKEN " + rule + ": " + what);
    violations.push_back(rule + ": " + what);
}

const JobInfo* Simulator::job(const std::string& ref) {
    auto it = users_.find(ref);
    return it == users_.end() ? nullptr : &it->second.info;
}

void Simulator::on_machine(const std::string& machine, const std::string& ref, int task,
                           std::int64_t attempt) {
    User& u = users_.at(ref);
    const JobSpec& s = u.info.spec;
    ++u.starts;
    record_event(ref + "/" + std::to_string(task) + " attempt " + std::to_string(attempt) + " starts on " +
                 machine);
    for (const auto& need : s.needs)
        if (static_cast<int>(users_.at(need).done.size()) < users_.at(need).info.spec.tasks)
            breach("too_early", ref + " starts before " + need + " is done");
    auto& where = on_[{ref, task}];
    if (!where.empty())
        breach("ran_twice", ref + "/" + std::to_string(task) + " is on " + where.begin()->first);
    where[machine] = attempt;
    if (u.started.insert(task).second && u.accepted_at > 0)
        waits_.emplace_back(s.job_class, now_ - u.accepted_at);
    if (auto left = left_.extract({ref, task})) gaps_.emplace_back(s.job_class, now_ - left.mapped());
    if (u.begun < 0) u.begun = now_;
    if (u.all_started_at < 0 && static_cast<int>(u.started.size()) == s.tasks) u.all_started_at = now_;
    started_again_ += running_before_.count({ref, task});
    if (u.told == "cancelled" && now_ > u.cancelled_at + settings.cancel)
        breach("ran_cancelled", ref + " starts on " + machine);
    const Resources used = used_[s.team] += s.request;
    auto& zones = u.zones;
    ++zones[worker(machine)->zone()];
    for (const auto& t : settings.teams)
        if (t.name == s.team && (used.cores > t.limit.cores || used.gpus > t.limit.gpus))
            breach("quota", fmt::format("{} uses {} and {} cards", s.team, used.cores, used.gpus));
    const Worker& w = *worker(machine);
    const bool type_ok =
        !s.types || std::find(s.types->begin(), s.types->end(), w.type().name) != s.types->end();
    if (!type_ok || (s.zone && *s.zone != w.zone()) || (w.spot() && !s.spot) ||
        (s.one_zone && zones.size() > 1) || (s.spread && zones[w.zone()] > (s.tasks + 1) / 2))
        breach("wrong_place", ref + " on " + machine);
}

void Simulator::off_machine(const std::string& machine, const std::string& ref, int task,
                            std::int64_t attempt) {
    record_event(ref + "/" + std::to_string(task) + " attempt " + std::to_string(attempt) + " leaves " +
                 machine);
    auto it = on_.find({ref, task});
    if (it == on_.end() || it->second.erase(machine) == 0) return;
    User& u = users_.at(ref);
    used_[u.info.spec.team] -= u.info.spec.request;
    auto zone = u.zones.find(cloud_zone(machine));
    if (zone != u.zones.end() && --zone->second == 0) u.zones.erase(zone);
    if (it->second.empty()) on_.erase(it);
    if (u.info.spec.kind == JobKind::Service && !on_.count({ref, task})) left_[{ref, task}] = now_;
}

void Simulator::completed(const std::string& ref, int task, std::int64_t attempt) {
    User& u = users_.at(ref);
    u.done.insert(task);
    if (u.info.spec.kind == JobKind::Gang) {
        finished_gangs_.insert({ref, attempt});
        for (int i = 0; i < u.info.spec.tasks; ++i) u.done.insert(i);
    }
    if (u.finished >= 0 || static_cast<int>(u.done.size()) < u.info.spec.tasks) return;
    u.finished = now_;
    if (query_after_changes && !u.told.empty()) query_all_nodes(ref);
    if (!u.wants_cancel && drawn(cancel_on_completion_rate))
        schedule_at(now_ + between(0, 100 * kMillisecond), [this, ref] { cancel(ref); });
}

bool Simulator::gang_complete(const std::string& ref, std::int64_t attempt) {
    const int tasks = users_.at(ref).info.spec.tasks;
    for (int i = 0; i < tasks; ++i) {
        auto it = on_.find({ref, i});
        if (it == on_.end() || it->second.begin()->second != attempt) return false;
    }
    return true;
}

bool Simulator::gang_whole(const std::string& ref, std::int64_t attempt) {
    return finished_gangs_.count({ref, attempt}) || gang_complete(ref, attempt);
}

}  // namespace cottonway::simulation
