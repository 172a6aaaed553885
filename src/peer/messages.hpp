#pragma once
// What controllers tell each other: packed structs, little-endian, with fixed sizes, a version and checked
// bounds. A message that does not parse is no message. Nothing here decides anything that the state service
// must decide: these are hints, requests and promises, and all of them may get lost.

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/units.hpp"

namespace cottonway::peer {

constexpr std::uint16_t kVersion = 1;
constexpr std::size_t kNameSize = 48;
/// Whether a name arrives as it is. A longer one is cut short, and must not be acted on.
constexpr bool name_fits(std::string_view name) {
    return name.size() < kNameSize;
}
constexpr std::size_t kMaxShards = 32;
constexpr std::size_t kMaxTeams = 32;
/// Machines in one message, so that it fits into a request's 64 KiB. What is about more takes several
/// messages.
constexpr std::size_t kMaxMachines = 1000;
constexpr std::size_t kMaxReportBytes = 64 * 1024;

enum class Kind : std::uint16_t {
    State = 1,            // how things are here; answered with a State
    Relinquish = 2,       // promise not to renew the leases of these machines; answered with Relinquished
    Relinquished = 3,     // for each machine, how long ago its lease was renewed from here at the latest
    CapacityRequest = 4,  // machines for waiting tasks; answered with Grant
    QuotaRequest = 5,     // part of a team's limit; answered with Grant
    Grant = 6,
    Relay = 7,    // a worker's report, passed on; answered with Relayed
    Relayed = 8,  // the answer to pass back
};

/// A team within a shard.
struct TeamLoad {
    std::string team;
    Resources quota;
    Resources used;
    Resources waiting;
};

struct ShardLoad {
    std::string shard;
    std::uint64_t mod_revision = 0;
    std::uint32_t machines = 0;
    std::uint32_t jobs = 0;
    Milli capacity = 0;       // cores
    Milli ordinary = 0;       // of these, on ordinary machines
    Milli production = 0;     // cores that production work has or waits for
    Milli free_ordinary = 0;  // cores on machines that can be bound to
    Milli free_spot = 0;
    Milli idle_ordinary = 0;  // cores of machines without any task
    Milli idle_spot = 0;
    Milli waiting = 0;  // cores that waiting tasks need
    std::vector<TeamLoad> teams;
};

/// The leader's view of the fleet, for the holders that return machines.
struct FleetBalance {
    std::uint64_t term = 0;  // 0: not the leader
    Milli ordinary = 0;
    Milli total = 0;
    Milli wanted_ordinary = 0;
    Milli wanted_total = 0;
};

struct State {
    std::string node;
    Micros confirmed_age = 0;  // since the state service last answered
    FleetBalance balance;
    std::vector<ShardLoad> shards;
};

struct Relinquish {
    std::string node;
    std::string shard;
    std::uint64_t mod_revision = 0;
    std::vector<std::string> machines;
};

struct Relinquished {
    std::vector<Micros> renewal_ages;
};

/// What waits, so that idle machines can be found for it.
struct CapacityRequest {
    std::string shard;
    std::uint64_t mod_revision = 0;
    Resources largest_task;  // the largest waiting task
    Milli cores = 0;
    bool allows_spot = false;  // may be spot machines
    std::string type;          // "": any
    std::string zone;
};

struct QuotaRequest {
    std::string shard;
    std::uint64_t mod_revision = 0;
    std::string team;
    Resources amount;
};

struct Grant {
    Resources amount;
    std::uint32_t machines = 0;
};

struct Relay {
    std::string report;
};

struct Relayed {
    std::uint16_t status = 0;
    bool worker_reachable = false;  // the holder reaches the worker itself
    std::string body;
};

std::optional<Kind> kind_of(std::string_view bytes);

std::string pack(const State& m);
std::string pack(const Relinquish& m);
std::string pack(const Relinquished& m);
std::string pack(const CapacityRequest& m);
std::string pack(const QuotaRequest& m);
std::string pack(const Grant& m);
std::string pack(const Relay& m);
std::string pack(const Relayed& m);

/// Nothing for what is of another kind or version, cut short, or too long.
template <class M>
std::optional<M> unpack(std::string_view bytes);
template <>
std::optional<State> unpack(std::string_view bytes);
template <>
std::optional<Relinquish> unpack(std::string_view bytes);
template <>
std::optional<Relinquished> unpack(std::string_view bytes);
template <>
std::optional<CapacityRequest> unpack(std::string_view bytes);
template <>
std::optional<QuotaRequest> unpack(std::string_view bytes);
template <>
std::optional<Grant> unpack(std::string_view bytes);
template <>
std::optional<Relay> unpack(std::string_view bytes);
template <>
std::optional<Relayed> unpack(std::string_view bytes);

}  // namespace cottonway::peer
