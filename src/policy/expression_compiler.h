// Compiles one expression of the policy language.
#pragma once

#include "policy/language.h"
#include "policy/program_builder.h"
#include "policy/token_reader.h"

namespace lichendrift::policy {

/// The type and the instructions of one expression.
struct CompiledExpression {
    Type type = Type::Number;  ///< type of the expression's value
    ProgramBuilder program;    ///< holds its instructions; finish() makes the program of them
};

/// Parses and compiles one expression, in which the variables of `setting` may be used. The result
/// is only valid if `input.failed()` is false afterwards.
[[nodiscard]] CompiledExpression compile_expression(TokenReader& input, const Setting& setting);

}  // namespace lichendrift::policy
