// What arrives of messages between controllers at their limits and around them.

#include <gtest/gtest.h>

#include "peer/messages.hpp"

namespace cottonway::test {
namespace {

std::vector<std::size_t> around(std::size_t limit) {
    return {limit - 1, limit, limit + 1};
}

TEST(PeerMessages, TellOfAsManyTeamsAndShardsAsTheyHaveRoomFor) {
    for (const std::size_t teams : around(peer::kMaxTeams))
        for (const std::size_t shards : around(peer::kMaxShards)) {
            peer::State state;
            state.node = "loom-0";
            state.shards.resize(shards);
            for (auto& shard : state.shards) shard.teams.resize(teams);
            const auto told = peer::unpack<peer::State>(peer::pack(state));
            ASSERT_TRUE(told) << teams << " " << shards;
            ASSERT_EQ(told->shards.size(), std::min(shards, peer::kMaxShards));
            EXPECT_EQ(told->shards.front().teams.size(), std::min(teams, peer::kMaxTeams));
        }
}

// A longer list would be cut short, and the answer would be about fewer machines than were asked about.
TEST(PeerMessages, AskAboutAsManyMachinesAsTheyHaveRoomFor) {
    for (const std::size_t machines : around(peer::kMaxMachines)) {
        peer::Relinquish ask;
        ask.machines.assign(machines, "n-000001");
        peer::Relinquished answer;
        answer.renewal_ages.assign(machines, 5);
        const auto asked = peer::unpack<peer::Relinquish>(peer::pack(ask));
        const auto answered = peer::unpack<peer::Relinquished>(peer::pack(answer));
        ASSERT_TRUE(asked && answered) << machines;
        EXPECT_EQ(asked->machines.size(), std::min(machines, peer::kMaxMachines));
        EXPECT_EQ(answered->renewal_ages.size(), std::min(machines, peer::kMaxMachines));
    }
}

TEST(PeerMessages, PassOnReportsAsLongAsAWorkerMaySend) {
    for (const std::size_t bytes : around(peer::kMaxReportBytes)) {
        const auto passed = peer::unpack<peer::Relay>(peer::pack(peer::Relay{std::string(bytes, 'r')}));
        EXPECT_EQ(passed.has_value(), bytes <= peer::kMaxReportBytes) << bytes;
    }
}

TEST(PeerMessages, TellNamesWholeOrNotAtAll) {
    for (const std::size_t bytes : around(peer::kNameSize - 1)) {
        const std::string name(bytes, 'n');
        peer::QuotaRequest ask;
        ask.team = name;
        const auto asked = peer::unpack<peer::QuotaRequest>(peer::pack(ask));
        ASSERT_TRUE(asked);
        EXPECT_EQ(asked->team == name, peer::name_fits(name)) << bytes;
    }
}

}  // namespace
}  // namespace cottonway::test
