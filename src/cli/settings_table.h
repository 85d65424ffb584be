// Reads and checks the values of one table of a settings file.
#pragma once

#include <toml++/toml.h>

#include <optional>
#include <string>
#include <vector>

#include "cli/problems.h"

namespace lichendrift::cli {

/// Reads the keys of one table. An invalid value is reported as a problem with the full path of its
/// key; the output argument must not be used then.
class SettingsTable {
  public:
    /// The top-level table of a file. `file` and `problems` must outlive this object and all tables
    /// obtained from it.
    SettingsTable(const toml::table& file, Problems& problems)
        : table_(file), problems_(problems) {}

    /// Whether the table contains the key.
    [[nodiscard]] bool has(const char* key) const { return table_.contains(key); }

    /// Reads a non-empty string.
    void text(const char* key, std::string& out) const;
    /// Reads an address such as 10.0.0.1:8080.
    void address(const char* key, std::string& out) const;
    /// Reads a finite number of at least `minimum`.
    void number(const char* key, double minimum, double& out) const;
    /// Reads a finite number of at least `minimum` if the key is present.
    void optional_number(const char* key, double minimum, double& out) const;
    /// Reads a finite number of at least `minimum` if the key is present; sets `out` to 0 if it is
    /// invalid.
    void optional_number(const char* key, double minimum, std::optional<double>& out) const;
    /// Reads a whole number of at least 1.
    void count(const char* key, std::size_t& out) const;
    /// Reads a non-empty list of strings.
    void names(const char* key, std::vector<std::string>& out) const;

    /// A table within this one. If it is missing or not a table, reports a problem and returns
    /// nullopt.
    [[nodiscard]] std::optional<SettingsTable> table(const char* key) const;
    /// Like table(), but a missing table is not a problem.
    [[nodiscard]] std::optional<SettingsTable> optional_table(const char* key) const;
    /// The tables of an array of tables; empty if the key is missing.
    [[nodiscard]] std::vector<SettingsTable> tables(const char* key) const;

    /// Adds a problem with `key`, such as "is missing", to the list that was passed to the
    /// constructor. The problem names the full path of the key.
    void report(const std::string& key, std::string message) const;

  private:
    SettingsTable(const toml::table& table, std::string path, Problems& problems)
        : table_(table), path_(std::move(path)), problems_(problems) {}
    [[nodiscard]] std::string path_of(const std::string& key) const;
    const toml::node* find(const char* key) const;

    const toml::table& table_;
    std::string path_;  // empty for the top-level table
    Problems& problems_;
};

}  // namespace lichendrift::cli
