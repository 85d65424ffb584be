// Field names and enumeration texts of the JSON messages, each defined once. The operators' page
// docs/PROTOCOL defines their meaning. The rest of the code uses only the constants.
#pragma once

#include <array>
#include <optional>
#include <string_view>

#include "core/types.h"

/// Names of the fields in the JSON messages of users, workers, the cloud and the state service.
namespace lichendrift::wire::field {

// Fields of several messages.
inline constexpr std::string_view kId = "nameId";       ///< job id, or name of a listed machine
inline constexpr std::string_view kState = "stato";     ///< state of a job, task or machine
inline constexpr std::string_view kTasks = "prove";     ///< number of tasks, or list of tasks
inline constexpr std::string_view kCpus = "cpus";       ///< CPUs of a task or machine
inline constexpr std::string_view kGpus = "gpus";       ///< GPUs of a task or machine
inline constexpr std::string_view kMemoryGb = "memGb";  ///< memory of a task or machine
inline constexpr std::string_view kMachineType = "modello";   ///< machine type
inline constexpr std::string_view kMachineTypes = "modelli";  ///< list of machine types
inline constexpr std::string_view kZone = "sede";             ///< zone
inline constexpr std::string_view kZones = "sedi";            ///< list of zones
inline constexpr std::string_view kSpot = "inPrestito";       ///< spot allowed, or is spot
inline constexpr std::string_view kEndpoint = "endpoint";     ///< address of a machine's worker
inline constexpr std::string_view kError = "error";           ///< reason for a refusal
inline constexpr std::string_view kMore = "more";             ///< whether there is a further page
inline constexpr std::string_view kCompletedTasks = "done";   ///< number of completed tasks
inline constexpr std::string_view kRunningTasks = "running";  ///< number of running tasks

// Fields of submissions.
inline constexpr std::string_view kClass = "classe";       ///< job class
inline constexpr std::string_view kTeam = "ufficio";       ///< team with a quota
inline constexpr std::string_view kKind = "genere";        ///< text of a JobKind
inline constexpr std::string_view kPriority = "urgenza";   ///< text in kPriorities
inline constexpr std::string_view kImage = "fascicolo";    ///< container image of the tasks
inline constexpr std::string_view kImageGb = "imageGb";    ///< size of the image
inline constexpr std::string_view kOneZone = "oneZone";    ///< all tasks in one zone
inline constexpr std::string_view kSpreadZones = "apart";  ///< at most half in one zone
inline constexpr std::string_view kEstimateS = "durataS";  ///< estimated run time of a task
inline constexpr std::string_view kCheckpointIntervalS = "salvataggioOgniS";  ///< 0: never saves
inline constexpr std::string_view kSaveS = "salvataggioS";   ///< time to save a checkpoint
inline constexpr std::string_view kDeadlineS = "scadenzaS";  ///< since the submission

// Fields of heartbeats and commands.
inline constexpr std::string_view kMachine = "banco";           ///< name of the machine
inline constexpr std::string_view kWorkerSession = "turno";     ///< session of the worker
inline constexpr std::string_view kSequence = "protocollo";     ///< sequence number of the report
inline constexpr std::string_view kFencingToken = "delega";     ///< fencing token of the commands
inline constexpr std::string_view kSpotNoticeS = "preavvisoS";  ///< time until spot reclaim
inline constexpr std::string_view kTask = "prova";              ///< "JOB/NUMBER"
inline constexpr std::string_view kAttempt = "tentativo";       ///< number of the attempt of a task
inline constexpr std::string_view kExitReason = "esito";        ///< text in kExitReasons
inline constexpr std::string_view kSaved = "stored";            ///< whether progress was saved
inline constexpr std::string_view kCommands = "ordini";         ///< list of commands
inline constexpr std::string_view kCommandKind = "ordine";      ///< text in kCommandKinds
inline constexpr std::string_view kGraceS = "tolleranzaS";    ///< time to save after a halt command
inline constexpr std::string_view kRedirectTo = "riferireA";  ///< controller to send heartbeats to

// Fields of the cloud's messages.
inline constexpr std::string_view kTypeName = "label";            ///< name of a machine type
inline constexpr std::string_view kLocalDiskGb = "localGb";       ///< local disk space for images
inline constexpr std::string_view kFetchGbPerS = "fetchGbPerS";   ///< download rate for images
inline constexpr std::string_view kHourlyPrice = "hourly";        ///< price of an on-demand machine
inline constexpr std::string_view kSpotHourlyPrice = "lowPrice";  ///< price of a spot machine
inline constexpr std::string_view kBootS = "startupS";            ///< time to boot
inline constexpr std::string_view kRequestId = "richiesta";       ///< for idempotent provisioning
inline constexpr std::string_view kMachineCount = "number";  ///< number of machines to provision
inline constexpr std::string_view kMachines = "banchi";      ///< machines, or their names
inline constexpr std::string_view kAgeS = "ageS";    ///< time since the machine was requested
inline constexpr std::string_view kEpoch = "epoch";  ///< epoch of a duty; our extension

// Fields of the state service's messages.
inline constexpr std::string_view kConditions = "when";     ///< conditions of a transaction
inline constexpr std::string_view kChanges = "then";        ///< changes of a transaction
inline constexpr std::string_view kKey = "path";            ///< key of an item
inline constexpr std::string_view kValue = "value";         ///< value of an item
inline constexpr std::string_view kKeyRevision = "timbro";  ///< revision of a key's last change
inline constexpr std::string_view kRevision = "registro";   ///< revision of the whole store
inline constexpr std::string_view kPut = "set";             ///< key to write or written
inline constexpr std::string_view kDelete = "remove";       ///< key to remove or removed
inline constexpr std::string_view kLease = "concessione";   ///< id of a lease
inline constexpr std::string_view kLeaseTtlMs = "ttlMs";    ///< time to live of a new lease
inline constexpr std::string_view kItems = "items";         ///< items of a page
inline constexpr std::string_view kWatchEvents = "news";    ///< changes that a watch reports
inline constexpr std::string_view kFailedKeys = "failed";   ///< keys whose conditions did not hold

}  // namespace lichendrift::wire::field

