#include "cluster/failover.hpp"

#include <algorithm>
#include <functional>
#include <tuple>

namespace cottonway::recovery {

namespace {
constexpr Micros kAcquireStagger = 400 * kMillisecond;  // delay between the nodes that could acquire a shard
constexpr Micros kHolderRestartTime =
    1'500 * kMillisecond;  // nodes that start together start within 0.8 s of one another
constexpr Micros kReceiverMinAlive = 4 * kSecond;
constexpr Micros kReceiverMinAliveAtStart = kSecond;
}  // namespace

std::vector<std::string> shards_to_acquire(const FailoverState& state) {
    auto orphans = state.orphans;
    std::sort(orphans.begin(), orphans.end(), [](const OrphanedShard& a, const OrphanedShard& b) {
        return std::tuple(b.machines, a.shard) < std::tuple(a.machines, b.shard);
    });
    auto load = state.alive;
    std::vector<std::string> acquired;
    for (const auto& orphan : orphans) {
        auto order_key = [&](const std::string& node) {
            return std::tuple(load[node], std::hash<std::string>{}(orphan.shard + "@" + node), node);
        };
        const auto own_key = order_key(state.self);
        std::size_t rank = 0;
        std::string first = state.self;
        for (const auto& [node, machines] : state.alive) {
            rank += order_key(node) < own_key;
            if (order_key(node) < order_key(first)) first = node;
        }
        load[first] += std::max<std::size_t>(orphan.machines, 1);
        const Micros delay =
            (orphan.predates_process ? state.holder_grace : 0) + static_cast<Micros>(rank) * kAcquireStagger;
        if (state.now - orphan.since >= delay) acquired.push_back(orphan.shard);
    }
    return acquired;
}

std::vector<std::pair<std::string, std::string>> shards_to_transfer(const std::string& self,
                                                                    std::vector<HeldShard> held,
                                                                    std::vector<Receiver> receivers) {
    std::erase_if(held, [](const HeldShard& shard) { return shard.machines == 0; });
    if (held.size() < 2 ||
        std::any_of(held.begin(), held.end(), [](const HeldShard& shard) { return !shard.active; }))
        return {};
    // This node's own shard comes last, so it is kept while there is any other.
    std::sort(held.begin(), held.end(), [&](const HeldShard& a, const HeldShard& b) {
        return std::tuple(a.shard == self, a.machines, a.shard) <
               std::tuple(b.shard == self, b.machines, b.shard);
    });
    std::vector<std::pair<std::string, std::string>> transfers;
    auto transfer = [&](std::vector<HeldShard>::iterator shard, std::vector<Receiver>::iterator receiver) {
        transfers.emplace_back(shard->shard, receiver->node);
        held.erase(shard);
        return receivers.erase(receiver);
    };
    for (auto receiver = receivers.begin(); receiver != receivers.end() && held.size() > 1;) {
        auto own = std::find_if(held.begin(), held.end(),
                                [&](const HeldShard& shard) { return shard.shard == receiver->node; });
        const bool ready =
            own != held.end() &&
            receiver->alive_for >= (own->acquired_at_start ? kReceiverMinAliveAtStart : kReceiverMinAlive);
        receiver = ready ? transfer(own, receiver) : std::next(receiver);
    }
    for (auto receiver = receivers.begin(); receiver != receivers.end() && held.size() > 1;) {
        const bool ready = receiver->alive_for >=
                           (held.front().acquired_at_start ? kReceiverMinAliveAtStart : kReceiverMinAlive);
        receiver = ready ? transfer(held.begin(), receiver) : std::next(receiver);
    }
    return transfers;
}

}  // namespace cottonway::recovery
