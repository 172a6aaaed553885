#pragma once
// Controller: one node. It admits and answers users on the strength of the store, holds domains, sends
// workers to the holder of their block, and, as the leader, leases blocks and deals with the cloud.

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
#include "settings/settings.hpp"
#include "state/store.hpp"

namespace cottonway {

struct ApiRequest {
    std::string method;
    std::string path;
    std::string body;
    bool too_large = false;
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

    static JobView of(const Value& record, Revision mark);
    bool final() const { return stage != Stage::Queued; }
};

class Controller : public OwnerContext {
  public:
    Controller(Host& host, Settings settings);
    ~Controller() override;

    void start();
    /// Requests of users, workers and the load balancer.
    void handle(ApiRequest request, ApiResponder respond);
    Value status();

    Host& host() override { return host_; }
    Store& store() override { return store_; }
    const Settings& settings() override { return settings_; }
    const MachineType* machine_type(const std::string& name) override;
    void ousted(const std::string& domain) override;
    void wake() override;

    // For the fleet.
    const std::map<std::string, Block>& blocks() const { return blocks_; }
    Owner* owner(const std::string& domain);
    bool leading() const;
    const std::vector<MachineType>& types() const { return types_; }
    void refresh_types(std::vector<MachineType> types) { types_ = std::move(types); }
    void lease_block(Block block, std::function<void(bool)> done);
    /// How long a holder may answer after its last confirmation without a cancellation being missed too long.
    Micros authority() const;

  private:
    struct Domain {
        std::string holder;
        Revision mark = 0;
    };

    void tick();
    void fetch_types();
    void join();
    void renew();
    void announce();
    void load();
    void watch();
    void apply(const std::string& key, const Value* value, Revision mark);
    void step();
    void consider_domains();
    void acquire(const std::string& name);
    bool authorised() const;

    void submit(const Value& body, ApiResponder respond);
    void create(JobSpec spec, ApiResponder respond);
    void poll(const std::string& ref, ApiResponder respond);
    void abort(const std::string& ref, int tries, ApiResponder respond);
    void report(const Value& body, ApiResponder respond);
    void unknown_machine(const Report& report, ApiResponder respond);
    /// A job's state as the store has it now; no view: never accepted. `ok` false: nothing is known.
    void check(const std::string& ref, std::function<void(bool ok, std::optional<JobView>)> done);
    void recheck(const std::string& ref, int tries, std::function<void(bool, std::optional<JobView>)> done);
    void remember(const std::string& ref, const JobView& view);
    const JobView* known(const std::string& ref) const;
    static ApiResponse unavailable(int retry_after = 1);
    enum class Verdict { Fits, Never, NotYet };
    Verdict judge(const JobSpec& spec) const;

    Host& host_;
    Settings settings_;
    Store store_;
    Fleet fleet_;
    std::vector<MachineType> types_;
    std::uint64_t lease_ = 0;
    bool announced_ = false;
    bool loaded_ = false;
    bool waking_ = false;
    bool acquiring_ = false;
    Revision ledger_ = 0;
    Micros confirmed_ = 0;  // when the last watch that was answered was sent
    std::set<std::string> live_;
    std::map<std::string, Domain> domains_;
    std::map<std::string, Block> blocks_;
    std::map<std::string, std::unique_ptr<Owner>> owners_;
    std::vector<std::unique_ptr<Owner>> retired_owners_;
    std::list<std::string> recent_;
    std::unordered_map<std::string, std::pair<JobView, std::list<std::string>::iterator>> views_;
    std::set<std::string> leasing_;
};

}  // namespace cottonway
