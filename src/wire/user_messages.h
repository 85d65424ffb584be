// JSON messages exchanged with users: submissions and answers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/types.h"
#include "wire/parse_error.h"

namespace lichendrift::wire {

/// Whether `id` has the form of a job id, such as "job-000412".
[[nodiscard]] bool valid_job_id(std::string_view id);

/// Parses the job description in the body of a submission. Unknown fields are ignored.
[[nodiscard]] Parsed<core::JobDescription> parse_submission(std::string_view body);

/// The message to the user for an error in a submission.
[[nodiscard]] std::string error_text(const ParseError& error);

/// Body of an answer about a job. `state`: the protocol's text for the state of the job.
[[nodiscard]] std::string job_state_body(std::string_view id, std::string_view state);
/// Body of an answer about a job, with the numbers of completed (`done`) and running tasks.
[[nodiscard]] std::string job_state_body(std::string_view id, std::string_view state,
                                         std::uint32_t done, std::uint32_t running);

/// Body of an answer that refuses a request.
[[nodiscard]] std::string error_body(std::string_view reason);

}  // namespace lichendrift::wire