/// Texts that stand for enumerators in JSON messages.
namespace lichendrift::wire::text {

/// An enumerator and its text in messages.
template <typename Enum>
struct EnumText {
    std::string_view text;  ///< text in messages
    Enum value;             ///< enumerator
};

/// How the tasks of a job depend on each other.
enum class JobKind : std::uint8_t {
    Array,    ///< independent tasks
    Gang,     ///< gang scheduling: all tasks start together or none
    Service,  ///< independent replicas that run until the job is cancelled
};

/// Texts of job kinds. The operators' protocol page lists only the first two, but their own check
/// submits the third.
inline constexpr auto kJobKinds = std::to_array<EnumText<JobKind>>(
    {{"sweep", JobKind::Array}, {"ensemble", JobKind::Gang}, {"service", JobKind::Service}});
/// Texts of job priorities.
inline constexpr auto kPriorities =
    std::to_array<EnumText<core::Priority>>({{"critical", core::Priority::Critical},
                                             {"high", core::Priority::High},
                                             {"normal", core::Priority::Normal},
                                             {"low", core::Priority::Low}});
/// Texts of task phases in heartbeats.
inline constexpr auto kTaskPhases =
    std::to_array<EnumText<core::TaskPhase>>({{"pulling", core::TaskPhase::Pulling},
                                              {"gathering", core::TaskPhase::WaitingForPeers},
                                              {"running", core::TaskPhase::Running},
                                              {"saving", core::TaskPhase::Saving},
                                              {"exited", core::TaskPhase::Exited}});
/// Texts of exit reasons. Any other text is read as ExitReason::Unknown.
inline constexpr auto kExitReasons =
    std::to_array<EnumText<core::ExitReason>>({{"done", core::ExitReason::Done},
                                               {"halted", core::ExitReason::Halted},
                                               {"peers", core::ExitReason::PeerExited},
                                               {"alone", core::ExitReason::PeersMissing},
                                               {"error", core::ExitReason::Error},
                                               {"full", core::ExitReason::InsufficientResources},
                                               {"busy", core::ExitReason::OtherAttemptPresent}});
/// Texts of command kinds.
inline constexpr auto kCommandKinds =
    std::to_array<EnumText<core::Command::Kind>>({{"run", core::Command::Kind::Run},
                                                  {"halt", core::Command::Kind::Halt},
                                                  {"reap", core::Command::Kind::Reap}});
/// Texts of the states of listed machines. Any other text is read as State::Starting.
inline constexpr auto kMachineStates = std::to_array<EnumText<core::ListedMachine::State>>(
    {{"failed", core::ListedMachine::State::Failed},
     {"running", core::ListedMachine::State::Running}});
/// The cloud's error text if it has no capacity for the requested machine type and zone, as spot or
/// on-demand machines.
inline constexpr std::string_view kNoCapacity = "no capacity";

/// The enumerator that `table` has for a text; nullopt if it has none.
template <typename Table>
[[nodiscard]] auto find(const Table& table, std::string_view text)
    -> std::optional<decltype(table.front().value)> {
    for (const auto& entry : table) {
        if (entry.text == text) return entry.value;
    }
    return std::nullopt;
}

/// The text of an enumerator; empty if `table` does not contain it.
template <typename Table, typename Enum>
[[nodiscard]] std::string_view of(const Table& table, Enum value) {
    for (const auto& entry : table) {
        if (entry.value == value) return entry.text;
    }
    return {};
}

}  // namespace lichendrift::wire::text
