// Types and values of the expression language.
#pragma once

#include <cstdint>
#include <string_view>

namespace lichendrift::policy {

/// The types of the language.
enum class Type : std::uint8_t {
    Number,    ///< a finite or infinite number
    Boolean,   ///< true or false
    String,    ///< a string
    Duration,  ///< a length of time
};

/// The name of a type in messages.
[[nodiscard]] std::string_view type_name(Type type);

/// A value of any type. A string is a view and not owned.
struct Value {
    Type type = Type::Number;  ///< decides which of the fields below is used
    double number = 0;         ///< a number, a boolean as 0 or 1, or a duration in seconds
    std::string_view text;     ///< a string; not owned
};

}  // namespace lichendrift::policy
