// Faults in fleets where many machines or controllers are affected at the same time. Each test
// covers one safety guard.
#include <gtest/gtest.h>

#include "simulation/simulation.h"

namespace lichendrift::simulation {
namespace {

Options fleet_options(std::uint64_t seed, std::size_t machines, std::size_t nodes = 3) {
    auto options = fault_free_options(seed);
    options.nodes = nodes;
    options.machines = machines;
    options.report_s = 3;
    options.lease_s = 22;
    options.cancel_s = 52;
    options.teams = {{"core", {}, {}}, {"side", {}, {}}};
    return options;
}

Job whole_machines(std::size_t number, std::uint32_t count, double run_s, Millis submit_at = 0) {
    auto j = batch_job(numbered_job_id(number), count, run_s, submit_at);
    j.cpus = 8;
    j.spot = false;
    return j;
}

// The names of the workers that are gone or had to begin a new session.
std::vector<std::string> lost_workers(Simulation& simulation) {
    std::vector<std::string> out;
    for (const auto& [name, w] : simulation.workers()) {
        if (w.gone || w.session > 1) out.push_back(name);
    }
    return out;
}

// A controller process is paused and resumes without knowing that time has passed: another
// controller may have been elected, and all delayed answers and timers are due at the same time.
class PausedController : public ::testing::TestWithParam<Millis> {};

TEST_P(PausedController, CostsNoTaskAsLeaderAsFollowerOrDuringElectionOrFailover) {
    const auto pause_ms = GetParam();
    for (const std::size_t nodes : {3, 5}) {
        for (int phase = 0; phase < 4; ++phase) {
            Simulation simulation(fleet_options(50, 6, nodes));
            simulation.set_capacity(6);
            simulation.jobs().push_back(whole_machines(1, 6, 70));
            simulation.advance(12'000);
            const auto first = simulation.leader();
            ASSERT_TRUE(first);
            const auto other = (*first + 1) % nodes;
            if (phase == 0) simulation.freeze(*first, pause_ms);
            if (phase == 1) simulation.freeze(other, pause_ms);
            if (phase == 2) {
                // All candidates but one pause at different moments of the election.
                simulation.crash(*first, 3000);
                for (std::size_t n = 0; n < nodes; ++n) {
                    const auto at = simulation.now() + static_cast<Millis>(n) * 40;
                    if (n != other)
                        simulation.at(
                            at, [&simulation, n, pause_ms] { simulation.freeze(n, pause_ms); });
                }
            }
            if (phase == 3) {
                simulation.crash(*first, 3000);
                while (!simulation.leader()) simulation.advance(simulation.now() + 1);
                simulation.freeze(*simulation.leader(), pause_ms);
            }
            simulation.advance(70'000);
            EXPECT_EQ(lost_workers(simulation), std::vector<std::string>{}) << "case " << phase;
            EXPECT_EQ(simulation.run(), "") << "case " << phase << " of " << nodes;
            EXPECT_EQ(simulation.total_starts(), 6U) << "case " << phase << " of " << nodes;
        }
    }
}
INSTANTIATE_TEST_SUITE_P(Millis, PausedController, ::testing::Values(700, 2900, 4500, 9000, 25'000),
                         [](const auto& param) { return std::to_string(param.param); });

// The leader pauses when it is about to release an idle machine, and the next leader places tasks
// on that machine. A release request carries no token, so the cloud can't refuse a stale one: the
// old leader must not send it when it resumes.
TEST(Fleet, PausedLeaderReleasesNoMachineThatTheNextLeaderUses) {
    const auto run_first_job = [](Simulation& simulation) {
        simulation.set_capacity(6);
        simulation.jobs().push_back(whole_machines(1, 6, 5));
        simulation.advance(8000);
        ASSERT_TRUE(simulation.leader());
    };
    Simulation first(fleet_options(51, 6));
    run_first_job(first);
    while (lost_workers(first).empty() && first.now() < 200'000) first.advance(first.now() + 10);
    const auto released = first.now();
    ASSERT_LT(released, 200'000);
    for (Millis before = 0; before < 600; before += 20) {
        Simulation simulation(fleet_options(51, 6));
        run_first_job(simulation);
        simulation.advance(released - before);
        const auto old = *simulation.leader();
        simulation.freeze(old, 12'000);
        auto next = whole_machines(2, 6, 25, simulation.now() + 7000);
        // By then the load balancer no longer sends requests to the paused controller.
        next.via = (old + 1) % 3;
        simulation.jobs().push_back(next);
        simulation.advance(simulation.now() + 9500);
        ASSERT_NE(simulation.leader(), old);
        ASSERT_EQ(simulation.total_starts(), 12U - lost_workers(simulation).size());
        const auto gone = lost_workers(simulation);
        simulation.advance(simulation.now() + 14'000);
        EXPECT_EQ(lost_workers(simulation), gone) << before;
        EXPECT_EQ(simulation.violation(), "");
    }
}

constexpr std::size_t kLargeFleet = 2000;

void advance_and_check(Simulation& simulation, Millis until) {
    simulation.advance(until);
    EXPECT_EQ(simulation.violation(), "");
}

// All controllers crash twice during an outage of the state service. When they are back, all
// workers and users connect at the same time, while a burst of jobs is submitted: the new leader
// keeps all placements, no lease expires, and every request is answered.
TEST(Fleet, AllControllersWorkersAndUsersReturnAtOnce) {
    for (const std::size_t nodes : {3, 5}) {
        Simulation simulation(fleet_options(52, kLargeFleet, nodes));
        simulation.set_capacity(kLargeFleet);
        for (std::size_t n = 0; n < 20; ++n) {
            simulation.jobs().push_back(whole_machines(n, 90, 300));
        }
        advance_and_check(simulation, 30'000);
        EXPECT_EQ(simulation.total_starts(), 1800U);
        simulation.state_outage(9000);
        for (std::size_t n = 0; n < nodes; ++n) {
            simulation.crash(n, 200 + static_cast<Millis>(n) * 150);
            simulation.at(simulation.now() + 4000, [&simulation, n] { simulation.crash(n, 3000); });
        }
        for (std::size_t n = 100; n < 180; ++n) {
            auto j = whole_machines(n, 2, 5, simulation.now() + 500);
            j.cpus = 4;
            simulation.jobs().push_back(j);
        }
        for (std::size_t i = 0; i < 1000; ++i) {
            simulation.at(simulation.now() + 8000 + static_cast<Millis>(i),
                          [&simulation, i, nodes] {
                              simulation.send_counted(
                                  i % nodes, {"GET", "/v2/runs/" + numbered_job_id(i % 20), ""});
                          });
        }
        const auto back = simulation.now() + 9000;
        advance_and_check(simulation, back + 4000);
        EXPECT_EQ(simulation.counted_replies(), 1000U);
        advance_and_check(simulation, back + 20'000);
        std::size_t lost_leases = 0;
        for (const auto& [name, w] : simulation.workers()) lost_leases += w.session > 1 ? 1 : 0;
        EXPECT_EQ(lost_leases, 0U) << nodes;
        for (const auto& j : simulation.jobs()) EXPECT_GE(j.accepted_at, 0) << j.id;
        EXPECT_EQ(simulation.total_starts(), 1960U) << nodes;
        // Direct commands: one to raise the token for each machine, one to start each task, and few
        // more.
        EXPECT_LE(simulation.direct_calls(), std::size_t{4} * kLargeFleet + std::size_t{2} * 1960);
    }
}

// A tenth of the machines is lost or hangs in the same second, while half of the spot machines are
// preempted.
TEST(Fleet, TenthOfTheMachinesLostInTheSameSecond) {
    for (const bool hang : {false, true}) {
        auto options = fleet_options(53, 100, 5);
        Simulation simulation(options);
        simulation.set_capacity(320);
        for (std::size_t i = 0; i < 200; ++i) simulation.add_worker(i % 2 == 0 ? "a" : "b", true);
        for (std::size_t n = 0; n < 40; ++n) {
            auto j = whole_machines(n, 5, 40, static_cast<Millis>(n) * 500);
            j.spot = n % 3 != 0;
            if (n % 2 == 0) j.kind = "ensemble";
            j.one_zone = n % 4 == 0;
            j.cls = n % 2 == 0 ? "gangs" : "arrays";
            simulation.jobs().push_back(j);
        }
        simulation.at(40'000, [&] {
            std::size_t n = 0;
            for (auto& [name, w] : simulation.workers()) {
                ++n;
                if (w.spot && n % 2 == 0) w.interrupted_at = simulation.now() + 6000;
                if (n % 10 != 0 || !w.up) continue;
                if (hang) {
                    // Shorter than their lease, so that their tasks continue.
                    w.hung_until = simulation.now() + 15'000;
                } else {
                    simulation.lose_worker(w);
                }
            }
        });
        EXPECT_EQ(simulation.run(), "") << hang;
    }
}

// All machines of a zone that was cut off used to be released, and new ones provisioned in the same
// zone, which were not reachable either.
TEST(Fleet, MachinesOfAPartitionedZoneAreKept) {
    for (const auto& [crash, delay] : {std::pair(false, true), {true, true}, {true, false}}) {
        Simulation simulation(fleet_options(55, 10, 5));
        for (int i = 0; i < 9; ++i) simulation.add_worker("a", false);
        simulation.set_capacity(40);
        // Submitted once all machines have sent heartbeats; earlier, additional ones would be
        // provisioned.
        simulation.jobs().push_back(whole_machines(1, 19, 90, 6000));
        advance_and_check(simulation, 15'000);
        EXPECT_EQ(simulation.total_starts(), 19U);
        EXPECT_EQ(simulation.workers().size(), 19U);
        simulation.partition_zone("a", "", 40'000, delay);
        if (crash) {
            // The next leader has no heartbeats of these machines and knows them only from the
            // cloud's list.
            simulation.at(18'000, [&] { simulation.crash(*simulation.leader(), 3000); });
        }
        // For a job that does not fit, no machine is provisioned in that zone meanwhile.
        simulation.jobs().push_back(whole_machines(2, 6, 10, 20'000));
        const auto before = simulation.workers().size();
        // The first heartbeats after the partition must not lead to the release of machines whose
        // heartbeat has not arrived yet.
        advance_and_check(simulation, 63'000);
        for (const auto& [name, w] : simulation.workers()) {
            if (w.zone != "a") continue;
            if (w.provisioned_at == 0) {
                EXPECT_FALSE(w.gone) << name << crash;
            }
            if (w.provisioned_at > 0) {
                EXPECT_GE(w.provisioned_at, 55'000) << name;
            }
        }
        EXPECT_GT(simulation.workers().size(), before);
        EXPECT_EQ(simulation.run(), "");
    }
}

// In one run, the leader is cut off in turn from the state service, its peers, the workers and
// everything; then the zones are cut off from everything and from each other, and at the end the
// controllers refuse each other's connections.
TEST(Fleet, LeaderAndZonesPartitionedFromEachServiceInTurn) {
    for (const bool delay : {false, true}) {
        for (const bool refuse : {false, true}) {
            if (delay && refuse) continue;
            Simulation simulation(fleet_options(54, 12, 5));
            simulation.set_capacity(16);
            for (std::size_t n = 0; n < 24; ++n) {
                auto j = whole_machines(n, 2, 12, static_cast<Millis>(n) * 6000);
                if (n % 2 == 0) j.kind = "ensemble";
                j.one_zone = n % 4 == 0;
                simulation.jobs().push_back(j);
            }
            const char* const counterparts[] = {"state", "n", "host", ""};
            for (std::size_t i = 0; i < 4; ++i) {
                simulation.at(10'000 + static_cast<Millis>(i) * 22'000,
                              [&simulation, &counterparts, i, delay, refuse] {
                                  const auto leader = simulation.leader().value_or(0);
                                  simulation.partition("n" + std::to_string(leader),
                                                       counterparts[i], 20'000, delay, refuse);
                              });
            }
            simulation.at(100'000, [&] { simulation.partition_zone("a", "", 15'000, delay); });
            simulation.at(118'000, [&] { simulation.partition_zone("b", "", 15'000, delay); });
            simulation.at(136'000, [&] { simulation.partition_zone("a", "b", 15'000, delay); });
            simulation.at(152'000, [&] { simulation.partition("n", "n", 15'000, false, true); });
            EXPECT_EQ(simulation.run(), "") << delay << refuse;
        }
    }
}

}  // namespace
}  // namespace lichendrift::simulation
