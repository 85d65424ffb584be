// The expression language of policy files and its compiler.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "policy/program.h"
#include "policy/value.h"

/// The expression language of policy files: statements `name = expression`, one per line. The
/// language is statically typed, has no loops or side effects and is bounded in size and nesting
/// depth. The caller defines the names and their meaning.
namespace lichendrift::policy {

/// A variable that an expression may use. Its index in Setting::variables is also the index of its
/// value in the list passed to Program::evaluate().
struct Variable {
    std::string_view name;     ///< as written in an expression
    Type type;                 ///< of its values
    std::string_view meaning;  ///< description for readers of the code
};

/// A name that may stand on the left-hand side of a statement.
struct Setting {
    std::string_view name;            ///< as written in a policy file
    Type type;                        ///< required type of its expression
    std::vector<Variable> variables;  ///< variables that its expression may use
};

/// One problem of a source text.
struct Problem {
    int line = 0;          ///< from 1
    int column = 0;        ///< from 1, in bytes
    std::string found;     ///< what the source contains at this position
    std::string expected;  ///< what would be valid at this position
    /// The problem as one line of text: `LINE:COLUMN: found ..., expected ...`.
    [[nodiscard]] std::string text() const;
};

/// One statement of a source text.
struct Assignment {
    std::size_t setting = 0;  ///< index in the list of settings passed to compile()
    Program program;          ///< its compiled expression
};

/// Compiles a source text. Returns the first problem of each invalid statement if there are any.
[[nodiscard]] tl::expected<std::vector<Assignment>, std::vector<Problem>> compile(
    std::string_view source, const std::vector<Setting>& settings);

}  // namespace lichendrift::policy
