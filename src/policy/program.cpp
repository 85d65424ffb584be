// Compiled expressions and their evaluation.
#include "policy/program.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace lichendrift::policy {

namespace {

double truth(bool value) { return value ? 1 : 0; }

void apply_unary(Op operation, Value& operand) {
    double& number = operand.number;
    switch (operation) {
        case Op::Negate:
            number = -number;
            break;
        case Op::Not:
            number = truth(number == 0);
            break;
        case Op::Abs:
            number = std::abs(number);
            break;
        case Op::Floor:
            number = std::floor(number);
            break;
        case Op::Ceil:
            number = std::ceil(number);
            break;
        case Op::Seconds:
            operand.type = Type::Number;
            break;
        default:
            break;
    }
}

// The result replaces the left operand.
void apply_binary(Op operation, Value& left, const Value& right) {
    double& number = left.number;
    switch (operation) {
        case Op::Add:
            number += right.number;
            break;
        case Op::Subtract:
            number -= right.number;
            break;
        case Op::Multiply:
            number *= right.number;
            break;
        case Op::Divide:
            number /= right.number;
            break;
        case Op::Power:
            number = std::pow(number, right.number);
            break;
        case Op::Less:
            number = truth(number < right.number);
            break;
        case Op::LessEqual:
            number = truth(number <= right.number);
            break;
        case Op::Equal:
            number =
                truth(left.type == Type::String ? left.text == right.text : number == right.number);
            left.type = Type::Boolean;
            break;
        case Op::Min:
            number = std::min(number, right.number);
            break;
        case Op::Max:
            number = std::max(number, right.number);
            break;
        default:
            break;
    }
}

}  // namespace

Value Program::evaluate(const std::vector<Value>& variables) const {
    std::array<Value, kMaxStackDepth> stack;
    std::size_t size = 0;
    for (std::size_t at = 0; at < steps_.size(); ++at) {
        const auto [operation, index] = steps_[at];
        if (operation == Op::Push) {
            stack[size++] = constants_[index];
        } else if (operation == Op::Load) {
            stack[size++] = variables[index];
        } else if (operation == Op::Jump) {
            at = index - 1;
        } else if (operation == Op::JumpIfFalse) {
            if (stack[--size].number == 0) at = index - 1;
        } else if (is_unary(operation)) {
            apply_unary(operation, stack[size - 1]);
        } else {
            --size;
            apply_binary(operation, stack[size - 1], stack[size]);
        }
    }
    Value result = stack[0];
    result.type = type_;
    return result;
}

}  // namespace lichendrift::policy
