#pragma once
// Checks the records in the state service, each by itself and all of them against one another. Records are
// added one by one in the order of their keys, and finished jobs are only counted, so that a store with
// millions of finished jobs is checked in little memory. The checks change nothing in the store.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "kvstore/records.hpp"

namespace cottonway::recovery {

struct Finding {
    /// Damage: data is lost or blocks the service, and an operator has to act. Notice: the service repairs
    /// it, or it is harmless.
    enum class Severity { Notice, Damage };
    Severity severity = Severity::Damage;
    std::string key;
    std::string message;
};

class Verifier {
  public:
    explicit Verifier(const Settings& settings) : settings_(settings) {}

    /// Checks a record; to be called in the order of the keys.
    void add_record(const std::string& key, const Json& value, Revision mod_revision);
    /// Checks the records against one another; to be called after the last one. Returns all findings, damage
    /// first.
    std::vector<Finding> finish();
    /// Returns the number of records by kind and of jobs by state.
    Json summary() const;

  private:
    /// What a live job's records say, as far as it is compared with other records.
    struct LiveJob {
        std::string key;
        std::string shard;
        int tasks = 0;
        std::size_t tasks_per_part = 64;
        std::uint64_t next_attempt = 1;
        bool cancelled = false;
        std::map<std::size_t, std::string> machine_of_task;
    };
    void add_damage(const std::string& key, std::string message);
    void add_notice(const std::string& key, std::string message);
    void check_job(const std::string& key, const std::string& ref, RecordLocation location,
                   const Json& value);
    void check_part(const std::string& key, const Json& value);
    void check_bindings(LiveJob& job, const std::string& key, const Json& value, std::size_t first_task);
    void check_block(const std::string& key, const Json& value, Revision mod_revision);
    void add_chunk(const std::string& key, const Json& value);
    /// Returns the record's value, joined from its chunks if it is stored in chunks; nullopt, with a finding,
    /// if chunks are missing.
    std::optional<Json> join_chunks(const std::string& key, const Json& value);

    const Settings& settings_;
    std::vector<Finding> findings_;
    std::map<std::string, std::size_t> record_counts_;
    std::size_t done_jobs_ = 0, cancelled_jobs_ = 0;
    std::map<std::string, LiveJob> live_jobs_;
    std::map<std::string, std::pair<std::string, std::string>> machine_locations_;  // machine -> block, shard
    std::map<std::string, std::string> shard_holders_;                              // shard -> holder
    std::map<std::string, std::string> shard_of_block_;
    QuotaAllocation share_totals_;
    std::set<std::string> shards_with_share_;
    std::map<std::string, std::map<std::size_t, std::string>> chunk_texts_;
    std::map<std::string, std::string> chunk_keys_;
    std::set<std::string> referenced_chunks_;
    bool history_separated_ = false;
    std::map<std::string, std::uint64_t> read_formats_;
};

}  // namespace cottonway::recovery
