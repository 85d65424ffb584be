// Compiled expressions and their evaluation.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "policy/value.h"

namespace lichendrift::policy {

/// Operations of the stack machine that evaluates expressions.
enum class Op : std::uint8_t {
    Push,         ///< pushes a constant
    Load,         ///< pushes a variable
    Jump,         ///< goes on at a step
    JumpIfFalse,  ///< takes a boolean; goes on at a step if it is false
    Negate,       ///< the number with the other sign
    Not,          ///< the other boolean
    Abs,          ///< the number without its sign
    Floor,        ///< the next smaller whole number
    Ceil,         ///< the next larger whole number
    Seconds,      ///< a duration as a number of seconds
    Add,          ///< the sum of two
    Subtract,     ///< the second taken off the first
    Multiply,     ///< the product of two
    Divide,       ///< the first divided by the second
    Power,        ///< the first to the power of the second
    Less,         ///< whether the first is less than the second
    LessEqual,    ///< whether the first is at most the second
    Equal,        ///< whether two are equal
    Min,          ///< the smaller of two
    Max,          ///< the larger of two
};

/// Whether an operation replaces one value on the stack by another one.
[[nodiscard]] constexpr bool is_unary(Op operation) {
    return operation >= Op::Negate && operation <= Op::Seconds;
}

/// A checked expression, compiled to the steps of a stack machine. Movable only, as constants
/// refer to the texts.
class Program {
  public:
    /// The largest number of values on the stack; the compiler refuses what needs more.
    static constexpr std::size_t kMaxStackDepth = 24;

    Program() = default;
    ~Program() = default;
    Program(Program&&) = default;                 ///< texts keep their place in memory
    Program& operator=(Program&&) = default;      ///< texts keep their place in memory
    Program(const Program&) = delete;             ///< constants would refer to the other's texts
    Program& operator=(const Program&) = delete;  ///< constants would refer to the other's texts

    /// The type of the result.
    [[nodiscard]] Type type() const { return type_; }
    /// Evaluates with variables in the order of the list that the program was compiled with. A
    /// text in the result lives as long as the program and the variables.
    [[nodiscard]] Value evaluate(const std::vector<Value>& variables) const;
    /// The source text of the expression.
    [[nodiscard]] const std::string& source() const { return source_; }

  private:
    friend class ProgramBuilder;
    struct Step {
        Op operation = Op::Push;
        std::uint32_t index = 0;  // of a constant, a variable or a step
    };
    std::vector<Step> steps_;
    std::vector<Value> constants_;
    std::vector<std::string> texts_;  // what text constants refer to
    std::string source_;
    Type type_ = Type::Number;
};

}  // namespace lichendrift::policy
