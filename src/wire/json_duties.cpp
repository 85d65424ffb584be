// Values of duties and intents in the state service.
#include "wire/json.h"
#include "wire/json_messages.h"

namespace lichendrift::wire {

using namespace json;

namespace {

constexpr std::uint64_t kMaxProvisioned = 1000;  // in one order; the protocol allows fewer

std::optional<duty::ProvisionRequest> read_order(const Value& entry) {
    const bool good = entry.IsArray() && entry.Size() == 5 && entry[0].IsString() &&
                      entry[1].IsString() && entry[2].IsString() && entry[3].IsBool() &&
                      entry[4].IsUint();
    if (!good) return std::nullopt;
    duty::ProvisionRequest order;
    order.request.assign(entry[0].GetString(), entry[0].GetStringLength());
    order.type.assign(entry[1].GetString(), entry[1].GetStringLength());
    order.zone.assign(entry[2].GetString(), entry[2].GetStringLength());
    order.spot = entry[3].GetBool();
    order.number = entry[4].GetUint();
    const bool sound = good_name(order.request) && good_name(order.type) && good_name(order.zone) &&
                       order.number > 0 && order.number <= kMaxProvisioned;
    if (!sound) return std::nullopt;
    return order;
}

// False if anything in the list is not a name; what is one is taken all the same.
bool read_names(const Value& object, const char* name, std::vector<std::string>& out) {
    const auto* list = member(object, name);
    if (list == nullptr) return true;
    if (!list->IsArray()) return false;
    bool good = true;
    for (const auto& entry : list->GetArray()) {
        std::string text;
        if (entry.IsString()) text.assign(entry.GetString(), entry.GetStringLength());
        if (good_name(text)) {
            out.push_back(std::move(text));
        } else {
            good = false;
        }
    }
    return good;
}

}  // namespace

std::string duty_value(const duty::DutyRecord& record) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    field(w, "m", record.holder);
    key(w, "e");
    w.Uint64(record.epoch);
    key(w, "n");
    w.Uint64(record.nonce);
    w.EndObject();
    return text_of(b);
}

std::optional<duty::DutyRecord> parse_duty_value(std::string_view value) {
    rapidjson::Document doc;
    duty::DutyRecord record;
    const bool good = parse(doc, value) && get(doc, "m", record.holder) &&
                      get(doc, "e", record.epoch) && get(doc, "n", record.nonce) &&
                      record.epoch > 0;
    if (!good) return std::nullopt;
    return record;
}

std::string intent_value(const duty::Intent& intent) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    key(w, "e");
    w.Uint64(intent.epoch);
    key(w, "n");
    w.Uint64(intent.nonce);
    if (!intent.releases.empty()) {
        key(w, "b");
        w.StartArray();
        for (const auto& machine : intent.releases) string(w, machine);
        w.EndArray();
    }
    if (!intent.provisions.empty()) {
        key(w, "r");
        w.StartArray();
        for (const auto& order : intent.provisions) {
            w.StartArray();
            string(w, order.request);
            string(w, order.type);
            string(w, order.zone);
            w.Bool(order.spot);
            w.Uint(order.number);
            w.EndArray();
        }
        w.EndArray();
    }
    w.EndObject();
    return text_of(b);
}

duty::StoredIntent parse_intent(const Item& item) {
    duty::StoredIntent stored{item.key, item.revision, true, {}};
    rapidjson::Document doc;
    if (!parse(doc, item.value)) return stored;
    bool good = get(doc, "e", stored.intent.epoch) && get(doc, "n", stored.intent.nonce);
    good &= read_names(doc, "b", stored.intent.releases);
    if (const auto* orders = member(doc, "r")) {
        good &= orders->IsArray();
        if (orders->IsArray()) {
            for (const auto& entry : orders->GetArray()) {
                auto order = read_order(entry);
                good &= order.has_value();
                if (order) stored.intent.provisions.push_back(std::move(*order));
            }
        }
    }
    stored.damaged = !good;
    return stored;
}

}  // namespace lichendrift::wire
