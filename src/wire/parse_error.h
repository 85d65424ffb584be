// Why a message was refused.
#pragma once

#include <cstdint>
#include <string_view>
#include <tl/expected.hpp>

namespace lichendrift::wire {

/// What is wrong with a message.
enum class ParseFault : std::uint8_t {
    NotJson,       ///< the body is not JSON
    NotAnObject,   ///< the body, or an entry of a list, is not a JSON object
    MissingField,  ///< a required field is missing or null
    WrongType,     ///< a field has another JSON type, or a number does not fit
    InvalidValue,  ///< a field has a value that is not allowed
};

/// The first thing that is wrong with a message.
struct ParseError {
    ParseFault fault = ParseFault::NotJson;  ///< what is wrong
    std::string_view field;                  ///< the protocol's name of the field; empty: the whole
};

/// A message, or why it was refused.
template <typename Message>
using Parsed = tl::expected<Message, ParseError>;

}  // namespace lichendrift::wire
