// Splits a source text of the expression language into tokens.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lichendrift::policy {

/// The lexical class of a token.
enum class TokenKind : std::uint8_t {
    Name,       ///< of a setting, variable or function, or a keyword
    Number,     ///< a number without a unit
    Duration,   ///< a number with a unit of time
    String,     ///< a string in quotation marks
    Symbol,     ///< an operator, parenthesis or comma
    EndOfLine,  ///< a line end outside parentheses
    EndOfFile,  ///< the end of the source
    Invalid,    ///< malformed, or none of the others
};

/// One token of a source text.
struct Token {
    TokenKind kind = TokenKind::EndOfFile;  ///< lexical class
    std::string_view text;                  ///< as written; a view into the source
    double number = 0;                      ///< value of a number, or of a duration in seconds
    int line = 1;                           ///< from 1
    int column = 1;                         ///< from 1, in bytes
};

/// Splits a source into tokens. The last one is of kind EndOfFile; line ends within parentheses are
/// skipped.
[[nodiscard]] std::vector<Token> tokenize(std::string_view source);

/// The token for use in a message: its text in single quotes, shortened if it is long, or a
/// description such as `the end of the line`.
[[nodiscard]] std::string quoted(const Token& token);

}  // namespace lichendrift::policy
