// One table of a settings file, with the path that its problems name.
#pragma once

#include <toml++/toml.h>

#include <optional>
#include <string>
#include <vector>

#include "cli/problems.h"

namespace lichendrift::cli {

/// Reads the keys of one table. A value that is wrong is reported under the path of its key; what
/// was read into is of no use then.
class SettingsTable {
  public:
    /// The whole file. File and problems have to outlive the table and all below it.
    SettingsTable(const toml::table& file, Problems& problems)
        : table_(file), problems_(problems) {}

    /// Whether the key is there.
    [[nodiscard]] bool has(const char* key) const { return table_.contains(key); }

    /// Reads a text that is not empty.
    void text(const char* key, std::string& out) const;
    /// Reads an address such as 10.0.0.1:8080.
    void address(const char* key, std::string& out) const;
    /// Reads a finite number of at least `minimum`.
    void number(const char* key, double minimum, double& out) const;
    /// Reads such a number if the key is there.
    void optional_number(const char* key, double minimum, double& out) const;
    /// Reads such a number if the key is there; 0 takes its place if it is wrong.
    void optional_number(const char* key, double minimum, std::optional<double>& out) const;
    /// Reads a whole number of at least 1.
    void count(const char* key, std::size_t& out) const;
    /// Reads a list of texts that is not empty.
    void names(const char* key, std::vector<std::string>& out) const;

    /// A table below this one; missing or no table: a problem, and nothing.
    [[nodiscard]] std::optional<SettingsTable> table(const char* key) const;
    /// The same, but nothing and no problem if it is missing.
    [[nodiscard]] std::optional<SettingsTable> optional_table(const char* key) const;
    /// The tables of an array; none if it is missing.
    [[nodiscard]] std::vector<SettingsTable> tables(const char* key) const;

    /// Reports a problem of a key.
    void report(const std::string& key, std::string what) const;

  private:
    SettingsTable(const toml::table& table, std::string path, Problems& problems)
        : table_(table), path_(std::move(path)), problems_(problems) {}
    [[nodiscard]] std::string path_of(const std::string& key) const;
    const toml::node* find(const char* key) const;

    const toml::table& table_;
    std::string path_;  // empty for the file
    Problems& problems_;
};

}  // namespace lichendrift::cli
