// Compiles one expression in a single pass: parses it, checks its types and emits instructions.
#include "policy/expression_compiler.h"

#include <string>
#include <utility>

#include "policy/type_rules.h"

namespace lichendrift::policy {

namespace {

constexpr int kMaxNesting = 32;

// Recursive-descent parser. After the first problem of a statement no other one is reported, and
// the instructions emitted so far are discarded by the caller.
class ExpressionCompiler {
  public:
    ExpressionCompiler(TokenReader& input, const Setting& setting)
        : input_(input), setting_(setting) {}

    CompiledExpression run() {
        const auto type = expression();
        return {type, std::move(program_)};
    }

  private:
    // ---- instructions ----

    void check(const ProgramBuilder::EmitResult& result) {
        if (result) return;
        switch (result.error()) {
            case ProgramLimit::Instructions:
                return input_.report(
                    input_.peek(), "an expression that is too long",
                    "at most " + std::to_string(ProgramBuilder::kMaxInstructions) + " operations");
            case ProgramLimit::StackDepth:
                return input_.report(
                    input_.peek(), "too many pending operands",
                    "at most " + std::to_string(Program::kMaxStackDepth) + " at once");
        }
    }

    void emit(Op operation) { check(program_.emit(operation)); }

    // Returns the index of the jump, to be passed to set_jump_target().
    std::size_t emit_jump(Op operation) {
        const auto jump = program_.next_instruction();
        emit(operation);
        return jump;
    }

    void set_jump_target(std::size_t jump) {
        if (!input_.failed()) program_.set_jump_target(jump);
    }

    // Counts one level of nesting for the lifetime of the object, and reports too deep nesting.
    class Nesting {
      public:
        explicit Nesting(ExpressionCompiler& compiler) : compiler_(compiler) {
            if (++compiler_.nesting_ > kMaxNesting) {
                compiler_.input_.report(compiler_.input_.peek(), "nesting that is too deep",
                                        "at most " + std::to_string(kMaxNesting) + " levels");
            }
        }
        ~Nesting() { --compiler_.nesting_; }
        Nesting(const Nesting&) = delete;
        Nesting& operator=(const Nesting&) = delete;

      private:
        ExpressionCompiler& compiler_;
    };

    // ---- expressions, from the lowest operator precedence to the highest; each function returns
    // the type of what it parsed ----

    Type expression() {
        const Nesting nesting(*this);
        if (input_.failed()) return Type::Number;
        return input_.accept("if") ? conditional() : disjunction();
    }

    Type conditional() {
        const Token condition = input_.peek();
        input_.require_type(expression(), Type::Boolean, condition);
        const auto to_else = emit_jump(Op::JumpIfFalse);
        input_.require("then");
        const auto type = expression();
        const auto to_end = emit_jump(Op::Jump);
        set_jump_target(to_else);
        input_.require("else");
        const Token otherwise = input_.peek();
        input_.require_type(expression(), type, otherwise);
        set_jump_target(to_end);
        return type;
    }

    // `a or b` is `if a then true else b`.
    Type disjunction() {
        const Token first = input_.peek();
        auto type = conjunction();
        while (!input_.failed() && input_.next_is("or")) {
            input_.require_type(type, Type::Boolean, first);
            input_.advance();
            const auto to_right = emit_jump(Op::JumpIfFalse);
            check(program_.push_number(Type::Boolean, 1));
            const auto to_end = emit_jump(Op::Jump);
            set_jump_target(to_right);
            const Token right = input_.peek();
            input_.require_type(conjunction(), Type::Boolean, right);
            set_jump_target(to_end);
            type = Type::Boolean;
        }
        return type;
    }

    // `a and b` is `if a then b else false`.
    Type conjunction() {
        const Token first = input_.peek();
        auto type = negation();
        while (!input_.failed() && input_.next_is("and")) {
            input_.require_type(type, Type::Boolean, first);
            input_.advance();
            const auto to_false = emit_jump(Op::JumpIfFalse);
            const Token right = input_.peek();
            input_.require_type(negation(), Type::Boolean, right);
            const auto to_end = emit_jump(Op::Jump);
            set_jump_target(to_false);
            check(program_.push_number(Type::Boolean, 0));
            set_jump_target(to_end);
            type = Type::Boolean;
        }
        return type;
    }

    Type negation() {
        if (!input_.next_is("not")) return comparison();
        const Nesting nesting(*this);
        if (input_.failed()) return Type::Boolean;
        input_.advance();
        const Token operand = input_.peek();
        input_.require_type(negation(), Type::Boolean, operand);
        emit(Op::Not);
        return Type::Boolean;
    }

    Type comparison() {
        const auto left = sum();
        const Token symbol = input_.peek();
        if (input_.failed() || symbol.kind != TokenKind::Symbol) return left;
        const auto text = symbol.text;
        const bool equality = text == "==" || text == "!=";
        if (!equality && text != "<" && text != "<=" && text != ">" && text != ">=") return left;
        input_.advance();
        const Token right = input_.peek();
        input_.require_type(sum(), left, right);
        if (!equality && !is_numeric(left)) {
            input_.report(symbol, quoted(symbol) + " between " + std::string(type_name(left)) + "s",
                          "'==' or '!='");
        }
        // `a > b` compiles to `not (a <= b)`, and `a >= b` to `not (a < b)`. For NaN operands this
        // differs, which is accepted because only finite results are used.
        emit(equality ? Op::Equal : text == "<" || text == ">=" ? Op::Less : Op::LessEqual);
        if (text == "!=" || text == ">" || text == ">=") emit(Op::Not);
        return Type::Boolean;
    }

