#pragma once
// Messages between controllers: packed structs in little-endian order, with fixed field sizes, a version and
// checked bounds. A message that does not parse is discarded. These messages are hints, requests and
// promises, and any of them may be lost: whatever needs agreement is committed to the state service instead.

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
/// Returns true if a message can hold the name. A longer name is truncated, and the receiver must not act on
/// it.
constexpr bool name_fits(std::string_view name) {
    return name.size() < kNameSize;
}
constexpr std::size_t kMaxShards = 32;
constexpr std::size_t kMaxTeams = 32;
/// Limit of machines in one message, so that it fits into a request of 64 KiB. More machines take several
/// messages.
constexpr std::size_t kMaxMachines = 1000;
constexpr std::size_t kMaxReportBytes = 64 * 1024;

enum class Kind : std::uint16_t {
    State = 1,         // the sender's load; answered with a State
    Relinquish = 2,    // asks for a promise not to renew the leases of machines; answered with Relinquished
    Relinquished = 3,  // the promise, with the minimum time since the sender renewed each lease
    CapacityRequest = 4,  // asks for machines for waiting tasks; answered with Grant
    QuotaRequest = 5,     // asks for a part of a team's limit; answered with Grant
    Grant = 6,            // the resources and machines granted
    Relay = 7,            // a worker's report, forwarded; answered with Relayed
    Relayed = 8,          // the answer to forward to the worker
};

/// A team's quota and load in a shard.
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
    Milli ordinary = 0;       // cores of ordinary machines, that is of machines that are not spot
    Milli production = 0;     // cores that tasks of production priority use or wait for
    Milli free_ordinary = 0;  // free cores of machines that accept tasks
    Milli free_spot = 0;
    Milli idle_ordinary = 0;  // cores of machines without tasks
    Milli idle_spot = 0;
    Milli waiting = 0;  // cores that waiting tasks need
    std::vector<TeamLoad> teams;
};

/// The leader's view of the fleet, in cores. Shard holders use it to decide which machines to return to the
/// cloud.
struct FleetBalance {
    std::uint64_t term = 0;  // 0: not the leader
    Milli ordinary = 0;
    Milli total = 0;
    Milli wanted_ordinary = 0;
    Milli wanted_total = 0;
};

struct State {
    std::string node;
    Micros confirmed_age = 0;  // time since the state service last answered the sender
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

/// Describes waiting tasks, so that the receiver can offer idle machines that suit them.
struct CapacityRequest {
    std::string shard;
    std::uint64_t mod_revision = 0;
    Resources largest_task;  // resources of the largest waiting task
    Milli cores = 0;
    bool allows_spot = false;  // spot machines are acceptable
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
    bool worker_reachable = false;  // the holder can call the worker directly
    std::string body;
};

/// Returns the kind that the header names, without checking the rest of the message.
std::optional<Kind> kind_of(std::string_view bytes);

std::string pack(const State& message);
std::string pack(const Relinquish& message);
std::string pack(const Relinquished& message);
std::string pack(const CapacityRequest& message);
std::string pack(const QuotaRequest& message);
std::string pack(const Grant& message);
std::string pack(const Relay& message);
std::string pack(const Relayed& message);

/// Parses a message. Returns nothing if its kind or version differs, or if it is truncated or too long.
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
