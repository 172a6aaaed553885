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
#include "peer/messages.hpp"
#include "recovery/squaring.hpp"
#include "recovery/startup.hpp"
#include "replica/pipelines.hpp"
#include "settings/settings.hpp"
#include "state/records.hpp"
#include "state/store.hpp"
#include "wire/wire.hpp"

namespace cottonway {

struct Job;

/// Names one attempt at a task.
struct AttemptKey {
    std::string job;
    int task = 0;
    std::int64_t attempt = 0;
    auto operator<=>(const AttemptKey&) const = default;
};

/// A task of a job in the owner's memory; ordered by admission, not by address, so that runs repeat.
struct TaskRef {
    Job* job = nullptr;
    int task = 0;
    bool operator<(const TaskRef& o) const;
};

/// What another controller has promised about a machine: not to renew its lease any more.
struct Promise {
    Micros until = 0;
    Micros renewed = 0;  // when it may have done so last
};

struct Machine {
    std::string name;
    std::string block;
    std::string type_name;
    std::string zone;
    std::string addr;
    bool spot = false;
    bool retired = false;
    std::uint64_t token = 0;  // of its block record; the domain's mark may be higher
    const MachineType* type = nullptr;
    std::uint64_t session = 0;
    std::uint64_t seq = 0;
    std::uint64_t token_seen = 0;
    std::uint64_t messages = 0;     // taken in so far
    std::uint64_t min_session = 0;  // earlier sessions are proven over
    Micros heard = 0;               // by the steady clock, for what is proven by time
    Micros listened = 0;            // the same in time spent listening, for what is merely unheard
    Micros answered = 0;            // when a report was last answered 200
    Micros known_since = 0;
    bool notice = false;
    Micros notice_end = 0;
    Resources booked;
    Milli idle_work = 0;  // cores of these that work of idle rank has
    std::set<TaskRef> tasks;
    std::vector<ReportedTask> exited;
    std::vector<ReportedTask> strays;
    std::vector<Promise> promises;  // by peer
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
    Micros direct_ok = 0;  // when it last answered a call of ours
    bool relayed = false;  // its last report came through another controller
    Micros relayed_since = 0;
    Micros probed_at = 0;
    bool suspect = false;   // a connection to it did not come about; until it is heard again
    bool due = false;       // in the owner's list of machines to send to
    bool raising = false;   // its token is being raised
    bool retiring = false;  // being marked as retired
    bool leaving = false;   // being given to another domain
    bool draining = false;  // nothing new is bound to it
    Micros idle_since = 0;  // in time spent listening
    Micros avoid_until = 0;
    std::set<std::string> error_jobs;  // whose tasks fail here though they run elsewhere
    /// Images that it has, or is fetching for a task; most recent last.
    struct Image {
        std::string name;
        Milli gb = 0;
        bool ready = false;
    };
    std::vector<Image> images;

    /// Heard through another controller only, and not reached by a call of ours since.
    bool out_of_reach() const { return relayed && direct_ok <= relayed_since; }
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
    std::uint64_t shown = 0;  // the last of its machine's messages that showed it
    Micros grace = 0;
    Micros stop_sent = 0;
    Micros run_since = 0;
    Micros retry_at = 0;
    int errors = 0;
};

/// How the admission of a job went: with the record if it is durable now.
struct Admission {
    CommitStatus status = CommitStatus::Unavailable;
    Revision revision = 0;
    Value record;
    Place place = Place::Job;  // where it stands
};

struct Job {
    JobSpec spec;
    std::uint64_t serial = 0;
    Stage stage = Stage::Queued;
    std::int64_t submitted_ms = 0;
    /// Its gate: while it waits for others it has no slots and counts for nothing.
    bool open = true;
    bool piped = false;         // it needed others
    bool needed = false;        // others wait for it
    bool orphaned = false;      // cancelled with another
    std::int64_t since_ms = 0;  // when it began to count: its submission, or the end of the last job needed
    Rank rank = Rank::Normal;   // its own, or that of a job that needs it
    std::int64_t due_ms = INT64_MAX;
    std::vector<Slot> slots;
    std::int64_t next_attempt = 1;
    int idle = 0, bound = 0, done = 0;  // by state; Binding counts as bound, DonePending as done
    std::size_t first_idle = 0;         // no task before it waits
    Micros waiting_since = 0;
    bool within_guarantee = false;
    Micros idle_turn = 0;         // when idle work is bound again
    bool no_holding_out = false;  // there is nothing to wait for (see Owner::holds_out)
    bool leaving = false;         // being given to another domain: nothing of it is bound
    /// Whether it can run at all: a task of it has ended well, or has run for a while.
    bool proven = false;
    std::set<std::string> failed_on;  // machines, while nothing is proven
    int failures = 0;
    bool held = false;           // taken to be broken: tried with one task at a time
    std::int64_t held_from = 0;  // the first attempt made since
    int tries = 0;               // since then
    Micros try_after = 0;
    bool gang_stopping = false;
    bool gang_done = false;  // one task is done, so all are; each counts until it is proven gone

