// Type rules of operators and functions, and the table of functions.
#include "policy/type_rules.h"

#include <algorithm>
#include <array>

namespace lichendrift::policy {

namespace {

constexpr std::array kFunctions = {
    Function{"min", ArgumentKind::Numeric, 2, true, Op::Min, Op::Min, {}, {}},
    Function{"max", ArgumentKind::Numeric, 2, true, Op::Max, Op::Max, {}, {}},
    // clamp(x, low, high) is min(max(x, low), high).
    Function{"clamp", ArgumentKind::Numeric, 3, false, Op::Max, Op::Min, {}, {}},
    Function{"abs", ArgumentKind::Numeric, 1, false, {}, {}, Op::Abs, {}},
    Function{"floor", ArgumentKind::Number, 1, false, {}, {}, Op::Floor, {}},
    Function{"ceil", ArgumentKind::Number, 1, false, {}, {}, Op::Ceil, {}},
    Function{"seconds", ArgumentKind::Duration, 1, false, {}, {}, Op::Seconds, Type::Number},
};

}  // namespace

bool is_numeric(Type type) { return type == Type::Number || type == Type::Duration; }

std::optional<Type> product_type(Type left, Type right) {
    if (!is_numeric(left) || !is_numeric(right)) return std::nullopt;
    if (left == Type::Number) return right;
    if (right == Type::Number) return left;
    return std::nullopt;
}

std::optional<Type> quotient_type(Type left, Type right) {
    if (!is_numeric(left) || !is_numeric(right)) return std::nullopt;
    if (left == right) return Type::Number;
    if (right == Type::Number) return left;
    return std::nullopt;
}

bool accepts(ArgumentKind kind, Type type) {
    switch (kind) {
        case ArgumentKind::Numeric:
            return is_numeric(type);
        case ArgumentKind::Number:
            return type == Type::Number;
        case ArgumentKind::Duration:
            return type == Type::Duration;
    }
    return false;
}

std::string_view describe(ArgumentKind kind) {
    switch (kind) {
        case ArgumentKind::Numeric:
            return "a number or a duration";
        case ArgumentKind::Number:
            return "a number";
        case ArgumentKind::Duration:
            return "a duration";
    }
    return "";
}

std::optional<Op> Function::combining_op(int position) const {
    if (position < 2 || (position > argument_count && !variadic)) return std::nullopt;
    return position == 2 ? combine_second : combine_further;
}

const Function* find_function(std::string_view name) {
    const auto* found = std::find_if(kFunctions.begin(), kFunctions.end(),
                                     [&](const auto& function) { return function.name == name; });
    return found == kFunctions.end() ? nullptr : found;
}

std::string function_names() {
    std::string names;
    for (const auto& function : kFunctions) {
        if (!names.empty()) names += ", ";
        names += function.name;
    }
    return names;
}

}  // namespace lichendrift::policy
