// Parses and checks a source, and compiles its expressions.
#include "policy/language.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

#include "policy/lexer.h"

namespace lichendrift::policy {

namespace {

constexpr std::size_t kMaxBytes = std::size_t{64} << 10;
constexpr std::size_t kMaxSteps = 400;  // of one expression
constexpr int kMaxNesting = 32;
constexpr std::size_t kMaxProblems = 50;

std::string typed(const Token& token, Type type) {
    return quoted(token) + ", a " + std::string(type_name(type));
}

bool measured(Type type) { return type == Type::Number || type == Type::Duration; }

}  // namespace

std::string_view type_name(Type type) {
    switch (type) {
        case Type::Number:
            return "number";
        case Type::Boolean:
            return "boolean";
        case Type::Text:
            return "string";
        case Type::Duration:
            return "duration";
    }
    return "";
}

std::string Problem::text() const {
    return std::to_string(line) + ":" + std::to_string(column) + ": found " + found +
           ", expected " + expected;
}

// One pass: parses, checks types and emits steps. After an error the rest of the statement is
// skipped, so that each statement reports its first error and all statements are looked at.
class Compiler {
  public:
    Compiler(std::string_view source, const std::vector<Setting>& settings)
        : settings_(settings), tokens_(tokens_of(source)) {}

    std::variant<std::vector<Assignment>, std::vector<Problem>> run() {
        std::vector<Assignment> out;
        while (peek().kind != Kind::End && problems_.size() < kMaxProblems) {
            if (peek().kind == Kind::Line) {
                ++at_;
                continue;
            }
            failed_ = false;
            statement(out);
            if (failed_) {
                while (peek().kind != Kind::Line && peek().kind != Kind::End) ++at_;
            }
        }
        if (!problems_.empty()) return problems_;
        return out;
    }

  private:
    using Op = Program::Op;

    const Token& peek() const { return tokens_[at_]; }
    bool is(std::string_view text) const {
        return (peek().kind == Kind::Sign || peek().kind == Kind::Name) && peek().text == text;
    }
    bool accept(std::string_view text) {
        if (!is(text)) return false;
        ++at_;
        return true;
    }
    void problem(const Token& token, std::string found, std::string expected) {
        if (failed_) return;
        failed_ = true;
        problems_.push_back({token.line, token.column, std::move(found), std::move(expected)});
    }
    void unexpected(std::string expected) { problem(peek(), quoted(peek()), std::move(expected)); }
    void need(std::string_view text) {
        if (!failed_ && !accept(text)) unexpected("'" + std::string(text) + "'");
    }

    void statement(std::vector<Assignment>& out) {
        const Token name = peek();
        if (name.kind != Kind::Name) return unexpected("the name of a setting");
        const auto found = std::find_if(settings_.begin(), settings_.end(),
                                        [&](const Setting& s) { return s.name == name.text; });
        if (found == settings_.end()) {
            std::string names;
            for (const auto& s : settings_) {
                names += (names.empty() ? "one of " : ", ") + std::string(s.name);
            }
            return unexpected(names);
        }
        if (!seen_.insert(name.text).second) {
            return problem(name, quoted(name) + " a second time", "each setting once");
        }
        ++at_;
        need("=");
        setting_ = &*found;
        program_ = Program();
        depth_ = 0;
        const Token first = peek();
        const auto type = expression();
        if (failed_) return;
        if (peek().kind != Kind::Line && peek().kind != Kind::End) {
            return unexpected("an operator or the end of the line");
        }
        if (type != found->type) {
            return problem(
                first, typed(first, type),
                "a " + std::string(type_name(found->type)) + " for " + std::string(found->name));
        }
        program_.type_ = type;
        const auto& last = tokens_[at_ - 1];
        program_.source_.assign(first.text.data(), last.text.data() + last.text.size());
        point_texts();
        out.push_back({static_cast<std::size_t>(found - settings_.begin()), std::move(program_)});
    }

    // Only now the texts stay where they are.
    void point_texts() {
        std::size_t next = 0;
        for (auto& constant : program_.constants_) {
            if (constant.type == Type::Text) constant.text = program_.texts_[next++];
        }
    }

    void emit(Op op, std::size_t index = 0) {
        if (program_.steps_.size() >= kMaxSteps) {
            return problem(peek(), "a longer expression",
                           "at most " + std::to_string(kMaxSteps) + " steps");
        }
        program_.steps_.push_back({op, static_cast<std::uint32_t>(index)});
        const bool pushes = op == Op::Push || op == Op::Load;
        const bool alone = op == Op::Negate || op == Op::Not || op == Op::Abs || op == Op::Floor ||
                           op == Op::Ceil || op == Op::Seconds;
        // After a jump the other branch starts with what the first one started with.
        if (!alone) depth_ = pushes ? depth_ + 1 : depth_ - 1;
        if (depth_ > Program::kDepth) {
            problem(peek(), "too many open operations",
                    "at most " + std::to_string(Program::kDepth) + " at once");
        }
    }
    std::size_t here() const { return program_.steps_.size(); }

