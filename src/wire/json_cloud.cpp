// Messages of the cloud: machine types, rentals and listings.
#include "wire/json.h"
#include "wire/json_messages.h"

namespace lichendrift::wire {

using namespace json;

std::optional<std::vector<core::MachineType>> parse_types(std::string_view body) {
    rapidjson::Document doc;
    if (!parse(doc, body)) return std::nullopt;
    const auto* list = member(doc, "modelli");
    if (list == nullptr || !list->IsArray()) return std::nullopt;
    std::vector<core::MachineType> out;
    for (const auto& entry : list->GetArray()) {
        if (!entry.IsObject()) return std::nullopt;
        core::MachineType type;
        double cpus = 0, gpus = 0, mem = 0;
        if (!get(entry, "label", type.name) || !get(entry, "cpus", cpus) ||
            !get(entry, "memGb", mem)) {
            return std::nullopt;
        }
        get(entry, "gpus", gpus);
        auto floor_of = [](double v) { return static_cast<std::int64_t>(v * 1000 + 1e-6); };
        type.room = {floor_of(cpus), floor_of(gpus), floor_of(mem)};
        get(entry, "localGb", type.local_gb);
        get(entry, "fetchGbPerS", type.fetch_gb_s);
        get(entry, "hourly", type.hourly);
        if (!get(entry, "lowPrice", type.spot_hourly)) type.spot_hourly = type.hourly;
        get(entry, "startupS", type.boot_s);
        if (const auto* zones = member(entry, "sedi"); zones != nullptr && zones->IsArray()) {
            for (const auto& zone : zones->GetArray()) {
                if (zone.IsString()) {
                    type.zones.emplace_back(zone.GetString(), zone.GetStringLength());
                }
            }
        }
        out.push_back(std::move(type));
    }
    return out;
}

std::string types_value(const std::vector<core::MachineType>& types) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    key(w, "modelli");
    w.StartArray();
    for (const auto& type : types) {
        w.StartObject();
        field(w, "label", type.name);
        key(w, "cpus");
        w.Double(static_cast<double>(type.room.cpus) / 1000);
        key(w, "gpus");
        w.Double(static_cast<double>(type.room.gpus) / 1000);
        key(w, "memGb");
        w.Double(static_cast<double>(type.room.mem) / 1000);
        key(w, "sedi");
        w.StartArray();
        for (const auto& zone : type.zones) string(w, zone);
        w.EndArray();
        w.EndObject();
    }
    w.EndArray();
    w.EndObject();
    return text_of(b);
}

namespace {

// An additional field, for a cloud that refuses what a replaced controller asks for.
void write_epoch(Writer& w, duty::Epoch epoch) {
    if (epoch == 0) return;
    key(w, "epoch");
    w.Uint64(epoch);
}

}  // namespace

std::string provision_body(const duty::ProvisionRequest& order, duty::Epoch epoch) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    field(w, "richiesta", order.request);
    field(w, "modello", order.type);
    field(w, "sede", order.zone);
    key(w, "inPrestito");
    w.Bool(order.spot);
    key(w, "number");
    w.Uint(order.number);
    write_epoch(w, epoch);
    w.EndObject();
    return text_of(b);
}

std::optional<std::vector<std::string>> parse_provisioned(std::string_view body) {
    rapidjson::Document doc;
    if (!parse(doc, body)) return std::nullopt;
    const auto* list = member(doc, "banchi");
    if (list == nullptr || !list->IsArray()) return std::nullopt;
    std::vector<std::string> out;
    for (const auto& name : list->GetArray()) {
        if (!name.IsString()) return std::nullopt;
        out.emplace_back(name.GetString(), name.GetStringLength());
    }
    return out;
}

std::string release_body(const std::vector<std::string>& names, duty::Epoch epoch) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    key(w, "banchi");
    w.StartArray();
    for (const auto& name : names) string(w, name);
    w.EndArray();
    write_epoch(w, epoch);
    w.EndObject();
    return text_of(b);
}

std::optional<Listing> parse_listing(std::string_view body) {
    rapidjson::Document doc;
    if (!parse(doc, body)) return std::nullopt;
    const auto* list = member(doc, "banchi");
    if (list == nullptr || !list->IsArray()) return std::nullopt;
    Listing out;
    get(doc, "more", out.more);
    for (const auto& entry : list->GetArray()) {
        if (!entry.IsObject()) return std::nullopt;
        core::ListedMachine m;
        std::string state;
        if (!get(entry, "nameId", m.name) || !get(entry, "modello", m.type) ||
            !get(entry, "sede", m.zone) || !get(entry, "stato", state)) {
            return std::nullopt;
        }
        get(entry, "endpoint", m.endpoint);
        get(entry, "inPrestito", m.spot);
        get(entry, "ageS", m.age_s);
        using State = core::ListedMachine::State;
        m.state = state == "failed"    ? State::Failed
                  : state == "running" ? State::Running
                                       : State::Starting;
        out.machines.push_back(std::move(m));
    }
    return out;
}

bool is_no_capacity(std::string_view body) {
    rapidjson::Document doc;
    std::string text;
    return parse(doc, body) && get(doc, "error", text) && text == "no capacity";
}

}  // namespace lichendrift::wire
