// Compiled expressions and their evaluation.
#include "policy/program.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace lichendrift::policy {

namespace {

double to_number(bool value) { return value ? 1 : 0; }

void apply_unary(Op operation, Value& operand) {
    double& number = operand.number;
    switch (operation) {
        case Op::Negate:
            number = -number;
            break;
        case Op::Not:
            number = to_number(number == 0);
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

// Stores the result in `left`.
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
            number = to_number(number < right.number);
            break;
        case Op::LessEqual:
            number = to_number(number <= right.number);
            break;
        case Op::Equal:
            number = to_number(left.type == Type::String ? left.text == right.text
                                                         : number == right.number);
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
    for (std::size_t pc = 0; pc < instructions_.size(); ++pc) {
        const auto [operation, index] = instructions_[pc];
        if (operation == Op::Push) {
            stack[size++] = constants_[index];
        } else if (operation == Op::Load) {
            stack[size++] = variables[index];
        } else if (operation == Op::Jump) {
            pc = index - 1;
        } else if (operation == Op::JumpIfFalse) {
            if (stack[--size].number == 0) pc = index - 1;
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
