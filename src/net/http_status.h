#pragma once

/// HTTP status codes used by the protocols of users, workers, cloud and state service.
namespace lichendrift::net::http_status {

inline constexpr int kOk = 200;                  ///< executed
inline constexpr int kCreated = 201;             ///< a job was accepted
inline constexpr int kBadRequest = 400;          ///< malformed, or certainly too large
inline constexpr int kNotFound = 404;            ///< unknown path, job, key or lease
inline constexpr int kMethodNotAllowed = 405;    ///< the path does not support the method
inline constexpr int kConflict = 409;            ///< a condition, token or session did not match
inline constexpr int kGone = 410;                ///< the state service no longer has the revision
inline constexpr int kPayloadTooLarge = 413;     ///< the body exceeds the server's limit
inline constexpr int kMisdirectedRequest = 421;  ///< the worker must report to another controller
inline constexpr int kUnprocessable = 422;       ///< a well-formed job that could never run
inline constexpr int kTooManyRequests = 429;     ///< rate limit exceeded; certainly not executed
inline constexpr int kUnavailable = 503;         ///< temporary refusal; certainly not executed

}  // namespace lichendrift::net::http_status
