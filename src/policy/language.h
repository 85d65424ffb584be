// The operators' expression language: what a policy file may contain, and its compiler.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "policy/program.h"
#include "policy/value.h"

/// The operators' expression language: `name = expression`, one a line. Typed, without loops or
/// side effects, bounded in size and depth. Knows nothing of what the names mean.
namespace lichendrift::policy {

/// A variable that an expression may use. Its position in the list of variables is that of its
/// value in the list given to Program::evaluate().
struct Variable {
    std::string_view name;     ///< as written in an expression
    Type type;                 ///< of its values
    std::string_view meaning;  ///< for readers of the source
};

/// What a name on the left of a statement stands for.
struct Setting {
    std::string_view name;            ///< as written in a file
    Type type;                        ///< that its expression has to have
    std::vector<Variable> variables;  ///< that its expression may use
};

/// One problem of a source text.
struct Problem {
    int line = 0;          ///< from 1
    int column = 0;        ///< from 1, in bytes
    std::string found;     ///< what stands there
    std::string expected;  ///< what may stand there
    /// The problem as one line, beginning with line and column.
    [[nodiscard]] std::string text() const;
};

/// One statement of a source text.
struct Assignment {
    std::size_t setting = 0;  ///< position in the list of settings
    Program program;          ///< its checked expression
};

/// Compiles a source text. On an error gives the first problem of each statement.
[[nodiscard]] tl::expected<std::vector<Assignment>, std::vector<Problem>> compile(
    std::string_view source, const std::vector<Setting>& settings);

}  // namespace lichendrift::policy
