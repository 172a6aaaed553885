#pragma once
// Values that exceed the state service's size limit are stored in chunks: texts under keys of their own, and
// a head under the value's key that references them by name. A chunk is valid only while a head references
// it. A head is committed on condition that its chunks still have the revisions at which they were written,
// so it never references a missing chunk. Chunks that no head references are deleted after a while.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/protocol.hpp"

namespace cottonway::chunks {

/// Returns an upper bound of the size that the service counts for a value: the size of its JSON text with a
/// space after every comma and colon.
std::size_t stored_size(const Json& value);

struct Split {
    Json head;
    std::vector<std::string> texts;
};
/// Splits a value into a head and chunks of at most `limit` bytes. Small fields stay in the head, so that a
/// poll for a job's state is answered without reading the chunks.
Split split(const Json& value, const std::string& name, std::size_t limit);
/// Returns the common name and the number of the chunks that the value references, if it is a head.
std::optional<std::pair<std::string, std::size_t>> chunk_reference(const Json& value);
/// Restores the value from its head and its chunks; returns nothing if the texts do not form a JSON object.
std::optional<Json> join(const Json& head, const std::vector<std::string>& texts);

std::string key(const std::string& name, std::size_t index);
/// Returns the value that is stored under a chunk's key; `record_key` is the key of the head.
Json chunk_record(const std::string& record_key, const std::string& text);

/// The chunks and the references to them that the change feed has delivered.
class ChunkStore {
  public:
    /// Applies a change of a chunk's key; null: the key was deleted.
    void apply(const std::string& key, const Json* value, Micros now);
    /// Returns the whole value of a record, or nothing while chunks of it are missing.
    std::optional<Json> assemble(const std::string& key, const Json& stored);
    /// Drops the record's reference: the record was deleted, or its value is not stored in chunks any more.
    void clear_reference(const std::string& key) { referenced_names_.erase(key); }
    struct OrphanedChunk {
        std::string key;
        std::string name;
        std::string record_key;  // of the record whose value the chunk belongs to
    };
    /// Returns the chunks that have existed for a minute and that no head references.
    std::vector<OrphanedChunk> orphaned_chunks(Micros now) const;
    bool is_referenced(const std::string& name, const std::string& record_key) const {
        auto head = referenced_names_.find(record_key);
        return head != referenced_names_.end() && head->second == name;
    }
    std::size_t size() const { return chunk_sets_.size(); }

  private:
    struct ChunkSet {
        std::string record_key;
        std::map<std::size_t, std::string> texts;
        Micros first_seen = 0;
    };
    std::map<std::string, ChunkSet> chunk_sets_;           // by name
    std::map<std::string, std::string> referenced_names_;  // record's key -> name of its chunks
};

}  // namespace cottonway::chunks
