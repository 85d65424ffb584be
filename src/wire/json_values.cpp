// The values that the controllers store in the state service.
#include "wire/json.h"
#include "wire/json_messages.h"

namespace lichendrift::wire {

using namespace json;

namespace {

void write_job(Writer& w, const core::JobText& job) {
    w.StartObject();
    field(w, "c", job.cls);
    field(w, "t", job.team);
    key(w, "g");
    w.Bool(job.gang);
    if (job.service) {
        key(w, "v");
        w.Bool(true);
    }
    key(w, "p");
    w.Uint(static_cast<unsigned>(job.priority));
    key(w, "n");
    w.Uint(job.count);
    key(w, "u");
    w.StartArray();
    w.Double(job.cpus);
    w.Double(job.gpus);
    w.Double(job.mem_gb);
    w.EndArray();
    field(w, "i", job.image);
    key(w, "s");
    w.Double(job.image_gb);
    if (job.types) {
        key(w, "y");
        w.StartArray();
        for (const auto& type : *job.types) string(w, type);
        w.EndArray();
    }
    if (job.zone) field(w, "z", *job.zone);
    key(w, "o");
    w.Bool(job.one_zone);
    key(w, "a");
    w.Bool(job.apart);
    key(w, "l");
    w.Bool(job.spot);
    key(w, "e");
    w.StartArray();
    w.Double(job.estimate_s);
    w.Double(job.checkpoint_s);
    w.Double(job.save_s);
    w.EndArray();
    if (job.deadline_s) {
        key(w, "d");
        w.Double(*job.deadline_s);
    }
    key(w, "w");
    w.Int64(job.submitted_ms);
    w.EndObject();
}

bool triple(const Value& object, const char* name, double& a, double& b, double& c) {
    const auto* v = member(object, name);
    if (v == nullptr || !v->IsArray() || v->Size() != 3) return false;
    for (const auto& n : v->GetArray()) {
        if (!n.IsNumber()) return false;
    }
    a = (*v)[0].GetDouble();
    b = (*v)[1].GetDouble();
    c = (*v)[2].GetDouble();
    return true;
}

std::optional<core::JobText> read_job(std::string_view id, const Value& v) {
    core::JobText job;
    job.id = id;
    std::uint64_t priority = 0, count = 0;
    if (!v.IsObject() || !get(v, "c", job.cls) || !get(v, "t", job.team) ||
        !get(v, "g", job.gang) || !get(v, "p", priority) || priority > 3 || !get(v, "n", count) ||
        count == 0 || count > 100'000 || !triple(v, "u", job.cpus, job.gpus, job.mem_gb) ||
        !get(v, "i", job.image) || !get(v, "s", job.image_gb) || !get(v, "o", job.one_zone) ||
        !get(v, "a", job.apart) || !get(v, "l", job.spot) ||
        !triple(v, "e", job.estimate_s, job.checkpoint_s, job.save_s)) {
        return std::nullopt;
    }
    get(v, "v", job.service);
    job.priority = static_cast<core::Priority>(priority);
    job.count = static_cast<std::uint32_t>(count);
    if (const auto* types = member(v, "y"); types != nullptr && types->IsArray()) {
        job.types.emplace();
        for (const auto& type : types->GetArray()) {
            if (type.IsString()) {
                job.types->emplace_back(type.GetString(), type.GetStringLength());
            }
        }
    }
    std::string zone;
    if (get(v, "z", zone)) job.zone = zone;
    double deadline = 0;
    if (get(v, "d", deadline)) job.deadline_s = deadline;
    if (const auto* when = member(v, "w"); when != nullptr && when->IsInt64()) {
        job.submitted_ms = when->GetInt64();
    }
    return job;
}

}  // namespace

std::string job_value(const core::JobText& job) {
    Buffer b;
    Writer w(b);
    write_job(w, job);
    return text_of(b);
}

std::optional<core::JobText> parse_job_value(std::string_view id, std::string_view value) {
    rapidjson::Document doc;
    if (!parse(doc, value)) return std::nullopt;
    return read_job(id, doc);
}

std::string placement_value(const core::PlacementRecord& record) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    key(w, "t");
    w.Uint64(record.term);
    key(w, "n");
    w.Uint64(record.nonce);
    key(w, "p");
    w.StartArray();
    for (const auto& placed : record.placed) {
        w.StartArray();
        w.Uint(placed.task);
        w.Uint64(placed.attempt);
        string(w, placed.machine);
        w.Uint64(placed.session);
        w.EndArray();
    }
    w.EndArray();
    if (!record.done.empty()) {
        key(w, "d");
        w.StartArray();
        for (auto [first, last] : record.done) {
            w.Uint(first);
            w.Uint(last);
        }
        w.EndArray();
    }
    w.EndObject();
    return text_of(b);
}

