// The policy language, and planning with policies of operators.
#include "control/policy.h"

#include <gtest/gtest.h>

#include "core/planner.h"
#include "simulation/simulation.h"

namespace lichendrift {
namespace {

using control::OperatorPolicy;
using policy::Type;

const std::vector<policy::Setting> kSettings = {
    {"n", Type::Number, {{"x", Type::Number, ""}, {"d", Type::Duration, ""}}},
    {"b", Type::Boolean, {{"x", Type::Number, ""}, {"t", Type::String, ""}}},
    {"d", Type::Duration, {{"d", Type::Duration, ""}}}};

double value(const std::string& source) {
    const auto compiled = policy::compile(source, kSettings);
    if (!compiled) {
        ADD_FAILURE() << source << ": " << compiled.error().front().text();
        return -1e300;
    }
    const auto& assignment = compiled->front();
    std::vector<policy::Value> values;
    for (const auto& variable : kSettings[assignment.setting].variables) {
        if (variable.type == Type::String) {
            values.push_back({variable.type, 0, "vision"});
        } else {
            values.push_back({variable.type, variable.type == Type::Duration ? 90.0 : 7.0, {}});
        }
    }
    return assignment.program.evaluate(values).number;
}

TEST(PolicyLanguage, EvaluatesExpressions) {
    const std::vector<std::pair<std::string, double>> cases = {
        {"n = 2 + 3 * 4", 14},
        {"n = (2 + 3) * 4", 20},
        {"n = 2 ^ 3 ^ 2", 512},
        {"n = -x - -1", -6},
        {"n = 10 - 4 - 3", 3},
        {"n = 1min / 2s", 30},
        {"n = seconds(d) + 1", 91},
        {"n = if x > 5 then 1 else 2", 1},
        {"n = if x > 5 and not (x < 10) or x == 8 then 1 else 2", 2},
        {"n = if x >= 7 then if x <= 7 then 3 else 4 else 5", 3},
        {"n = min(4, x, 3) + max(1, 2) + abs(-2) + floor(1.9) + ceil(0.1)", 9},
        {"n = clamp(x, 1, 5) * 10", 50},
        {"n = 1 + (\n  2 +\n  3)  # over three lines", 6},
        {"b = t == \"vision\"", 1},
        {"b = t != \"vision\" or x != 7", 0},
        {"b = true and false", 0},
        {"b = false or true", 1},
        {"d = 1h + 2min - 250ms", 3719.75},
        {"d = 2 * d / 4", 45},
        {"d = if d > 1min then d else 0s", 90},
    };
    for (const auto& [source, expected] : cases)
        EXPECT_DOUBLE_EQ(value(source), expected) << source;
}

struct InvalidSource {
    std::string source;
    int line;
    int column;
    std::string found;
    std::string expected;
};

TEST(PolicyLanguage, ReportsPositionAndCauseOfAProblem) {
    const std::vector<InvalidSource> cases = {
        {"speed = 1", 1, 1, "'speed'", "one of n, b, d"},
        {"n 1", 1, 3, "'1'", "'='"},
        {"n == 1", 1, 3, "'=='", "'='"},
        {"n = ", 1, 5, "the end of the file", "a value"},
        {"n = 1 +\nb = true", 1, 8, "the end of the line", "a value"},
        {"n = 1 2", 1, 7, "'2'", "an operator or the end of the line"},
        {"n = y", 1, 5, "'y'", "one of x, d"},
        {"n = d", 1, 5, "a duration", "a number for n"},
        {"n = 1 + d", 1, 9, "a duration", "a number"},
        {"n = d * d", 1, 7, "'*' between a duration and a duration", "numbers"},
        {"n = 2 / d", 1, 7, "'/' between a number and a duration", "numbers"},
        {"n = 2 ^ d", 1, 7, "'^'", "numbers"},
        {"n = if x then 1 else 2", 1, 8, "a number", "a boolean"},
        {"n = if x > 1 then 1", 1, 20, "the end of the file", "'else'"},
        {"n = if x > 1 then 1 else 2s", 1, 26, "a duration", "a number"},
        {"b = t < \"a\"", 1, 7, "'<' between strings", "'=='"},
        {"b = not x", 1, 9, "a number", "a boolean"},
        {"b = t == 1", 1, 10, "a number", "a string"},
        {"n = 5 parsecs", 1, 7, "'parsecs'", "an operator"},
        {"n = 5parsecs", 1, 5, "'5parsecs'", "a value"},
        {"n = \"open", 1, 5, "'\"open'", "a value"},
        {"n = 1 \xc3\xa9", 1, 7, "'\xc3\xa9'", "an operator"},
        {"n = sqrt(2)", 1, 5, "'sqrt'", "one of the functions"},
        {"n = min(2)", 1, 5, "'min' with 1 argument(s)", "at least 2"},
        {"n = clamp(1, 2)", 1, 5, "'clamp' with 2 argument(s)", "exactly 3"},
        {"n = floor(1s)", 1, 11, "a duration", "a number"},
        {"n = (1 + 2\nd = 1s", 1, 11, "the end of the line", "')'"},
        {"n = 1\n\nn = 2", 3, 1, "'n' assigned a second time",
         "at most one assignment per setting"},
        {"n = 1e999", 1, 5, "'1e999'", "a value"},
    };
    for (const auto& invalid : cases) {
        const auto compiled = policy::compile(invalid.source, kSettings);
        ASSERT_FALSE(compiled) << invalid.source;
        ASSERT_EQ(compiled.error().size(), 1U) << invalid.source;
        const auto& problem = compiled.error().front();
        const auto message = invalid.source + ": " + problem.text();
        EXPECT_EQ(problem.line, invalid.line) << message;
        EXPECT_EQ(problem.column, invalid.column) << message;
        EXPECT_NE(problem.found.find(invalid.found), std::string::npos) << message;
        EXPECT_NE(problem.expected.find(invalid.expected), std::string::npos) << message;
    }
}

TEST(PolicyLanguage, ReportsAProblemOfEveryInvalidStatement) {
    const auto compiled = policy::compile("n = d\nb = 1\nd = 3s\nwhat = 1\n", kSettings);
    ASSERT_FALSE(compiled);
    EXPECT_EQ(compiled.error().size(), 3U);
}

TEST(PolicyLanguage, LimitsSizeAndNestingDepth) {
    const auto refused = [](const std::string& source) {
        return !policy::compile(source, kSettings).has_value();
    };
    std::string deep;
    for (int i = 0; i < 5000; ++i) deep += "(";
    EXPECT_TRUE(refused("n = " + deep + "1"));
    std::string minus(5000, '-');
    EXPECT_TRUE(refused("n = " + minus + "1"));
    std::string ifs;
    for (int i = 0; i < 3000; ++i) ifs += "if true then 1 else ";
    EXPECT_TRUE(refused("n = " + ifs + "1"));
    std::string sum = "1";
    for (int i = 0; i < 5000; ++i) sum += "+1";
    EXPECT_TRUE(refused("n = " + sum));
    std::string open = "1";
    for (int i = 0; i < 30; ++i) open.insert(0, "1 + (").append(")");
    EXPECT_TRUE(refused("n = " + open));
    EXPECT_TRUE(refused("n = 1 #" + std::string(70'000, ' ')));
    // For random input the compiler terminates with a program or at least one problem.
    std::mt19937_64 rng(7);
    for (int round = 0; round < 3000; ++round) {
        std::string bytes = "n = ";
        static const std::string kPieces[] = {"(",     ")",  "1",    "x",  "if ",  "then ",
                                              "else ", "+",  "d",    "^",  "\n",   "min(",
                                              ",",     "==", "\xff", "\"", "not ", "b = "};
        for (auto n = rng() % 40; n > 0; --n) bytes += kPieces[rng() % std::size(kPieces)];
        const auto compiled = policy::compile(bytes, kSettings);
        EXPECT_TRUE(compiled || !compiled.error().empty()) << bytes;
    }
}

// The core has default constants, which its unit tests use; the daemon uses the built-in policy.
// Both must give the same values.
TEST(OperatorPolicyTest, BuiltInPolicyMatchesTheDefaultsOfTheCore) {
    ASSERT_TRUE(OperatorPolicy::check(OperatorPolicy::defaults()).empty());
    OperatorPolicy built_in;
    core::JobFacts job;
    EXPECT_EQ(built_in.weights(job), core::Weights{});
    for (const double slack : {-40.0, 2.0, 17.0, 90.0, 500.0}) {
        job.slack_s = slack;
        EXPECT_DOUBLE_EQ(built_in.order_s(job), slack);
        const auto cheap = std::clamp(slack * 0.5, 3.0, 20.0);
        EXPECT_DOUBLE_EQ(built_in.provision_wait_s(job), cheap);
        EXPECT_DOUBLE_EQ(built_in.on_demand_wait_s(job), std::clamp(slack * 0.6, cheap, 60.0));
    }
    EXPECT_DOUBLE_EQ(built_in.starvation_threshold_s(job), 120);
    job.gang = true;
    EXPECT_DOUBLE_EQ(built_in.starvation_threshold_s(job), 60);
    job.failures = 3;
    EXPECT_DOUBLE_EQ(built_in.retry_delay_s(job), 8);
    job.failures = 1000;
    EXPECT_DOUBLE_EQ(built_in.retry_delay_s(job), 30);
    core::FleetFacts fleet;
    fleet.heartbeat_interval_s = 1.5;
    EXPECT_DOUBLE_EQ(built_in.heartbeat_timeout_s(fleet), 8.375);
    EXPECT_DOUBLE_EQ(built_in.spare_machines(fleet), core::PlannerTuning{}.spare_machines);
    EXPECT_DOUBLE_EQ(built_in.warm_capacity_s(fleet), core::PlannerTuning{}.warm_capacity_s);
    core::MachineFacts machine;
    EXPECT_DOUBLE_EQ(built_in.idle_retention_s(machine, fleet), 10);
    machine.spot = true;
    EXPECT_DOUBLE_EQ(built_in.idle_retention_s(machine, fleet), 45);
    EXPECT_TRUE(built_in.take_rejected_values().empty());
}

TEST(OperatorPolicyTest, OperatorSettingsOverrideBuiltInOnesAndRejectedValuesAreReportedOnce) {
    OperatorPolicy own(
        "score_fit = if job.class == \"train\" then 9 else 1 / 0\n"
        "idle_keep = 1s * machine.hourly\n"
        "starving_after = 1h\n");
    core::JobFacts job;
    job.cls = "train";
    EXPECT_DOUBLE_EQ(own.weights(job).fit, 9);
    EXPECT_DOUBLE_EQ(own.weights(job).price, core::Weights{}.price);
    EXPECT_TRUE(own.take_rejected_values().empty());
    job.cls = "other";
    EXPECT_DOUBLE_EQ(own.weights(job).fit, core::Weights{}.fit);
    EXPECT_DOUBLE_EQ(own.weights(job).fit, core::Weights{}.fit);
    EXPECT_DOUBLE_EQ(own.starvation_threshold_s(job), 120);
    EXPECT_EQ(own.take_rejected_values().size(), 2U);
    EXPECT_TRUE(own.take_rejected_values().empty());
    core::MachineFacts machine;
    machine.hourly = 12;
    EXPECT_DOUBLE_EQ(own.idle_retention_s(machine, {}), 12);
}

// Every start has to pass the admission check, which does not consult the policy, so no policy can
// violate a safety rule.
TEST(OperatorPolicyTest, HostilePoliciesViolateNoSafetyRule) {
    const std::vector<std::string> hostile = {
        "order = -job.slack\nscore_image = 0\nscore_fit = 1000\nscore_price = 0\n"
        "starving_after = 5s\nretry_after = 0.5s\n",
        "order = 0s / 0\nscore_image = 1 / 0\nidle_keep = -1s\nspare_machines = 0 / 0\n",
        "idle_keep = 0s\nspare_machines = 0\nwarm_for = 0s\nsilent_patience = 2s\n"
        "rent_patience = 0s\ndear_patience = 0s\n",
        "idle_keep = 1h\nspare_machines = 10000\nwarm_for = 10min\nrent_patience = 1h\n"
        "order = if job.gang then 1h else -job.age\n",
    };
    for (const auto& text : hostile) {
        ASSERT_TRUE(OperatorPolicy::check(text).empty()) << text;
        for (std::uint64_t seed = 900; seed < 912; ++seed) {
            simulation::Options options;
            options.seed = seed;
            options.jobs = 20;
            options.policy = text;
            simulation::Simulation simulation(options);
            const auto violation = simulation.run();
            // A bad policy may delay jobs ("unfinished", "unserved"); any other violation is a
            // failure.
            if (!violation.starts_with("unfinished") && !violation.starts_with("unserved")) {
                EXPECT_EQ(violation, "") << text << seed;
            }
        }
    }
}

}  // namespace
}  // namespace lichendrift
