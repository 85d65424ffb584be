// Seeded random runs in virtual time (a run is called a day) with crashes, partitions that delay
// messages or reset connections, late duplicates, outages, hanging and faulty machines. Every rule
// of the protocol is checked after each step, and at the end every accepted job has to be done or
// cancelled.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdlib>

#include "simulation/simulation.h"

namespace lichendrift::simulation {
namespace {

class LogLevel : public ::testing::Environment {
  public:
    void SetUp() override {
        // NOLINTNEXTLINE(concurrency-mt-unsafe): no other thread runs yet.
        const bool log_wanted = std::getenv("TEST_LOG") != nullptr;
        spdlog::set_level(log_wanted ? spdlog::level::info : spdlog::level::off);
    }
};
// GoogleTest takes ownership.
// NOLINTNEXTLINE(cppcoreguidelines-owning-memory)
[[maybe_unused]] auto* const kLogLevel = ::testing::AddGlobalTestEnvironment(new LogLevel);

constexpr std::uint64_t kSeeds = 30;

TEST(RandomDays, DayWithoutFaultsFinishesAllJobs) {
    Options options;
    options.seed = 5;
    options.faults = false;
    Simulation simulation(options);
    EXPECT_EQ(simulation.run(), "");
    EXPECT_GT(simulation.total_starts(), 10U);
}

// Guards against seeds that are other days on another kind of machine: C++ leaves the order open in
// which the arguments of a call are evaluated, so each draw needs a statement of its own.
TEST(RandomDays, SeedsDrawTheSameDayOnEveryKindOfMachine) {
    constexpr int kFaults = 300;
    Options options;
    options.seed = 5;
    Simulation simulation(options);
    for (int n = 0; n < kFaults; ++n) simulation.inject_fault();
    EXPECT_EQ(simulation.draws_digest(), "18102c9863ce6120b2c5b9139a984e3d");
}

class RandomDay : public ::testing::TestWithParam<int> {};

TEST_P(RandomDay, ViolatesNoRule) {
    for (std::uint64_t i = 0; i < kSeeds; ++i) {
        Options options;
        options.seed = static_cast<std::uint64_t>(GetParam()) * 1000 + i;
        options.nodes = i % 2 == 0 ? 3 : 5;
        // Some days have more jobs than the fleet has room for, some lose far more messages.
        if (i % 3 == 1) options.jobs = 30;
        if (i % 3 == 2) {
            options.lost_response_share = 0.02;
            options.delayed_request_share = 0.02;
            options.delayed_copy_share = 0.1;
        }
        if (i % 4 == 3) options.repeated_request_share = 0.1;
        Simulation simulation(options);
        EXPECT_EQ(simulation.run(), "") << "seed " << options.seed;
    }
}
INSTANTIATE_TEST_SUITE_P(Days, RandomDay, ::testing::Range(1, 9));

// With any of these safety guards disabled, the checker has to find a violated rule on some seed.
struct DisabledGuardCase {
    const char* name;
    bool core::SafetyGuards::*guard;
    // Injects the fault that the guard protects against, where it is too rare in random days.
    void (*inject_faults)(Simulation&) = nullptr;
};

// Prints the name of the case in lists of tests instead of its bytes.
void PrintTo(const DisabledGuardCase& test_case, std::ostream* out) { *out << test_case.name; }

// Machines with tasks hang during an outage of the cloud, so that none of them can be released.
void hang_machines_while_the_cloud_is_out(Simulation& simulation) {
    constexpr Millis kDuration = 16'000;
    for (Millis t = 12'000; t < 60'000; t += 20'000) {
        simulation.at(t, [&simulation] {
            simulation.cloud_outage(kDuration);
            std::size_t hung = 0;
            for (auto& [name, worker] : simulation.workers()) {
                if (worker.tasks.empty() || worker.gone || ++hung > 2) continue;
                worker.hung_until = simulation.now() + kDuration;
            }
        });
    }
}

class DisabledGuard : public ::testing::TestWithParam<DisabledGuardCase> {};

TEST_P(DisabledGuard, IsDetected) {
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        Options options;
        options.seed = seed;
        options.jobs = 30;
        options.restart_ms = 300;
        if (GetParam().inject_faults != nullptr) options.machines = 6;
        // With fewer lost answers and late or repeated requests, the fault that the guard for
        // unconfirmed commands protects against occurred once in 500 days.
        options.lost_response_share = 0.1;
        options.delayed_request_share = 0.15;
        options.repeated_request_share = 0.05;
        options.guards.*GetParam().guard = false;
        Simulation simulation(options);
        if (GetParam().inject_faults != nullptr) GetParam().inject_faults(simulation);
        const auto broken = simulation.run();
        if (!broken.empty() && !broken.starts_with("unfinished")) {
            SUCCEED() << broken;
            return;
        }
    }
    FAIL() << "no seed shows that " << GetParam().name << " is off";
}
INSTANTIATE_TEST_SUITE_P(
    Guards, DisabledGuard,
    ::testing::Values(
        DisabledGuardCase{"record_before_run", &core::SafetyGuards::record_before_run},
        DisabledGuardCase{"reports_need_current_token",
                          &core::SafetyGuards::reports_need_current_token},
        DisabledGuardCase{"unconfirmed_runs_stay_allocated",
                          &core::SafetyGuards::unconfirmed_runs_stay_allocated},
        DisabledGuardCase{"record_needs_open_job", &core::SafetyGuards::record_needs_open_job},
        DisabledGuardCase{"reap_raises_token", &core::SafetyGuards::reap_raises_token},
        DisabledGuardCase{"silent_tasks_stay_allocated",
                          &core::SafetyGuards::silent_tasks_stay_allocated,
                          hang_machines_while_the_cloud_is_out},
        DisabledGuardCase{"leader_record_condition", &core::SafetyGuards::leader_record_condition},
        DisabledGuardCase{"fresh_reads", &core::SafetyGuards::fresh_reads}),
    [](const auto& param) { return std::string(param.param.name); });

}  // namespace
}  // namespace lichendrift::simulation
