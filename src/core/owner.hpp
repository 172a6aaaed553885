#pragma once
// Owner: what one controller decides as the holder of a domain. It knows the domain's machines (blocks) and
// jobs, binds tasks to machines, and follows attempts until they are proven gone. See docs/design.md.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/host.hpp"
#include "core/placement.hpp"
#include "settings/settings.hpp"
#include "state/store.hpp"
#include "wire/wire.hpp"

namespace cottonway {

/// A machine's block record: whose it is, where it is, and whether it is being returned.
struct Block {
    std::string machine;
    std::string domain;
    std::string type;
    std::string zone;
    std::string addr;
    bool spot = false;
    bool retired = false;
    Revision mark = 0;

    Value value() const;
    static std::optional<Block> parse(const std::string& machine, const Value& v, Revision mark);
};

namespace keys {
inline const std::string root = "c/";
inline const std::string live = "c/live/";
inline const std::string domain = "c/domain/";
inline const std::string block = "c/block/";
inline const std::string job = "c/job/";
inline const std::string part = "c/part/";
}  // namespace keys

/// Names one attempt at a task.
struct AttemptKey {
    std::string job;
    int task = 0;
    std::int64_t attempt = 0;
    auto operator<=>(const AttemptKey&) const = default;
};

struct Machine {
    Block block;
    const MachineType* type = nullptr;
    std::uint64_t session = 0;
    std::uint64_t seq = 0;
    std::uint64_t token_seen = 0;
    std::uint64_t min_session = 0;  // earlier sessions are proven over
    Micros heard = 0;
    Micros answered = 0;  // when a report was last answered 200
    Micros known_since = 0;
    bool notice = false;
    Micros notice_end = 0;
    Resources booked;
    std::set<std::pair<std::string, int>> tasks;
    std::vector<ReportedTask> exited;
    std::vector<ReportedTask> strays;
    /// Launches sent by /do that were not answered: live until the worker's token or session is raised.
    struct Taint {
        std::uint64_t token = 0;
        std::uint64_t session = 0;
        Micros since = 0;
    };
    std::map<AttemptKey, Taint> taints;
    /// Launches in report answers, by the sequence of the report; settled by any later report.
    std::map<AttemptKey, std::uint64_t> answer_launches;
    std::set<AttemptKey> direct_launches;  // in the /do that is under way
    bool direct_in_flight = false;
    Micros direct_after = 0;
    Micros direct_backoff = 0;
    bool bumping = false;
    bool retiring = false;
    bool draining = false;  // nothing new is bound to it
    Micros idle_since = 0;
    Micros avoid_until = 0;
    std::set<std::string> error_jobs;
    std::vector<std::pair<std::string, Milli>> images;  // most recent last
};

enum class SlotState : std::uint8_t { Idle, Binding, Bound, DonePending, Done };

/// One task. At most one attempt of it exists that is not proven gone.
struct Slot {
    SlotState state = SlotState::Idle;
    bool seen = false;     // a report has shown this attempt
    bool foreign = false;  // bound by an earlier holder, or under an earlier term
    bool launch_sent = false;
    bool launch_by_answer = false;
    bool stop = false;
    Phase phase = Phase::Fetching;
    std::int64_t attempt = 0;
    Machine* machine = nullptr;
    std::uint64_t launch_token = 0;
    std::uint64_t launch_session = 0;
    std::uint64_t launch_seq = 0;
    Micros grace = 0;
    Micros stop_sent = 0;
    Micros run_since = 0;
    Micros retry_at = 0;
    int errors = 0;
};

enum class Stage : std::uint8_t { Queued, Done, Cancelled };

struct Job {
    JobSpec spec;
    Stage stage = Stage::Queued;
    std::int64_t submitted_ms = 0;
    std::vector<Slot> slots;
    std::int64_t next_attempt = 1;
    int idle = 0, bound = 0, done = 0;  // by state; Binding counts as bound, DonePending as done
    Micros waiting_since = 0;
    bool within_guarantee = false;
    bool gang_stopping = false;
    bool gang_done = false;  // one task is done, so all are; each counts until it is proven gone

    /// Tasks are stored in parts, since a value is limited; part 0 is the job record itself.
    struct Part {
        Revision mark = 0;
        bool dirty = false;
        bool in_flight = false;
        bool reloading = false;
        Micros not_before = 0;
    };
    std::vector<Part> parts;

