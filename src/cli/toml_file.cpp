#include "cli/toml_file.h"

namespace lichendrift::cli {

std::variant<toml::table, Problems> parse_toml_file(const std::string& path) {
    try {
        return toml::parse_file(path);
    } catch (const toml::parse_error& error) {
        const auto& at = error.source().begin;
        std::string where = path;
        if (at.line > 0) {
            where += ":" + std::to_string(at.line) + ":" + std::to_string(at.column);
        }
        return Problems{where + ": " + std::string(error.description())};
    }
}

}  // namespace lichendrift::cli
