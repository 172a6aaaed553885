// Names that are as long as a message between controllers has room for, or longer.

#include <gtest/gtest.h>

#include "peer/messages.hpp"
#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

constexpr std::size_t kLongestName = peer::kNameSize - 1;

// A task ran twice: the promise not to renew a machine's lease was given for a name that had been cut short.
TEST(LongMachineNames, AreNotTakenForOnesWhoseLeaseNobodyRenewed) {
    constexpr std::size_t kDigits = 6;
    for (const std::size_t length : {kLongestName - 1, kLongestName, kLongestName + 1}) {
        SCOPED_TRACE(length);
        Simulator w(3);
        w.cloud().name_prefix = std::string(length - kDigits, 'n');
        for (int i = 0; i < 3; ++i) w.add_machine("small", "a");
        w.start_nodes();
        w.run(6 * kSecond);
        w.submit(w.make_job(2, JobKind::Service, 3, 3), 0);  // one on each machine, so that none is returned
        w.run(5 * kSecond);
        w.submit(w.make_job(1, JobKind::Array, 1), 300 * kSecond);
        w.run(30 * kSecond);  // a controller renews no lease for others before
        ASSERT_EQ(w.running_tasks("req-000001"), 1) << w.format_history();
        const int holder = w.owner_node();
        const std::string machine = *w.machines_running("req-000001").begin();
        ASSERT_EQ(machine.size(), length);
        // Another controller renews the lease on the holder's behalf.
        w.cut_link(host(holder), machine);
        for (int i = 0; i < w.node_count(); ++i)
            if (i != holder) w.cut_link(host(holder), host(i));
        w.run(2 * w.settings.lease);
        ASSERT_EQ(w.task_starts("req-000001"), 1) << w.format_history();
        // From now on the machine is not heard, and the holder can ask whether its lease was renewed.
        w.block_reports_from(machine, true);
        for (int i = 0; i < w.node_count(); ++i)
            if (i != holder) w.heal_link(host(holder), host(i));
        w.run(2 * w.settings.lease);
        EXPECT_NO_VIOLATIONS(w);
    }
}

}  // namespace
}  // namespace cottonway::test
