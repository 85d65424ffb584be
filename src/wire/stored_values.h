// The values that the controllers keep in the state service, as JSON with the field names of
// stored_names.h. A parser returns nullopt for a damaged value; docs/design.md describes how its
// key is handled.
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

/// Encodes the value of an open job, which is its description.
[[nodiscard]] std::string job_value(const core::JobDescription& job);
/// Parses the value of the open job `id`.
[[nodiscard]] std::optional<core::JobDescription> parse_job_value(std::string_view id,
                                                                  std::string_view value);

/// Encodes a placement record.
[[nodiscard]] std::string placement_value(const core::PlacementRecord& record);
/// Parses a placement record.
[[nodiscard]] std::optional<core::PlacementRecord> parse_placement_value(std::string_view value);

/// How a job ended.
struct TerminalState {
    bool aborted = false;  ///< the job was cancelled; otherwise it completed
    std::optional<core::JobDescription>
        job;  ///< description, kept while tasks may still be on machines
};
/// Encodes a terminal state. `job`: the job's description; null: left out.
[[nodiscard]] std::string terminal_state_value(bool aborted, const core::JobDescription* job);
/// Encodes a terminal state with a description. If the value is longer than `max_bytes`, the
/// allowed machine types, the zone and the image are removed from the description, and then the
/// class if the value is still too long. The tasks' resources and the team always stay, because
/// tasks that are still on machines count against the team's quota.
[[nodiscard]] std::string terminal_state_value_within(bool aborted, const core::JobDescription& job,
                                                      std::size_t max_bytes);
/// Parses the terminal state of the job `id`. A damaged description is left out.
[[nodiscard]] std::optional<TerminalState> parse_terminal_state_value(std::string_view id,
                                                                      std::string_view value);

/// The leader and its term; the key is attached to the leader's lease.
struct LeaderRecord {
    std::string member;       ///< name of the leader
    std::uint64_t token = 0;  ///< first fencing token of its term
};
/// Encodes the leader record.
[[nodiscard]] std::string leader_value(const LeaderRecord& leader_record);
/// Parses the leader record.
[[nodiscard]] std::optional<LeaderRecord> parse_leader_value(std::string_view value);

/// Names of machines, each with the images that it probably has. Stored for the next leader.
using ImageHints = std::vector<std::pair<std::string, std::vector<std::string>>>;
/// Encodes as many of the first machines as fit in `max_bytes`.
[[nodiscard]] std::string image_hints_value(const ImageHints& hints, std::size_t max_bytes);
/// Parses image hints.
[[nodiscard]] std::optional<ImageHints> parse_image_hints_value(std::string_view value);

/// Encodes the record of a duty.
[[nodiscard]] std::string duty_value(const duty::DutyRecord& record);
/// Parses the record of a duty. A record with epoch 0 is damaged.
[[nodiscard]] std::optional<duty::DutyRecord> parse_duty_value(std::string_view value);
/// Encodes an intent.
[[nodiscard]] std::string intent_value(const duty::Intent& intent);
/// Parses an intent. A damaged one is marked as damaged and holds the entries that could be parsed.
[[nodiscard]] duty::StoredIntent parse_intent(const Item& item);

}  // namespace lichendrift::wire
