// Splits a source text of the expression language into tokens.
#include "policy/lexer.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace lichendrift::policy {

namespace {

constexpr std::string_view kSymbols = "+-*/^<>=(),!";
constexpr std::array<std::string_view, 4> kTwoByteSymbols = {"<=", ">=", "==", "!="};
constexpr std::size_t kMaxQuotedBytes = 60;

bool is_letter(char byte) {
    return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') || byte == '_';
}
bool is_digit(char byte) { return byte >= '0' && byte <= '9'; }
bool is_in_name(char byte) { return is_letter(byte) || is_digit(byte) || byte == '.'; }
bool is_blank(char byte) { return byte == ' ' || byte == '\t'; }

// Whether this is a continuation byte of a multi-byte UTF-8 character.
bool continues_character(char byte) {
    constexpr unsigned kMask = 0xC0;
    constexpr unsigned kContinuation = 0x80;
    return (static_cast<unsigned char>(byte) & kMask) == kContinuation;
}

// The length of a unit of time in seconds; 0 if the unit is unknown.
double unit_seconds(std::string_view unit) {
    constexpr double kMillisecond = 0.001;
    constexpr double kMinute = 60;
    constexpr double kHour = 3600;
    if (unit == "ms") return kMillisecond;
    if (unit == "s") return 1;
    if (unit == "min") return kMinute;
    if (unit == "h") return kHour;
    return 0;
}

class Lexer {
  public:
    explicit Lexer(std::string_view source) : source_(source) {}

    std::vector<Token> run() {
        std::vector<Token> tokens;
        do {
            tokens.push_back(next());
        } while (tokens.back().kind != TokenKind::EndOfFile);
        return tokens;
    }

  private:
    Token next() {
        skip_blanks();
        Token token;
        token.line = line_;
        token.column = static_cast<int>(at_ - line_start_) + 1;
        if (at_end()) return token;
        const auto start = at_;
        const char first = source_[at_];
        if (first == '\n') {
            advance();
            token.kind = TokenKind::EndOfLine;
            token.text = "end of line";
            return token;
        }
        if (is_letter(first)) {
            skip_while(is_in_name);
            token.kind = TokenKind::Name;
        } else if (is_digit(first)) {
            read_number(token);
        } else if (first == '"') {
            token.kind = read_string();
        } else {
            token.kind = read_symbol();
        }
        token.text = source_.substr(start, at_ - start);
        return token;
    }

    void skip_blanks() {
        while (!at_end()) {
            const char byte = source_[at_];
            // A line that begins with `name =` starts a new statement even if the one before has
            // unclosed parentheses, so that these cause a problem in one statement only.
            if (byte == '\n' && parentheses_ > 0 && assignment_at(at_ + 1)) parentheses_ = 0;
            if (byte == '#') {
                skip_while([](char comment) { return comment != '\n'; });
            } else if (is_blank(byte) || byte == '\r' || (byte == '\n' && parentheses_ > 0)) {
                advance();
            } else {
                return;
            }
        }
    }

    void read_number(Token& token) {
        const char* end = source_.data() + source_.size();
        const auto result = std::from_chars(source_.data() + at_, end, token.number);
        at_ = static_cast<std::size_t>(result.ptr - source_.data());
        const auto unit_start = at_;
        skip_while(is_letter);
        const auto unit = source_.substr(unit_start, at_ - unit_start);
        const bool valid = result.ec == std::errc() && std::isfinite(token.number);
        if (unit.empty()) {
            token.kind = valid ? TokenKind::Number : TokenKind::Invalid;
        } else {
            token.kind = unit_seconds(unit) > 0 ? TokenKind::Duration : TokenKind::Invalid;
            token.number *= unit_seconds(unit);
        }
    }

    TokenKind read_string() {
        ++at_;
        skip_while([](char byte) { return byte != '"' && byte != '\n'; });
        if (at_end() || source_[at_] != '"') return TokenKind::Invalid;
        ++at_;
        return TokenKind::String;
    }

    TokenKind read_symbol() {
        const char first = source_[at_];
        const auto two = source_.substr(at_, 2);
        at_ +=
            std::find(kTwoByteSymbols.begin(), kTwoByteSymbols.end(), two) != kTwoByteSymbols.end()
                ? 2
                : 1;
        if (kSymbols.find(first) == std::string_view::npos) {
            skip_while(continues_character);
            return TokenKind::Invalid;
        }
        if (first == '(') ++parentheses_;
        if (first == ')' && parentheses_ > 0) --parentheses_;
        return TokenKind::Symbol;
    }

    // Whether the source at this offset begins with `name =`.
    [[nodiscard]] bool assignment_at(std::size_t at) const {
        const auto end_of = [&](std::size_t from, bool (*belongs)(char)) {
            while (from < source_.size() && belongs(source_[from])) ++from;
            return from;
        };
        const auto name = end_of(at, is_blank);
        const auto name_end = end_of(name, is_in_name);
        if (name_end == name) return false;
        const auto symbol = end_of(name_end, is_blank);
        return source_.substr(symbol, 1) == "=" && source_.substr(symbol, 2) != "==";
    }

    [[nodiscard]] bool at_end() const { return at_ >= source_.size(); }

    // Must not skip line ends, because it doesn't count lines.
    template <typename Predicate>
    void skip_while(Predicate belongs) {
        while (!at_end() && belongs(source_[at_])) ++at_;
    }

    void advance() {
        if (source_[at_] == '\n') {
            ++line_;
            line_start_ = at_ + 1;
        }
        ++at_;
    }

    std::string_view source_;
    std::size_t at_ = 0;
    std::size_t line_start_ = 0;
    int line_ = 1;
    int parentheses_ = 0;  // number of unclosed ones
};

}  // namespace

std::vector<Token> tokenize(std::string_view source) { return Lexer(source).run(); }

std::string quoted(const Token& token) {
    if (token.kind == TokenKind::EndOfFile) return "the end of the file";
    if (token.kind == TokenKind::EndOfLine) return "the end of the line";
    return "'" + std::string(token.text.substr(0, kMaxQuotedBytes)) + "'";
}

}  // namespace lichendrift::policy
