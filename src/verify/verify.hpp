#pragma once
// Checks what stands in the state service: every record by itself, and all of them against one another. Takes
// the records in the order of their keys, one by one, and keeps of those that are over no more than a count,
// so that a store with millions of finished jobs is read in little memory. Changes nothing.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "kvstore/records.hpp"

namespace cottonway::recovery {

struct Finding {
    /// Damage: something is lost or in the way, and an operator has to look. Notice: the service sees to it,
    /// or it does no harm.
    enum class Severity { Notice, Damage };
    Severity severity = Severity::Damage;
    std::string key;
    std::string message;
};

class Verifier {
  public:
    explicit Verifier(const Settings& settings) : settings_(settings) {}

    void add_record(const std::string& key, const Json& value, Revision mod_revision);
    /// After the last record: what only all of them together tell. Damage first.
    std::vector<Finding> finish();
    /// Records by kind, and how many jobs are in which state.
    Json summary() const;

  private:
    struct KnownJob {
        std::string key;
        std::string shard;
        int tasks = 0;
        std::size_t part_tasks = 64;
        std::uint64_t next_attempt = 1;
        bool cancelled = false;
        std::map<std::size_t, std::string> bound;  // task -> machine
    };
    void damage(const std::string& key, std::string what);
    void notice(const std::string& key, std::string what);
    void take_job(const std::string& key, const std::string& ref, RecordLocation place, const Json& value);
    void take_part(const std::string& key, const Json& value);
    void take_bindings(KnownJob& job, const std::string& key, const Json& value, std::size_t first);
    void take_block(const std::string& key, const Json& value, Revision mod_revision);
    void take_piece(const std::string& key, const Json& value);
    std::optional<Json> whole(const std::string& key, const Json& value);

    const Settings& settings_;
    std::vector<Finding> findings_;
    std::map<std::string, std::size_t> kinds_;
    std::size_t done_ = 0, cancelled_ = 0;
    std::map<std::string, KnownJob> jobs_;                                 // that are not over
    std::map<std::string, std::pair<std::string, std::string>> machines_;  // block and shard
    std::map<std::string, std::string> shards_;                            // holder
    std::map<std::string, std::string> shard_of_block_;
    QuotaAllocation sums_;
    std::set<std::string> shared_;  // shards that have a share
    std::map<std::string, std::map<std::size_t, std::string>> chunks_;
    std::map<std::string, std::string> chunk_of_;
    std::set<std::string> named_pieces_;
    bool apart_ = false;
    std::map<std::string, std::uint64_t> reads_;
};

}  // namespace cottonway::recovery