    void constant(Type type, double number) {
        emit(Op::Push, program_.constants_.size());
        program_.constants_.push_back({type, number, {}});
    }

    struct Nesting {
        explicit Nesting(Compiler& c) : compiler(c) {
            if (++c.nesting_ > kMaxNesting) {
                c.problem(c.peek(), "deeper nesting",
                          "at most " + std::to_string(kMaxNesting) + " levels");
            }
        }
        ~Nesting() { --compiler.nesting_; }
        Compiler& compiler;
    };

    Type expression() {
        const Nesting nesting(*this);
        if (failed_) return Type::Number;
        return accept("if") ? choice() : disjunction();
    }

    Type choice() {
        const Token at = peek();
        wanted(expression(), Type::Boolean, at);
        const auto to_else = here();
        emit(Op::JumpIfFalse);
        need("then");
        const auto yes = expression();
        const auto to_end = here();
        emit(Op::Jump);
        if (!failed_) program_.steps_[to_else].index = static_cast<std::uint32_t>(here());
        need("else");
        const Token no_at = peek();
        wanted(expression(), yes, no_at);
        if (!failed_) program_.steps_[to_end].index = static_cast<std::uint32_t>(here());
        return yes;
    }

    void wanted(Type got, Type want, const Token& at) {
        if (got == want) return;
        problem(at, typed(at, got), "a " + std::string(type_name(want)));
    }

    Type disjunction() { return logic("or", false); }

    // `a or b` is `if a then true else b`, `a and b` is `if a then b else false`.
    Type logic(std::string_view word, bool both) {
        const Token first = peek();
        auto type = both ? negation() : logic("and", true);
        while (!failed_ && is(word)) {
            wanted(type, Type::Boolean, first);
            ++at_;
            const auto branch = here();
            emit(Op::JumpIfFalse);
            if (!both) constant(Type::Boolean, 1);
            auto skip = here();
            if (!both) {
                emit(Op::Jump);
                if (!failed_) program_.steps_[branch].index = static_cast<std::uint32_t>(here());
            }
            const Token at = peek();
            wanted(both ? negation() : logic("and", true), Type::Boolean, at);
            if (both) {
                skip = here();
                emit(Op::Jump);
                if (!failed_) program_.steps_[branch].index = static_cast<std::uint32_t>(here());
                constant(Type::Boolean, 0);
            }
            if (!failed_) program_.steps_[skip].index = static_cast<std::uint32_t>(here());
            type = Type::Boolean;
        }
        return type;
    }

    Type negation() {
        if (!is("not")) return comparison();
        const Nesting nesting(*this);
        if (failed_) return Type::Boolean;
        ++at_;
        const Token at = peek();
        wanted(negation(), Type::Boolean, at);
        emit(Op::Not);
        return Type::Boolean;
    }

    Type comparison() {
        const auto left = sum();
        const Token sign = peek();
        if (failed_ || sign.kind != Kind::Sign) return left;
        const auto text = sign.text;
        const bool equal = text == "==" || text == "!=";
        if (!equal && text != "<" && text != "<=" && text != ">" && text != ">=") return left;
        ++at_;
        const Token at = peek();
        wanted(sum(), left, at);
        if (!failed_ && !equal && !measured(left)) {
            problem(sign, quoted(sign) + " between " + std::string(type_name(left)) + "s",
                    "'==' or '!='");
        }
        // a > b is not (a <= b); only finite values count in the end.
        emit(equal ? Op::Equal : text == "<" || text == ">=" ? Op::Less : Op::LessEqual);
        if (text == "!=" || text == ">" || text == ">=") emit(Op::Not);
        return Type::Boolean;
    }

    Type sum() {
        auto type = product();
        while (!failed_ && (is("+") || is("-"))) {
            const Token sign = peek();
            ++at_;
            const Token at = peek();
            if (!measured(type)) {
                problem(sign, quoted(sign) + " after a " + std::string(type_name(type)),
                        "a number or a duration before it");
            }
            wanted(product(), type, at);
            emit(sign.text == "+" ? Op::Add : Op::Subtract);
        }
        return type;
    }

    Type product() {
        auto type = power();
        while (!failed_ && (is("*") || is("/"))) {
            const Token sign = peek();
            ++at_;
            const auto other = power();
            if (failed_) return type;
            const bool times = sign.text == "*";
            const bool fine = measured(type) && measured(other) &&
                              (times ? type == Type::Number || other == Type::Number
                                     : type == Type::Duration || other == Type::Number);
            if (!fine) {
                problem(sign,
                        quoted(sign) + " between a " + std::string(type_name(type)) + " and a " +
                            std::string(type_name(other)),
                        times ? "numbers, or a number and a duration"
                              : "numbers, or a duration divided by a number or a duration");
            }
            emit(times ? Op::Multiply : Op::Divide);
            if (times) {
                type = type == Type::Duration || other == Type::Duration ? Type::Duration
                                                                         : Type::Number;
            } else {
                type =
                    type == Type::Duration && other == Type::Number ? Type::Duration : Type::Number;
            }
        }
        return type;
    }

