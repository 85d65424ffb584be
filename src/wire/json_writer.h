// Writing of JSON objects. Only the files of src/wire include it.
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

/// Writes one JSON text, value after value.
class Writer {
  public:
    /// A text.
    void value(std::string_view text) {
        writer_.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
    }
    /// A boolean.
    void value(std::same_as<bool> auto flag) { writer_.Bool(flag); }
    /// An integer.
    void value(std::unsigned_integral auto number) requires(!std::same_as<decltype(number), bool>) {
        writer_.Uint64(number);
    }
    /// An integer.
    void value(std::int64_t number) { writer_.Int64(number); }
    /// A number.
    void value(double number) { writer_.Double(number); }
    /// A list of three numbers.
    void value(const std::array<double, 3>& numbers) {
        array([&] {
            for (const double number : numbers) writer_.Double(number);
        });
    }
    /// A list of strings.
    void value(const std::vector<std::string>& strings) {
        array([&] {
            for (const auto& text : strings) value(std::string_view(text));
        });
    }

    /// A list of the values that `write` writes.
    template <typename Write>
    void array(Write write) {
        writer_.StartArray();
        write();
        writer_.EndArray();
    }
    /// An object of the fields that `write` writes.
    template <typename Write>
    void object(Write write) {
        writer_.StartObject();
        write();
        writer_.EndObject();
    }

    /// The name of a field; its value has to follow.
    void name(std::string_view field) {
        writer_.Key(field.data(), static_cast<rapidjson::SizeType>(field.size()));
    }
    /// A field with its value.
    template <typename T>
    void field(std::string_view field, const T& content) {
        name(field);
        value(content);
    }
    /// A field with a value that is JSON already.
    void raw_field(std::string_view field, std::string_view json) {
        name(field);
        writer_.RawValue(json.data(), json.size(), rapidjson::kObjectType);
    }
    /// A field with a list of the values that `write` writes.
    template <typename Write>
    void array_field(std::string_view field, Write write) {
        name(field);
        array(write);
    }

    /// Bytes written so far.
    [[nodiscard]] std::size_t size_bytes() const { return buffer_.GetSize(); }
    /// What was written.
    [[nodiscard]] std::string text() const { return {buffer_.GetString(), buffer_.GetSize()}; }

  private:
    rapidjson::StringBuffer buffer_;
    rapidjson::Writer<rapidjson::StringBuffer> writer_{buffer_};
};

/// The text of one object with the fields that `write(Writer&)` writes.
template <typename Write>
[[nodiscard]] std::string object_text(Write write) {
    Writer writer;
    writer.object([&] { write(writer); });
    return writer.text();
}

}  // namespace lichendrift::wire::json
