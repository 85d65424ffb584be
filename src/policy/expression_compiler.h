// The compiler of one expression.
#pragma once

#include "policy/language.h"
#include "policy/program_builder.h"
#include "policy/token_reader.h"

namespace lichendrift::policy {

/// An expression whose steps are complete.
struct CompiledExpression {
    Type type = Type::Number;  ///< of its value
    ProgramBuilder program;    ///< its steps
};

/// Reads an expression and compiles it with the variables of a setting. If the reader says that
/// the statement has failed afterwards, the result is of no use.
[[nodiscard]] CompiledExpression compile_expression(TokenReader& input, const Setting& setting);

}  // namespace lichendrift::policy