    Type sum() {
        auto type = product();
        while (!input_.failed() && (input_.next_is("+") || input_.next_is("-"))) {
            const Token symbol = input_.peek();
            input_.advance();
            const Token right = input_.peek();
            if (!is_numeric(type)) {
                input_.report(symbol, quoted(symbol) + " after " + with_article(type),
                              "a number or a duration before it");
            }
            input_.require_type(product(), type, right);
            emit(symbol.text == "+" ? Op::Add : Op::Subtract);
        }
        return type;
    }

    Type product() {
        auto type = power();
        while (!input_.failed() && (input_.next_is("*") || input_.next_is("/"))) {
            const Token symbol = input_.peek();
            input_.advance();
            const auto right = power();
            if (input_.failed()) return type;
            const bool multiplies = symbol.text == "*";
            const auto result = multiplies ? product_type(type, right) : quotient_type(type, right);
            if (!result) {
                input_.report(symbol,
                              quoted(symbol) + " between " + with_article(type) + " and " +
                                  with_article(right),
                              multiplies
                                  ? "numbers, or a number and a duration"
                                  : "numbers, or a duration divided by a number or a duration");
            }
            emit(multiplies ? Op::Multiply : Op::Divide);
            type = result.value_or(type);
        }
        return type;
    }

    Type power() {
        const auto type = unary();
        if (input_.failed() || !input_.next_is("^")) return type;
        const Token symbol = input_.peek();
        input_.advance();
        const Nesting nesting(*this);
        if (input_.failed()) return type;
        const auto exponent = power();
        if (type != Type::Number || exponent != Type::Number) {
            const auto not_number = type == Type::Number ? exponent : type;
            input_.report(symbol, quoted(symbol) + " with " + with_article(not_number), "numbers");
        }
        emit(Op::Power);
        return Type::Number;
    }

    Type unary() {
        if (!input_.next_is("-")) return primary();
        const Nesting nesting(*this);
        if (input_.failed()) return Type::Number;
        const Token symbol = input_.peek();
        input_.advance();
        const auto type = unary();
        if (!is_numeric(type)) {
            input_.report(symbol, "'-' before " + with_article(type),
                          "a number or a duration after it");
        }
        emit(Op::Negate);
        return type;
    }

    Type primary() {
        const Token token = input_.peek();
        if (input_.failed()) return Type::Number;
        switch (token.kind) {
            case TokenKind::Number:
                return literal(Type::Number);
            case TokenKind::Duration:
                return literal(Type::Duration);
            case TokenKind::String:
                input_.advance();
                check(program_.push_string(token.text.substr(1, token.text.size() - 2)));
                return Type::String;
            case TokenKind::Name:
                return name();
            default:
                break;
        }
        if (input_.accept("(")) {
            const auto type = expression();
            input_.require(")");
            return type;
        }
        input_.report_next("a value");
        return Type::Number;
    }

    Type literal(Type type) {
        const auto number = input_.peek().number;
        input_.advance();
        check(program_.push_number(type, number));
        return type;
    }

    Type name() {
        const Token token = input_.peek();
        input_.advance();
        if (token.text == "true" || token.text == "false") {
            check(program_.push_number(Type::Boolean, token.text == "true" ? 1 : 0));
            return Type::Boolean;
        }
        return input_.next_is("(") ? call(token) : variable(token);
    }

    Type variable(const Token& token) {
        const auto& variables = setting_.variables;
        std::string names;
        for (std::size_t i = 0; i < variables.size(); ++i) {
            if (variables[i].name == token.text) {
                check(program_.emit(Op::Load, i));
                return variables[i].type;
            }
            names += (names.empty() ? "" : ", ") + std::string(variables[i].name);
        }
        input_.report(token, quoted(token),
                      names.empty() ? "a value; " + std::string(setting_.name) + " has no variables"
                                    : "a value or one of " + names);
        return Type::Number;
    }

    // ---- calls of functions ----

    struct Arguments {
        Type type = Type::Number;  // of the first argument; the others must have the same
        int count = 0;
    };

    Type call(const Token& name) {
        const Nesting nesting(*this);
        const auto* function = find_function(name.text);
        if (function == nullptr) {
            input_.report(name, quoted(name), "one of the functions " + function_names());
            return Type::Number;
        }
        input_.require("(");
        const auto given = arguments(*function);
        input_.require(")");
        if (!function->accepts_count(given.count)) {
            input_.report(name,
                          quoted(name) + " with " + std::to_string(given.count) + " argument(s)",
                          (function->variadic ? "at least " : "exactly ") +
                              std::to_string(function->argument_count));
        }
        if (function->final_op) emit(*function->final_op);
        return function->result.value_or(given.type);
    }

    Arguments arguments(const Function& function) {
        Arguments given;
        do {
            const Token argument = input_.peek();
            const auto type = expression();
            if (input_.failed()) break;
            ++given.count;
            if (given.count == 1) {
                given.type = type;
                if (!accepts(function.argument, type)) {
                    input_.report_type(argument, type, std::string(describe(function.argument)));
                }
            } else {
                input_.require_type(type, given.type, argument);
            }
            if (const auto combine = function.combining_op(given.count)) emit(*combine);
        } while (!input_.failed() && input_.accept(","));
        return given;
    }

    TokenReader& input_;
    const Setting& setting_;
    ProgramBuilder program_;
    int nesting_ = 0;
};

}  // namespace

CompiledExpression compile_expression(TokenReader& input, const Setting& setting) {
    return ExpressionCompiler(input, setting).run();
}

}  // namespace lichendrift::policy
