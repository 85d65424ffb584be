// The placement rule of docs/design.md on small snapshots.
#include "core/planner.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace lichendrift::core {
namespace {

// Machines of one type with 8 cores, in the zones 0 and 1; the team 0 without quota and the team 1
// with a guarantee of 4 cores.
class PlannerTest : public ::testing::Test {
  protected:
    static constexpr std::int64_t kCore = 1000;  // thousandths
    static constexpr std::int64_t kWholeMachine = 8 * kCore;
    static constexpr Millis kOldEnoughMs = 100'000;  // to be released or drained
    static constexpr TeamIndex kTeamWithGuarantee = 1;

    PlannerTest() {
        MachineType type;
        type.name = "box";
        type.capacity = {kWholeMachine, 2000, 16000};
        type.hourly = 4;
        type.spot_hourly = 1;
        type.zones = {"a", "b"};
        snapshot_.types = {type};
        snapshot_.type_zones = {{0, 1}};
        snapshot_.zone_count = 2;
        snapshot_.teams = {{"core", {}, {}}, {"side", {4 * kCore, 0, 0}, {}}};
        snapshot_.team_used.resize(2);
    }
    MachineIndex add_machine(ZoneIndex zone, std::int64_t free_cpus, bool spot = false) {
        MachineView machine;
        machine.index = static_cast<MachineIndex>(snapshot_.machines.size());
        machine.type = 0;
        machine.zone = zone;
        machine.spot = spot;
        machine.usable = true;
        machine.capacity = snapshot_.types[0].capacity;
        machine.free = {free_cpus, 2000, 16000};
        snapshot_.machines.push_back(machine);
        return machine.index;
    }
    JobIndex add_job(bool gang, std::uint32_t count, std::int64_t cpus, Priority priority,
                     TeamIndex team) {
        const auto index = static_cast<JobIndex>(snapshot_.jobs.size());
        JobSpec spec;
        spec.team = team;
        spec.gang = gang;
        spec.priority = priority;
        spec.count = count;
        spec.need = {cpus, 0, 1000};
        spec.spot = true;
        spec.image = index;
        spec.submitted_ms = index;
        snapshot_.jobs[index] = {spec, false};
        WaitingJob waiting;
        waiting.job = index;
        waiting.waiting_tasks = count;
        snapshot_.waiting_jobs.push_back(waiting);
        return index;
    }
    JobIndex add_gang(std::uint32_t count, std::int64_t cpus, Priority priority = Priority::Normal,
                      TeamIndex team = 0) {
        return add_job(true, count, cpus, priority, team);
    }
    JobIndex add_array(std::uint32_t count, std::int64_t cpus,
                       Priority priority = Priority::Normal) {
        return add_job(false, count, cpus, priority, 0);
    }
    JobSpec& spec(JobIndex job) { return snapshot_.jobs[job].spec; }
    WaitingJob& waiting(std::size_t position) { return snapshot_.waiting_jobs[position]; }
    // A task of the job runs on the machine; nothing of the job waits any more.
    AllocationView& add_allocation(JobIndex job, MachineIndex machine) {
        AllocationView allocation;
        allocation.index = static_cast<AllocationIndex>(snapshot_.allocations.size());
        allocation.attempt = 100 + allocation.index;
        allocation.machine = machine;
        allocation.job = job;
        allocation.remaining_s = 100;
        snapshot_.allocations.push_back(allocation);
        std::erase_if(snapshot_.waiting_jobs, [&](const auto& other) { return other.job == job; });
        return snapshot_.allocations.back();
    }
    void refuse_provisions(ZoneIndex zone) {
        snapshot_.refused_provisions.push_back({0, zone, true});
        snapshot_.refused_provisions.push_back({0, zone, false});
    }
    [[nodiscard]] Plan plan() const { return make_plan(snapshot_); }

