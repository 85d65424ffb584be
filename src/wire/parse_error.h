// The result of parsing a message that may have to be refused.
#pragma once

#include <cstdint>
#include <string_view>
#include <tl/expected.hpp>

namespace lichendrift::wire {

/// Reason for which a message is refused.
enum class ParseFault : std::uint8_t {
    NotJson,       ///< the body is not JSON
    NotAnObject,   ///< the body, or an entry of a list, is not a JSON object
    MissingField,  ///< a required field is missing or null
    WrongType,     ///< a field has the wrong JSON type, or its number is out of range
    InvalidValue,  ///< a field has a value that is not allowed
};

/// The first error in a message.
struct ParseError {
    ParseFault fault = ParseFault::NotJson;  ///< reason for the refusal
    std::string_view field;  ///< the field's name on the wire; empty: no single field is at fault
};

/// A parsed message, or the error for which it is refused.
template <typename Message>
using Parsed = tl::expected<Message, ParseError>;

}  // namespace lichendrift::wire
