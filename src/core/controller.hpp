#pragma once
// Controller: one node. It admits and answers users on the strength of the store, holds domains, sends
// workers to the holder of their block or helps them reach it, and, as the leader, leases blocks and deals
// with the cloud.

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "core/fleet.hpp"
#include "core/host.hpp"
#include "core/owner.hpp"
#include "core/records.hpp"
#include "peer/messages.hpp"
#include "settings/settings.hpp"
#include "state/store.hpp"

namespace cottonway {

struct ApiRequest {
    std::string method;
    std::string path;
    std::string body;
    bool too_large = false;
    Micros waited = 0;  // how long it may have waited unread, since the process stood still
};

struct ApiResponse {
    int status = 200;
    Value body;
    int retry_after = 0;
};

using ApiResponder = std::function<void(ApiResponse)>;

/// What is known of a job's record: enough to answer a poll once its mark is confirmed.
struct JobView {
    Stage stage = Stage::Queued;
    int tasks = 0;
    int done = 0;
    int running = 0;
    Revision mark = 0;
    std::int64_t ended_ms = 0;  // by the time of day, if its record tells

    static JobView of(const Value& record, Revision mark);
    /// What users are told of it once one before it is cancelled, whatever its record says.
    JobView as_cancelled() const;
    bool final() const { return stage != Stage::Queued; }
};

class Controller : public OwnerContext {
  public:
    Controller(Host& host, Settings settings);
    ~Controller() override;

    void start();
    /// Requests of users, workers and the load balancer.
    void handle(ApiRequest request, ApiResponder respond);
    /// A packed message of another controller; answered with "" if there is nothing to say.
    void handle_peer(const std::string& bytes, std::function<void(std::string)> respond);
    Value status();

    Host& host() override { return host_; }
    Store& store() override { return store_; }
    const Settings& settings() override { return settings_; }
    const MachineType* machine_type(const std::string& name) override;
    void ousted(const std::string& domain) override;
    void wake() override;
    Resources share(const std::string& domain, const std::string& team) const override;
    bool within_guarantee(const std::string& ref) override;
    Standing standing(const std::string& ref) const override { return pipelines_.standing(ref); }
    std::optional<Micros> peer_ended(std::size_t peer) const override;
    void edit_machine(const std::string& domain, const std::string& machine, MachineEdit edit,
                      std::function<void(bool)> done) override;

    /// A job that is not over, as the store has it.
    struct LiveJob {
        Value record;
        Revision mark = 0;
        std::string domain;
        std::string team;
        std::int64_t since_ms = 0;  // when it began to count (see Job)
        bool open = true;           // waits for no other job
        Resources need;             // of one task
        int tasks = 0;
        int done = 0;
        int running = 0;
        std::string image;
        bool spot = false;
        bool cancelled = false;
        bool held = false;  // its owner takes it to be broken
        std::map<std::size_t, std::pair<Value, Revision>> parts;
    };
    struct Domain {
        std::string holder;
        Revision mark = 0;
    };

    // For the fleet.
    const std::map<std::string, Block>& blocks() const { return blocks_; }
    const Block* block_of(const std::string& machine) const;
    const std::map<std::string, LiveJob>& live_jobs() const { return live_jobs_; }
    const std::map<std::string, std::unique_ptr<Owner>>& owners() const { return owners_; }
    const std::map<std::string, Domain>& domains() const { return domains_; }
    const std::set<std::string>& alive() const { return live_; }
    Owner* owner(const std::string& domain) const;
    bool leading() const;
    Revision term() const { return leader_.mark; }
    /// Machine types as the cloud tells them, or as the store has kept them.
    void learn(const Value& answer, bool stored = false);
    const std::deque<MachineType>& types() const { return types_; }
    /// Machines that are in no block yet, to be leased soon.
    void lease_machine(const Block::Machine& machine, const std::string& type, const std::string& zone,
                       bool spot, std::function<void()> done);
    bool leasing(const std::string& machine) const { return unleased_.count(machine) > 0; }
    /// Marks a machine as to be returned, whoever holds it.
    void retire_machine(const std::string& machine);
    /// Takes deleted machines out of their records.
    void forget_machines(const std::vector<std::string>& machines);
    /// The balance that the leader last told, or our own.
    peer::FleetBalance balance() const;
    Milli capacity_of(const std::string& domain) const;

    /// Whether every controller that the settings name reads what this version writes.
    bool all_new() const override { return all_new_; }

    /// How long a holder may answer after its last confirmation without a cancellation being missed too long.
    Micros authority() const;

