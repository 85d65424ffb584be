// Encoding and decoding of the messages between controllers. A message is a CBOR array (RFC 8949)
// with one entry for each of its fields.
#pragma once

#include <cbor.h>

#include <array>
#include <concepts>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>
#include <vector>

namespace lichendrift::wire::cbor {

/// Maps a message type to the entries of its array. A specialization has a static function
/// `entries(message)` that returns a std::tie of the fields in the order in which the encoder
/// writes and the decoder reads them.
template <typename Message>
struct Layout;

/// Highest valid value of an enumeration, as the member `kValue` of a specialization. The decoder
/// rejects higher values.
template <typename Enum>
struct MaxEnumerator;

template <typename>
inline constexpr bool kIsVector = false;  ///< whether a type is encoded as an array of messages
template <typename Element>
inline constexpr bool kIsVector<std::vector<Element>> = true;  ///< a vector is

/// Encodes messages as CBOR into a buffer that it owns.
class Encoder {
  public:
    /// Appends a message as an array of its entries.
    template <typename Message>
    void message(const Message& message) {
        std::apply(
            [this](const auto&... entries) {
                start_array(sizeof...(entries));
                (this->entry(entries), ...);
            },
            Layout<Message>::entries(message));
    }
    /// Moves the encoded bytes out of the encoder.
    [[nodiscard]] std::string take() { return std::move(bytes_); }

  private:
    static constexpr std::size_t kMaxHeadBytes =
        16;  // an item's head (type, argument) has at most 9

    template <typename Entry>
    void entry(const Entry& value) {
        if constexpr (std::same_as<Entry, bool>) {
            append([&](auto* buffer, std::size_t size) {
                return cbor_encode_bool(value, buffer, size);
            });
        } else if constexpr (std::integral<Entry> || std::is_enum_v<Entry>) {
            append([&](auto* buffer, std::size_t size) {
                return cbor_encode_uint(static_cast<std::uint64_t>(value), buffer, size);
            });
        } else if constexpr (std::same_as<Entry, double>) {
            append([&](auto* buffer, std::size_t size) {
                return cbor_encode_double(value, buffer, size);
            });
        } else if constexpr (std::same_as<Entry, std::optional<double>>) {
            if (value) return entry(*value);
            append([](auto* buffer, std::size_t size) { return cbor_encode_null(buffer, size); });
        } else if constexpr (std::same_as<Entry, std::string>) {
            append([&](auto* buffer, std::size_t size) {
                return cbor_encode_string_start(value.size(), buffer, size);
            });
            bytes_.append(value);
        } else {
            static_assert(kIsVector<Entry>);
            start_array(value.size());
            for (const auto& element : value) message(element);
        }
    }
    void start_array(std::size_t count) {
        append([&](auto* buffer, std::size_t size) {
            return cbor_encode_array_start(count, buffer, size);
        });
    }
    template <typename Encode>
    void append(Encode encode) {
        std::array<unsigned char, kMaxHeadBytes> head{};
        const auto size = encode(head.data(), head.size());
        bytes_.append(reinterpret_cast<const char*>(head.data()), size);
    }

    std::string bytes_;
};

/// Deleter for items that libcbor has allocated.
struct ItemDeleter {
    /// Drops the only reference to `item`, which frees it with all items that it contains.
    void operator()(cbor_item_t* item) const { cbor_decref(&item); }
};
/// Owns a decoded item and all items that it contains.
using ItemOwner = std::unique_ptr<cbor_item_t, ItemDeleter>;

/// Decodes the CBOR item in `bytes`. Returns null if `bytes` is not well-formed CBOR, or contains a
/// map or an item of indefinite length, which no message has.
[[nodiscard]] ItemOwner load(std::string_view bytes);

/// Reads the entries of one CBOR array in order. The first entry that is missing or has the wrong
/// type makes the array malformed; values read after it are meaningless. Entries beyond those that
/// are read are ignored.
class ArrayReader {
  public:
    /// If `item` is null or not an array, the message is malformed. `item` must outlive the reader.
    explicit ArrayReader(const cbor_item_t* item);

    /// Reads the entries into the fields of `message`. Returns false if the array is malformed.
    template <typename Message>
    [[nodiscard]] bool message(Message& message) {
        std::apply([this](auto&... entries) { (this->entry(entries), ...); },
                   Layout<Message>::entries(message));
        return well_formed_;
    }

  private:
    template <typename Entry>
    void entry(Entry& out) {
        if constexpr (std::same_as<Entry, bool>) {
            out = boolean();
        } else if constexpr (std::signed_integral<Entry>) {
            const auto number = unsigned_integer();
            if (!std::in_range<Entry>(number)) return fail();
            out = static_cast<Entry>(number);
        } else if constexpr (std::unsigned_integral<Entry>) {
            // If the field is narrower, the high bits are dropped, as in all earlier versions.
            out = static_cast<Entry>(unsigned_integer());
        } else if constexpr (std::is_enum_v<Entry>) {
            const auto number = unsigned_integer();
            if (number > static_cast<std::uint64_t>(MaxEnumerator<Entry>::kValue)) return fail();
            out = static_cast<Entry>(number);
        } else if constexpr (std::same_as<Entry, double>) {
            out = double_value();
        } else if constexpr (std::same_as<Entry, std::optional<double>>) {
            out = double_or_null();
        } else if constexpr (std::same_as<Entry, std::string>) {
            const auto bytes = text();
            out.assign(bytes.data(), bytes.size());
        } else {
            static_assert(kIsVector<Entry>);
            list(out);
        }
    }
    template <typename Message>
    void list(std::vector<Message>& out) {
        ArrayReader elements(next());
        while (well_formed_ && elements.remaining() > 0) {
            if (!ArrayReader(elements.next()).message(out.emplace_back())) return fail();
        }
        if (!elements.well_formed_) fail();
    }

    [[nodiscard]] std::size_t remaining() const { return well_formed_ ? size_ - next_index_ : 0; }
    const cbor_item_t* next();
    std::uint64_t unsigned_integer();
    double double_value();
    std::optional<double> double_or_null();
    bool boolean();
    std::string_view text();
    void fail() { well_formed_ = false; }

    bool well_formed_ = true;
    cbor_item_t** items_ = nullptr;
    std::size_t size_ = 0;
    std::size_t next_index_ = 0;
};

/// Encodes a message as CBOR.
template <typename Message>
[[nodiscard]] std::string encode(const Message& message) {
    Encoder encoder;
    encoder.message(message);
    return encoder.take();
}

/// Decodes a message. Returns nullopt if `bytes` is malformed.
template <typename Message>
[[nodiscard]] std::optional<Message> decode(std::string_view bytes) {
    const auto item = load(bytes);
    std::optional<Message> message(std::in_place);
    if (!ArrayReader(item.get()).message(*message)) message.reset();
    return message;
}

}  // namespace lichendrift::wire::cbor
