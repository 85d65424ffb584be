// Builds a program step by step.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "policy/program.h"

namespace lichendrift::policy {

/// A bound of programs that an expression goes beyond.
enum class ProgramLimit : std::uint8_t {
    Steps,       ///< the number of steps
    StackDepth,  ///< the number of values on the stack at once
};

/// Collects the steps of one expression. After an error the program is of no use any more, and
/// the other methods may be called without effect on anything else.
class ProgramBuilder {
  public:
    /// The largest number of steps of one program.
    static constexpr std::size_t kMaxSteps = 400;
    /// The result of adding a step.
    using Emitted = tl::expected<void, ProgramLimit>;

    /// Adds a step. `index` is that of a variable for Op::Load; jumps get theirs later.
    Emitted emit(Op operation, std::size_t index = 0);
    /// Adds a step that pushes a number, a boolean (0 or 1) or a duration (seconds).
    Emitted push_number(Type type, double number);
    /// Adds a step that pushes a text.
    Emitted push_text(std::string_view text);
    /// The index that the next step gets.
    [[nodiscard]] std::size_t next_step() const { return program_.steps_.size(); }
    /// Makes the jump at this index go to the next step.
    void set_jump_target(std::size_t jump);
    /// The program of a whole expression.
    [[nodiscard]] Program finish(Type type, std::string_view source) &&;

  private:
    Program program_;
    std::size_t stack_depth_ = 0;
};

}  // namespace lichendrift::policy
