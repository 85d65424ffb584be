#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "core/types.h"

// What the controller needs of the world. The daemon gives it sockets and timers, the tests
// give it virtual time.
namespace lichendrift::net {

using core::Millis;

struct HttpRequest {
    std::string method;
    std::string target;
    std::string body;
    // Nothing of it leaves after this steady time, however long the process stood still before;
    // 0: no such bound.
    Millis not_after = 0;
};

struct HttpReply {
    int status = 0;  // 0: no answer
    std::string body;
    bool sent = true;  // with no answer: false if the request certainly never left
};

struct HttpResponse {
    int status = 200;
    std::string body;
    int retry_after_s = 0;
    bool close = false;
    bool cbor = false;
};

using Respond = std::function<void(HttpResponse)>;
using OnReply = std::function<void(HttpReply)>;
using TimerId = std::uint64_t;

class Runtime {
  public:
    virtual ~Runtime() = default;
    virtual Millis now() = 0;            // steady, as of the last wait
    virtual Millis read_clock() = 0;     // steady, read anew: for what depends on the grant
    virtual std::int64_t wall_ms() = 0;  // time of day
    virtual std::uint64_t random() = 0;
    // Calls back exactly once, at the deadline at the latest, never from inside call().
    virtual void call(const std::string& address, HttpRequest request, Millis deadline,
                      OnReply on_reply) = 0;
    // Who speaks in the log from now on.
    virtual void log_context(const std::string& /*text*/) {}
    virtual TimerId after(Millis delay, std::function<void()> fn) = 0;
    virtual void cancel(TimerId id) = 0;
};

}  // namespace lichendrift::net
