// Stored values of jobs, placement records, terminal states, the leader and image hints.
#include "wire/stored_values.h"

#include "wire/json_reader.h"
#include "wire/json_writer.h"
#include "wire/stored_names.h"

namespace lichendrift::wire {

namespace {

constexpr std::uint64_t kMaxTasks = 100'000;
constexpr rapidjson::SizeType kPlacedEntries = 4;  // task, attempt, machine, session
// Upper bounds on the bytes that a machine or an image takes in the value in addition to its name.
constexpr std::size_t kHintMachineOverheadBytes = 16;
constexpr std::size_t kHintImageOverheadBytes = 8;

void write_job(json::Writer& out, const core::JobDescription& job) {
    namespace names = stored::job;
    out.field(names::kClass, job.cls);
    out.field(names::kTeam, job.team);
    out.field(names::kGang, job.gang);
    if (job.service) out.field(names::kService, true);
    out.field(names::kPriority, static_cast<unsigned>(job.priority));
    out.field(names::kTasks, job.count);
    out.field(names::kResources, std::array{job.cpus, job.gpus, job.mem_gb});
    out.field(names::kImage, job.image);
    out.field(names::kImageGb, job.image_gb);
    if (job.types) out.field(names::kTypes, *job.types);
    if (job.zone) out.field(names::kZone, *job.zone);
    out.field(names::kOneZone, job.one_zone);
    out.field(names::kSpreadZones, job.spread_zones);
    out.field(names::kSpot, job.spot);
    out.field(names::kDurationsS, std::array{job.estimate_s, job.checkpoint_s, job.save_s});
    if (job.deadline_s) out.field(names::kDeadlineS, *job.deadline_s);
    out.field(names::kSubmittedMs, job.submitted_ms);
}

core::JobDescription read_job(json::ObjectReader& in, std::string_view id) {
    namespace names = stored::job;
    core::JobDescription job;
    job.id = id;
    std::uint64_t priority = 0;
    std::uint64_t count = 0;
    auto resources = std::tie(job.cpus, job.gpus, job.mem_gb);
    auto durations = std::tie(job.estimate_s, job.checkpoint_s, job.save_s);
    in.required(names::kClass, job.cls);
    in.required(names::kTeam, job.team);
    in.required(names::kGang, job.gang);
    in.required(names::kPriority, priority, [](std::uint64_t number) {
        return number <= static_cast<std::uint64_t>(core::Priority::Critical);
    });
    in.required(names::kTasks, count,
                [](std::uint64_t tasks) { return tasks > 0 && tasks <= kMaxTasks; });
    in.required(names::kResources, resources);
    in.required(names::kImage, job.image);
    in.required(names::kImageGb, job.image_gb);
    in.required(names::kOneZone, job.one_zone);
    in.required(names::kSpreadZones, job.spread_zones);
    in.required(names::kSpot, job.spot);
    in.required(names::kDurationsS, durations);
    in.optional(names::kService, job.service);
    job.priority = static_cast<core::Priority>(priority);
    job.count = static_cast<std::uint32_t>(count);
    job.types = in.strings(names::kTypes);
    if (!in.optional(names::kZone, job.zone.emplace())) job.zone.reset();
    if (!in.optional(names::kDeadlineS, job.deadline_s.emplace())) job.deadline_s.reset();
    in.optional(names::kSubmittedMs, job.submitted_ms);
    return job;
}

void write_placed(json::Writer& out, const core::PlacedTask& placed) {
    out.value(placed.task);
    out.value(placed.attempt);
    out.value(placed.machine);
    out.value(placed.session);
}

bool read_placed(const json::Value& entry, core::PlacedTask& placed) {
    return entry.IsArray() && entry.Size() == kPlacedEntries && json::read(entry[0], placed.task) &&
           json::read(entry[1], placed.attempt) && json::read(entry[2], placed.machine) &&
           json::read(entry[3], placed.session);
}

bool read_all_placed(const json::Value& list, std::vector<core::PlacedTask>& placed) {
    if (!list.IsArray()) return false;
    for (const auto& entry : list.GetArray()) {
        if (!read_placed(entry, placed.emplace_back())) return false;
    }
    return true;
}

using Ranges = std::vector<std::pair<std::uint32_t, std::uint32_t>>;

bool read_ranges(const json::Value& list, Ranges& ranges) {
    if (!list.IsArray() || list.Size() % 2 != 0) return false;
    for (rapidjson::SizeType i = 0; i < list.Size(); i += 2) {
        auto& [first, last] = ranges.emplace_back();
        if (!json::read(list[i], first) || !json::read(list[i + 1], last)) return false;
    }
    return true;
}

// Reads one entry of the image hints: the first name that is not empty is that of the machine,
// those after it are its images.
bool read_hint(const json::Value& entry, ImageHints::value_type& hint) {
    std::vector<std::string> names;
    if (!json::read(entry, names) || names.empty()) return false;
    auto& [machine, images] = hint;
    for (auto& name : names) {
        if (machine.empty()) {
            machine = std::move(name);
        } else {
            images.push_back(std::move(name));
        }
    }
    return true;
}

}  // namespace

std::string job_value(const core::JobDescription& job) {
    return json::object_text([&](json::Writer& out) { write_job(out, job); });
}

std::optional<core::JobDescription> parse_job_value(std::string_view id, std::string_view value) {
    json::Document document(value);
    auto in = document.root();
    return document.if_valid(read_job(in, id));
}

std::string placement_value(const core::PlacementRecord& record) {
    namespace names = stored::placement;
    return json::object_text([&](json::Writer& out) {
        out.field(names::kTerm, record.term);
        out.field(names::kNonce, record.nonce);
        out.array_field(names::kPlaced, [&] {
            for (const auto& placed : record.placed) out.array([&] { write_placed(out, placed); });
        });
        if (record.done.empty()) return;
        out.array_field(names::kCompleted, [&] {
            for (const auto& [first, last] : record.done) out.value(first), out.value(last);
        });
    });
}

std::optional<core::PlacementRecord> parse_placement_value(std::string_view value) {
    namespace names = stored::placement;
    json::Document document(value);
    auto in = document.root();
    core::PlacementRecord record;
    in.required(names::kTerm, record.term);
    in.required(names::kNonce, record.nonce);
    const auto* placed = in.find(names::kPlaced);
    in.check(placed != nullptr && read_all_placed(*placed, record.placed), names::kPlaced);
    if (const auto* completed = in.find(names::kCompleted)) {
        in.check(read_ranges(*completed, record.done), names::kCompleted);
    }
    return document.if_valid(std::move(record));
}

std::string terminal_state_value(bool aborted, const core::JobDescription* job) {
    namespace names = stored::terminal;
    return json::object_text([&](json::Writer& out) {
        out.field(names::kState, aborted ? names::kAborted : names::kDone);
        if (job == nullptr) return;
        out.name(names::kJob);
        out.object([&] { write_job(out, *job); });
    });
}

std::string terminal_state_value_within(bool aborted, const core::JobDescription& job,
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
    namespace names = stored::terminal;
    json::Document document(value);
    auto in = document.root();
    std::string_view state;
    in.required(names::kState, state);
    if (document.failed()) return std::nullopt;
    TerminalState terminal_state;
    terminal_state.aborted = state == names::kAborted;
    if (const auto* job = in.find(names::kJob)) {
        // A damaged description does not make the terminal state invalid.
        std::optional<ParseError> job_error;
        json::ObjectReader job_reader(*job, job_error);
        terminal_state.job = read_job(job_reader, id);
        if (job_error) terminal_state.job.reset();
    }
    return terminal_state;
}

std::string image_hints_value(const ImageHints& hints, std::size_t max_bytes) {
    return json::object_text([&](json::Writer& out) {
        out.array_field(stored::hints::kMachines, [&] {
            for (const auto& [machine, images] : hints) {
                std::size_t bytes = machine.size() + kHintMachineOverheadBytes;
                for (const auto& image : images) bytes += image.size() + kHintImageOverheadBytes;
                if (out.size_bytes() + bytes > max_bytes) break;
                out.array([&, &machine = machine, &images = images] {
                    out.value(machine);
                    for (const auto& image : images) out.value(image);
                });
            }
        });
    });
}

std::optional<ImageHints> parse_image_hints_value(std::string_view value) {
    json::Document document(value);
    auto in = document.root();
    const auto* list = in.find(stored::hints::kMachines);
    if (list == nullptr || !list->IsArray()) return std::nullopt;
    ImageHints hints;
    for (const auto& entry : list->GetArray()) {
        if (!read_hint(entry, hints.emplace_back())) return std::nullopt;
    }
    return hints;
}

std::string leader_value(const LeaderRecord& leader_record) {
    return json::object_text([&](json::Writer& out) {
        out.field(stored::leader::kMember, leader_record.member);
        out.field(stored::leader::kToken, leader_record.token);
    });
}

std::optional<LeaderRecord> parse_leader_value(std::string_view value) {
    json::Document document(value);
    auto in = document.root();
    LeaderRecord leader_record;
    in.required(stored::leader::kMember, leader_record.member);
    in.required(stored::leader::kToken, leader_record.token);
    return document.if_valid(std::move(leader_record));
}

}  // namespace lichendrift::wire
