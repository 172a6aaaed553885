#pragma once
// Values that are larger than the state service takes are stored in pieces: texts under keys of their own,
// and a head under the value's key that names them. Only what a head names counts, and a head is committed on
// the marks of its pieces, so it never names one that is not there. What no head names is dropped after a
// while.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/protocol.hpp"

namespace cottonway::chunks {

/// The size of a value as the service may count it: in JSON, with a blank after every comma and colon.
std::size_t stored_size(const Json& value);

struct Split {
    Json head;
    std::vector<std::string> texts;
};
/// The head keeps what is small, so that a look at it tells as much as one needs of a job that is only asked
/// after.
Split split(const Json& value, const std::string& name, std::size_t limit);
/// The name and the number of the pieces, if it is a head.
std::optional<std::pair<std::string, std::size_t>> chunk_reference(const Json& value);
std::optional<Json> join(const Json& head, const std::vector<std::string>& texts);

std::string key(const std::string& name, std::size_t index);
Json chunk_record(const std::string& of, const std::string& text);

/// The pieces that the news has told of.
class ChunkStore {
  public:
    void apply(const std::string& key, const Json* value, Micros now);
    /// The value that a key stands for; nothing while pieces of it are missing.
    std::optional<Json> assemble(const std::string& key, const Json& stored);
    /// The key stands for nothing, or for a value that is not in pieces.
    void on_record_removed(const std::string& key) { heads_.erase(key); }
    struct OrphanedChunk {
        std::string key;
        std::string name;
        std::string record_key;  // the key whose value it is a piece of
    };
    /// Pieces that no head has named for long.
    std::vector<OrphanedChunk> orphaned_chunks(Micros now) const;
    bool is_referenced(const std::string& name, const std::string& of) const {
        auto head = heads_.find(of);
        return head != heads_.end() && head->second == name;
    }
    std::size_t size() const { return held_.size(); }

  private:
    struct ShardRecord {
        std::string record_key;
        std::map<std::size_t, std::string> texts;
        Micros since = 0;
    };
    std::map<std::string, ShardRecord> held_;   // by name
    std::map<std::string, std::string> heads_;  // key -> name of the pieces that it is stored in
};

}  // namespace cottonway::chunks
