// The compiler of the expression language: one pass that parses, checks types and emits steps.
#include <algorithm>
#include <set>
#include <utility>

#include "policy/language.h"
#include "policy/lexer.h"
#include "policy/program_builder.h"
#include "policy/type_rules.h"

namespace lichendrift::policy {

namespace {

constexpr std::size_t kMaxSourceBytes = std::size_t{64} << 10;
constexpr int kMaxNesting = 32;
constexpr std::size_t kMaxProblems = 50;

std::string with_article(Type type) { return "a " + std::string(type_name(type)); }

// After a problem the rest of the statement is skipped, so that each statement reports its first
// problem and all statements are looked at. Until then nothing that follows is reported, and what
// is emitted does not count.
class Compiler {
  public:
    Compiler(std::string_view source, const std::vector<Setting>& settings)
        : settings_(settings), tokens_(tokens_of(source)) {}

    tl::expected<std::vector<Assignment>, std::vector<Problem>> run() {
        std::vector<Assignment> assignments;
        while (peek().kind != TokenKind::EndOfFile && problems_.size() < kMaxProblems) {
            if (peek().kind == TokenKind::EndOfLine) {
                ++at_;
                continue;
            }
            failed_ = false;
            statement(assignments);
            if (failed_) skip_statement();
        }
        if (!problems_.empty()) return tl::unexpected(std::move(problems_));
        return assignments;
    }

  private:
    // ---- tokens ----

    [[nodiscard]] const Token& peek() const { return tokens_[at_]; }

    [[nodiscard]] bool at_statement_end() const {
        return peek().kind == TokenKind::EndOfLine || peek().kind == TokenKind::EndOfFile;
    }

    [[nodiscard]] bool next_is(std::string_view text) const {
        const bool may_be = peek().kind == TokenKind::Sign || peek().kind == TokenKind::Name;
        return may_be && peek().text == text;
    }

    bool accept(std::string_view text) {
        if (!next_is(text)) return false;
        ++at_;
        return true;
    }

    void require(std::string_view text) {
        if (!failed_ && !accept(text)) report_next("'" + std::string(text) + "'");
    }

    void skip_statement() {
        while (!at_statement_end()) ++at_;
    }

    // ---- problems ----

    void report(const Token& token, std::string found, std::string expected) {
        if (failed_) return;
        failed_ = true;
        problems_.push_back({token.line, token.column, std::move(found), std::move(expected)});
    }

    void report_next(std::string expected) { report(peek(), quoted(peek()), std::move(expected)); }

    void report_type(const Token& token, Type type, std::string expected) {
        report(token, quoted(token) + ", " + with_article(type), std::move(expected));
    }

    void require_type(Type type, Type expected, const Token& token) {
        if (type != expected) report_type(token, type, with_article(expected));
    }

    // ---- steps ----

    void check(const ProgramBuilder::Emitted& emitted) {
        if (emitted) return;
        switch (emitted.error()) {
            case ProgramLimit::Steps:
                return report(peek(), "a longer expression",
                              "at most " + std::to_string(ProgramBuilder::kMaxSteps) + " steps");
            case ProgramLimit::StackDepth:
                return report(peek(), "too many open operations",
                              "at most " + std::to_string(Program::kMaxStackDepth) + " at once");
        }
    }

    void emit(Op operation) { check(program_.emit(operation)); }

    // Returns the jump, for set_jump_target().
    std::size_t emit_jump(Op operation) {
        const auto jump = program_.next_step();
        emit(operation);
        return jump;
    }

    void set_jump_target(std::size_t jump) {
        if (!failed_) program_.set_jump_target(jump);
    }

    // One level of nesting while it exists.
    class Nesting {
      public:
        explicit Nesting(Compiler& compiler) : compiler_(compiler) {
            if (++compiler_.nesting_ > kMaxNesting) {
                compiler_.report(compiler_.peek(), "deeper nesting",
                                 "at most " + std::to_string(kMaxNesting) + " levels");
            }
        }
        ~Nesting() { --compiler_.nesting_; }
        Nesting(const Nesting&) = delete;
        Nesting& operator=(const Nesting&) = delete;

      private:
        Compiler& compiler_;
    };

    // ---- statements ----

    void statement(std::vector<Assignment>& assignments) {
        const Token name = peek();
        setting_ = setting_named_next();
        if (setting_ == nullptr) return;
        if (!assigned_.insert(name.text).second) {
            return report(name, quoted(name) + " a second time", "each setting once");
        }
        ++at_;
        require("=");
        program_ = ProgramBuilder();
        const Token first = peek();
        const auto type = expression();
        if (failed_) return;
        if (!at_statement_end()) return report_next("an operator or the end of the line");
        if (type != setting_->type) {
            return report_type(
                first, type, with_article(setting_->type) + " for " + std::string(setting_->name));
        }
        const auto& last = tokens_[at_ - 1].text;
        const auto length = static_cast<std::size_t>(last.data() + last.size() - first.text.data());
        assignments.push_back(
            {static_cast<std::size_t>(setting_ - settings_.data()),
             std::move(program_).finish(type, std::string_view(first.text.data(), length))});
    }

