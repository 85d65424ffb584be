// The values that the controllers keep in the state service, as JSON with the short names of
// stored_names.h. A parser returns nothing for a value that is damaged; docs/design.md says what
// happens to its key.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/types.h"
#include "duty/duty.h"
#include "wire/state_messages.h"

namespace lichendrift::wire {

/// An open job: its description.
[[nodiscard]] std::string job_value(const core::JobDescription& job);
/// The description of the open job `id`.
[[nodiscard]] std::optional<core::JobDescription> parse_job_value(std::string_view id,
                                                                  std::string_view value);

/// A placement record.
[[nodiscard]] std::string placement_value(const core::PlacementRecord& record);
/// A placement record.
[[nodiscard]] std::optional<core::PlacementRecord> parse_placement_value(std::string_view value);

/// How a job ended.
struct TerminalState {
    bool aborted = false;  ///< cancelled; otherwise completed
    std::optional<core::JobDescription>
        job;  ///< description, kept while tasks may still be on machines
};
/// A terminal state. `job` may be null.
[[nodiscard]] std::string terminal_state_value(bool aborted, const core::JobDescription* job);
/// The same within a limit: a description that is too long is reduced to what its tasks take while
/// they are still on machines, without the lists of where they might run.
[[nodiscard]] std::string terminal_state_value_within(bool aborted, const core::JobDescription& job,
                                                      std::size_t max_bytes);
/// The terminal state of the job `id`. A damaged description is left out.
[[nodiscard]] std::optional<TerminalState> parse_terminal_state_value(std::string_view id,
                                                                      std::string_view value);

/// The leader and its term, under the leader's lease.
struct LeaderRecord {
    std::string member;       ///< name of the leader
    std::uint64_t token = 0;  ///< first fencing token of its term
};
/// The leader record.
[[nodiscard]] std::string leader_value(const LeaderRecord& leader_record);
/// The leader record.
[[nodiscard]] std::optional<LeaderRecord> parse_leader_value(std::string_view value);

/// Machines, each with the images that it probably has, for the next leader.
using ImageHints = std::vector<std::pair<std::string, std::vector<std::string>>>;
/// As many of the first machines as fit in `max_bytes`.
[[nodiscard]] std::string image_hints_value(const ImageHints& hints, std::size_t max_bytes);
/// Image hints.
[[nodiscard]] std::optional<ImageHints> parse_image_hints_value(std::string_view value);

/// The record of a duty.
[[nodiscard]] std::string duty_value(const duty::DutyRecord& record);
/// The record of a duty; its epoch is never 0.
[[nodiscard]] std::optional<duty::DutyRecord> parse_duty_value(std::string_view value);
/// An intent.
[[nodiscard]] std::string intent_value(const duty::Intent& intent);
/// An intent that was read: of a damaged one, marked as such, what can be made out.
[[nodiscard]] duty::StoredIntent parse_intent(const Item& item);

}  // namespace lichendrift::wire
