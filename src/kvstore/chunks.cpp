#include "kvstore/chunks.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "kvstore/records.hpp"

namespace cottonway::chunks {

namespace {
constexpr std::size_t kShort = 64;   // what stays in the head
constexpr std::size_t kFrame = 120;  // of a piece besides its text
constexpr Micros kLeftOver = 60 * kSecond;

std::string text_of(const Json& value) {
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}
}  // namespace

std::size_t stored_size(const Json& value) {
    const std::string text = text_of(value);
    return text.size() + static_cast<std::size_t>(std::count_if(text.begin(), text.end(),
                                                                [](char c) { return c == ',' || c == ':'; }));
}

Split split(const Json& value, const std::string& name, std::size_t limit) {
    Split out;
    out.head = Json::object();
    Json rest = Json::object();
    for (const auto& [key, v] : value.items()) {
        const bool small = v.is_number() || v.is_boolean() ||
                           (v.is_string() && v.get_ref<const std::string&>().size() <= kShort);
        (small ? out.head : rest)[key] = v;
    }
    // As JSON in ASCII, in which a character of the text takes two at the most.
    const std::string text = rest.dump(-1, ' ', true, Json::error_handler_t::replace);
    std::string chunk;
    std::size_t bytes = kFrame;
    for (const char c : text) {
        const std::size_t takes = c == '"' || c == '\\' || c == ',' || c == ':' ? 2 : 1;
        if (bytes + takes > limit) {
            out.texts.push_back(std::exchange(chunk, {}));
            bytes = kFrame;
        }
        bytes += takes;
        chunk += c;
    }
    out.texts.push_back(chunk);
    out.head["x"] = Json::array({name, out.texts.size()});
    return out;
}

std::optional<std::pair<std::string, std::size_t>> chunk_reference(const Json& value) {
    const Json* x = wire::find(value, "x");
    if (!x || !x->is_array() || x->size() != 2 || !(*x)[0].is_string() || !(*x)[1].is_number_unsigned())
        return std::nullopt;
    return std::pair((*x)[0].get<std::string>(), (*x)[1].get<std::size_t>());
}

std::optional<Json> join(const Json& head, const std::vector<std::string>& texts) {
    std::string text;
    for (const auto& t : texts) text += t;
    Json value = Json::parse(text, nullptr, false);
    if (!value.is_object()) return std::nullopt;
    for (const auto& [key, v] : head.items())
        if (key != "x") value[key] = v;
    return value;
}

std::string key(const std::string& name, std::size_t index) {
    return keys::chunk + name + "/" + std::to_string(index);
}

Json chunk_record(const std::string& of, const std::string& text) {
    return {{"of", of}, {"t", text}};
}

void ChunkStore::apply(const std::string& key, const Json* value, Micros now) {
    const auto slash = key.rfind('/');
    if (slash == std::string::npos || slash <= keys::chunk.size()) return;
    const std::string name = key.substr(keys::chunk.size(), slash - keys::chunk.size());
    const auto index = static_cast<std::size_t>(std::strtoul(key.c_str() + slash + 1, nullptr, 10));
    if (!value) {
        auto it = held_.find(name);
        if (it == held_.end()) return;
        it->second.texts.erase(index);
        if (it->second.texts.empty()) held_.erase(it);
        return;
    }
    ShardRecord& held = held_[name];
    if (held.since == 0) held.since = now;
    held.record_key = wire::text(*value, "of").value_or("");
    held.texts[index] = wire::text(*value, "t").value_or("");
}

std::optional<Json> ChunkStore::assemble(const std::string& key, const Json& stored) {
    const auto named = chunk_reference(stored);
    if (!named) {
        on_record_removed(key);
        return stored;
    }
    heads_[key] = named->first;
    auto it = held_.find(named->first);
    if (it == held_.end() || it->second.texts.size() != named->second) return std::nullopt;
    std::vector<std::string> texts;
    for (const auto& [i, t] : it->second.texts) texts.push_back(t);
    return join(stored, texts);
}

std::vector<ChunkStore::OrphanedChunk> ChunkStore::orphaned_chunks(Micros now) const {
    std::vector<OrphanedChunk> list;
    for (const auto& [name, held] : held_) {
        if (now - held.since < kLeftOver || is_referenced(name, held.record_key)) continue;
        for (const auto& [index, text] : held.texts)
            list.push_back({key(name, index), name, held.record_key});
    }
    return list;
}

}  // namespace cottonway::chunks
