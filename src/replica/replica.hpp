#pragma once
// The replica: everything that this controller follows of the store, a book for each kind of record. It is
// brought up to date by the feed and by what the controller's own commits have told; it holds state, passes
// on what has changed, and decides nothing.

#include <set>
#include <string>

#include "replica/blocks.hpp"
#include "replica/catalog.hpp"
#include "replica/feed.hpp"
#include "replica/formats.hpp"
#include "replica/jobs.hpp"
#include "replica/members.hpp"
#include "replica/plans.hpp"
#include "replica/policies.hpp"
#include "replica/shares.hpp"

namespace cottonway {

class Replica : public Feed::Reader {
  public:
    /// Told of changes, after they have been taken in.
    class Listener : public BlockBook::Listener {
      public:
        virtual void on_job(const std::string& ref, Place place, const Value& value, Revision mark) = 0;
        virtual void on_part(const std::string& ref, std::size_t part, const Value& value, Revision mark) = 0;
        /// The job stands differently among those that need one another.
        virtual void on_standing(const std::string& ref) = 0;
        virtual void on_domain(const std::string& name) = 0;
        virtual void on_format() = 0;
        /// Another policy is in force.
        virtual void on_policy() = 0;
        /// Something that planning may rest on.
        virtual void on_news() = 0;
    };
    Replica(Host& host, Store& store, const Settings& settings, Listener& listener);

    void take(const std::string& key, const Value* value, Revision mark) override;
    void rereading() override;
    std::string go_on_after(const std::string& key) override;
    void reread(const std::set<std::string>& seen, Revision ledger) override;
    /// Whether jobs that are not over stand under c/active/ only, so that nobody reads those under c/job/.
    bool history_apart() const { return history_ == History::Apart; }
    /// Whether no record of old form can be added any more.
    bool history_closed() const { return history_ != History::Open; }
    Revision history_mark() const { return history_mark_; }
    /// A job whose only record stands under c/job/ although nobody reads there any more: it came late, from a
    /// process that has ended, and was accepted by nobody until it has been moved.
    bool stray(const std::string& ref) const;
    /// Passes on what has changed for jobs that need others, or are needed.
    void settle();
    /// Machine types, as the cloud has just told them.
    void learn(const Value& answer);

    /// Machines of a domain, and of all domains that a node holds.
    std::size_t machines_in(const std::string& domain) const;
    std::size_t machines_at(const std::string& node) const;
    /// Our turn among the nodes that are alive: who holds the fewest machines comes first.
    std::size_t rank_among_alive(const std::string& what) const;
    Milli capacity_of(const std::string& domain) const { return blocks.capacity_of(domain, types); }

    Catalog types;
    Members members;
    FormatBook formats;
    BlockBook blocks;
    ShareBook shares;
    PlanBook plans;
    PolicyBook policies;
    JobBook jobs;

    /// How far the records of live jobs have been moved out of history: see keys::history.
    enum class History { Open, Closed, Apart };
    static Value history_value(History h) { return {{"apart", h == History::Apart}}; }

  private:
    void take_history(const Value& value, Revision mark);

    History history_ = History::Open;
    Revision history_mark_ = 0;
    bool reading_ = false;  // everything, from the first record to the last
    Host& host_;
    Store& store_;
    const Settings& settings_;
    Listener& listener_;
};

}  // namespace cottonway
