#pragma once

#include <list>
#include <memory>
#include <unordered_map>

#include "net/event_loop.h"
#include "net/runtime.h"

namespace lichendrift::net {

// Counts the sockets of the whole process against the machine's limit.
struct SocketBudget {
    std::size_t open = 0;
    std::size_t max_sockets = 1000;
};

// "10.0.0.1:8080" as a bound, listening or connecting socket; invalid when that fails.
Fd listen_on(const std::string& address, std::size_t backlog, std::string& error);
Fd connect_to(const std::string& address);

class HttpServer {
  public:
    using Handle = std::function<void(const HttpRequest&, Respond)>;
    using CanWait = std::function<bool(const HttpRequest&)>;

    // What `can_wait` is handled after all that can't and is there already.
    HttpServer(EventLoop& loop, SocketBudget& budget, std::size_t max_body,
               std::size_t max_connections, Handle handle, CanWait can_wait = {});
    ~HttpServer();
    bool listen(const std::string& address, std::string& error);

  private:
    class Connection;
    void accept_all();
    void sweep();
    bool evict_idle();
    void close(std::uint64_t id);

    EventLoop& loop_;
    SocketBudget& budget_;
    std::size_t max_body_;
    std::size_t max_connections_;
    Handle handle_;
    CanWait can_wait_;
    Fd listener_;
    std::uint64_t next_id_ = 0;
    std::unordered_map<std::uint64_t, std::shared_ptr<Connection>> connections_;
    std::list<std::uint64_t> idle_users_;  // the one idle for longest first
};

}  // namespace lichendrift::net
