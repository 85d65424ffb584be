// Tests the placement rule of docs/design.md on small snapshots.
#include "core/planner.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace lichendrift::core {
namespace {

// Uses machines of one type with 8 cores in zones 0 and 1, team 0 without a quota, and team 1 with
// a guarantee of 4 cores.
class PlannerTest : public ::testing::Test {
  protected:
    static constexpr std::int64_t kCore = 1000;  // thousandths
    static constexpr std::int64_t kWholeMachine = 8 * kCore;
    static constexpr Millis kOldEnoughMs = 100'000;  // for release and drain
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
    // Adds a running task of the job on the machine and removes the job from the waiting jobs.
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

// One zone has capacity for all tasks and the other for none. Guards against provisioning another
// machine per plan in the zone that has capacity already, which used up the cloud's last machine.
TEST_F(PlannerTest, ProvisionsForSpreadZonesJobOnlyInZoneWithoutCapacity) {
    add_machine(1, kWholeMachine);
    add_machine(1, kWholeMachine);
    spec(add_gang(2, kWholeMachine)).spread_zones = true;
    const auto result = plan();
    ASSERT_EQ(result.provisions.size(), 1U);
    EXPECT_EQ(result.provisions[0].zone, 0U);
    EXPECT_EQ(result.provisions[0].count, 1U);
    refuse_provisions(0);
    EXPECT_TRUE(plan().provisions.empty());
}

// Guards against counting machines that a gang avoids after failures as capacity for it: nothing
// was provisioned, so the gang never started.
TEST_F(PlannerTest, ProvisionsInsteadOfUsingAvoidedMachines) {
    const auto failed = add_machine(0, kWholeMachine);
    add_machine(1, kWholeMachine);
    spec(add_gang(2, kWholeMachine)).spread_zones = true;
    waiting(0).avoided_machines = {failed};
    const auto result = plan();
    EXPECT_TRUE(result.starts.empty());
    ASSERT_EQ(result.provisions.size(), 1U);
    EXPECT_EQ(result.provisions[0].zone, 0U);
}

// Guards against provisioning for the rest of an array in the zone of its last task, which may not
// hold more of its tasks.
TEST_F(PlannerTest, ProvisionsForRestOfSpreadZonesArrayInTheOtherZone) {
    spec(add_array(4, kWholeMachine)).spread_zones = true;
    waiting(0).waiting_tasks = 2;
    waiting(0).has_started = true;
    waiting(0).zone_counts = {0, 2};
    const auto result = plan();
    ASSERT_EQ(result.provisions.size(), 1U);
    EXPECT_EQ(result.provisions[0].zone, 0U);
    EXPECT_EQ(result.provisions[0].count, 2U);
}

// Two gangs bound to different zones each have only some of their machines, and the cloud has no
// more. The machine that the first gang can use is kept; the one that only the second can use is
// released.
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
    const auto result = plan();
    ASSERT_EQ(result.starts.size(), 1U);
    auto machines = result.starts[0].machines;
    std::sort(machines.begin(), machines.end());
    EXPECT_EQ(std::unique(machines.begin(), machines.end()), machines.end());
}

TEST_F(PlannerTest, OneZoneGangIsPlacedInTheTightestFittingZone) {
    add_machine(0, kWholeMachine);
    add_machine(0, kWholeMachine);
    const auto tight = add_machine(1, 4 * kCore);
    spec(add_gang(2, 2 * kCore)).one_zone = true;
    auto result = plan();
    ASSERT_EQ(result.starts.size(), 1U);
    EXPECT_EQ(result.starts[0].machines, (std::vector<MachineIndex>{tight, tight}));
    EXPECT_TRUE(result.starts[0].rejected_zones.empty());
    snapshot_.machines[tight].free.cpus = 3 * kCore;
    result = plan();
    ASSERT_EQ(result.starts.size(), 1U);
    EXPECT_EQ(result.starts[0].rejected_zones, (std::vector<ZoneIndex>{1}));
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
    const auto result = plan();
    ASSERT_EQ(result.starts.size(), 1U);
    EXPECT_EQ(result.starts[0].machines.size(), 8U);
}

TEST_F(PlannerTest, SpreadZonesJobHasAtMostHalfOfItsTasksInAZone) {
    add_machine(0, kWholeMachine);
    add_machine(1, kWholeMachine);
    spec(add_gang(5, kCore)).spread_zones = true;
    const auto result = plan();
    ASSERT_EQ(result.starts.size(), 1U);
    const auto& machines = result.starts[0].machines;
    EXPECT_LE(std::count(machines.begin(), machines.end(), 0U), 3);
    EXPECT_LE(std::count(machines.begin(), machines.end(), 1U), 3);
}

TEST_F(PlannerTest, HigherPriorityPreemptsAsFewTasksAsPossible) {
    const auto machine = add_machine(0, 0);
    const auto low = add_array(4, 2 * kCore, Priority::Low);
    for (int k = 0; k < 4; ++k) add_allocation(low, machine);
    const auto high = add_gang(1, 4 * kCore, Priority::High);
    const auto result = plan();
    EXPECT_TRUE(result.starts.empty());
    ASSERT_EQ(result.preemptions.size(), 2U);
    EXPECT_EQ(result.preemptions[0].preemptor, high);
    EXPECT_EQ(result.preemptions[1].preemptor, high);
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

TEST_F(PlannerTest, ReleasingCapacityIsNominatedForTheHigherPriorityJob) {
    const auto machine = add_machine(0, 0);
    add_allocation(add_array(1, kWholeMachine, Priority::Low), machine).stopping = true;
    add_gang(1, kWholeMachine, Priority::High);
    add_array(1, kCore);
    snapshot_.machines[0].free = {kCore, 2000, 16000};
    // Starting the small array would take a part of the capacity that the stopped task releases.
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

TEST_F(PlannerTest, ProvisionsSpotMachinesIfAllowed) {
    const auto array = add_array(3, 4 * kCore);
    const auto result = plan();
    ASSERT_FALSE(result.provisions.empty());
    std::uint32_t machines = 0;
    for (const auto& provision : result.provisions) {
        EXPECT_TRUE(provision.spot);
        machines += provision.count;
    }
    EXPECT_EQ(machines, 2U);
    spec(array).spot = false;
    for (const auto& provision : plan().provisions) EXPECT_FALSE(provision.spot);
}

// With many large starved arrays, each starts a few tasks and none takes all the capacity.
TEST_F(PlannerTest, StarvedArraysAllStart) {
    for (int k = 0; k < 3; ++k) add_machine(0, kWholeMachine);
    for (int k = 0; k < 6; ++k) {
        const auto array = add_array(50, kCore);
        snapshot_.waiting_jobs.back().waited_ms = spec(array).starvation_threshold_ms + 1000 - k;
    }
    EXPECT_EQ(plan().starts.size(), 6U);
}

// After a peak each machine has little work left. One plan drains a share of the fleet and never
// assigns the same free capacity to two moved tasks.
TEST_F(PlannerTest, DrainsSeveralMachinesOntoExistingCapacity) {
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
    // On-demand machines are drained first, each to the free half of a different spot machine.
    EXPECT_EQ(plan().drains, (std::vector<MachineIndex>{0, 1, 2, 3}));
    for (const MachineIndex machine : {4U, 5U}) snapshot_.machines[machine].free = {0, 0, 0};
    // Two are drained to spot machines, one to another on-demand machine.
    EXPECT_EQ(plan().drains.size(), 3U);
}

TEST_F(PlannerTest, TeamLimitBoundsTheTasksStarted) {
    add_machine(0, kWholeMachine);
    snapshot_.teams[0].limit = {3 * kCore, 0, 0};
    snapshot_.team_used[0] = {kCore, 0, 0};
    add_array(8, kCore);
    const auto result = plan();
    ASSERT_EQ(result.starts.size(), 1U);
    EXPECT_EQ(result.starts[0].machines.size(), 2U);
}

}  // namespace
}  // namespace lichendrift::core
