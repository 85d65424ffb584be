// Simulations with one scripted failure each, aimed at one guard of the safety argument.
#include <gtest/gtest.h>

#include "simulation/simulation.h"

namespace lichendrift::simulation {
namespace {

TEST(Safety, AllControllersRestartAtOnceAndTasksGoOn) {
    Simulation simulation(fault_free_options(1));
    simulation.jobs().push_back(batch_job("job-000001", 4, 25));
    simulation.at(10'000, [&] {
        for (std::size_t n = 0; n < 3; ++n) simulation.crash(n, 2000);
    });
    EXPECT_EQ(simulation.run(), "");
    // No task was started again: the new leader found all of them still running.
    EXPECT_EQ(simulation.total_starts(), 4U);
}

TEST(Safety, ThereIsALeaderSoonAfterTheLeaderRestarts) {
    Simulation simulation(fault_free_options(2));
    simulation.advance(5000);
    const auto first = simulation.leader();
    ASSERT_TRUE(first);
    simulation.crash(*first, 150);
    simulation.advance(6500);
    ASSERT_TRUE(simulation.leader());
    EXPECT_EQ(simulation.violation(), "");
}

TEST(Safety, NewLeaderReleasesNoMachineThatHasBeenUpForLong) {
    // The list that the new leader gets from the cloud shows machines far older than a boot takes,
    // and none of them has sent it a heartbeat yet.
    Simulation simulation(fault_free_options(14));
    auto j = batch_job("job-000001", 3, 200);
    j.cpus = 8;      // each task fills a machine, so that none is idle
    j.spot = false;  // so that no task is moved to a cheaper machine
    simulation.jobs().push_back(j);
    simulation.advance(90'000);
    std::set<std::string> before;
    for (const auto& [name, w] : simulation.workers()) {
        if (w.gone) before.insert(name);
    }
    const auto first = simulation.leader();
    ASSERT_TRUE(first);
    simulation.crash(*first, 3000);
    for (auto& [name, w] : simulation.workers()) w.hung_until = simulation.now() + 6000;
    simulation.advance(110'000);
    for (const auto& [name, w] : simulation.workers()) {
        EXPECT_EQ(w.gone, before.contains(name)) << name;
    }
    EXPECT_EQ(simulation.total_starts(), 3U);
    EXPECT_EQ(simulation.violation(), "");
}

TEST(Safety, ControllersCrashDuringElections) {
    Simulation simulation(fault_free_options(3));
    simulation.jobs().push_back(batch_job("job-000001", 3, 15));
    for (Millis t = 6000; t < 16000; t += 700) {
        simulation.at(t, [&simulation, n = static_cast<std::size_t>(t / 700 % 3)] {
            simulation.crash(n, 400);
        });
    }
    EXPECT_EQ(simulation.run(), "");
}

TEST(Safety, TasksSurviveAStateServiceOutageLongerThanAWorkersLease) {
    Simulation simulation(fault_free_options(4));
    simulation.jobs().push_back(batch_job("job-000001", 4, 30));
    simulation.at(8000, [&] { simulation.state_outage(25'000); });
    EXPECT_EQ(simulation.run(), "");
    EXPECT_EQ(simulation.total_starts(), 4U);
    for (const auto& [name, worker] : simulation.workers()) EXPECT_EQ(worker.session, 1U) << name;
}

TEST(Safety, AllControllersRestartDuringAStateServiceOutage) {
    Simulation simulation(fault_free_options(5));
    simulation.jobs().push_back(batch_job("job-000001", 4, 20));
    simulation.at(8000, [&] {
        simulation.state_outage(15'000);
        for (std::size_t n = 0; n < 3; ++n) simulation.crash(n, 1000);
    });
    EXPECT_EQ(simulation.run(), "");
}

TEST(Safety, LeaderRefusedByTheStateServiceAloneIsReplaced) {
    Simulation simulation(fault_free_options(6));
    simulation.advance(5000);
    const auto old = simulation.leader();
    ASSERT_TRUE(old);
    simulation.refuse_state_requests(*old, 30'000);
    simulation.advance(12'000);
    ASSERT_TRUE(simulation.leader());
    EXPECT_NE(*simulation.leader(), *old);
    EXPECT_EQ(simulation.violation(), "");
}

TEST(Safety, LeaderPartitionedFromEverythingComesBackAsAFollower) {
    for (const bool delay : {true, false}) {
        Simulation simulation(fault_free_options(7));
        simulation.jobs().push_back(batch_job("job-000001", 6, 20));
        simulation.advance(5000);
        const auto old = simulation.leader();
        ASSERT_TRUE(old);
        simulation.partition("n" + std::to_string(*old), "", 20'000, delay);
        EXPECT_EQ(simulation.run(), "");
    }
}

TEST(Safety, HungMachineIsReleasedBeforeItsTasksGoElsewhere) {
    Simulation simulation(fault_free_options(8));
    simulation.jobs().push_back(batch_job("job-000001", 3, 20));
    simulation.at(9000, [&] {
        for (auto& [name, w] : simulation.workers()) {
            if (!w.tasks.empty()) {
                w.hung_until = simulation.now() + 15'000;
                break;
            }
        }
    });
    EXPECT_EQ(simulation.run(), "");
}

TEST(Safety, JobCancelledWhileItsLastTaskEnds) {
    for (int i = 0; i < 25; ++i) {
        Simulation simulation(fault_free_options(100 + static_cast<std::uint64_t>(i)));
        auto j = batch_job("job-000001", 2, 6);
        j.cancel_at = 9000 + i * 100;
        simulation.jobs().push_back(j);
        EXPECT_EQ(simulation.run(), "");
    }
}

// After a reap the worker no longer knows the attempt. A late duplicate of the direct command that
// had started it, although answered long ago, started it again after the job was cancelled.
TEST(Safety, DuplicatesOfExecutedDirectCommandsStartNothing) {
    Simulation simulation(fault_free_options(15));
    auto j = batch_job("job-000001", 4, 60);
    j.cancel_at = 15'000;
    simulation.jobs().push_back(j);
    simulation.jobs().push_back(batch_job("job-000002", 4, 6, 2000));
    simulation.record_direct_commands();
    simulation.at(50'000, [&] { simulation.replay_direct_commands(); });
    simulation.at(55'000, [&] {
        for (const auto& [name, w] : simulation.workers()) {
            for (const auto& t : w.tasks) EXPECT_NE(t.job, "job-000001") << name;
            // Exited tasks are still reaped and do not stay in the reports.
            EXPECT_LE(w.tasks.size(), 1U) << name;
        }
    });
    EXPECT_EQ(simulation.run(), "");
    EXPECT_EQ(simulation.total_starts(), 8U);
}

TEST(Safety, CancellationWithoutALeaderIsConfirmed) {
    Simulation simulation(fault_free_options(9));
    auto j = batch_job("job-000001", 4, 60);
    j.cancel_at = 12'100;
    simulation.jobs().push_back(j);
    simulation.at(12'000, [&] {
        if (auto l = simulation.leader()) simulation.crash(*l, 6000);
    });
    EXPECT_EQ(simulation.run(), "");
    EXPECT_GE(simulation.jobs()[0].cancel_confirmed_at, 0);
}

TEST(Safety, ZoneConstraintsCountEarlierAttempts) {
    // Machines are lost or hang under jobs with zone constraints; the checker sees every start.
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        Simulation simulation(fault_free_options(seed));
        for (std::size_t i = 0; i < 6; ++i) {
            auto j = batch_job(numbered_job_id(i), 4, 14, static_cast<Millis>(i * 2000));
            j.kind = i % 2 == 0 ? "ensemble" : "sweep";
            j.one_zone = i % 3 != 0;
            j.apart = !j.one_zone;
            simulation.jobs().push_back(j);
        }
        for (Millis t = 9000; t < 40'000; t += 4000) {
            simulation.at(t, [&simulation, t] {
                std::size_t k = 0;
                for (auto& [name, w] : simulation.workers()) {
                    if (w.up && !w.gone && k++ == static_cast<std::size_t>(t / 4000) % 3) {
                        if (t % 8000 == 1000) {
                            simulation.lose_worker(w);
                        } else {
                            w.hung_until = t + 10'000;
                        }
                    }
                }
            });
        }
        EXPECT_EQ(simulation.run(), "");
    }
}

TEST(Safety, JobThatFailsEverywhereCausesNoMachineChurn) {
    Simulation simulation(fault_free_options(10));
    auto bad = batch_job("job-000001", 4, 10);
    bad.always_fails = true;
    simulation.jobs().push_back(bad);
    simulation.jobs().push_back(batch_job("job-000002", 6, 10, 20'000));
    EXPECT_EQ(simulation.run(), "");
    // Three machines at the start and a few provisioned later: not a new one for each failure.
    EXPECT_LT(simulation.workers().size(), 8U);
    EXPECT_LT(simulation.jobs()[0].starts, 60U);
}

TEST(Safety, MachineThatFailsEveryTaskIsReplaced) {
    Simulation simulation(fault_free_options(11));
    for (std::size_t i = 0; i < 6; ++i) {
        simulation.jobs().push_back(
            batch_job(numbered_job_id(i), 3, 8, static_cast<Millis>(i * 3000)));
    }
    simulation.workers().begin()->second.fails_tasks = true;
    EXPECT_EQ(simulation.run(), "");
}

TEST(Safety, BurstStaysUnderTheWriteLimit) {
    Simulation simulation(fault_free_options(12));
    simulation.set_capacity(8);
    for (std::size_t i = 0; i < 120; ++i) {
        simulation.jobs().push_back(
            batch_job(numbered_job_id(i), 2, 3, 10'000 + static_cast<Millis>(i * 20)));
    }
    EXPECT_EQ(simulation.run(), "");
    EXPECT_LE(simulation.peak_writes_per_second(), 60U);
}

TEST(Safety, HundredThousandTasksStayWithinTheLimits) {
    Simulation simulation(fault_free_options(13));
    auto big = batch_job("job-000001", 100'000, 2);
    big.cancel_at = 60'000;
    simulation.jobs().push_back(big);
    simulation.jobs().push_back(batch_job("job-000002", 2, 4, 30'000));
    EXPECT_EQ(simulation.run(), "");
    EXPECT_GT(simulation.jobs()[0].done_tasks.size(), 50U);
    EXPECT_GE(simulation.jobs()[0].cancel_confirmed_at, 0);
}

}  // namespace
}  // namespace lichendrift::simulation
