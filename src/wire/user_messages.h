// JSON messages of users: submissions and the answers to them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/types.h"
#include "wire/parse_error.h"

namespace lichendrift::wire {

/// Whether a text has the form of a job id, such as "job-000412".
[[nodiscard]] bool valid_job_id(std::string_view id);

/// The job that the body of a submission describes. Fields that are not known are ignored.
[[nodiscard]] Parsed<core::JobDescription> parse_submission(std::string_view body);

/// What a user is told about a submission with that error.
[[nodiscard]] std::string error_text(const ParseError& error);

/// Answer about a job in the state `state`, of the protocol's texts.
[[nodiscard]] std::string job_answer(std::string_view id, std::string_view state);
/// The same with the numbers of completed and running tasks.
[[nodiscard]] std::string job_answer(std::string_view id, std::string_view state,
                                     std::uint32_t done, std::uint32_t running);

/// Body of a refusal.
[[nodiscard]] std::string error_body(std::string_view reason);

}  // namespace lichendrift::wire
