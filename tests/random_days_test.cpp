// Seeded random days in virtual time: crashes, partitions that delay or reset, late copies,
// outages, hanging and faulty machines. Every rule of the protocol is checked after each step, and
// at the end everything that was accepted has to be done or cancelled.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdlib>

#include "simulation/simulation.h"

namespace lichendrift::simulation {
namespace {

class Quiet : public ::testing::Environment {
  public:
    void SetUp() override {
        // NOLINTNEXTLINE(concurrency-mt-unsafe): no other thread runs yet.
        const bool wanted = std::getenv("TEST_LOG") != nullptr;
        spdlog::set_level(wanted ? spdlog::level::info : spdlog::level::off);
    }
};
// GoogleTest takes the ownership.
// NOLINTNEXTLINE(cppcoreguidelines-owning-memory)
[[maybe_unused]] auto* const kQuiet = ::testing::AddGlobalTestEnvironment(new Quiet);

constexpr std::uint64_t kSeeds = 30;

TEST(RandomDays, QuietDayFinishesEverything) {
    Options options;
    options.seed = 5;
    options.faults = false;
    Simulation simulation(options);
    EXPECT_EQ(simulation.run(), "");
    EXPECT_GT(simulation.total_starts(), 10U);
}

class RandomDay : public ::testing::TestWithParam<int> {};

TEST_P(RandomDay, KeepsTheRules) {
    for (std::uint64_t i = 0; i < kSeeds; ++i) {
        Options options;
        options.seed = static_cast<std::uint64_t>(GetParam()) * 1000 + i;
        options.nodes = i % 2 == 0 ? 3 : 5;
        // Some days crowd the fleet, some lose far more messages.
        if (i % 3 == 1) options.jobs = 30;
        if (i % 3 == 2) {
            options.lost_answer = 0.02;
            options.late_request = 0.02;
            options.late_copy = 0.1;
        }
        if (i % 4 == 3) options.repeats = 0.1;
        Simulation simulation(options);
        EXPECT_EQ(simulation.run(), "") << "seed " << options.seed;
    }
}
INSTANTIATE_TEST_SUITE_P(Days, RandomDay, ::testing::Range(1, 9));

// The checker has to see the loss of each central guard on some seed.
struct Broken {
    const char* name;
    bool core::SafetyGuards::*guard;
    void (*bring)(Simulation&) =
        nullptr;  // what the guard is there for, where chance brings it too seldom
};

// Machines hang, with their tasks, and the cloud is out, so that none can be released.
void hang_machines_while_the_cloud_is_out(Simulation& simulation) {
    constexpr Millis kFor = 16'000;
    for (Millis t = 12'000; t < 60'000; t += 20'000) {
        simulation.at(t, [&simulation] {
            simulation.cloud_outage(kFor);
            std::size_t hung = 0;
            for (auto& [name, worker] : simulation.workers()) {
                if (worker.tasks.empty() || worker.gone || ++hung > 2) continue;
                worker.hung_until = simulation.now() + kFor;
            }
        });
    }
}

class BrokenGuard : public ::testing::TestWithParam<Broken> {};

TEST_P(BrokenGuard, IsCaught) {
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        Options options;
        options.seed = seed;
        options.jobs = 30;
        options.restart_ms = 300;
        if (GetParam().bring != nullptr) options.machines = 6;
        // With fewer of them, what unconfirmed commands guard against came about once in 500 days.
        options.lost_answer = 0.1;
        options.late_request = 0.15;
        options.repeats = 0.05;
        options.guards.*GetParam().guard = false;
        Simulation simulation(options);
        if (GetParam().bring != nullptr) GetParam().bring(simulation);
        const auto broken = simulation.run();
        if (!broken.empty() && !broken.starts_with("unfinished")) {
            SUCCEED() << broken;
            return;
        }
    }
    FAIL() << "no seed shows that " << GetParam().name << " is off";
}
INSTANTIATE_TEST_SUITE_P(
    Guards, BrokenGuard,
    ::testing::Values(
        Broken{"record_before_run", &core::SafetyGuards::record_before_run},
        Broken{"reports_need_current_token", &core::SafetyGuards::reports_need_current_token},
        Broken{"unconfirmed_runs_stay_allocated",
               &core::SafetyGuards::unconfirmed_runs_stay_allocated},
        Broken{"record_needs_open_job", &core::SafetyGuards::record_needs_open_job},
        Broken{"reap_raises_token", &core::SafetyGuards::reap_raises_token},
        Broken{"silent_tasks_stay_allocated", &core::SafetyGuards::silent_tasks_stay_allocated,
               hang_machines_while_the_cloud_is_out},
        Broken{"leader_record_condition", &core::SafetyGuards::leader_record_condition},
        Broken{"fresh_reads", &core::SafetyGuards::fresh_reads}),
    [](const auto& param) { return std::string(param.param.name); });

}  // namespace
}  // namespace lichendrift::simulation
