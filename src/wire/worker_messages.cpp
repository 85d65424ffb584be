// Messages exchanged with workers: heartbeats and commands.
#include "wire/worker_messages.h"

#include "wire/field_names.h"
#include "wire/json_reader.h"
#include "wire/json_writer.h"

namespace lichendrift::wire {

namespace {

constexpr double kMaxNoticeS = 1e9;
constexpr std::size_t kMaxTaskDigits = 9;  // keeps a task's number within 32 bits

// Splits a task's name, such as "job-000412/3", into job and number. Returns false if it is
// invalid.
bool split_task(std::string_view name, std::string& job, std::uint32_t& task) {
    constexpr std::uint32_t kBase = 10;
    const auto slash = name.rfind('/');
    if (slash == std::string_view::npos) return false;
    const auto digits = name.substr(slash + 1);
    if (digits.empty() || digits.size() > kMaxTaskDigits) return false;
    std::uint32_t number = 0;
    for (const char digit : digits) {
        if (digit < '0' || digit > '9') return false;
        number = number * kBase + static_cast<std::uint32_t>(digit - '0');
    }
    job = name.substr(0, slash);
    task = number;
    return true;
}

std::string task_name(const std::string& job, std::uint32_t task) {
    return job + "/" + std::to_string(task);
}

core::TaskReport read_task(json::ObjectReader& in) {
    core::TaskReport task;
    std::string_view text;
    in.required(field::kTask, text,
                [&](std::string_view name) { return split_task(name, task.job, task.task); });
    in.required(field::kAttempt, task.attempt);
    in.required(field::kState, text);
    const auto phase = text::find(text::kTaskPhases, text);
    in.check(phase.has_value(), field::kState);
    if (phase) task.phase = *phase;
    if (task.phase == core::TaskPhase::Exited) {
        in.required(field::kExitReason, text);
        task.exit_reason = text::find(text::kExitReasons, text).value_or(core::ExitReason::Unknown);
    }
    in.optional(field::kSaved, task.progress_saved);
    return task;
}

void read_machine(json::ObjectReader& in, core::Report& report) {
    in.required(field::kMachine, report.machine, json::is_valid_name);
    in.required(field::kEndpoint, report.endpoint, json::is_valid_name);
    in.required(field::kMachineType, report.type, json::is_valid_name);
    in.required(field::kZone, report.zone, json::is_valid_name);
    in.required(field::kSpot, report.spot);
    in.required(field::kWorkerSession, report.session);
    in.required(field::kSequence, report.seq);
    in.required(field::kFencingToken, report.token);
    in.nullable(field::kSpotNoticeS, report.notice_s,
                [](double notice_s) { return notice_s >= 0 && notice_s <= kMaxNoticeS; });
}

void write_command(json::Writer& out, const core::Command& command) {
    out.field(field::kCommandKind, text::of(text::kCommandKinds, command.kind));
    out.field(field::kTask, task_name(command.job, command.task));
    out.field(field::kAttempt, command.attempt);
    if (command.kind == core::Command::Kind::Halt) out.field(field::kGraceS, command.grace_s);
}

void write_commands(json::Writer& out, const std::vector<core::Command>& commands) {
    out.array_field(field::kCommands, [&] {
        for (const auto& command : commands) out.object([&] { write_command(out, command); });
    });
}

}  // namespace

std::optional<core::Report> parse_report(std::string_view body) {
    json::Document document(body);
    auto in = document.root();
    core::Report report;
    read_machine(in, report);
    if (const auto* tasks = in.find(field::kTasks)) {
        if (tasks->IsArray()) report.tasks.reserve(tasks->Size());
        in.required_objects(field::kTasks, [&](json::ObjectReader& entry) {
            report.tasks.push_back(read_task(entry));
        });
    }
    return document.if_valid(std::move(report));
}

std::string redirect_body(const std::string& member) {
    return json::object_text([&](json::Writer& out) { out.field(field::kRedirectTo, member); });
}

std::string commands_body(std::uint64_t token, const std::vector<core::Command>& commands) {
    return json::object_text([&](json::Writer& out) {
        out.field(field::kFencingToken, token);
        write_commands(out, commands);
    });
}

std::string direct_commands_body(std::uint64_t token, std::uint64_t session,
                                 const std::vector<core::Command>& commands) {
    return json::object_text([&](json::Writer& out) {
        out.field(field::kFencingToken, token);
        out.field(field::kWorkerSession, session);
        write_commands(out, commands);
    });
}

}  // namespace lichendrift::wire
