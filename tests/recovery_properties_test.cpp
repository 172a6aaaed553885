// Properties of the decisions of a start, over situations and histories that RapidCheck makes up.

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <deque>

#include "cache/job_cache.hpp"
#include "cluster/failover.hpp"
#include "shard/reconciliation.hpp"

namespace cottonway::test {
namespace {

using namespace recovery;

// ---------------------------------------------------------------- dividing

std::map<std::string, std::size_t> some_nodes() {
    std::map<std::string, std::size_t> nodes;
    const int n = *rc::gen::inRange(1, 7);
    for (int i = 0; i < n; ++i) nodes["n" + std::to_string(i)] = *rc::gen::inRange<std::size_t>(0, 400);
    return nodes;
}

RC_GTEST_PROP(DividingAlways, EveryOrphanIsTakenByExactlyOneNode, ()) {
    FailoverState s;
    s.alive = some_nodes();
    const int n = *rc::gen::inRange(1, 9);
    for (int i = 0; i < n; ++i)
        s.orphans.push_back({"d" + std::to_string(i), *rc::gen::inRange<std::size_t>(0, 400), 0, false});
    std::map<std::string, int> taken;
    std::map<std::string, std::size_t> load = s.alive;
    for (const auto& [node, machines] : s.alive) {
        s.self = node;
        for (const auto& d : shards_to_take(s)) {
            ++taken[d];
            for (const auto& o : s.orphans)
                if (o.shard == d) load[node] += o.machines;
        }
    }
    for (const auto& o : s.orphans) RC_ASSERT(taken[o.shard] == 1);
    // Nobody is given more while another has less by more than the largest orphan.
    std::size_t largest = 0, least = SIZE_MAX;
    for (const auto& o : s.orphans) largest = std::max(largest, o.machines);
    for (const auto& [node, l] : load) least = std::min(least, l);
    for (const auto& [node, l] : load)
        if (l > s.alive.at(node)) RC_ASSERT(l <= least + largest);
}

RC_GTEST_PROP(DividingAlways, NothingThatWasThereBeforeUsIsTakenTooSoon, ()) {
    FailoverState s;
    s.alive = some_nodes();
    s.self = s.alive.begin()->first;
    s.come_back = *rc::gen::inRange<Micros>(0, 5 * kSecond);
    s.now = *rc::gen::inRange<Micros>(0, 10 * kSecond);
    const Micros since = *rc::gen::inRange<Micros>(0, 10 * kSecond);
    s.orphans.push_back({"d", 10, since, true});
    if (s.now - since < s.come_back) RC_ASSERT(shards_to_take(s).empty());
    // And it is never left for good.
    s.now = since + s.come_back + static_cast<Micros>(s.alive.size()) * kSecond;
    RC_ASSERT(shards_to_take(s).size() == 1u);
}

RC_GTEST_PROP(DividingAlways, WhatIsHandedOverLeavesOneAndGoesToEachOnce, ()) {
    std::vector<Holding> held;
    const int n = *rc::gen::inRange(0, 8), m = *rc::gen::inRange(0, 8);
    for (int i = 0; i < n; ++i)
        held.push_back({"n" + std::to_string(i), *rc::gen::inRange<std::size_t>(0, 3), true,
                        *rc::gen::arbitrary<bool>()});
    std::vector<Receiver> receivers;
    for (int i = 1; i <= m; ++i)
        receivers.push_back({"n" + std::to_string(i), *rc::gen::inRange<Micros>(0, 6 * kSecond)});
    const auto moves = shards_to_transfer("n0", held, receivers);
    std::set<std::string> shards, nodes;
    for (const auto& [shard, node] : moves) {
        RC_ASSERT(shards.insert(shard).second);
        RC_ASSERT(nodes.insert(node).second);
    }
    const auto with_machines =
        std::count_if(held.begin(), held.end(), [](const Holding& h) { return h.machines > 0; });
    RC_ASSERT(static_cast<std::ptrdiff_t>(moves.size()) < std::max<std::ptrdiff_t>(with_machines, 1));
}

// ---------------------------------------------------------------- reconciliation

/// One task, one worker, and a network that delays: the holder launches, hears, and concludes by `square`.
/// Messages arrive in any order; a `/do` may be executed at any later time as long as token and session
/// match.
struct Model {
    struct Launch {
        std::uint64_t token, session;
    };
    struct Message {
        std::uint64_t session, seq, token;
        bool shown;
        bool is_report;
    };
    // The worker.
    std::uint64_t session = 1, seq = 0, token = 1;
    bool on = false;
    std::deque<Launch> under_way;
    std::vector<Message> messages;  // under way to the holder
    // The holder.
    std::uint64_t our_token = 1;
    bool launched = false, seen = false, stopping = false, gone = false;
    std::uint64_t launch_token = 0, launch_session = 0;
    std::vector<Launch> unacknowledged_launches;  // sent and not known to be settled
    std::uint64_t last_session = 1, last_seq = 0;