    /// Nothing of it is left to run, to stop or to wait for.
    bool over() const {
        return stage == Stage::Cancelled ? bound == 0 : spec.kind != JobKind::Service && done == spec.tasks;
    }
    /// How many of its tasks may be in one zone.
    int zone_cap() const { return spec.spread ? (spec.tasks + 1) / 2 : spec.tasks; }
    /// Its tasks by zone, with old attempts that are still on machines, in doubt or stopping.
    std::map<std::string, int> zones() const;
};

/// What the owner needs of the controller around it.
class OwnerContext {
  public:
    virtual ~OwnerContext() = default;
    virtual Host& host() = 0;
    virtual Store& store() = 0;
    virtual const Settings& settings() = 0;
    virtual const MachineType* machine_type(const std::string& name) = 0;
    virtual void ousted(const std::string& domain) = 0;
    virtual void wake() = 0;
};

class Owner {
  public:
    Owner(OwnerContext& context, std::string domain, Revision mark, Micros former_authority_end);
    ~Owner();

    const std::string& domain() const { return domain_; }
    Revision mark() const { return mark_; }
    bool active() const { return active_; }

    // Loading, in this order: blocks, jobs and parts, then activate.
    void on_block(const Block& block);
    void on_block_gone(const std::string& machine);
    void on_job(const std::string& ref, const Value& value, Revision mark);
    void on_part(const std::string& name, const Value& value, Revision mark);
    void activate();

    /// The orders to answer a report with, or nothing if the report shows a higher token than ours.
    struct Answer {
        std::uint64_t token = 0;
        std::vector<Order> orders;
    };
    std::optional<Answer> on_report(const Report& report, bool authorised);

    /// Everything that follows from what has come in: places, commits, sends.
    void work();

    // For the fleet.
    const std::map<std::string, std::unique_ptr<Machine>>& machines() const { return machines_; }
    const std::map<std::string, std::unique_ptr<Job>>& jobs() const { return jobs_; }
    void retire(const std::string& machine, const char* why);
    Micros silent_for(const Machine& m) const;
    void drain(const std::string& machine, bool on);
    /// Whether everything on it ends by itself before long and could have run elsewhere.
    bool passing(const Machine& m) const;
    Value status() const;
    /// Room that placement would consider for a job on a machine.
    bool allowed(const Job& job, const Machine& m) const;
    bool quota_allows(const Job& job, int tasks) const;

  private:
    std::uint64_t token(const Machine& m) const { return std::max<std::uint64_t>(mark_, m.block.mark); }
    bool usable(const Machine& m) const;
    Micros proof_time(const Machine& m) const;

    void greet(Machine& m, const Report& report);
    void absorb(Machine& m, const Report& report, bool is_report);
    void absent(Machine& m, Job& job, int task, const Report& report, bool is_report);
    void exited(Machine& m, Job& job, int task, ExitCause cause);
    void gone(Job& job, int task, Micros retry_in);
    void forget_strays(Machine& m);
    void void_machine(Machine& m, const char* why);
    bool still_live(const Machine& m, const Slot& slot, const AttemptKey& key) const;

    void bind(Job& job, int task, Machine& m, std::int64_t attempt);
    void mark_done(Job& job, int task);
    void set_idle(Job& job, Slot& slot);
    void stop_slot(Slot& slot, Micros grace);
    void cancel(Job& job);
    void settle_gang(Job& job);
    void drop_job(const std::string& ref);

    void plan();
    bool plan_job(Job& job);
    bool plan_gang(Job& job, std::vector<Candidate>& candidates, std::vector<Machine*>& machines);
    void preempt(Job& job);
    std::vector<Candidate> candidates_for(const Job& job, std::vector<Machine*>& machines);
    std::ptrdiff_t place_for(const Job& job, const std::vector<Candidate>& open,
                             const std::vector<Machine*>& machines);
    void drain_noticed();

    void flush_jobs();
    void write_part(Job& job, std::size_t part);
    void reload(const std::string& ref, std::size_t part);
    Value part_value(const Job& job, std::size_t part, bool final_record) const;
    void adopt_part(Job& job, std::size_t part, const Value& value, Revision mark);

    std::vector<Order> orders_for(Machine& m, bool direct);
    void send_orders();
    void bump(Machine& m);

    OwnerContext& context_;
    std::string domain_;
    Revision mark_;
    Micros former_end_;
    bool active_ = false;
    std::map<std::string, std::unique_ptr<Machine>> machines_;
    std::map<std::string, std::unique_ptr<Job>> jobs_;
    std::map<std::string, std::vector<std::pair<std::size_t, std::pair<Value, Revision>>>> orphan_parts_;
    std::map<std::string, Resources> usage_;  // by team
    std::map<std::pair<std::string, int>, int> stray_tasks_;
    std::set<std::string> dirty_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

constexpr int kPartTasks = 64;

}  // namespace cottonway
