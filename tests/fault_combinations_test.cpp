// Two or more faults at the same time. Each test or case covers one combination; the safety guard
// against each is listed in docs/design.md, "Fault combinations".
#include <gtest/gtest.h>

#include <random>

#include "core/cluster.h"
#include "simulation/simulation.h"

namespace lichendrift::simulation {
namespace {

// ---- a cancellation that the acting leader does not know of ----

struct CancellationCase {
    const char* name;
    std::size_t nodes = 3;
    bool leader_partitioned = false;  // the leader is partitioned from its peers as well
    bool confirmer_crashes = false;   // the confirming controller crashes right after its answer
    bool announcements_lost = false;  // its announcements to the leader are lost as well
    bool confirmer_restarts = false;  // it restarts at once and no longer knows the cancellations
    bool old_peers = false;  // the peers run a version without the messages about cancellations
};

// Prints the name of the case in lists of tests instead of its bytes.
void PrintTo(const CancellationCase& test_case, std::ostream* out) { *out << test_case.name; }

// Guards against running cancelled tasks too long: the state service refuses only the leader,
// another controller confirms a cancellation, and then the service is out for all controllers for
// longer than cancel_s. No other controller can be elected meanwhile, so the leader keeps its term;
// it used to go on renewing the leases of machines with cancelled tasks.
class CancellationUnknownToLeader : public ::testing::TestWithParam<CancellationCase> {
  public:
    static std::string run_case(const CancellationCase& test_case, core::SafetyGuards guards,
                                std::uint64_t seed) {
        auto options = fault_free_options(seed);
        options.nodes = test_case.nodes;
        options.peers_without_cancel_messages = test_case.old_peers;
        options.guards = guards;
        Simulation simulation(options);
        for (std::size_t n = 0; n < 6; ++n) {
            auto j = batch_job(numbered_job_id(n), 1 + static_cast<std::uint32_t>(n % 2), 120);
            j.kind = n % 3 == 0 ? "ensemble" : "sweep";
            simulation.jobs().push_back(j);
        }
        simulation.advance(20'000);
        const auto leader = simulation.leader();
        if (!leader) return "no leader";
        const auto other = (*leader + 1) % test_case.nodes;
        for (auto& [name, w] : simulation.workers()) w.node = *leader;
        simulation.refuse_state_requests(*leader, 60'000);
        if (test_case.leader_partitioned)
            simulation.partition("n" + std::to_string(*leader), "n", 60'000, false);
        if (test_case.announcements_lost && !test_case.confirmer_restarts) {
            simulation.partition("n" + std::to_string(*leader), "n" + std::to_string(other), 60'000,
                                 false);
        }
        if (test_case.confirmer_restarts)
            simulation.partition("n" + std::to_string(other), "n", 790, false);
        simulation.advance(20'300);
        for (std::size_t n = 0; n < 4; ++n) simulation.cancel(simulation.jobs()[n], other);
        simulation.advance(20'800);
        for (std::size_t n = 0; n < 4; ++n) {
            if (simulation.jobs()[n].cancel_confirmed_at < 0)
                return "the cancellation was not confirmed";
        }
        if (test_case.confirmer_crashes)
            simulation.crash(other, test_case.announcements_lost && !test_case.confirmer_restarts
                                        ? 60'000
                                        : 1000);
        simulation.state_outage(50'000);
        simulation.advance(69'000);
        if (simulation.leader() && *simulation.leader() != *leader) return "another leader came";
        simulation.advance(110'000);
        return simulation.violation();
    }
};

TEST_P(CancellationUnknownToLeader, TasksEndInTime) {
    for (std::uint64_t seed = 200; seed < 204; ++seed) {
        EXPECT_EQ(run_case(GetParam(), {}, seed), "");
        if (GetParam().leader_partitioned || GetParam().confirmer_restarts ||
            GetParam().old_peers) {
            // Announcements alone are not enough where no controller can deliver them.
            auto without_bound = core::SafetyGuards{};
            without_bound.cancellations_bound_leases = false;
            EXPECT_TRUE(run_case(GetParam(), without_bound, seed).starts_with("ran_cancelled"));
        }
        auto neither = core::SafetyGuards{};
        neither.cancellations_announced = neither.cancellations_bound_leases = false;
        EXPECT_TRUE(run_case(GetParam(), neither, seed).starts_with("ran_cancelled"));
        // The bound on lease renewals is enough by itself.
        auto without_announcements = core::SafetyGuards{};
        without_announcements.cancellations_announced = false;
        EXPECT_EQ(run_case(GetParam(), without_announcements, seed), "");
    }
}
INSTANTIATE_TEST_SUITE_P(
    Cases, CancellationUnknownToLeader,
    ::testing::Values(CancellationCase{"Three", 3}, CancellationCase{"Five", 5},
                      CancellationCase{"ThreeLeaderPartitioned", 3, true},
                      CancellationCase{"FiveLeaderPartitioned", 5, true},
                      CancellationCase{"ConfirmerCrashes", 3, false, true},
                      CancellationCase{"ConfirmerCrashesUnheard", 3, false, true, true},
                      CancellationCase{"ConfirmerOfFiveCrashesUnheard", 5, false, true, true},
                      CancellationCase{"ConfirmerRestarts", 3, false, true, true, true},
                      CancellationCase{"ConfirmerOfFiveRestarts", 5, false, true, true, true},
                      CancellationCase{"OlderPeers", 3, false, false, false, false, true}),
    [](const auto& param) { return std::string(param.param.name); });

// Guards against a new leader that renews the leases of cancelled tasks: it is elected, and the
// state service fails before it has read any placement record. It used to raise the tokens and
// renew the leases of all workers that sent heartbeats, also of those with cancelled tasks. The new
// leader may even have confirmed the cancellations itself, before a restart.
class NewLeaderWithoutRecords : public ::testing::TestWithParam<bool> {};

TEST_P(NewLeaderWithoutRecords, RenewsNoLeaseOfCancelledTasks) {
    const bool forgot = GetParam();
    int broken = 0;
    for (const bool guarded : {true, false}) {
        for (std::uint64_t seed = 220; seed < 226; ++seed) {
            auto options = fault_free_options(seed);
            options.guards.cancellations_bound_leases = guarded;
            Simulation simulation(options);
            for (std::size_t n = 0; n < 6; ++n)
                simulation.jobs().push_back(batch_job(numbered_job_id(n), 1, 120));
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
            // The outage begins before the new leader's reads can be answered.
            simulation.state_outage(50'000);
            simulation.advance(100'000);
            if (guarded) {
                EXPECT_EQ(simulation.violation(), "") << seed;
            }
            if (simulation.violation().starts_with("ran_cancelled")) ++broken;
        }
    }
    EXPECT_GT(broken, 0);
}

INSTANTIATE_TEST_SUITE_P(Runs, NewLeaderWithoutRecords, ::testing::Bool(), [](const auto& param) {
    return std::string(param.param ? "ConfirmedByItselfBeforeARestart" : "ConfirmedByAnother");
});

// A leader that has just lost the state service and its peers has a valid lease for some seconds
// more. It must not resend an unconfirmed run when the machine becomes reachable again, as the job
// may have been cancelled since the leader's last read of the open jobs.
TEST(FaultCombinations, IsolatedLeaderStartsNoTaskFromAStaleCopyOfTheJobs) {
    for (const bool guarded : {true, false}) {
        int broken = 0;
        for (Millis offset = 1300; offset < 2600; offset += 50) {
            auto options = fault_free_options(230);
            options.late_start_ms = 1050;
            options.guards.runs_need_fresh_jobs = guarded;
            Simulation simulation(options);
            simulation.set_capacity(3);
            auto j = batch_job("job-000001", 3, 60, 11'000);
            j.cpus = 8;
            j.spot = false;
            simulation.jobs().push_back(j);
            simulation.advance(10'990);
            for (auto& [name, w] : simulation.workers())
                simulation.block_inbound(w, 1110 + offset, false);
            simulation.advance(12'100);
            ASSERT_TRUE(simulation.store().contains("place/job-000001/0"));
            const auto old = simulation.leader();
            ASSERT_TRUE(old);
            simulation.isolate(*old, 20'000, false);
            simulation.advance(12'300);
            simulation.cancel(simulation.jobs()[0], (*old + 1) % 3);
            simulation.advance(12'100 + offset);
            for (auto& [name, w] : simulation.workers()) {
                w.node = *old;
                w.next_heartbeat = simulation.now();
            }
            simulation.advance(40'000);
            ASSERT_GE(simulation.jobs()[0].cancel_confirmed_at, 0);
            if (guarded) {
                EXPECT_EQ(simulation.violation(), "") << offset;
            }
            if (simulation.violation().starts_with("started_cancelled")) ++broken;
        }
        EXPECT_EQ(broken > 0, !guarded);
    }
}

// Machines with cancelled tasks hang, and the leader crashes. The next leader never received their
// heartbeats and does not know how long they have been silent; the cancelled tasks still have to
// end within cancel_s.
TEST(FaultCombinations, NextLeaderReleasesHangingMachinesWithCancelledTasksInTime) {
    for (const std::size_t nodes : {3, 5}) {
        for (Millis offset = 200; offset < 7000; offset += 1100) {
            auto options = fault_free_options(240);
            options.nodes = nodes;
            Simulation simulation(options);
            for (std::size_t n = 0; n < 6; ++n)
                simulation.jobs().push_back(batch_job(numbered_job_id(n), 1, 60));
            simulation.advance(15'000);
            simulation.cancel_running_jobs(2, 60'000);
            simulation.advance(15'000 + offset);
            simulation.crash(*simulation.leader(), 3000);
            simulation.advance(80'000);
            EXPECT_EQ(simulation.violation(), "") << offset << " of " << nodes;
        }
    }
}

// The only machine of a fleet hangs for good. Its silence used to be taken for a fault on the
// controllers' side, so the machine was kept and its job never ran again.
TEST(FaultCombinations, HangingOnlyMachineOfTheFleetIsReplaced) {
    auto options = fault_free_options(250);
    options.machines = 1;
    Simulation simulation(options);
    simulation.set_capacity(1);
    auto j = batch_job("job-000001", 1, 200);
    simulation.jobs().push_back(j);
    simulation.advance(60'000);
    ASSERT_EQ(simulation.total_starts(), 1U);
    simulation.workers().begin()->second.hung_until = 10'000'000;
    simulation.advance(150'000);
    EXPECT_GE(simulation.total_starts(), 2U);
    EXPECT_EQ(simulation.violation(), "");
}

// The tasks of the job must run in different zones; one zone has room for all of them, the other
// has no machine. Each plan used to provision one more machine in the first zone, until the cloud
// had none left for the second.
TEST(FaultCombinations, JobThatMustRunInSeveralZonesProvisionsInTheZoneThatLacksResources) {
    auto options = fault_free_options(251);
    options.machines = 0;
    Simulation simulation(options);
    for (int i = 0; i < 5; ++i) simulation.add_worker("b", false);
    simulation.set_capacity(6);
    auto j = batch_job("job-000001", 2, 10, 2000);
    j.kind = "ensemble";
    j.apart = true;
    j.spot = false;
    simulation.jobs().push_back(j);
    simulation.advance(60'000);
    EXPECT_TRUE(simulation.jobs()[0].done_reported);
    EXPECT_LE(simulation.workers().size(), 7U);
    EXPECT_EQ(simulation.violation(), "");
}

// A failover reads the open jobs first, then the placement records. A job cancelled between the two
// reads had no known tasks yet: it used to be forgotten, and its team's quota was given to other
// jobs while its tasks still ran.
TEST(FaultCombinations, JobCancelledDuringAFailoverCountsAgainstTheQuotaUntilItsTasksHaveEnded) {
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
        cluster.on_records_loaded();
        EXPECT_EQ(cluster.has_job(job.id), guarded);
        const auto snapshot = cluster.snapshot(1030, 1030);
        EXPECT_EQ(snapshot.team_used.at(0).cpus, guarded ? 4000 : 0);
        // The job is removed once a report shows that the machine runs none of its tasks.
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

// ---- the combinations that the operators list, in the order of their list ----

struct Combination {
    const char* name;
    std::function<void(Options&)> set_options;
    std::function<void(Simulation&, std::size_t nodes)> inject_faults;
};

void crash_all(Simulation& simulation, std::size_t nodes, Millis back) {
    for (std::size_t n = 0; n < nodes; ++n) simulation.crash(n, back);
}

void crash_leader(Simulation& simulation, Millis back) {
    if (const auto l = simulation.leader()) simulation.crash(*l, back);
}

// Every `every`-th of the machines that are up, beginning with the first.
std::vector<Worker*> every_nth_worker(Simulation& simulation, std::size_t every) {
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
         [](Simulation& sim, std::size_t) {
             for (Millis t = 9000; t < 50'000; t += 7000) {
                 sim.at(t, [&sim] {
                     if (auto lost = every_nth_worker(sim, 3); !lost.empty())
                         sim.lose_worker(*lost.back());
                 });
             }
         }},
        {"HeartbeatsDelayedUntilANewLeaderHasActed",
         {},
         [](Simulation& sim, std::size_t nodes) {
             for (Millis t = 12'000; t < 60'000; t += 15'000) {
                 sim.at(t, [&sim, nodes] {
                     const auto l = sim.leader().value_or(0);
                     // Delays heartbeats to every other node, so that any new leader gets them
                     // late.
                     for (auto* m : every_nth_worker(sim, 2)) {
                         for (std::size_t n = 0; n < nodes; ++n) {
                             if (n != l)
                                 sim.partition(m->name, "n" + std::to_string(n), 9000, true);
                         }
                     }
                     sim.at(sim.now() + 1500, [&sim] { crash_leader(sim, 3000); });
                 });
             }
         }},
        {"TasksEndFarApartAcrossLeaders",
         {},
         [](Simulation& sim, std::size_t) {
             for (Millis t = 8000; t < 70'000; t += 6500) {
                 sim.at(t, [&sim, t] { crash_leader(sim, t % 2 == 0 ? 200 : 3000); });
             }
         }},
        {"LateTransactions",
         {},
         [](Simulation& sim, std::size_t) {
             sim.at(5000, [&sim] { sim.late_writes(0.35, 50'000); });
             for (Millis t = 12'000; t < 60'000; t += 9000) {
                 sim.at(t, [&sim, t] { crash_leader(sim, t % 2 == 0 ? 150 : 3000); });
             }
         }},
        {"AllControllersDownForLongerThanALease",
         {},
         [](Simulation& sim, std::size_t nodes) {
             sim.at(15'000, [&sim, nodes] { crash_all(sim, nodes, 14'000); });
             sim.at(50'000, [&sim, nodes] { crash_all(sim, nodes, 9000); });
         }},
        {"MoreWorkThanCapacityOverSlowLinks", [](Options& o) { o.machines = 2; },
         [](Simulation& sim, std::size_t) {
             // The largest gang that is bound to a zone needs three machines there. The capacity
             // is per zone, as in a real cloud: with a shared capacity of four, two such gangs in
             // different zones could each hold two machines for ever.
             sim.set_zone_capacity(3);
             sim.at(5000, [&sim] { sim.slow_links(500, 50'000); });
         }},
        {"MachinesThatReachNoController",
         {},
         [](Simulation& sim, std::size_t) {
             for (Millis t = 10'000; t < 60'000; t += 16'000) {
                 sim.at(t, [&sim, t] {
                     for (auto* m : every_nth_worker(sim, t == 10'000 ? 1 : 2))
                         sim.block_outbound(*m, 14'000);
                 });
             }
         }},
        {"LeaderCrashesWhileMachinesAreUnreachable",
         {},
         [](Simulation& sim, std::size_t) {
             for (Millis t = 11'000; t < 60'000; t += 17'000) {
                 sim.at(t, [&sim, t] {
                     bool unreachable = t % 2 == 0;
                     for (auto* m : every_nth_worker(sim, 2)) {
                         if (unreachable) sim.block_inbound(*m, 12'000, t % 3 == 0);
                         if (!unreachable) sim.partition(m->name, "n", 12'000, t % 3 == 0);
                         unreachable = !unreachable;
                     }
                     crash_leader(sim, 4000);
                 });
             }
         }},
        {"LeaderKeepsOnlyWorkersAndUsersWhileJobsAreCancelled",
         {},
         [](Simulation& sim, std::size_t) {
             for (Millis t = 12'000; t < 60'000; t += 24'000) {
                 sim.at(t, [&sim, t] {
                     if (const auto l = sim.leader()) sim.isolate(*l, 20'000, t == 12'000);
                 });
                 for (Millis c = 500; c < 20'000; c += 2500) {
                     sim.at(t + c, [&sim] { sim.cancel_running_jobs(1, 0); });
                 }
             }
         }},
        {"ZoneWithAControllerCutOff",
         {},
         [](Simulation& sim, std::size_t) {
             sim.at(10'000, [&sim] { sim.partition_zone("a", "", 14'000, true); });
             sim.at(12'000, [&sim] { sim.cancel_running_jobs(2, 0); });
             sim.at(40'000, [&sim] { sim.partition_zone("b", "", 14'000, false); });
             sim.at(42'000, [&sim] { sim.cancel_running_jobs(2, 0); });
         }},
        {"TeamAtItsLimitWhenTheLeaderChanges",
         [](Options& o) {
             o.teams = {{"core", {4000, 0, 0}, {12'000, 0, 0}}, {"side", {}, {6000, 0, 0}}};
         },
         [](Simulation& sim, std::size_t) {
             for (Millis t = 10'000; t < 60'000; t += 15'000) {
                 sim.at(t, [&sim] {
                     for (auto* m : every_nth_worker(sim, 2))
                         sim.partition(m->name, "n", 9000, false);
                     crash_leader(sim, 3000);
                 });
                 // Cancels jobs at intervals, also between the reads of the failover.
                 for (Millis c = 100; c < 5000; c += 350) {
                     sim.at(t + c, [&sim, c] {
                         if (c % 700 == 100) sim.cancel_running_jobs(1, 0);
                     });
                 }
             }
         }},
        {"TenLeadersInTwoMinutesAndAnOutage", [](Options& o) { o.busy_ms = 130'000; },
         [](Simulation& sim, std::size_t) {
             for (Millis t = 8000; t < 128'000; t += 12'000) {
                 sim.at(t, [&sim, t] { crash_leader(sim, t % 3 == 0 ? 300 : 3000); });
             }
             sim.at(60'000, [&sim] { sim.state_outage(28'000); });
         }},
        {"StateServiceSlowThenRefusingThenOutWhileUsersCancel",
         {},
         [](Simulation& sim, std::size_t) {
             sim.at(8000, [&sim] { sim.slow_state(600, 20'000); });
             sim.at(20'000, [&sim] {
                 if (const auto l = sim.leader()) sim.refuse_state_requests(*l, 40'000);
             });
             for (Millis t = 9000; t < 26'000; t += 600) {
                 sim.at(t, [&sim, t] {
                     if (t % 1800 == 0) sim.cancel_running_jobs(1, 0);
                     sim.send_unusual_request();
                 });
             }
             sim.at(21'700, [&sim] { sim.state_outage(32'000); });
         }},
        {"RapidLeaderChangesThenAllCrashAndOneReturns",
         {},
         [](Simulation& sim, std::size_t nodes) {
             for (Millis t = 9000; t < 20'000; t += 1700) {
                 sim.at(t, [&sim] { crash_leader(sim, 120); });
             }
             sim.at(25'000, [&sim, nodes] {
                 for (std::size_t n = 0; n < nodes; ++n) sim.crash(n, n == 1 ? 400 : 20'000);
             });
             sim.at(50'000, [&sim, nodes] {
                 for (std::size_t n = 0; n < nodes; ++n) sim.crash(n, n == 0 ? 100 : 900);
             });
         }},
        {"CommandsAndAnswersDelayed",
         {},
         [](Simulation& sim, std::size_t) {
             for (Millis t = 8000; t < 60'000; t += 6000) {
                 sim.at(t, [&sim, t] {
                     for (auto* m : every_nth_worker(sim, 2)) {
                         if (t % 4000 == 0) sim.block_inbound(*m, 5000, true);
                         if (t % 4000 != 0 && m->hung_until + 9000 < sim.now()) {
                             m->hung_until = sim.now() + 5000;
                         }
                     }
                     if (t % 18'000 == 8000) crash_leader(sim, 2000);
                     sim.cancel_running_jobs(1, 0);
                 });
             }
         }},
        {"OldHeartbeatsAfterNewerOnes",
         [](Options& o) {
             o.lossy_messages = true;
             o.delayed_copy_share = 0.3;
         },
         [](Simulation& sim, std::size_t) {
             sim.at(20'000, [&sim] {
                 for (auto* m : every_nth_worker(sim, 2)) sim.block_outbound(*m, 12'000);
             });
             sim.at(40'000, [&sim] { crash_leader(sim, 3000); });
         }},
        {"CancellationAsTheLastTaskEnds",
         {},
         [](Simulation& sim, std::size_t) {
             for (auto& j : sim.jobs()) j.cancel_at_end = true;
             for (Millis t = 5000; t < 70'000; t += 250)
                 sim.at(t, [&sim] { sim.send_unusual_request(); });
         }},
    };
    return all;
}

class NamedCombination : public ::testing::TestWithParam<std::size_t> {};

TEST_P(NamedCombination, ViolatesNoRule) {
    const auto& combination = combinations()[GetParam()];
    for (std::uint64_t seed = 0; seed < 10; ++seed) {
        auto options = fault_free_options(1000 + seed);
        options.nodes = seed % 2 == 0 ? 3 : 5;
        options.machines = 5;
        if (combination.set_options) combination.set_options(options);
        Simulation simulation(options);
        std::mt19937_64 rng(seed);
        for (std::size_t n = 0; n < 16; ++n) {
            auto j = random_job(rng, n, options.busy_ms - 15'000);
            // Some jobs are bound to a zone, and some have tasks that end far apart in time.
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
        combination.inject_faults(simulation, options.nodes);
        EXPECT_EQ(simulation.run(), "") << combination.name << " of " << options.nodes;
        EXPECT_GT(simulation.total_starts(), 10U);
    }
}
INSTANTIATE_TEST_SUITE_P(Operators, NamedCombination,
                         ::testing::Range(std::size_t{0}, combinations().size()),
                         [](const auto& param) { return combinations()[param.param].name; });

// The bound on lease renewals must not cost a job its tasks while the peers' answers show that the
// job was not cancelled.
TEST(FaultCombinations, OutageLongerThanCancelSCostsNoTaskWhilePeersAnswer) {
    for (const std::size_t nodes : {3, 5}) {
        auto options = fault_free_options(210);
        options.nodes = nodes;
        Simulation simulation(options);
        auto j = batch_job("job-000001", 4, 70);
        j.spot = false;
        simulation.jobs().push_back(j);
        simulation.jobs().push_back(batch_job("job-000002", 1, 70));
        simulation.at(9000, [&] { simulation.cancel(simulation.jobs()[1]); });
        simulation.at(10'000, [&] { simulation.state_outage(50'000); });
        simulation.advance(120'000);
        EXPECT_EQ(simulation.violation(), "");
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