    const Setting* setting_named_next() {
        if (peek().kind != TokenKind::Name) {
            report_next("the name of a setting");
            return nullptr;
        }
        std::string names;
        for (const auto& setting : settings_) {
            if (setting.name == peek().text) return &setting;
            names += (names.empty() ? "one of " : ", ") + std::string(setting.name);
        }
        report_next(names);
        return nullptr;
    }

    // ---- expressions, from the weakest operator to the strongest; each gives its type ----

    Type expression() {
        const Nesting nesting(*this);
        if (failed_) return Type::Number;
        return accept("if") ? conditional() : disjunction();
    }

    Type conditional() {
        const Token condition = peek();
        require_type(expression(), Type::Boolean, condition);
        const auto to_else = emit_jump(Op::JumpIfFalse);
        require("then");
        const auto type = expression();
        const auto to_end = emit_jump(Op::Jump);
        set_jump_target(to_else);
        require("else");
        const Token otherwise = peek();
        require_type(expression(), type, otherwise);
        set_jump_target(to_end);
        return type;
    }

    // `a or b` is `if a then true else b`.
    Type disjunction() {
        const Token first = peek();
        auto type = conjunction();
        while (!failed_ && next_is("or")) {
            require_type(type, Type::Boolean, first);
            ++at_;
            const auto to_right = emit_jump(Op::JumpIfFalse);
            check(program_.push_number(Type::Boolean, 1));
            const auto to_end = emit_jump(Op::Jump);
            set_jump_target(to_right);
            const Token right = peek();
            require_type(conjunction(), Type::Boolean, right);
            set_jump_target(to_end);
            type = Type::Boolean;
        }
        return type;
    }

    // `a and b` is `if a then b else false`.
    Type conjunction() {
        const Token first = peek();
        auto type = negation();
        while (!failed_ && next_is("and")) {
            require_type(type, Type::Boolean, first);
            ++at_;
            const auto to_false = emit_jump(Op::JumpIfFalse);
            const Token right = peek();
            require_type(negation(), Type::Boolean, right);
            const auto to_end = emit_jump(Op::Jump);
            set_jump_target(to_false);
            check(program_.push_number(Type::Boolean, 0));
            set_jump_target(to_end);
            type = Type::Boolean;
        }
        return type;
    }

    Type negation() {
        if (!next_is("not")) return comparison();
        const Nesting nesting(*this);
        if (failed_) return Type::Boolean;
        ++at_;
        const Token operand = peek();
        require_type(negation(), Type::Boolean, operand);
        emit(Op::Not);
        return Type::Boolean;
    }

    Type comparison() {
        const auto left = sum();
        const Token sign = peek();
        if (failed_ || sign.kind != TokenKind::Sign) return left;
        const auto text = sign.text;
        const bool equality = text == "==" || text == "!=";
        if (!equality && text != "<" && text != "<=" && text != ">" && text != ">=") return left;
        ++at_;
        const Token right = peek();
        require_type(sum(), left, right);
        if (!equality && !is_measure(left)) {
            report(sign, quoted(sign) + " between " + std::string(type_name(left)) + "s",
                   "'==' or '!='");
        }
        // a > b is not (a <= b); only finite values count in the end.
        emit(equality ? Op::Equal : text == "<" || text == ">=" ? Op::Less : Op::LessEqual);
        if (text == "!=" || text == ">" || text == ">=") emit(Op::Not);
        return Type::Boolean;
    }

    Type sum() {
        auto type = product();
        while (!failed_ && (next_is("+") || next_is("-"))) {
            const Token sign = peek();
            ++at_;
            const Token right = peek();
            if (!is_measure(type)) {
                report(sign, quoted(sign) + " after " + with_article(type),
                       "a number or a duration before it");
            }
            require_type(product(), type, right);
            emit(sign.text == "+" ? Op::Add : Op::Subtract);
        }
        return type;
    }

    Type product() {
        auto type = power();
        while (!failed_ && (next_is("*") || next_is("/"))) {
            const Token sign = peek();
            ++at_;
            const auto right = power();
            if (failed_) return type;
            const bool multiplies = sign.text == "*";
            const auto result = multiplies ? product_type(type, right) : quotient_type(type, right);
            if (!result) {
                report(
                    sign,
                    quoted(sign) + " between " + with_article(type) + " and " + with_article(right),
                    multiplies ? "numbers, or a number and a duration"
                               : "numbers, or a duration divided by a number or a duration");
            }
            emit(multiplies ? Op::Multiply : Op::Divide);
            type = result.value_or(type);
        }
        return type;
    }

