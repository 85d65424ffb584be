// Type rules of operators and functions, and the table of functions.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "policy/program.h"
#include "policy/value.h"

namespace lichendrift::policy {

/// Whether values of the type can be added and ordered: numbers and durations.
[[nodiscard]] bool is_numeric(Type type);

/// The type of a product, or nullopt if these two types cannot be multiplied.
[[nodiscard]] std::optional<Type> product_type(Type left, Type right);

/// The type of a quotient, or nullopt if `left` cannot be divided by `right`.
[[nodiscard]] std::optional<Type> quotient_type(Type left, Type right);

/// The types allowed for the first argument of a function; the others must have the same type.
enum class ArgumentKind : std::uint8_t {
    Numeric,   ///< a number or a duration
    Number,    ///< a number
    Duration,  ///< a duration
};

/// Whether an argument of this type is allowed.
[[nodiscard]] bool accepts(ArgumentKind kind, Type type);

/// The allowed types, for messages.
[[nodiscard]] std::string_view describe(ArgumentKind kind);

/// A function of the language. Its arguments are combined from left to right as they are parsed,
/// then its final operation is applied.
struct Function {
    std::string_view name;              ///< as written in an expression
    ArgumentKind argument;              ///< allowed types of its arguments
    int argument_count;                 ///< number of arguments; the minimum if it is variadic
    bool variadic;                      ///< whether it takes more than argument_count
    std::optional<Op> combine_second;   ///< combines the second argument with the first
    std::optional<Op> combine_further;  ///< combines each later argument with the result so far
    std::optional<Op> final_op;         ///< applied to the combined arguments
    std::optional<Type> result;         ///< type of the result; nullopt: that of the arguments

    /// The operation that combines the argument at this position (from 1) with those before it;
    /// nullopt for the first argument and for a position beyond the last one.
    [[nodiscard]] std::optional<Op> combining_op(int position) const;
    /// Whether the function can be called with `count` arguments.
    [[nodiscard]] bool accepts_count(int count) const {
        return variadic ? count >= argument_count : count == argument_count;
    }
};

/// The function of this name, or nullptr.
[[nodiscard]] const Function* find_function(std::string_view name);

/// The names of all functions, for messages.
[[nodiscard]] std::string function_names();

}  // namespace lichendrift::policy
