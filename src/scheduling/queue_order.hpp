#pragma once
// The priority plan: the order in which waiting jobs are placed, what each batch tier is due of its team's
// limit, and when a large job that waits gets room gathered. Pure: a function of stored facts (tier, rank,
// admission, deadline, what runs), so that whoever holds the shard decides alike and no wait is forgotten.

#include <map>
#include <string>
#include <vector>

#include "scheduling/view.hpp"

namespace cottonway::scheduling {

/// A waiting job as the queue sees it.
struct Queued {
    std::size_t index = 0;  // the caller's; decides among equals, so it has to follow from stored facts
    std::string team;
    policy::Tier tier = policy::Tier::Batch;
    PriorityClass rank = PriorityClass::Normal;
    bool within_guarantee = false;
    bool late = false;  // misses its first aim whatever is done now
    std::int64_t due_ms = INT64_MAX;
    double weight = 0;        // work left by age: less goes first
    Micros age = 0;           // since it began to count
    bool begun = false;       // some task of it is on a machine or has ended well
    bool lacks_room = false;  // no machine had room for it lately: nothing of a limit is kept for it
    Resources waits;          // that its waiting tasks need in all
    Resources task;           // that its next start needs: one task, or a gang as a whole
};

/// What a team may use here and uses.
struct TeamUse {
    Resources limit;                         // the shard's part of it
    std::map<policy::Tier, Resources> used;  // by tier, in doubt and stopping included
};

struct Turn {
    std::size_t index = 0;
    /// Goes before its tier because it has waited for so long, with one start only; a later turn of the same
    /// job is for its further tasks.
    bool overdue = false;
    /// What its team may use in all with this job's next start; the rest of the limit is due to others.
    Milli most_cores = 0;
    Milli most_gpus = 0;
    bool operator==(const Turn&) const = default;
};

/// Everybody's turn, first to last. Live work is always first and has no cap but the limit. Within a team's
/// limit batch leaves room for live work that waits, then for the job that is overdue longest, then for what
/// a lower tier that waits is due. A tier none of whose tasks fits into the half of what live work leaves has
/// to wait until it is overdue. BestEffort work is due no part, as it starts only where nothing else wants
/// the room, until it is overdue.
std::vector<Turn> turns(const std::vector<Queued>& queue, const std::map<std::string, TeamUse>& teams,
                        const policy::PrioritySettings& priority);

/// Room for the largest waiting batch job that has not begun within `overdue_after`: the machines on which it
/// is there soonest if what runs ends by itself. A gang gets all of it or none. Nothing where there is room
/// now, or never would be.
std::vector<Gather> gather(const View& view, const policy::Policy& policy);

}  // namespace cottonway::scheduling
