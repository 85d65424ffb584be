// Field names of the values in the state service. They are short because the state service limits
// the size of a value. They must never change, because later versions read the values that earlier
// versions stored.
#pragma once

#include <string_view>

/// Fields of an open job's description.
namespace lichendrift::wire::stored::job {
inline constexpr std::string_view kClass = "c";  ///< job class
inline constexpr std::string_view kTeam = "t";   ///< team whose quota the job counts against
inline constexpr std::string_view kGang = "g";  ///< whether it is a gang (all tasks start together)
inline constexpr std::string_view kService = "v";      ///< whether it is a service; left out: no
inline constexpr std::string_view kPriority = "p";     ///< value of core::Priority
inline constexpr std::string_view kTasks = "n";        ///< number of tasks
inline constexpr std::string_view kResources = "u";    ///< [CPUs, GPUs, memory in GB]
inline constexpr std::string_view kImage = "i";        ///< container image
inline constexpr std::string_view kImageGb = "s";      ///< size of the image, GB
inline constexpr std::string_view kTypes = "y";        ///< allowed machine types; left out: any
inline constexpr std::string_view kZone = "z";         ///< required zone; left out: any
inline constexpr std::string_view kOneZone = "o";      ///< all tasks in one zone
inline constexpr std::string_view kSpreadZones = "a";  ///< at most half of the tasks in one zone
inline constexpr std::string_view kSpot = "l";         ///< may use spot machines
inline constexpr std::string_view kDurationsS = "e";   ///< [estimate, checkpoint interval, save]
inline constexpr std::string_view kDeadlineS = "d";    ///< since the submission; left out: none
inline constexpr std::string_view kSubmittedMs = "w";  ///< wall-clock time of the submission
}  // namespace lichendrift::wire::stored::job

/// Fields of a placement record.
namespace lichendrift::wire::stored::placement {
inline constexpr std::string_view kTerm = "t";    ///< term of the leader that wrote it
inline constexpr std::string_view kNonce = "n";   ///< tells whether an unanswered write was applied
inline constexpr std::string_view kPlaced = "p";  ///< list of [task, attempt, machine, session]
inline constexpr std::string_view kCompleted = "d";  ///< ranges: [first, last, first, last, ...]
}  // namespace lichendrift::wire::stored::placement

/// Fields of a job's terminal state.
namespace lichendrift::wire::stored::terminal {
inline constexpr std::string_view kState = "s";  ///< kAborted or kDone
inline constexpr std::string_view kJob = "j";    ///< description of the job; left out: not needed
inline constexpr std::string_view kAborted = "aborted";  ///< value of kState: the job was cancelled
inline constexpr std::string_view kDone = "done";        ///< value of kState: the job completed
}  // namespace lichendrift::wire::stored::terminal

/// Fields of the leader record.
namespace lichendrift::wire::stored::leader {
inline constexpr std::string_view kMember = "m";  ///< name of the leader
inline constexpr std::string_view kToken = "t";   ///< first fencing token of its term
}  // namespace lichendrift::wire::stored::leader

/// Fields of a part of the image hints.
namespace lichendrift::wire::stored::hints {
inline constexpr std::string_view kMachines = "m";  ///< list of [machine, image, ...]
}  // namespace lichendrift::wire::stored::hints

/// Fields of the record of a duty, see duty::DutyRecord.
namespace lichendrift::wire::stored::duty_record {
inline constexpr std::string_view kHolder = "m";  ///< name of the controller that holds the duty
inline constexpr std::string_view kEpoch = "e";   ///< epoch of the duty
inline constexpr std::string_view kNonce = "n";   ///< tells whether an unanswered write was applied
}  // namespace lichendrift::wire::stored::duty_record

/// Fields of an intent, see duty::Intent.
namespace lichendrift::wire::stored::intent {
inline constexpr std::string_view kEpoch = "e";  ///< epoch of the duty
inline constexpr std::string_view kNonce = "n";  ///< tells whether an unanswered write was applied
inline constexpr std::string_view kReleases = "b";  ///< machines to release; left out: none
inline constexpr std::string_view kProvisions =
    "r";  ///< list of [request id, type, zone, spot, count]
}  // namespace lichendrift::wire::stored::intent
