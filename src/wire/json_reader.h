// Typed reading of JSON objects with RapidJSON. Included only by the files of src/wire.
#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "wire/parse_error.h"

namespace lichendrift::wire::json {

/// A JSON value inside a parsed document.
using Value = rapidjson::Value;

inline constexpr std::size_t kMaxNameBytes = 200;  ///< for machines, teams, images etc.

/// Whether `name` is not empty and at most kMaxNameBytes long.
[[nodiscard]] inline bool is_valid_name(std::string_view name) {
    return !name.empty() && name.size() <= kMaxNameBytes;
}

/// Reads a string. Each overload of `read` returns whether `value` has the type that it reads; if
/// it has not, `out` keeps its value.
[[nodiscard]] bool read(const Value& value, std::string& out);
/// Reads a string as a view into the document, which must outlive the view.
[[nodiscard]] bool read(const Value& value, std::string_view& out);
/// Reads a boolean.
[[nodiscard]] bool read(const Value& value, bool& out);
/// Reads a finite number.
[[nodiscard]] bool read(const Value& value, double& out);
/// Reads an integer from 0 to 2^32 - 1.
[[nodiscard]] bool read(const Value& value, std::uint32_t& out);
/// Reads an integer from 0 to 2^64 - 1.
[[nodiscard]] bool read(const Value& value, std::uint64_t& out);
/// Reads an integer from -2^63 to 2^63 - 1.
[[nodiscard]] bool read(const Value& value, std::int64_t& out);
/// Reads an array of exactly three numbers. If one is invalid, those before it are read anyway.
[[nodiscard]] bool read(const Value& value, std::tuple<double&, double&, double&>& out);
/// Reads an array of strings. Returns false if any of its entries is not a string.
[[nodiscard]] bool read(const Value& value, std::vector<std::string>& out);

/// Serializes the value as JSON.
[[nodiscard]] std::string text_of(const Value& value);

/// Reads the fields of one object. The first field that fails a check becomes the error of the
/// document, after which nothing more is read. Fields that are not read are ignored.
class ObjectReader {
  public:
    /// If `object` is not a JSON object, that becomes the error. `error` belongs to the document;
    /// both arguments must outlive the reader.
    ObjectReader(const Value& object, std::optional<ParseError>& error);

    /// The value of a field. Returns a null pointer if the field is missing or null, or if the
    /// document has an error.
    [[nodiscard]] const Value* find(std::string_view name) const;

    /// Reads an optional field. Returns false if it is missing or has the wrong type; neither is
    /// an error of the document.
    template <typename T>
    bool optional(std::string_view name, T& out) const {
        const auto* value = find(name);
        return value != nullptr && read(*value, out);
    }
    /// The strings in an array, without its entries of other types. Returns nullopt if the field
    /// is missing or not an array.
    [[nodiscard]] std::optional<std::vector<std::string>> strings(std::string_view name) const;
    /// Reads a required field.
    template <typename T>
    void required(std::string_view name, T& out) {
        const auto* value = find(name);
        if (value == nullptr) return fail(ParseFault::MissingField, name);
        if (!read(*value, out)) fail(ParseFault::WrongType, name);
    }
    /// Reads a required field and checks its value with `is_valid`.
    template <typename T, typename Check>
    void required(std::string_view name, T& out, Check is_valid) {
        required(name, out);
        check(is_valid(out), name);
    }
    /// Reads a field that may be missing or null. Any other value must have the right type and be
    /// accepted by `is_valid`.
    template <typename T, typename Check>
    void nullable(std::string_view name, std::optional<T>& out, Check is_valid) {
        if (find(name) != nullptr) required(name, out.emplace(), is_valid);
    }
    /// Fails with ParseFault::InvalidValue for the field unless `is_valid`.
    void check(bool is_valid, std::string_view name) {
        if (!is_valid) fail(ParseFault::InvalidValue, name);
    }
    /// Calls `read_entry(ObjectReader&)` for each entry of a required array of objects.
    template <typename ReadEntry>
    void required_objects(std::string_view name, ReadEntry read_entry) {
        const auto* list = find(name);
        if (list == nullptr) return fail(ParseFault::MissingField, name);
        if (!list->IsArray()) return fail(ParseFault::WrongType, name);
        for (const auto& entry : list->GetArray()) {
            ObjectReader reader(entry, error_);
            if (error_) return;
            read_entry(reader);
            if (error_) return;
        }
    }
    /// Sets the error of the document if it has none yet.
    void fail(ParseFault fault, std::string_view name) {
        if (!error_) error_ = ParseError{fault, name};
    }

  private:
    const Value& object_;
    std::optional<ParseError>& error_;
};

/// The JSON object parsed from a body, and the first error found in it.
class Document {
  public:
    /// Parses `body`. The parser is iterative, so deep nesting in a malicious body can't overflow
    /// the stack.
    explicit Document(std::string_view body);
    Document(const Document&) = delete;
    Document& operator=(const Document&) = delete;

    /// A reader for the top-level object; the document must outlive it.
    [[nodiscard]] ObjectReader root() { return {document_, error_}; }
    /// Whether the body is not a JSON object or a reader has found an error.
    [[nodiscard]] bool failed() const { return error_.has_value(); }
    /// Returns `message`, which was read from this document, or the document's error.
    template <typename Message>
    [[nodiscard]] Parsed<Message> parsed(Message message) const {
        if (error_) return tl::unexpected(*error_);
        return message;
    }
    /// Returns `message`, or nullopt if the document has an error.
    template <typename Message>
    [[nodiscard]] std::optional<Message> if_valid(Message message) const {
        if (error_) return std::nullopt;
        return message;
    }

  private:
    rapidjson::Document document_;
    std::optional<ParseError> error_;
};

}  // namespace lichendrift::wire::json
