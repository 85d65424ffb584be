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
    Jump,         ///< continues at an instruction
    JumpIfFalse,  ///< pops a boolean; continues at an instruction if it is false
    Negate,       ///< changes the sign of a number
    Not,          ///< inverts a boolean
    Abs,          ///< the absolute value
    Floor,        ///< rounds down to a whole number
    Ceil,         ///< rounds up to a whole number
    Seconds,      ///< converts a duration to a number of seconds
    Add,          ///< the sum of two
    Subtract,     ///< the first minus the second
    Multiply,     ///< the product of two
    Divide,       ///< the first divided by the second
    Power,        ///< the first to the power of the second
    Less,         ///< whether the first is less than the second
    LessEqual,    ///< whether the first is at most the second
    Equal,        ///< whether two are equal
    Min,          ///< the smaller of two
    Max,          ///< the larger of two
};

/// Whether an operation replaces the topmost value of the stack by its result.
[[nodiscard]] constexpr bool is_unary(Op operation) {
    return operation >= Op::Negate && operation <= Op::Seconds;
}

/// An expression that was type-checked and compiled to instructions of a stack machine. It can be
/// moved but not copied, because string constants refer to storage owned by the program.
class Program {
  public:
    /// The maximum number of values on the stack; the compiler rejects expressions that need more.
    static constexpr std::size_t kMaxStackDepth = 24;

    Program() = default;
    ~Program() = default;
    Program(Program&&) = default;                 ///< the strings keep their addresses
    Program& operator=(Program&&) = default;      ///< the strings keep their addresses
    Program(const Program&) = delete;             ///< constants would refer to the other's strings
    Program& operator=(const Program&) = delete;  ///< constants would refer to the other's strings

    /// The type of the result.
    [[nodiscard]] Type type() const { return type_; }
    /// Evaluates the expression. `variables` holds the values in the order of Setting::variables
    /// at compilation. A string in the result is a view into the program or the variables.
    [[nodiscard]] Value evaluate(const std::vector<Value>& variables) const;
    /// The source text of the expression.
    [[nodiscard]] const std::string& source() const { return source_; }

  private:
    friend class ProgramBuilder;
    struct Instruction {
        Op operation = Op::Push;
        std::uint32_t index = 0;  // of a constant, a variable or a jump's target instruction
    };
    std::vector<Instruction> instructions_;
    std::vector<Value> constants_;
    std::vector<std::string> strings_;  // storage of the string constants
    std::string source_;
    Type type_ = Type::Number;
};

}  // namespace lichendrift::policy