    /// Tasks are stored in parts, since a value is limited; part 0 is the job record itself.
    struct Part {
        Revision mark = 0;
        bool dirty = false;
        bool in_flight = false;
        bool reloading = false;
        int binding = 0;        // tasks whose bind waits for this part to be written
        std::size_t bytes = 0;  // of bindings, when written
        Micros dirty_since = 0;
        Micros not_before = 0;
    };
    std::size_t part_tasks = 64;
    std::vector<Part> parts;
    Place place = Place::Job;  // where its record stands, and is written next
    Revision shadow = 0;       // see LiveJob

    /// Set while the record that admits the job is not durable yet: told how that went.
    std::function<void(const Admission&)> admitting;

    /// Tasks that wait for room. Those of a job that is taken to be broken don't, and idle work takes what is
    /// left over: neither moves machines or shares, or keeps other jobs away.
    int waiting() const { return stage == Stage::Queued && open && !held && !leftover() ? idle : 0; }
    /// Takes what is left over. Idle work within its team's guarantee need not wait for other teams.
    bool leftover() const { return rank == Rank::Low && !within_guarantee; }

    Part& part_of(int task) { return parts[static_cast<std::size_t>(task) / part_tasks]; }
    /// Nothing of it is left to run, to stop or to wait for.
    bool over() const {
        return stage == Stage::Cancelled ? bound == 0 : spec.kind != JobKind::Service && done == spec.tasks;
    }
    /// How many of its tasks may be in one zone.
    int zone_cap() const { return spec.spread ? (spec.tasks + 1) / 2 : spec.tasks; }
    /// Its tasks by zone, with old attempts that are still on machines, in doubt or stopping.
    std::map<std::string, int> zones() const;
};

inline bool TaskRef::operator<(const TaskRef& o) const {
    return job->serial != o.job->serial ? job->serial < o.job->serial : task < o.task;
}

/// What the owner needs of the controller around it.
class OwnerContext {
  public:
    virtual ~OwnerContext() = default;
    virtual Host& host() = 0;
    virtual Store& store() = 0;
    virtual const Settings& settings() = 0;
    /// The one in force; it may change at any time.
    virtual const policy::Policy& policy() const = 0;
    virtual const MachineType* machine_type(const std::string& name) = 0;
    virtual void ousted(const std::string& domain) = 0;
    virtual void wake() = 0;
    /// The domain's stored part of a team's limit, less what is being given away.
    virtual Resources share(const std::string& domain, const std::string& team) const = 0;
    /// Whether the job fits into its team's guarantee together with the team's earlier unfinished jobs.
    virtual bool within_guarantee(const std::string& ref) = 0;
    /// How the job stands among those that need one another.
    virtual Standing standing(const std::string& ref) const = 0;
    /// Whether all controllers read a format, so that it may be written.
    virtual bool all_read(std::uint64_t format) const = 0;
    /// What our own commit has made final, ahead of the news of it.
    virtual void settled(const std::string& ref, const Value& value, Revision mark) = 0;
    /// From when on a peer that is not alive can renew no lease; nothing while it may.
    virtual std::optional<Micros> peer_ended(std::size_t peer) const = 0;

    enum class MachineEdit { Raise, Retire, RetireNow };
    /// Rewrites the block record that lists the machine; the outcome arrives as news of the record.
    virtual void edit_machine(const std::string& domain, const std::string& machine, MachineEdit edit,
                              std::function<void(bool)> done) = 0;
};

class Owner {
  public:
    Owner(OwnerContext& context, std::string domain, Revision mark, Micros former_authority_end);
    ~Owner();

    const std::string& domain() const { return domain_; }
    Revision mark() const { return mark_; }
    bool active() const { return active_; }

    // Loading: machines, then jobs, then their parts, then activate.
    void on_machine(const Block& block, const Block::Machine& entry);
    void on_machine_gone(const std::string& name, const char* why);
    void on_job(const std::string& ref, Place place, const Value& value, Revision mark);
    /// What stands under c/job/ besides a job's record under c/active/.
    void on_shadow(const std::string& ref, Revision shadow);
    void on_part(const std::string& ref, std::size_t part, const Value& value, Revision mark);
    void activate();

