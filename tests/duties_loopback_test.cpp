// Runs controller processes over loopback, paused and resumed by signals (SIGSTOP, SIGCONT) while
// machines are added and lost. Guards against a request of a replaced duty holder that releases a
// machine in use.
#include <gtest/gtest.h>

#include <cstdlib>

#include "simulation/duty_requests.h"
#include "simulation/loopback_environment.h"
#include "simulation/messages.h"

namespace lichendrift::simulation {
namespace {

constexpr Millis kWaitTimeoutMs = 60'000;  // long enough for a busy machine
constexpr Millis kDisturbIntervalMs = 4000;

Options options_with_seed(std::uint64_t seed) {
    auto options = fault_free_options(seed);
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

std::optional<std::size_t> stored_leader(Simulation& simulation) {
    const auto it = simulation.store().find("leader");
    if (it == simulation.store().end()) return std::nullopt;
    const std::string member = parsed(it->second.first)["m"].GetString();
    return static_cast<std::size_t>(member.at(1) - '0');
}

// Makes one machine silent for a while, so that the leader releases it. One time in three it also
// removes a machine.
void disturb_random_machines(Simulation& simulation, std::mt19937_64& rng) {
    std::vector<Worker*> running;
    for (auto& [name, worker] : simulation.workers()) {
        if (worker.up && !worker.gone) running.push_back(&worker);
    }
    if (running.empty()) return;
    running[rng() % running.size()]->hung_until =
        simulation.now() + 3000 + static_cast<Millis>(rng() % 2500);
    if (rng() % 3 == 0) simulation.lose_worker(*running[rng() % running.size()]);
}

std::uint64_t round_count() {
    // NOLINTNEXTLINE(concurrency-mt-unsafe): no other thread runs yet.
    const char* wanted = std::getenv("DUTY_ROUNDS");
    return wanted == nullptr ? 8 : std::strtoull(wanted, nullptr, 10);
}

class FencedLoopback : public ::testing::TestWithParam<int> {};

TEST_P(FencedLoopback, StopsAndResumesTheLeaderDuringARequest) {
    const auto seed = static_cast<std::uint64_t>(GetParam());
    LoopbackEnvironment environment(options_with_seed(seed), LICHENDRIFT_DEPLOYED_FEATURES);
    auto& simulation = environment.simulation();
    simulation.set_capacity(8);
    simulation.set_boot_time(400);
    simulation.set_never_boots_share(0);
    std::mt19937_64 rng(seed);
    ASSERT_TRUE(
        environment.run_until([&] { return provisioning_epoch(simulation) == 1; }, kWaitTimeoutMs));

    // Pauses the leader while it sends a request, and delays that request.
    bool stop_armed = false;
    bool stop_at_release = false;  // otherwise at the first request of a duty
    std::optional<std::size_t> stopped;
    environment.delay([&](std::size_t node, const net::HttpRequest& request) -> Millis {
        const bool duty_request =
            is_release(request) || is_provision(request) || writes_intent(request);
        const bool wanted = stop_at_release ? is_release(request) : duty_request;
        if (!stop_armed || stopped || !wanted) return 0;
        environment.stop(node);
        stopped = node;
        // Mostly delays the request until its sender has been replaced as leader.
        return rng() % 4 == 0 ? 0 : 2500 + static_cast<Millis>(rng() % 3000);
    });
    std::size_t number = 1;
    const auto add_jobs = [&] {
        for (std::size_t n = 0; n < 5; ++n) {
            auto job = batch_job(numbered_job_id(number++), 1, 1,
                                 simulation.now() + static_cast<Millis>(n) * 60);
            job.cpus = 8;
            simulation.jobs().push_back(job);
        }
    };
    for (std::uint64_t round = 0; round < round_count() && simulation.violation().empty();
         ++round) {
        const auto epoch = provisioning_epoch(simulation);
        add_jobs();
        stop_at_release = round % 2 == 0;
        stop_armed = true;
        const auto is_stopped = [&] { return stopped.has_value(); };
        bool found = false;
        for (Millis waited = 0; !found && waited < kWaitTimeoutMs; waited += kDisturbIntervalMs) {
            disturb_random_machines(simulation, rng);
            found = environment.run_until(is_stopped, kDisturbIntervalMs);
        }
        ASSERT_TRUE(found);
        add_jobs();
        ASSERT_TRUE(environment.run_until([&] { return provisioning_epoch(simulation) > epoch; },
                                          kWaitTimeoutMs));
        stop_armed = false;
        environment.run_for(static_cast<Millis>(rng() % 400));
        environment.resume(*stopped);
        stopped.reset();
    }
    const auto all_done = [&] {
        return std::all_of(simulation.jobs().begin(), simulation.jobs().end(),
                           [](const Job& job) { return job.done_reported; });
    };
    EXPECT_TRUE(environment.run_until([&] { return all_done() || !simulation.violation().empty(); },
                                      kWaitTimeoutMs + 30'000));
    for (const auto& job : simulation.jobs()) {
        if (job.done_reported) continue;
        ADD_FAILURE() << job.id << " submitted " << job.submitted << " at " << job.submit_at
                      << ", accepted " << job.accepted_at << ", tasks done "
                      << job.done_tasks.size() << ", answered " << job.last_answered_at << ", now "
                      << simulation.now();
    }
    EXPECT_EQ(simulation.violation(), "");
    EXPECT_GT(provisioning_epoch(simulation), round_count());
    RecordProperty("released", static_cast<int>(simulation.releases().machines));
    RecordProperty("late", static_cast<int>(simulation.releases().late));
    RecordProperty("by_replaced", static_cast<int>(simulation.releases().by_replaced));
}
INSTANTIATE_TEST_SUITE_P(Runs, FencedLoopback, ::testing::Range(1, 5));

// On SIGTERM a controller releases its leases, so that its successor need not wait until they
// expire.
TEST(DutiesOnLoopback, AreHandedOverWhenTheHolderIsTerminated) {
    LoopbackEnvironment environment(options_with_seed(9), LICHENDRIFT_DEPLOYED_FEATURES);
    auto& simulation = environment.simulation();
    ASSERT_TRUE(
        environment.run_until([&] { return provisioning_epoch(simulation) == 1; }, kWaitTimeoutMs));
    const auto first = stored_leader(simulation);
    ASSERT_TRUE(first);
    EXPECT_TRUE(environment.terminate(*first, kWaitTimeoutMs));
    ASSERT_TRUE(
        environment.run_until([&] { return provisioning_epoch(simulation) == 2; }, kWaitTimeoutMs));
    EXPECT_NE(stored_leader(simulation), first);
    EXPECT_EQ(simulation.violation(), "");
}

}  // namespace
}  // namespace lichendrift::simulation
