// Names as long as the maximum of a message between controllers, and longer ones.

#include <gtest/gtest.h>

#include "peer/messages.hpp"
#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

constexpr std::size_t kMaxNameLength = peer::kNameSize - 1;

// A task ran twice: the name of a machine was truncated in the message that asks other controllers not to
// renew its lease. The answer was for an unknown machine, whose lease nobody had renewed.
TEST(LongMachineNames, DoNotMakeALeaseLookUnrenewed) {
    constexpr std::size_t kDigits = 6;
    for (const std::size_t length : {kMaxNameLength - 1, kMaxNameLength, kMaxNameLength + 1}) {
        SCOPED_TRACE(length);
        Simulator simulator(3);
        simulator.cloud().machine_name_prefix = std::string(length - kDigits, 'n');
        for (int i = 0; i < 3; ++i) simulator.add_machine("small", "a");
        simulator.start_nodes();
        simulator.run(6 * kSecond);
        simulator.submit(simulator.make_job(2, JobKind::Service, 3, 3),
                         0);  // one task on each machine, so that none is returned to the cloud
        simulator.run(5 * kSecond);
        simulator.submit(simulator.make_job(1, JobKind::Array, 1), 300 * kSecond);
        simulator.run(30 * kSecond);  // controllers renew no leases for others earlier
        ASSERT_EQ(simulator.running_tasks("req-000001"), 1) << simulator.format_history();
        const int holder = simulator.owner_node();
        const std::string machine = *simulator.machines_running("req-000001").begin();
        ASSERT_EQ(machine.size(), length);
        // Another controller renews the lease on the holder's behalf.
        simulator.cut_link(host(holder), machine);
        for (int i = 0; i < simulator.node_count(); ++i)
            if (i != holder) simulator.cut_link(host(holder), host(i));
        simulator.run(2 * simulator.settings.worker_lease);
        ASSERT_EQ(simulator.task_starts("req-000001"), 1) << simulator.format_history();
        // From now on the machine's reports are lost, and the holder can ask whether its lease was renewed.
        simulator.block_reports_from(machine, true);
        for (int i = 0; i < simulator.node_count(); ++i)
            if (i != holder) simulator.heal_link(host(holder), host(i));
        simulator.run(2 * simulator.settings.worker_lease);
        EXPECT_NO_VIOLATIONS(simulator);
    }
}

}  // namespace
}  // namespace cottonway::test