    /// Admits a new job, with the first binds of its tasks in the same change where there is room for them.
    void admit(JobSpec spec, std::int64_t submitted_ms, const Standing& standing,
               std::function<void(const Admission&)> done);
    /// The job stands differently among those that need one another.
    void reconsider(const std::string& ref);
    /// Another policy is in force: plans again.
    void on_policy() { plan_due_ = true; }

    /// The orders to answer a report with, or nothing if it must not be answered.
    struct Answer {
        std::uint64_t token = 0;
        std::vector<Order> orders;
        bool direct = true;
    };
    std::optional<Answer> on_report(const Report& report, bool authorised, bool relayed = false);

    /// What follows from what has come in: places, commits, sends.
    void work();
    /// What follows from time passing; called about ten times a second.
    void tick();

    // For the fleet and for other domains.
    const std::map<std::string, std::unique_ptr<Machine>>& machines() const { return machines_; }
    const std::map<std::string, std::unique_ptr<Job>>& jobs() const { return jobs_; }
    void retire(const std::string& machine, const char* why);
    Micros silent_for(const Machine& m) const;
    void drain(const std::string& machine, bool on);
    /// Whether everything on it ends by itself before long and could have run elsewhere.
    bool passing(const Machine& m) const;
    peer::DomainLoad load() const;
    /// What waits for room, if anything has for a while.
    std::optional<peer::Want> want() const;
    /// What waits for a larger part of a team's limit.
    std::map<std::string, Resources> short_of_share() const { return short_of_share_; }
    /// Idle machines that would hold such tasks, for another domain; from here on nothing is bound to them
    /// until `keep`.
    std::vector<std::string> offer(const peer::Want& want);
    void keep(const std::vector<std::string>& machines);
    /// Gives away waiting jobs that have never been bound, as many as fit into that many cores.
    void rehome(const std::string& to, Milli ordinary, Milli spot);
    /// What of the team's share neither is in use nor waited for.
    Resources spare_share(const std::string& team) const;
    /// Silent machines with tasks, for which `peer` has not promised to renew no leases.
    std::vector<std::string> to_renounce(std::size_t peer) const;
    void renounced(std::size_t peer, const std::string& machine, Promise promise);
    Value status() const;
    /// Why a job of the domain waits; null if it is none.
    Value explain(const std::string& ref) const;

    bool allowed(const Job& job, const Machine& m) const;
    bool quota_allows(const Job& job, int tasks) const;

  private:
    Value place_in_queue(const Job& job) const;
    Value room_by_zone(const Job& job) const;
    Value cards_for(const Job& job) const;
    std::vector<std::string> reasons(const Job& job, const Value& zones) const;
    Value waiting_by_tier() const;

    std::uint64_t token(const Machine& m) const { return std::max<std::uint64_t>(mark_, m.token); }
    bool usable(const Machine& m) const;
    bool lease_over(const Machine& m) const;

    void greet(Machine& m, const Report& report);
    void absorb(Machine& m, const Report& report, bool is_report);
    void absent(Machine& m, Job& job, int task, const Report& report, bool is_report);
    void exited(Machine& m, Job& job, int task, ExitCause cause);
    void gone(Job& job, int task, Micros retry_in);
    Micros failed(Machine& m, Job& job, Slot& slot);
    void proved(Job& job);
    static void blame(Machine& m, const Job& job, Micros now);
    void forget_strays(Machine& m);
    static void remember_image(Machine& m, const Job& job, bool ready);
    static void forget_fetch(Machine& m, const Job& job);
    void void_machine(Machine& m, const char* why);
    static bool still_live(const Machine& m, const Slot& slot, const AttemptKey& key);
    static bool may_come(const Machine& m, const AttemptKey& key);
    recovery::Stored stored(const Job* job, const Slot* slot, const Machine& m, std::int64_t attempt) const;
    void show(Machine& m, Job& job, Slot& slot, Phase phase);
    int urgency(const Machine& m) const;

    void bind(Job& job, int task, Machine& m, std::int64_t attempt);
    /// A job as it begins here; `gate_ms`: when its gate opened, if its record tells.
    std::unique_ptr<Job> new_job(JobSpec spec, std::int64_t submitted_ms, std::optional<std::int64_t> gate_ms,
                                 const Standing& standing);
    static void divide(Job& job, std::size_t part_tasks);
    void take_standing(Job& job, const Standing& standing);
    void open_gate(Job& job);
    void set_rank(Job& job, Rank rank);
    void mark_done(Job& job, int task);
    void set_idle(Job& job, Slot& slot);
    void stop_slot(Slot& slot, Micros grace);
    void cancel(Job& job);
    void settle_gang(Job& job);
    void drop_job(const std::string& ref);
    void not_admitted(Job& job, CommitStatus status);
    Micros gathers(const Job& job, bool binds) const;
    void given_away(Job& job);
    Job* find_job(const std::string& ref) const;

