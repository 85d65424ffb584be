// Reads and checks the operators' features file.
#include "cli/features.h"

#include <cmath>
#include <functional>
#include <map>
#include <string_view>

#include "cli/toml_file.h"

namespace lichendrift::cli {

namespace {

constexpr double kMinCleanupPageS = 1;
constexpr double kMaxCleanupPageS = 3600;

// A function that reads and stores the value of one key; its error says what was expected.
using Unexpected = tl::unexpected<std::string_view>;
using ReadResult = tl::expected<void, std::string_view>;
using ValueReader = std::function<ReadResult(const toml::node&)>;
using ValueReaders = std::map<std::string, ValueReader, std::less<>>;  // by key

ReadResult read_boolean(const toml::node& node, bool& out) {
    if (!node.is_boolean()) return Unexpected("expected true or false");
    out = *node.value<bool>();
    return {};
}

ReadResult read_cleanup(const toml::node& node, control::CleanupMode& out) {
    const auto mode = node.is_string() ? *node.value<std::string>() : "";
    if (mode == "off") {
        out = control::CleanupMode::Off;
    } else if (mode == "report") {
        out = control::CleanupMode::Report;
    } else if (mode == "remove") {
        out = control::CleanupMode::Remove;
    } else {
        return Unexpected(R"(expected "off", "report" or "remove")");
    }
    return {};
}

ReadResult read_page_interval(const toml::node& node, double& out_s) {
    const auto value = node.is_number() ? *node.value<double>() : std::nan("");
    if (!(value >= kMinCleanupPageS && value <= kMaxCleanupPageS)) {
        return Unexpected("expected a number from 1 to 3600");
    }
    out_s = value;
    return {};
}

void read_table(const std::string& name, const toml::node& node, const ValueReaders& readers,
                Problems& problems) {
    const auto* table = node.as_table();
    if (table == nullptr) {
        problems.push_back({name, "expected a table"});
        return;
    }
    for (const auto& [key, value] : *table) {
        auto path = name + ".";
        path += key.str();
        const auto entry = readers.find(key.str());
        if (entry == readers.end()) {
            problems.push_back({path, "unknown key"});
        } else if (const auto read = entry->second(value); !read) {
            problems.push_back({path, std::string(read.error())});
        }
    }
}

}  // namespace

tl::expected<control::Features, Problems> load_features(const std::string& path) {
    const auto file = parse_toml_file(path);
    if (!file) return tl::unexpected(file.error());
    control::Features features;
    Problems problems;
    const ValueReaders duties{
        {"fenced", [&](const auto& node) { return read_boolean(node, features.fenced_duties); }},
        {"cleanup", [&](const auto& node) { return read_cleanup(node, features.cleanup); }},
        {"cleanup_page_s",
         [&](const auto& node) { return read_page_interval(node, features.cleanup_page_s); }},
    };
    for (const auto& [key, value] : *file) {
        const std::string name(key.str());
        if (name == "duties") {
            read_table(name, value, duties, problems);
        } else {
            problems.push_back({name, "unknown key"});
        }
    }
    if (problems.empty() && features.cleanup != control::CleanupMode::Off &&
        !features.fenced_duties) {
        problems.push_back({"duties.cleanup", "expected \"off\" unless duties.fenced is true"});
    }
    if (!problems.empty()) return tl::unexpected(std::move(problems));
    return features;
}

}  // namespace lichendrift::cli
