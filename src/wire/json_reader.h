// Typed reading of JSON objects. Only the files of src/wire include it.
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

/// A node of a parsed document.
using Value = rapidjson::Value;

inline constexpr std::size_t kMaxNameBytes = 200;  ///< of names of machines, teams, images, ...

/// Whether a text may be a name: not empty and not too long.
[[nodiscard]] inline bool is_valid_name(std::string_view name) {
    return !name.empty() && name.size() <= kMaxNameBytes;
}

/// Each `read` takes a value of its type and returns whether it was one; `out` stays otherwise.
[[nodiscard]] bool read(const Value& value, std::string& out);
/// A view into the document, valid as long as it.
[[nodiscard]] bool read(const Value& value, std::string_view& out);
/// A boolean.
[[nodiscard]] bool read(const Value& value, bool& out);
/// A number.
[[nodiscard]] bool read(const Value& value, double& out);
/// An integer from 0 to 2^32 - 1.
[[nodiscard]] bool read(const Value& value, std::uint32_t& out);
/// An integer from 0 to 2^64 - 1.
[[nodiscard]] bool read(const Value& value, std::uint64_t& out);
/// An integer from -2^63 to 2^63 - 1.
[[nodiscard]] bool read(const Value& value, std::int64_t& out);
/// A list of exactly three numbers.
[[nodiscard]] bool read(const Value& value, std::tuple<double&, double&, double&>& out);
/// A list of strings; anything else in it makes the whole list another type.
[[nodiscard]] bool read(const Value& value, std::vector<std::string>& out);

/// The value as JSON text.
[[nodiscard]] std::string text_of(const Value& value);

/// Reads the fields of one object. The first required field that is missing or invalid becomes the
/// error of the document; from then on nothing is read. Fields that nobody asks for are ignored.
class ObjectReader {
  public:
    /// Of a value that may be no object; `error` belongs to the document and outlives the reader.
    ObjectReader(const Value& object, std::optional<ParseError>& error);

    /// The field's value; null if it is missing, is null, or the document has an error.
    [[nodiscard]] const Value* find(std::string_view name) const;

    /// Reads a field if it is there and of the type. Returns whether it was; never an error.
    template <typename T>
    bool optional(std::string_view name, T& out) const {
        const auto* value = find(name);
        return value != nullptr && read(*value, out);
    }
    /// The strings of a list, without its entries of other types; nothing if there is no list.
    [[nodiscard]] std::optional<std::vector<std::string>> strings(std::string_view name) const;
    /// Reads a field that has to be there.
    template <typename T>
    void required(std::string_view name, T& out) {
        const auto* value = find(name);
        if (value == nullptr) return fail(ParseFault::MissingField, name);
        if (!read(*value, out)) fail(ParseFault::WrongType, name);
    }
    /// Reads a field that has to be there, with a value that `is_valid` accepts.
    template <typename T, typename Check>
    void required(std::string_view name, T& out, Check is_valid) {
        required(name, out);
        check(is_valid(out), name);
    }
    /// Reads a field that may be missing or null, but if it is there has to be valid.
    template <typename T, typename Check>
    void nullable(std::string_view name, std::optional<T>& out, Check is_valid) {
        if (find(name) != nullptr) required(name, out.emplace(), is_valid);
    }
    /// Makes the field an error unless its value is valid.
    void check(bool is_valid, std::string_view name) {
        if (!is_valid) fail(ParseFault::InvalidValue, name);
    }
    /// Calls `read_entry(ObjectReader)` for each entry of a list of objects that has to be there.
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
    /// The error, if none came before.
    void fail(ParseFault fault, std::string_view name) {
        if (!error_) error_ = ParseError{fault, name};
    }

  private:
    const Value& object_;
    std::optional<ParseError>& error_;
};

/// A parsed body with its error, if it has one.
class Document {
  public:
    /// Parses `body`; nesting does not use the stack, so a hostile body can't run it out.
    explicit Document(std::string_view body);
    Document(const Document&) = delete;
    Document& operator=(const Document&) = delete;

    /// Reads the document's object.
    [[nodiscard]] ObjectReader root() { return {document_, error_}; }
    /// Whether the body was no JSON object, or a reader found an error.
    [[nodiscard]] bool failed() const { return error_.has_value(); }
    /// `message`, read from this document, or the error.
    template <typename Message>
    [[nodiscard]] Parsed<Message> parsed(Message message) const {
        if (error_) return tl::unexpected(*error_);
        return message;
    }
    /// The same for callers that need no reason.
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