    void plan();
    bool plan_job(Job& job);
    bool keeps_off(const Job& job, const Machine& m) const;
    void weigh_idle_room();
    static Micros idle_pause(const Job& job);
    bool spoils(const Job& job, Micros ran) const;
    static Micros fetch_time(const Job& job, const Machine& m);
    bool holds_out(const Job& job) const;
    bool can_be_late(const Job& job) const;
    bool plan_gang(Job& job, const std::vector<Candidate>& candidates, const std::vector<Machine*>& machines);
    void preempt(Job& job);
    struct Victim {
        Slot* slot;
        Job* job;
        double loss;
        Micros grace;
    };
    std::optional<double> room_for(const Job& job, const Machine& m, bool may_waste, bool reclaims,
                                   bool hurries, std::vector<Victim>& taken) const;
    std::vector<Candidate> candidates_for(const Job& job, bool relayed, std::vector<Machine*>& machines);
    std::ptrdiff_t place_for(const Job& job, const std::vector<Candidate>& open,
                             const std::vector<Machine*>& machines, bool ready_only);
    bool hopeless(const Job& job) const;
    void remember_no_room(const Job& job);
    void drain_noticed(Machine& m);

    void touch(Job& job, std::size_t part);
    std::vector<Condition> as_known(const Job& job) const;
    std::string key_of(const Job& job, std::size_t part) const;
    void drop_left_over();
    void move_out_of_history();
    void flush_jobs();
    void write_part(Job& job, std::size_t part, Priority priority);
    void written(const std::string& ref, std::size_t part, const Value& value, bool final_record,
                 const std::vector<AttemptKey>& binding, const std::vector<int>& done, Place place,
                 const CommitResult& result);
    void reload(const std::string& ref, std::size_t part);
    void reload_later(const std::string& ref, std::size_t part);
    void read_record(const std::string& ref, std::size_t part,
                     std::function<void(const ReadResult&, Place, Revision shadow)> done);
    void reloaded(const std::string& ref, std::size_t part, const ReadResult& r, Place place,
                  Revision shadow);
    Value part_value(const Job& job, std::size_t part, bool final_record) const;
    void adopt_part(Job& job, std::size_t part, const Value& value, Revision mark);

    std::vector<Order> orders_for(Machine& m, bool direct);
    bool probe_due(const Machine& m) const;
    void poke(Machine& m);
    void send_orders();
    void send_to(Machine& m);
    void not_sent(Machine& m, const std::set<AttemptKey>& launched);
    void unanswered(Machine& m, const std::set<AttemptKey>& launched, std::uint64_t token,
                    std::uint64_t session);
    void raise(Machine& m);

    OwnerContext& context_;
    std::string domain_;
    Revision mark_;
    Micros former_end_;
    Micros taken_at_;
    bool active_ = false;
    recovery::Startup startup_;
    std::map<std::string, std::unique_ptr<Machine>> machines_;
    std::map<std::string, std::unique_ptr<Job>> jobs_;
    std::uint64_t next_serial_ = 1;
    std::map<std::string, Resources> usage_;  // by team
    std::map<std::string, Resources> short_of_share_;
    std::map<std::pair<std::string, int>, int> stray_tasks_;
    std::set<std::string> dirty_;
    std::vector<Condition> left_over_;  // records under c/active/ of jobs that are over, to be dropped
    Micros dropped_at_ = 0;
    Micros moved_at_ = 0;
    std::vector<std::string> due_;  // machines to send orders to
    int direct_calls_ = 0;
    bool plan_due_ = true;
    bool flush_due_ = false;
    Micros planned_at_ = 0;
    Micros preempted_at_ = 0;
    int preemptions_left_ = 0;
    RateBudget idle_starts_;  // starts of idle work, which must not take the time that others need
    Micros idle_planned_at_ = 0;
    Milli idle_room_ = 0;  // cores that idle work may still take in the current pass
    double peak_use_ = 0;  // of cores by other work, where idle work may run
    Micros peak_use_at_ = 0;
    std::ptrdiff_t spot_machines_ = 0;
    bool idle_bound_ = false;                      // something of idle rank is bound
    std::map<const Machine*, Resources> claimed_;  // room that waiting tasks will take, in the current pass
    /// What found no room in the current pass: whatever needs as much under the same constraints won't
    /// either.
    struct NoRoom {
        bool spot;
        std::optional<std::string> zone;
        std::optional<std::vector<std::string>> types;
        Resources need;
    };
    std::vector<NoRoom> no_room_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// How many tasks fit into one stored part besides a description of `spec_bytes`.
std::size_t part_tasks_for(std::size_t value_bytes, std::size_t spec_bytes);

}  // namespace cottonway
