// The types that operators and functions take and give.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "policy/program.h"
#include "policy/value.h"

namespace lichendrift::policy {

/// Whether values of the type can be added and ordered.
[[nodiscard]] bool is_measure(Type type);

/// The type of a product, or nothing if these two cannot be multiplied.
[[nodiscard]] std::optional<Type> product_type(Type left, Type right);

/// The type of a quotient, or nothing if the first cannot be divided by the second.
[[nodiscard]] std::optional<Type> quotient_type(Type left, Type right);

/// What the first argument of a function may be; the others have the same type.
enum class ArgumentKind : std::uint8_t {
    Measure,   ///< a number or a duration
    Number,    ///< a number
    Duration,  ///< a duration
};

/// Whether an argument of this type is allowed.
[[nodiscard]] bool accepts(ArgumentKind kind, Type type);

/// What is expected, for messages.
[[nodiscard]] std::string_view text(ArgumentKind kind);

/// A function of the language. Its arguments are combined one after the other as they come, then
/// its last operation is applied.
struct Function {
    std::string_view name;           ///< as written in an expression
    ArgumentKind argument;           ///< what it takes
    int arguments;                   ///< how many; the fewest if it takes any number
    bool any_number;                 ///< whether it takes more
    std::optional<Op> with_second;   ///< combines the second argument with the first
    std::optional<Op> with_further;  ///< combines each further one with the result so far
    std::optional<Op> last;          ///< applied to the result
    std::optional<Type> result;      ///< type of the result; none: that of the arguments

    /// The operation that combines the argument at this position, from 1, with those before it.
    [[nodiscard]] std::optional<Op> combining(int position) const;
    /// Whether it can be called with so many arguments.
    [[nodiscard]] bool takes(int count) const {
        return any_number ? count >= arguments : count == arguments;
    }
};

/// The function of this name, or nullptr.
[[nodiscard]] const Function* find_function(std::string_view name);

/// The names of all functions, for messages.
[[nodiscard]] std::string function_names();

}  // namespace lichendrift::policy
