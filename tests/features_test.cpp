// Reading of features files, and the problems reported for invalid ones.
#include "cli/features.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace lichendrift::cli {
namespace {

tl::expected<control::Features, Problems> load(const std::string& text) {
    const auto path = std::filesystem::temp_directory_path() /
                      ("lichendrift-features-" + std::to_string(::getpid()) + ".toml");
    {
        std::ofstream out(path);
        out << text;
    }
    auto loaded = load_features(path.string());
    std::filesystem::remove(path);
    return loaded;
}

TEST(FeaturesFile, OmittedFeaturesAreOff) {
    for (const auto* text : {"", "[duties]\n"}) {
        const auto features = load(text);
        ASSERT_TRUE(features) << text;
        EXPECT_FALSE(features->fenced_duties);
        EXPECT_EQ(features->cleanup, control::CleanupMode::Off);
    }
}

TEST(FeaturesFile, DeployedFileIsValid) {
    const auto features = load_features(LICHENDRIFT_DEPLOYED_FEATURES);
    ASSERT_TRUE(features);
    EXPECT_TRUE(features->fenced_duties);
    EXPECT_EQ(features->cleanup, control::CleanupMode::Remove);
}

TEST(FeaturesFile, ProblemsContainThePathOfTheKey) {
    const std::pair<const char*, const char*> cases[] = {
        {"[dutys]\n", "dutys: unknown key"},
        {"duties = 3\n", "duties: expected a table"},
        {"[duties]\nfence = true\n", "duties.fence: unknown key"},
        {"[duties]\nfenced = \"yes\"\n", "duties.fenced: expected true or false"},
        {"[duties]\nfenced = true\ncleanup = true\n", "duties.cleanup: expected \"off\""},
        {"[duties]\nfenced = true\ncleanup = \"all\"\n", "duties.cleanup: expected \"off\""},
        {"[duties]\ncleanup = \"remove\"\n", "duties.cleanup: expected \"off\" unless"},
        {"[duties]\ncleanup_page_s = 0\n", "duties.cleanup_page_s: expected a number"},
        {"[duties]\ncleanup_page_s = nan\n", "duties.cleanup_page_s: expected a number"},
        {"[duties]\ncleanup_page_s = 1e9\n", "duties.cleanup_page_s: expected a number"},
    };
    for (const auto& [text, expected] : cases) {
        const auto features = load(text);
        ASSERT_FALSE(features) << text;
        ASSERT_EQ(features.error().size(), 1U) << text;
        const auto message = features.error().front().text();
        EXPECT_TRUE(message.starts_with(expected)) << message;
    }
    EXPECT_FALSE(load_features("/nonexistent/features.toml"));
}

}  // namespace
}  // namespace lichendrift::cli
