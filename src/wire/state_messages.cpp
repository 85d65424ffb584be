// Messages exchanged with the state service: transactions, items, changes and leases.
#include "wire/state_messages.h"

#include "wire/field_names.h"
#include "wire/json_reader.h"
#include "wire/json_writer.h"

namespace lichendrift::wire {

namespace {

void write_condition(json::Writer& out, const Condition& condition) {
    out.field(field::kKey, condition.key);
    out.field(field::kKeyRevision, condition.revision);
}

void write_change(json::Writer& out, const Change& change) {
    if (change.value.empty()) return out.field(field::kDelete, change.key);
    out.field(field::kPut, change.key);
    out.raw_field(field::kValue, change.value);
    if (change.lease != 0) out.field(field::kLease, change.lease);
}

void read_value(json::ObjectReader& in, std::string& value) {
    const auto* node = in.find(field::kValue);
    if (node == nullptr) return in.fail(ParseFault::MissingField, field::kValue);
    value = json::text_of(*node);
}

// Reads a change that a watch reports: a key that was written or removed.
Item read_changed_item(json::ObjectReader& in) {
    Item item;
    in.required(field::kKeyRevision, item.revision);
    if (in.optional(field::kPut, item.key)) {
        read_value(in, item.value);
    } else {
        in.required(field::kDelete, item.key);
    }
    return item;
}

Item read_listed_item(json::ObjectReader& in) {
    Item item;
    in.required(field::kKey, item.key);
    in.required(field::kKeyRevision, item.revision);
    read_value(in, item.value);
    return item;
}

// Parses the required integer `name` of a body.
std::optional<std::uint64_t> parse_number(std::string_view body, std::string_view name) {
    json::Document document(body);
    std::uint64_t number = 0;
    document.root().required(name, number);
    return document.if_valid(number);
}

}  // namespace

std::string transaction_body(const std::vector<Condition>& conditions,
                             const std::vector<Change>& changes) {
    return json::object_text([&](json::Writer& out) {
        out.array_field(field::kConditions, [&] {
            for (const auto& condition : conditions) {
                out.object([&] { write_condition(out, condition); });
            }
        });
        if (changes.empty()) return;
        out.array_field(field::kChanges, [&] {
            for (const auto& change : changes) out.object([&] { write_change(out, change); });
        });
    });
}

std::optional<Item> parse_item(std::string_view body) {
    json::Document document(body);
    auto in = document.root();
    Item item;
    in.required(field::kKeyRevision, item.revision);
    in.optional(field::kKey, item.key);
    read_value(in, item.value);
    return document.if_valid(std::move(item));
}

std::optional<std::uint64_t> parse_revision(std::string_view body) {
    return parse_number(body, field::kRevision);
}

std::optional<ItemPage> parse_items(std::string_view body) {
    json::Document document(body);
    auto in = document.root();
    ItemPage page;
    in.required(field::kRevision, page.revision);
    in.optional(field::kMore, page.more);
    in.required_objects(field::kItems, [&](json::ObjectReader& entry) {
        page.items.push_back(read_listed_item(entry));
    });
    return document.if_valid(std::move(page));
}

std::optional<ItemPage> parse_changes(std::string_view body) {
    json::Document document(body);
    auto in = document.root();
    ItemPage page;
    in.required(field::kRevision, page.revision);
    if (in.find(field::kWatchEvents) != nullptr) {
        in.required_objects(field::kWatchEvents, [&](json::ObjectReader& entry) {
            page.items.push_back(read_changed_item(entry));
        });
    }
    return document.if_valid(std::move(page));
}

std::optional<std::vector<std::string>> parse_failed_keys(std::string_view body) {
    json::Document document(body);
    std::vector<std::string> keys;
    document.root().required(field::kFailedKeys, keys);
    return document.if_valid(std::move(keys));
}

std::string lease_body(std::uint64_t ttl_ms) {
    return json::object_text([&](json::Writer& out) { out.field(field::kLeaseTtlMs, ttl_ms); });
}

std::optional<std::uint64_t> parse_lease_id(std::string_view body) {
    return parse_number(body, field::kLease);
}

}  // namespace lichendrift::wire
