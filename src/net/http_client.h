#pragma once

// HTTP client with persistent connections.

#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/callback_scope.h"
#include "net/event_loop.h"
#include "net/runtime.h"
#include "net/socket.h"

namespace lichendrift::net {

/// HTTP/1.1 client with a pool of persistent connections. A connection carries one request at a
/// time, without pipelining; after a request has timed out or failed, its connection is closed and
/// not reused. Loop thread only.
class HttpClient {
  public:
    /// `loop` and `budget` must outlive the client, and the client must outlive the last iteration
    /// of the loop.
    HttpClient(EventLoop& loop, SocketBudget& budget);
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;
    ~HttpClient();

    /// Sends a request to `address` ("IP:port"). `on_reply` is called exactly once and never from
    /// inside this call: with the reply, or with status 0 after `timeout` or as soon as the
    /// connection fails.
    void call(const std::string& address, const HttpRequest& request, Millis timeout,
              OnReply on_reply);

  private:
    class Connection;
    using IdleList = std::list<std::shared_ptr<Connection>>;
    // The connections to one address.
    struct Pool {
        std::vector<IdleList::iterator> idle;  // the most recently used one last
        std::size_t open = 0;
    };
    void add_idle(const std::shared_ptr<Connection>& connection);
    std::shared_ptr<Connection> take_idle(IdleList::iterator position);
    bool has_idle_capacity(const std::string& address) const;
    bool make_room();
    void reply_unsent(OnReply on_reply);
    void on_closed(const std::string& address);
    void close_expired_idle();
    void schedule_sweep();

    EventLoop& loop_;
    SocketBudget& budget_;
    std::unordered_map<std::string, Pool> pools_;
    IdleList idle_;  // of all addresses, the least recently used first
    CallbackScope callbacks_;
};

}  // namespace lichendrift::net
