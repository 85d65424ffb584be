// Compiles a source text statement by statement.
#include "policy/language.h"

#include <set>
#include <utility>

#include "policy/expression_compiler.h"
#include "policy/token_reader.h"

namespace lichendrift::policy {

namespace {

constexpr std::size_t kMaxSourceBytes = std::size_t{64} << 10;
constexpr std::size_t kMaxProblems = 50;

// After a problem the rest of the statement is skipped and compilation goes on with the next one,
// so that the first problem of every statement is reported.
class Compiler {
  public:
    Compiler(std::string_view source, const std::vector<Setting>& settings)
        : settings_(settings), input_(source) {}

    tl::expected<std::vector<Assignment>, std::vector<Problem>> run() {
        std::vector<Assignment> assignments;
        while (input_.peek().kind != TokenKind::EndOfFile &&
               input_.problems().size() < kMaxProblems) {
            if (input_.peek().kind == TokenKind::EndOfLine) {
                input_.advance();
                continue;
            }
            input_.begin_statement();
            statement(assignments);
            if (input_.failed()) input_.skip_statement();
        }
        if (!input_.problems().empty()) return tl::unexpected(input_.problems());
        return assignments;
    }

  private:
    void statement(std::vector<Assignment>& assignments) {
        const Token name = input_.peek();
        const auto* setting = find_setting();
        if (setting == nullptr) return;
        if (!assigned_.insert(name.text).second) {
            return input_.report(name, quoted(name) + " assigned a second time",
                                 "at most one assignment per setting");
        }
        input_.advance();
        input_.require("=");
        const Token first = input_.peek();
        auto [type, program] = compile_expression(input_, *setting);
        if (input_.failed()) return;
        if (!input_.at_statement_end()) {
            return input_.report_next("an operator or the end of the line");
        }
        if (type != setting->type) {
            return input_.report_type(
                first, type, with_article(setting->type) + " for " + std::string(setting->name));
        }
        const auto& last = input_.previous().text;
        const auto length = static_cast<std::size_t>(last.data() + last.size() - first.text.data());
        assignments.push_back(
            {static_cast<std::size_t>(setting - settings_.data()),
             std::move(program).finish(type, std::string_view(first.text.data(), length))});
    }

    // The setting named by the next token, or nullptr after reporting a problem.
    const Setting* find_setting() {
        if (input_.peek().kind != TokenKind::Name) {
            input_.report_next("the name of a setting");
            return nullptr;
        }
        std::string names;
        for (const auto& setting : settings_) {
            if (setting.name == input_.peek().text) return &setting;
            names += (names.empty() ? "one of " : ", ") + std::string(setting.name);
        }
        input_.report_next(names);
        return nullptr;
    }

    const std::vector<Setting>& settings_;
    TokenReader input_;
    std::set<std::string_view> assigned_;  // names of the settings assigned so far
};

}  // namespace

std::string Problem::text() const {
    return std::to_string(line) + ":" + std::to_string(column) + ": found " + found +
           ", expected " + expected;
}

tl::expected<std::vector<Assignment>, std::vector<Problem>> compile(
    std::string_view source, const std::vector<Setting>& settings) {
    if (source.size() > kMaxSourceBytes) {
        return tl::unexpected(std::vector<Problem>{{1, 1, std::to_string(source.size()) + " bytes",
                                                    "at most " + std::to_string(kMaxSourceBytes)}});
    }
    return Compiler(source, settings).run();
}

}  // namespace lichendrift::policy
