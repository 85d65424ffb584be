// The protocol's field names and enum texts, each once. The page docs/PROTOCOL of the operators
// says what they mean; everywhere else the code has the terms on the left.
#pragma once

#include <array>
#include <optional>
#include <string_view>

#include "core/types.h"

/// Names of fields in the JSON of users, workers, cloud and state service.
namespace lichendrift::wire::field {

// In several messages.
inline constexpr std::string_view kId = "nameId";             ///< of a job or a listed machine
inline constexpr std::string_view kState = "stato";           ///< of a job, task or machine
inline constexpr std::string_view kTasks = "prove";           ///< number or list of tasks
inline constexpr std::string_view kCpus = "cpus";             ///< CPUs of a task or machine
inline constexpr std::string_view kGpus = "gpus";             ///< GPUs of a task or machine
inline constexpr std::string_view kMemoryGb = "memGb";        ///< memory of a task or machine
inline constexpr std::string_view kMachineType = "modello";   ///< type of a machine
inline constexpr std::string_view kMachineTypes = "modelli";  ///< machine types
inline constexpr std::string_view kZone = "sede";             ///< a zone
inline constexpr std::string_view kZones = "sedi";            ///< zones
inline constexpr std::string_view kSpot = "inPrestito";       ///< on spot machines, is one
inline constexpr std::string_view kEndpoint = "endpoint";     ///< a worker's address
inline constexpr std::string_view kError = "error";           ///< why a request was refused
inline constexpr std::string_view kMore = "more";             ///< whether the list goes on
inline constexpr std::string_view kDoneTasks = "done";        ///< number of completed tasks
inline constexpr std::string_view kRunningTasks = "running";  ///< number of running tasks

// Submissions.
inline constexpr std::string_view kClass = "classe";                          ///< class of jobs
inline constexpr std::string_view kTeam = "ufficio";                          ///< team with a quota
inline constexpr std::string_view kKind = "genere";                           ///< see JobKind
inline constexpr std::string_view kPriority = "urgenza";                      ///< see kPriorities
inline constexpr std::string_view kImage = "fascicolo";                       ///< a task's image
inline constexpr std::string_view kImageGb = "imageGb";                       ///< its size
inline constexpr std::string_view kOneZone = "oneZone";                       ///< all in one zone
inline constexpr std::string_view kApart = "apart";                           ///< half in one zone
inline constexpr std::string_view kEstimateS = "durataS";                     ///< of the run time
inline constexpr std::string_view kCheckpointIntervalS = "salvataggioOgniS";  ///< 0: never saves
inline constexpr std::string_view kSaveS = "salvataggioS";                    ///< time to save
inline constexpr std::string_view kDeadlineS = "scadenzaS";                   ///< since submission

// Heartbeats and commands.
inline constexpr std::string_view kMachine = "banco";           ///< name of the machine
inline constexpr std::string_view kAgentEpoch = "turno";        ///< session of the worker
inline constexpr std::string_view kSequence = "protocollo";     ///< number of the report
inline constexpr std::string_view kFencingToken = "delega";     ///< token of the commands
inline constexpr std::string_view kSpotNoticeS = "preavvisoS";  ///< time until it is taken away
inline constexpr std::string_view kTask = "prova";              ///< "job/number"
inline constexpr std::string_view kAttempt = "tentativo";       ///< attempt of a task
inline constexpr std::string_view kExitReason = "esito";        ///< why a task exited
inline constexpr std::string_view kSaved = "stored";            ///< whether progress was saved
inline constexpr std::string_view kCommands = "ordini";         ///< list of commands
inline constexpr std::string_view kCommand = "ordine";          ///< kind of a command
inline constexpr std::string_view kGraceS = "tolleranzaS";      ///< time to save when halted
inline constexpr std::string_view kRedirectTo = "riferireA";    ///< controller to report to

// Cloud.
inline constexpr std::string_view kTypeName = "label";            ///< name of a machine type
inline constexpr std::string_view kLocalGb = "localGb";           ///< room for images
inline constexpr std::string_view kFetchGbPerS = "fetchGbPerS";   ///< rate of image fetches
inline constexpr std::string_view kHourlyPrice = "hourly";        ///< ordinary price
inline constexpr std::string_view kSpotHourlyPrice = "lowPrice";  ///< spot price
inline constexpr std::string_view kBootS = "startupS";            ///< time to boot
inline constexpr std::string_view kRequestName = "richiesta";     ///< makes a request idempotent
inline constexpr std::string_view kNumber = "number";             ///< of machines
inline constexpr std::string_view kMachines = "banchi";           ///< names or list of machines
inline constexpr std::string_view kAgeS = "ageS";                 ///< since the request
inline constexpr std::string_view kEpoch = "epoch";               ///< of a duty, our addition

// State service.
inline constexpr std::string_view kConditions = "when";     ///< of a transaction
inline constexpr std::string_view kChanges = "then";        ///< of a transaction
inline constexpr std::string_view kKey = "path";            ///< key of an item
inline constexpr std::string_view kValue = "value";         ///< value of an item
inline constexpr std::string_view kKeyRevision = "timbro";  ///< of a key's last change
inline constexpr std::string_view kRevision = "registro";   ///< of the whole store
inline constexpr std::string_view kPut = "set";             ///< key that is written
inline constexpr std::string_view kDelete = "remove";       ///< key that is removed
inline constexpr std::string_view kLease = "concessione";   ///< id of a lease
inline constexpr std::string_view kLeaseTtlMs = "ttlMs";    ///< of a new lease
inline constexpr std::string_view kItems = "items";         ///< of a page
inline constexpr std::string_view kNews = "news";           ///< changes that a watch saw
inline constexpr std::string_view kFailedKeys = "failed";   ///< conditions that did not hold

}  // namespace lichendrift::wire::field

