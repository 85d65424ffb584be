#include "cli/features.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace lichendrift::cli {
namespace {

std::variant<control::Features, Problems> load(const std::string& text) {
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

TEST(FeaturesFile, WhatIsLeftOutIsOff) {
    for (const auto* text : {"", "[duties]\n"}) {
        const auto features = std::get<control::Features>(load(text));
        EXPECT_FALSE(features.fenced_duties);
        EXPECT_EQ(features.cleanup, control::CleanupMode::Off);
    }
}

TEST(FeaturesFile, TheOneThatIsDeployedIsGood) {
    const auto loaded = load_features(LICHENDRIFT_DEPLOYED_FEATURES);
    ASSERT_TRUE(std::holds_alternative<control::Features>(loaded));
    const auto features = std::get<control::Features>(loaded);
    EXPECT_TRUE(features.fenced_duties);
    EXPECT_EQ(features.cleanup, control::CleanupMode::Remove);
}

TEST(FeaturesFile, ProblemsNameTheKey) {
    const std::pair<const char*, const char*> cases[] = {
        {"[dutys]\n", "dutys: is not known"},
        {"duties = 3\n", "duties: expected a table"},
        {"[duties]\nfence = true\n", "duties.fence: is not known"},
        {"[duties]\nfenced = \"yes\"\n", "duties.fenced: expected true or false"},
        {"[duties]\nfenced = true\ncleanup = true\n", "duties.cleanup: expected \"off\""},
        {"[duties]\nfenced = true\ncleanup = \"all\"\n", "duties.cleanup: expected \"off\""},
        {"[duties]\ncleanup = \"remove\"\n", "duties.cleanup: expected \"off\" while"},
        {"[duties]\ncleanup_page_s = 0\n", "duties.cleanup_page_s: expected a number"},
        {"[duties]\ncleanup_page_s = nan\n", "duties.cleanup_page_s: expected a number"},
        {"[duties]\ncleanup_page_s = 1e9\n", "duties.cleanup_page_s: expected a number"},
    };
    for (const auto& [text, expected] : cases) {
        const auto loaded = load(text);
        const auto* problems = std::get_if<Problems>(&loaded);
        ASSERT_NE(problems, nullptr) << text;
        ASSERT_EQ(problems->size(), 1U) << text;
        EXPECT_TRUE(problems->front().starts_with(expected)) << problems->front();
    }
    EXPECT_TRUE(std::holds_alternative<Problems>(load_features("/nonexistent/features.toml")));
}

}  // namespace
}  // namespace lichendrift::cli
