// Real controllers over loopback, stopped and continued by signals again and again while machines
// come and go: no act of a replaced holder may affect a machine in use.
#include <gtest/gtest.h>

#include <cstdlib>

#include "simulation/duty_requests.h"
#include "simulation/loopback_environment.h"
#include "simulation/messages.h"

namespace lichendrift::simulation {
namespace {

constexpr Millis kPatience = 60'000;  // also on a machine that is busy with other things
constexpr Millis kDisturbEvery = 4000;

Options settings_of(std::uint64_t seed) {
    auto options = calm(seed);
    options.report_s = 0.4;
    options.lease_s = 6;
    options.cancel_s = 20;
    options.machines = 4;
    options.busy_ms = 1'000'000;
    options.teams = {{"core", {}, {}}};
    options.policy = "idle_keep = 1s\nspare_machines = 0\nsilent_patience = 2s\n";
    return options;
}

std::uint64_t provisioning_epoch(Simulation& simulation) {
    const auto it = simulation.store().find("duty/provisioning");
    return it == simulation.store().end() ? 0 : parsed(it->second.first)["e"].GetUint64();
}

std::optional<std::size_t> leading(Simulation& simulation) {
    const auto it = simulation.store().find("leader");
    if (it == simulation.store().end()) return std::nullopt;
    const std::string member = parsed(it->second.first)["m"].GetString();
    return static_cast<std::size_t>(member.at(1) - '0');
}

// One machine falls silent for a while and is released for it; now and then one is lost.
void disturb_machines(Simulation& simulation, std::mt19937_64& rng) {
    std::vector<Worker*> up;
    for (auto& [name, worker] : simulation.workers()) {
        if (worker.up && !worker.gone) up.push_back(&worker);
    }
    if (up.empty()) return;
    up[rng() % up.size()]->hung_until = simulation.now() + 3000 + static_cast<Millis>(rng() % 2500);
    if (rng() % 3 == 0) simulation.lose_worker(*up[rng() % up.size()]);
}

std::uint64_t rounds_wanted() {
    // NOLINTNEXTLINE(concurrency-mt-unsafe): no other thread runs yet.
    const char* wanted = std::getenv("DUTY_ROUNDS");
    return wanted == nullptr ? 8 : std::strtoull(wanted, nullptr, 10);
}

class FencedLoopback : public ::testing::TestWithParam<int> {};

TEST_P(FencedLoopback, StoppedAndContinuedInMidAct) {
    const auto seed = static_cast<std::uint64_t>(GetParam());
    LoopbackEnvironment environment(settings_of(seed), LICHENDRIFT_DEPLOYED_FEATURES);
    auto& simulation = environment.simulation();
    simulation.set_capacity(8);
    simulation.set_boot(400);
    simulation.set_never(0);
    std::mt19937_64 rng(seed);
    ASSERT_TRUE(
        environment.run_until([&] { return provisioning_epoch(simulation) == 1; }, kPatience));

    // In the middle of an act the leader is stopped; its request arrives late.
    bool armed = false;
    bool at_release = false;  // or else at the first act of any kind
    std::optional<std::size_t> stopped;
    environment.delay([&](std::size_t node, const net::HttpRequest& request) -> Millis {
        const bool any_act = is_release(request) || is_provision(request) || writes_intent(request);
        const bool wanted = at_release ? is_release(request) : any_act;
        if (!armed || stopped || !wanted) return 0;
        environment.stop(node);
        stopped = node;
        // Mostly until after the successor has begun.
        return rng() % 4 == 0 ? 0 : 2500 + static_cast<Millis>(rng() % 3000);
    });
    std::size_t number = 1;
    const auto add_jobs = [&] {
        for (std::size_t n = 0; n < 5; ++n) {
            auto job =
                plain(numbered(number++), 1, 1, simulation.now() + static_cast<Millis>(n) * 60);
            job.cpus = 8;
            simulation.jobs().push_back(job);
        }
    };
    for (std::uint64_t round = 0; round < rounds_wanted() && simulation.broken().empty(); ++round) {
        const auto epoch = provisioning_epoch(simulation);
        add_jobs();
        at_release = round % 2 == 0;
        armed = true;
        const auto is_stopped = [&] { return stopped.has_value(); };
        bool found = false;
        for (Millis waited = 0; !found && waited < kPatience; waited += kDisturbEvery) {
            disturb_machines(simulation, rng);
            found = environment.run_until(is_stopped, kDisturbEvery);
        }
        ASSERT_TRUE(found);
        add_jobs();
        ASSERT_TRUE(environment.run_until([&] { return provisioning_epoch(simulation) > epoch; },
                                          kPatience));
        armed = false;
        environment.run_for(static_cast<Millis>(rng() % 400));
        environment.resume(*stopped);
        stopped.reset();
    }
    const auto all_done = [&] {
        return std::all_of(simulation.jobs().begin(), simulation.jobs().end(),
                           [](const Job& job) { return job.done_reported; });
    };
    EXPECT_TRUE(environment.run_until([&] { return all_done() || !simulation.broken().empty(); },
                                      kPatience + 30'000));
    for (const auto& job : simulation.jobs()) {
        if (job.done_reported) continue;
        ADD_FAILURE() << job.id << " submitted " << job.submitted << " at " << job.submit_at
                      << ", accepted " << job.accepted << ", tasks done " << job.done_tasks.size()
                      << ", answered " << job.responded_at << ", now " << simulation.now();
    }
    EXPECT_EQ(simulation.broken(), "");
    EXPECT_GT(provisioning_epoch(simulation), rounds_wanted());
    RecordProperty("released", static_cast<int>(simulation.releases().machines));
    RecordProperty("late", static_cast<int>(simulation.releases().late));
    RecordProperty("by_replaced", static_cast<int>(simulation.releases().by_replaced));
}
INSTANTIATE_TEST_SUITE_P(Runs, FencedLoopback, ::testing::Range(1, 5));

// On a signal to end a controller releases its leases: nobody waits for them to expire.
TEST(DutiesOnLoopback, AreHandedOverByAControllerThatIsTerminated) {
    LoopbackEnvironment environment(settings_of(9), LICHENDRIFT_DEPLOYED_FEATURES);
    auto& simulation = environment.simulation();
    ASSERT_TRUE(
        environment.run_until([&] { return provisioning_epoch(simulation) == 1; }, kPatience));
    const auto first = leading(simulation);
    ASSERT_TRUE(first);
    EXPECT_TRUE(environment.terminate(*first, kPatience));
    ASSERT_TRUE(
        environment.run_until([&] { return provisioning_epoch(simulation) == 2; }, kPatience));
    EXPECT_NE(leading(simulation), first);
    EXPECT_EQ(simulation.broken(), "");
}

}  // namespace
}  // namespace lichendrift::simulation
