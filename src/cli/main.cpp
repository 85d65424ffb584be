#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>

#include "cli/log.h"
#include "cli/serve.h"
#include "cli/settings.h"

namespace {

constexpr int kFailure = 1;
constexpr int kUsage = 2;

// The checked settings, or nothing after saying on standard error what is wrong.
std::optional<lichendrift::control::Settings> checked(const std::string& path) {
    auto loaded = lichendrift::cli::load_settings(path);
    if (auto* problems = std::get_if<lichendrift::cli::Problems>(&loaded)) {
        for (const auto& problem : *problems)
            std::fprintf(stderr, "lichendrift: %s\n", problem.c_str());
        return std::nullopt;
    }
    return std::get<lichendrift::control::Settings>(std::move(loaded));
}

int serve(const std::string& path) {
    if (auto problem = lichendrift::cli::set_up_log()) {
        std::fprintf(stderr, "lichendrift: %s\n", problem->c_str());
        return kUsage;
    }
    auto settings = checked(path);
    return settings ? lichendrift::cli::serve(*settings) : kUsage;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        CLI::App app{
            "lichendrift - a cluster scheduler; one of three controllers\n\n"
            "Examples:\n"
            "  lichendrift --config /etc/lichendrift/node.toml    run a controller\n"
            "  lichendrift check /etc/lichendrift/node.toml       check a settings file\n\n"
            "LOG_LEVEL sets how much is logged on standard error: error, info or debug.\n"
            "Exit codes: 0, 1 for a failure, 2 for wrong usage or bad input.",
            "lichendrift"};
        app.set_version_flag("--version", "lichendrift " LICHENDRIFT_VERSION);
        std::string config;
        app.add_option("--config", config, "run a controller with this settings file (TOML)");
        std::string check_path;
        auto* check = app.add_subcommand("check", "check a settings file and say what is wrong");
        check->add_option("FILE", check_path, "the settings file")->required();
        try {
            app.parse(argc, argv);
        } catch (const CLI::ParseError& error) {
            const int code = app.exit(error);
            return code == 0 ? 0 : kUsage;
        }
        if (check->parsed()) return checked(check_path) ? 0 : kUsage;
        if (config.empty()) {
            std::fprintf(stderr, "lichendrift: nothing to do; see --help\n");
            return kUsage;
        }
        return serve(config);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "lichendrift: %s\n", error.what());
        return kFailure;
    }
}
