// Messages of the state service: transactions, items, changes and leases.
#include "wire/json.h"
#include "wire/json_messages.h"

namespace lichendrift::wire {

using namespace json;

std::string transaction_body(const std::vector<Condition>& when, const std::vector<Change>& then) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    key(w, "when");
    w.StartArray();
    for (const auto& c : when) {
        w.StartObject();
        field(w, "path", c.key);
        key(w, "timbro");
        w.Uint64(c.revision);
        w.EndObject();
    }
    w.EndArray();
    if (!then.empty()) {
        key(w, "then");
        w.StartArray();
        for (const auto& c : then) {
            w.StartObject();
            if (c.value.empty()) {
                field(w, "remove", c.key);
            } else {
                field(w, "set", c.key);
                key(w, "value");
                w.RawValue(c.value.data(), c.value.size(), rapidjson::kObjectType);
                if (c.lease != 0) {
                    key(w, "concessione");
                    w.Uint64(c.lease);
                }
            }
            w.EndObject();
        }
        w.EndArray();
    }
    w.EndObject();
    return text_of(b);
}

std::optional<Item> parse_item(std::string_view body) {
    rapidjson::Document doc;
    if (!parse(doc, body)) return std::nullopt;
    Item item;
    const auto* value = member(doc, "value");
    if (value == nullptr || !get(doc, "timbro", item.revision)) return std::nullopt;
    get(doc, "path", item.key);
    item.value = json_of(*value);
    return item;
}

std::optional<std::uint64_t> parse_revision(std::string_view body) {
    rapidjson::Document doc;
    std::uint64_t revision = 0;
    if (!parse(doc, body) || !get(doc, "registro", revision)) return std::nullopt;
    return revision;
}

std::optional<ItemPage> parse_items(std::string_view body) {
    rapidjson::Document doc;
    if (!parse(doc, body)) return std::nullopt;
    ItemPage page;
    const auto* items = member(doc, "items");
    if (items == nullptr || !items->IsArray() || !get(doc, "registro", page.revision)) {
        return std::nullopt;
    }
    get(doc, "more", page.more);
    for (const auto& entry : items->GetArray()) {
        Item item;
        if (!entry.IsObject() || !get(entry, "path", item.key) ||
            !get(entry, "timbro", item.revision)) {
            return std::nullopt;
        }
        const auto* value = member(entry, "value");
        if (value == nullptr) return std::nullopt;
        item.value = json_of(*value);
        page.items.push_back(std::move(item));
    }
    return page;
}

std::optional<ItemPage> parse_changes(std::string_view body) {
    rapidjson::Document doc;
    if (!parse(doc, body)) return std::nullopt;
    ItemPage page;
    if (!get(doc, "registro", page.revision)) return std::nullopt;
    const auto* news = member(doc, "news");
    if (news == nullptr) return page;
    if (!news->IsArray()) return std::nullopt;
    for (const auto& entry : news->GetArray()) {
        Item item;
        if (!entry.IsObject() || !get(entry, "timbro", item.revision)) return std::nullopt;
        if (get(entry, "set", item.key)) {
            const auto* value = member(entry, "value");
            if (value == nullptr) return std::nullopt;
            item.value = json_of(*value);
        } else if (!get(entry, "remove", item.key)) {
            return std::nullopt;
        }
        page.items.push_back(std::move(item));
    }
    return page;
}

std::optional<std::vector<std::string>> parse_failed(std::string_view body) {
    rapidjson::Document doc;
    if (!parse(doc, body)) return std::nullopt;
    const auto* list = member(doc, "failed");
    if (list == nullptr || !list->IsArray()) return std::nullopt;
    std::vector<std::string> out;
    for (const auto& name : list->GetArray()) {
        if (!name.IsString()) return std::nullopt;
        out.emplace_back(name.GetString(), name.GetStringLength());
    }
    return out;
}

std::string lease_body(std::uint64_t ttl_ms) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    key(w, "ttlMs");
    w.Uint64(ttl_ms);
    w.EndObject();
    return text_of(b);
}

std::optional<std::uint64_t> parse_lease(std::string_view body) {
    rapidjson::Document doc;
    std::uint64_t lease = 0;
    if (!parse(doc, body) || !get(doc, "concessione", lease)) return std::nullopt;
    return lease;
}

}  // namespace lichendrift::wire