  private:
    // ---- lifecycle, in controller.cpp
    void tick();
    void fetch_types();
    void store_types();
    void join();
    void renew();
    void announce();
    void load();
    void sync();
    void synced(Micros sent);
    /// Calls back once a look at the store that was begun after now has been taken in; false: none was for
    /// long.
    void after_sync(std::function<void(bool)> done);
    void apply(const std::string& key, const Value* value, Revision mark);
    void apply_job(const std::string& ref, const Value& value, Revision mark);
    void apply_part(const std::string& name, const Value* value, Revision mark);
    void apply_block(const std::string& id, const Value* value, Revision mark);
    void apply_live(const std::string& name, bool alive);
    void apply_domain(const std::string& name, const Value& value, Revision mark);
    void step();
    void consider_domains();
    void consider_leader();
    void acquire(const std::string& name, bool create);
    void activate(const std::string& name, Revision mark);
    void lead();
    void hand_over();
    bool authorised() const;
    std::size_t rank_among_live(const std::string& what) const;
    std::size_t machines_at(const std::string& node) const;

    // ---- what versions read and write, in formats.cpp
    void apply_format(const std::string& node, const Value& value);
    void announce_format();
    void sweep_pieces();
    void split_blocks();

    // ---- records of blocks and shares, in blocks.cpp
    struct BlockEdit {
        std::function<bool(Block&)> change;  // false: nothing to change (any more)
        std::function<void(bool)> done;
    };
    struct BlockEdits {
        std::vector<BlockEdit> waiting;
        bool in_flight = false;
        Micros not_before = 0;
        Micros due = 0;
        Micros since = 0;
        bool urgent = false;
    };
    struct Unleased {
        Block::Machine machine;
        std::string type;
        std::string zone;
        bool spot = false;
        bool in_flight = false;
        Micros since = 0;
        std::vector<std::function<void()>> done;
    };
    /// `patience`: how long the change may wait for others to the same record.
    void edit_block(const std::string& id, BlockEdit edit, Micros patience);
    void flush_edits();
    void flush_edits(const std::string& id, BlockEdits& edits);
    void machine_left(const std::string& name);
    std::size_t block_size() const;
    void split_block(const Block& block, const Owner& o);
    void lease_blocks();
    void lease_block(Block block, std::vector<std::string> machines);
    void first_shares();
    Resources shared_out(const std::string& team) const;
    std::vector<std::string> target_domains() const;
    bool spread_out() const;
    std::string zone_of(const std::string& node) const;
    void give_machines(Owner& from, const peer::Want& want, std::function<void(peer::Granted)> done);
    void commit_surely(Change change, std::function<void(const CommitResult&)> done, bool uncertain = false);
    void once_known(std::function<void()> done);
    void give_share(Owner& from, const peer::ShareWant& want, std::function<void(peer::Granted)> done);

    // ---- users, in users.cpp
    void submit(const Value& body, ApiResponder respond);
    void resolve(JobSpec spec, ApiResponder respond);
    void create(JobSpec spec, ApiResponder respond);
    Pipelines::Known fate(const std::string& ref) const;
    void settle_pipelines();
    void read_unknown();
    std::string domain_for(const JobSpec& spec);
    void poll(const std::string& ref, ApiResponder respond);
    void abort(const std::string& ref, int tries, ApiResponder respond);
    void cancel(const std::string& ref, Value record, Revision mark, int tries, ApiResponder respond);
    /// A job's state as the store has it now; no view: never accepted. `ok` false: nothing is known.
    void check(const std::string& ref, std::function<void(bool ok, std::optional<JobView>)> done);
    void recheck(const std::string& ref, int tries, std::function<void(bool, std::optional<JobView>)> done);
    void remember(const std::string& ref, const JobView& view);
    const JobView* known(const std::string& ref) const;
    static ApiResponse unavailable(int retry_after = 1);
    enum class Verdict { Fits, Never, NotYet };
    Verdict judge(const JobSpec& spec) const;
    bool out_of_reach() const;
    bool healthy() const;
    bool too_busy_for_polls();

