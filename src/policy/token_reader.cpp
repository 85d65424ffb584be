// Token stream of the compiler, which also collects the problems found.
#include "policy/token_reader.h"

#include <utility>

namespace lichendrift::policy {

std::string with_article(Type type) { return "a " + std::string(type_name(type)); }

bool TokenReader::next_is(std::string_view text) const {
    const bool is_word_or_symbol =
        peek().kind == TokenKind::Symbol || peek().kind == TokenKind::Name;
    return is_word_or_symbol && peek().text == text;
}

bool TokenReader::accept(std::string_view text) {
    if (!next_is(text)) return false;
    advance();
    return true;
}

void TokenReader::require(std::string_view text) {
    if (!failed_ && !accept(text)) report_next("'" + std::string(text) + "'");
}

bool TokenReader::at_statement_end() const {
    return peek().kind == TokenKind::EndOfLine || peek().kind == TokenKind::EndOfFile;
}

void TokenReader::skip_statement() {
    while (!at_statement_end()) advance();
}

void TokenReader::report(const Token& token, std::string found, std::string expected) {
    if (failed_) return;
    failed_ = true;
    problems_.push_back({token.line, token.column, std::move(found), std::move(expected)});
}

void TokenReader::report_next(std::string expected) {
    report(peek(), quoted(peek()), std::move(expected));
}

void TokenReader::report_type(const Token& token, Type type, std::string expected) {
    report(token, quoted(token) + ", " + with_article(type), std::move(expected));
}

void TokenReader::require_type(Type type, Type expected, const Token& token) {
    if (type != expected) report_type(token, type, with_article(expected));
}

}  // namespace lichendrift::policy
