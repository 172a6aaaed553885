#include "core/policies.hpp"

#include <algorithm>

#include "log/log.hpp"

namespace cottonway {

namespace {
constexpr Micros kFirstPause = 500 * kMillisecond;
constexpr Micros kLongestPause = 30 * kSecond;
}  // namespace

void Policies::set_file(policy::Policy file) {
    if (file_ && *file_ == file) return;
    file_ = std::move(file);
    told_ = {};
    pause_ = not_before_ = 0;
}

Policies::Standing Policies::standing() const {
    const PolicyBook& book = replica_.policies;
    if (!file_) return Standing::None;
    if (file_->revision != book.revision())
        return file_->revision > book.revision() ? Standing::Newer : Standing::Older;
    return !book.damaged() && *file_ == book.in_force() ? Standing::Stored : Standing::Differs;
}

void Policies::tick() {
    if (!feed_.loaded() || writing_) return;
    const Standing is = standing();
    if (is == Standing::Newer) return publish();
    tell(is);
}

/// Once about each record.
void Policies::tell(Standing is) {
    const std::pair about(file_ ? file_->revision : 0, replica_.policies.mark());
    if (about == std::exchange(told_, about)) return;
    if (is == Standing::Older)
        spdlog::info("policy: this node's file has revision {}, the stored one {} is followed",
                     file_->revision, replica_.policies.revision());
    if (is == Standing::Differs)
        spdlog::error(
            "policy: this node's file differs from the stored one though both have revision {}: the "
            "stored one stays; raise the revision of the file that shall count",
            file_->revision);
}

void Policies::publish() {
    const Micros now = host_.now();
    if (now < not_before_ || !store_.room(Priority::Normal)) return;
    const Value value = policy::to_value(*file_);
    if (pieces::stored_size(value) > settings_.value_bytes && !replica_.formats.common(format::kPipelines)) {
        spdlog::info("policy: larger than a value, which not all controllers read yet: it waits");
        return later();
    }
    writing_ = true;
    Change change;
    change.when.push_back({keys::policy, replica_.policies.mark()});
    change.then.push_back({keys::policy, value});
    change.purpose = "policy";
    store_.commit(std::move(change), [this, value, revision = file_->revision](const CommitResult& r) {
        if (r.status == CommitStatus::Ok) {
            pause_ = 0;
            writing_ = false;
            spdlog::info("policy: revision {} of this node's file is stored", revision);
            return replica_.take(keys::policy, &value, r.revision);
        }
        // What stands there now, a write of ours without an answer included, is in the news.
        later();
        feed_.after_look([this](bool) { writing_ = false; });
    });
}

void Policies::later() {
    pause_ = std::clamp(pause_ * 2, kFirstPause, kLongestPause);
    not_before_ = host_.now() + pause_ / 2 + static_cast<Micros>(host_.random()() % 1000) * pause_ / 1000;
}

void Policies::changed() const {
    const policy::Policy& p = replica_.policies.in_force();
    if (p.revision > 0)
        spdlog::info("policy: revision {} is in force", p.revision);
    else
        spdlog::info("policy: the default is in force");
}

Value Policies::status() const {
    const PolicyBook& book = replica_.policies;
    Value v{{"revision", book.in_force().revision},
            {"value", policy::describe(book.in_force())},
            {"stored", book.revision()},
            {"damaged", book.damaged()}};
    if (file_) {
        const Standing is = standing();
        v["file"] = {{"revision", file_->revision},
                     {"in_force", is == Standing::Stored},
                     {"standing", is == Standing::Stored  ? "stored"
                                  : is == Standing::Newer ? "newer"
                                  : is == Standing::Older ? "older"
                                                          : "differs"}};
    }
    return v;
}

}  // namespace cottonway
