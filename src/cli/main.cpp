// The command line: checks files, prints the built-in policy, or runs a controller.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>

#include "cli/features.h"
#include "cli/log.h"
#include "cli/serve.h"
#include "cli/settings.h"
#include "control/policy.h"

namespace {

using lichendrift::cli::Problems;
using lichendrift::control::OperatorPolicy;
using lichendrift::control::Settings;

constexpr int kSuccess = 0;
constexpr int kFailure = 1;
constexpr int kUsageError = 2;

constexpr const char* kDescription =
    "lichendrift - cluster scheduler; runs one of three or five controllers\n\n"
    "Examples:\n"
    "  lichendrift --config /etc/lichendrift/node.toml    run a controller\n"
    "  lichendrift check /etc/lichendrift/node.toml       check a settings file\n"
    "  lichendrift policy show > my.policy                print the built-in policy for editing\n"
    "  lichendrift policy check my.policy                 check a policy file\n"
    "  lichendrift --policy my.policy --config node.toml  run with this policy\n"
    "  lichendrift --features features.toml --config node.toml\n"
    "                                                     run with these features\n\n"
    "The environment variable LOG_LEVEL sets the log level: error, info (default) or debug.\n"
    "The log is written to standard error.\n"
    "Exit codes: 0 for success, 1 for a failure, 2 for wrong usage or invalid input.";

// The action that the command line selects.
enum class Command : std::uint8_t { None, Serve, CheckSettings, ShowPolicy, CheckPolicy };

// Defines the options and subcommands, and holds their parsed values.
class CommandLine {
  public:
    CommandLine() : app_(kDescription, "lichendrift") {
        app_.set_version_flag("--version", "lichendrift " LICHENDRIFT_VERSION);
        add_serve_options();
        add_policy_commands();
        add_check_command();
    }

    // Parses the command line. Returns nullopt if a command is to be run; otherwise the exit code,
    // after printing the help, the version or an error.
    std::optional<int> parse(int argc, char** argv) {
        try {
            app_.parse(argc, argv);
        } catch (const CLI::ParseError& error) {
            return app_.exit(error) == 0 ? kSuccess : kUsageError;
        }
        return std::nullopt;
    }

    [[nodiscard]] Command command() const {
        if (check_->parsed()) return Command::CheckSettings;
        if (policy_show_->parsed()) return Command::ShowPolicy;
        if (policy_check_->parsed()) return Command::CheckPolicy;
        return settings_path_.empty() ? Command::None : Command::Serve;
    }

    [[nodiscard]] const std::string& settings_path() const {
        return check_->parsed() ? checked_settings_path_ : settings_path_;
    }
    [[nodiscard]] const std::string& policy_path() const { return policy_path_; }
    [[nodiscard]] const std::string& features_path() const { return features_path_; }

  private:
    void add_serve_options() {
        auto* config = app_.add_option("--config", settings_path_,
                                       "run a controller with this settings file (TOML)");
        app_.add_option("--policy", policy_path_,
                        "policy file; without it the built-in policy is used")
            ->needs(config);
        app_.add_option("--features", features_path_,
                        "features file (TOML); without it all optional features are off")
            ->needs(config);
    }

    void add_policy_commands() {
        auto* policy =
            app_.add_subcommand("policy", "print the built-in policy, or check a policy file");
        policy->require_subcommand(1);
        policy_show_ = policy->add_subcommand("show", "print the built-in policy");
        policy_check_ = policy->add_subcommand("check", "check a policy file");
        policy_check_->add_option("FILE", policy_path_, "the policy file")->required();
    }

    void add_check_command() {
        check_ = app_.add_subcommand("check", "check a settings file and report its problems");
        check_->add_option("FILE", checked_settings_path_, "the settings file")->required();
        check_->add_option("--features", features_path_, "a features file to check as well");
    }

    CLI::App app_;
    CLI::App* policy_show_ = nullptr;  // this and the next two are owned by app_
    CLI::App* policy_check_ = nullptr;
    CLI::App* check_ = nullptr;
    std::string settings_path_;
    std::string policy_path_;
    std::string features_path_;
    std::string checked_settings_path_;
};

void print_error(const std::string& message) {
    std::fprintf(stderr, "lichendrift: %s\n", message.c_str());
}

// The functions below that return an optional print the problems before they return nullopt.

template <typename Loaded>
std::optional<Loaded> value_or_print_problems(tl::expected<Loaded, Problems> loaded) {
    if (loaded) return std::move(*loaded);
    for (const auto& problem : loaded.error()) print_error(problem.text());
    return std::nullopt;
}

// Loads the settings file and, if one is given, the features file. Without one all features stay
// off.
std::optional<Settings> load_settings(const CommandLine& line) {
    auto settings = value_or_print_problems(lichendrift::cli::load_settings(line.settings_path()));
    if (!settings || line.features_path().empty()) return settings;
    const auto features =
        value_or_print_problems(lichendrift::cli::load_features(line.features_path()));
    if (!features) return std::nullopt;
    settings->features = *features;
    return settings;
}

std::optional<std::string> load_policy(const std::string& path) {
    std::error_code error;
    std::ifstream file(path, std::ios::binary);
    if (!file || std::filesystem::is_directory(path, error)) {
        print_error("cannot read the policy file " + path);
        return std::nullopt;
    }
    std::string text{std::istreambuf_iterator<char>(file), {}};
    const auto problems = OperatorPolicy::check(text);
    for (const auto& problem : problems) {
        std::fprintf(stderr, "%s:%s\n", path.c_str(), problem.text().c_str());
    }
    if (!problems.empty()) return std::nullopt;
    return text;
}

int show_policy() {
    const auto text = OperatorPolicy::defaults();
    std::fwrite(text.data(), 1, text.size(), stdout);
    return std::fflush(stdout) == 0 ? kSuccess : kFailure;
}

int serve(const CommandLine& line) {
    if (const auto logging = lichendrift::cli::set_up_log(); !logging) {
        print_error(logging.error());
        return kUsageError;
    }
    auto settings = load_settings(line);
    if (!settings) return kUsageError;
    if (!line.policy_path().empty()) {
        auto policy = load_policy(line.policy_path());
        if (!policy) return kUsageError;
        settings->policy = std::move(*policy);
    }
    return lichendrift::cli::serve(*settings);
}

int run(const CommandLine& line) {
    switch (line.command()) {
        case Command::None:
            print_error("no command given; see --help");
            return kUsageError;
        case Command::Serve:
            return serve(line);
        case Command::CheckSettings:
            return load_settings(line) ? kSuccess : kUsageError;
        case Command::ShowPolicy:
            return show_policy();
        case Command::CheckPolicy:
            return load_policy(line.policy_path()) ? kSuccess : kUsageError;
    }
    return kUsageError;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        CommandLine line;
        if (const auto exit_code = line.parse(argc, argv)) return *exit_code;
        return run(line);
    } catch (const std::exception& error) {
        print_error(error.what());
        return kFailure;
    }
}
