#pragma once

// HTTP server with limits on connections, times and sizes.

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

/// HTTP/1.1 server that handles one request at a time per connection. Loop thread only.
class HttpServer {
  public:
    /// Handles a request. It calls `respond` at most once, immediately or later; `respond` does
    /// nothing if the connection is closed by then.
    using Handler = std::function<void(const HttpRequest&, Respond respond)>;
    /// Returns whether a request has low priority and may wait until all others are handled.
    using CanWait = std::function<bool(const HttpRequest&)>;
    /// Limits of one server.
    struct Limits {
        std::size_t max_body_bytes = 0;   ///< of a request; a longer body is refused with 413
        std::size_t max_connections = 0;  ///< a further one closes an idle user's or is refused
    };

    /// `loop` and `budget` must outlive the server, and the server must outlive the last iteration
    /// of the loop. Without `can_wait`, every request is handled immediately.
    HttpServer(EventLoop& loop, SocketBudget& budget, Limits limits, Handler handle,
               CanWait can_wait = {});
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;
    ~HttpServer();

    /// Starts serving on `address` ("IP:port"); on failure returns the reason as text and may be
    /// called again. Must not be called after it has succeeded.
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
    std::list<ConnectionId> idle_users_;  // the longest idle connection first
    CallbackScope callbacks_;
};

}  // namespace lichendrift::net
