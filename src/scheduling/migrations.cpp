#include "scheduling/migrations.hpp"

#include <algorithm>
#include <cstdlib>

namespace cottonway::scheduling {

namespace {

constexpr std::uint64_t kFormatVersion = 1;
constexpr std::int64_t kMinuteMs = 60'000;

// A move is stored as [job, task, attempt, from, to, reason, for_job, planned_at_ms], a reservation as [job,
// machine, tasks, planned_at_ms, tasks_when_planned].
Json to_json(const PlannedMove& planned) {
    return {planned.move.job,     planned.move.task,    planned.attempt,
            planned.move.from,    planned.move.to,      static_cast<int>(planned.move.reason),
            planned.move.for_job, planned.planned_at_ms};
}

Json to_json(const PlannedReservation& planned) {
    return {planned.reservation.job, planned.reservation.machine, planned.reservation.tasks,
            planned.planned_at_ms, planned.tasks_when_planned};
}

bool are_strings(const Json& array, std::initializer_list<std::size_t> indices) {
    return std::all_of(indices.begin(), indices.end(), [&](std::size_t i) { return array[i].is_string(); });
}

bool are_counts(const Json& array, std::initializer_list<std::size_t> indices) {
    return std::all_of(indices.begin(), indices.end(), [&](std::size_t i) {
        return array[i].is_number_integer() && array[i].get<std::int64_t>() >= 0;
    });
}

std::optional<PlannedMove> parse_move(const Json& array) {
    if (!array.is_array() || array.size() < 8 || !are_strings(array, {0, 3, 4, 6}) ||
        !are_counts(array, {1, 2, 5, 7}) || array[5].get<int>() > static_cast<int>(MoveReason::MakeRoom))
        return std::nullopt;
    return PlannedMove{
        {array[0], array[1], array[3], array[4], static_cast<MoveReason>(array[5].get<int>()), array[6]},
        array[2],
        array[7]};
}

std::optional<PlannedReservation> parse_reservation(const Json& array) {
    if (!array.is_array() || array.size() < 5 || !are_strings(array, {0, 1}) || !are_counts(array, {2, 3, 4}))
        return std::nullopt;
    return PlannedReservation{{array[0], array[1], array[2]}, array[3], array[4]};
}

bool is_waiting(const JobState& job) {
    return job.known && !job.cancelled && job.waiting_tasks > 0;
}

// Returns true if the attempt that the move is to stop is still on its machine, also while stopping or
// unconfirmed.
bool is_on_source(const PlannedMove& planned, const TaskState& task) {
    return task.machine == planned.move.from && task.attempt == planned.attempt;
}

}  // namespace

MigrationPlan::Entries MigrationPlan::all_entries() const {
    Entries entries;
    for (const PlannedMove& planned : moves_) entries.moves.emplace(planned.move.job, planned.move.task);
    for (const PlannedReservation& planned : reservations_)
        entries.reservations.emplace(planned.reservation.job, planned.reservation.machine);
    return entries;
}

Json MigrationPlan::to_value() const {
    Json moves = Json::array(), reservations = Json::array();
    for (const PlannedMove& planned : moves_) moves.push_back(to_json(planned));
    for (const PlannedReservation& planned : reservations_) reservations.push_back(to_json(planned));
    return {{"v", kFormatVersion}, {"m", std::move(moves)}, {"g", std::move(reservations)}};
}

bool MigrationPlan::parse(const Json& value) {
    if (wire::count(value, "v") != kFormatVersion) return false;
    const Json* moves = wire::find(value, "m");
    const Json* reservations = wire::find(value, "g");
    if (!moves || !moves->is_array() || !reservations || !reservations->is_array()) return false;
    for (const Json& array : *moves) {
        const auto move = parse_move(array);
        if (!move) return false;
        moves_.push_back(*move);
    }
    for (const Json& array : *reservations) {
        const auto reservation = parse_reservation(array);
        if (!reservation) return false;
        reservations_.push_back(*reservation);
    }
    const Entries entries = all_entries();  // a set each, so that a duplicate shows in the counts
    return entries.moves.size() == moves_.size() && entries.reservations.size() == reservations_.size();
}

bool MigrationPlan::restore(const Json& value) {
    *this = MigrationPlan();
    if (!parse(value)) {
        *this = MigrationPlan();
        changed_ = true;
        return false;
    }
    stored_ = all_entries();
    for (const PlannedMove& planned : moves_) recent_moves_ms_.push_back(planned.planned_at_ms);
    update_reserved_by_machine();
    return true;
}

bool MigrationPlan::contains(const Reservation& reservation) const {
    return std::any_of(reservations_.begin(), reservations_.end(), [&](const PlannedReservation& planned) {
        return planned.reservation.job == reservation.job &&
               planned.reservation.machine == reservation.machine;
    });
}

bool MigrationPlan::has_reservation_for(const std::string& job) const {
    return std::any_of(reservations_.begin(), reservations_.end(),
                       [&](const PlannedReservation& planned) { return planned.reservation.job == job; });
}

bool MigrationPlan::can_begin(const Move& move, const ShardQuery& shard) const {
    const TaskState task = shard.task(move.job, move.task);
    if (!task.known || task.cancelled || task.stopping || task.machine != move.from) return false;
    const JobState job = shard.job(move.job);
    const bool is_service = job.is_service;
    if (is_service && job.waiting_tasks > 0) return false;
    return std::none_of(moves_.begin(), moves_.end(), [&](const PlannedMove& planned) {
        return planned.move.job == move.job && (is_service || planned.move.task == move.task);
    });
}

std::size_t MigrationPlan::add(const std::vector<Move>& moves, const std::vector<Reservation>& reservations,
                               std::int64_t now_ms, const policy::Budgets& budgets, const ShardQuery& shard) {
    std::erase_if(recent_moves_ms_,
                  [&](std::int64_t planned_at_ms) { return planned_at_ms <= now_ms - kMinuteMs; });
    // Entries that are added together: one move for balance, or all reservations and moves for one job.
    struct Group {
        std::string job;  // the job that the reservations are for; empty for a move for balance
        std::vector<Move> moves;
        std::vector<Reservation> reservations;
    };
    std::vector<Group> groups;
    auto group_of = [&](const std::string& job) -> Group& {
        auto it =
            std::find_if(groups.begin(), groups.end(), [&](const Group& group) { return group.job == job; });
        return job.empty() || it == groups.end() ? groups.emplace_back(Group{job, {}, {}}) : *it;
    };
    for (const Reservation& reservation : reservations)
        if (!contains(reservation)) group_of(reservation.job).reservations.push_back(reservation);
    for (const Move& move : moves)
        group_of(move.reason == MoveReason::MakeRoom ? move.for_job : "").moves.push_back(move);

    std::size_t added = 0;
    for (const Group& group : groups) {
        const std::size_t moves_before = moves_.size(), reservations_before = reservations_.size();
        bool accepted =
            recent_moves_ms_.size() + group.moves.size() <=
            static_cast<std::size_t>(std::max(0, group.moves.empty() ? 1'000'000 : budgets.moves_per_minute));
        for (const Move& move : group.moves) {
            if (!(accepted = accepted && can_begin(move, shard))) break;
            moves_.push_back({move, shard.task(move.job, move.task).attempt, now_ms});
        }
        for (const Reservation& reservation : group.reservations) {
            if (!(accepted = accepted && !contains(reservation))) break;
            reservations_.push_back(
                {reservation, now_ms, shard.tasks_on(reservation.job, reservation.machine)});
        }
        if (!accepted || to_value().dump().size() > kMaxValueBytes) {
            moves_.resize(moves_before);
            reservations_.resize(reservations_before);
            continue;
        }
        recent_moves_ms_.insert(recent_moves_ms_.end(), group.moves.size(), now_ms);
        added += group.moves.size() + group.reservations.size();
    }
    changed_ = changed_ || added > 0;
    return added;
}

bool MigrationPlan::is_over(const PlannedMove& planned, const ShardQuery& shard) const {
    const TaskState task = shard.task(planned.move.job, planned.move.task);
    if (!task.known || task.cancelled) return true;
    if (!is_on_source(planned, task)) return !task.machine.empty();  // the task was started again
    if (task.stopping) return false;
    // The task was not stopped yet, so the move is cancelled as soon as it serves no purpose.
    if (planned.move.reason == MoveReason::Balance)
        return planned.move.to.empty() || !shard.is_machine_usable(planned.move.to);
    return !is_waiting(shard.job(planned.move.for_job)) || !has_reservation_for(planned.move.for_job);
}

bool MigrationPlan::is_over(const PlannedReservation& planned, const ShardQuery& shard) {
    return !is_waiting(shard.job(planned.reservation.job)) ||
           !shard.is_machine_usable(planned.reservation.machine) ||
           shard.tasks_on(planned.reservation.job, planned.reservation.machine) >=
               planned.tasks_when_planned + planned.reservation.tasks;
}

void MigrationPlan::cancel_move(const Move& move) {
    std::erase_if(moves_, [&](const PlannedMove& planned) {
        if (planned.move.job != move.job || planned.move.task != move.task) return false;
        drop_stored(planned);
        return true;
    });
}

void MigrationPlan::drop_stored(const PlannedMove& planned) {
    const TaskKey key{planned.move.job, planned.move.task};
    stored_.moves.erase(key);
    if (being_written_) being_written_->moves.erase(key);
    changed_ = true;
}

void MigrationPlan::drop_stored(const PlannedReservation& planned) {
    const ReservationKey key{planned.reservation.job, planned.reservation.machine};
    stored_.reservations.erase(key);
    if (being_written_) being_written_->reservations.erase(key);
    changed_ = true;
}

MigrationPlan::Actions MigrationPlan::advance(const ShardQuery& shard, std::int64_t now_ms,
                                              std::int64_t timeout_ms) {
    auto drop_finished = [&](auto& entries) {
        std::erase_if(entries, [&](const auto& planned) {
            // The difference may be negative, because the wall clock may have been set back since.
            if (std::abs(now_ms - planned.planned_at_ms) < timeout_ms && !is_over(planned, shard))
                return false;
            drop_stored(planned);
            return true;
        });
    };
    drop_finished(reservations_);  // before the moves, which depend on the reservations that are left
    drop_finished(moves_);

    Actions actions;
    for (PlannedMove& planned : moves_) {
        if (!planned.move.to.empty() && !shard.is_machine_usable(planned.move.to)) {
            planned.move.to.clear();
            changed_ = true;
        }
        const TaskState task = shard.task(planned.move.job, planned.move.task);
        if (is_on_source(planned, task) && !task.stopping && stored_move(planned.move.job, planned.move.task))
            actions.tasks_to_stop.push_back(planned.move);
    }
    update_reserved_by_machine(&shard);
    actions.needs_write = changed_ && !being_written_;
    return actions;
}

void MigrationPlan::begin_write() {
    being_written_ = all_entries();
    changed_ = false;
}

void MigrationPlan::finish_write(bool ok) {
    if (!being_written_) return;
    if (ok) {
        stored_ = std::move(*being_written_);
    } else {
        // Either the old or the new value may be stored, so only entries that are in both are certainly
        // stored.
        std::erase_if(stored_.moves, [&](const TaskKey& key) { return !being_written_->moves.count(key); });
        std::erase_if(stored_.reservations,
                      [&](const ReservationKey& key) { return !being_written_->reservations.count(key); });
        changed_ = true;
    }
    being_written_.reset();
    update_reserved_by_machine();
}

void MigrationPlan::update_reserved_by_machine(const ShardQuery* shard) {
    reserved_by_machine_.clear();
    for (const PlannedReservation& planned : reservations_) {
        Reservation unused = planned.reservation;
        if (shard)
            unused.tasks -=
                std::max(0, shard->tasks_on(unused.job, unused.machine) - planned.tasks_when_planned);
        if (stored_.reservations.count({unused.job, unused.machine}))
            reserved_by_machine_[unused.machine].push_back(unused);
    }
    for (const PlannedMove& planned : moves_)
        if (!planned.move.to.empty() && stored_.moves.count({planned.move.job, planned.move.task}))
            reserved_by_machine_[planned.move.to].push_back({planned.move.job, planned.move.to, 1});
}

const PlannedMove* MigrationPlan::stored_move(const std::string& job, int task) const {
    if (!stored_.moves.count({job, task})) return nullptr;
    auto it = std::find_if(moves_.begin(), moves_.end(), [&](const PlannedMove& planned) {
        return planned.move.job == job && planned.move.task == task;
    });
    return it == moves_.end() ? nullptr : &*it;
}

std::string MigrationPlan::destination(const std::string& job, int task) const {
    const PlannedMove* planned = stored_move(job, task);
    return planned ? planned->move.to : "";
}

}  // namespace cottonway::scheduling
