#pragma once
// What stands in the state service: keys, and the records of blocks and shares.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kvstore/store_client.hpp"
#include "protocol/protocol.hpp"

namespace cottonway {

namespace keys {
inline const std::string root = "c/";
inline const std::string leader = "c/leader";
inline const std::string machine_types = "c/types";
inline const std::string live_node = "c/live/";
inline const std::string shard = "c/domain/";
inline const std::string quota = "c/share/";
inline const std::string block = "c/block/";
inline const std::string job = "c/job/";
// Jobs that are not over, once every controller reads format 3; those under c/job/ are over then, and nobody
// has to read them. Before c/job/ in order, like the record that says so.
inline const std::string active = "c/active/";
inline const std::string history = "c/history";
inline const std::string job_part = "c/part/";
inline const std::string format = "c/format/";
// Moves and gathered room of a shard. Only its holder reads it; the version before ignores it.
inline const std::string plan = "c/plan/";
// The operators' policy (policy/policy.hpp); the version before ignores it.
inline const std::string policy = "c/policy";
// Before everything else in order, so that a list tells of the pieces before the records that name them.
inline const std::string chunk = "c/0/";
}  // namespace keys

/// What a job's record says of it. Done and cancelled are final.
enum class Stage : std::uint8_t { Queued, Done, Cancelled };

/// Under which of its two keys a job's record stands. A job has one record at a time that is not over.
enum class RecordLocation : std::uint8_t {
    Job,     // c/job/REF: every record up to format 2, and final ones for ever
    Active,  // c/active/REF
};
inline std::string record_key(RecordLocation place, const std::string& ref) {
    return (place == RecordLocation::Active ? keys::active : keys::job) + ref;
}

/// Machines of one type, zone and kind that are leased together: one record, one change for all of them.
struct Block {
    struct Machine {
        std::string name;
        std::string address;
        /// Token of this machine alone, 0: the record's own mark as soon as it is committed. Kept apart from
        /// the record's mark, so that rewriting the record does not disturb the machines it is not about.
        Revision token = 0;
        bool retired = false;
        /// Raised by the next commit of this record.
        bool raise_token = false;
    };
    std::string id;
    std::string shard;
    std::string type;
    std::string zone;
    bool spot = false;
    std::vector<Machine> machines;
    Revision mod_revision = 0;

    Machine* find(const std::string& name);
    const Machine* find(const std::string& name) const;
    Json to_json() const;
    /// Also reads the previous version's record of a single machine.
    static std::optional<Block> parse(const std::string& id, const Json& v, Revision mod_revision);
};

/// A shard's part of every team's limit.
using QuotaAllocation = std::map<std::string, Resources>;
Json quota_to_json(const QuotaAllocation& shares);
QuotaAllocation parse_quota(const Json& v);

}  // namespace cottonway
