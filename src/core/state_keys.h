#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// Keys of the state service. They are part of the stored format: controllers of other versions
/// read and write them too. The keys of the duties and intents are in duty/duty.h.
namespace lichendrift::core::keys {

/// The leader record. It names the leader and its fencing token, and is attached to the leader's
/// lease: it disappears when that lease ends.
inline constexpr std::string_view kLeader = "leader";
/// Prefix of the open jobs, each under its id.
inline constexpr std::string_view kOpenJobs = "open/";
/// Prefix of the terminal states of jobs, each under the job's id.
inline constexpr std::string_view kTerminalStates = "over/";
/// Prefix of the placement records: job id, '/', number of the record within the job.
inline constexpr std::string_view kPlacementRecords = "place/";
/// Prefix of the image hints, which say what images each machine has; each part under its number.
inline constexpr std::string_view kImageHints = "images/";

/// Key of an open job.
[[nodiscard]] inline std::string open_job(std::string_view job_id) {
    return std::string(kOpenJobs).append(job_id);
}

/// Key of a job's terminal state.
[[nodiscard]] inline std::string terminal_state(std::string_view job_id) {
    return std::string(kTerminalStates).append(job_id);
}

/// Key of one placement record of a job.
[[nodiscard]] inline std::string placement_record(std::string_view job_id,
                                                  std::uint32_t record_number) {
    return std::string(kPlacementRecords)
        .append(job_id)
        .append("/")
        .append(std::to_string(record_number));
}

/// Key of one part of the image hints.
[[nodiscard]] inline std::string image_hints(std::size_t part) {
    return std::string(kImageHints).append(std::to_string(part));
}

}  // namespace lichendrift::core::keys
