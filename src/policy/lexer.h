// Splits a source text of the expression language into tokens.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lichendrift::policy {

/// The kinds of tokens.
enum class TokenKind : std::uint8_t {
    Name,       ///< of a setting, variable or function, or a keyword
    Number,     ///< a number
    Duration,   ///< a number with a unit of time
    Text,       ///< a string in quotation marks
    Sign,       ///< an operator, parenthesis or comma
    EndOfLine,  ///< the end of a line outside parentheses
    EndOfFile,  ///< the end of the source
    Invalid,    ///< none of these
};

/// One token of a source text.
struct Token {
    TokenKind kind = TokenKind::EndOfFile;  ///< what it is
    std::string_view text;                  ///< as written; refers to the source
    double number = 0;                      ///< of a number, or a duration in seconds
    int line = 1;                           ///< from 1
    int column = 1;                         ///< from 1, in bytes
};

/// All tokens of a source, the last one of kind EndOfFile. Line ends within parentheses are left
/// out.
[[nodiscard]] std::vector<Token> tokens_of(std::string_view source);

/// The token as messages name it: as it was written, in quotation marks.
[[nodiscard]] std::string quoted(const Token& token);

}  // namespace lichendrift::policy
