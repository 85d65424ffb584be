#include "wire/json_messages.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cmath>

namespace lichendrift::wire {

namespace {

using Value = rapidjson::Value;
using Buffer = rapidjson::StringBuffer;
using Writer = rapidjson::Writer<Buffer>;

constexpr std::size_t kMostName = 200;

// Nesting is bounded: a hostile body must not run the stack out.
constexpr unsigned kFlags = rapidjson::kParseIterativeFlag | rapidjson::kParseFullPrecisionFlag;

bool parse(rapidjson::Document& doc, std::string_view body) {
    doc.Parse<kFlags>(body.data(), body.size());
    return !doc.HasParseError() && doc.IsObject();
}

const Value* member(const Value& object, const char* name) {
    auto it = object.FindMember(name);
    return it == object.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}

bool get(const Value& object, const char* name, std::string& out) {
    const auto* v = member(object, name);
    if (v == nullptr || !v->IsString()) return false;
    out.assign(v->GetString(), v->GetStringLength());
    return true;
}

bool get(const Value& object, const char* name, bool& out) {
    const auto* v = member(object, name);
    if (v == nullptr || !v->IsBool()) return false;
    out = v->GetBool();
    return true;
}

bool get(const Value& object, const char* name, double& out) {
    const auto* v = member(object, name);
    if (v == nullptr || !v->IsNumber()) return false;
    out = v->GetDouble();
    return std::isfinite(out);
}

bool get(const Value& object, const char* name, std::uint64_t& out) {
    const auto* v = member(object, name);
    if (v == nullptr || !v->IsUint64()) return false;
    out = v->GetUint64();
    return true;
}

void key(Writer& w, const char* name) { w.Key(name); }

void string(Writer& w, std::string_view text) {
    w.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

void field(Writer& w, const char* name, std::string_view text) {
    key(w, name);
    string(w, text);
}

std::string text_of(const Buffer& b) { return {b.GetString(), b.GetSize()}; }

std::string json_of(const Value& value) {
    Buffer b;
    Writer w(b);
    value.Accept(w);
    return text_of(b);
}

bool good_name(const std::string& name) { return !name.empty() && name.size() <= kMostName; }

// "job-000412/3"
bool split_task(const std::string& name, std::string& job, std::uint32_t& task) {
    const auto slash = name.rfind('/');
    if (slash == std::string::npos || slash + 1 >= name.size() || name.size() - slash > 10) {
        return false;
    }
    std::uint32_t n = 0;
    for (auto i = slash + 1; i < name.size(); ++i) {
        if (name[i] < '0' || name[i] > '9') return false;
        n = n * 10 + static_cast<std::uint32_t>(name[i] - '0');
    }
    job = name.substr(0, slash);
    task = n;
    return true;
}

std::string task_name(const std::string& job, std::uint32_t task) {
    return job + "/" + std::to_string(task);
}

bool phase_of(const std::string& text, core::TaskPhase& phase) {
    using core::TaskPhase;
    if (text == "pulling")
        phase = TaskPhase::Pulling;
    else if (text == "gathering")
        phase = TaskPhase::Gathering;
    else if (text == "running")
        phase = TaskPhase::Running;
    else if (text == "saving")
        phase = TaskPhase::Saving;
    else if (text == "exited")
        phase = TaskPhase::Exited;
    else
        return false;
    return true;
}

core::ExitWhy why_of(const std::string& text) {
    using core::ExitWhy;
    if (text == "done") return ExitWhy::Done;
    if (text == "halted") return ExitWhy::Halted;
    if (text == "peers") return ExitWhy::Peers;
    if (text == "alone") return ExitWhy::Alone;
    if (text == "error") return ExitWhy::Error;
    if (text == "full") return ExitWhy::Full;
    if (text == "busy") return ExitWhy::Busy;
    return ExitWhy::Unknown;
}

void write_orders(Writer& w, const std::vector<core::Order>& orders) {
    key(w, "ordini");
    w.StartArray();
    for (const auto& order : orders) {
        w.StartObject();
        field(w, "ordine",
              order.kind == core::Order::Kind::Run    ? "run"
              : order.kind == core::Order::Kind::Halt ? "halt"
                                                      : "reap");
        field(w, "prova", task_name(order.job, order.task));
        key(w, "tentativo");
        w.Uint64(order.attempt);
        if (order.kind == core::Order::Kind::Halt) {
            key(w, "tolleranzaS");
            w.Double(order.grace_s);
        }
        w.EndObject();
    }
    w.EndArray();
}

}  // namespace

bool valid_job_id(std::string_view id) {
    constexpr std::string_view kPrefix = "job-";
    if (id.size() <= kPrefix.size() || id.size() > kPrefix.size() + 20) return false;
    if (id.substr(0, kPrefix.size()) != kPrefix) return false;
    return id.find_first_not_of("0123456789", kPrefix.size()) == std::string_view::npos;
}

JobOrError parse_submission(std::string_view body) {
    rapidjson::Document doc;
    doc.Parse<kFlags>(body.data(), body.size());
    if (doc.HasParseError()) return "the body is not JSON";
    if (!doc.IsObject()) return "the body is not an object";
    core::JobText job;
    std::string text;
    auto bad = [](const char* name) {
        return JobOrError(std::string("field '") + name + "' is missing or invalid");
    };
    if (!get(doc, "nameId", job.id) || !valid_job_id(job.id)) return bad("nameId");
    if (!get(doc, "classe", job.cls) || !good_name(job.cls)) return bad("classe");
    if (!get(doc, "ufficio", job.team) || !good_name(job.team)) return bad("ufficio");
    // The protocol page names two kinds; the platform's own check submits a third, see
    // docs/questions.md.
    if (!get(doc, "genere", text) || (text != "sweep" && text != "ensemble" && text != "service")) {
        return bad("genere");
    }
    job.service = text == "service";
    job.gang = text == "ensemble";
    if (!get(doc, "urgenza", text)) return bad("urgenza");
    if (text == "critical")
        job.priority = core::Priority::Critical;
    else if (text == "high")
        job.priority = core::Priority::High;
    else if (text == "normal")
        job.priority = core::Priority::Normal;
    else if (text == "low")
        job.priority = core::Priority::Low;
    else
        return bad("urgenza");
    std::uint64_t count = 0;
    if (!get(doc, "prove", count) || count == 0 || count > 100'000) return bad("prove");
    job.count = static_cast<std::uint32_t>(count);
    auto amount = [&](const char* name, double& out) {
        return get(doc, name, out) && out >= 0 && out < 1e12;
    };
    if (!amount("cpus", job.cpus)) return bad("cpus");
    if (!amount("gpus", job.gpus)) return bad("gpus");
    if (!amount("memGb", job.mem_gb)) return bad("memGb");
    if (!get(doc, "fascicolo", job.image) || !good_name(job.image)) return bad("fascicolo");
    if (!amount("imageGb", job.image_gb)) return bad("imageGb");
    if (const auto* types = member(doc, "modelli")) {
        if (!types->IsArray()) return bad("modelli");
        job.types.emplace();
        for (const auto& type : types->GetArray()) {
            if (!type.IsString() || job.types->size() >= 64) return bad("modelli");
            job.types->emplace_back(type.GetString(), type.GetStringLength());
            if (!good_name(job.types->back())) return bad("modelli");
        }
    }
    if (member(doc, "sede") != nullptr) {
        if (!get(doc, "sede", text) || !good_name(text)) return bad("sede");
        job.zone = text;
    }
    if (!get(doc, "oneZone", job.one_zone)) return bad("oneZone");
    if (!get(doc, "apart", job.apart)) return bad("apart");
    if (!get(doc, "inPrestito", job.spot)) return bad("inPrestito");
    if (!amount("durataS", job.estimate_s)) return bad("durataS");
    if (!amount("salvataggioOgniS", job.checkpoint_s)) return bad("salvataggioOgniS");
    if (!amount("salvataggioS", job.save_s)) return bad("salvataggioS");
    if (member(doc, "scadenzaS") != nullptr) {
        double deadline = 0;
        if (!amount("scadenzaS", deadline)) return bad("scadenzaS");
        job.deadline_s = deadline;
    }
    return job;
}

std::string job_answer(std::string_view id, std::string_view state) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    field(w, "nameId", id);
    field(w, "stato", state);
    w.EndObject();
    return text_of(b);
}

std::string job_answer(std::string_view id, std::string_view state, std::uint32_t done,
                       std::uint32_t running) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    field(w, "nameId", id);
    field(w, "stato", state);
    key(w, "done");
    w.Uint(done);
    key(w, "running");
    w.Uint(running);
    w.EndObject();
    return text_of(b);
}

std::string error_body(std::string_view reason) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    field(w, "error", reason);
    w.EndObject();
    return text_of(b);
}

