// The evaluation of checked expressions.
#include <algorithm>
#include <array>
#include <cmath>

#include "policy/language.h"

namespace lichendrift::policy {

Value Program::evaluate(const std::vector<Value>& variables) const {
    // Nesting is bounded when compiled, so the stack cannot grow beyond its place.
    std::array<Value, kDepth> stack;
    std::size_t top = 0;
    for (std::size_t at = 0; at < steps_.size(); ++at) {
        const auto [op, index] = steps_[at];
        if (op == Op::Push || op == Op::Load) {
            stack[top++] = op == Op::Push ? constants_[index] : variables[index];
            continue;
        }
        if (op == Op::Jump) {
            at = index - 1;
            continue;
        }
        if (op == Op::JumpIfFalse) {
            if (stack[--top].number == 0) at = index - 1;
            continue;
        }
        Value& a = stack[top - 1];
        switch (op) {
            case Op::Negate:
                a.number = -a.number;
                continue;
            case Op::Not:
                a.number = a.number == 0 ? 1 : 0;
                continue;
            case Op::Abs:
                a.number = std::abs(a.number);
                continue;
            case Op::Floor:
                a.number = std::floor(a.number);
                continue;
            case Op::Ceil:
                a.number = std::ceil(a.number);
                continue;
            case Op::Seconds:
                a.type = Type::Number;
                continue;
            default:
                break;
        }
        const Value b = stack[--top];
        Value& to = stack[top - 1];
        switch (op) {
            case Op::Add:
                to.number += b.number;
                break;
            case Op::Subtract:
                to.number -= b.number;
                break;
            case Op::Multiply:
                to.number *= b.number;
                break;
            case Op::Divide:
                to.number /= b.number;
                break;
            case Op::Power:
                to.number = std::pow(to.number, b.number);
                break;
            case Op::Less:
                to.number = to.number < b.number ? 1 : 0;
                break;
            case Op::LessEqual:
                to.number = to.number <= b.number ? 1 : 0;
                break;
            case Op::Equal:
                to.number =
                    (to.type == Type::Text ? to.text == b.text : to.number == b.number) ? 1 : 0;
                to.type = Type::Boolean;
                break;
            case Op::Min:
                to.number = std::min(to.number, b.number);
                break;
            case Op::Max:
                to.number = std::max(to.number, b.number);
                break;
            default:
                break;
        }
    }
    Value result = stack[0];
    result.type = type_;
    return result;
}

}  // namespace lichendrift::policy
