// Two or more faults at once, each day aimed at one combination. What guards against each is listed
// in docs/design.md, "Fault combinations".
#include <gtest/gtest.h>

#include <random>

#include "core/cluster.h"
#include "simulation/simulation.h"

namespace lichendrift::simulation {
namespace {

// ---- a cancellation that the acting leader cannot see ----

struct Gap {
    const char* name;
    std::size_t nodes = 3;
    bool apart = false;  // the leader is cut from its peers as well
    bool ends = false;   // the confirming controller ends right after its answer
    bool lost = false;   // and its announcements to the others are lost
    bool back = false;   // it is back at once, and has forgotten
    bool old = false;    // the peers are of a build that knows none of the messages
};

// The state service refuses the leader alone, another controller confirms a cancellation, and then
// the service is out for all, longer than cancel_s. The first term never ends, nobody else can win,
// and the leader went on renewing the leases of machines with cancelled tasks.
class CancelledBehindTheLeader : public ::testing::TestWithParam<Gap> {
  public:
    static std::string day(const Gap& gap, core::SafetyGuards guards, std::uint64_t seed) {
        auto options = calm(seed);
        options.nodes = gap.nodes;
        options.old_peers = gap.old;
        options.guards = guards;
        Simulation simulation(options);
        for (std::size_t n = 0; n < 6; ++n) {
            auto j = plain(numbered(n), 1 + static_cast<std::uint32_t>(n % 2), 120);
            j.kind = n % 3 == 0 ? "ensemble" : "sweep";
            simulation.jobs().push_back(j);
        }
        simulation.advance(20'000);
        const auto leader = simulation.leader();
        if (!leader) return "no leader";
        const auto other = (*leader + 1) % gap.nodes;
        for (auto& [name, w] : simulation.workers()) w.node = *leader;
        simulation.refuse_node(*leader, 60'000);
        if (gap.apart) simulation.cut("n" + std::to_string(*leader), "n", 60'000, false);
        if (gap.lost && !gap.back) {
            simulation.cut("n" + std::to_string(*leader), "n" + std::to_string(other), 60'000,
                           false);
        }
        if (gap.back) simulation.cut("n" + std::to_string(other), "n", 790, false);
        simulation.advance(20'300);
        for (std::size_t n = 0; n < 4; ++n) simulation.cancel(simulation.jobs()[n], other);
        simulation.advance(20'800);
        for (std::size_t n = 0; n < 4; ++n) {
            if (simulation.jobs()[n].cancel_confirmed_at < 0)
                return "the cancellation was not confirmed";
        }
        if (gap.ends) simulation.crash(other, gap.lost && !gap.back ? 60'000 : 1000);
        simulation.state_outage(50'000);
        simulation.advance(69'000);
        if (simulation.leader() && *simulation.leader() != *leader) return "another leader came";
        simulation.advance(110'000);
        return simulation.broken();
    }
};

TEST_P(CancelledBehindTheLeader, IsGoneInTime) {
    for (std::uint64_t seed = 200; seed < 204; ++seed) {
        EXPECT_EQ(day(GetParam(), {}, seed), "");
        if (GetParam().apart || GetParam().back || GetParam().old) {
            // Announcements alone are not enough where nobody can send them.
            auto unbound = core::SafetyGuards{};
            unbound.cancellations_bound_leases = false;
            EXPECT_TRUE(day(GetParam(), unbound, seed).starts_with("ran_cancelled"));
        }
        auto neither = core::SafetyGuards{};
        neither.cancellations_announced = neither.cancellations_bound_leases = false;
        EXPECT_TRUE(day(GetParam(), neither, seed).starts_with("ran_cancelled"));
        // The bound on lease renewals is enough by itself.
        auto untold = core::SafetyGuards{};
        untold.cancellations_announced = false;
        EXPECT_EQ(day(GetParam(), untold, seed), "");
    }
}
INSTANTIATE_TEST_SUITE_P(
    Gaps, CancelledBehindTheLeader,
    ::testing::Values(Gap{"Three", 3}, Gap{"Five", 5}, Gap{"ThreeApart", 3, true},
                      Gap{"FiveApart", 5, true}, Gap{"ConfirmerEnds", 3, false, true},
                      Gap{"ConfirmerEndsUnheard", 3, false, true, true},
                      Gap{"ConfirmerOfFiveEndsUnheard", 5, false, true, true},
                      Gap{"ConfirmerForgets", 3, false, true, true, true},
                      Gap{"ConfirmerOfFiveForgets", 5, false, true, true, true},
                      Gap{"OlderPeers", 3, false, false, false, false, true}),
    [](const auto& param) { return std::string(param.param.name); });

// Another one wins, and the service goes out before it has read a record: it raised the tokens
// and renewed the leases of all workers that reported, with cancelled tasks or not.
// It may have confirmed them itself, in an earlier run that it has forgotten.
class LeaderWithoutItsRecords : public ::testing::TestWithParam<bool> {};

TEST_P(LeaderWithoutItsRecords, RenewsNoCancelledWork) {
    const bool forgot = GetParam();
    int broken = 0;
    for (const bool guarded : {true, false}) {
        for (std::uint64_t seed = 220; seed < 226; ++seed) {
            auto options = calm(seed);
            options.guards.cancellations_bound_leases = guarded;
            Simulation simulation(options);
            for (std::size_t n = 0; n < 6; ++n)
                simulation.jobs().push_back(plain(numbered(n), 1, 120));
            simulation.advance(20'000);
            const auto old = simulation.leader();
            ASSERT_TRUE(old);
            simulation.freeze(*old, 10'000);
            simulation.advance(20'300);
            for (std::size_t n = 0; n < 4; ++n)
                simulation.cancel(simulation.jobs()[n], (*old + 1) % 3);
            simulation.advance(20'500);
            simulation.crash(*old, 60'000);
            if (forgot) {
                simulation.advance(20'600);
                simulation.crash((*old + 1) % 3, 300);
                simulation.crash((*old + 2) % 3, 60'000);
            }
            while (!simulation.leader()) simulation.advance(simulation.now() + 1);
            ASSERT_GE(simulation.jobs()[0].cancel_confirmed_at, 0);
            // Before what the new leader reads can have come back.
            simulation.state_outage(50'000);
            simulation.advance(100'000);
            if (guarded) {
                EXPECT_EQ(simulation.broken(), "") << seed;
            }
            if (simulation.broken().starts_with("ran_cancelled")) ++broken;
        }
    }
    EXPECT_GT(broken, 0);
}

INSTANTIATE_TEST_SUITE_P(Runs, LeaderWithoutItsRecords, ::testing::Bool(), [](const auto& param) {
    return std::string(param.param ? "ThatConfirmedInAnEarlierRun" : "ThatAnotherConfirmed");
});

// A leader that has just lost the state service and its peers has a valid lease for seconds more,
// and an unconfirmed run is sent again as soon as its machine is reached: the job was cancelled
// meanwhile.
TEST(FaultCombinations, LeaderThatHearsNothingStartsNothingOnAnOldCopy) {
    for (const bool guarded : {true, false}) {
        int broken = 0;
        for (Millis later = 1300; later < 2600; later += 50) {
            auto options = calm(230);
            options.late_start_ms = 1050;
            options.guards.runs_need_fresh_jobs = guarded;
            Simulation simulation(options);
            simulation.set_capacity(3);
            auto j = plain("job-000001", 3, 60, 11'000);
            j.cpus = 8;
            j.spot = false;
            simulation.jobs().push_back(j);
            simulation.advance(10'990);
            for (auto& [name, w] : simulation.workers())
                simulation.block_inbound(w, 1110 + later, false);
            simulation.advance(12'100);
            ASSERT_TRUE(simulation.store().contains("place/job-000001/0"));
            const auto old = simulation.leader();
            ASSERT_TRUE(old);
            simulation.isolate(*old, 20'000, false);
            simulation.advance(12'300);
            simulation.cancel(simulation.jobs()[0], (*old + 1) % 3);
            simulation.advance(12'100 + later);
            for (auto& [name, w] : simulation.workers()) {
                w.node = *old;
                w.next_heartbeat = simulation.now();
            }
            simulation.advance(40'000);
            ASSERT_GE(simulation.jobs()[0].cancel_confirmed_at, 0);
            if (guarded) {
                EXPECT_EQ(simulation.broken(), "") << later;
            }
            if (simulation.broken().starts_with("started_cancelled")) ++broken;
        }
        EXPECT_EQ(broken > 0, !guarded);
    }
}

// Cancelled work on a machine that hangs, and the leader ends: the next one has no heartbeat of it
// and does not know since when it is silent, yet the bound on the cancellation holds.
TEST(FaultCombinations, HangingMachineWithCancelledWorkIsReleasedInTimeByTheNextLeader) {
    for (const std::size_t nodes : {3, 5}) {
        for (Millis later = 200; later < 7000; later += 1100) {
            auto options = calm(240);
            options.nodes = nodes;
            Simulation simulation(options);
            for (std::size_t n = 0; n < 6; ++n)
                simulation.jobs().push_back(plain(numbered(n), 1, 60));
            simulation.advance(15'000);
            simulation.cancel_now(2, 60'000);
            simulation.advance(15'000 + later);
            simulation.crash(*simulation.leader(), 3000);
            simulation.advance(80'000);
            EXPECT_EQ(simulation.broken(), "") << later << " of " << nodes;
        }
    }
}

// The last machine of a fleet hangs for ever: it counted as a fault on the controllers' side, and
// its job waited.
TEST(FaultCombinations, LastMachineOfTheFleetThatHangsIsGivenUp) {
    auto options = calm(250);
    options.machines = 1;
    Simulation simulation(options);
    simulation.set_capacity(1);
    auto j = plain("job-000001", 1, 200);
    simulation.jobs().push_back(j);
    simulation.advance(60'000);
    ASSERT_EQ(simulation.total_starts(), 1U);
    simulation.workers().begin()->second.hung_until = 10'000'000;
    simulation.advance(150'000);
    EXPECT_GE(simulation.total_starts(), 2U);
    EXPECT_EQ(simulation.broken(), "");
}

// It has to be apart, one zone has resources for all of it and the other none: each plan
// provisioned one more machine in the first, and the last that the cloud had went there.
TEST(FaultCombinations, JobThatMustBeApartProvisionsInTheZoneThatLacksResources) {
    auto options = calm(251);
    options.machines = 0;
    Simulation simulation(options);
    for (int i = 0; i < 5; ++i) simulation.add_worker("b", false);
    simulation.set_capacity(6);
    auto j = plain("job-000001", 2, 10, 2000);
    j.kind = "ensemble";
    j.apart = true;
    j.spot = false;
    simulation.jobs().push_back(j);
    simulation.advance(60'000);
    EXPECT_TRUE(simulation.jobs()[0].done_reported);
    EXPECT_LE(simulation.workers().size(), 7U);
    EXPECT_EQ(simulation.broken(), "");
}

// Cancelled between the two reads of a failover, open jobs and placement records: it had no known
// tasks yet, was forgotten, and its team's quota was given to others while its tasks ran on.
TEST(FaultCombinations, CancelledAmidATakeOverItStillCountsUntilItsTasksAreGone) {
    for (const bool guarded : {true, false}) {
        core::NameTable types;
        core::NameTable zones;
        core::ClusterSettings settings;
        settings.teams = {{"core", {}, {4000, 0, 0}}};
        settings.token = 7;
        settings.guards.keep_ended_jobs_until_records_loaded = guarded;
        core::Cluster cluster(settings, types, zones);
        core::JobDescription job;
        job.id = "job-000001";
        job.team = "core";
        job.cpus = 4;
        cluster.await_records();
        cluster.add_job(job, 1, 1000);
        cluster.on_job_terminal(job.id, true, 1010);
        EXPECT_EQ(cluster.has_job(job.id), guarded);
        cluster.load_record(job.id, 0, {3, 1, {{0, 30'000'001, "host-000001", 1}}, {}}, 5, 1020);
        cluster.records_loaded();
        EXPECT_EQ(cluster.has_job(job.id), guarded);
        const auto snapshot = cluster.snapshot(1030, 1030);
        EXPECT_EQ(snapshot.team_used.at(0).cpus, guarded ? 4000 : 0);
        // And it ends when a report shows that nothing is there.
        core::Report report;
        report.machine = "host-000001";
        report.endpoint = "10.0.0.1:1";
        report.session = 1;
        report.seq = 9;
        report.token = 7;
        cluster.on_report(report, true, 1100);
        EXPECT_FALSE(cluster.has_job(job.id));
        EXPECT_EQ(cluster.snapshot(1110, 1110).team_used.at(0).cpus, 0);
    }
}

// ---- the combinations that the operators name, in their order ----

struct Combination {
    const char* name;
    std::function<void(Options&)> set;
    std::function<void(Simulation&, std::size_t nodes)> bring;
};

void crash_all(Simulation& simulation, std::size_t nodes, Millis back) {
    for (std::size_t n = 0; n < nodes; ++n) simulation.crash(n, back);
}

void crash_leader(Simulation& simulation, Millis back) {
    if (const auto l = simulation.leader()) simulation.crash(*l, back);
}

// Every n-th of the machines that are up.
std::vector<Worker*> some(Simulation& simulation, std::size_t every) {
    std::vector<Worker*> out;
    std::size_t k = 0;
    for (auto& [name, w] : simulation.workers()) {
        if (w.up && !w.gone && k++ % every == 0) out.push_back(&w);
    }
    return out;
}

const std::vector<Combination>& combinations() {
    static const std::vector<Combination> all{
        {"ZoneBoundJobsLoseMachines",
         {},
         [](Simulation& w, std::size_t) {
             for (Millis t = 9000; t < 50'000; t += 7000) {
                 w.at(t, [&w] {
                     if (auto lost = some(w, 3); !lost.empty()) w.lose_worker(*lost.back());
                 });
             }
         }},
        {"ReportsHeldUntilANewLeaderHasActed",
         {},
         [](Simulation& w, std::size_t nodes) {
             for (Millis t = 12'000; t < 60'000; t += 15'000) {
                 w.at(t, [&w, nodes] {
                     const auto l = w.leader().value_or(0);
                     // To every other node, so that whichever wins gets them late.
                     for (auto* m : some(w, 2)) {
                         for (std::size_t n = 0; n < nodes; ++n) {
                             if (n != l) w.cut(m->name, "n" + std::to_string(n), 9000, true);
                         }
                     }
                     w.at(w.now() + 1500, [&w] { crash_leader(w, 3000); });
                 });
             }
         }},
        {"TasksEndFarApartAcrossLeaders",
         {},
         [](Simulation& w, std::size_t) {
             for (Millis t = 8000; t < 70'000; t += 6500) {
                 w.at(t, [&w, t] { crash_leader(w, t % 2 == 0 ? 200 : 3000); });
             }
         }},
        {"LateTransactions",
         {},
         [](Simulation& w, std::size_t) {
             w.at(5000, [&w] { w.late_writes(0.35, 50'000); });
             for (Millis t = 12'000; t < 60'000; t += 9000) {
                 w.at(t, [&w, t] { crash_leader(w, t % 2 == 0 ? 150 : 3000); });
             }
         }},
        {"AllAwayForLongerThanALease",
         {},
         [](Simulation& w, std::size_t nodes) {
             w.at(15'000, [&w, nodes] { crash_all(w, nodes, 14'000); });
             w.at(50'000, [&w, nodes] { crash_all(w, nodes, 9000); });
         }},
        {"MoreWorkThanRoomOverSlowLinks", [](Options& o) { o.machines = 2; },
         [](Simulation& w, std::size_t) {
             // The largest gang that is bound to a zone needs three machines of it. A capacity of
             // four for both zones together, as no cloud has it, let two such gangs of different
             // zones keep two each for ever.
             w.set_zone_capacity(3);
             w.at(5000, [&w] { w.slow_links(500, 50'000); });
         }},
        {"MachinesThatReachNoController",
         {},
         [](Simulation& w, std::size_t) {
             for (Millis t = 10'000; t < 60'000; t += 16'000) {
                 w.at(t, [&w, t] {
                     for (auto* m : some(w, t == 10'000 ? 1 : 2)) w.block_outbound(*m, 14'000);
                 });
             }
         }},
        {"LeaderEndsWhileMachinesAreNotReached",
         {},
         [](Simulation& w, std::size_t) {
             for (Millis t = 11'000; t < 60'000; t += 17'000) {
                 w.at(t, [&w, t] {
                     bool unreachable = t % 2 == 0;
                     for (auto* m : some(w, 2)) {
                         if (unreachable) w.block_inbound(*m, 12'000, t % 3 == 0);
                         if (!unreachable) w.cut(m->name, "n", 12'000, t % 3 == 0);
                         unreachable = !unreachable;
                     }
                     crash_leader(w, 4000);
                 });
             }
         }},
        {"LeaderKeepsOnlyWorkersAndUsersWhileJobsAreCancelled",
         {},
         [](Simulation& w, std::size_t) {
             for (Millis t = 12'000; t < 60'000; t += 24'000) {
                 w.at(t, [&w, t] {
                     if (const auto l = w.leader()) w.isolate(*l, 20'000, t == 12'000);
                 });
                 for (Millis c = 500; c < 20'000; c += 2500) {
                     w.at(t + c, [&w] { w.cancel_now(1, 0); });
                 }
             }
         }},
        {"ZoneWithAControllerCutOff",
         {},
         [](Simulation& w, std::size_t) {
             w.at(10'000, [&w] { w.cut_zone("a", "", 14'000, true); });
             w.at(12'000, [&w] { w.cancel_now(2, 0); });
             w.at(40'000, [&w] { w.cut_zone("b", "", 14'000, false); });
             w.at(42'000, [&w] { w.cancel_now(2, 0); });
         }},
        {"TeamAtItsLimitWhenTheLeaderChanges",
         [](Options& o) {
             o.teams = {{"core", {4000, 0, 0}, {12'000, 0, 0}}, {"side", {}, {6000, 0, 0}}};
         },
         [](Simulation& w, std::size_t) {
             for (Millis t = 10'000; t < 60'000; t += 15'000) {
                 w.at(t, [&w] {
                     for (auto* m : some(w, 2)) w.cut(m->name, "n", 9000, false);
                     crash_leader(w, 3000);
                 });
                 // Also between the reads of the failover.
                 for (Millis c = 100; c < 5000; c += 350) {
                     w.at(t + c, [&w, c] {
                         if (c % 700 == 100) w.cancel_now(1, 0);
                     });
                 }
             }
         }},
        {"TenLeadersInTwoMinutesAndAnOutage", [](Options& o) { o.busy_ms = 130'000; },
         [](Simulation& w, std::size_t) {
             for (Millis t = 8000; t < 128'000; t += 12'000) {
                 w.at(t, [&w, t] { crash_leader(w, t % 3 == 0 ? 300 : 3000); });
             }
             w.at(60'000, [&w] { w.state_outage(28'000); });
         }},
        {"SlowThenRefusedThenOutWhileUsersCancel",
         {},
         [](Simulation& w, std::size_t) {
             w.at(8000, [&w] { w.slow_state(600, 20'000); });
             w.at(20'000, [&w] {
                 if (const auto l = w.leader()) w.refuse_node(*l, 40'000);
             });
             for (Millis t = 9000; t < 26'000; t += 600) {
                 w.at(t, [&w, t] {
                     if (t % 1800 == 0) w.cancel_now(1, 0);
                     w.odd_request();
                 });
             }
             w.at(21'700, [&w] { w.state_outage(32'000); });
         }},
        {"HandedOverAndBackAllEndAndOneReturns",
         {},
         [](Simulation& w, std::size_t nodes) {
             for (Millis t = 9000; t < 20'000; t += 1700) {
                 w.at(t, [&w] { crash_leader(w, 120); });
             }
             w.at(25'000, [&w, nodes] {
                 for (std::size_t n = 0; n < nodes; ++n) w.crash(n, n == 1 ? 400 : 20'000);
             });
             w.at(50'000, [&w, nodes] {
                 for (std::size_t n = 0; n < nodes; ++n) w.crash(n, n == 0 ? 100 : 900);
             });
         }},
        {"CommandsAndAnswersHeldUp",
         {},
         [](Simulation& w, std::size_t) {
             for (Millis t = 8000; t < 60'000; t += 6000) {
                 w.at(t, [&w, t] {
                     for (auto* m : some(w, 2)) {
                         if (t % 4000 == 0) w.block_inbound(*m, 5000, true);
                         if (t % 4000 != 0 && m->hung_until + 9000 < w.now()) {
                             m->hung_until = w.now() + 5000;
                         }
                     }
                     if (t % 18'000 == 8000) crash_leader(w, 2000);
                     w.cancel_now(1, 0);
                 });
             }
         }},
        {"OldReportsAfterNewerOnes",
         [](Options& o) {
             o.lossy_messages = true;
             o.late_copy = 0.3;
         },
         [](Simulation& w, std::size_t) {
             w.at(20'000, [&w] {
                 for (auto* m : some(w, 2)) w.block_outbound(*m, 12'000);
             });
             w.at(40'000, [&w] { crash_leader(w, 3000); });
         }},
        {"CancelMeetsTheLastTask",
         {},
         [](Simulation& w, std::size_t) {
             for (auto& j : w.jobs()) j.cancel_at_end = true;
             for (Millis t = 5000; t < 70'000; t += 250) w.at(t, [&w] { w.odd_request(); });
         }},
    };
    return all;
}

class NamedCombination : public ::testing::TestWithParam<std::size_t> {};

TEST_P(NamedCombination, KeepsTheRules) {
    const auto& combination = combinations()[GetParam()];
    for (std::uint64_t seed = 0; seed < 10; ++seed) {
        auto options = calm(1000 + seed);
        options.nodes = seed % 2 == 0 ? 3 : 5;
        options.machines = 5;
        if (combination.set) combination.set(options);
        Simulation simulation(options);
        std::mt19937_64 rng(seed);
        for (std::size_t n = 0; n < 16; ++n) {
            auto j = random_job(rng, n, options.busy_ms - 15'000);
            // Zone-bound and apart ones, and two or three tasks that end far apart.
            if (n % 4 == 1) j.zone = n % 8 == 1 ? "a" : "b";
            if (j.zone) j.apart = false;
            if (n % 4 == 2) {
                j.kind = "sweep";
                j.count = 2 + static_cast<std::uint32_t>(n % 3 == 0);
                j.run_s = 25;
            }
            if (n % 5 == 0) j.run_s = 40;
            simulation.jobs().push_back(j);
        }
        combination.bring(simulation, options.nodes);
        EXPECT_EQ(simulation.run(), "") << combination.name << " of " << options.nodes;
        EXPECT_GT(simulation.total_starts(), 10U);
    }
}
INSTANTIATE_TEST_SUITE_P(Operators, NamedCombination,
                         ::testing::Range(std::size_t{0}, combinations().size()),
                         [](const auto& param) { return combinations()[param.param].name; });

// The bound must not cost work where the peers' answers show that nothing was cancelled.
TEST(FaultCombinations, OutageLongerThanCancelsCostsNoTaskWhilePeersAnswer) {
    for (const std::size_t nodes : {3, 5}) {
        auto options = calm(210);
        options.nodes = nodes;
        Simulation simulation(options);
        auto j = plain("job-000001", 4, 70);
        j.spot = false;
        simulation.jobs().push_back(j);
        simulation.jobs().push_back(plain("job-000002", 1, 70));
        simulation.at(9000, [&] { simulation.cancel(simulation.jobs()[1]); });
        simulation.at(10'000, [&] { simulation.state_outage(50'000); });
        simulation.advance(120'000);
        EXPECT_EQ(simulation.broken(), "");
        EXPECT_TRUE(simulation.jobs()[0].done_reported);
        EXPECT_EQ(simulation.jobs()[0].starts, 4U);
        for (const auto& [name, w] : simulation.workers()) {
            if (!w.gone) {
                EXPECT_EQ(w.session, 1U) << name << " of " << nodes;
            }
        }
    }
}

}  // namespace
}  // namespace lichendrift::simulation
