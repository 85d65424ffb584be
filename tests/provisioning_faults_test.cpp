// Provisioning faults and overload that occurred in operation, without the combinations of faults
// that fault_combinations_test.cpp covers.
#include <gtest/gtest.h>

#include "simulation/simulation.h"

namespace lichendrift::simulation {
namespace {

// Provisioned machines never leave the state `starting`: others are provisioned in their place long
// before they are released, and in the end they are released, so that they don't cost money for
// ever.
TEST(ProvisioningFaults, MachinesThatNeverRegisterAreReplacedAndReleased) {
    auto options = fault_free_options(300);
    options.machines = 0;
    Simulation simulation(options);
    simulation.set_capacity(30);
    simulation.set_never_boots_share(1.0);
    auto j = batch_job("job-000001", 4, 20, 1000);
    j.cpus = 8;
    simulation.jobs().push_back(j);
    simulation.at(12'000, [&] { simulation.set_never_boots_share(0); });
    simulation.advance(60'000);
    EXPECT_TRUE(simulation.jobs()[0].done_reported);
    simulation.advance(100'000);
    for (const auto& [name, w] : simulation.workers()) {
        if (w.never_boots) {
            EXPECT_TRUE(w.gone) << name;
        }
    }
    EXPECT_LE(simulation.workers().size(), 16U);
    EXPECT_EQ(simulation.violation(), "");
}

// A machine that comes up long after its tasks were placed elsewhere is used for other tasks or
// released.
TEST(ProvisioningFaults, LateMachinesAreUsedOrReleased) {
    auto options = fault_free_options(301);
    options.machines = 0;
    Simulation simulation(options);
    simulation.set_capacity(12);
    simulation.set_boot_time(40'000);
    auto j = batch_job("job-000001", 4, 20, 1000);
    j.cpus = 8;
    simulation.jobs().push_back(j);
    simulation.at(14'000, [&] { simulation.set_boot_time(2000); });
    simulation.advance(230'000);
    EXPECT_TRUE(simulation.jobs()[0].done_reported);
    std::size_t remaining = 0;
    for (const auto& [name, w] : simulation.workers()) remaining += w.gone ? 0 : 1;
    EXPECT_LE(remaining, 1U);
    EXPECT_EQ(simulation.violation(), "");
}

// Many users poll their jobs at the same time: one read of the state service serves all requests
// that wait for it, and leases and jobs are not affected.
TEST(ProvisioningFaults, FloodOfStatusRequestsCostsFewReadsAndNoLease) {
    Simulation simulation(fault_free_options(302));
    for (std::size_t n = 0; n < 6; ++n)
        simulation.jobs().push_back(batch_job(numbered_job_id(n), 1, 60));
    simulation.advance(12'000);
    const auto leader = simulation.leader();
    const auto reads = simulation.state_requests();
    const std::size_t requests = 6000;
    for (std::size_t i = 0; i < requests; ++i) {
        simulation.at(12'000 + static_cast<Millis>(i * 20'000 / requests), [&simulation, i] {
            simulation.send_counted(i % 3, {"GET", "/v2/runs/" + numbered_job_id(i % 6), ""});
        });
    }
    simulation.advance(35'000);
    EXPECT_EQ(simulation.counted_replies(), requests);
    // The bound covers three nodes, each with at most one read per 120 ms, and the requests for
    // renewals, watches and records.
    EXPECT_LT(simulation.state_requests() - reads, 23U * 3 * 12);
    EXPECT_EQ(simulation.leader(), leader);
    for (const auto& [name, w] : simulation.workers()) EXPECT_EQ(w.session, 1U) << name;
    EXPECT_EQ(simulation.run(), "");
}

// A team without a guarantee submits one huge array, long sweeps and many small jobs. They use the
// free capacity, give it up for the other team's guarantee, and all of them finish.
TEST(ProvisioningFaults, TeamWithoutGuaranteeUsesSpareCapacityAndStarvesNobody) {
    auto options = fault_free_options(303);
    options.machines = 4;
    options.teams = {{"core", {16'000, 0, 0}, {}}, {"guests", {}, {}}};
    Simulation simulation(options);
    simulation.set_capacity(5);
    const auto guest = [&](std::size_t n, std::uint32_t count, double run_s, const char* cls) {
        auto j = batch_job(numbered_job_id(n), count, run_s, 1000 + static_cast<Millis>(n) * 30);
        j.team = "guests";
        j.priority = "low";
        j.cls = cls;
        return j;
    };
    simulation.jobs().push_back(guest(1, 600, 2, "array"));
    for (std::size_t n = 2; n < 8; ++n) simulation.jobs().push_back(guest(n, 3, 40, "sweep"));
    for (std::size_t n = 8; n < 108; ++n) simulation.jobs().push_back(guest(n, 1, 3, "swarm"));
    for (std::size_t n = 200; n < 212; ++n) {
        auto j = batch_job(numbered_job_id(n), 2, 8, 15'000 + static_cast<Millis>(n - 200) * 4000);
        j.cpus = 3;
        j.cls = "own";
        simulation.jobs().push_back(j);
    }
    EXPECT_EQ(simulation.run(), "");
    for (const auto& j : simulation.jobs()) {
        if (j.cls == "own") {
            EXPECT_LT(j.first_run_at - j.submit_at, 15'000) << j.id;
        }
    }
}

// A job with an error of its own fails on every machine until its user cancels it. It is kept and
// retried with increasing delays, and neither machines nor other jobs are affected.
TEST(ProvisioningFaults, JobThatAlwaysFailsIsKeptAndCanBeCancelled) {
    for (const std::size_t nodes : {3, 5}) {
        auto options = fault_free_options(304);
        options.nodes = nodes;
        Simulation simulation(options);
        for (std::size_t n = 0; n < 3; ++n) {
            auto bad = batch_job(numbered_job_id(n), 2, 10);
            bad.always_fails = true;
            bad.kind = n == 2 ? "ensemble" : "sweep";
            bad.cancel_at = 120'000;
            simulation.jobs().push_back(bad);
        }
        for (std::size_t n = 10; n < 22; ++n) {
            simulation.jobs().push_back(
                batch_job(numbered_job_id(n), 2, 8, static_cast<Millis>(n) * 3000));
        }
        simulation.at(40'000, [&] { simulation.crash(*simulation.leader(), 3000); });
        EXPECT_EQ(simulation.run(), "");
        EXPECT_LT(simulation.workers().size(), 12U);
        for (std::size_t n = 0; n < 3; ++n) {
            EXPECT_GE(simulation.jobs()[n].cancel_confirmed_at, 0);
            EXPECT_LT(simulation.jobs()[n].starts, 40U);
        }
    }
}

}  // namespace
}  // namespace lichendrift::simulation
