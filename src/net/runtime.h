#pragma once

// Interface of a controller to its environment: time, timers, random numbers and HTTP requests.
// The daemon implements it with an event loop and sockets, tests with virtual time.

#include <cstdint>
#include <functional>
#include <string>

#include "core/types.h"
#include "net/http_status.h"
#include "net/timer.h"

namespace lichendrift::net {

using core::Millis;

/// An HTTP request, as sent by a client or received by a server.
struct HttpRequest {
    std::string method;  ///< "GET", ...
    std::string target;  ///< path and query
    std::string body;    ///< may be empty
    /// Steady time after which sending the request must not begin, even if the process was paused
    /// before; 0: no bound. Used by clients only.
    Millis not_after = 0;
};

/// The result of a client's request.
struct HttpReply {
    int status = 0;    ///< HTTP status; 0: no reply
    std::string body;  ///< body of the reply
    bool sent = true;  ///< if status is 0: false if certainly no byte was sent
};

/// A server's response to a request.
struct HttpResponse {
    int status = http_status::kOk;  ///< HTTP status (net/http_status.h)
    std::string body;               ///< JSON, or CBOR with `cbor`; may be empty
    int retry_after_s = 0;          ///< value of the Retry-After header, seconds; 0: no such header
    bool close = false;             ///< whether to close the connection afterwards
    bool cbor = false;              ///< whether the content type is application/cbor
};

/// Sends the response to a request.
using Respond = std::function<void(HttpResponse)>;
/// Receives the result of a client's request.
using OnReply = std::function<void(HttpReply)>;

/// Environment of a controller. Loop thread only.
class Runtime {
  public:
    virtual ~Runtime() = default;

    /// Steady time, cached at the loop's last wait for events.
    virtual Millis now() = 0;
    /// Steady time, read from the clock. Use it to check that a lease is still valid: the process
    /// may have been paused since `now` was cached.
    virtual Millis read_clock() = 0;
    /// Wall-clock time, milliseconds since 1970 (UTC).
    virtual std::int64_t wall_ms() = 0;
    /// 64 random bits.
    virtual std::uint64_t random() = 0;

    /// Sends a request to `address` ("IP:port"). `on_reply` is called exactly once, at the latest
    /// after `timeout`, and never from inside this call.
    virtual void call(const std::string& address, HttpRequest request, Millis timeout,
                      OnReply on_reply) = 0;

    /// Calls `callback` once after `delay`, never from inside this call.
    virtual TimerId after(Millis delay, std::function<void()> callback) = 0;
    /// Cancels a timer; does nothing if it has fired or was cancelled.
    virtual void cancel(TimerId id) = 0;

    /// Sets the prefix of all further log lines, which follows time and level.
    virtual void log_context(const std::string& /*context*/) {}
};

}  // namespace lichendrift::net
