// Parses TOML files.
#include "cli/toml_file.h"

namespace lichendrift::cli {

tl::expected<toml::table, Problems> parse_toml_file(const std::string& path) {
    try {
        return toml::parse_file(path);
    } catch (const toml::parse_error& error) {
        const auto& position = error.source().begin;
        std::string where = path;
        if (position.line > 0) {
            where += ":" + std::to_string(position.line) + ":" + std::to_string(position.column);
        }
        return tl::unexpected(Problems{{where, std::string(error.description())}});
    }
}

}  // namespace lichendrift::cli
