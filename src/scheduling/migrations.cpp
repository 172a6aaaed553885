#include "scheduling/migrations.hpp"

#include <algorithm>
#include <cstdlib>

namespace cottonway::scheduling {

namespace {

constexpr std::uint64_t kVersion = 1;
constexpr std::int64_t kMinuteMs = 60'000;

// An entry of a move: [job, task, attempt, from, to, reason, for_job, since]; of a gathering: [job, machine,
// tasks, since, there].
Json entry(const PlannedMove& p) {
    return {p.move.job,     p.move.task,    p.attempt,
            p.move.from,    p.move.to,      static_cast<int>(p.move.reason),
            p.move.for_job, p.planned_at_ms};
}

Json entry(const PlannedReservation& p) {
    return {p.reservation.job, p.reservation.machine, p.reservation.tasks, p.planned_at_ms,
            p.tasks_when_planned};
}

bool texts(const Json& v, std::initializer_list<std::size_t> at) {
    return std::all_of(at.begin(), at.end(), [&](std::size_t i) { return v[i].is_string(); });
}

bool counts(const Json& v, std::initializer_list<std::size_t> at) {
    return std::all_of(at.begin(), at.end(), [&](std::size_t i) {
        return v[i].is_number_integer() && v[i].get<std::int64_t>() >= 0;
    });
}

std::optional<PlannedMove> parse_move(const Json& v) {
    if (!v.is_array() || v.size() < 8 || !texts(v, {0, 3, 4, 6}) || !counts(v, {1, 2, 5, 7}) ||
        v[5].get<int>() > static_cast<int>(MoveReason::MakeRoom))
        return std::nullopt;
    return PlannedMove{{v[0], v[1], v[3], v[4], static_cast<MoveReason>(v[5].get<int>()), v[6]}, v[2], v[7]};
}

std::optional<PlannedReservation> parse_gather(const Json& v) {
    if (!v.is_array() || v.size() < 5 || !texts(v, {0, 1}) || !counts(v, {2, 3, 4})) return std::nullopt;
    return PlannedReservation{{v[0], v[1], v[2]}, v[3], v[4]};
}

bool waits(const JobState& job) {
    return job.known && !job.cancelled && job.waiting_tasks > 0;
}

// Whether the attempt that a move is to end is still on its machine; stopping and in doubt included.
bool at_its_place(const PlannedMove& p, const TaskState& task) {
    return task.machine == p.move.from && task.attempt == p.attempt;
}

}  // namespace

MigrationPlan::Durable MigrationPlan::all() const {
    Durable d;
    for (const PlannedMove& p : moves_) d.moves.emplace(p.move.job, p.move.task);
    for (const PlannedReservation& p : reservations_)
        d.reservations.emplace(p.reservation.job, p.reservation.machine);
    return d;
}

Json MigrationPlan::to_value() const {
    Json moves = Json::array(), gathers = Json::array();
    for (const PlannedMove& p : moves_) moves.push_back(entry(p));
    for (const PlannedReservation& p : reservations_) gathers.push_back(entry(p));
    return {{"v", kVersion}, {"m", std::move(moves)}, {"g", std::move(gathers)}};
}

bool MigrationPlan::take_in(const Json& value) {
    if (wire::count(value, "v") != kVersion) return false;
    const Json* moves = wire::find(value, "m");
    const Json* gathers = wire::find(value, "g");
    if (!moves || !moves->is_array() || !gathers || !gathers->is_array()) return false;
    for (const Json& v : *moves) {
        const auto move = parse_move(v);
        if (!move) return false;
        moves_.push_back(*move);
    }
    for (const Json& v : *gathers) {
        const auto gather = parse_gather(v);
        if (!gather) return false;
        reservations_.push_back(*gather);
    }
    const Durable d = all();  // names nothing twice
    return d.moves.size() == moves_.size() && d.reservations.size() == reservations_.size();
}

bool MigrationPlan::restore(const Json& value) {
    *this = MigrationPlan();
    if (!take_in(value)) {
        *this = MigrationPlan();
        changed_ = true;
        return false;
    }
    stored_ = all();
    for (const PlannedMove& p : moves_) begun_ms_.push_back(p.planned_at_ms);
    keep();
    return true;
}

bool MigrationPlan::has(const Reservation& gather) const {
    return std::any_of(reservations_.begin(), reservations_.end(), [&](const PlannedReservation& p) {
        return p.reservation.job == gather.job && p.reservation.machine == gather.machine;
    });
}

bool MigrationPlan::gathers_for(const std::string& job) const {
    return std::any_of(reservations_.begin(), reservations_.end(),
                       [&](const PlannedReservation& p) { return p.reservation.job == job; });
}

bool MigrationPlan::may_begin(const Move& move, const ShardQuery& knows) const {
    const TaskState task = knows.task(move.job, move.task);
    if (!task.known || task.cancelled || task.stopping || task.machine != move.from) return false;
    const JobState job = knows.job(move.job);
    const bool service = job.is_service;
    if (service && job.waiting_tasks > 0) return false;
    return std::none_of(moves_.begin(), moves_.end(), [&](const PlannedMove& p) {
        return p.move.job == move.job && (service || p.move.task == move.task);
    });
}

std::size_t MigrationPlan::add(const std::vector<Move>& moves, const std::vector<Reservation>& gathers,
                               std::int64_t now_ms, const policy::Budgets& budgets, const ShardQuery& knows) {
    std::erase_if(begun_ms_, [&](std::int64_t at) { return at <= now_ms - kMinuteMs; });
    // What belongs together: a move by itself, or the room for a job and all that leaves it.
    struct Group {
        std::string job;  // that room is for
        std::vector<Move> moves;
        std::vector<Reservation> gathers;
    };
    std::vector<Group> groups;
    auto group = [&](const std::string& job) -> Group& {
        auto it = std::find_if(groups.begin(), groups.end(), [&](const Group& g) { return g.job == job; });
        return job.empty() || it == groups.end() ? groups.emplace_back(Group{job, {}, {}}) : *it;
    };
    for (const Reservation& g : gathers)
        if (!has(g)) group(g.job).gathers.push_back(g);
    for (const Move& m : moves) group(m.reason == MoveReason::MakeRoom ? m.for_job : "").moves.push_back(m);

    std::size_t added = 0;
    for (const Group& g : groups) {
        const std::size_t moves_before = moves_.size(), gathers_before = reservations_.size();
        bool whole =
            begun_ms_.size() + g.moves.size() <=
            static_cast<std::size_t>(std::max(0, g.moves.empty() ? 1'000'000 : budgets.moves_per_minute));
        for (const Move& m : g.moves) {
            if (!(whole = whole && may_begin(m, knows))) break;
            moves_.push_back({m, knows.task(m.job, m.task).attempt, now_ms});
        }
        for (const Reservation& room : g.gathers) {
            if (!(whole = whole && !has(room))) break;
            reservations_.push_back({room, now_ms, knows.tasks_on(room.job, room.machine)});
        }
        if (!whole || to_value().dump().size() > kMaxValueBytes) {
            moves_.resize(moves_before);
            reservations_.resize(gathers_before);
            continue;
        }
        begun_ms_.insert(begun_ms_.end(), g.moves.size(), now_ms);
        added += g.moves.size() + g.gathers.size();
    }
    changed_ = changed_ || added > 0;
    return added;
}

bool MigrationPlan::ended(const PlannedMove& p, const ShardQuery& knows) const {
    const TaskState task = knows.task(p.move.job, p.move.task);
    if (!task.known || task.cancelled) return true;
    if (!at_its_place(p, task)) return !task.machine.empty();  // it has started again
    if (task.stopping) return false;
    // Nothing has been stopped for it yet: it is taken back once nobody needs it any more.
    if (p.move.reason == MoveReason::Balance) return p.move.to.empty() || !knows.machine_usable(p.move.to);
    return !waits(knows.job(p.move.for_job)) || !gathers_for(p.move.for_job);
}

bool MigrationPlan::ended(const PlannedReservation& p, const ShardQuery& knows) {
    return !waits(knows.job(p.reservation.job)) || !knows.machine_usable(p.reservation.machine) ||
           knows.tasks_on(p.reservation.job, p.reservation.machine) >=
               p.tasks_when_planned + p.reservation.tasks;
}

void MigrationPlan::cancel_move(const Move& move) {
    std::erase_if(moves_, [&](const PlannedMove& p) {
        if (p.move.job != move.job || p.move.task != move.task) return false;
        forget(p);
        return true;
    });
}

void MigrationPlan::forget(const PlannedMove& p) {
    const Task task{p.move.job, p.move.task};
    stored_.moves.erase(task);
    if (writing_) writing_->moves.erase(task);
    changed_ = true;
}

void MigrationPlan::forget(const PlannedReservation& p) {
    const Room room{p.reservation.job, p.reservation.machine};
    stored_.reservations.erase(room);
    if (writing_) writing_->reservations.erase(room);
    changed_ = true;
}

MigrationPlan::Actions MigrationPlan::advance(const ShardQuery& knows, std::int64_t now_ms,
                                              std::int64_t give_up_ms) {
    auto drop_ended = [&](auto& planned) {
        std::erase_if(planned, [&](const auto& p) {
            // By either sign: a time of day may have been put right since.
            if (std::abs(now_ms - p.planned_at_ms) < give_up_ms && !ended(p, knows)) return false;
            forget(p);
            return true;
        });
    };
    drop_ended(reservations_);  // first: moves look at them
    drop_ended(moves_);

    Actions doing;
    for (PlannedMove& p : moves_) {
        if (!p.move.to.empty() && !knows.machine_usable(p.move.to)) {
            p.move.to.clear();
            changed_ = true;
        }
        const TaskState task = knows.task(p.move.job, p.move.task);
        if (at_its_place(p, task) && !task.stopping && stored_move(p.move.job, p.move.task))
            doing.tasks_to_stop.push_back(p.move);
    }
    keep(&knows);
    doing.needs_write = changed_ && !writing_;
    return doing;
}

void MigrationPlan::begin_write() {
    writing_ = all();
    changed_ = false;
}

void MigrationPlan::finish_write(bool ok) {
    if (!writing_) return;
    if (ok) {
        stored_ = std::move(*writing_);
    } else {
        // Either value may stand there now: what is in both is durable.
        std::erase_if(stored_.moves, [&](const Task& t) { return !writing_->moves.count(t); });
        std::erase_if(stored_.reservations, [&](const Room& r) { return !writing_->reservations.count(r); });
        changed_ = true;
    }
    writing_.reset();
    keep();
}

void MigrationPlan::keep(const ShardQuery* knows) {
    reserved_by_machine_.clear();
    for (const PlannedReservation& p : reservations_) {
        Reservation left = p.reservation;
        if (knows) left.tasks -= std::max(0, knows->tasks_on(left.job, left.machine) - p.tasks_when_planned);
        if (stored_.reservations.count({left.job, left.machine}))
            reserved_by_machine_[left.machine].push_back(left);
    }
    for (const PlannedMove& p : moves_)
        if (!p.move.to.empty() && stored_.moves.count({p.move.job, p.move.task}))
            reserved_by_machine_[p.move.to].push_back({p.move.job, p.move.to, 1});
}

const PlannedMove* MigrationPlan::stored_move(const std::string& job, int task) const {
    if (!stored_.moves.count({job, task})) return nullptr;
    auto it = std::find_if(moves_.begin(), moves_.end(),
                           [&](const PlannedMove& p) { return p.move.job == job && p.move.task == task; });
    return it == moves_.end() ? nullptr : &*it;
}

std::string MigrationPlan::destination(const std::string& job, int task) const {
    const PlannedMove* p = stored_move(job, task);
    return p ? p->move.to : "";
}

}  // namespace cottonway::scheduling