    Type power() {
        const auto type = unary();
        if (failed_ || !next_is("^")) return type;
        const Token sign = peek();
        ++at_;
        const Nesting nesting(*this);
        if (failed_) return type;
        const auto exponent = power();
        if (type != Type::Number || exponent != Type::Number) {
            const auto wrong = type == Type::Number ? exponent : type;
            report(sign, quoted(sign) + " with " + with_article(wrong), "numbers");
        }
        emit(Op::Power);
        return Type::Number;
    }

    Type unary() {
        if (!next_is("-")) return primary();
        const Nesting nesting(*this);
        if (failed_) return Type::Number;
        const Token sign = peek();
        ++at_;
        const auto type = unary();
        if (!is_measure(type)) {
            report(sign, "'-' before " + with_article(type), "a number or a duration after it");
        }
        emit(Op::Negate);
        return type;
    }

    Type primary() {
        const Token token = peek();
        if (failed_) return Type::Number;
        switch (token.kind) {
            case TokenKind::Number:
                return literal(Type::Number);
            case TokenKind::Duration:
                return literal(Type::Duration);
            case TokenKind::Text:
                ++at_;
                check(program_.push_text(token.text.substr(1, token.text.size() - 2)));
                return Type::Text;
            case TokenKind::Name:
                return name();
            default:
                break;
        }
        if (accept("(")) {
            const auto type = expression();
            require(")");
            return type;
        }
        report_next("a value");
        return Type::Number;
    }

    Type literal(Type type) {
        const auto number = peek().number;
        ++at_;
        check(program_.push_number(type, number));
        return type;
    }

    Type name() {
        const Token token = peek();
        ++at_;
        if (token.text == "true" || token.text == "false") {
            check(program_.push_number(Type::Boolean, token.text == "true" ? 1 : 0));
            return Type::Boolean;
        }
        return next_is("(") ? call(token) : variable(token);
    }

    Type variable(const Token& token) {
        const auto& variables = setting_->variables;
        std::string names;
        for (std::size_t i = 0; i < variables.size(); ++i) {
            if (variables[i].name == token.text) {
                check(program_.emit(Op::Load, i));
                return variables[i].type;
            }
            names += (names.empty() ? "" : ", ") + std::string(variables[i].name);
        }
        report(token, quoted(token),
               names.empty() ? "a value; " + std::string(setting_->name) + " has no variables"
                             : "a value or one of " + names);
        return Type::Number;
    }

    // ---- calls of functions ----

    struct Arguments {
        Type type = Type::Number;  // of the first one, and so of all
        int count = 0;
    };

    Type call(const Token& name) {
        const Nesting nesting(*this);
        const auto* function = find_function(name.text);
        if (function == nullptr) {
            report(name, quoted(name), "one of the functions " + function_names());
            return Type::Number;
        }
        require("(");
        const auto given = arguments(*function);
        require(")");
        if (!function->takes(given.count)) {
            report(name, quoted(name) + " with " + std::to_string(given.count) + " values",
                   (function->any_number ? "at least " : "exactly ") +
                       std::to_string(function->arguments));
        }
        if (function->last) emit(*function->last);
        return function->result.value_or(given.type);
    }

    Arguments arguments(const Function& function) {
        Arguments given;
        do {
            const Token argument = peek();
            const auto type = expression();
            if (failed_) break;
            ++given.count;
            if (given.count == 1) {
                given.type = type;
                if (!accepts(function.argument, type)) {
                    report_type(argument, type, std::string(text(function.argument)));
                }
            } else {
                require_type(type, given.type, argument);
            }
            if (const auto combine = function.combining(given.count)) emit(*combine);
        } while (!failed_ && accept(","));
        return given;
    }

    const std::vector<Setting>& settings_;
    std::vector<Token> tokens_;
    std::size_t at_ = 0;
    std::set<std::string_view> assigned_;  // settings
    std::vector<Problem> problems_;
    bool failed_ = false;  // the statement has a problem
    int nesting_ = 0;
    const Setting* setting_ = nullptr;  // of the statement
    ProgramBuilder program_;            // of the statement
};

}  // namespace

std::string Problem::text() const {
    return std::to_string(line) + ":" + std::to_string(column) + ": found " + found +
           ", expected " + expected;
}

tl::expected<std::vector<Assignment>, std::vector<Problem>> compile(
    std::string_view source, const std::vector<Setting>& settings) {
    if (source.size() > kMaxSourceBytes) {
        return tl::unexpected(std::vector<Problem>{{1, 1, std::to_string(source.size()) + " bytes",
                                                    "at most " + std::to_string(kMaxSourceBytes)}});
    }
    return Compiler(source, settings).run();
}

}  // namespace lichendrift::policy
