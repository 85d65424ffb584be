// Reads and checks the values of one table of a settings file.
#include "cli/settings_table.h"

#include <cmath>
#include <cstdint>

namespace lichendrift::cli {

namespace {

// Larger values can only be mistakes, and would overflow in later computations.
constexpr double kMaxAmount = 1e9;
constexpr int kMaxPort = 65535;
constexpr std::size_t kMaxPortDigits = 5;

// The number in decimal notation without trailing zeros.
std::string decimal(double number) {
    auto text = std::to_string(number);
    while (text.back() == '0') text.pop_back();
    if (text.back() == '.') text.pop_back();
    return text;
}

bool is_address(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) return false;
    const auto port = text.substr(colon + 1);
    return !port.empty() && port.size() <= kMaxPortDigits &&
           port.find_first_not_of("0123456789") == std::string::npos && std::stoi(port) <= kMaxPort;
}

}  // namespace

std::string SettingsTable::path_of(const std::string& key) const {
    return path_.empty() ? key : path_ + "." + key;
}

void SettingsTable::report(const std::string& key, std::string message) const {
    problems_.push_back({path_of(key), std::move(message)});
}

const toml::node* SettingsTable::find(const char* key) const {
    const auto* node = table_.get(key);
    if (node == nullptr) report(key, "is missing");
    return node;
}

void SettingsTable::text(const char* key, std::string& out) const {
    const auto* node = find(key);
    if (node == nullptr) return;
    auto value = node->value<std::string>();
    if (!node->is_string() || value->empty()) return report(key, "expected a non-empty string");
    out = std::move(*value);
}

void SettingsTable::address(const char* key, std::string& out) const {
    const auto before = problems_.size();
    text(key, out);
    if (problems_.size() != before) return;
    if (!is_address(out)) report(key, "expected an address such as 10.0.0.1:8080");
}

void SettingsTable::number(const char* key, double minimum, double& out) const {
    const auto* node = find(key);
    if (node == nullptr) return;
    const auto value = node->value<double>();
    if (!node->is_number() || !value) return report(key, "expected a number");
    if (!std::isfinite(*value) || *value < minimum) {
        return report(key, "expected a number of at least " + decimal(minimum));
    }
    if (*value > kMaxAmount) {
        return report(key, "expected a number of at most " + decimal(kMaxAmount));
    }
    out = *value;
}

void SettingsTable::optional_number(const char* key, double minimum, double& out) const {
    if (has(key)) number(key, minimum, out);
}

void SettingsTable::optional_number(const char* key, double minimum,
                                    std::optional<double>& out) const {
    if (!has(key)) return;
    out = 0;
    number(key, minimum, *out);
}

void SettingsTable::count(const char* key, std::size_t& out) const {
    const auto* node = find(key);
    if (node == nullptr) return;
    const auto value = node->is_integer() ? *node->value<std::int64_t>() : 0;
    if (value < 1) return report(key, "expected a whole number of at least 1");
    if (value > static_cast<std::int64_t>(kMaxAmount)) {
        return report(key, "expected a whole number of at most " + decimal(kMaxAmount));
    }
    out = static_cast<std::size_t>(value);
}

void SettingsTable::names(const char* key, std::vector<std::string>& out) const {
    constexpr const char* kExpected = "expected a non-empty list of strings";
    const auto* list = table_.get_as<toml::array>(key);
    if (list == nullptr || list->empty()) return report(key, kExpected);
    for (const auto& name : *list) {
        if (!name.is_string()) return report(key, kExpected);
        out.push_back(*name.value<std::string>());
    }
}

std::optional<SettingsTable> SettingsTable::table(const char* key) const {
    const auto* node = find(key);
    if (node == nullptr) return std::nullopt;
    if (!node->is_table()) {
        report(key, "expected a table");
        return std::nullopt;
    }
    return SettingsTable(*node->as_table(), path_of(key), problems_);
}

std::optional<SettingsTable> SettingsTable::optional_table(const char* key) const {
    return has(key) ? table(key) : std::nullopt;
}

std::vector<SettingsTable> SettingsTable::tables(const char* key) const {
    std::vector<SettingsTable> out;
    const auto* node = table_.get(key);
    if (node == nullptr) return out;
    const auto* array = node->as_array();
    if (array == nullptr) {
        report(key, "expected an array of tables");
        return out;
    }
    for (std::size_t i = 0; i < array->size(); ++i) {
        const auto where = path_of(key) + "[" + std::to_string(i) + "]";
        if (const auto* entry = (*array)[i].as_table()) {
            out.push_back(SettingsTable(*entry, where, problems_));
        } else {
            problems_.push_back({where, "expected a table"});
        }
    }
    return out;
}

}  // namespace lichendrift::cli