    Type power() {
        const auto type = unary();
        if (failed_ || !is("^")) return type;
        const Token sign = peek();
        ++at_;
        const Nesting nesting(*this);
        if (failed_) return type;
        const auto other = power();
        if (!failed_ && (type != Type::Number || other != Type::Number)) {
            problem(sign,
                    quoted(sign) + " with a " +
                        std::string(type_name(type == Type::Number ? other : type)),
                    "numbers");
        }
        emit(Op::Power);
        return Type::Number;
    }

    Type unary() {
        if (!is("-")) return primary();
        const Nesting nesting(*this);
        if (failed_) return Type::Number;
        const Token sign = peek();
        ++at_;
        const auto type = unary();
        if (!failed_ && !measured(type)) {
            problem(sign, "'-' before a " + std::string(type_name(type)),
                    "a number or a duration after it");
        }
        emit(Op::Negate);
        return type;
    }

    Type primary() {
        const Token token = peek();
        if (failed_) return Type::Number;
        switch (token.kind) {
            case Kind::Number:
            case Kind::Duration: {
                ++at_;
                const auto type = token.kind == Kind::Number ? Type::Number : Type::Duration;
                constant(type, token.number);
                return type;
            }
            case Kind::Text:
                ++at_;
                constant(Type::Text, 0);
                program_.texts_.emplace_back(token.text.substr(1, token.text.size() - 2));
                return Type::Text;
            case Kind::Name:
                return name();
            default:
                break;
        }
        if (accept("(")) {
            const auto type = expression();
            need(")");
            return type;
        }
        unexpected("a value");
        return Type::Number;
    }

    Type name() {
        const Token token = peek();
        if (token.text == "true" || token.text == "false") {
            ++at_;
            constant(Type::Boolean, token.text == "true" ? 1 : 0);
            return Type::Boolean;
        }
        ++at_;
        if (is("(")) return call(token);
        const auto& variables = setting_->variables;
        for (std::size_t i = 0; i < variables.size(); ++i) {
            if (variables[i].name != token.text) continue;
            emit(Op::Load, i);
            return variables[i].type;
        }
        std::string names;
        for (const auto& v : variables) names += (names.empty() ? "" : ", ") + std::string(v.name);
        problem(token, quoted(token),
                names.empty() ? "a value; " + std::string(setting_->name) + " has no variables"
                              : "a value or one of " + names);
        return Type::Number;
    }

    Type call(const Token& function) {
        const Nesting nesting(*this);
        static constexpr std::array<std::string_view, 7> kFunctions = {
            "min", "max", "clamp", "abs", "floor", "ceil", "seconds"};
        if (std::find(kFunctions.begin(), kFunctions.end(), function.text) == kFunctions.end()) {
            problem(function, quoted(function),
                    "one of the functions min, max, clamp, abs, floor, ceil, seconds");
            return Type::Number;
        }
        need("(");
        const auto text = function.text;
        Type type = Type::Number;
        int count = 0;
        do {
            const Token at = peek();
            const auto got = expression();
            if (failed_) return type;
            ++count;
            if (count == 1) {
                type = got;
                const bool fine = text == "seconds"                   ? got == Type::Duration
                                  : text == "floor" || text == "ceil" ? got == Type::Number
                                                                      : measured(got);
                if (!fine) {
                    problem(at, typed(at, got),
                            text == "seconds"                   ? "a duration"
                            : text == "floor" || text == "ceil" ? "a number"
                                                                : "a number or a duration");
                }
            } else {
                wanted(got, type, at);
                // clamp(x, low, high) is min(max(x, low), high).
                if (text == "min" || (text == "clamp" && count == 3)) emit(Op::Min);
                if (text == "max" || (text == "clamp" && count == 2)) emit(Op::Max);
            }
        } while (!failed_ && accept(","));
        need(")");
        const bool many = text == "min" || text == "max";
        const int minimum = many ? 2 : text == "clamp" ? 3 : 1;
        if (!failed_ && (count < minimum || (!many && count != minimum))) {
            problem(function, quoted(function) + " with " + std::to_string(count) + " values",
                    (many ? "at least " : "exactly ") + std::to_string(minimum));
        }
        if (text == "abs") emit(Op::Abs);
        if (text == "floor") emit(Op::Floor);
        if (text == "ceil") emit(Op::Ceil);
        if (text == "seconds") {
            emit(Op::Seconds);
            type = Type::Number;
        }
        return type;
    }

    const std::vector<Setting>& settings_;
    std::vector<Token> tokens_;
    std::size_t at_ = 0;
    std::set<std::string_view> seen_;
    std::vector<Problem> problems_;
    bool failed_ = false;
    int nesting_ = 0;
    std::size_t depth_ = 0;
    const Setting* setting_ = nullptr;
    Program program_;
};

std::variant<std::vector<Assignment>, std::vector<Problem>> compile(
    std::string_view source, const std::vector<Setting>& settings) {
    if (source.size() > kMaxBytes) {
        return std::vector<Problem>{{1, 1, std::to_string(source.size()) + " bytes",
                                     "at most " + std::to_string(kMaxBytes)}};
    }
    return Compiler(source, settings).run();
}

}  // namespace lichendrift::policy