std::optional<core::Report> parse_report(std::string_view body) {
    rapidjson::Document doc;
    if (!parse(doc, body)) return std::nullopt;
    core::Report r;
    if (!get(doc, "banco", r.machine) || !good_name(r.machine)) return std::nullopt;
    if (!get(doc, "endpoint", r.endpoint) || !good_name(r.endpoint)) return std::nullopt;
    if (!get(doc, "modello", r.type) || !good_name(r.type)) return std::nullopt;
    if (!get(doc, "sede", r.zone) || !good_name(r.zone)) return std::nullopt;
    if (!get(doc, "inPrestito", r.spot)) return std::nullopt;
    if (!get(doc, "turno", r.session) || !get(doc, "protocollo", r.seq)) return std::nullopt;
    if (!get(doc, "delega", r.token)) return std::nullopt;
    if (member(doc, "preavvisoS") != nullptr) {
        double notice = 0;
        if (!get(doc, "preavvisoS", notice) || notice < 0 || notice > 1e9) return std::nullopt;
        r.notice_s = notice;
    }
    const auto* tasks = member(doc, "prove");
    if (tasks == nullptr) return r;
    if (!tasks->IsArray()) return std::nullopt;
    r.tasks.reserve(tasks->Size());
    for (const auto& entry : tasks->GetArray()) {
        if (!entry.IsObject()) return std::nullopt;
        core::TaskReport task;
        std::string text;
        if (!get(entry, "prova", text) || !split_task(text, task.job, task.task)) {
            return std::nullopt;
        }
        if (!get(entry, "tentativo", task.attempt)) return std::nullopt;
        if (!get(entry, "stato", text) || !phase_of(text, task.phase)) return std::nullopt;
        if (task.phase == core::TaskPhase::Exited) {
            if (!get(entry, "esito", text)) return std::nullopt;
            task.why = why_of(text);
        }
        get(entry, "stored", task.stored);
        r.tasks.push_back(std::move(task));
    }
    return r;
}

