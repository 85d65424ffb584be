// Token stream of the compiler, which also collects the problems found.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "policy/language.h"
#include "policy/lexer.h"

namespace lichendrift::policy {

/// Reads the tokens of a source one by one and collects the problems found. Only the first problem
/// of each statement is kept, because later ones are often consequences of it.
class TokenReader {
  public:
    /// The source must outlive the reader.
    explicit TokenReader(std::string_view source) : tokens_(tokenize(source)) {}

    /// The next token.
    [[nodiscard]] const Token& peek() const { return tokens_[at_]; }
    /// The token that was consumed last. Must not be called before the first advance().
    [[nodiscard]] const Token& previous() const { return tokens_[at_ - 1]; }
    /// Consumes the next token.
    void advance() { ++at_; }
    /// Whether the next token is this symbol or keyword.
    [[nodiscard]] bool next_is(std::string_view text) const;
    /// Consumes the next token if it is this symbol or keyword; returns whether it was.
    bool accept(std::string_view text);
    /// Consumes this symbol or keyword, or reports that it is missing.
    void require(std::string_view text);
    /// Whether the next token ends the statement.
    [[nodiscard]] bool at_statement_end() const;
    /// Skips all tokens up to the end of the statement, which is not consumed.
    void skip_statement();

    /// Starts a new statement: failed() is false until a problem of it is reported.
    void begin_statement() { failed_ = false; }
    /// Whether a problem of the current statement was reported.
    [[nodiscard]] bool failed() const { return failed_; }
    /// Reports a problem at the position of `token`, unless the statement has one already.
    void report(const Token& token, std::string found, std::string expected);
    /// Reports that the next token is not what is expected.
    void report_next(std::string expected);
    /// Reports that the expression that begins at `token` has the wrong type.
    void report_type(const Token& token, Type type, std::string expected);
    /// Reports a problem of the expression that begins at `token` if the types differ.
    void require_type(Type type, Type expected, const Token& token);
    /// The problems of all statements so far.
    [[nodiscard]] const std::vector<Problem>& problems() const { return problems_; }

  private:
    std::vector<Token> tokens_;
    std::size_t at_ = 0;
    std::vector<Problem> problems_;
    bool failed_ = false;
};

/// The name of a type with the indefinite article, for messages: `a number`.
[[nodiscard]] std::string with_article(Type type);

}  // namespace lichendrift::policy