    void send() {
        under_way.push_back({our_token, last_session});
        unacknowledged_launches.push_back({our_token, last_session});
        launched = true;
        launch_token = our_token;
        launch_session = last_session;
    }
    void execute(std::size_t i) {
        const Launch l = under_way[i];
        under_way.erase(under_way.begin() + static_cast<std::ptrdiff_t>(i));
        if (l.token < token || l.session != session) return;
        token = l.token;
        on = true;
    }
    void tell(bool is_report) { messages.push_back({session, ++seq, token, on, is_report}); }
    /// Returns the verdict, if the message is news.
    std::optional<ReconcileAction> hear(std::size_t i) {
        const Message m = messages[i];
        messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(i));
        if (!is_news({m.session, m.seq}, {last_session, last_seq}, 0)) return std::nullopt;
        last_session = m.session;
        last_seq = m.seq;
        std::erase_if(unacknowledged_launches,
                      [&](const Launch& t) { return t.token < m.token || t.session < m.session; });
        Stored stored;
        stored.state = gone ? Stored::State::Waiting : Stored::State::Bound;
        stored.seen = seen;
        stored.launched = launched;
        stored.stopping = stopping;
        Proof proof;
        proof.later_session = m.session > launch_session;
        proof.higher_token = m.token > launch_token;
        proof.may_still_come = !unacknowledged_launches.empty();
        const ReconcileAction v = reconcile(stored, {m.shown, false, ExitCause::Stopped}, proof);
        if (v == ReconcileAction::Runs) seen = true;
        if (v == ReconcileAction::LaunchAgain) launched = false;
        if (v == ReconcileAction::Gone) gone = true;
        return v;
    }
    bool may_run() const {
        return on || std::any_of(under_way.begin(), under_way.end(),
                                 [&](const Launch& l) { return l.token >= token && l.session == session; });
    }
};

RC_GTEST_PROP(SquaringAlways, NothingIsGoneThatRunsOrMayStillStart, ()) {
    Model m;
    const int steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps && !m.gone; ++i) {
        auto any = [](std::size_t n) { return *rc::gen::inRange<std::size_t>(0, n); };
        switch (*rc::gen::inRange(0, 8)) {
            case 0:
                if (!m.stopping && !m.launched) m.send();
                break;
            case 1:
                if (!m.under_way.empty()) m.execute(any(m.under_way.size()));
                break;
            case 2:
                m.tell(true);
                break;
            case 3:
                if (!m.messages.empty()) m.hear(any(m.messages.size()));
                break;
            case 4:  // the worker's lease is over: it kills and forgets everything
                ++m.session;
                m.on = false;
                break;
            case 5:  // the shard's token is raised and shown
                ++m.our_token;
                m.token = std::max(m.token, m.our_token);
                break;
            case 6:
                m.stopping = true;
                break;
            case 7:  // the network gives up on one
                if (!m.messages.empty()) m.messages.erase(m.messages.begin());
                break;
        }
        if (m.gone) RC_ASSERT(!m.may_run());
    }
}

