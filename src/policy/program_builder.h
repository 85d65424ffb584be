// Builds a program instruction by instruction.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "policy/program.h"

namespace lichendrift::policy {

/// The size limit of programs that an expression exceeds.
enum class ProgramLimit : std::uint8_t {
    Instructions,  ///< the number of instructions
    StackDepth,    ///< the number of values on the stack at once
};

/// Collects the instructions of one expression. After an error the program is invalid and must not
/// be evaluated; further calls of emit() and of the push functions are still allowed.
class ProgramBuilder {
  public:
    /// The maximum number of instructions of one program.
    static constexpr std::size_t kMaxInstructions = 400;
    /// The result of appending an instruction: nothing, or the limit that was exceeded.
    using EmitResult = tl::expected<void, ProgramLimit>;

    /// Appends an instruction. For Op::Load `index` is the index of a variable; the target of a
    /// jump is set later by set_jump_target().
    EmitResult emit(Op operation, std::size_t index = 0);
    /// Appends an instruction that pushes a number, a boolean (0 or 1) or a duration (seconds).
    EmitResult push_number(Type type, double number);
    /// Appends an instruction that pushes a string.
    EmitResult push_string(std::string_view text);
    /// The index of the next instruction to be appended.
    [[nodiscard]] std::size_t next_instruction() const { return program_.instructions_.size(); }
    /// Sets the target of the jump at index `jump` to the next instruction to be appended.
    void set_jump_target(std::size_t jump);
    /// Completes the program of an expression of this result type and source text.
    [[nodiscard]] Program finish(Type type, std::string_view source) &&;

  private:
    Program program_;
    std::size_t stack_depth_ = 0;
};

}  // namespace lichendrift::policy
