#include "kvstore/chunks.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "kvstore/records.hpp"

namespace cottonway::chunks {

namespace {
constexpr std::size_t kMaxInlineTextBytes = 64;   // longer texts are moved from the head to chunks
constexpr std::size_t kChunkOverheadBytes = 120;  // size of a chunk's record without its text
constexpr Micros kMinOrphanAge = 60 * kSecond;

std::string serialize(const Json& value) {
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}
}  // namespace

std::size_t stored_size(const Json& value) {
    const std::string text = serialize(value);
    return text.size() + static_cast<std::size_t>(std::count_if(text.begin(), text.end(),
                                                                [](char c) { return c == ',' || c == ':'; }));
}

Split split(const Json& value, const std::string& name, std::size_t limit) {
    Split result;
    result.head = Json::object();
    Json chunked_fields = Json::object();
    for (const auto& [key, field] : value.items()) {
        const bool is_small =
            field.is_number() || field.is_boolean() ||
            (field.is_string() && field.get_ref<const std::string&>().size() <= kMaxInlineTextBytes);
        (is_small ? result.head : chunked_fields)[key] = field;
    }
    // Serialized as ASCII JSON, so that each character takes at most two bytes once the chunk is encoded.
    const std::string text = chunked_fields.dump(-1, ' ', true, Json::error_handler_t::replace);
    std::string chunk;
    std::size_t chunk_bytes = kChunkOverheadBytes;
    for (const char c : text) {
        const std::size_t encoded_size = c == '"' || c == '\\' || c == ',' || c == ':' ? 2 : 1;
        if (chunk_bytes + encoded_size > limit) {
            result.texts.push_back(std::exchange(chunk, {}));
            chunk_bytes = kChunkOverheadBytes;
        }
        chunk_bytes += encoded_size;
        chunk += c;
    }
    result.texts.push_back(chunk);
    result.head["x"] = Json::array({name, result.texts.size()});
    return result;
}

std::optional<std::pair<std::string, std::size_t>> chunk_reference(const Json& value) {
    const Json* reference = wire::find(value, "x");
    if (!reference || !reference->is_array() || reference->size() != 2 || !(*reference)[0].is_string() ||
        !(*reference)[1].is_number_unsigned())
        return std::nullopt;
    return std::pair((*reference)[0].get<std::string>(), (*reference)[1].get<std::size_t>());
}

std::optional<Json> join(const Json& head, const std::vector<std::string>& texts) {
    std::string text;
    for (const auto& t : texts) text += t;
    Json value = Json::parse(text, nullptr, false);
    if (!value.is_object()) return std::nullopt;
    for (const auto& [key, field] : head.items())
        if (key != "x") value[key] = field;
    return value;
}

std::string key(const std::string& name, std::size_t index) {
    return keys::chunk + name + "/" + std::to_string(index);
}

Json chunk_record(const std::string& record_key, const std::string& text) {
    return {{"of", record_key}, {"t", text}};
}

void ChunkStore::apply(const std::string& key, const Json* value, Micros now) {
    const auto slash = key.rfind('/');
    if (slash == std::string::npos || slash <= keys::chunk.size()) return;
    const std::string name = key.substr(keys::chunk.size(), slash - keys::chunk.size());
    const auto index = static_cast<std::size_t>(std::strtoul(key.c_str() + slash + 1, nullptr, 10));
    if (!value) {
        auto it = chunk_sets_.find(name);
        if (it == chunk_sets_.end()) return;
        it->second.texts.erase(index);
        if (it->second.texts.empty()) chunk_sets_.erase(it);
        return;
    }
    ChunkSet& chunk_set = chunk_sets_[name];
    if (chunk_set.first_seen == 0) chunk_set.first_seen = now;
    chunk_set.record_key = wire::text(*value, "of").value_or("");
    chunk_set.texts[index] = wire::text(*value, "t").value_or("");
}

std::optional<Json> ChunkStore::assemble(const std::string& key, const Json& stored) {
    const auto reference = chunk_reference(stored);
    if (!reference) {
        clear_reference(key);
        return stored;
    }
    referenced_names_[key] = reference->first;
    auto it = chunk_sets_.find(reference->first);
    if (it == chunk_sets_.end() || it->second.texts.size() != reference->second) return std::nullopt;
    std::vector<std::string> texts;
    for (const auto& [i, t] : it->second.texts) texts.push_back(t);
    return join(stored, texts);
}

std::vector<ChunkStore::OrphanedChunk> ChunkStore::orphaned_chunks(Micros now) const {
    std::vector<OrphanedChunk> orphans;
    for (const auto& [name, chunk_set] : chunk_sets_) {
        if (now - chunk_set.first_seen < kMinOrphanAge || is_referenced(name, chunk_set.record_key)) continue;
        for (const auto& [index, text] : chunk_set.texts)
            orphans.push_back({key(name, index), name, chunk_set.record_key});
    }
    return orphans;
}

}  // namespace cottonway::chunks
