#include "policy/lexer.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace lichendrift::policy {

namespace {

bool is_letter(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_'; }
bool is_digit(char c) { return c >= '0' && c <= '9'; }

double unit_seconds(std::string_view unit) {
    if (unit == "ms") return 0.001;
    if (unit == "s") return 1;
    if (unit == "min") return 60;
    if (unit == "h") return 3600;
    return 0;
}

class Lexer {
  public:
    explicit Lexer(std::string_view source) : source_(source) {}

    std::vector<Token> run() {
        std::vector<Token> out;
        for (;;) {
            out.push_back(next());
            if (out.back().kind == Kind::End) return out;
        }
    }

  private:
    Token next() {
        while (at_ < source_.size()) {
            const char c = source_[at_];
            if (c == '\n' && parens_ > 0 && assigns(at_ + 1)) parens_ = 0;
            if (c == '#') {
                while (at_ < source_.size() && source_[at_] != '\n') ++at_;
            } else if (c == ' ' || c == '\t' || c == '\r' || (c == '\n' && parens_ > 0)) {
                step();
            } else {
                break;
            }
        }
        Token token;
        token.line = line_;
        token.column = static_cast<int>(at_ - line_start_) + 1;
        if (at_ >= source_.size()) return token;
        const auto from = at_;
        const char c = source_[at_];
        if (c == '\n') {
            step();
            token.kind = Kind::Line;
            token.text = "end of line";
            return token;
        }
        if (is_letter(c)) {
            while (at_ < source_.size() &&
                   (is_letter(source_[at_]) || is_digit(source_[at_]) || source_[at_] == '.')) {
                ++at_;
            }
            token.kind = Kind::Name;
        } else if (is_digit(c)) {
            number(token);
        } else if (c == '"') {
            ++at_;
            while (at_ < source_.size() && source_[at_] != '"' && source_[at_] != '\n') ++at_;
            const bool closed = at_ < source_.size() && source_[at_] == '"';
            if (closed) ++at_;
            token.kind = closed ? Kind::Text : Kind::Bad;
        } else {
            static constexpr std::array<std::string_view, 4> kDouble = {"<=", ">=", "==", "!="};
            const auto two = source_.substr(at_, 2);
            at_ += std::find(kDouble.begin(), kDouble.end(), two) != kDouble.end() ? 2 : 1;
            token.kind = std::string_view("+-*/^<>=(),!").find(c) != std::string_view::npos
                             ? Kind::Sign
                             : Kind::Bad;
            // A byte of a longer character is shown with the rest of it.
            while (token.kind == Kind::Bad && at_ < source_.size() &&
                   (static_cast<unsigned char>(source_[at_]) & 0xC0) == 0x80) {
                ++at_;
            }
            if (c == '(') ++parens_;
            if (c == ')' && parens_ > 0) --parens_;
        }
        token.text = source_.substr(from, at_ - from);
        return token;
    }

    void number(Token& token) {
        const char* end = source_.data() + source_.size();
        const auto result = std::from_chars(source_.data() + at_, end, token.number);
        at_ = static_cast<std::size_t>(result.ptr - source_.data());
        const auto unit_from = at_;
        while (at_ < source_.size() && is_letter(source_[at_])) ++at_;
        const auto unit = source_.substr(unit_from, at_ - unit_from);
        token.kind = Kind::Number;
        if (result.ec != std::errc() || !std::isfinite(token.number)) token.kind = Kind::Bad;
        if (!unit.empty()) {
            token.kind = unit_seconds(unit) > 0 ? Kind::Duration : Kind::Bad;
            token.number *= unit_seconds(unit);
        }
    }

    // A line that starts with `name =` is a new statement, even if the one before never closed its
    // parentheses; so that is all that goes wrong.
    bool assigns(std::size_t at) const {
        const auto skip = [&](auto while_true) {
            const auto from = at;
            while (at < source_.size() && while_true(source_[at])) ++at;
            return at > from;
        };
        const auto blank = [](char c) { return c == ' ' || c == '\t'; };
        skip(blank);
        if (!skip([](char c) { return is_letter(c) || is_digit(c) || c == '.'; })) return false;
        skip(blank);
        return source_.substr(at, 1) == "=" && source_.substr(at, 2) != "==";
    }

    void step() {
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
    int parens_ = 0;
};

}  // namespace

std::vector<Token> tokens_of(std::string_view source) { return Lexer(source).run(); }

std::string quoted(const Token& token) {
    if (token.kind == Kind::End) return "the end of the file";
    if (token.kind == Kind::Line) return "the end of the line";
    return "'" + std::string(token.text.substr(0, 60)) + "'";
}

}  // namespace lichendrift::policy
