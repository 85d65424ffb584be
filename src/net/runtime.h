#pragma once

// What a controller needs of its environment: time, timers, random numbers and requests. The
// daemon implements it with an event loop and sockets, the tests with virtual time.

#include <cstdint>
#include <functional>
#include <string>

#include "core/types.h"
#include "net/http_status.h"
#include "net/timer.h"

namespace lichendrift::net {

using core::Millis;

/// A request, as a client sends it and as a server receives it.
struct HttpRequest {
    std::string method;  ///< "GET", ...
    std::string target;  ///< path and query
    std::string body;    ///< empty: none
    /// Steady time after which no byte of the request leaves, however long the process stood still
    /// before; 0: no such bound. Clients only.
    Millis not_after = 0;
};

/// How a request of a client ended.
struct HttpReply {
    int status = 0;    ///< HTTP status; 0: no reply
    std::string body;  ///< of the reply
    bool sent = true;  ///< with status 0: false if certainly no byte of the request has left
};

/// The response of a server to a request.
struct HttpResponse {
    int status = http_status::kOk;  ///< HTTP status (net/http_status.h)
    std::string body;               ///< JSON, or CBOR with `cbor`; may be empty
    int retry_after_s = 0;          ///< value of the header field Retry-After, seconds; 0: left out
    bool close = false;             ///< whether the connection is closed afterwards
    bool cbor = false;              ///< whether the content type is application/cbor
};

/// Sends the response to a request.
using Respond = std::function<void(HttpResponse)>;
/// Receives how a request ended.
using OnReply = std::function<void(HttpReply)>;

/// The environment of a controller. Loop thread only.
class Runtime {
  public:
    virtual ~Runtime() = default;

    /// Steady time, as of the last wait of the loop.
    virtual Millis now() = 0;
    /// Steady time, read anew: for what must not outlast a lease.
    virtual Millis read_clock() = 0;
    /// Time of day, milliseconds since 1970 (UTC).
    virtual std::int64_t wall_ms() = 0;
    /// 64 random bits.
    virtual std::uint64_t random() = 0;

    /// Sends a request to "IP:port". `on_reply` is called exactly once, after `timeout` at the
    /// latest and never from inside this call.
    virtual void call(const std::string& address, HttpRequest request, Millis timeout,
                      OnReply on_reply) = 0;

    /// Calls `callback` once after `delay`, never from inside this call.
    virtual TimerId after(Millis delay, std::function<void()> callback) = 0;
    /// Cancels a timer; does nothing if it has fired or was cancelled.
    virtual void cancel(TimerId id) = 0;

    /// Sets what every following log line begins with, after time and level.
    virtual void log_context(const std::string& /*context*/) {}
};

}  // namespace lichendrift::net
