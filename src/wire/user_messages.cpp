// Messages exchanged with users: submissions and answers.
#include "wire/user_messages.h"

#include <algorithm>

#include "wire/field_names.h"
#include "wire/json_reader.h"
#include "wire/json_writer.h"

namespace lichendrift::wire {

namespace {

constexpr std::uint64_t kMaxTasks = 100'000;
constexpr std::size_t kMaxAllowedTypes = 64;
constexpr double kMaxAmount = 1e12;  // exclusive limit for durations and resources
constexpr std::size_t kMaxIdDigits = 20;

bool is_valid_amount(double amount) { return amount >= 0 && amount < kMaxAmount; }

// Reads a required text and converts it to the enumerator that `table` has for it.
template <typename Table, typename Enum>
void read_enum(json::ObjectReader& in, std::string_view name, const Table& table, Enum& out) {
    std::string_view text;
    in.required(name, text);
    const auto value = text::find(table, text);
    in.check(value.has_value(), name);
    if (value) out = *value;
}

void read_identity(json::ObjectReader& in, core::JobDescription& job) {
    in.required(field::kId, job.id, valid_job_id);
    in.required(field::kClass, job.cls, json::is_valid_name);
    in.required(field::kTeam, job.team, json::is_valid_name);
}

void read_kind(json::ObjectReader& in, core::JobDescription& job) {
    auto kind = text::JobKind::Array;
    read_enum(in, field::kKind, text::kJobKinds, kind);
    job.service = kind == text::JobKind::Service;
    job.gang = kind == text::JobKind::Gang;
    read_enum(in, field::kPriority, text::kPriorities, job.priority);
    std::uint64_t count = 0;
    in.required(field::kTasks, count,
                [](std::uint64_t tasks) { return tasks > 0 && tasks <= kMaxTasks; });
    job.count = static_cast<std::uint32_t>(count);
}

void read_resources(json::ObjectReader& in, core::JobDescription& job) {
    in.required(field::kCpus, job.cpus, is_valid_amount);
    in.required(field::kGpus, job.gpus, is_valid_amount);
    in.required(field::kMemoryGb, job.mem_gb, is_valid_amount);
    in.required(field::kImage, job.image, json::is_valid_name);
    in.required(field::kImageGb, job.image_gb, is_valid_amount);
}

void read_placement_rules(json::ObjectReader& in, core::JobDescription& job) {
    in.nullable(field::kMachineTypes, job.types, [](const std::vector<std::string>& types) {
        return types.size() <= kMaxAllowedTypes &&
               std::all_of(types.begin(), types.end(), json::is_valid_name);
    });
    in.nullable(field::kZone, job.zone, json::is_valid_name);
    in.required(field::kOneZone, job.one_zone);
    in.required(field::kSpreadZones, job.spread_zones);
    in.required(field::kSpot, job.spot);
}

void read_durations(json::ObjectReader& in, core::JobDescription& job) {
    in.required(field::kEstimateS, job.estimate_s, is_valid_amount);
    in.required(field::kCheckpointIntervalS, job.checkpoint_s, is_valid_amount);
    in.required(field::kSaveS, job.save_s, is_valid_amount);
    in.nullable(field::kDeadlineS, job.deadline_s, is_valid_amount);
}

void write_state(json::Writer& out, std::string_view id, std::string_view state) {
    out.field(field::kId, id);
    out.field(field::kState, state);
}

}  // namespace

bool valid_job_id(std::string_view id) {
    constexpr std::string_view kPrefix = "job-";
    if (id.size() <= kPrefix.size() || id.size() > kPrefix.size() + kMaxIdDigits) return false;
    if (id.substr(0, kPrefix.size()) != kPrefix) return false;
    return id.find_first_not_of("0123456789", kPrefix.size()) == std::string_view::npos;
}

Parsed<core::JobDescription> parse_submission(std::string_view body) {
    json::Document document(body);
    auto in = document.root();
    core::JobDescription job;
    read_identity(in, job);
    read_kind(in, job);
    read_resources(in, job);
    read_placement_rules(in, job);
    read_durations(in, job);
    return document.parsed(std::move(job));
}

std::string error_text(const ParseError& error) {
    switch (error.fault) {
        case ParseFault::NotJson:
            return "the body is not JSON";
        case ParseFault::NotAnObject:
            return "the body is not an object";
        case ParseFault::MissingField:
        case ParseFault::WrongType:
        case ParseFault::InvalidValue:
            break;
    }
    return "field '" + std::string(error.field) + "' is missing or invalid";
}

std::string job_state_body(std::string_view id, std::string_view state) {
    return json::object_text([&](json::Writer& out) { write_state(out, id, state); });
}

std::string job_state_body(std::string_view id, std::string_view state, std::uint32_t done,
                           std::uint32_t running) {
    return json::object_text([&](json::Writer& out) {
        write_state(out, id, state);
        out.field(field::kCompletedTasks, done);
        out.field(field::kRunningTasks, running);
    });
}

std::string error_body(std::string_view reason) {
    return json::object_text([&](json::Writer& out) { out.field(field::kError, reason); });
}

}  // namespace lichendrift::wire
