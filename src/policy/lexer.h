#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

// The words of the operators' expression language.
namespace lichendrift::policy {

enum class Kind : std::uint8_t { Name, Number, Duration, Text, Sign, Line, End, Bad };

struct Token {
    Kind kind = Kind::End;
    std::string_view text;
    double number = 0;
    int line = 1;
    int column = 1;
};

// All words of a source, with an end of the file as the last one.
[[nodiscard]] std::vector<Token> tokens_of(std::string_view source);

// For messages: the word as it was written.
[[nodiscard]] std::string quoted(const Token& token);

}  // namespace lichendrift::policy
