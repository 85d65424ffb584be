// Two or more troubles that meet, each day aimed at one meeting. What guards against each is listed
// in docs/design.md, "When troubles meet".
#include <gtest/gtest.h>

#include "core/cluster.h"
#include "standin/world.h"

namespace lichendrift::standin {
namespace {

// ---- a cancellation that the acting leader cannot see ----

struct Gap {
    const char* name;
    std::size_t nodes = 3;
    bool apart = false;  // the leader is cut from its siblings as well
    bool ends = false;   // the confirming controller ends right after its answer
    bool lost = false;   // and what it told the others is lost
};

// The state service refuses the leader alone, another controller confirms a cancellation, and then
// the service is out for all, longer than cancel_s. The first lead never ends, nobody else can win,
// and it went on renewing the leases of machines with cancelled tasks.
class CancelledBehindTheLeader : public ::testing::TestWithParam<Gap> {
  public:
    static std::string day(const Gap& gap, core::Guards guards, std::uint64_t seed) {
        auto options = calm(seed);
        options.nodes = gap.nodes;
        options.guards = guards;
        World world(options);
        for (std::size_t n = 0; n < 6; ++n) {
            auto j = plain(numbered(n), 1 + static_cast<std::uint32_t>(n % 2), 120);
            j.kind = n % 3 == 0 ? "ensemble" : "sweep";
            world.jobs().push_back(j);
        }
        world.advance(20'000);
        const auto leader = world.leader();
        if (!leader) return "no leader";
        const auto other = (*leader + 1) % gap.nodes;
        for (auto& [name, w] : world.workers()) w.node = *leader;
        world.refuse_node(*leader, 60'000);
        if (gap.apart) world.cut("n" + std::to_string(*leader), "n", 60'000, false);
        if (gap.lost) {
            world.cut("n" + std::to_string(*leader), "n" + std::to_string(other), 60'000, false);
        }
        world.advance(20'300);
        for (std::size_t n = 0; n < 4; ++n) world.cancel(world.jobs()[n], other);
        world.advance(20'800);
        for (std::size_t n = 0; n < 4; ++n) {
            if (world.jobs()[n].cancelled_told < 0) return "the cancellation was not confirmed";
        }
        if (gap.ends) world.crash(other, gap.lost ? 60'000 : 1000);
        world.state_outage(50'000);
        world.advance(69'000);
        if (world.leader() && *world.leader() != *leader) return "another leader came";
        world.advance(110'000);
        return world.broken();
    }
};

TEST_P(CancelledBehindTheLeader, IsGoneInTime) {
    for (std::uint64_t seed = 200; seed < 204; ++seed) {
        EXPECT_EQ(day(GetParam(), {}, seed), "");
        if (GetParam().apart) {
            // Telling alone is not enough where nobody can tell.
            auto unbound = core::Guards{};
            unbound.cancels_known = false;
            EXPECT_TRUE(day(GetParam(), unbound, seed).starts_with("ran_cancelled"));
        }
        auto neither = core::Guards{};
        neither.cancels_told = neither.cancels_known = false;
        EXPECT_TRUE(day(GetParam(), neither, seed).starts_with("ran_cancelled"));
        // The bound holds by itself.
        auto untold = core::Guards{};
        untold.cancels_told = false;
        EXPECT_EQ(day(GetParam(), untold, seed), "");
    }
}
INSTANTIATE_TEST_SUITE_P(Gaps, CancelledBehindTheLeader,
                         ::testing::Values(Gap{"Three", 3}, Gap{"Five", 5},
                                           Gap{"ThreeApart", 3, true}, Gap{"FiveApart", 5, true},
                                           Gap{"ConfirmerEnds", 3, false, true},
                                           Gap{"ConfirmerEndsUnheard", 3, false, true, true},
                                           Gap{"ConfirmerOfFiveEndsUnheard", 5, false, true, true}),
                         [](const auto& param) { return std::string(param.param.name); });

// Another one wins, and the service goes out before it has read a record: it raises the tokens and
// renewed the leases of everything it heard, cancelled or not.
TEST(Meetings, LeaderWithoutItsRecordsRenewsNoCancelledWork) {
    int broken = 0;
    for (const bool guarded : {true, false}) {
        for (std::uint64_t seed = 220; seed < 226; ++seed) {
            auto options = calm(seed);
            options.guards.cancels_known = guarded;
            World world(options);
            for (std::size_t n = 0; n < 6; ++n) world.jobs().push_back(plain(numbered(n), 1, 120));
            world.advance(20'000);
            const auto old = world.leader();
            ASSERT_TRUE(old);
            world.freeze(*old, 10'000);
            world.advance(20'300);
            for (std::size_t n = 0; n < 4; ++n) world.cancel(world.jobs()[n], (*old + 1) % 3);
            world.advance(20'500);
            world.crash(*old, 60'000);
            while (!world.leader()) world.advance(world.now() + 1);
            ASSERT_GE(world.jobs()[0].cancelled_told, 0);
            // Before what the new leader reads can have come back.
            world.state_outage(50'000);
            world.advance(100'000);
            if (guarded) {
                EXPECT_EQ(world.broken(), "") << seed;
            }
            if (world.broken().starts_with("ran_cancelled")) ++broken;
        }
    }
    EXPECT_GT(broken, 0);
}

// A leader that has just lost the state service and its siblings is sure to lead for seconds more,
// and a run in doubt is sent again as soon as its machine is reached: the job was cancelled
// meanwhile.
TEST(Meetings, LeaderThatHearsNothingStartsNothingOnAnOldCopy) {
    for (const bool guarded : {true, false}) {
        int broken = 0;
        for (Millis later = 1300; later < 2600; later += 50) {
            auto options = calm(230);
            options.late_start_ms = 1050;
            options.guards.runs_on_fresh_copy = guarded;
            World world(options);
            world.set_capacity(3);
            auto j = plain("job-000001", 3, 60, 11'000);
            j.cpus = 8;
            j.spot = false;
            world.jobs().push_back(j);
            world.advance(10'990);
            for (auto& [name, w] : world.workers()) world.deafen(w, 1110 + later, false);
            world.advance(12'100);
            ASSERT_TRUE(world.store().contains("place/job-000001/0"));
            const auto old = world.leader();
            ASSERT_TRUE(old);
            world.isolate(*old, 20'000, false);
            world.advance(12'300);
            world.cancel(world.jobs()[0], (*old + 1) % 3);
            world.advance(12'100 + later);
            for (auto& [name, w] : world.workers()) {
                w.node = *old;
                w.next_beat = world.now();
            }
            world.advance(40'000);
            ASSERT_GE(world.jobs()[0].cancelled_told, 0);
            if (guarded) {
                EXPECT_EQ(world.broken(), "") << later;
            }
            if (world.broken().starts_with("started_cancelled")) ++broken;
        }
        EXPECT_EQ(broken > 0, !guarded);
    }
}

// Cancelled work on a machine that hangs, and the leader ends: the next one has not heard it and
// does not know since when it is silent, but the cancellation runs out all the same.
TEST(Meetings, HangingMachineWithCancelledWorkIsReturnedInTimeByTheNextLeader) {
    for (const std::size_t nodes : {3, 5}) {
        for (Millis later = 200; later < 7000; later += 1100) {
            auto options = calm(240);
            options.nodes = nodes;
            World world(options);
            for (std::size_t n = 0; n < 6; ++n) world.jobs().push_back(plain(numbered(n), 1, 60));
            world.advance(15'000);
            world.cancel_now(2, 60'000);
            world.advance(15'000 + later);
            world.crash(*world.leader(), 3000);
            world.advance(80'000);
            EXPECT_EQ(world.broken(), "") << later << " of " << nodes;
        }
    }
}

// The last machine of a fleet hangs for ever: it counted as a trouble of ours, and its job waited.
TEST(Meetings, LastMachineOfTheFleetThatHangsIsGivenUp) {
    auto options = calm(250);
    options.machines = 1;
    World world(options);
    world.set_capacity(1);
    auto j = plain("job-000001", 1, 200);
    world.jobs().push_back(j);
    world.advance(60'000);
    ASSERT_EQ(world.total_starts(), 1U);
    world.workers().begin()->second.hung_until = 10'000'000;
    world.advance(150'000);
    EXPECT_GE(world.total_starts(), 2U);
    EXPECT_EQ(world.broken(), "");
}

// It has to be apart, one zone has room for all of it and the other none: each plan asked for one
// more machine where there was room already, and the last that the cloud had went there.
TEST(Meetings, JobThatMustBeApartRentsInTheZoneThatLacksRoom) {
    auto options = calm(251);
    options.machines = 0;
    World world(options);
    for (int i = 0; i < 5; ++i) world.add_worker("b", false);
    world.set_capacity(6);
    auto j = plain("job-000001", 2, 10, 2000);
    j.kind = "ensemble";
    j.apart = true;
    j.spot = false;
    world.jobs().push_back(j);
    world.advance(60'000);
    EXPECT_TRUE(world.jobs()[0].done_told);
    EXPECT_LE(world.workers().size(), 7U);
    EXPECT_EQ(world.broken(), "");
}

// Cancelled between the two reads of a take-over, what is open and what is placed: it had no tasks
// known yet, was forgotten, and its team's limit was given to others while its tasks ran on.
TEST(Meetings, CancelledAmidATakeOverItStillCountsUntilItsTasksAreGone) {
    for (const bool guarded : {true, false}) {
        core::Names types;
        core::Names zones;
        core::ClusterSettings settings;
        settings.teams = {{"core", {}, {4000, 0, 0}}};
        settings.token = 7;
        settings.guards.kept_until_loaded = guarded;
        core::Cluster cluster(settings, types, zones);
        core::JobText job;
        job.id = "job-000001";
        job.team = "core";
        job.cpus = 4;
        cluster.records_to_come();
        cluster.add_job(job, 1, 1000);
        cluster.job_over(job.id, true, 1010);
        EXPECT_EQ(cluster.has_job(job.id), guarded);
        cluster.load_record(job.id, 0, {3, 1, {{0, 30'000'001, "host-000001", 1}}, {}}, 5, 1020);
        cluster.records_loaded();
        EXPECT_EQ(cluster.has_job(job.id), guarded);
        const auto snapshot = cluster.snapshot(1030, 1030);
        EXPECT_EQ(snapshot.team_used.at(0).cpus, guarded ? 4000 : 0);
        // And it ends when a report shows that nothing is there.
        core::Report report;
        report.machine = "host-000001";
        report.endpoint = "10.0.0.1:1";
        report.session = 1;
        report.seq = 9;
        report.token = 7;
        cluster.on_report(report, true, 1100);
        EXPECT_FALSE(cluster.has_job(job.id));
        EXPECT_EQ(cluster.snapshot(1110, 1110).team_used.at(0).cpus, 0);
    }
}

// The bound must not cost work where siblings can vouch that nothing was cancelled.
TEST(Meetings, OutageLongerThanCancelsCostsNoTaskWhileSiblingsAnswer) {
    for (const std::size_t nodes : {3, 5}) {
        auto options = calm(210);
        options.nodes = nodes;
        World world(options);
        auto j = plain("job-000001", 4, 70);
        j.spot = false;
        world.jobs().push_back(j);
        world.jobs().push_back(plain("job-000002", 1, 70));
        world.at(9000, [&] { world.cancel(world.jobs()[1]); });
        world.at(10'000, [&] { world.state_outage(50'000); });
        world.advance(120'000);
        EXPECT_EQ(world.broken(), "");
        EXPECT_TRUE(world.jobs()[0].done_told);
        EXPECT_EQ(world.jobs()[0].starts, 4U);
        for (const auto& [name, w] : world.workers()) {
            if (!w.gone) {
                EXPECT_EQ(w.session, 1U) << name << " of " << nodes;
            }
        }
    }
}

}  // namespace
}  // namespace lichendrift::standin
