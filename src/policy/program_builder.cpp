// Builds a program instruction by instruction.
#include "policy/program_builder.h"

#include <utility>

namespace lichendrift::policy {

ProgramBuilder::EmitResult ProgramBuilder::emit(Op operation, std::size_t index) {
    if (program_.instructions_.size() >= kMaxInstructions)
        return tl::unexpected(ProgramLimit::Instructions);
    program_.instructions_.push_back({operation, static_cast<std::uint32_t>(index)});
    if (operation == Op::Push || operation == Op::Load) {
        ++stack_depth_;
    } else if (!is_unary(operation)) {
        // Also for Op::Jump: it ends a branch that has left one value on the stack, and the other
        // branch begins with the depth that this one began with.
        --stack_depth_;
    }
    if (stack_depth_ > Program::kMaxStackDepth) return tl::unexpected(ProgramLimit::StackDepth);
    return {};
}

ProgramBuilder::EmitResult ProgramBuilder::push_number(Type type, double number) {
    const auto index = program_.constants_.size();
    program_.constants_.push_back({type, number, {}});
    return emit(Op::Push, index);
}

ProgramBuilder::EmitResult ProgramBuilder::push_string(std::string_view text) {
    program_.strings_.emplace_back(text);
    return push_number(Type::String, 0);
}

void ProgramBuilder::set_jump_target(std::size_t jump) {
    program_.instructions_[jump].index = static_cast<std::uint32_t>(next_instruction());
}

Program ProgramBuilder::finish(Type type, std::string_view source) && {
    // No string is added any more, so the addresses of the strings are stable from here on.
    auto string = program_.strings_.begin();
    for (auto& constant : program_.constants_) {
        if (constant.type == Type::String) constant.text = *string++;
    }
    program_.type_ = type;
    program_.source_ = source;
    return std::move(program_);
}

}  // namespace lichendrift::policy
