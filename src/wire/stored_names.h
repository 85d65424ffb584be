// Names of the fields of the values that the controllers store. They are short because the state
// service limits a value's size, and stored values outlive a version: no name ever changes.
#pragma once

#include <string_view>

/// Fields of an open job's description.
namespace lichendrift::wire::stored::job {
inline constexpr std::string_view kClass = "c";        ///< class of jobs
inline constexpr std::string_view kTeam = "t";         ///< team
inline constexpr std::string_view kGang = "g";         ///< whether it is a gang
inline constexpr std::string_view kService = "v";      ///< whether it is a service; left out: no
inline constexpr std::string_view kPriority = "p";     ///< number of core::Priority
inline constexpr std::string_view kTasks = "n";        ///< number of tasks
inline constexpr std::string_view kResources = "u";    ///< [CPUs, GPUs, memory in GB]
inline constexpr std::string_view kImage = "i";        ///< image
inline constexpr std::string_view kImageGb = "s";      ///< its size
inline constexpr std::string_view kTypes = "y";        ///< allowed machine types; left out: any
inline constexpr std::string_view kZone = "z";         ///< the only zone; left out: any
inline constexpr std::string_view kOneZone = "o";      ///< all tasks in one zone
inline constexpr std::string_view kSpreadZones = "a";  ///< at most half of the tasks in one zone
inline constexpr std::string_view kSpot = "l";         ///< may use spot machines
inline constexpr std::string_view kDurationsS = "e";   ///< [estimate, checkpoint interval, save]
inline constexpr std::string_view kDeadlineS = "d";    ///< remaining out: none
inline constexpr std::string_view kSubmittedMs = "w";  ///< time of day
}  // namespace lichendrift::wire::stored::job

/// Fields of a placement record.
namespace lichendrift::wire::stored::placement {
inline constexpr std::string_view kTerm = "t";       ///< of the leader that wrote it
inline constexpr std::string_view kNonce = "n";      ///< tells an applied write from a lost one
inline constexpr std::string_view kPlaced = "p";     ///< list of [task, attempt, machine, session]
inline constexpr std::string_view kCompleted = "d";  ///< [first, last, first, last, ...]
}  // namespace lichendrift::wire::stored::placement

/// Fields of a terminal state.
namespace lichendrift::wire::stored::terminal {
inline constexpr std::string_view kState = "s";          ///< kAborted or kDone
inline constexpr std::string_view kJob = "j";            ///< description; left out: not needed
inline constexpr std::string_view kAborted = "aborted";  ///< value of kState: cancelled
inline constexpr std::string_view kDone = "done";        ///< value of kState: completed
}  // namespace lichendrift::wire::stored::terminal

/// Fields of the leader record.
namespace lichendrift::wire::stored::leader {
inline constexpr std::string_view kMember = "m";  ///< name of the leader
inline constexpr std::string_view kToken = "t";   ///< first fencing token of its term
}  // namespace lichendrift::wire::stored::leader

/// Fields of image hints.
namespace lichendrift::wire::stored::hints {
inline constexpr std::string_view kMachines = "m";  ///< list of [machine, image, ...]
}  // namespace lichendrift::wire::stored::hints

/// Fields of a duty's record.
namespace lichendrift::wire::stored::duty_record {
inline constexpr std::string_view kHolder = "m";  ///< name of the controller that holds it
inline constexpr std::string_view kEpoch = "e";   ///< epoch of the duty
inline constexpr std::string_view kNonce = "n";   ///< tells an applied write from a lost one
}  // namespace lichendrift::wire::stored::duty_record

/// Fields of an intent.
namespace lichendrift::wire::stored::intent {
inline constexpr std::string_view kEpoch = "e";     ///< epoch of the duty
inline constexpr std::string_view kNonce = "n";     ///< tells an applied write from a lost one
inline constexpr std::string_view kReleases = "b";  ///< names of machines; left out: none
inline constexpr std::string_view kProvisions =
    "r";  ///< list of [request, type, zone, spot, number]
}  // namespace lichendrift::wire::stored::intent
