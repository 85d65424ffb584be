// The placement rule on small pictures.
#include "core/planner.h"

#include <gtest/gtest.h>

namespace lichendrift::core {
namespace {

class PlannerTest : public ::testing::Test {
  protected:
    PlannerTest() {
        MachineType type;
        type.name = "box";
        type.room = {8000, 2000, 16000};
        type.hourly = 4;
        type.spot_hourly = 1;
        type.zones = {"a", "b"};
        s.types = {type};
        s.type_zones = {{0, 1}};
        s.zone_count = 2;
        s.teams = {{"core", {}, {}}, {"side", {4000, 0, 0}, {}}};
        s.team_used.resize(2);
    }
    MachineIndex machine(ZoneIndex zone, std::int64_t cpus_free, bool spot = false) {
        MachineView m;
        m.index = static_cast<MachineIndex>(s.machines.size());
        m.type = 0;
        m.zone = zone;
        m.spot = spot;
        m.usable = true;
        m.capacity = s.types[0].room;
        m.free = {cpus_free, 2000, 16000};
        s.machines.push_back(m);
        return m.index;
    }
    JobIndex job(std::uint32_t count, std::int64_t cpus, bool gang,
                 Priority priority = Priority::Normal, TeamIndex team = 0) {
        const auto index = static_cast<JobIndex>(s.jobs.size());
        JobSpec spec;
        spec.team = team;
        spec.gang = gang;
        spec.priority = priority;
        spec.count = count;
        spec.need = {cpus, 0, 1000};
        spec.spot = true;
        spec.image = index;
        spec.submitted_ms = index;
        s.jobs[index] = {spec, false};
        WaitingJob item;
        item.job = index;
        item.waiting_tasks = count;
        s.waiting_jobs.push_back(item);
        return index;
    }
    void hold(JobIndex owner, MachineIndex on) {
        AllocationView h;
        h.index = static_cast<AllocationIndex>(s.allocations.size());
        h.attempt = 100 + h.index;
        h.machine = on;
        h.job = owner;
        h.remaining_s = 100;
        s.allocations.push_back(h);
        std::erase_if(s.waiting_jobs, [&](const WaitingJob& i) { return i.job == owner; });
    }
    Snapshot s;
};

// One zone has room for all of it and the other none: each plan asked for one more machine where
// there was room already, and the last that the cloud had went there.
TEST_F(PlannerTest, RentsForWhatMustBeApartOnlyWhereRoomIsLacking) {
    machine(1, 8000);
    machine(1, 8000);
    const auto j = job(2, 8000, true);
    s.jobs[j].spec.apart = true;
    auto plan = make_plan(s);
    ASSERT_EQ(plan.provisions.size(), 1U);
    EXPECT_EQ(plan.provisions[0].zone, 0U);
    EXPECT_EQ(plan.provisions[0].count, 1U);
    s.refused_provisions = {{0, 0, true}, {0, 0, false}};
    EXPECT_TRUE(make_plan(s).provisions.empty());
}

// A gang waited for ever: the machines that it kept off after failures there counted as room for
// it, so nothing was rented.
TEST_F(PlannerTest, RentsBesideMachinesThatAJobKeepsOff) {
    const auto failed = machine(0, 8000);
    machine(1, 8000);
    const auto j = job(2, 8000, true);
    s.jobs[j].spec.apart = true;
    s.waiting_jobs[0].avoided_machines = {failed};
    const auto plan = make_plan(s);
    EXPECT_TRUE(plan.starts.empty());
    ASSERT_EQ(plan.provisions.size(), 1U);
    EXPECT_EQ(plan.provisions[0].zone, 0U);
}

// The rest of an array was rented in the zone in which its last task was, where it may not go.
TEST_F(PlannerTest, RentsForTheRestOfAnArrayThatHasToBeApart) {
    const auto j = job(4, 8000, false);
    s.jobs[j].spec.apart = true;
    s.waiting_jobs[0].waiting_tasks = 2;
    s.waiting_jobs[0].has_started = true;
    s.waiting_jobs[0].zone_counts = {0, 2};
    const auto plan = make_plan(s);
    ASSERT_EQ(plan.provisions.size(), 1U);
    EXPECT_EQ(plan.provisions[0].zone, 0U);
    EXPECT_EQ(plan.provisions[0].count, 2U);
}

// Two gangs of different zones each had a part of the few machines that the cloud gave. What the
// first could use is kept, what only the second could use is released.
TEST_F(PlannerTest, KeepsWhatCameForTheFirstWaitingGangAlone) {
    const auto first = machine(0, 8000);
    const auto second = machine(1, 8000);
    for (auto& m : s.machines) {
        m.idle_ms = 100'000;
        m.age_ms = 100'000;
    }
    for (ZoneIndex zone : {0U, 1U}) s.jobs[job(2, 8000, true)].spec.zone = zone;
    s.waiting_jobs[0].order_s = 1;
    s.waiting_jobs[1].order_s = 2;
    s.refused_provisions = {{0, 0, false}, {0, 0, true}, {0, 1, false}, {0, 1, true}};
    const auto plan = make_plan(s);
    EXPECT_EQ(plan.releases, std::vector<MachineIndex>{second}) << first;
}

TEST_F(PlannerTest, ReplicasAreSpreadUnlessTheImageIsInOnePlaceOnly) {
    for (int n = 0; n < 4; ++n) machine(static_cast<ZoneIndex>(n % 2), 8000);
    const auto j = job(4, 1000, false, Priority::Critical);
    s.jobs[j].spec.service = true;
    auto plan = make_plan(s);
    ASSERT_EQ(plan.starts.size(), 1U);
    auto on = plan.starts[0].machines;
    std::sort(on.begin(), on.end());
    EXPECT_EQ(std::unique(on.begin(), on.end()), on.end());
}

TEST_F(PlannerTest, OneZoneGangTakesTheTightestZoneThatFitsItWhole) {
    machine(0, 8000);
    machine(0, 8000);
    const auto tight = machine(1, 4000);
    const auto j = job(2, 2000, true);
    s.jobs[j].spec.one_zone = true;
    auto plan = make_plan(s);
    ASSERT_EQ(plan.starts.size(), 1U);
    EXPECT_EQ(plan.starts[0].machines, (std::vector<MachineIndex>{tight, tight}));
    EXPECT_TRUE(plan.starts[0].rejected_zones.empty());
    s.machines[tight].free.cpus = 3000;
    plan = make_plan(s);
    ASSERT_EQ(plan.starts.size(), 1U);
    EXPECT_EQ(plan.starts[0].rejected_zones, (std::vector<ZoneIndex>{1}));
}

TEST_F(PlannerTest, GangIsNeverStartedInPart) {
    machine(0, 4000);
    machine(1, 4000);
    const auto j = job(2, 3000, true);
    s.jobs[j].spec.one_zone = true;
    EXPECT_TRUE(make_plan(s).starts.empty());
    s.jobs[j].spec.one_zone = false;
    EXPECT_EQ(make_plan(s).starts.size(), 1U);
}

TEST_F(PlannerTest, ArrayIsDecidedAsAClass) {
    machine(0, 8000);
    job(100'000, 1000, false);
    const auto plan = make_plan(s);
    ASSERT_EQ(plan.starts.size(), 1U);
    EXPECT_EQ(plan.starts[0].machines.size(), 8U);
}

TEST_F(PlannerTest, ApartPutsAtMostHalfIntoAZone) {
    machine(0, 8000);
    machine(1, 8000);
    const auto j = job(5, 1000, true);
    s.jobs[j].spec.apart = true;
    const auto plan = make_plan(s);
    ASSERT_EQ(plan.starts.size(), 1U);
    const auto& on = plan.starts[0].machines;
    EXPECT_LE(std::count(on.begin(), on.end(), 0U), 3);
    EXPECT_LE(std::count(on.begin(), on.end(), 1U), 3);
}

TEST_F(PlannerTest, HigherPriorityDisplacesAsFewAsItCan) {
    const auto m = machine(0, 0);
    const auto low = job(4, 2000, false, Priority::Low);
    for (int i = 0; i < 4; ++i) hold(low, m);
    job(1, 4000, true, Priority::High);
    const auto plan = make_plan(s);
    EXPECT_TRUE(plan.starts.empty());
    ASSERT_EQ(plan.preemptions.size(), 2U);
    for (const auto& preemption : plan.preemptions) EXPECT_EQ(preemption.preemptor, 1U);
}

TEST_F(PlannerTest, SamePriorityIsNeverDisplaced) {
    const auto m = machine(0, 0);
    const auto running = job(1, 8000, false, Priority::Normal);
    hold(running, m);
    job(1, 4000, true, Priority::Normal);
    EXPECT_TRUE(make_plan(s).preemptions.empty());
}

TEST_F(PlannerTest, GuaranteeTakesBackWhatAnotherTeamBorrows) {
    const auto m = machine(0, 0);
    const auto running = job(1, 8000, false, Priority::Critical, 0);
    hold(running, m);
    const auto j = job(1, 4000, true, Priority::Low, 1);
    s.waiting_jobs.back().in_guarantee = true;
    s.jobs[j].in_guarantee = true;
    EXPECT_EQ(make_plan(s).preemptions.size(), 1U);
    s.jobs[running].in_guarantee = true;
    EXPECT_TRUE(make_plan(s).preemptions.empty());
}

TEST_F(PlannerTest, StoppedRoomIsKeptForWhoItWasMadeFor) {
    const auto m = machine(0, 0);
    const auto low = job(1, 8000, false, Priority::Low);
    hold(low, m);
    s.allocations[0].stopping = true;
    job(1, 8000, true, Priority::High);
    job(1, 1000, false, Priority::Normal);
    s.machines[0].free = {1000, 2000, 16000};
    // The small one would take the room that the stop makes.
    EXPECT_TRUE(make_plan(s).starts.empty());
}

TEST_F(PlannerTest, StarvingGangGetsAClaim) {
    machine(0, 4000);
    machine(0, 4000);
    s.jobs.clear();
    const auto gang = job(2, 8000, true);
    s.jobs[gang].spec.one_zone = true;
    job(50, 1000, false);
    s.waiting_jobs[0].waited_ms = 1000;
    EXPECT_EQ(make_plan(s).starts.size(), 1U);
    s.waiting_jobs[0].waited_ms = s.jobs[gang].spec.starvation_threshold_ms + 1;
    EXPECT_TRUE(make_plan(s).starts.empty());
}

TEST_F(PlannerTest, RentsTheCheapestAllowedKind) {
    job(3, 4000, false);
    auto plan = make_plan(s);
    ASSERT_FALSE(plan.provisions.empty());
    std::uint32_t n = 0;
    for (const auto& r : plan.provisions) {
        EXPECT_TRUE(r.spot);
        n += r.count;
    }
    EXPECT_EQ(n, 2U);
    s.jobs[0].spec.spot = false;
    for (const auto& r : make_plan(s).provisions) EXPECT_FALSE(r.spot);
}

// Many large arrays that waited too long: each begins with a few tasks, none takes all the room.
TEST_F(PlannerTest, ArraysThatWaitedTooLongAllBegin) {
    for (int i = 0; i < 3; ++i) machine(0, 8000);
    for (int i = 0; i < 6; ++i) {
        const auto j = job(50, 1000, false);
        s.waiting_jobs.back().waited_ms = s.jobs[j].spec.starvation_threshold_ms + 1000 - i;
    }
    EXPECT_EQ(make_plan(s).starts.size(), 6U);
}

// After a peak each machine keeps a little work: machines are emptied by a share of the fleet, and
// their work never counts on the same room twice.
TEST_F(PlannerTest, ManyMachinesAreEmptiedTogetherOntoRoomThatThereIs) {
    s.tuning.max_drained_share = 0.5;
    for (int i = 0; i < 8; ++i) {
        machine(0, 4000, i >= 4);
        s.machines.back().age_ms = 100'000;
        const auto owner = job(1, 4000, true);
        s.jobs[owner].spec.checkpoint_s = 5;
        s.jobs[owner].spec.image = 7;
        s.machines.back().images = {7};
        hold(owner, static_cast<MachineIndex>(i));
        s.allocations.back().ran_ms = 60'000;
    }
    auto plan = make_plan(s);
    // Ordinary machines first, each onto the one free half of a spot machine.
    EXPECT_EQ(plan.drains, (std::vector<MachineIndex>{0, 1, 2, 3}));
    for (int i = 4; i < 6; ++i) s.machines[static_cast<std::size_t>(i)].free = {0, 0, 0};
    plan = make_plan(s);
    EXPECT_EQ(plan.drains.size(), 3U);  // two onto spot room, one onto another of its kind
}

TEST_F(PlannerTest, TeamLimitBoundsWhatIsStarted) {
    machine(0, 8000);
    s.teams[0].limit = {3000, 0, 0};
    s.team_used[0] = {1000, 0, 0};
    job(8, 1000, false);
    const auto plan = make_plan(s);
    ASSERT_EQ(plan.starts.size(), 1U);
    EXPECT_EQ(plan.starts[0].machines.size(), 2U);
}

}  // namespace
}  // namespace lichendrift::core
