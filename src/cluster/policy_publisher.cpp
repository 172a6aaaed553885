#include "cluster/policy_publisher.hpp"

#include <algorithm>

#include "logging/log.hpp"

namespace cottonway {

namespace {
constexpr Micros kInitialBackoff = 500 * kMillisecond;
constexpr Micros kMaxBackoff = 30 * kSecond;
}  // namespace

void PolicyPublisher::set_file(policy::Policy file) {
    if (file_ && *file_ == file) return;
    file_ = std::move(file);
    last_logged_ = {};
    backoff_ = retry_at_ = 0;
}

PolicyPublisher::FileStatus PolicyPublisher::file_status() const {
    const PolicyCache& stored = cache_.policies;
    if (!file_) return FileStatus::None;
    if (file_->revision != stored.revision())
        return file_->revision > stored.revision() ? FileStatus::Newer : FileStatus::Older;
    return !stored.is_damaged() && *file_ == stored.in_force() ? FileStatus::Stored : FileStatus::Differs;
}

void PolicyPublisher::tick() {
    if (!feed_.loaded() || writing_) return;
    const FileStatus status = file_status();
    if (status == FileStatus::Newer) return publish();
    log_file_status(status);
}

/// Logs the status once for each pair of file and record.
void PolicyPublisher::log_file_status(FileStatus status) {
    const std::pair current(file_ ? file_->revision : 0, cache_.policies.mod_revision());
    if (current == std::exchange(last_logged_, current)) return;
    if (status == FileStatus::Older)
        spdlog::info("policy: this node's file has revision {}, the stored one {} is followed",
                     file_->revision, cache_.policies.revision());
    if (status == FileStatus::Differs)
        spdlog::error(
            "policy: this node's file and the stored policy differ but both have revision {}: the stored "
            "policy stays in force; raise the revision in the file that is to take effect",
            file_->revision);
}

void PolicyPublisher::publish() {
    const Micros now = runtime_.now();
    if (now < retry_at_ || !store_.has_write_budget(Priority::Normal)) return;
    const Json value = policy::to_value(*file_);
    if (chunks::stored_size(value) > settings_.max_value_bytes &&
        !cache_.formats.is_read_by_all(format::kChunksAndDependencies)) {
        spdlog::info(
            "policy: too large for a single value, and not all controllers can read chunked values yet: "
            "publishing is postponed");
        return schedule_retry();
    }
    writing_ = true;
    Change change;
    change.conditions.push_back({keys::policy, cache_.policies.mod_revision()});
    change.writes.push_back({keys::policy, value});
    change.purpose = "policy";
    store_.commit(std::move(change), [this, value, revision = file_->revision](const CommitResult& result) {
        if (result.status == CommitStatus::Ok) {
            backoff_ = 0;
            writing_ = false;
            spdlog::info("policy: revision {} of this node's file is stored", revision);
            return cache_.apply(keys::policy, &value, result.revision);
        }
        // The next refresh shows the stored record, including an unanswered write of this node.
        schedule_retry();
        feed_.after_next_refresh([this](bool) { writing_ = false; });
    });
}

void PolicyPublisher::schedule_retry() {
    backoff_ = std::clamp(backoff_ * 2, kInitialBackoff, kMaxBackoff);
    retry_at_ =
        runtime_.now() + backoff_ / 2 + static_cast<Micros>(runtime_.random()() % 1000) * backoff_ / 1000;
}

void PolicyPublisher::log_policy_in_force() const {
    const policy::Policy& in_force = cache_.policies.in_force();
    if (in_force.revision > 0)
        spdlog::info("policy: revision {} is in force", in_force.revision);
    else
        spdlog::info("policy: the default is in force");
}

Json PolicyPublisher::status() const {
    const PolicyCache& stored = cache_.policies;
    Json value{{"revision", stored.in_force().revision},
               {"value", policy::describe(stored.in_force())},
               {"stored", stored.revision()},
               {"damaged", stored.is_damaged()}};
    if (file_) {
        const FileStatus status = file_status();
        value["file"] = {{"revision", file_->revision},
                         {"in_force", status == FileStatus::Stored},
                         {"standing", status == FileStatus::Stored  ? "stored"
                                      : status == FileStatus::Newer ? "newer"
                                      : status == FileStatus::Older ? "older"
                                                                    : "differs"}};
    }
    return value;
}

}  // namespace cottonway