    // ---- workers and peers, in peers.cpp
    void report(const std::string& bytes, ApiResponder respond);
    void unknown_machine(const Report& r, ApiResponder respond);
    void help(const Report& r, const Block& block, const std::string& bytes, ApiResponder respond);
    void relay(const Report& r, std::size_t peer, const std::string& bytes, ApiResponder respond);
    void stand_in(const Report& r, const Block& block, const ApiResponder& respond);
    void gossip();
    void renounce();
    void ask_for_more();
    void call_peer(std::size_t peer, std::string bytes, Micros timeout,
                   std::function<void(const Reply&)> done);
    void heard_state(const peer::State& state);
    peer::State own_state() const;
    peer::Renounced promise(const peer::Renounce& ask);
    std::optional<std::size_t> peer_named(const std::string& node) const;
    bool peer_reachable(std::size_t peer) const;
    const peer::DomainLoad* load_of(const std::string& domain) const;

    Host& host_;
    Settings settings_;
    Store store_;
    Fleet fleet_;
    std::deque<MachineType> types_;  // machines point to them
    Value types_answer_;             // as the cloud has told them, null: not yet
    std::pair<Value, Revision> stored_types_;
    bool storing_types_ = false;
    Micros types_stored_at_ = -kSecond * 60;
    Micros started_ = 0;
    std::uint64_t lease_ = 0;
    bool announced_ = false;
    bool loaded_ = false;
    bool waking_ = false;
    Micros sync_every_ = 0;
    Revision ledger_ = 0;
    Micros confirmed_ = 0;  // when the last look at the store that was answered was sent
    struct Waiter {
        Micros since = 0;
        std::function<void(bool)> done;
    };
    std::list<Waiter> waiters_;

    std::map<std::string, std::uint64_t> formats_;  // what each controller is known to read
    bool announcing_ = false;
    bool all_new_ = false;
    Micros swept_at_ = 0;
    Micros split_at_ = 0;
    std::set<std::string> live_;
    std::map<std::string, Micros> live_since_;
    std::map<std::string, Micros> dead_since_;
    Domain leader_;
    Revision led_mark_ = 0;  // of the leadership that this process took, 0: none
    bool lead_ready_ = false;
    bool taking_lead_ = false;
    Micros leaderless_since_ = 0;
    std::map<std::string, Domain> domains_;
    std::map<std::string, Micros> orphaned_since_;
    std::set<std::string> acquiring_;
    Micros handed_over_at_ = 0;
    std::map<std::string, Block> blocks_;
    std::unordered_map<std::string, std::string> block_of_;  // machine -> block
    std::map<std::string, std::string> splitting_;           // machine -> the block that it is split off into
    std::map<std::string, std::pair<Shares, Revision>> shares_;
    std::map<std::string, Shares> giving_;  // parts of our shares that are being given away
    std::set<std::string> share_busy_;
    bool sharing_first_ = false;
    std::map<std::string, LiveJob> live_jobs_;
    Pipelines pipelines_;
    std::set<std::string> reading_;  // jobs that are needed and that nothing is known of
    std::map<std::pair<std::string, std::string>, Micros> image_seen_;  // image and domain: used last
    std::set<std::string> guaranteed_;                                  // jobs within their team's guarantee
    bool guarantees_due_ = true;
    Micros guarantees_at_ = 0;
    std::map<std::string, std::unique_ptr<Owner>> owners_;
    std::vector<std::unique_ptr<Owner>> retired_owners_;
    std::list<std::string> recent_;
    std::unordered_map<std::string, std::pair<JobView, std::list<std::string>::iterator>> views_;
    std::map<std::string, BlockEdits> edits_;
    std::map<std::string, Unleased> unleased_;
    Micros leased_at_ = 0;
    std::uint64_t block_counter_ = 0;

    struct PeerInfo {
        Micros heard = 0;  // in time spent listening
        bool asking = false;
        bool renouncing = false;
        bool wanting = false;
        bool sharing = false;
        std::optional<peer::State> state;
        Micros told = 0;
    };
    std::vector<PeerInfo> peers_;
    struct Visit {
        Micros sent_on = 0;        // when it was last sent to its holder
        Micros renewed = 0;        // when its lease was last renewed from here on the holder's behalf
        Micros refused_until = 0;  // promised not to
        bool direct = false;       // its holder reaches it
    };
    std::unordered_map<std::string, Visit> visits_;
    std::map<std::string, Milli> sent_to_;  // cores of jobs given to other domains since they last told
    Micros tick_due_ = 0;
    Micros late_ = 0;  // by how much the last tick came late: a sign of too little processor time
    std::uint64_t polls_shed_ = 0;
    Micros shed_logged_ = 0;
    Micros summed_up_ = 0;
    Micros gossiped_ = 0;
    Micros renounced_ = 0;
    Micros asked_for_more_ = 0;
};

}  // namespace cottonway
