// Fenced duties in virtual time: controllers freeze, resume, crash and are replaced while they
// provision machines, release machines and clean up. No action of a replaced holder
// may affect a machine in use.
#include <gtest/gtest.h>

#include <cstdlib>

#include "simulation/duty_requests.h"
#include "simulation/messages.h"
#include "simulation/simulation.h"

namespace lichendrift::simulation {
namespace {

Options random_fenced_options(std::uint64_t seed) {
    Options options;
    options.seed = seed;
    options.nodes = seed % 3 == 0 ? 5 : 3;
    options.faults = false;
    options.features.fenced_duties = true;
    options.features.cleanup = control::CleanupMode::Remove;
    options.features.cleanup_page_s = 2;
    options.machines = 5;
    options.jobs = 24;
    options.busy_ms = 90'000;
    options.settle_ms = 260'000;
    return options;
}

// Freezes the leader, or in one of four cases a random controller, for a time that may be shorter
// or longer than its lease. In one of three cases its requests to the cloud are delayed too, as if
// they were queued in the kernel or in the network.
void schedule_freezes(Simulation& simulation, std::mt19937_64& rng, Millis from, Millis until) {
    for (Millis t = from; t < until; t += 1000 + static_cast<Millis>(rng() % 2000)) {
        const auto draw = rng();
        simulation.at(t, [&simulation, draw] {
            const auto leader = simulation.leader();
            const auto node = leader && draw % 4 != 0 ? *leader : (draw >> 4U) % 3;
            const auto span = 200 + static_cast<Millis>((draw >> 8U) % 6000);
            if (draw % 3 == 0) simulation.partition(node_name(node), "cloud", span * 5, true);
            simulation.freeze(node, span);
        });
    }
}

// Hangs machines: they stop sending heartbeats and are released while their tasks go on elsewhere.
void schedule_machine_hangs(Simulation& simulation, std::mt19937_64& rng, Millis from,
                            Millis until) {
    for (Millis t = from; t < until; t += 4000 + static_cast<Millis>(rng() % 4000)) {
        const auto draw = rng();
        simulation.at(t, [&simulation, draw] {
            auto at = draw % std::max<std::size_t>(1, simulation.workers().size());
            for (auto& [name, worker] : simulation.workers()) {
                if (at-- != 0 || worker.gone || !worker.up) continue;
                worker.hung_until = simulation.now() + 3000 + static_cast<Millis>(draw % 12'000);
            }
        });
    }
}

// On one in three requests to the cloud and transactions with intents, freezes the sender for
// longer than its lease. A request to the cloud is delayed by the network as well, for up to 45 s.
void freeze_during_requests(Simulation& simulation, std::mt19937_64& rng, Millis until) {
    simulation.observe(
        [&simulation, &rng, until](std::size_t node, const net::HttpRequest& request) {
            const bool to_cloud = is_release(request) || is_provision(request);
            const bool concerns_intent =
                request.target == "/txn" && request.body.find("intent/") != std::string::npos;
            if ((!to_cloud && !concerns_intent) || simulation.now() > until || rng() % 3 != 0)
                return;
            if (to_cloud) {
                simulation.partition(node_name(node), "cloud",
                                     5000 + static_cast<Millis>(rng() % 40'000), true);
            }
            simulation.freeze(node, 3500 + static_cast<Millis>(rng() % 9000));
        });
}

std::uint64_t runs_per_shard() {
    // NOLINTNEXTLINE(concurrency-mt-unsafe): no other thread runs yet.
    const char* count = std::getenv("DUTY_DAYS");
    return count == nullptr ? 12 : std::strtoull(count, nullptr, 10);
}

class FencedDay : public ::testing::TestWithParam<int> {};

// In all runs together, controllers freeze and resume some thousands of times.
TEST_P(FencedDay, ReplacedHolderReleasesNoMachineInUse) {
    std::size_t freezes = 0;
    std::size_t by_replaced = 0;
    std::size_t late = 0;
    std::size_t released = 0;
    for (std::uint64_t i = 0; i < runs_per_shard(); ++i) {
        const auto seed = 40'000 + static_cast<std::uint64_t>(GetParam()) * 1000 + i;
        auto options = random_fenced_options(seed);
        options.lossy_messages = i % 2 == 1;
        options.cloud_checks_epochs = i % 4 == 3;
        Simulation simulation(options);
        std::mt19937_64 rng(seed);
        schedule_freezes(simulation, rng, 6000, options.busy_ms);
        freeze_during_requests(simulation, rng, options.busy_ms);
        schedule_machine_hangs(simulation, rng, 8000, options.busy_ms);
        EXPECT_EQ(simulation.run(), "") << "seed " << seed;
        freezes += simulation.freezes();
        by_replaced += simulation.releases().by_replaced;
        late += simulation.releases().late;
        released += simulation.releases().machines;
    }
    RecordProperty("freezes", static_cast<int>(freezes));
    RecordProperty("released", static_cast<int>(released));
    RecordProperty("by_replaced", static_cast<int>(by_replaced));
    RecordProperty("late", static_cast<int>(late));
    EXPECT_GT(freezes, runs_per_shard() * 20);
    EXPECT_GT(released, runs_per_shard());
}
INSTANTIATE_TEST_SUITE_P(Days, FencedDay, ::testing::Range(0, 8));

// Shows that each guard is needed: without it, some run breaks the rule that it protects.
struct DisabledGuard {
    const char* name;
    bool core::SafetyGuards::*guard;
};

// Makes GoogleTest print the name of the case instead of raw bytes.
// NOLINTNEXTLINE(readability-identifier-naming): GoogleTest calls it by this name.
void PrintTo(const DisabledGuard& guard, std::ostream* out) { *out << guard.name; }

// Submits jobs in waves; machines that are idle in between are released. On half of the release
// requests, the leader freezes and the request is delayed, so that another leader places the next
// wave.
void schedule_job_waves(Simulation& simulation, std::mt19937_64& rng, Millis until) {
    std::size_t number = 700'000;
    for (Millis wave = 6000; wave < until; wave += 16'000) {
        for (std::size_t n = 0; n < 8; ++n) {
            const auto submit_at = wave + static_cast<Millis>(rng() % 6000);
            const auto run_s = 3 + static_cast<double>(rng() % 3);
            auto job = batch_job(numbered_job_id(number++), 1, run_s, submit_at);
            job.cpus = 4;
            simulation.jobs().push_back(job);
        }
    }
    simulation.observe(
        [&simulation, &rng, until](std::size_t node, const net::HttpRequest& request) {
            if (!is_release(request) || simulation.now() > until || rng() % 2 == 0) return;
            simulation.partition(node_name(node), "cloud", 4000 + static_cast<Millis>(rng() % 9000),
                                 true);
            simulation.freeze(node, 3500 + static_cast<Millis>(rng() % 9000));
        });
}

Options idle_between_waves_options(std::uint64_t seed) {
    auto options = random_fenced_options(seed);
    options.jobs = 0;
    options.busy_ms = 120'000;
    options.policy = "idle_keep = 2s\nspare_machines = 0\n";
    return options;
}

constexpr std::uint64_t kFirstWaveSeed = 50'000;
constexpr std::uint64_t kGuardedRuns = 20;
constexpr std::uint64_t kUnguardedRuns = 200;

struct WaveRun {
    std::string broken;  // the first rule violation
    std::size_t releases_by_replaced = 0;
};

WaveRun run_waves(const Options& options) {
    Simulation simulation(options);
    std::mt19937_64 rng(options.seed);
    schedule_job_waves(simulation, rng, options.busy_ms);
    auto broken = simulation.run();
    return {std::move(broken), simulation.releases().by_replaced};
}

// Guards against waves that differ on another kind of machine, where the tests of the guards then
// play other days: see RandomDays.SeedsDrawTheSameDayOnEveryKindOfMachine.
TEST(FencedWaves, SeedsDrawTheSameWavesOnEveryKindOfMachine) {
    const auto options = idle_between_waves_options(kFirstWaveSeed);
    Simulation simulation(options);
    std::mt19937_64 rng(options.seed);
    schedule_job_waves(simulation, rng, options.busy_ms);
    EXPECT_EQ(simulation.draws_digest(), "8a21daabda52a26eaff32157c01e18e9");
}

class BrokenFenceDay : public ::testing::TestWithParam<DisabledGuard> {};

TEST_P(BrokenFenceDay, RuleViolationIsDetected) {
    std::size_t releases_by_replaced = 0;
    for (std::uint64_t seed = kFirstWaveSeed; seed < kFirstWaveSeed + kGuardedRuns; ++seed) {
        const auto run = run_waves(idle_between_waves_options(seed));
        EXPECT_EQ(run.broken, "") << "seed " << seed;
        releases_by_replaced += run.releases_by_replaced;
    }
    EXPECT_GT(releases_by_replaced, 0U)
        << "no release request of a replaced holder took effect with the guard on";
    for (std::uint64_t seed = kFirstWaveSeed; seed < kFirstWaveSeed + kUnguardedRuns; ++seed) {
        auto options = idle_between_waves_options(seed);
        options.guards.*GetParam().guard = false;
        if (run_waves(options).broken.starts_with("stale_release")) return;
    }
    FAIL() << "no run breaks a rule without the guard " << GetParam().name;
}
INSTANTIATE_TEST_SUITE_P(
    Guards, BrokenFenceDay,
    ::testing::Values(DisabledGuard{"intent_before_request",
                                    &core::SafetyGuards::intent_before_request},
                      DisabledGuard{"intents_inherited", &core::SafetyGuards::intents_inherited}),
    [](const auto& param) { return std::string(param.param.name); });

// ---- scripted fault scenarios ----

// A scenario that starts with an idle fleet, or with no machines if it tests provisioning. A script
// injects a fault when the leader sends the request given by `when`, and a burst of jobs then needs
// every machine.
struct FaultScenario {
    const char* name;
    // The request of the leader that triggers the fault: to the cloud, or to the state service for
    // an intent.
    enum class When : std::uint8_t { ReleaseRequested, IntentWritten, ProvisionRequested } when;
    void (*inject)(Simulation& simulation, std::size_t leader);
    Millis burst_after = 5000;                  // from the fault to the burst of jobs
    bool core::SafetyGuards::*guard = nullptr;  // without this guard the scenario breaks a rule
};

// NOLINTNEXTLINE(readability-identifier-naming): GoogleTest calls it by this name.
void PrintTo(const FaultScenario& scenario, std::ostream* out) { *out << scenario.name; }

constexpr Millis kIdleFrom = 14'000;
constexpr std::size_t kFleet = 6;
constexpr std::size_t kBurst = 14;

Options scenario_options(const FaultScenario& scenario, std::uint64_t seed) {
    auto options = fault_free_options(seed);
    options.nodes = seed % 2 == 0 ? 3 : 5;
    options.features.fenced_duties = true;
    options.machines = scenario.when == FaultScenario::When::ProvisionRequested ? 0 : kFleet;
    options.busy_ms = 90'000;
    options.settle_ms = 200'000;
    options.policy = "idle_keep = 8s\nspare_machines = 0\n";
    return options;
}

bool matches(FaultScenario::When when, const net::HttpRequest& request) {
    switch (when) {
        case FaultScenario::When::ReleaseRequested:
            return is_release(request);
        case FaultScenario::When::IntentWritten:
            return writes_intent(request);
        case FaultScenario::When::ProvisionRequested:
            return is_provision(request);
    }
    return false;
}

void submit_burst(Simulation& simulation, Millis at) {
    for (std::size_t n = 0; n < kBurst; ++n) {
        auto job = batch_job(numbered_job_id(800'000 + n), 1, 14, at);
        job.cpus = 8;
        simulation.jobs().push_back(job);
    }
}

// Runs a scenario and returns the first broken rule, or an empty text. `after` inspects the
// simulation at its end.
std::string run_scenario(const FaultScenario& scenario, const Options& options,
                         const std::function<void(Simulation&)>& after = nullptr) {
    Simulation simulation(options);
    simulation.set_capacity(static_cast<int>(kFleet));
    if (options.machines > 0)
        simulation.jobs().push_back(batch_job(numbered_job_id(1), 1, 2, 1000));
    bool injected = false;
    simulation.observe([&](std::size_t node, const net::HttpRequest& request) {
        if (injected || simulation.now() < kIdleFrom || !matches(scenario.when, request)) return;
        injected = true;
        scenario.inject(simulation, node);
        if (scenario.when != FaultScenario::When::ProvisionRequested) {
            submit_burst(simulation, simulation.now() + scenario.burst_after);
        }
    });
    if (scenario.when == FaultScenario::When::ProvisionRequested)
        submit_burst(simulation, kIdleFrom + 1000);
    auto broken = simulation.run();
    EXPECT_TRUE(injected) << scenario.name << ", seed " << options.seed;
    if (after) after(simulation);
    return broken;
}

void delay_and_freeze(Simulation& simulation, std::size_t leader) {
    simulation.partition(node_name(leader), "cloud", 14'000, true);
    simulation.freeze(leader, 9000);
}

const FaultScenario kFaultScenarios[] = {
    {"LeaderFreezesWithReleaseRequestInFlight", FaultScenario::When::ReleaseRequested,
     delay_and_freeze, 4500, &core::SafetyGuards::intent_before_request},
    {"LeaderFreezesWhileIntentIsWritten", FaultScenario::When::IntentWritten,
     [](Simulation& simulation, std::size_t leader) { simulation.freeze(leader, 9000); }},
    {"LeaderCrashesAfterReleaseRequestTimedOut", FaultScenario::When::ReleaseRequested,
     [](Simulation& simulation, std::size_t leader) {
         simulation.partition(node_name(leader), "cloud", 20'000, true);
         simulation.at(simulation.now() + 8000,
                       [&simulation, leader] { simulation.crash(leader, 20'000); });
     },
     9000, &core::SafetyGuards::keep_release_intents},
    {"ReleaseRequestDelayedForMoreThanAMinute", FaultScenario::When::ReleaseRequested,
     [](Simulation& simulation, std::size_t leader) {
         simulation.partition(node_name(leader), "cloud", 75'000, true);
         simulation.freeze(leader, 9000);
     },
     68'000},
    {"TwoHoldersReplacedInSuccession", FaultScenario::When::ReleaseRequested,
     [](Simulation& simulation, std::size_t leader) {
         delay_and_freeze(simulation, leader);
         simulation.at(simulation.now() + 5500, [&simulation] {
             if (const auto next = simulation.leader()) delay_and_freeze(simulation, *next);
         });
     },
     9500},
    {"SuccessorCrashesWhileReadingIntents", FaultScenario::When::ReleaseRequested,
     [](Simulation& simulation, std::size_t leader) {
         delay_and_freeze(simulation, leader);
         const auto ended = std::make_shared<bool>(false);
         simulation.observe(
             [&simulation, ended](std::size_t node, const net::HttpRequest& request) {
                 if (*ended || !request.target.starts_with("/store?prefix=intent/")) return;
                 *ended = true;
                 simulation.at(simulation.now() + 12,
                               [&simulation, node] { simulation.crash(node, 4000); });
             });
     },
     9000},
    {"AllControllersCrashWithOpenIntents", FaultScenario::When::IntentWritten,
     [](Simulation& simulation, std::size_t) {
         simulation.cloud_outage(2500);
         simulation.at(simulation.now() + 60, [&simulation] {
             for (std::size_t n = 0; n < simulation.node_count(); ++n) simulation.crash(n, 3000);
         });
     },
     6000},
    {"IntentWriteDelayedForSeconds", FaultScenario::When::IntentWritten,
     [](Simulation& simulation, std::size_t) { simulation.late_writes(1.0, 800); }},
    {"StateServiceSlow", FaultScenario::When::IntentWritten,
     [](Simulation& simulation, std::size_t) { simulation.slow_state(900, 9000); }},
    {"StateServiceRefusesLeader", FaultScenario::When::IntentWritten,
     [](Simulation& simulation, std::size_t leader) {
         simulation.refuse_state_requests(leader, 9000);
     }},
    {"CloudOutageAndLeaderCrash", FaultScenario::When::ReleaseRequested,
     [](Simulation& simulation, std::size_t leader) {
         simulation.cloud_outage(9000);
         simulation.at(simulation.now() + 2000,
                       [&simulation, leader] { simulation.crash(leader, 4000); });
     }},
    {"CloudResponsesLostAndLeaderFreezes", FaultScenario::When::ReleaseRequested,
     [](Simulation& simulation, std::size_t leader) {
         simulation.lose_cloud_answers(1.0, 9000);
         simulation.at(simulation.now() + 5000,
                       [&simulation, leader] { simulation.freeze(leader, 6000); });
     }},
    {"LeaderFreezesWithProvisionRequestInFlight", FaultScenario::When::ProvisionRequested,
     delay_and_freeze},
    {"PartialProvisionWithLostResponse", FaultScenario::When::ProvisionRequested,
     [](Simulation& simulation, std::size_t leader) {
         simulation.set_capacity(static_cast<int>(kFleet) - 3);
         simulation.lose_cloud_answers(1.0, 6000);
         simulation.at(simulation.now() + 300,
                       [&simulation, leader] { simulation.freeze(leader, 6000); });
     }},
    {"LeaderCrashesWithIntentWriteInFlight", FaultScenario::When::IntentWritten,
     [](Simulation& simulation, std::size_t leader) {
         simulation.late_writes(1.0, 800);
         simulation.at(simulation.now() + 400,
                       [&simulation, leader] { simulation.crash(leader, 200); });
     }},
};

class FencedHardCase : public ::testing::TestWithParam<FaultScenario> {};

TEST_P(FencedHardCase, BreaksNoRule) {
    for (std::uint64_t seed = 60'000; seed < 60'010; ++seed) {
        auto options = scenario_options(GetParam(), seed);
        EXPECT_EQ(run_scenario(GetParam(), options), "");
        options.cloud_checks_epochs = true;
        EXPECT_EQ(run_scenario(GetParam(), options), "") << "with a cloud that checks epochs";
    }
}

TEST_P(FencedHardCase, BreaksARuleWithoutItsGuard) {
    if (GetParam().guard == nullptr) return;
    for (std::uint64_t seed = 60'000; seed < 60'040; ++seed) {
        auto options = scenario_options(GetParam(), seed);
        options.guards.*GetParam().guard = false;
        if (!run_scenario(GetParam(), options).empty()) return;
    }
    FAIL() << "no run breaks a rule without the guard";
}
INSTANTIATE_TEST_SUITE_P(Cases, FencedHardCase, ::testing::ValuesIn(kFaultScenarios),
                         [](const auto& param) { return std::string(param.param.name); });

}  // namespace
}  // namespace lichendrift::simulation
