// Services: jobs whose replicas run until the user cancels the job.
#include <gtest/gtest.h>

#include <map>

#include "simulation/simulation.h"

namespace lichendrift::simulation {
namespace {

// The share of the replica time that was due in which replicas were up; 0 if none was due.
double availability(const Job& job) {
    return job.replica_due_ms == 0
               ? 0
               : static_cast<double>(job.replica_up_ms) / static_cast<double>(job.replica_due_ms);
}

std::map<std::string, int> replicas_by_machine(Simulation& simulation, const std::string& id) {
    std::map<std::string, int> out;
    for (const auto& [name, worker] : simulation.workers()) {
        for (const auto& task : worker.tasks) {
            if (!worker.gone && task.job == id && task.state == "running") ++out[name];
        }
    }
    return out;
}

int running(Simulation& simulation, const std::string& id) {
    int sum = 0;
    for (const auto& [name, count] : replicas_by_machine(simulation, id)) sum += count;
    return sum;
}

Options service_options(std::uint64_t seed) {
    auto options = fault_free_options(seed);
    options.machines = 6;
    options.settle_ms = 120'000;
    options.alternate_zones = true;
    return options;
}

TEST(Services, RunUntilTheyAreCancelled) {
    Simulation simulation(service_options(1));
    simulation.jobs().push_back(service("job-000001", 4, 1000, 60'000));
    simulation.advance(58'000);
    EXPECT_EQ(running(simulation, "job-000001"), 4);
    EXPECT_GT(availability(simulation.jobs()[0]), 0.99);
    EXPECT_EQ(simulation.run(), "");
    EXPECT_GE(simulation.jobs()[0].cancel_confirmed_at, 60'000);
    EXPECT_EQ(running(simulation, "job-000001"), 0);
    EXPECT_EQ(simulation.total_starts(), 4U);
}

TEST(Services, ReplicasAreSpreadOverMachinesAndZones) {
    Simulation simulation(service_options(2));
    // Submitted at 6 s, as the leader does not know all machines before.
    simulation.jobs().push_back(service("job-000001", 6, 6000));
    simulation.advance(20'000);
    for (const auto& [name, count] : replicas_by_machine(simulation, "job-000001")) {
        EXPECT_LE(count, 2) << name;
    }
}

TEST(Services, ReplicasOfALostMachineRunElsewhereSoon) {
    Simulation simulation(service_options(3));
    simulation.jobs().push_back(service("job-000001", 4, 1000));
    simulation.advance(20'000);
    const auto lost = replicas_by_machine(simulation, "job-000001").begin()->first;
    simulation.lose_worker(simulation.workers().at(lost));
    simulation.advance(40'000);
    EXPECT_EQ(running(simulation, "job-000001"), 4);
    EXPECT_EQ(simulation.violation(), "");
}

TEST(Services, ReplicasMoveBeforeTheirMachineIsPreempted) {
    Simulation simulation(service_options(4));
    auto job = service("job-000001", 4, 1000);
    simulation.jobs().push_back(job);
    simulation.advance(20'000);
    const auto preempted = replicas_by_machine(simulation, "job-000001").begin()->first;
    simulation.workers().at(preempted).interrupted_at = 28'000;
    simulation.advance(27'000);
    EXPECT_EQ(replicas_by_machine(simulation, "job-000001").count(preempted), 0U);
    EXPECT_EQ(running(simulation, "job-000001"), 4);
    EXPECT_EQ(simulation.violation(), "");
}

// A replica that ends, with or without an error, is restarted at once; one that ends repeatedly is
// restarted after a backoff.
TEST(Services, ReplicasThatEndAreRestarted) {
    for (const bool crash : {false, true}) {
        Simulation simulation(service_options(5));
        auto job = service("job-000001", 3, 1000);
        job.replica_s = 40;
        job.replicas_crash = crash;
        simulation.jobs().push_back(job);
        simulation.advance(180'000);
        EXPECT_EQ(simulation.violation(), "");
        EXPECT_GT(availability(simulation.jobs()[0]), 0.9);
    }
}

TEST(Services, CrashLoopsBackOffAndMarkNoMachineAsFaulty) {
    Simulation simulation(service_options(6));
    for (std::size_t n = 1; n <= 3; ++n) {
        auto job = service(numbered_job_id(n), 2, 1000);
        job.always_fails = true;
        simulation.jobs().push_back(job);
    }
    simulation.jobs().push_back(service("job-000009", 4, 1000));
    simulation.advance(150'000);
    EXPECT_EQ(simulation.violation(), "");
    EXPECT_GT(availability(simulation.jobs()[3]), 0.9);
    EXPECT_LE(simulation.total_starts(), 100U);
    EXPECT_GT(simulation.total_starts(), 20U);
    int up = 0;
    for (const auto& [name, worker] : simulation.workers()) up += worker.up && !worker.gone ? 1 : 0;
    EXPECT_GE(up, 2);
}

TEST(Services, CriticalReplicasPreemptLowerPrioritiesWhenTheFleetIsFull) {
    auto options = service_options(7);
    options.teams = {{"core", {}, {}}};
    Simulation simulation(options);
    simulation.set_capacity(6);
    auto low = batch_job("job-000001", 200, 60, 500);
    low.priority = "low";
    low.checkpoint_s = 0;
    simulation.jobs().push_back(low);
    simulation.jobs().push_back(service("job-000002", 4, 20'000));
    simulation.advance(30'000);
    EXPECT_EQ(running(simulation, "job-000002"), 4);
    EXPECT_EQ(simulation.violation(), "");
}

// A service is refused if all its replicas together exceed the team's limit of any resource.
TEST(Services, MoreThanTheTeamsLimitIsRefused) {
    auto options = service_options(8);
    options.teams = {{"core", {}, {3000, 0, 0}}};
    Simulation simulation(options);
    simulation.jobs().push_back(service("job-000001", 4, 1000));
    simulation.jobs().push_back(service("job-000002", 3, 1000));
    simulation.advance(20'000);
    EXPECT_LT(simulation.jobs()[0].accepted_at, 0);
    EXPECT_GE(simulation.jobs()[1].accepted_at, 0);
    EXPECT_EQ(running(simulation, "job-000002"), 3);
}

TEST(Services, SurviveTheLossOfTheLeaderAndOfAMachine) {
    for (std::uint64_t seed = 10; seed < 20; ++seed) {
        Simulation simulation(service_options(seed));
        simulation.jobs().push_back(service("job-000001", 4, 1000));
        simulation.at(20'000, [&simulation] {
            if (const auto leader = simulation.leader()) simulation.crash(*leader, 2000);
            const auto replicas = replicas_by_machine(simulation, "job-000001");
            if (!replicas.empty())
                simulation.lose_worker(simulation.workers().at(replicas.begin()->first));
        });
        simulation.advance(50'000);
        EXPECT_EQ(running(simulation, "job-000001"), 4) << seed;
        EXPECT_EQ(simulation.violation(), "");
        EXPECT_GT(availability(simulation.jobs()[0]), 0.85);
    }
}

// Machines of a partitioned zone are kept for the time of three leases, but its replicas are down
// after one, so machines with replicas are released then.
TEST(Services, ReplicasOfAPartitionedZoneRunElsewhereOnceItsLeasesHaveExpired) {
    auto options = service_options(30);
    options.machines = 20;
    Simulation simulation(options);
    simulation.set_capacity(30);
    simulation.jobs().push_back(service("job-000001", 6, 6000));
    simulation.jobs()[0].apart = false;
    // The controller in the zone must not be the leader, as it would keep the zone's workers.
    simulation.at(8000, [&simulation] {
        if (simulation.leader() == std::optional<std::size_t>(0)) simulation.crash(0, 2000);
    });
    simulation.at(20'000, [&simulation] { simulation.partition_zone("a", "", 22'000, false); });
    simulation.advance(38'000);
    EXPECT_EQ(running(simulation, "job-000001"), 6);
    EXPECT_EQ(simulation.violation(), "");
    EXPECT_EQ(simulation.run(), "");
}

// Random days with services among the other jobs; every rule is checked after each step.
class ServicesDay : public ::testing::TestWithParam<int> {};

TEST_P(ServicesDay, ViolatesNoRule) {
    for (std::uint64_t i = 0; i < 12; ++i) {
        Options options;
        options.seed = 20'000 + static_cast<std::uint64_t>(GetParam()) * 100 + i;
        options.nodes = i % 2 == 0 ? 3 : 5;
        Simulation simulation(options);
        std::mt19937_64 rng(options.seed);
        for (std::size_t n = 0; n < 5; ++n) {
            const auto at = static_cast<Millis>(rng() % 50'000);
            auto job = service(numbered_job_id(700'000 + n),
                               static_cast<std::uint32_t>(1 + rng() % 5), at);
            job.apart = n % 2 == 0;
            job.spot = n == 4;
            if (n < 3) job.cancel_at = at + static_cast<Millis>(rng() % 80'000);
            if (n == 1) job.replica_s = 4;
            job.replicas_crash = rng() % 2 == 0;
            simulation.jobs().push_back(job);
        }
        EXPECT_EQ(simulation.run(), "") << "seed " << options.seed;
    }
}
INSTANTIATE_TEST_SUITE_P(Days, ServicesDay, ::testing::Range(1, 6));

}  // namespace
}  // namespace lichendrift::simulation
