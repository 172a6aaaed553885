#pragma once
// Controller: one node. It puts the rooms together: the replica of the store, presence and leadership, the
// domains held here, the records of blocks and shares, users, workers, the other controllers and the cloud.
// Each room has a header of its own that says what it may touch; the controller passes on what has changed.

#include <memory>
#include <string>
#include <utility>

#include "core/barter.hpp"
#include "core/fleet.hpp"
#include "core/history.hpp"
#include "core/policies.hpp"
#include "core/relays.hpp"
#include "core/users.hpp"

namespace cottonway {

class Controller : public OwnerContext, public Replica::Listener {
  public:
    Controller(Host& host, Settings settings);
    ~Controller() override;

    void start();
    /// Requests of users, workers and the load balancer.
    void handle(ApiRequest request, ApiResponder respond);
    /// A packed message of another controller; answered with "" if there is nothing to say.
    void handle_peer(const std::string& bytes, std::function<void(std::string)> respond);
    Value status();
    /// Why a job waits, or who would know; null if it is not known to be there.
    Value explain(const std::string& ref) const;
    /// The policy of this node's file, which has changed while we run.
    void set_policy_file(policy::Policy file) { policies_.set_file(std::move(file)); }

    const Replica& replica() const { return replica_; }
    /// Whether this process leads, as far as it knows.
    bool leads() const { return leadership_.leading(); }
    const std::map<std::string, std::unique_ptr<Owner>>& owners() const { return holdings_.all(); }
    Owner* owner(const std::string& domain) const { return holdings_.find(domain); }

    // OwnerContext.
    Host& host() override { return host_; }
    Store& store() override { return store_; }
    const Settings& settings() override { return settings_; }
    const policy::Policy& policy() const override { return replica_.policies.in_force(); }
    const MachineType* machine_type(const std::string& name) override { return replica_.types.find(name); }
    void ousted(const std::string& domain) override { holdings_.give_up(domain); }
    void wake() override;
    Resources share(const std::string& domain, const std::string& team) const override {
        return replica_.shares.part(domain, team);
    }
    bool within_guarantee(const std::string& ref) override {
        return replica_.jobs.within_guarantee(ref, host_.now());
    }
    Standing standing(const std::string& ref) const override {
        return replica_.jobs.pipelines().standing(ref);
    }
    bool all_read(std::uint64_t format) const override { return replica_.formats.common(format); }
    void settled(const std::string& ref, const Value& value, Revision mark) override {
        replica_.take(keys::job + ref, &value, mark);
    }
    std::optional<Micros> peer_ended(std::size_t peer) const override;
    const LiveJob* stored_job(const std::string& ref) const override { return replica_.jobs.find(ref); }
    const PlanBook::Stored* stored_plan(const std::string& domain) const override {
        return replica_.plans.find(domain);
    }
    Micros steady_for() const override;
    void edit_machine(const std::string& domain, const std::string& machine, MachineEdit edit,
                      std::function<void(bool)> done) override {
        leases_.edit(domain, machine, edit, std::move(done));
    }

    // Replica::Listener.
    void on_job(const std::string& ref, Place place, const Value& value, Revision mark) override;
    void on_part(const std::string& ref, std::size_t part, const Value& value, Revision mark) override;
    void on_standing(const std::string& ref) override;
    void on_machine(const Block& block, const Block::Machine& machine) override;
    void on_machine_left(const std::string& machine) override;
    void on_domain(const std::string& name) override { holdings_.on_domain(name); }
    void on_format() override;
    void on_policy() override;
    void on_news() override { wake(); }

  private:
    void tick();
    void fetch_types();
    void announce_format();
    void sweep_pieces();
    void sum_up();

    Host& host_;
    Settings settings_;
    Store store_;
    Replica replica_;
    Feed feed_;
    Presence presence_;
    Leadership leadership_;
    History history_;
    Policies policies_;
    Holdings holdings_;
    Leases leases_;
    Peers peers_;
    Fleet fleet_;
    Sharing sharing_;
    Barter barter_;
    Relays relays_;
    Users users_;
    bool waking_ = false;
    bool announcing_ = false;
    Micros swept_at_ = 0;
    Micros tick_due_ = 0;
    Micros late_ = 0;  // by how much the last tick came late: a sign of too little processor time
    Micros summed_up_ = 0;
};

}  // namespace cottonway
