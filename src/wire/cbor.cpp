// Decoding of CBOR with libcbor, protected against array heads that declare more entries than the
// input can hold.
#include "wire/cbor.h"

namespace lichendrift::wire::cbor {

namespace {

// libcbor allocates memory for all entries that an array's head declares before it reads them, so a
// damaged head could request gigabytes. An array can't have more entries than there are bytes left.
// Maps and items of indefinite length are rejected because no message contains them.
bool is_safe_to_load(std::string_view bytes) {
    struct State {
        std::size_t remaining = 0;
        bool safe = true;
    } state;
    auto callbacks = cbor_empty_callbacks;
    callbacks.array_start = [](void* context, std::size_t size) {
        auto& current = *static_cast<State*>(context);
        current.safe &= size <= current.remaining;
    };
    callbacks.map_start = [](void* context, std::size_t) {
        static_cast<State*>(context)->safe = false;
    };
    callbacks.indef_array_start = callbacks.indef_map_start = callbacks.string_start =
        callbacks.byte_string_start =
            [](void* context) { static_cast<State*>(context)->safe = false; };
    for (std::size_t offset = 0; offset < bytes.size() && state.safe;) {
        state.remaining = bytes.size() - offset;
        const auto result = cbor_stream_decode(reinterpret_cast<cbor_data>(bytes.data()) + offset,
                                               state.remaining, &callbacks, &state);
        if (result.status != CBOR_DECODER_FINISHED || result.read == 0) return false;
        offset += result.read;
    }
    return state.safe;
}

}  // namespace

ItemOwner load(std::string_view bytes) {
    if (!is_safe_to_load(bytes)) return nullptr;
    cbor_load_result result{};
    ItemOwner item(cbor_load(reinterpret_cast<cbor_data>(bytes.data()), bytes.size(), &result));
    return result.error.code == CBOR_ERR_NONE ? std::move(item) : nullptr;
}

ArrayReader::ArrayReader(const cbor_item_t* item) {
    if (item == nullptr || !cbor_isa_array(item)) {
        fail();
        return;
    }
    items_ = cbor_array_handle(item);
    size_ = cbor_array_size(item);
}

const cbor_item_t* ArrayReader::next() {
    if (remaining() == 0) {
        fail();
        return nullptr;
    }
    return items_[next_index_++];
}

std::uint64_t ArrayReader::unsigned_integer() {
    const auto* item = next();
    if (item == nullptr || !cbor_isa_uint(item)) {
        fail();
        return 0;
    }
    return cbor_get_int(item);
}

double ArrayReader::double_value() {
    const auto* item = next();
    if (item == nullptr || !cbor_isa_float_ctrl(item) || cbor_float_ctrl_is_ctrl(item)) {
        fail();
        return 0;
    }
    return cbor_float_get_float(item);
}

// Every simple value (false, true, undefined, ...) is read as null, as in all earlier versions.
std::optional<double> ArrayReader::double_or_null() {
    const auto* item = next();
    if (item == nullptr || !cbor_isa_float_ctrl(item)) {
        fail();
        return std::nullopt;
    }
    if (cbor_float_ctrl_is_ctrl(item)) return std::nullopt;
    return cbor_float_get_float(item);
}

bool ArrayReader::boolean() {
    const auto* item = next();
    // cbor_is_bool aborts the process if the item is a floating-point number.
    if (item == nullptr || !cbor_isa_float_ctrl(item) || !cbor_float_ctrl_is_ctrl(item) ||
        !cbor_is_bool(item)) {
        fail();
        return false;
    }
    return cbor_get_bool(item);
}

std::string_view ArrayReader::text() {
    const auto* item = next();
    if (item == nullptr || !cbor_isa_string(item) || !cbor_string_is_definite(item)) {
        fail();
        return {};
    }
    return {reinterpret_cast<const char*>(cbor_string_handle(item)), cbor_string_length(item)};
}

}  // namespace lichendrift::wire::cbor
