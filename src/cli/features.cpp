#include "cli/features.h"

#include <cmath>
#include <functional>
#include <map>

#include "cli/toml_file.h"

namespace lichendrift::cli {

namespace {

constexpr double kMinCleanupPage = 1;
constexpr double kMaxCleanupPage = 3600;

// What a key does with its value; the text of a problem, or nothing.
using ReadKey = std::function<std::string(const toml::node&)>;
using Table = std::map<std::string, ReadKey, std::less<>>;

std::string read_switch(const toml::node& node, bool& out) {
    if (!node.is_boolean()) return "expected true or false";
    out = *node.value<bool>();
    return "";
}

std::string read_cleanup(const toml::node& node, control::CleanupMode& out) {
    const auto mode = node.is_string() ? *node.value<std::string>() : "";
    if (mode == "off") {
        out = control::CleanupMode::Off;
    } else if (mode == "report") {
        out = control::CleanupMode::Report;
    } else if (mode == "remove") {
        out = control::CleanupMode::Remove;
    } else {
        return R"(expected "off", "report" or "remove")";
    }
    return "";
}

std::string read_page_time(const toml::node& node, double& out) {
    const auto value = node.is_number() ? *node.value<double>() : std::nan("");
    if (!(value >= kMinCleanupPage && value <= kMaxCleanupPage)) {
        return "expected a number from 1 to 3600";
    }
    out = value;
    return "";
}

void read_table(const std::string& name, const toml::node& node, const Table& known,
                Problems& problems) {
    const auto* table = node.as_table();
    if (table == nullptr) {
        problems.push_back(name + ": expected a table");
        return;
    }
    for (const auto& [key, value] : *table) {
        std::string path = name + ".";
        path += key.str();
        const auto it = known.find(key.str());
        if (it == known.end()) {
            problems.push_back(path + ": is not known");
            continue;
        }
        if (const auto problem = it->second(value); !problem.empty()) {
            path += ": ";
            problems.push_back(path += problem);
        }
    }
}

}  // namespace

std::variant<control::Features, Problems> load_features(const std::string& path) {
    auto parsed = parse_toml_file(path);
    if (auto* problems = std::get_if<Problems>(&parsed)) return std::move(*problems);
    const auto& file = std::get<toml::table>(parsed);
    control::Features features;
    Problems problems;
    const Table duties{
        {"fenced", [&](const auto& node) { return read_switch(node, features.fenced_duties); }},
        {"cleanup", [&](const auto& node) { return read_cleanup(node, features.cleanup); }},
        {"cleanup_page_s",
         [&](const auto& node) { return read_page_time(node, features.cleanup_page_s); }},
    };
    for (const auto& [key, value] : file) {
        const std::string name(key.str());
        if (name == "duties") {
            read_table(name, value, duties, problems);
        } else {
            problems.push_back(name + ": is not known");
        }
    }
    if (problems.empty() && features.cleanup != control::CleanupMode::Off &&
        !features.fenced_duties) {
        problems.emplace_back("duties.cleanup: expected \"off\" while duties.fenced is not true");
    }
    if (!problems.empty()) return problems;
    return features;
}

}  // namespace lichendrift::cli
