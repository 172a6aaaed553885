#include "cluster/failover.hpp"

#include <algorithm>
#include <functional>
#include <tuple>

namespace cottonway::recovery {

namespace {
constexpr Micros kStep = 400 * kMillisecond;  // between the turns of those who could take a shard
constexpr Micros kComeBack =
    1'500 * kMillisecond;  // starts of all lie within 0.8 s of one another (measured)
constexpr Micros kSettled = 4 * kSecond;
constexpr Micros kSettledAtStart = kSecond;
}  // namespace

std::vector<std::string> shards_to_acquire(const FailoverState& s) {
    auto orphans = s.orphans;
    std::sort(orphans.begin(), orphans.end(), [](const OrphanedShard& a, const OrphanedShard& b) {
        return std::tuple(b.machines, a.shard) < std::tuple(a.machines, b.shard);
    });
    auto load = s.alive;
    std::vector<std::string> mine;
    for (const auto& o : orphans) {
        auto weight = [&](const std::string& node) {
            return std::tuple(load[node], std::hash<std::string>{}(o.shard + "@" + node), node);
        };
        const auto ours = weight(s.self);
        std::size_t turn = 0;
        std::string first = s.self;
        for (const auto& [node, machines] : s.alive) {
            turn += weight(node) < ours;
            if (weight(node) < weight(first)) first = node;
        }
        load[first] += std::max<std::size_t>(o.machines, 1);
        const Micros patience = (o.predates_process ? s.holder_grace : 0) + static_cast<Micros>(turn) * kStep;
        if (s.now - o.since >= patience) mine.push_back(o.shard);
    }
    return mine;
}

std::vector<std::pair<std::string, std::string>> shards_to_transfer(const std::string& self,
                                                                    std::vector<HeldShard> held,
                                                                    std::vector<Receiver> receivers) {
    std::erase_if(held, [](const HeldShard& h) { return h.machines == 0; });
    if (held.size() < 2 ||
        std::any_of(held.begin(), held.end(), [](const HeldShard& h) { return !h.active; }))
        return {};
    // Our own one stays for as long as there is another.
    std::sort(held.begin(), held.end(), [&](const HeldShard& a, const HeldShard& b) {
        return std::tuple(a.shard == self, a.machines, a.shard) <
               std::tuple(b.shard == self, b.machines, b.shard);
    });
    std::vector<std::pair<std::string, std::string>> out;
    auto give = [&](std::vector<HeldShard>::iterator h, std::vector<Receiver>::iterator r) {
        out.emplace_back(h->shard, r->node);
        held.erase(h);
        return receivers.erase(r);
    };
    for (auto r = receivers.begin(); r != receivers.end() && held.size() > 1;) {
        auto own =
            std::find_if(held.begin(), held.end(), [&](const HeldShard& h) { return h.shard == r->node; });
        const bool ready =
            own != held.end() && r->alive_for >= (own->acquired_at_start ? kSettledAtStart : kSettled);
        r = ready ? give(own, r) : std::next(r);
    }
    for (auto r = receivers.begin(); r != receivers.end() && held.size() > 1;) {
        const bool ready = r->alive_for >= (held.front().acquired_at_start ? kSettledAtStart : kSettled);
        r = ready ? give(held.begin(), r) : std::next(r);
    }
    return out;
}

}  // namespace cottonway::recovery
