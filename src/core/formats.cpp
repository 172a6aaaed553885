// What versions read and write. A new version writes what the one before reads and keeps, until it is proven
// that no process of that can come back: each process of the new one says so under a key that the old one
// ignores, and a node that has been brought up to date is never started with the old version again. So once
// every node that the settings name has said so, it is true for good.
//
// Format 2 added: values in pieces (state/pieces.hpp), jobs that need others (core/pipelines.hpp), and the
// time at which a job ended in its final record.

#include <algorithm>

#include "core/controller.hpp"
#include "log/log.hpp"

namespace cottonway {

namespace {
constexpr std::uint64_t kFormat = 2;
constexpr Micros kSweepEvery = 5 * kSecond;
constexpr Micros kSplitEvery = kSecond;
}  // namespace

void Controller::apply_format(const std::string& node, const Value& value) {
    auto& reads = formats_[node];
    reads = std::max(reads, wire::count(value, "reads").value_or(0));
    if (all_new_) return;
    auto knows = [&](const std::string& name) {
        auto it = formats_.find(name);
        return it != formats_.end() && it->second >= kFormat;
    };
    all_new_ = knows(settings_.node) && std::all_of(settings_.peers.begin(), settings_.peers.end(),
                                                    [&](const Peer& p) { return knows(p.name); });
    if (!all_new_) return;
    spdlog::info("all {} controllers read format {}: it is written from now on", formats_.size(), kFormat);
    store_.use_pieces();
}

/// Once, for all processes of this node that are still to come.
void Controller::announce_format() {
    if (!settings_.announces_format || !loaded_ || announcing_ || formats_[settings_.node] >= kFormat) return;
    announcing_ = true;
    const std::string key = keys::format + settings_.node;
    const Value value{{"reads", kFormat}};
    Change change;
    change.then.push_back({key, value});
    change.purpose = "format";
    store_.commit(std::move(change), [this, key, value](const CommitResult& r) {
        if (r.status == CommitStatus::Ok) apply(key, &value, r.revision);
        host_.after(kSecond, [this] { announcing_ = false; });
    });
}

/// Pieces that no record names are left by writes that did not come to their end.
void Controller::sweep_pieces() {
    const Micros now = host_.now();
    if (!leading() || store_.shelf().size() == 0 || now - swept_at_ < kSweepEvery) return;
    if (!store_.room(Priority::Deferrable)) return;
    swept_at_ = now;
    std::size_t n = 0;
    for (const auto& key : store_.shelf().left_over(now)) {
        if (++n > settings_.txn_ops) break;
        Change change;
        change.priority = Priority::Deferrable;
        change.then.push_back({key, Value()});
        change.purpose = "cleanup";
        store_.commit(std::move(change), [](const CommitResult&) {});
    }
}

/// Blocks of the time when values could be larger are split, in quiet moments: rewritten in pieces they would
/// cost several changes each time.
void Controller::split_blocks() {
    const Micros now = host_.now();
    if (!all_new_ || now - split_at_ < kSplitEvery || !store_.room(Priority::Deferrable)) return;
    split_at_ = now;
    for (const auto& [id, block] : blocks_) {
        const Owner* o = owner(block.domain);
        if (o && !edits_.count(id) && block.machines.size() > block_size()) return split_block(block, *o);
    }
}

}  // namespace cottonway
