// Scripted days: one failure each, aimed at one guard.
#include <gtest/gtest.h>

#include "simulation/world.h"

namespace lichendrift::simulation {
namespace {

TEST(Safety, AllControllersRestartAtOnceAndTasksGoOn) {
    Simulation world(calm(1));
    world.jobs().push_back(plain("job-000001", 4, 25));
    world.at(10'000, [&] {
        for (std::size_t n = 0; n < 3; ++n) world.crash(n, 2000);
    });
    EXPECT_EQ(world.run(), "");
    // Nothing was started again: the new leader found everything where it was.
    EXPECT_EQ(world.total_starts(), 4U);
}

TEST(Safety, LeaderRestartedWithinMomentsTakesOverAtOnce) {
    Simulation world(calm(2));
    world.advance(5000);
    const auto first = world.leader();
    ASSERT_TRUE(first);
    world.crash(*first, 150);
    world.advance(6500);
    ASSERT_TRUE(world.leader());
    EXPECT_EQ(world.broken(), "");
}

TEST(Safety, NewLeaderGivesUpNoMachineThatHasBeenUpForLong) {
    // Its list shows machines far older than a boot takes, none of which it has heard yet.
    Simulation world(calm(14));
    auto j = plain("job-000001", 3, 200);
    j.cpus = 8;      // a machine each, so that none is idle
    j.spot = false;  // nor emptied onto a cheaper one
    world.jobs().push_back(j);
    world.advance(90'000);
    std::set<std::string> before;
    for (const auto& [name, w] : world.workers()) {
        if (w.gone) before.insert(name);
    }
    const auto first = world.leader();
    ASSERT_TRUE(first);
    world.crash(*first, 3000);
    for (auto& [name, w] : world.workers()) w.hung_until = world.now() + 6000;
    world.advance(110'000);
    for (const auto& [name, w] : world.workers()) {
        EXPECT_EQ(w.gone, before.contains(name)) << name;
    }
    EXPECT_EQ(world.total_starts(), 3U);
    EXPECT_EQ(world.broken(), "");
}

TEST(Safety, ControllersDyingDuringTheElection) {
    Simulation world(calm(3));
    world.jobs().push_back(plain("job-000001", 3, 15));
    for (Millis t = 6000; t < 16000; t += 700) {
        world.at(t, [&world, n = static_cast<std::size_t>(t / 700 % 3)] { world.crash(n, 400); });
    }
    EXPECT_EQ(world.run(), "");
}

TEST(Safety, StateServiceOutLongerThanAWorkersLease) {
    Simulation world(calm(4));
    world.jobs().push_back(plain("job-000001", 4, 30));
    world.at(8000, [&] { world.state_outage(25'000); });
    EXPECT_EQ(world.run(), "");
    EXPECT_EQ(world.total_starts(), 4U);
    for (const auto& [name, worker] : world.workers()) EXPECT_EQ(worker.session, 1U) << name;
}

TEST(Safety, StateServiceOutWhileAllControllersRestart) {
    Simulation world(calm(5));
    world.jobs().push_back(plain("job-000001", 4, 20));
    world.at(8000, [&] {
        world.state_outage(15'000);
        for (std::size_t n = 0; n < 3; ++n) world.crash(n, 1000);
    });
    EXPECT_EQ(world.run(), "");
}

TEST(Safety, LeaderRefusedByTheStateServiceAloneIsReplaced) {
    Simulation world(calm(6));
    world.advance(5000);
    const auto old = world.leader();
    ASSERT_TRUE(old);
    world.refuse_node(*old, 30'000);
    world.advance(12'000);
    ASSERT_TRUE(world.leader());
    EXPECT_NE(*world.leader(), *old);
    EXPECT_EQ(world.broken(), "");
}

TEST(Safety, LeaderCutFromEverythingComesBackAsAFollower) {
    for (const bool hold : {true, false}) {
        Simulation world(calm(7));
        world.jobs().push_back(plain("job-000001", 6, 20));
        world.advance(5000);
        const auto old = world.leader();
        ASSERT_TRUE(old);
        world.cut("n" + std::to_string(*old), "", 20'000, hold);
        EXPECT_EQ(world.run(), "");
    }
}

TEST(Safety, HungMachineIsReturnedBeforeItsTasksGoElsewhere) {
    Simulation world(calm(8));
    world.jobs().push_back(plain("job-000001", 3, 20));
    world.at(9000, [&] {
        for (auto& [name, w] : world.workers()) {
            if (!w.tasks.empty()) {
                w.hung_until = world.now() + 15'000;
                break;
            }
        }
    });
    EXPECT_EQ(world.run(), "");
}

TEST(Safety, CancelRacingTheLastTask) {
    for (int i = 0; i < 25; ++i) {
        Simulation world(calm(100 + static_cast<std::uint64_t>(i)));
        auto j = plain("job-000001", 2, 6);
        j.cancel_at = 9000 + i * 100;
        world.jobs().push_back(j);
        EXPECT_EQ(world.run(), "");
    }
}

// After the reap the worker does not know the attempt any more: a copy of the direct command that
// ran it, though it was answered long ago, started it again after its user had cancelled it.
TEST(Safety, RepeatsOfDirectCommandsThatWereCarriedOutStartNothing) {
    Simulation world(calm(15));
    auto j = plain("job-000001", 4, 60);
    j.cancel_at = 15'000;
    world.jobs().push_back(j);
    world.jobs().push_back(plain("job-000002", 4, 6, 2000));
    world.keep_direct();
    world.at(50'000, [&] { world.repeat_direct(); });
    world.at(55'000, [&] {
        for (const auto& [name, w] : world.workers()) {
            for (const auto& t : w.tasks) EXPECT_NE(t.job, "job-000001") << name;
            // Exited tasks do not stay in the reports for it.
            EXPECT_LE(w.tasks.size(), 1U) << name;
        }
    });
    EXPECT_EQ(world.run(), "");
    EXPECT_EQ(world.total_starts(), 8U);
}

TEST(Safety, CancelledWhileNobodyLeads) {
    Simulation world(calm(9));
    auto j = plain("job-000001", 4, 60);
    j.cancel_at = 12'100;
    world.jobs().push_back(j);
    world.at(12'000, [&] {
        if (auto l = world.leader()) world.crash(*l, 6000);
    });
    EXPECT_EQ(world.run(), "");
    EXPECT_GE(world.jobs()[0].cancelled_told, 0);
}

TEST(Safety, OneZoneAndApartCountOldAttempts) {
    // Machines are lost and hang under jobs with zone rules; the checker sees every start.
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        Simulation world(calm(seed));
        for (std::size_t i = 0; i < 6; ++i) {
            auto j = plain(numbered(i), 4, 14, static_cast<Millis>(i * 2000));
            j.kind = i % 2 == 0 ? "ensemble" : "sweep";
            j.one_zone = i % 3 != 0;
            j.apart = !j.one_zone;
            world.jobs().push_back(j);
        }
        for (Millis t = 9000; t < 40'000; t += 4000) {
            world.at(t, [&world, t] {
                std::size_t k = 0;
                for (auto& [name, w] : world.workers()) {
                    if (w.up && !w.gone && k++ == static_cast<std::size_t>(t / 4000) % 3) {
                        if (t % 8000 == 1000) {
                            world.lose_worker(w);
                        } else {
                            w.hung_until = t + 10'000;
                        }
                    }
                }
            });
        }
        EXPECT_EQ(world.run(), "");
    }
}

TEST(Safety, JobThatFailsEverywhereCondemnsNoMachines) {
    Simulation world(calm(10));
    auto bad = plain("job-000001", 4, 10);
    bad.always_fails = true;
    world.jobs().push_back(bad);
    world.jobs().push_back(plain("job-000002", 6, 10, 20'000));
    EXPECT_EQ(world.run(), "");
    // Three machines at the start, a few rented: not a new one for each failure.
    EXPECT_LT(world.workers().size(), 8U);
    EXPECT_LT(world.jobs()[0].starts, 60U);
}

TEST(Safety, MachineThatFailsEveryTaskIsReplaced) {
    Simulation world(calm(11));
    for (std::size_t i = 0; i < 6; ++i) {
        world.jobs().push_back(plain(numbered(i), 3, 8, static_cast<Millis>(i * 3000)));
    }
    world.workers().begin()->second.sick = true;
    EXPECT_EQ(world.run(), "");
}

TEST(Safety, BurstStaysUnderTheWriteLimit) {
    Simulation world(calm(12));
    world.set_capacity(8);
    for (std::size_t i = 0; i < 120; ++i) {
        world.jobs().push_back(plain(numbered(i), 2, 3, 10'000 + static_cast<Millis>(i * 20)));
    }
    EXPECT_EQ(world.run(), "");
    EXPECT_LE(world.highest_writes(), 60U);
}

TEST(Safety, HundredThousandTasksStayWithinTheLimits) {
    Simulation world(calm(13));
    auto big = plain("job-000001", 100'000, 2);
    big.cancel_at = 60'000;
    world.jobs().push_back(big);
    world.jobs().push_back(plain("job-000002", 2, 4, 30'000));
    EXPECT_EQ(world.run(), "");
    EXPECT_GT(world.jobs()[0].done_tasks.size(), 50U);
    EXPECT_GE(world.jobs()[0].cancelled_told, 0);
}

}  // namespace
}  // namespace lichendrift::simulation
