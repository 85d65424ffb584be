// Rolling upgrades: controllers of the version before services and of the current version read and
// write each other's data, and the smaller limits of the state service come into force at any time
// after the upgrade.
#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>

#include "simulation/simulation.h"

namespace lichendrift::simulation {
namespace {

constexpr Millis kUpgradesBegin = 8000;
constexpr Millis kUpgradesEnd = 50'000;

control::NextStateLimits small_limits() { return {std::nullopt, 20.0, 1.0, 4}; }
// The smallest limits that the settings permit.
control::NextStateLimits smallest_limits() { return {std::nullopt, 8.0, 1.0, 2}; }

// Arrays and gangs with one or two placement records, which exceed the future limits.
void add_large_jobs(Simulation& simulation, std::mt19937_64& rng, Millis busy_ms) {
    for (std::size_t n = 0; n < 8; ++n) {
        const auto submit_at = static_cast<Millis>(rng() % static_cast<std::uint64_t>(busy_ms));
        const auto run_s = 3 + static_cast<double>(rng() % 10);
        auto job = batch_job(numbered_job_id(500'000 + n), 0, run_s, submit_at);
        job.kind = n % 3 == 2 ? "ensemble" : "sweep";
        job.cls = "large";
        job.count =
            static_cast<std::uint32_t>(job.kind == "ensemble" ? 20 + rng() % 12 : 30 + rng() % 90);
        if (rng() % 4 == 0) job.cancel_at = job.submit_at + static_cast<Millis>(rng() % 30'000);
        simulation.jobs().push_back(job);
    }
}

void add_services(Simulation& simulation, std::mt19937_64& rng, Millis from, Millis until) {
    for (std::size_t n = 0; n < 4; ++n) {
        const auto at =
            from + static_cast<Millis>(rng() % static_cast<std::uint64_t>(until - from));
        auto job =
            service(numbered_job_id(600'000 + n), static_cast<std::uint32_t>(2 + rng() % 4), at);
        if (n % 2 == 0) job.cancel_at = at + 20'000 + static_cast<Millis>(rng() % 60'000);
        if (n == 3) job.replica_s = 6;
        simulation.jobs().push_back(job);
    }
}

Options upgrade_day(std::uint64_t seed) {
    Options options;
    options.seed = seed;
    options.nodes = seed % 2 == 0 ? 3 : 5;
    options.old_version = true;
    options.next = seed % 3 == 0 ? smallest_limits() : small_limits();
    options.busy_ms = 110'000;
    options.settle_ms = 280'000;
    options.jobs = 10;
    return options;
}

// Schedules the upgrade (or downgrade) of every controller, in random order, at random times and
// with random downtimes.
void schedule_upgrades(Simulation& simulation, std::mt19937_64& rng, std::size_t nodes,
                       bool downgrade = false) {
    std::vector<std::size_t> order(nodes);
    std::iota(order.begin(), order.end(), 0);
    std::shuffle(order.begin(), order.end(), rng);
    for (auto node : order) {
        const auto when =
            kUpgradesBegin + static_cast<Millis>(rng() % (kUpgradesEnd - kUpgradesBegin));
        const auto downtime = static_cast<Millis>(100 + rng() % 4000);
        simulation.at(when, [&simulation, node, downtime, downgrade] {
            downgrade ? simulation.downgrade(node, downtime) : simulation.upgrade(node, downtime);
        });
    }
}

// Guards against days that differ on another kind of machine: see
// RandomDays.SeedsDrawTheSameDayOnEveryKindOfMachine.
TEST(Upgrade, SeedsDrawTheSameJobsOnEveryKindOfMachine) {
    constexpr std::uint64_t kSeed = 100;
    Simulation simulation(upgrade_day(kSeed));
    std::mt19937_64 rng(kSeed);
    add_large_jobs(simulation, rng, 100'000);
    add_services(simulation, rng, kUpgradesEnd + 10'000, 100'000);
    EXPECT_EQ(simulation.draws_digest(), "e94dd03ef5ac10515ec46eeafd07b89c");
}

class UpgradeDay : public ::testing::TestWithParam<int> {};

TEST_P(UpgradeDay, ViolatesNoRule) {
    for (std::uint64_t i = 0; i < 12; ++i) {
        const auto seed = static_cast<std::uint64_t>(GetParam()) * 100 + i;
        Simulation simulation(upgrade_day(seed));
        std::mt19937_64 rng(seed);
        add_large_jobs(simulation, rng, 100'000);
        add_services(simulation, rng, kUpgradesEnd + 10'000, 100'000);
        schedule_upgrades(simulation, rng, seed % 2 == 0 ? 3 : 5);
        const auto limits_at = kUpgradesEnd + 6000 + static_cast<Millis>(rng() % 40'000);
        simulation.at(limits_at, [&simulation] { simulation.apply_next_limits(); });
        EXPECT_EQ(simulation.run(), "") << "seed " << seed;
        // The controllers adapt each kind of write to the limits after a few rejected requests.
        EXPECT_LE(simulation.rejections(), 40U) << "seed " << seed;
    }
}
INSTANTIATE_TEST_SUITE_P(Days, UpgradeDay, ::testing::Range(1, 9));

// An upgrade may stop when only some controllers are upgraded, and a controller of the older
// version may be elected again at any time.
class PartialUpgrade : public ::testing::TestWithParam<int> {};

TEST_P(PartialUpgrade, BothVersionsWorkOnEachOthersData) {
    for (std::uint64_t i = 0; i < 10; ++i) {
        const auto seed = 5000 + static_cast<std::uint64_t>(GetParam()) * 100 + i;
        const auto options = upgrade_day(seed);
        Simulation simulation(options);
        std::mt19937_64 rng(seed);
        add_large_jobs(simulation, rng, 100'000);
        for (std::size_t n = 0; n < options.nodes / 2 + i % 2; ++n) {
            simulation.at(9000 + 4000 * static_cast<Millis>(n),
                          [&simulation, n] { simulation.upgrade(n, 1500); });
        }
        // Crashes the leader every 9 s.
        for (Millis t = 15'000; t < 105'000; t += 9000) {
            simulation.at(t, [&simulation] {
                if (const auto leader = simulation.leader()) simulation.crash(*leader, 1200);
            });
        }
        EXPECT_EQ(simulation.run(), "") << "seed " << seed;
    }
}
INSTANTIATE_TEST_SUITE_P(Days, PartialUpgrade, ::testing::Range(1, 5));

// The current version has written placement records of the finer layout (fewer tasks in a record)
// when all controllers are downgraded and later upgraded again.
TEST(Upgrade, DowngradeAndUpgradeWithRecordsOfTheFinerLayout) {
    for (std::uint64_t seed = 7000; seed < 7016; ++seed) {
        auto options = upgrade_day(seed);
        options.old_version = false;
        Simulation simulation(options);
        std::mt19937_64 rng(seed);
        add_large_jobs(simulation, rng, 100'000);
        schedule_upgrades(simulation, rng, options.nodes, true);
        for (std::size_t n = 0; n < options.nodes; ++n) {
            simulation.at(70'000 + 3000 * static_cast<Millis>(n),
                          [&simulation, n] { simulation.upgrade(n, 1000); });
        }
        bool finer = false;
        for (Millis t = 1000; t < 100'000; t += 1000) {
            simulation.at(t, [&simulation, &finer] {
                for (const auto& [key, value] : simulation.store()) {
                    finer |= key.starts_with("place/") &&
                             std::stoul(key.substr(key.rfind('/') + 1)) >= 1'000'000;
                }
            });
        }
        EXPECT_EQ(simulation.run(), "") << "seed " << seed;
        EXPECT_TRUE(finer || seed != 7000);
    }
}

// If the number of tasks in a placement record follows the announced limits, the two versions lose
// each other's placements. This shows that the check of the upgrade days can fail.
TEST(Upgrade, RecordLayoutThatFollowsTheNewLimitsIsDetected) {
    for (std::uint64_t seed = 8000; seed < 8100; ++seed) {
        auto options = upgrade_day(seed);
        options.guards.stable_layout = false;
        options.next = {std::nullopt, std::nullopt, 1.0, std::nullopt};
        Simulation simulation(options);
        std::mt19937_64 rng(seed);
        add_large_jobs(simulation, rng, 60'000);
        schedule_upgrades(simulation, rng, options.nodes);
        for (Millis t = 12'000; t < 70'000; t += 6000) {
            simulation.at(t, [&simulation] {
                if (const auto leader = simulation.leader()) simulation.crash(*leader, 1000);
            });
        }
        const auto broken = simulation.run();
        if (!broken.empty() && !broken.starts_with("unfinished")) {
            SUCCEED() << broken;
            return;
        }
    }
    FAIL() << "no seed shows a violated rule without a stable record layout";
}

// Cases in which the limits of the state service are lowered while each kind of write is under way.
struct LimitsCase {
    const char* name;
    std::function<void(Simulation&)> inject;
};

// Prints the name of the case in lists of tests instead of its bytes.
void PrintTo(const LimitsCase& test_case, std::ostream* out) { *out << test_case.name; }

class LimitsLowered : public ::testing::TestWithParam<LimitsCase> {};

TEST_P(LimitsLowered, WithoutNoticeAndNoWriteIsRefusedForEver) {
    for (std::uint64_t seed = 9000; seed < 9010; ++seed) {
        auto options = upgrade_day(seed);
        options.old_version = false;
        options.faults = false;
        options.next = seed % 2 == 0 ? smallest_limits() : small_limits();
        Simulation simulation(options);
        std::mt19937_64 rng(seed);
        add_large_jobs(simulation, rng, 60'000);
        add_services(simulation, rng, 1000, 60'000);
        GetParam().inject(simulation);
        EXPECT_EQ(simulation.run(), "") << "seed " << seed;
        EXPECT_LE(simulation.rejections(), 20U) << "seed " << seed;
    }
}

void crash_leader(Simulation& simulation) {
    if (const auto leader = simulation.leader()) simulation.crash(*leader, 2000);
}

std::vector<LimitsCase> limits_cases() {
    return {
        {"WhileJobsArrive",
         [](Simulation& sim) { sim.at(20'000, [&sim] { sim.apply_next_limits(); }); }},
        {"DuringAnElection",
         [](Simulation& sim) {
             sim.at(20'000, [&sim] { crash_leader(sim); });
             sim.at(22'500, [&sim] { sim.apply_next_limits(); });
         }},
        {"DuringAFailover",
         [](Simulation& sim) {
             sim.at(20'000, [&sim] { crash_leader(sim); });
             sim.at(23'300, [&sim] { sim.apply_next_limits(); });
         }},
        {"DuringAnOutage",
         [](Simulation& sim) {
             sim.at(20'000, [&sim] { sim.state_outage(9000); });
             sim.at(25'000, [&sim] { sim.apply_next_limits(); });
         }},
        {"WhileJobsAreCancelled",
         [](Simulation& sim) {
             sim.at(20'000, [&sim] { sim.apply_next_limits(); });
             for (Millis t = 19'000; t < 24'000; t += 500)
                 sim.at(t, [&sim] { sim.cancel_running_jobs(1, 0); });
         }},
        {"WhileWritesAreDelayed",
         [](Simulation& sim) {
             sim.at(15'000, [&sim] { sim.late_writes(0.3, 15'000); });
             sim.at(20'000, [&sim] { sim.apply_next_limits(); });
         }},
        {"BeforeTheControllersKnowEachOther",
         [](Simulation& sim) { sim.at(300, [&sim] { sim.apply_next_limits(); }); }},
    };
}

INSTANTIATE_TEST_SUITE_P(Times, LimitsLowered, ::testing::ValuesIn(limits_cases()),
                         [](const auto& param) { return std::string(param.param.name); });

// Records stored before the limits were lowered are larger than a write may be now: their jobs
// continue and end, and all their records are removed.
TEST(Upgrade, LargeStoredRecordsAreReplacedAndRemoved) {
    auto options = fault_free_options(31);
    options.old_version = true;
    options.next = smallest_limits();
    options.machines = 12;
    Simulation simulation(options);
    auto job = batch_job("job-000001", 90, 25, 1000);
    job.cpus = 0.5;
    simulation.jobs().push_back(job);
    simulation.advance(12'000);
    const auto coarse = simulation.store().find("place/job-000001/0");
    ASSERT_NE(coarse, simulation.store().end());
    ASSERT_GT(coarse->second.first.size(), 1024U);
    for (std::size_t n = 0; n < 3; ++n) simulation.upgrade(n, 500);
    simulation.advance(14'000);
    simulation.apply_next_limits();
    EXPECT_EQ(simulation.run(), "");
    for (const auto& [key, value] : simulation.store())
        EXPECT_FALSE(key.starts_with("place/")) << key;
    // The change of layout restarted no task.
    EXPECT_LE(simulation.total_starts(), 92U);
}

}  // namespace
}  // namespace lichendrift::simulation