RC_GTEST_PROP(SquaringAlways, AMessageThatHasBeenOvertakenChangesNothing, ()) {
    // Of any set of messages only those count that come after all before them, so what is known in the end is
    // what the newest one says, in whatever order they come.
    std::vector<MessageAge> messages;
    const int n = *rc::gen::inRange(1, 12);
    for (int i = 0; i < n; ++i)
        messages.push_back({*rc::gen::inRange<std::uint64_t>(1, 4), *rc::gen::inRange<std::uint64_t>(1, 50)});
    MessageAge last{};
    for (const auto& m : messages)
        if (is_news(m, last, 0)) last = m;
    for (const auto& m : messages) RC_ASSERT(!is_news(m, last, 0));
    RC_ASSERT(!is_news(last, {}, last.session + 1));
}

RC_GTEST_PROP(SquaringAlways, WhatRunsAsStoredIsNeverStopped, ()) {
    Stored s;
    s.state = *rc::gen::element(Stored::State::Bound, Stored::State::Binding);
    s.wanted = *rc::gen::arbitrary<bool>();
    s.seen = *rc::gen::arbitrary<bool>();
    s.launched = *rc::gen::arbitrary<bool>();
    s.foreign = *rc::gen::arbitrary<bool>();
    Proof p;
    p.later_session = *rc::gen::arbitrary<bool>();
    p.higher_token = *rc::gen::arbitrary<bool>();
    RC_ASSERT(reconcile(s, {true, false, ExitCause::Stopped}, p) == ReconcileAction::Runs);
}

// ---------------------------------------------------------------- news in any order

RC_GTEST_PROP(HistoryAlways, NewsInAnyOrderComesToTheSame, ()) {
    // The records of one job as they followed one another, told in any order and more than once.
    JobSpec spec;
    spec.ref = "req-000001";
    spec.team = "red";
    spec.tasks = 3;
    spec.request = {1000, 0, 1000};
    spec.image = "i";
    spec.job_class = "c";
    struct News {
        RecordLocation place;
        Json value;
        Revision mod_revision;
    };
    std::vector<News> all;
    Revision mod_revision = 10;
    auto live = [&](int running) {
        return Json{{"s", "queued"}, {"dom", "d"},   {"k", 3}, {"d", wire::job_value(spec)},
                    {"at", 5},       {"fr", running}};
    };
    const bool was_old = *rc::gen::arbitrary<bool>();
    if (was_old) all.push_back({RecordLocation::Job, live(0), ++mod_revision});
    const int changes = *rc::gen::inRange(1, 4);
    for (int i = 0; i < changes; ++i) all.push_back({RecordLocation::Active, live(i + 1), ++mod_revision});
    const bool over = *rc::gen::arbitrary<bool>();
    if (over)
        all.push_back(
            {RecordLocation::Job, Json{{"s", "done"}, {"dom", "d"}, {"k", 3}, {"fd", 3}}, ++mod_revision});
    Settings settings;
    JobCache book(settings);
    std::vector<std::size_t> order;
    const int tellings = *rc::gen::inRange(0, 12);
    for (int i = 0; i < tellings; ++i) order.push_back(*rc::gen::inRange<std::size_t>(0, all.size()));
    for (std::size_t i = 0; i < all.size(); ++i) order.push_back(i);  // each at least once
    for (const std::size_t i : order)
        book.apply(spec.ref, all[i].place, all[i].value, all[i].mod_revision, kSecond);
    const JobView* view = book.find_view(spec.ref);
    RC_ASSERT(view != nullptr);
    RC_ASSERT(view->mod_revision == mod_revision);
    RC_ASSERT(view->is_final() == over);
    RC_ASSERT((book.find(spec.ref) == nullptr) == over);
    if (!over) {
        RC_ASSERT(book.find(spec.ref)->record_location == RecordLocation::Active);
        RC_ASSERT(book.find(spec.ref)->running == changes);
    }
}

}  // namespace
}  // namespace cottonway::test