    Snapshot snapshot_;
};

// One zone has capacity for all of it and the other none: each plan asked for one more machine
// where there was capacity already, and the last that the cloud had went there.
TEST_F(PlannerTest, ProvisionsForApartJobOnlyInZoneWithoutCapacity) {
    add_machine(1, kWholeMachine);
    add_machine(1, kWholeMachine);
    spec(add_gang(2, kWholeMachine)).spread_zones = true;
    const auto made = plan();
    ASSERT_EQ(made.provisions.size(), 1U);
    EXPECT_EQ(made.provisions[0].zone, 0U);
    EXPECT_EQ(made.provisions[0].count, 1U);
    refuse_provisions(0);
    EXPECT_TRUE(plan().provisions.empty());
}

// A gang waited for ever: the machines that it avoided after failures counted as capacity for it,
// so nothing was provisioned.
TEST_F(PlannerTest, ProvisionsBesideMachinesThatTheJobAvoids) {
    const auto failed = add_machine(0, kWholeMachine);
    add_machine(1, kWholeMachine);
    spec(add_gang(2, kWholeMachine)).spread_zones = true;
    waiting(0).avoided_machines = {failed};
    const auto made = plan();
    EXPECT_TRUE(made.starts.empty());
    ASSERT_EQ(made.provisions.size(), 1U);
    EXPECT_EQ(made.provisions[0].zone, 0U);
}

// The rest of an array was provisioned in the zone of its last task, where it may not go.
TEST_F(PlannerTest, ProvisionsForRestOfApartArrayInTheOtherZone) {
    spec(add_array(4, kWholeMachine)).spread_zones = true;
    waiting(0).waiting_tasks = 2;
    waiting(0).has_started = true;
    waiting(0).zone_counts = {0, 2};
    const auto made = plan();
    ASSERT_EQ(made.provisions.size(), 1U);
    EXPECT_EQ(made.provisions[0].zone, 0U);
    EXPECT_EQ(made.provisions[0].count, 2U);
}

// Two gangs of different zones each had a part of the few machines that the cloud gave. What the
// first could use is kept, what only the second could use is released.
TEST_F(PlannerTest, KeepsIdleMachinesForTheFirstWaitingGangOnly) {
    const auto first = add_machine(0, kWholeMachine);
    const auto second = add_machine(1, kWholeMachine);
    for (auto& machine : snapshot_.machines) machine.idle_ms = machine.age_ms = kOldEnoughMs;
    for (const ZoneIndex zone : {0U, 1U}) {
        spec(add_gang(2, kWholeMachine)).zone = zone;
        refuse_provisions(zone);
    }
    waiting(0).order_s = 1;
    waiting(1).order_s = 2;
    EXPECT_EQ(plan().releases, std::vector<MachineIndex>{second}) << first;
}

TEST_F(PlannerTest, SpreadsReplicasOverMachinesWithoutTheImage) {
    for (int k = 0; k < 4; ++k) add_machine(static_cast<ZoneIndex>(k % 2), kWholeMachine);
    spec(add_array(4, kCore, Priority::Critical)).service = true;
    const auto made = plan();
    ASSERT_EQ(made.starts.size(), 1U);
    auto machines = made.starts[0].machines;
    std::sort(machines.begin(), machines.end());
    EXPECT_EQ(std::unique(machines.begin(), machines.end()), machines.end());
}

TEST_F(PlannerTest, OneZoneGangTakesTheTightestZoneThatFitsItWhole) {
    add_machine(0, kWholeMachine);
    add_machine(0, kWholeMachine);
    const auto tight = add_machine(1, 4 * kCore);
    spec(add_gang(2, 2 * kCore)).one_zone = true;
    auto made = plan();
    ASSERT_EQ(made.starts.size(), 1U);
    EXPECT_EQ(made.starts[0].machines, (std::vector<MachineIndex>{tight, tight}));
    EXPECT_TRUE(made.starts[0].rejected_zones.empty());
    snapshot_.machines[tight].free.cpus = 3 * kCore;
    made = plan();
    ASSERT_EQ(made.starts.size(), 1U);
    EXPECT_EQ(made.starts[0].rejected_zones, (std::vector<ZoneIndex>{1}));
}

TEST_F(PlannerTest, GangIsNeverStartedInPart) {
    add_machine(0, 4 * kCore);
    add_machine(1, 4 * kCore);
    const auto gang = add_gang(2, 3 * kCore);
    spec(gang).one_zone = true;
    EXPECT_TRUE(plan().starts.empty());
    spec(gang).one_zone = false;
    EXPECT_EQ(plan().starts.size(), 1U);
}

TEST_F(PlannerTest, ArrayStartsAsManyTasksAsFitInOneDecision) {
    add_machine(0, kWholeMachine);
    add_array(100'000, kCore);
    const auto made = plan();
    ASSERT_EQ(made.starts.size(), 1U);
    EXPECT_EQ(made.starts[0].machines.size(), 8U);
}

TEST_F(PlannerTest, ApartJobHasAtMostHalfOfItsTasksInAZone) {
    add_machine(0, kWholeMachine);
    add_machine(1, kWholeMachine);
    spec(add_gang(5, kCore)).spread_zones = true;
    const auto made = plan();
    ASSERT_EQ(made.starts.size(), 1U);
    const auto& machines = made.starts[0].machines;
    EXPECT_LE(std::count(machines.begin(), machines.end(), 0U), 3);
    EXPECT_LE(std::count(machines.begin(), machines.end(), 1U), 3);
}

TEST_F(PlannerTest, HigherPriorityPreemptsAsFewAsItCan) {
    const auto machine = add_machine(0, 0);
    const auto low = add_array(4, 2 * kCore, Priority::Low);
    for (int k = 0; k < 4; ++k) add_allocation(low, machine);
    const auto high = add_gang(1, 4 * kCore, Priority::High);
    const auto made = plan();
    EXPECT_TRUE(made.starts.empty());
    ASSERT_EQ(made.preemptions.size(), 2U);
    EXPECT_EQ(made.preemptions[0].preemptor, high);
    EXPECT_EQ(made.preemptions[1].preemptor, high);
}

TEST_F(PlannerTest, SamePriorityIsNeverPreempted) {
    const auto machine = add_machine(0, 0);
    add_allocation(add_array(1, kWholeMachine), machine);
    add_gang(1, 4 * kCore);
    EXPECT_TRUE(plan().preemptions.empty());
}

TEST_F(PlannerTest, GuaranteedWorkPreemptsOtherTeamsBeyondTheirGuarantee) {
    const auto machine = add_machine(0, 0);
    const auto running = add_array(1, kWholeMachine, Priority::Critical);
    add_allocation(running, machine);
    const auto guaranteed = add_gang(1, 4 * kCore, Priority::Low, kTeamWithGuarantee);
    snapshot_.waiting_jobs.back().in_guarantee = true;
    snapshot_.jobs[guaranteed].in_guarantee = true;
    EXPECT_EQ(plan().preemptions.size(), 1U);
    snapshot_.jobs[running].in_guarantee = true;
    EXPECT_TRUE(plan().preemptions.empty());
}

TEST_F(PlannerTest, ReleasingCapacityIsHeldForTheJobThatPreempted) {
    const auto machine = add_machine(0, 0);
    add_allocation(add_array(1, kWholeMachine, Priority::Low), machine).stopping = true;
    add_gang(1, kWholeMachine, Priority::High);
    add_array(1, kCore);
    snapshot_.machines[0].free = {kCore, 2000, 16000};
    // The small one would take a part of what the stopped task releases.
    EXPECT_TRUE(plan().starts.empty());
}

TEST_F(PlannerTest, StarvedGangGetsAReservation) {
    add_machine(0, 4 * kCore);
    add_machine(0, 4 * kCore);
    const auto gang = add_gang(2, kWholeMachine);
    spec(gang).one_zone = true;
    add_array(50, kCore);
    waiting(0).waited_ms = 1000;
    EXPECT_EQ(plan().starts.size(), 1U);
    waiting(0).waited_ms = spec(gang).starvation_threshold_ms + 1;
    EXPECT_TRUE(plan().starts.empty());
}

TEST_F(PlannerTest, ProvisionsTheCheapestAllowedKind) {
    const auto array = add_array(3, 4 * kCore);
    const auto made = plan();
    ASSERT_FALSE(made.provisions.empty());
    std::uint32_t machines = 0;
    for (const auto& provision : made.provisions) {
        EXPECT_TRUE(provision.spot);
        machines += provision.count;
    }
    EXPECT_EQ(machines, 2U);
    spec(array).spot = false;
    for (const auto& provision : plan().provisions) EXPECT_FALSE(provision.spot);
}

// Many large starved arrays: each starts with a few tasks, none takes all the capacity.
TEST_F(PlannerTest, StarvedArraysAllStart) {
    for (int k = 0; k < 3; ++k) add_machine(0, kWholeMachine);
    for (int k = 0; k < 6; ++k) {
        const auto array = add_array(50, kCore);
        snapshot_.waiting_jobs.back().waited_ms = spec(array).starvation_threshold_ms + 1000 - k;
    }
    EXPECT_EQ(plan().starts.size(), 6U);
}

// After a peak each machine keeps a little work: a share of the fleet is drained by one plan, and
// its work never counts on the same capacity twice.
TEST_F(PlannerTest, DrainsSeveralMachinesOntoCapacityThatThereIs) {
    constexpr ImageIndex kImage = 7;
    snapshot_.tuning.max_drained_share = 0.5;
    for (int k = 0; k < 8; ++k) {
        const auto machine = add_machine(0, 4 * kCore, k >= 4);
        snapshot_.machines[machine].age_ms = kOldEnoughMs;
        snapshot_.machines[machine].images = {kImage};
        const auto gang = add_gang(1, 4 * kCore);
        spec(gang).checkpoint_s = 5;
        spec(gang).image = kImage;
        add_allocation(gang, machine).ran_ms = 60'000;
    }
    // On-demand machines first, each onto the one free half of a spot machine.
    EXPECT_EQ(plan().drains, (std::vector<MachineIndex>{0, 1, 2, 3}));
    for (const MachineIndex machine : {4U, 5U}) snapshot_.machines[machine].free = {0, 0, 0};
    // Two onto spot capacity, one onto another on-demand machine.
    EXPECT_EQ(plan().drains.size(), 3U);
}

TEST_F(PlannerTest, TeamLimitBoundsTheTasksStarted) {
    add_machine(0, kWholeMachine);
    snapshot_.teams[0].limit = {3 * kCore, 0, 0};
    snapshot_.team_used[0] = {kCore, 0, 0};
    add_array(8, kCore);
    const auto made = plan();
    ASSERT_EQ(made.starts.size(), 1U);
    EXPECT_EQ(made.starts[0].machines.size(), 2U);
}

}  // namespace
}  // namespace lichendrift::core
