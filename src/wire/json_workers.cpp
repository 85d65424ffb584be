// Messages of workers: reports and commands.
#include "wire/json.h"
#include "wire/json_messages.h"

namespace lichendrift::wire {

using namespace json;

namespace {

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

void write_commands(Writer& w, const std::vector<core::Command>& commands) {
    key(w, "ordini");
    w.StartArray();
    for (const auto& order : commands) {
        w.StartObject();
        field(w, "ordine",
              order.kind == core::Command::Kind::Run    ? "run"
              : order.kind == core::Command::Kind::Halt ? "halt"
                                                        : "reap");
        field(w, "prova", task_name(order.job, order.task));
        key(w, "tentativo");
        w.Uint64(order.attempt);
        if (order.kind == core::Command::Kind::Halt) {
            key(w, "tolleranzaS");
            w.Double(order.grace_s);
        }
        w.EndObject();
    }
    w.EndArray();
}

}  // namespace

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

std::string commands_body(std::uint64_t token, const std::vector<core::Command>& commands) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    key(w, "delega");
    w.Uint64(token);
    write_commands(w, commands);
    w.EndObject();
    return text_of(b);
}

std::string direct_body(std::uint64_t token, std::uint64_t session,
                        const std::vector<core::Command>& commands) {
    Buffer b;
    Writer w(b);
    w.StartObject();
    key(w, "delega");
    w.Uint64(token);
    key(w, "turno");
    w.Uint64(session);
    write_commands(w, commands);
    w.EndObject();
    return text_of(b);
}

}  // namespace lichendrift::wire
