// The cleanup duty: what it removes, what it never removes, and who holds it.
#include <gtest/gtest.h>

#include "duty/cleanup.h"
#include "simulation/messages.h"
#include "simulation/simulation.h"

namespace lichendrift::simulation {
namespace {

Options cleaning(std::uint64_t seed, control::CleanupMode mode = control::CleanupMode::Remove) {
    auto options = calm(seed);
    options.features.fenced_duties = true;
    options.features.cleanup = mode;
    options.features.cleanup_page_s = 2;
    options.busy_ms = 120'000;
    return options;
}

std::optional<std::size_t> cleaner(Simulation& simulation) {
    for (std::size_t n = 0; n < simulation.node_count(); ++n) {
        const auto* controller = simulation.controller(n);
        if (controller != nullptr && controller->cleans_up()) return n;
    }
    return std::nullopt;
}

const char* const kPlaced = R"({"t":1,"n":2,"p":[[0,10000000000001,"host-000001",1]]})";
const char* const kNotPlaced = R"({"t":1,"n":2,"p":[]})";
const char* const kJob =
    R"({"c":"any","t":"core","g":false,"p":1,"n":1,"u":[1,0,1],"i":"img","s":0.1,"o":false,)"
    R"("a":false,"l":true,"e":[1,0,0],"w":0})";

void put(Simulation& simulation, const std::string& key, const std::string& value) {
    simulation.store()[key] = {value, 1};
}

// A leader that ended between a terminal state and the removal of the records leaves all of these.
void put_leftovers(Simulation& simulation) {
    put(simulation, "over/job-000001", R"({"s":"done"})");
    put(simulation, "place/job-000001/0", kPlaced);
    put(simulation, "place/job-000001/1000007", kPlaced);  // of a finer layout
    put(simulation, "over/job-000002", std::string(R"({"s":"aborted","j":)") + kJob + "}");
    put(simulation, "place/job-000002/0", kPlaced);
    put(simulation, "over/job-000003", std::string(R"({"s":"aborted","j":)") + kJob + "}");
    put(simulation, "place/job-000003/0", kNotPlaced);
    put(simulation, "place/job-000004/0", kPlaced);  // of no job
    put(simulation, "place/job-000005/0", R"({"t":"damaged"})");
    put(simulation, "images/7", R"({"m":[["host-!","img"]]})");  // older than any machine
}

TEST(Cleanup, RemovesWhatIsProvenOfNoUseAndNothingElse) {
    Simulation simulation(cleaning(1));
    simulation.at(2000, [&] { put_leftovers(simulation); });
    simulation.advance(60'000);
    const auto& store = simulation.store();
    EXPECT_FALSE(store.contains("place/job-000001/0"));
    EXPECT_FALSE(store.contains("place/job-000001/1000007"));
    EXPECT_FALSE(store.contains("place/job-000003/0"));
    EXPECT_FALSE(store.contains("images/7"));
    for (const auto* key : {"over/job-000001", "over/job-000002", "over/job-000003",
                            "place/job-000002/0", "place/job-000004/0", "place/job-000005/0"}) {
        EXPECT_TRUE(store.contains(key)) << key;
    }
    EXPECT_EQ(simulation.broken(), "");
}

TEST(Cleanup, ReportsWithoutRemoving) {
    Simulation simulation(cleaning(2, control::CleanupMode::Report));
    simulation.at(2000, [&] { put_leftovers(simulation); });
    simulation.advance(60'000);
    for (const auto* key : {"place/job-000001/0", "place/job-000003/0", "images/7"}) {
        EXPECT_TRUE(simulation.store().contains(key)) << key;
    }
}

TEST(Cleanup, RecordsOfJobsThatRunAreLeftAlone) {
    for (std::uint64_t seed = 10; seed < 22; ++seed) {
        auto options = cleaning(seed);
        options.jobs = 30;
        options.faults = true;
        options.busy_ms = 70'000;
        options.settle_ms = 260'000;
        options.features.cleanup_page_s = 1;
        Simulation simulation(options);
        EXPECT_EQ(simulation.run(), "") << "seed " << seed;
    }
}

// A controller's copy of the open jobs may be older than the page of records that it reads: jobs
// that were accepted in between must not be taken for jobs that never existed.
TEST(Cleanup, RecordsOfJobsJustAcceptedAreNotSuspicious) {
    for (std::uint64_t seed = 24; seed < 27; ++seed) {
        auto options = cleaning(seed);
        options.features.cleanup_page_s = 1;
        options.machines = 12;
        Simulation simulation(options);
        for (std::size_t n = 0; n < 400; ++n) {
            simulation.jobs().push_back(
                plain(numbered(n), 1, 2, 8000 + static_cast<Millis>(n) * 100));
        }
        // Requests of users would bring the copy up to date.
        simulation.at(18'000, [&] {
            simulation.cut(node_name(*cleaner(simulation)), "user", 60'000, false);
        });
        simulation.advance(70'000);
        for (std::size_t n = 0; n < simulation.node_count(); ++n) {
            EXPECT_EQ(simulation.controller(n)->suspicious_records(), 0U) << "seed " << seed;
        }
        EXPECT_EQ(simulation.broken(), "");
    }
}

TEST(Cleanup, IsHeldByAFollowerAndPassesOnWhenItEnds) {
    for (std::uint64_t seed = 30; seed < 36; ++seed) {
        Simulation simulation(cleaning(seed));
        simulation.advance(30'000);
        const auto first = cleaner(simulation);
        ASSERT_TRUE(first);
        EXPECT_NE(first, simulation.leader());
        simulation.crash(*first, 100'000);
        simulation.advance(80'000);
        const auto second = cleaner(simulation);
        ASSERT_TRUE(second);
        EXPECT_NE(second, first);
        EXPECT_EQ(parsed(simulation.store()["duty/cleanup"].first)["e"].GetUint64(), 2U);
    }
}

TEST(Cleanup, HandsOverAtOnceWhenItsControllerEndsInGoodOrderOrBecomesLeader) {
    Simulation simulation(cleaning(40));
    simulation.advance(30'000);
    const auto first = cleaner(simulation);
    ASSERT_TRUE(first);
    simulation.controller(*first)->hand_over();
    simulation.advance(45'000);
    const auto second = cleaner(simulation);
    ASSERT_TRUE(second);
    EXPECT_NE(second, first);
    // The leader ends: now and then the controller that cleans up becomes leader, and hands over.
    for (int round = 0; round < 6; ++round) {
        simulation.crash(*simulation.leader(), 500);
        simulation.advance(simulation.now() + 45'000);
        const auto holder = cleaner(simulation);
        ASSERT_TRUE(holder);
        EXPECT_NE(holder, simulation.leader());
    }
}

// Frozen in the middle of a page, with the removal delayed, until another controller cleans up.
TEST(Cleanup, ARemovalOfAReplacedHolderIsRefused) {
    auto options = cleaning(50);
    options.features.cleanup_page_s = 30;
    Simulation simulation(options);
    simulation.at(2000, [&] { put_leftovers(simulation); });
    std::size_t removals = 0;
    bool late_was_refused = false;
    simulation.observe([&](std::size_t node, const net::HttpRequest& request) {
        const bool removes = request.target == "/txn" &&
                             request.body.find("\"remove\":\"place/") != std::string::npos;
        if (!removes || ++removals > 1) return;
        simulation.cut(node_name(node), "state", 45'000, true);
        simulation.freeze(node, 44'000);
        simulation.at(simulation.now() + 45'500, [&] {
            late_was_refused =
                simulation.store().contains("place/job-000001/0") &&
                parsed(simulation.store()["duty/cleanup"].first)["e"].GetUint64() == 2;
        });
    });
    simulation.advance(90'000);
    EXPECT_TRUE(late_was_refused);
    simulation.advance(160'000);
    EXPECT_FALSE(simulation.store().contains("place/job-000001/0"));
    EXPECT_EQ(simulation.broken(), "");
}

// The list of machines lags: a machine newer than all that it shows may be missing from it.
TEST(Cleanup, HintsOfMachinesThatMayBeThereAreKept) {
    using duty::CleanupDecision;
    using duty::HintEntry;
    const std::set<std::string> listed{"host-000002", "host-000005"};
    const auto decision = [&](std::vector<std::string> machines) {
        return duty::cleanup_decision(HintEntry{"images/0", 1, true, std::move(machines)}, listed);
    };
    EXPECT_EQ(decision({"host-000001", "host-000003"}), CleanupDecision::Remove);
    EXPECT_EQ(decision({"host-000001", "host-000002"}), CleanupDecision::Keep);
    EXPECT_EQ(decision({"host-000001", "host-000009"}), CleanupDecision::Keep);
    EXPECT_EQ(duty::cleanup_decision(HintEntry{"images/0", 1, true, {"host-000001"}}, {}),
              CleanupDecision::Keep);
}

}  // namespace
}  // namespace lichendrift::simulation