/// Texts of enumerations.
namespace lichendrift::wire::text {

/// An enumerator with its text on the wire.
template <typename Enum>
struct Named {
    std::string_view text;  ///< on the wire
    Enum value;             ///< inside
};

/// What a job's tasks have to do with each other.
enum class JobKind : std::uint8_t {
    Array,    ///< independent tasks
    Gang,     ///< all at the same time or none
    Service,  ///< independent tasks that run until the job is cancelled
};

/// Kinds of jobs. The operators' page names the first two; their own check submits the third.
inline constexpr auto kJobKinds = std::to_array<Named<JobKind>>(
    {{"sweep", JobKind::Array}, {"ensemble", JobKind::Gang}, {"service", JobKind::Service}});
/// Priorities of jobs.
inline constexpr auto kPriorities =
    std::to_array<Named<core::Priority>>({{"critical", core::Priority::Critical},
                                          {"high", core::Priority::High},
                                          {"normal", core::Priority::Normal},
                                          {"low", core::Priority::Low}});
/// Phases of tasks.
inline constexpr auto kTaskPhases =
    std::to_array<Named<core::TaskPhase>>({{"pulling", core::TaskPhase::Pulling},
                                           {"gathering", core::TaskPhase::WaitingForPeers},
                                           {"running", core::TaskPhase::Running},
                                           {"saving", core::TaskPhase::Saving},
                                           {"exited", core::TaskPhase::Exited}});
/// Why tasks exited; any other text counts as unknown.
inline constexpr auto kExitReasons =
    std::to_array<Named<core::ExitReason>>({{"done", core::ExitReason::Done},
                                            {"halted", core::ExitReason::Halted},
                                            {"peers", core::ExitReason::PeerExited},
                                            {"alone", core::ExitReason::PeersMissing},
                                            {"error", core::ExitReason::Error},
                                            {"full", core::ExitReason::InsufficientResources},
                                            {"busy", core::ExitReason::OtherAttemptPresent}});
/// Kinds of commands.
inline constexpr auto kCommandKinds =
    std::to_array<Named<core::Command::Kind>>({{"run", core::Command::Kind::Run},
                                               {"halt", core::Command::Kind::Halt},
                                               {"reap", core::Command::Kind::Reap}});
/// States of listed machines; any other text counts as starting.
inline constexpr auto kMachineStates = std::to_array<Named<core::ListedMachine::State>>(
    {{"failed", core::ListedMachine::State::Failed},
     {"running", core::ListedMachine::State::Running}});
/// The cloud's error when it has no machine of the type, zone and kind.
inline constexpr std::string_view kNoCapacity = "no capacity";

/// The enumerator of a text; nothing if the table has none.
template <typename Table>
[[nodiscard]] auto find(const Table& table, std::string_view text)
    -> std::optional<decltype(table.front().value)> {
    for (const auto& entry : table) {
        if (entry.text == text) return entry.value;
    }
    return std::nullopt;
}

/// The text of an enumerator that the table has.
template <typename Table, typename Enum>
[[nodiscard]] std::string_view of(const Table& table, Enum value) {
    for (const auto& entry : table) {
        if (entry.value == value) return entry.text;
    }
    return {};
}

}  // namespace lichendrift::wire::text