std::string redirect_body(const std::string& member) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    w.Key("riferireA");
    w.String(member.c_str());
    w.EndObject();
    return b.GetString();
}

std::string orders_body(std::uint64_t token, const std::vector<core::Order>& orders) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    key(w, "delega");
    w.Uint64(token);
    write_orders(w, orders);
    w.EndObject();
    return text_of(b);
}

std::string direct_body(std::uint64_t token, std::uint64_t session,
                        const std::vector<core::Order>& orders) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    key(w, "delega");
    w.Uint64(token);
    key(w, "turno");
    w.Uint64(session);
    write_orders(w, orders);
    w.EndObject();
    return text_of(b);
}

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

std::string rental_body(std::string_view request, std::string_view type, std::string_view zone,
                        bool spot, std::uint32_t number) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    field(w, "richiesta", request);
    field(w, "modello", type);
    field(w, "sede", zone);
    key(w, "inPrestito");
    w.Bool(spot);
    key(w, "number");
    w.Uint(number);
    w.EndObject();
    return text_of(b);
}

std::optional<std::vector<std::string>> parse_rented(std::string_view body) {
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

std::string return_body(const std::vector<std::string>& names) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    key(w, "banchi");
    w.StartArray();
    for (const auto& name : names) string(w, name);
    w.EndArray();
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

std::string txn_body(const std::vector<Condition>& when, const std::vector<Change>& then) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    key(w, "when");
    w.StartArray();
    for (const auto& c : when) {
        w.StartObject();
        field(w, "path", c.key);
        key(w, "timbro");
        w.Uint64(c.rev);
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
                if (c.grant != 0) {
                    key(w, "concessione");
                    w.Uint64(c.grant);
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
    if (value == nullptr || !get(doc, "timbro", item.rev)) return std::nullopt;
    get(doc, "path", item.key);
    item.value = json_of(*value);
    return item;
}

std::optional<std::uint64_t> parse_revision(std::string_view body) {
    rapidjson::Document doc;
    std::uint64_t rev = 0;
    if (!parse(doc, body) || !get(doc, "registro", rev)) return std::nullopt;
    return rev;
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
        if (!entry.IsObject() || !get(entry, "path", item.key) || !get(entry, "timbro", item.rev)) {
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
        if (!entry.IsObject() || !get(entry, "timbro", item.rev)) return std::nullopt;
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

std::string grant_body(std::uint64_t ttl_ms) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    key(w, "ttlMs");
    w.Uint64(ttl_ms);
    w.EndObject();
    return text_of(b);
}

std::optional<std::uint64_t> parse_grant(std::string_view body) {
    rapidjson::Document doc;
    std::uint64_t grant = 0;
    if (!parse(doc, body) || !get(doc, "concessione", grant)) return std::nullopt;
    return grant;
}

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

std::string place_value(const core::PlaceRecord& record) {
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

std::optional<core::PlaceRecord> parse_place_value(std::string_view value) {
    rapidjson::Document doc;
    if (!parse(doc, value)) return std::nullopt;
    core::PlaceRecord record;
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

std::string over_value(bool aborted, const core::JobText* job) {
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

std::string over_value_within(bool aborted, const core::JobText& job, std::size_t most_bytes) {
    auto value = over_value(aborted, &job);
    if (value.size() <= most_bytes) return value;
    auto short_job = job;
    short_job.types.reset();
    short_job.zone.reset();
    short_job.image.clear();
    value = over_value(aborted, &short_job);
    if (value.size() <= most_bytes) return value;
    short_job.cls.clear();
    return over_value(aborted, &short_job);
}

std::optional<Over> parse_over_value(std::string_view id, std::string_view value) {
    rapidjson::Document doc;
    std::string state;
    if (!parse(doc, value) || !get(doc, "s", state)) return std::nullopt;
    Over over;
    over.aborted = state == "aborted";
    if (const auto* job = member(doc, "j")) over.job = read_job(id, *job);
    return over;
}

std::string image_hints_value(const ImageHints& hints, std::size_t most_bytes) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    key(w, "m");
    w.StartArray();
    for (const auto& [machine, images] : hints) {
        std::size_t bytes = machine.size() + 16;
        for (const auto& image : images) bytes += image.size() + 8;
        if (b.GetSize() + bytes > most_bytes) break;
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

std::string leader_value(const LeaderMark& mark) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    field(w, "m", mark.member);
    key(w, "t");
    w.Uint64(mark.token);
    w.EndObject();
    return text_of(b);
}

std::optional<LeaderMark> parse_leader_value(std::string_view value) {
    rapidjson::Document doc;
    LeaderMark mark;
    if (!parse(doc, value) || !get(doc, "m", mark.member) || !get(doc, "t", mark.token)) {
        return std::nullopt;
    }
    return mark;
}

}  // namespace lichendrift::wire
