// Writing of JSON objects with RapidJSON. Included only by the files of src/wire.
#pragma once

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <array>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lichendrift::wire::json {

/// Writes one JSON document, value by value.
class Writer {
  public:
    /// Writes a string.
    void value(std::string_view text) {
        writer_.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
    }
    /// Writes a boolean.
    void value(std::same_as<bool> auto flag) { writer_.Bool(flag); }
    /// Writes an unsigned integer.
    void value(std::unsigned_integral auto number) requires(!std::same_as<decltype(number), bool>) {
        writer_.Uint64(number);
    }
    /// Writes a signed integer.
    void value(std::int64_t number) { writer_.Int64(number); }
    /// Writes a floating-point number.
    void value(double number) { writer_.Double(number); }
    /// Writes an array of three numbers.
    void value(const std::array<double, 3>& numbers) {
        array([&] {
            for (const double number : numbers) writer_.Double(number);
        });
    }
    /// Writes an array of strings.
    void value(const std::vector<std::string>& strings) {
        array([&] {
            for (const auto& text : strings) value(std::string_view(text));
        });
    }

    /// Writes an array; `write` writes its values.
    template <typename Write>
    void array(Write write) {
        writer_.StartArray();
        write();
        writer_.EndArray();
    }
    /// Writes an object; `write` writes its fields.
    template <typename Write>
    void object(Write write) {
        writer_.StartObject();
        write();
        writer_.EndObject();
    }

    /// Writes the name of a field; the caller must write its value next.
    void name(std::string_view field) {
        writer_.Key(field.data(), static_cast<rapidjson::SizeType>(field.size()));
    }
    /// Writes a field with its value.
    template <typename T>
    void field(std::string_view field, const T& content) {
        name(field);
        value(content);
    }
    /// Writes a field whose value `json` is already serialized.
    void raw_field(std::string_view field, std::string_view json) {
        name(field);
        writer_.RawValue(json.data(), json.size(), rapidjson::kObjectType);
    }
    /// Writes a field whose value is an array; `write` writes the values of the array.
    template <typename Write>
    void array_field(std::string_view field, Write write) {
        name(field);
        array(write);
    }

    /// Bytes written so far.
    [[nodiscard]] std::size_t size_bytes() const { return buffer_.GetSize(); }
    /// The JSON written so far.
    [[nodiscard]] std::string text() const { return {buffer_.GetString(), buffer_.GetSize()}; }

  private:
    rapidjson::StringBuffer buffer_;
    rapidjson::Writer<rapidjson::StringBuffer> writer_{buffer_};
};

/// Returns one JSON object; `write(Writer&)` writes its fields.
template <typename Write>
[[nodiscard]] std::string object_text(Write write) {
    Writer writer;
    writer.object([&] { write(writer); });
    return writer.text();
}

}  // namespace lichendrift::wire::json
