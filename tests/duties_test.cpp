// Fenced duties in virtual time: controllers freeze, resume, end and are replaced in the middle of
// provisioning, releases and cleaning up. No act of a replaced holder may affect a machine in use.
#include <gtest/gtest.h>

#include <cstdlib>

#include "simulation/duty_requests.h"
#include "simulation/messages.h"
#include "simulation/simulation.h"

namespace lichendrift::simulation {
namespace {

Options fenced_day(std::uint64_t seed) {
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

// Mostly the leader, or any controller, freezes for less or more than its lease; at times its
// requests to the cloud are delayed as well, as if they were in the kernel or on their way.
void freeze_again_and_again(Simulation& simulation, std::mt19937_64& rng, Millis from,
                            Millis until) {
    for (Millis t = from; t < until; t += 1000 + static_cast<Millis>(rng() % 2000)) {
        const auto draw = rng();
        simulation.at(t, [&simulation, draw] {
            const auto leader = simulation.leader();
            const auto node = leader && draw % 4 != 0 ? *leader : (draw >> 4U) % 3;
            const auto span = 200 + static_cast<Millis>((draw >> 8U) % 6000);
            if (draw % 3 == 0) simulation.cut(node_name(node), "cloud", span * 5, true);
            simulation.freeze(node, span);
        });
    }
}

// Machines fall silent, so that they are released, while their work goes on elsewhere.
void hang_machines(Simulation& simulation, std::mt19937_64& rng, Millis from, Millis until) {
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

// At times the leader freezes for longer than its lease just as a request leaves, and the network
// delays that request for up to a minute, or an intent is on its way to the state service.
void freeze_in_mid_act(Simulation& simulation, std::mt19937_64& rng, Millis until) {
    simulation.observe(
        [&simulation, &rng, until](std::size_t node, const net::HttpRequest& request) {
            const bool to_cloud = is_release(request) || is_provision(request);
            const bool concerns_intent =
                request.target == "/txn" && request.body.find("intent/") != std::string::npos;
            if ((!to_cloud && !concerns_intent) || simulation.now() > until || rng() % 3 != 0)
                return;
            if (to_cloud) {
                simulation.cut(node_name(node), "cloud", 5000 + static_cast<Millis>(rng() % 40'000),
                               true);
            }
            simulation.freeze(node, 3500 + static_cast<Millis>(rng() % 9000));
        });
}

std::uint64_t days_wanted() {
    // NOLINTNEXTLINE(concurrency-mt-unsafe): no other thread runs yet.
    const char* wanted = std::getenv("DUTY_DAYS");
    return wanted == nullptr ? 12 : std::strtoull(wanted, nullptr, 10);
}

class FencedDay : public ::testing::TestWithParam<int> {};

// Some thousands of times in all a controller freezes and resumes.
TEST_P(FencedDay, NoActOfAReplacedHolderTouchesAMachineInUse) {
    std::size_t freezes = 0;
    std::size_t by_replaced = 0;
    std::size_t late = 0;
    std::size_t released = 0;
    for (std::uint64_t i = 0; i < days_wanted(); ++i) {
        const auto seed = 40'000 + static_cast<std::uint64_t>(GetParam()) * 1000 + i;
        auto options = fenced_day(seed);
        options.lossy_messages = i % 2 == 1;
        options.cloud_checks_epochs = i % 4 == 3;
        Simulation simulation(options);
        std::mt19937_64 rng(seed);
        freeze_again_and_again(simulation, rng, 6000, options.busy_ms);
        freeze_in_mid_act(simulation, rng, options.busy_ms);
        hang_machines(simulation, rng, 8000, options.busy_ms);
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
    EXPECT_GT(freezes, days_wanted() * 20);
    EXPECT_GT(released, days_wanted());
}
INSTANTIATE_TEST_SUITE_P(Days, FencedDay, ::testing::Range(0, 8));

// Each guard is needed: without it some day breaks the rule that it protects.
struct BrokenFence {
    const char* name;
    bool core::SafetyGuards::*guard;
};

// Machines are idle between waves of jobs and are released; just then the leader freezes, its
// request is delayed, and the next wave finds another leader.
void idle_between_waves(Simulation& simulation, std::mt19937_64& rng, Millis until) {
    std::size_t number = 700'000;
    for (Millis wave = 6000; wave < until; wave += 16'000) {
        for (std::size_t n = 0; n < 8; ++n) {
            auto job = plain(numbered(number++), 1, 3 + static_cast<double>(rng() % 3),
                             wave + static_cast<Millis>(rng() % 6000));
            job.cpus = 4;
            simulation.jobs().push_back(job);
        }
    }
    simulation.observe([&simulation, &rng, until](std::size_t node,
                                                  const net::HttpRequest& request) {
        if (!is_release(request) || simulation.now() > until || rng() % 2 == 0) return;
        simulation.cut(node_name(node), "cloud", 4000 + static_cast<Millis>(rng() % 9000), true);
        simulation.freeze(node, 3500 + static_cast<Millis>(rng() % 9000));
    });
}

Options idle_day(std::uint64_t seed) {
    auto options = fenced_day(seed);
    options.jobs = 0;
    options.busy_ms = 120'000;
    options.policy = "idle_keep = 2s\nspare_machines = 0\n";
    return options;
}

class BrokenFenceDay : public ::testing::TestWithParam<BrokenFence> {};

TEST_P(BrokenFenceDay, IsCaught) {
    std::size_t clean = 0;
    for (std::uint64_t seed = 50'000; seed < 50'200; ++seed) {
        for (const bool whole : {true, false}) {
            if (whole && seed >= 50'020) continue;
            auto options = idle_day(seed);
            if (!whole) options.guards.*GetParam().guard = false;
            Simulation simulation(options);
            std::mt19937_64 rng(seed);
            idle_between_waves(simulation, rng, options.busy_ms);
            const auto broken = simulation.run();
            if (whole) {
                EXPECT_EQ(broken, "");
                clean += simulation.releases().by_replaced;
            }
            if (whole || !broken.starts_with("stale_release")) continue;
            EXPECT_GT(clean, 0U) << "no request of a replaced holder took effect with the guard";
            return;
        }
    }
    FAIL() << "no day shows that " << GetParam().name << " is off";
}
INSTANTIATE_TEST_SUITE_P(Guards, BrokenFenceDay,
                         ::testing::Values(BrokenFence{"intent_before_request",
                                                       &core::SafetyGuards::intent_before_request},
                                           BrokenFence{"intents_inherited",
                                                       &core::SafetyGuards::intents_inherited}),
                         [](const auto& param) { return std::string(param.param.name); });

// ---- hard cases ----

// A fleet that is idle until its leader releases machines. At that moment a script injects a fault,
// and soon after a burst of jobs needs every machine that there is.
struct HardCase {
    const char* name;
    // `act`: the request that the leader is sending, to the cloud or, for an intent, to the state
    // service.
    enum class When : std::uint8_t { ReleaseRequested, IntentWritten, ProvisionRequested } when;
    void (*inject)(Simulation& simulation, std::size_t leader);
    Millis burst_after = 5000;
    bool core::SafetyGuards::*guard = nullptr;  // without it the case breaks a rule
};

constexpr Millis kIdleFrom = 14'000;
constexpr std::size_t kFleet = 6;
constexpr std::size_t kBurst = 14;

Options idle_fleet(const HardCase& hard, std::uint64_t seed) {
    auto options = calm(seed);
    options.nodes = seed % 2 == 0 ? 3 : 5;
    options.features.fenced_duties = true;
    options.machines = hard.when == HardCase::When::ProvisionRequested ? 0 : kFleet;
    options.busy_ms = 90'000;
    options.settle_ms = 200'000;
    options.policy = "idle_keep = 8s\nspare_machines = 0\n";
    return options;
}

bool matches(HardCase::When when, const net::HttpRequest& request) {
    switch (when) {
        case HardCase::When::ReleaseRequested:
            return is_release(request);
        case HardCase::When::IntentWritten:
            return writes_intent(request);
        case HardCase::When::ProvisionRequested:
            return is_provision(request);
    }
    return false;
}

void submit_burst(Simulation& simulation, Millis at) {
    for (std::size_t n = 0; n < kBurst; ++n) {
        auto job = plain(numbered(800'000 + n), 1, 14, at);
        job.cpus = 8;
        simulation.jobs().push_back(job);
    }
}

// Which rule the day breaks; `after` inspects the simulation at its end.
std::string play(const HardCase& hard, const Options& options,
                 const std::function<void(Simulation&)>& after = nullptr) {
    Simulation simulation(options);
    simulation.set_capacity(static_cast<int>(kFleet));
    if (options.machines > 0) simulation.jobs().push_back(plain(numbered(1), 1, 2, 1000));
    bool injected = false;
    simulation.observe([&](std::size_t node, const net::HttpRequest& request) {
        if (injected || simulation.now() < kIdleFrom || !matches(hard.when, request)) return;
        injected = true;
        hard.inject(simulation, node);
        if (hard.when != HardCase::When::ProvisionRequested) {
            submit_burst(simulation, simulation.now() + hard.burst_after);
        }
    });
    if (hard.when == HardCase::When::ProvisionRequested) submit_burst(simulation, kIdleFrom + 1000);
    auto broken = simulation.run();
    EXPECT_TRUE(injected) << hard.name << ", seed " << options.seed;
    if (after) after(simulation);
    return broken;
}

void delay_and_freeze(Simulation& simulation, std::size_t leader) {
    simulation.cut(node_name(leader), "cloud", 14'000, true);
    simulation.freeze(leader, 9000);
}

const HardCase kHardCases[] = {
    {"FrozenWithTheRequestOnItsWay", HardCase::When::ReleaseRequested, delay_and_freeze, 4500,
     &core::SafetyGuards::intent_before_request},
    {"FrozenWhileTheIntentIsWritten", HardCase::When::IntentWritten,
     [](Simulation& simulation, std::size_t leader) { simulation.freeze(leader, 9000); }},
    {"EndsAfterItHasWaitedInVain", HardCase::When::ReleaseRequested,
     [](Simulation& simulation, std::size_t leader) {
         simulation.cut(node_name(leader), "cloud", 20'000, true);
         simulation.at(simulation.now() + 8000,
                       [&simulation, leader] { simulation.crash(leader, 20'000); });
     },
     9000, &core::SafetyGuards::keep_release_intents},
    {"DelayedByTheNetworkForMinutes", HardCase::When::ReleaseRequested,
     [](Simulation& simulation, std::size_t leader) {
         simulation.cut(node_name(leader), "cloud", 75'000, true);
         simulation.freeze(leader, 9000);
     },
     68'000},
    {"TwoHoldersReplacedOneAfterTheOther", HardCase::When::ReleaseRequested,
     [](Simulation& simulation, std::size_t leader) {
         delay_and_freeze(simulation, leader);
         simulation.at(simulation.now() + 5500, [&simulation] {
             if (const auto next = simulation.leader()) delay_and_freeze(simulation, *next);
         });
     },
     9500},
    {"SuccessorEndsBeforeItHasFinished", HardCase::When::ReleaseRequested,
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
    {"AllEndWithIntentsOpen", HardCase::When::IntentWritten,
     [](Simulation& simulation, std::size_t) {
         simulation.cloud_outage(2500);
         simulation.at(simulation.now() + 60, [&simulation] {
             for (std::size_t n = 0; n < simulation.node_count(); ++n) simulation.crash(n, 3000);
         });
     },
     6000},
    {"IntentOnItsWayForSeconds", HardCase::When::IntentWritten,
     [](Simulation& simulation, std::size_t) { simulation.late_writes(1.0, 800); }},
    {"StateServiceSlow", HardCase::When::IntentWritten,
     [](Simulation& simulation, std::size_t) { simulation.slow_state(900, 9000); }},
    {"StateServiceRefusesTheLeader", HardCase::When::IntentWritten,
     [](Simulation& simulation, std::size_t leader) { simulation.refuse_node(leader, 9000); }},
    {"CloudOut", HardCase::When::ReleaseRequested,
     [](Simulation& simulation, std::size_t leader) {
         simulation.cloud_outage(9000);
         simulation.at(simulation.now() + 2000,
                       [&simulation, leader] { simulation.crash(leader, 4000); });
     }},
    {"CloudAnswersLost", HardCase::When::ReleaseRequested,
     [](Simulation& simulation, std::size_t leader) {
         simulation.lose_cloud_answers(1.0, 9000);
         simulation.at(simulation.now() + 5000,
                       [&simulation, leader] { simulation.freeze(leader, 6000); });
     }},
    {"ProvisionUnanswered", HardCase::When::ProvisionRequested, delay_and_freeze},
    {"ProvisionedInPartAndUnanswered", HardCase::When::ProvisionRequested,
     [](Simulation& simulation, std::size_t leader) {
         simulation.set_capacity(static_cast<int>(kFleet) - 3);
         simulation.lose_cloud_answers(1.0, 6000);
         simulation.at(simulation.now() + 300,
                       [&simulation, leader] { simulation.freeze(leader, 6000); });
     }},
    {"ProvisionIntentOnItsWay", HardCase::When::IntentWritten,
     [](Simulation& simulation, std::size_t leader) {
         simulation.late_writes(1.0, 800);
         simulation.at(simulation.now() + 400,
                       [&simulation, leader] { simulation.crash(leader, 200); });
     }},
};

class FencedHardCase : public ::testing::TestWithParam<HardCase> {};

TEST_P(FencedHardCase, BreaksNoRule) {
    for (std::uint64_t seed = 60'000; seed < 60'010; ++seed) {
        auto options = idle_fleet(GetParam(), seed);
        EXPECT_EQ(play(GetParam(), options), "");
        options.cloud_checks_epochs = true;
        EXPECT_EQ(play(GetParam(), options), "") << "with a cloud that checks epochs";
    }
}

TEST_P(FencedHardCase, IsSeenWithoutItsGuard) {
    if (GetParam().guard == nullptr) return;
    for (std::uint64_t seed = 60'000; seed < 60'040; ++seed) {
        auto options = idle_fleet(GetParam(), seed);
        options.guards.*GetParam().guard = false;
        if (!play(GetParam(), options).empty()) return;
    }
    FAIL() << "no day shows that the guard is off";
}
INSTANTIATE_TEST_SUITE_P(Cases, FencedHardCase, ::testing::ValuesIn(kHardCases),
                         [](const auto& param) { return std::string(param.param.name); });

}  // namespace
}  // namespace lichendrift::simulation