std::optional<core::PlacementRecord> parse_placement_value(std::string_view value) {
    rapidjson::Document doc;
    if (!parse(doc, value)) return std::nullopt;
    core::PlacementRecord record;
    if (!get(doc, "t", record.term) || !get(doc, "n", record.nonce)) return std::nullopt;
    const auto* placed = member(doc, "p");
    if (placed == nullptr || !placed->IsArray()) return std::nullopt;
    for (const auto& e : placed->GetArray()) {
        if (!e.IsArray() || e.Size() != 4 || !e[0].IsUint() || !e[1].IsUint64() ||
            !e[2].IsString() || !e[3].IsUint64()) {
            return std::nullopt;
        }
        record.placed.push_back({e[0].GetUint(),
                                 e[1].GetUint64(),
                                 {e[2].GetString(), e[2].GetStringLength()},
                                 e[3].GetUint64()});
    }
    if (const auto* done = member(doc, "d")) {
        if (!done->IsArray() || done->Size() % 2 != 0) return std::nullopt;
        for (rapidjson::SizeType i = 0; i + 1 < done->Size(); i += 2) {
            if (!(*done)[i].IsUint() || !(*done)[i + 1].IsUint()) return std::nullopt;
            record.done.emplace_back((*done)[i].GetUint(), (*done)[i + 1].GetUint());
        }
    }
    return record;
}

std::string terminal_state_value(bool aborted, const core::JobText* job) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    field(w, "s", aborted ? "aborted" : "done");
    if (job != nullptr) {
        key(w, "j");
        write_job(w, *job);
    }
    w.EndObject();
    return text_of(b);
}

std::string terminal_state_value_within(bool aborted, const core::JobText& job,
                                        std::size_t max_bytes) {
    auto value = terminal_state_value(aborted, &job);
    if (value.size() <= max_bytes) return value;
    auto short_job = job;
    short_job.types.reset();
    short_job.zone.reset();
    short_job.image.clear();
    value = terminal_state_value(aborted, &short_job);
    if (value.size() <= max_bytes) return value;
    short_job.cls.clear();
    return terminal_state_value(aborted, &short_job);
}

std::optional<TerminalState> parse_terminal_state_value(std::string_view id,
                                                        std::string_view value) {
    rapidjson::Document doc;
    std::string state;
    if (!parse(doc, value) || !get(doc, "s", state)) return std::nullopt;
    TerminalState terminal_state;
    terminal_state.aborted = state == "aborted";
    if (const auto* job = member(doc, "j")) terminal_state.job = read_job(id, *job);
    return terminal_state;
}

std::string image_hints_value(const ImageHints& hints, std::size_t max_bytes) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    key(w, "m");
    w.StartArray();
    for (const auto& [machine, images] : hints) {
        std::size_t bytes = machine.size() + 16;
        for (const auto& image : images) bytes += image.size() + 8;
        if (b.GetSize() + bytes > max_bytes) break;
        w.StartArray();
        string(w, machine);
        for (const auto& image : images) string(w, image);
        w.EndArray();
    }
    w.EndArray();
    w.EndObject();
    return text_of(b);
}

std::optional<ImageHints> parse_image_hints_value(std::string_view value) {
    rapidjson::Document doc;
    if (!parse(doc, value)) return std::nullopt;
    const auto* list = member(doc, "m");
    if (list == nullptr || !list->IsArray()) return std::nullopt;
    ImageHints out;
    for (const auto& entry : list->GetArray()) {
        if (!entry.IsArray() || entry.Empty()) return std::nullopt;
        auto& [machine, images] = out.emplace_back();
        for (const auto& name : entry.GetArray()) {
            if (!name.IsString()) return std::nullopt;
            if (machine.empty()) {
                machine = name.GetString();
            } else {
                images.emplace_back(name.GetString());
            }
        }
    }
    return out;
}

std::string leader_value(const LeaderRecord& leader_record) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    field(w, "m", leader_record.member);
    key(w, "t");
    w.Uint64(leader_record.token);
    w.EndObject();
    return text_of(b);
}

std::optional<LeaderRecord> parse_leader_value(std::string_view value) {
    rapidjson::Document doc;
    LeaderRecord leader_record;
    if (!parse(doc, value) || !get(doc, "m", leader_record.member) ||
        !get(doc, "t", leader_record.token)) {
        return std::nullopt;
    }
    return leader_record;
}

}  // namespace lichendrift::wire
