// Tests of the cleanup duty: which records it removes, which it keeps, and which controller holds
// it.
#include <gtest/gtest.h>

#include "duty/cleanup.h"
#include "simulation/messages.h"
#include "simulation/simulation.h"

namespace lichendrift::simulation {
namespace {

Options cleanup_options(std::uint64_t seed,
                        control::CleanupMode mode = control::CleanupMode::Remove) {
    auto options = fault_free_options(seed);
    options.features.fenced_duties = true;
    options.features.cleanup = mode;
    options.features.cleanup_page_s = 2;
    options.busy_ms = 120'000;
    return options;
}

std::optional<std::size_t> cleanup_holder(Simulation& simulation) {
    for (std::size_t n = 0; n < simulation.node_count(); ++n) {
        const auto* controller = simulation.controller(n);
        if (controller != nullptr && controller->holds_cleanup_duty()) return n;
    }
    return std::nullopt;
}

const char* const kRecordWithAllocation =
    R"({"t":1,"n":2,"p":[[0,10000000000001,"host-000001",1]]})";
const char* const kRecordWithoutAllocation = R"({"t":1,"n":2,"p":[]})";
const char* const kJobJson =
    R"({"c":"any","t":"core","g":false,"p":1,"n":1,"u":[1,0,1],"i":"img","s":0.1,"o":false,)"
    R"("a":false,"l":true,"e":[1,0,0],"w":0})";

void store_value(Simulation& simulation, const std::string& key, const std::string& value) {
    simulation.store()[key] = {value, 1};
}

// Stores records as a leader leaves them that ends after it has written a job's terminal state and
// before it has removed the job's placement records, and records that must be kept.
void store_leftover_records(Simulation& simulation) {
    store_value(simulation, "over/job-000001", R"({"s":"done"})");
    store_value(simulation, "place/job-000001/0", kRecordWithAllocation);
    store_value(simulation, "place/job-000001/1000007",
                kRecordWithAllocation);  // from a finer record layout
    store_value(simulation, "over/job-000002",
                std::string(R"({"s":"aborted","j":)") + kJobJson + "}");
    store_value(simulation, "place/job-000002/0", kRecordWithAllocation);
    store_value(simulation, "over/job-000003",
                std::string(R"({"s":"aborted","j":)") + kJobJson + "}");
    store_value(simulation, "place/job-000003/0", kRecordWithoutAllocation);
    store_value(simulation, "place/job-000004/0", kRecordWithAllocation);  // belongs to no job
    store_value(simulation, "place/job-000005/0", R"({"t":"damaged"})");
    store_value(simulation, "images/7",
                R"({"m":[["host-!","img"]]})");  // for a machine older than any listed
}

TEST(Cleanup, RemovesOnlyRecordsProvenUnneeded) {
    Simulation simulation(cleanup_options(1));
    simulation.at(2000, [&] { store_leftover_records(simulation); });
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
    EXPECT_EQ(simulation.violation(), "");
}

TEST(Cleanup, ReportsWithoutRemoving) {
    Simulation simulation(cleanup_options(2, control::CleanupMode::Report));
    simulation.at(2000, [&] { store_leftover_records(simulation); });
    simulation.advance(60'000);
    for (const auto* key : {"place/job-000001/0", "place/job-000003/0", "images/7"}) {
        EXPECT_TRUE(simulation.store().contains(key)) << key;
    }
}

TEST(Cleanup, KeepsRecordsOfRunningJobs) {
    for (std::uint64_t seed = 10; seed < 22; ++seed) {
        auto options = cleanup_options(seed);
        options.jobs = 30;
        options.faults = true;
        options.busy_ms = 70'000;
        options.settle_ms = 260'000;
        options.features.cleanup_page_s = 1;
        Simulation simulation(options);
        EXPECT_EQ(simulation.run(), "") << "seed " << seed;
    }
}

// A controller's copy of the open jobs may be older than the page of placement records that it has
// read. Jobs that were accepted in between must not be reported as jobs that never existed.
TEST(Cleanup, RecordsOfNewlyAcceptedJobsAreNotSuspicious) {
    for (std::uint64_t seed = 24; seed < 27; ++seed) {
        auto options = cleanup_options(seed);
        options.features.cleanup_page_s = 1;
        options.machines = 12;
        Simulation simulation(options);
        while (!cleanup_holder(simulation) && simulation.now() < options.busy_ms) {
            simulation.advance(simulation.now() + 1000);
        }
        const auto holder = cleanup_holder(simulation);
        ASSERT_TRUE(holder) << "seed " << seed;
        // Cuts off users, because their requests would make the controller refresh its copy.
        const auto from = simulation.now();
        simulation.partition(node_name(*holder), "user", 60'000, false);
        for (std::size_t n = 0; n < 400; ++n) {
            simulation.jobs().push_back(
                batch_job(numbered_job_id(n), 1, 2, from + static_cast<Millis>(n) * 100));
        }
        simulation.advance(from + 62'000);
        EXPECT_EQ(cleanup_holder(simulation), holder) << "seed " << seed;
        for (std::size_t n = 0; n < simulation.node_count(); ++n) {
            EXPECT_EQ(simulation.controller(n)->suspicious_records(), 0U) << "seed " << seed;
        }
        EXPECT_EQ(simulation.violation(), "");
    }
}

TEST(Cleanup, IsHeldByAFollowerAndTakenOverAfterItsCrash) {
    for (std::uint64_t seed = 30; seed < 36; ++seed) {
        Simulation simulation(cleanup_options(seed));
        simulation.advance(30'000);
        const auto first = cleanup_holder(simulation);
        ASSERT_TRUE(first);
        EXPECT_NE(first, simulation.leader());
        simulation.crash(*first, 100'000);
        simulation.advance(80'000);
        const auto second = cleanup_holder(simulation);
        ASSERT_TRUE(second);
        EXPECT_NE(second, first);
        EXPECT_EQ(parsed(simulation.store()["duty/cleanup"].first)["e"].GetUint64(), 2U);
    }
}

TEST(Cleanup, IsHandedOverOnShutdownAndWhenItsHolderIsElectedLeader) {
    Simulation simulation(cleanup_options(40));
    simulation.advance(30'000);
    const auto first = cleanup_holder(simulation);
    ASSERT_TRUE(first);
    simulation.controller(*first)->hand_over();
    simulation.advance(45'000);
    const auto second = cleanup_holder(simulation);
    ASSERT_TRUE(second);
    EXPECT_NE(second, first);
    // Crashes the leader repeatedly. When the holder of the cleanup duty is elected leader, it
    // hands the duty over.
    for (int round = 0; round < 6; ++round) {
        simulation.crash(*simulation.leader(), 500);
        simulation.advance(simulation.now() + 45'000);
        const auto holder = cleanup_holder(simulation);
        ASSERT_TRUE(holder);
        EXPECT_NE(holder, simulation.leader());
    }
}

// The holder is frozen while it processes a page, and its removal request is delayed until another
// controller holds the duty. The delayed removal must be refused.
TEST(Cleanup, RefusesADelayedRemovalOfAReplacedHolder) {
    auto options = cleanup_options(50);
    options.features.cleanup_page_s = 30;
    Simulation simulation(options);
    simulation.at(2000, [&] { store_leftover_records(simulation); });
    std::size_t removals = 0;
    bool late_removal_refused = false;
    simulation.observe([&](std::size_t node, const net::HttpRequest& request) {
        const bool removes = request.target == "/txn" &&
                             request.body.find("\"remove\":\"place/") != std::string::npos;
        if (!removes || ++removals > 1) return;
        simulation.partition(node_name(node), "state", 45'000, true);
        simulation.freeze(node, 44'000);
        simulation.at(simulation.now() + 45'500, [&] {
            late_removal_refused =
                simulation.store().contains("place/job-000001/0") &&
                parsed(simulation.store()["duty/cleanup"].first)["e"].GetUint64() == 2;
        });
    });
    simulation.advance(90'000);
    EXPECT_TRUE(late_removal_refused);
    simulation.advance(160'000);
    EXPECT_FALSE(simulation.store().contains("place/job-000001/0"));
    EXPECT_EQ(simulation.violation(), "");
}

// The cloud's list of machines lags behind: a machine newer than all listed ones may exist without
// being listed, so its hints are kept.
TEST(Cleanup, KeepsHintsOfMachinesThatMayExist) {
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
