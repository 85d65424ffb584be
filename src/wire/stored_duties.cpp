// Stored values of duties and intents.
#include "wire/json_reader.h"
#include "wire/json_writer.h"
#include "wire/stored_names.h"
#include "wire/stored_values.h"

namespace lichendrift::wire {

namespace {

constexpr std::uint32_t kMaxProvisioned = 1000;  // in one request; the protocol's limit is lower
constexpr rapidjson::SizeType kProvisionEntries = 5;  // id, type, zone, spot, count

void write_provision(json::Writer& out, const duty::ProvisionRequest& provision) {
    out.value(provision.id);
    out.value(provision.type);
    out.value(provision.zone);
    out.value(provision.spot);
    out.value(provision.count);
}

std::optional<duty::ProvisionRequest> read_provision(const json::Value& entry) {
    if (!entry.IsArray() || entry.Size() != kProvisionEntries) return std::nullopt;
    rapidjson::SizeType index = 0;
    duty::ProvisionRequest provision;
    const bool typed =
        json::read(entry[index++], provision.id) && json::read(entry[index++], provision.type) &&
        json::read(entry[index++], provision.zone) && json::read(entry[index++], provision.spot) &&
        json::read(entry[index++], provision.count);
    const bool valid = typed && json::is_valid_name(provision.id) &&
                       json::is_valid_name(provision.type) && json::is_valid_name(provision.zone) &&
                       provision.count > 0 && provision.count <= kMaxProvisioned;
    if (!valid) return std::nullopt;
    return provision;
}

std::optional<std::string> read_release(const json::Value& entry) {
    std::string name;
    if (!json::read(entry, name) || !json::is_valid_name(name)) return std::nullopt;
    return name;
}

// Appends all entries of an array that can be read to `out`. Returns false if any can't be read, or
// if the field is not an array.
template <typename Entry, typename ReadEntry>
bool read_valid_entries(const json::ObjectReader& in, std::string_view name, ReadEntry read_entry,
                        std::vector<Entry>& out) {
    const auto* list = in.find(name);
    if (list == nullptr) return true;
    if (!list->IsArray()) return false;
    bool complete = true;
    for (const auto& element : list->GetArray()) {
        auto entry = read_entry(element);
        complete &= entry.has_value();
        if (entry) out.push_back(std::move(*entry));
    }
    return complete;
}

}  // namespace

std::string duty_value(const duty::DutyRecord& record) {
    namespace names = stored::duty_record;
    return json::object_text([&](json::Writer& out) {
        out.field(names::kHolder, record.holder);
        out.field(names::kEpoch, record.epoch);
        out.field(names::kNonce, record.nonce);
    });
}

std::optional<duty::DutyRecord> parse_duty_value(std::string_view value) {
    namespace names = stored::duty_record;
    json::Document document(value);
    auto in = document.root();
    duty::DutyRecord record;
    in.required(names::kHolder, record.holder);
    in.required(names::kEpoch, record.epoch, [](duty::Epoch epoch) { return epoch > 0; });
    in.required(names::kNonce, record.nonce);
    return document.if_valid(std::move(record));
}

std::string intent_value(const duty::Intent& intent) {
    namespace names = stored::intent;
    return json::object_text([&](json::Writer& out) {
        out.field(names::kEpoch, intent.epoch);
        out.field(names::kNonce, intent.nonce);
        if (!intent.releases.empty()) out.field(names::kReleases, intent.releases);
        if (intent.provisions.empty()) return;
        out.array_field(names::kProvisions, [&] {
            for (const auto& provision : intent.provisions) {
                out.array([&] { write_provision(out, provision); });
            }
        });
    });
}

duty::StoredIntent parse_intent(const Item& item) {
    namespace names = stored::intent;
    duty::StoredIntent stored{item.key, item.revision, true, {}};
    json::Document document(item.value);
    if (document.failed()) return stored;
    const auto in = document.root();
    auto& intent = stored.intent;
    bool complete =
        in.optional(names::kEpoch, intent.epoch) && in.optional(names::kNonce, intent.nonce);
    complete &= read_valid_entries(in, names::kReleases, read_release, intent.releases);
    complete &= read_valid_entries(in, names::kProvisions, read_provision, intent.provisions);
    stored.damaged = !complete;
    return stored;
}

}  // namespace lichendrift::wire
