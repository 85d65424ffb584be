#pragma once

/// The HTTP status codes that the protocols of users, workers, cloud and state service use.
namespace lichendrift::net::http_status {

inline constexpr int kOk = 200;                ///< carried out
inline constexpr int kCreated = 201;           ///< a job was accepted
inline constexpr int kBadRequest = 400;        ///< malformed, or certainly too large
inline constexpr int kNotFound = 404;          ///< no such path, job, key or lease
inline constexpr int kMethodNotAllowed = 405;  ///< the path takes another method
inline constexpr int kConflict = 409;          ///< a condition, a token or a session did not match
inline constexpr int kGone = 410;              ///< the state service has forgotten that revision
inline constexpr int kPayloadTooLarge = 413;   ///< the body is longer than the server takes
inline constexpr int kMisdirectedRequest = 421;  ///< the worker is to report to another controller
inline constexpr int kUnprocessable = 422;       ///< well-formed, and can never run
inline constexpr int kTooManyRequests = 429;     ///< beyond a rate limit; certainly not carried out
inline constexpr int kUnavailable = 503;         ///< not now; certainly not carried out

}  // namespace lichendrift::net::http_status
