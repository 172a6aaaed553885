#pragma once
// Readers for TOML files that are checked completely: every error is one line with the key and the reason,
// and a key that the program does not read is an error.

#include <fmt/format.h>
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <exception>
#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/units.hpp"

namespace cottonway::settings {

[[noreturn]] inline void fail(const std::string& key, const std::string& reason) {
    throw std::runtime_error(key + ": " + reason);
}

inline toml::table parse_file(const std::string& path) {
    try {
        return toml::parse_file(path);
    } catch (const toml::parse_error& e) {
        fail(path, std::string(e.description()));
    }
}

/// Returns the value of a word; fails if the word is not one of `words`.
template <class T>
T one_of(const std::string& key, const std::string& word, const std::map<std::string, T>& words) {
    auto it = words.find(word);
    if (it != words.end()) return it->second;
    std::string names;
    for (const auto& [name, v] : words) names += (names.empty() ? "" : ", ") + name;
    fail(key, "must be one of " + names + ", not " + word);
}

/// A table in which every key must be read: its destructor throws if the table holds another key. Times are
/// in seconds in the file; a missing key has the fallback as its value.
class Table {
  public:
    Table(const toml::table& table, std::string path) : table_(table), path_(std::move(path)) {}
    ~Table() noexcept(false) {
        if (std::uncaught_exceptions() > 0) return;
        for (const auto& [key, value] : table_)
            if (!read_keys_.count(std::string(key.str())))
                fail(path_ + std::string(key.str()), "unknown key");
    }
    std::string path(const std::string& key) const { return path_ + key; }
    bool has(const char* key) const { return table_.contains(key); }
    bool has_text(const char* key) const { return table_.get(key) && table_.get(key)->is_string(); }
    double number(const char* key, double fallback, double low, double high) {
        const auto* node = lookup(key);
        if (!node) return fallback;
        const auto v = node->value<double>();
        if (!v || !std::isfinite(*v)) fail(path_ + key, "must be a number");
        if (*v < low || *v > high) fail(path_ + key, fmt::format("must lie between {} and {}", low, high));
        return *v;
    }
    int count(const char* key, int fallback, int high = 10'000'000, int low = 0) {
        const double v = number(key, fallback, low, high);
        if (v != std::floor(v)) fail(path_ + key, "must be a whole number");
        return static_cast<int>(v);
    }
    Micros seconds(const char* key, double fallback, double low = 0, double high = 1e6) {
        return static_cast<Micros>(std::llround(number(key, fallback, low, high) * 1e6));
    }
    Milli milli(const char* key, double fallback) {
        return static_cast<Milli>(std::llround(number(key, fallback, 0, 1e9) * 1000));
    }
    std::string text(const char* key, const std::string& fallback) {
        const auto* node = lookup(key);
        if (!node) return fallback;
        const auto v = node->value<std::string>();
        if (!v) fail(path_ + key, "must be text");
        return *v;
    }
    bool flag(const char* key, bool fallback = false) {
        const auto* node = lookup(key);
        if (!node) return fallback;
        if (!node->is_boolean()) fail(path_ + key, "must be true or false");
        return node->value<bool>().value_or(fallback);
    }
    std::vector<std::string> texts(const char* key, std::vector<std::string> fallback) {
        const auto* node = lookup(key);
        if (!node) return fallback;
        if (!node->is_array()) fail(path_ + key, "must be a list of texts");
        std::vector<std::string> out;
        for (const auto& v : *node->as_array()) {
            if (!v.is_string()) fail(path_ + key, "must be a list of texts");
            out.push_back(v.value<std::string>().value_or(""));
        }
        return out;
    }
    template <class F>
    void table(const char* key, F callback) {
        const auto* node = lookup(key);
        if (!node) return;
        if (!node->is_table()) fail(path_ + key, "must be a table");
        Table child(*node->as_table(), path_ + key + ".");
        callback(child);
    }
    template <class F>
    void rows(const char* key, F callback) {
        const auto* node = lookup(key);
        if (!node) return;
        if (!node->is_array()) fail(path_ + key, "must hold tables");
        std::size_t index = 0;
        for (const auto& entry : *node->as_array()) {
            const std::string row_path = path_ + key + "[" + std::to_string(index++) + "]";
            if (!entry.is_table()) fail(row_path, "must be a table");
            Table row(*entry.as_table(), row_path + ".");
            callback(row);
        }
    }

  private:
    const toml::node* lookup(const char* key) {
        read_keys_.insert(key);
        return table_.get(key);
    }

    const toml::table& table_;
    std::string path_;
    std::set<std::string> read_keys_;
};

}  // namespace cottonway::settings
