#pragma once

#include <list>
#include <memory>
#include <unordered_map>
#include <vector>

#include "net/event_loop.h"
#include "net/http_server.h"
#include "net/runtime.h"

namespace lichendrift::net {

// HTTP/1.1 client with kept connections: one request at a time on each, a deadline for every
// request. A connection whose request was given up is closed, never used again.
class HttpClient {
  public:
    HttpClient(EventLoop& loop, SocketBudget& budget);
    ~HttpClient();
    void call(const std::string& address, const HttpRequest& request, Millis deadline,
              OnReply on_reply);

  private:
    class Connection;
    using Idle = std::list<std::shared_ptr<Connection>>;
    struct Pool {
        std::vector<Idle::iterator> idle;  // the one used last at the end
        std::size_t open = 0;
    };
    void park(const std::shared_ptr<Connection>& connection);
    std::shared_ptr<Connection> unpark(Idle::iterator at);
    bool make_room();
    void fail_soon(OnReply on_reply);
    void closed(const std::string& address);
    void sweep();

    EventLoop& loop_;
    SocketBudget& budget_;
    std::unordered_map<std::string, Pool> pools_;
    Idle idle_;  // of all addresses, the one unused for longest first
};

}  // namespace lichendrift::net
