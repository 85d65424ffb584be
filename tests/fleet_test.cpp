// Faults of fleets in which many machines restart at once, each aimed at one guard.
#include <gtest/gtest.h>

#include "simulation/simulation.h"

namespace lichendrift::simulation {
namespace {

Options fleet(std::uint64_t seed, std::size_t machines, std::size_t nodes = 3) {
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

std::vector<std::string> lost(Simulation& simulation) {
    std::vector<std::string> out;
    for (const auto& [name, w] : simulation.workers()) {
        if (w.gone || w.session > 1) out.push_back(name);
    }
    return out;
}

// A paused process resumes without knowing what happened: another controller may have been elected,
// answers and timers are due all at once.
class StandsStill : public ::testing::TestWithParam<Millis> {};

TEST_P(StandsStill, AsLeaderAsFollowerAmidElectionAndTakeOver) {
    const auto span = GetParam();
    for (const std::size_t nodes : {3, 5}) {
        for (int when = 0; when < 4; ++when) {
            Simulation simulation(fleet(50, 6, nodes));
            simulation.set_capacity(6);
            simulation.jobs().push_back(whole_machines(1, 6, 70));
            simulation.advance(12'000);
            const auto first = simulation.leader();
            ASSERT_TRUE(first);
            const auto other = (*first + 1) % nodes;
            if (when == 0) simulation.freeze(*first, span);
            if (when == 1) simulation.freeze(other, span);
            if (when == 2) {
                // All candidates but one pause at different moments of the election.
                simulation.crash(*first, 3000);
                for (std::size_t n = 0; n < nodes; ++n) {
                    const auto at = simulation.now() + static_cast<Millis>(n) * 40;
                    if (n != other)
                        simulation.at(at, [&simulation, n, span] { simulation.freeze(n, span); });
                }
            }
            if (when == 3) {
                simulation.crash(*first, 3000);
                while (!simulation.leader()) simulation.advance(simulation.now() + 1);
                simulation.freeze(*simulation.leader(), span);
            }
            simulation.advance(70'000);
            EXPECT_EQ(lost(simulation), std::vector<std::string>{}) << "case " << when;
            EXPECT_EQ(simulation.run(), "") << "case " << when << " of " << nodes;
            EXPECT_EQ(simulation.total_starts(), 6U) << "case " << when << " of " << nodes;
        }
    }
}
INSTANTIATE_TEST_SUITE_P(Millis, StandsStill, ::testing::Values(700, 2900, 4500, 9000, 25'000),
                         [](const auto& param) { return std::to_string(param.param); });

// An idle machine is about to be released when the leader pauses; the next one places work there. A
// release carries no token: when the old leader resumes, it must not send it.
TEST(Fleet, PausedLeaderReleasesNoMachineThatAnotherUses) {
    const auto day = [](Simulation& simulation) {
        simulation.set_capacity(6);
        simulation.jobs().push_back(whole_machines(1, 6, 5));
        simulation.advance(8000);
        ASSERT_TRUE(simulation.leader());
    };
    Simulation first(fleet(51, 6));
    day(first);
    while (lost(first).empty() && first.now() < 200'000) first.advance(first.now() + 10);
    const auto released = first.now();
    ASSERT_LT(released, 200'000);
    for (Millis before = 0; before < 600; before += 20) {
        Simulation simulation(fleet(51, 6));
        day(simulation);
        simulation.advance(released - before);
        const auto old = *simulation.leader();
        simulation.freeze(old, 12'000);
        auto next = whole_machines(2, 6, 25, simulation.now() + 7000);
        // The load balancer has passed over the paused controller by then.
        next.via = (old + 1) % 3;
        simulation.jobs().push_back(next);
        simulation.advance(simulation.now() + 9500);
        ASSERT_NE(simulation.leader(), old);
        ASSERT_EQ(simulation.total_starts(), 12U - lost(simulation).size());
        const auto gone = lost(simulation);
        simulation.advance(simulation.now() + 14'000);
        EXPECT_EQ(lost(simulation), gone) << before;
        EXPECT_EQ(simulation.violation(), "");
    }
}

constexpr std::size_t kMany = 2000;

void settle(Simulation& simulation, Millis until) {
    simulation.advance(until);
    EXPECT_EQ(simulation.violation(), "");
}

// All controllers end in an outage, some twice, and are back together with workers and users on top
// of a burst: the new leader finds everything where it was, no lease expires, everybody gets an
// answer.
TEST(Fleet, EverybodyIsBackAtOnce) {
    for (const std::size_t nodes : {3, 5}) {
        Simulation simulation(fleet(52, kMany, nodes));
        simulation.set_capacity(kMany);
        for (std::size_t n = 0; n < 20; ++n) {
            simulation.jobs().push_back(whole_machines(n, 90, 300));
        }
        settle(simulation, 30'000);
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
        settle(simulation, back + 4000);
        EXPECT_EQ(simulation.counted_replies(), 1000U);
        settle(simulation, back + 20'000);
        std::size_t lost_leases = 0;
        for (const auto& [name, w] : simulation.workers()) lost_leases += w.session > 1 ? 1 : 0;
        EXPECT_EQ(lost_leases, 0U) << nodes;
        for (const auto& j : simulation.jobs()) EXPECT_GE(j.accepted_at, 0) << j.id;
        EXPECT_EQ(simulation.total_starts(), 1960U) << nodes;
        // Direct commands: a raise for each machine, a start for each task, few more.
        EXPECT_LE(simulation.direct_calls(), std::size_t{4} * kMany + std::size_t{2} * 1960);
    }
}

// A tenth of the machines ends or hangs in the same second, while half of the spot ones are taken.
TEST(Fleet, TenthOfTheMachinesLostInTheSameSecond) {
    for (const bool hang : {false, true}) {
        auto options = fleet(53, 100, 5);
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
                    // Within their lease, so that they go on where they were.
                    w.hung_until = simulation.now() + 15'000;
                } else {
                    simulation.lose_worker(w);
                }
            }
        });
        EXPECT_EQ(simulation.run(), "") << hang;
    }
}

// All its machines were released, provisioned anew there and not reachable either.
TEST(Fleet, MachinesOfAZoneThatIsCutOffAreKept) {
    for (const auto& [crash, delay] : {std::pair(false, true), {true, true}, {true, false}}) {
        Simulation simulation(fleet(55, 10, 5));
        for (int i = 0; i < 9; ++i) simulation.add_worker("a", false);
        simulation.set_capacity(40);
        // Not before all machines have sent heartbeats, or others would be provisioned beside them.
        simulation.jobs().push_back(whole_machines(1, 19, 90, 6000));
        settle(simulation, 15'000);
        EXPECT_EQ(simulation.total_starts(), 19U);
        EXPECT_EQ(simulation.workers().size(), 19U);
        simulation.partition_zone("a", "", 40'000, delay);
        if (crash) {
            // The next leader has no heartbeat of them; it knows them by the list.
            simulation.at(18'000, [&] { simulation.crash(*simulation.leader(), 3000); });
        }
        // Work that does not fit has nothing provisioned there meanwhile.
        simulation.jobs().push_back(whole_machines(2, 6, 10, 20'000));
        const auto before = simulation.workers().size();
        // The first reports after the cut must not cost those whose report is still to come.
        settle(simulation, 63'000);
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

// One after the other on the same day: the state service, the peers, the workers, both zones.
TEST(Fleet, OneControllerCutFromEachInTurnAndZonesFromEverything) {
    for (const bool delay : {false, true}) {
        for (const bool refuse : {false, true}) {
            if (delay && refuse) continue;
            Simulation simulation(fleet(54, 12, 5));
            simulation.set_capacity(16);
            for (std::size_t n = 0; n < 24; ++n) {
                auto j = whole_machines(n, 2, 12, static_cast<Millis>(n) * 6000);
                if (n % 2 == 0) j.kind = "ensemble";
                j.one_zone = n % 4 == 0;
                simulation.jobs().push_back(j);
            }
            const char* const others[] = {"state", "n", "host", ""};
            for (std::size_t i = 0; i < 4; ++i) {
                simulation.at(10'000 + static_cast<Millis>(i) * 22'000,
                              [&simulation, &others, i, delay, refuse] {
                                  const auto leader = simulation.leader().value_or(0);
                                  simulation.partition("n" + std::to_string(leader), others[i],
                                                       20'000, delay, refuse);
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
