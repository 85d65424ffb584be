// Two or more troubles that meet, each day aimed at one meeting. What guards against each is listed
// in docs/design.md, "When troubles meet".
#include <gtest/gtest.h>

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
