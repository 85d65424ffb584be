// Reading of settings files, and the problems reported for invalid ones.
#include "cli/settings.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>

namespace lichendrift::cli {
namespace {

const char* const kValidFile = R"(
member = "m-0"
location = "a"
listen = "127.0.0.1:8080"
peer_bind = "127.0.0.1:8081"
unheard_of = 1
[[siblings]]
member = "m-1"
location = "b"
peer_addr = "127.0.0.2:8081"
[external]
cloud = "127.0.0.3:1"
state = "127.0.0.4:2"
[settings]
size = 2
zones = ["a", "b"]
[[settings.teams]]
name = "core"
cpus = 1.5
gpus_max = 4.0
[settings.workers]
report_s = 1.5
lease_s = 10.0
gang_wait_s = 40.0
gang_peer_s = 4.0
cancel_s = 40.0
[settings.state]
rps = 150.0
write_rps = 50.0
value_kb = 8.0
txn_ops = 12
[settings.cloud]
rps = 6.0
list_lag_s = 4.0
)";

class SettingsFile : public ::testing::Test {
  protected:
    tl::expected<control::Settings, Problems> load(const std::string& text) {
        {
            std::ofstream out(path_);
            out << text;
        }
        auto loaded = load_settings(path_.string());
        std::filesystem::remove(path_);
        return loaded;
    }
    // The problems of the valid file after replacing `from` by `to`.
    Problems problems_with(const std::string& from, const std::string& to) {
        std::string text = kValidFile;
        text.replace(text.find(from), from.size(), to);
        auto loaded = load(text);
        return loaded ? Problems{} : loaded.error();
    }
    std::filesystem::path path_ = std::filesystem::temp_directory_path() /
                                  ("lichendrift-settings-" + std::to_string(::getpid()) + ".toml");
};

TEST_F(SettingsFile, ReadsAValidFile) {
    const auto settings = load(kValidFile);
    ASSERT_TRUE(settings);
    EXPECT_EQ(settings->peers.at(0).address, "127.0.0.2:8081");
    EXPECT_EQ(settings->teams.at(0).guarantee.cpus, 1500);
    EXPECT_EQ(settings->teams.at(0).limit.gpus, 4000);
    EXPECT_EQ(settings->state_transaction_operations, 12U);
}

TEST_F(SettingsFile, SampleInTheRepositoryIsValid) {
    const auto settings = load_settings(LICHENDRIFT_SAMPLE_SETTINGS);
    EXPECT_TRUE(settings) << (settings ? "" : settings.error().front().text());
}

TEST_F(SettingsFile, ProblemsContainThePathOfTheKey) {
    const std::tuple<const char*, const char*, const char*> cases[] = {
        {"member = \"m-0\"\n", "", "member: is missing"},
        {"listen = \"127.0.0.1:8080\"", "listen = \"here\"", "listen: expected an address"},
        {"lease_s = 10.0", "lease_s = -1", "settings.workers.lease_s: expected a number"},
        {"rps = 150.0", "rps = \"x\"", "settings.state.rps: expected a number"},
        {"txn_ops = 12", "txn_ops = 0", "settings.state.txn_ops: expected a whole number"},
        {"\"m-1\"", "\"m-0\"", "siblings[0].member: duplicate value 'm-0'"},
        {"zones = [\"a\", \"b\"]", "zones = []", "settings.zones: expected a non-empty list"},
        {"cpus = 1.5", "cpus = nan", "settings.teams[0].cpus: expected a number"},
        {"rps = 150.0", "rps = 1e300", "settings.state.rps: expected a number of at most"},
        {"lease_s = 10.0", "lease_s = 1.0", "settings.workers.lease_s: expected more than"},
        {"cpus = 1.5", "cpus = 1.5\ncpus_max = 1.0", "settings.teams[0].cpus: expected no more"},
        {"size = 2", "size = 1", "settings.size: expected at least 2"},
        {"127.0.0.1:8081", "127.0.0.1:8080", "peer_bind: expected an address different"},
        {"[settings.cloud]", "[settings.state.next]\ntxn_ops = 1\n[settings.cloud]",
         "settings.state.next.txn_ops: expected a whole number of at least 2"},
        {"[settings.cloud]", "[settings.state.next]\nvalue_kb = 0.5\n[settings.cloud]",
         "settings.state.next.value_kb: expected a number of at least 1"},
        {"[settings.cloud]", "[settings.state.next]\nwrite_rps = \"x\"\n[settings.cloud]",
         "settings.state.next.write_rps: expected a number"},
        {"[settings.cloud]", "[settings.state.next]\nrps = 0\n[settings.cloud]",
         "settings.state.next.rps: expected a number of at least 1"},
        {"txn_ops = 12", "txn_ops = 12\nnext = 3", "settings.state.next: expected a table"},
        {"[settings.cloud]", "[settings.resources]\nmax_connections = 10\n[settings.cloud]",
         "settings.resources.max_connections: expected at least"},
    };
    for (const auto& [from, to, expected] : cases) {
        const auto problems = problems_with(from, to);
        ASSERT_EQ(problems.size(), 1U) << to;
        EXPECT_TRUE(problems[0].text().starts_with(expected)) << problems[0].text();
    }
}

// In [settings.state.next] every limit is optional.
TEST_F(SettingsFile, LaterLimitsAreOptional) {
    std::string text = kValidFile;
    text.replace(text.find("[settings.cloud]"), 0, "[settings.state.next]\nvalue_kb = 2.0\n");
    const auto settings = load(text);
    ASSERT_TRUE(settings);
    const auto& next = settings->state_next;
    EXPECT_EQ(next.value_kb, 2.0);
    EXPECT_FALSE(next.transaction_operations || next.write_rps || next.rps);
}

TEST_F(SettingsFile, SyntaxErrorsContainTheLine) {
    const auto settings = load("member = \n");
    ASSERT_FALSE(settings);
    ASSERT_EQ(settings.error().size(), 1U);
    const auto message = settings.error().front().text();
    EXPECT_NE(message.find(":1:"), std::string::npos) << message;
    EXPECT_FALSE(load_settings("/nonexistent/file.toml"));
}

}  // namespace
}  // namespace lichendrift::cli
