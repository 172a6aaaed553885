#pragma once
// The keys under which controllers store state in the state service, and the records of blocks and quotas.

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
// Unfinished jobs, once every controller reads format 3. The jobs under c/job/ are finished then, and no
// controller has to read them. This prefix sorts before c/job/, as does the key of the record that announces
// the separation (`history`).
inline const std::string active = "c/active/";
inline const std::string history = "c/history";
inline const std::string job_part = "c/part/";
inline const std::string format = "c/format/";
// Planned moves and reservations of a shard. Only the shard's holder reads it; the previous version ignores
// it.
inline const std::string plan = "c/plan/";
// The operators' policy (policy/policy.hpp); the previous version ignores it.
inline const std::string policy = "c/policy";
// Sorts before all other keys, so that a list returns the chunks before the records that reference them.
inline const std::string chunk = "c/0/";
}  // namespace keys

/// The state of a job in its record. Done and Cancelled are final.
enum class Stage : std::uint8_t { Queued, Done, Cancelled };

/// The prefix under which a job's record is stored. A job has at most one unfinished record at a time.
enum class RecordLocation : std::uint8_t {
    Job,     // c/job/REF: all records up to format 2; final records in every format
    Active,  // c/active/REF
};
inline std::string record_key(RecordLocation location, const std::string& ref) {
    return (location == RecordLocation::Active ? keys::active : keys::job) + ref;
}

/// Machines of one type and zone, all spot or all on-demand, that are leased together: they share one record,
/// so that one write changes all of them.
struct Block {
    struct Machine {
        std::string name;
        std::string address;
        /// Fencing token of this machine; 0: the record's revision once it is committed. It is stored apart
        /// from the record's revision, so that rewriting the record does not affect its other machines.
        Revision token = 0;
        bool retired = false;
        /// The next commit of this record assigns a higher token to this machine.
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
    /// Also reads a record of a single machine, the format of the previous version.
    static std::optional<Block> parse(const std::string& id, const Json& json, Revision mod_revision);
};

/// The part of each team's limit that a shard may use.
using QuotaAllocation = std::map<std::string, Resources>;
Json quota_to_json(const QuotaAllocation& quota);
QuotaAllocation parse_quota(const Json& json);

}  // namespace cottonway
