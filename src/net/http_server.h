#pragma once

// The HTTP server of the process.

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>

#include "net/callback_scope.h"
#include "net/event_loop.h"
#include "net/runtime.h"
#include "net/socket.h"

namespace lichendrift::net {

/// HTTP/1.1 server with bounds on connections, times and sizes. Loop thread only.
class HttpServer {
  public:
    /// Handles a request. `respond` is called at most once, at once or later; it does nothing when
    /// the connection has gone.
    using Handler = std::function<void(const HttpRequest&, Respond respond)>;
    /// Whether a request may wait until all requests that may not are handled.
    using CanWait = std::function<bool(const HttpRequest&)>;
    /// Bounds of one server.
    struct Limits {
        std::size_t max_body_bytes = 0;   ///< of a request; a longer one is refused with 413
        std::size_t max_connections = 0;  ///< at once; the user idle for longest makes way
    };

    /// `loop` and `budget` must outlive the server, and the server the last turn of the loop.
    /// Without `can_wait` no request waits.
    HttpServer(EventLoop& loop, SocketBudget& budget, Limits limits, Handler handle,
               CanWait can_wait = {});
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;
    ~HttpServer();

    /// Begins to serve on "IP:port", or says why that is not possible. Call it until it succeeds.
    tl::expected<void, std::string> listen(const std::string& address);

  private:
    class Connection;
    using ConnectionId = std::uint64_t;
    void accept_all();
    bool close_idle_user();
    void close(ConnectionId id);
    void close_overdue();
    void schedule_sweep();

    EventLoop& loop_;
    SocketBudget& budget_;
    Limits limits_;
    Handler handle_;
    CanWait can_wait_;
    Fd listener_;
    ConnectionId last_id_ = 0;
    std::unordered_map<ConnectionId, std::shared_ptr<Connection>> connections_;
    std::list<ConnectionId> idle_users_;  // the one idle for longest first
    CallbackScope callbacks_;
};

}  // namespace lichendrift::net
