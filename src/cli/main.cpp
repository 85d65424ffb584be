#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "cli/features.h"
#include "cli/log.h"
#include "cli/serve.h"
#include "cli/settings.h"
#include "control/policy.h"

namespace {

constexpr int kFailure = 1;
constexpr int kUsage = 2;

// What was loaded, or nothing after saying on standard error what is wrong.
template <typename T>
std::optional<T> without_problems(std::variant<T, lichendrift::cli::Problems> loaded) {
    if (auto* problems = std::get_if<lichendrift::cli::Problems>(&loaded)) {
        for (const auto& problem : *problems)
            std::fprintf(stderr, "lichendrift: %s\n", problem.c_str());
        return std::nullopt;
    }
    return std::get<T>(std::move(loaded));
}

// The checked settings with the features; nothing after saying what is wrong. Without a path there
// are no features.
std::optional<lichendrift::control::Settings> checked(const std::string& path,
                                                      const std::string& features_path) {
    auto settings = without_problems(lichendrift::cli::load_settings(path));
    if (!settings || features_path.empty()) return settings;
    const auto features = without_problems(lichendrift::cli::load_features(features_path));
    if (!features) return std::nullopt;
    settings->features = *features;
    return settings;
}

// A policy without errors, or nothing after saying on standard error all that is wrong.
std::optional<std::string> checked_policy(const std::string& path) {
    std::error_code error;
    std::ifstream in(path, std::ios::binary);
    if (!in || std::filesystem::is_directory(path, error)) {
        std::fprintf(stderr, "lichendrift: cannot read the policy file %s\n", path.c_str());
        return std::nullopt;
    }
    const std::string text{std::istreambuf_iterator<char>(in), {}};
    const auto problems = lichendrift::control::OperatorPolicy::check(text);
    for (const auto& problem : problems) {
        std::fprintf(stderr, "%s:%s\n", path.c_str(), problem.text().c_str());
    }
    if (!problems.empty()) return std::nullopt;
    return text;
}

int serve(const std::string& path, const std::string& policy_path,
          const std::string& features_path) {
    if (const auto logging = lichendrift::cli::set_up_log(); !logging) {
        std::fprintf(stderr, "lichendrift: %s\n", logging.error().c_str());
        return kUsage;
    }
    auto settings = checked(path, features_path);
    if (!settings) return kUsage;
    if (!policy_path.empty()) {
        auto policy = checked_policy(policy_path);
        if (!policy) return kUsage;
        settings->policy = std::move(*policy);
    }
    return lichendrift::cli::serve(*settings);
}

}  // namespace

int main(int argc, char** argv) {
    try {
        CLI::App app{
            "lichendrift - a cluster scheduler; one of three or five controllers\n\n"
            "Examples:\n"
            "  lichendrift --config /etc/lichendrift/node.toml    run a controller\n"
            "  lichendrift check /etc/lichendrift/node.toml       check a settings file\n"
            "  lichendrift policy show > my.policy                the built-in policy, to edit\n"
            "  lichendrift policy check my.policy                 check a policy file\n"
            "  lichendrift --policy my.policy --config node.toml  run with it\n"
            "  lichendrift --features features.toml --config node.toml\n"
            "                                                     run with these features\n\n"
            "LOG_LEVEL sets how much is logged on standard error: error, info or debug.\n"
            "Exit codes: 0, 1 for a failure, 2 for wrong usage or bad input.",
            "lichendrift"};
        app.set_version_flag("--version", "lichendrift " LICHENDRIFT_VERSION);
        std::string config;
        app.add_option("--config", config, "run a controller with this settings file (TOML)");
        std::string policy_path;
        app.add_option("--policy", policy_path,
                       "the operators' policy; without it the built-in one")
            ->needs(app.get_option("--config"));
        std::string features_path;
        app.add_option("--features", features_path,
                       "what is switched on beyond the settings; without it nothing is")
            ->needs(app.get_option("--config"));
        auto* policy = app.add_subcommand("policy", "show the built-in policy, or check a file");
        policy->require_subcommand(1);
        auto* policy_show = policy->add_subcommand("show", "print the built-in policy");
        auto* policy_check = policy->add_subcommand("check", "check a policy file");
        policy_check->add_option("FILE", policy_path, "the policy file")->required();
        std::string check_path;
        auto* check = app.add_subcommand("check", "check a settings file and say what is wrong");
        check->add_option("FILE", check_path, "the settings file")->required();
        check->add_option("--features", features_path, "a features file to check with it");
        try {
            app.parse(argc, argv);
        } catch (const CLI::ParseError& error) {
            const int code = app.exit(error);
            return code == 0 ? 0 : kUsage;
        }
        if (check->parsed()) return checked(check_path, features_path) ? 0 : kUsage;
        if (policy_show->parsed()) {
            const auto text = lichendrift::control::OperatorPolicy::defaults();
            std::fwrite(text.data(), 1, text.size(), stdout);
            return std::fflush(stdout) == 0 ? 0 : kFailure;
        }
        if (policy_check->parsed()) return checked_policy(policy_path) ? 0 : kUsage;
        if (config.empty()) {
            std::fprintf(stderr, "lichendrift: nothing to do; see --help\n");
            return kUsage;
        }
        return serve(config, policy_path, features_path);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "lichendrift: %s\n", error.what());
        return kFailure;
    }
}
