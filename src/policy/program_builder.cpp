// Builds a program step by step.
#include "policy/program_builder.h"

#include <utility>

namespace lichendrift::policy {

ProgramBuilder::Emitted ProgramBuilder::emit(Op operation, std::size_t index) {
    if (program_.steps_.size() >= kMaxSteps) return tl::unexpected(ProgramLimit::Steps);
    program_.steps_.push_back({operation, static_cast<std::uint32_t>(index)});
    if (operation == Op::Push || operation == Op::Load) {
        ++stack_depth_;
    } else if (!is_unary(operation)) {
        // Also after a jump: the other branch begins with what the first one began with.
        --stack_depth_;
    }
    if (stack_depth_ > Program::kMaxStackDepth) return tl::unexpected(ProgramLimit::StackDepth);
    return {};
}

ProgramBuilder::Emitted ProgramBuilder::push_number(Type type, double number) {
    const auto index = program_.constants_.size();
    program_.constants_.push_back({type, number, {}});
    return emit(Op::Push, index);
}

ProgramBuilder::Emitted ProgramBuilder::push_text(std::string_view text) {
    program_.texts_.emplace_back(text);
    return push_number(Type::String, 0);
}

void ProgramBuilder::set_jump_target(std::size_t jump) {
    program_.steps_[jump].index = static_cast<std::uint32_t>(next_step());
}

Program ProgramBuilder::finish(Type type, std::string_view source) && {
    // Only now the texts stay where they are.
    auto text = program_.texts_.begin();
    for (auto& constant : program_.constants_) {
        if (constant.type == Type::String) constant.text = *text++;
    }
    program_.type_ = type;
    program_.source_ = source;
    return std::move(program_);
}

}  // namespace lichendrift::policy
