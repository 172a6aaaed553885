#include "cluster/policy_publisher.hpp"

#include <algorithm>

#include "logging/log.hpp"

namespace cottonway {

namespace {
constexpr Micros kFirstPause = 500 * kMillisecond;
constexpr Micros kLongestPause = 30 * kSecond;
}  // namespace

void PolicyPublisher::set_file(policy::Policy file) {
    if (file_ && *file_ == file) return;
    file_ = std::move(file);
    told_ = {};
    pause_ = not_before_ = 0;
}

PolicyPublisher::DependencyStatus PolicyPublisher::standing() const {
    const PolicyCache& book = cache_.policies;
    if (!file_) return DependencyStatus::None;
    if (file_->revision != book.revision())
        return file_->revision > book.revision() ? DependencyStatus::Newer : DependencyStatus::Older;
    return !book.damaged() && *file_ == book.in_force() ? DependencyStatus::Stored
                                                        : DependencyStatus::Differs;
}

void PolicyPublisher::tick() {
    if (!feed_.loaded() || writing_) return;
    const DependencyStatus is = standing();
    if (is == DependencyStatus::Newer) return publish();
    tell(is);
}

/// Once about each record.
void PolicyPublisher::tell(DependencyStatus is) {
    const std::pair about(file_ ? file_->revision : 0, cache_.policies.mod_revision());
    if (about == std::exchange(told_, about)) return;
    if (is == DependencyStatus::Older)
        spdlog::info("policy: this node's file has revision {}, the stored one {} is followed",
                     file_->revision, cache_.policies.revision());
    if (is == DependencyStatus::Differs)
        spdlog::error(
            "policy: this node's file differs from the stored one though both have revision {}: the "
            "stored one stays; raise the revision of the file that shall count",
            file_->revision);
}

void PolicyPublisher::publish() {
    const Micros now = runtime_.now();
    if (now < not_before_ || !store_.has_write_budget(Priority::Normal)) return;
    const Json value = policy::to_value(*file_);
    if (chunks::stored_size(value) > settings_.max_value_bytes &&
        !cache_.formats.common(format::kPipelines)) {
        spdlog::info("policy: larger than a value, which not all controllers read yet: it waits");
        return later();
    }
    writing_ = true;
    Change change;
    change.conditions.push_back({keys::policy, cache_.policies.mod_revision()});
    change.writes.push_back({keys::policy, value});
    change.purpose = "policy";
    store_.commit(std::move(change), [this, value, revision = file_->revision](const CommitResult& r) {
        if (r.status == CommitStatus::Ok) {
            pause_ = 0;
            writing_ = false;
            spdlog::info("policy: revision {} of this node's file is stored", revision);
            return cache_.take(keys::policy, &value, r.revision);
        }
        // What stands there now, a write of ours without an answer included, is in the news.
        later();
        feed_.after_next_refresh([this](bool) { writing_ = false; });
    });
}

void PolicyPublisher::later() {
    pause_ = std::clamp(pause_ * 2, kFirstPause, kLongestPause);
    not_before_ =
        runtime_.now() + pause_ / 2 + static_cast<Micros>(runtime_.random()() % 1000) * pause_ / 1000;
}

void PolicyPublisher::changed() const {
    const policy::Policy& p = cache_.policies.in_force();
    if (p.revision > 0)
        spdlog::info("policy: revision {} is in force", p.revision);
    else
        spdlog::info("policy: the default is in force");
}

Json PolicyPublisher::status() const {
    const PolicyCache& book = cache_.policies;
    Json v{{"revision", book.in_force().revision},
           {"value", policy::describe(book.in_force())},
           {"stored", book.revision()},
           {"damaged", book.damaged()}};
    if (file_) {
        const DependencyStatus is = standing();
        v["file"] = {{"revision", file_->revision},
                     {"in_force", is == DependencyStatus::Stored},
                     {"standing", is == DependencyStatus::Stored  ? "stored"
                                  : is == DependencyStatus::Newer ? "newer"
                                  : is == DependencyStatus::Older ? "older"
                                                                  : "differs"}};
    }
    return v;
}

}  // namespace cottonway
