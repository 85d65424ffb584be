// Reading of tokens by the compiler, with the problems that it finds.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "policy/language.h"
#include "policy/lexer.h"

namespace lichendrift::policy {

/// Walks through the tokens of a source and collects the problems found there: only the first one
/// of each statement, as the others may follow from it.
class TokenReader {
  public:
    /// The source has to outlive the reader.
    explicit TokenReader(std::string_view source) : tokens_(tokens_of(source)) {}

    /// The next token.
    [[nodiscard]] const Token& peek() const { return tokens_[at_]; }
    /// The token before the next one; there has to be one.
    [[nodiscard]] const Token& previous() const { return tokens_[at_ - 1]; }
    /// Goes on to the token after the next one.
    void advance() { ++at_; }
    /// Whether the next token is this sign or keyword.
    [[nodiscard]] bool next_is(std::string_view text) const;
    /// Goes on if the next token is this sign or keyword; returns whether it was.
    bool accept(std::string_view text);
    /// Goes on beyond this sign or keyword, or reports that it is missing.
    void require(std::string_view text);
    /// Whether the next token ends the statement.
    [[nodiscard]] bool at_statement_end() const;
    /// Goes on to the end of the statement.
    void skip_statement();

    /// A new statement begins, without problems so far.
    void begin_statement() { failed_ = false; }
    /// Whether the statement has a problem.
    [[nodiscard]] bool failed() const { return failed_; }
    /// Reports a problem at a token.
    void report(const Token& token, std::string found, std::string expected);
    /// Reports that the next token is not what is expected.
    void report_next(std::string expected);
    /// Reports that what begins at a token has a type that is not expected.
    void report_type(const Token& token, Type type, std::string expected);
    /// Reports a problem if the types differ.
    void require_type(Type type, Type expected, const Token& token);
    /// The problems of all statements so far.
    [[nodiscard]] const std::vector<Problem>& problems() const { return problems_; }

  private:
    std::vector<Token> tokens_;
    std::size_t at_ = 0;
    std::vector<Problem> problems_;
    bool failed_ = false;
};

/// The name of a type with its article, for messages.
[[nodiscard]] std::string with_article(Type type);

}  // namespace lichendrift::policy
