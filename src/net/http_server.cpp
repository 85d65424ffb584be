#include "net/http_server.h"

#include <arpa/inet.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <optional>
#include <system_error>

namespace lichendrift::net {

namespace {

constexpr Millis kRequestTime = 10000;  // a request that takes longer to arrive is given up
constexpr Millis kIdleTime = 60000;
constexpr Millis kWriteTime = 15000;
constexpr Millis kLongestWait = 1500;  // for its turn; later the asker is told to come again
constexpr int kMaxBacklog = 4096;
constexpr std::size_t kMaxTarget = 2048;
constexpr std::size_t kMaxHeader = 8192;
constexpr std::size_t kMaxUnsent = 1 << 20;

bool parse_address(const std::string& address, sockaddr_in& out) {
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) return false;
    std::uint16_t port = 0;
    const char* end = address.data() + address.size();
    if (std::from_chars(address.data() + colon + 1, end, port).ptr != end) return false;
    out = {};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    return ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr) == 1;
}

void no_delay(int fd) {
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

const char* reason(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 201:
            return "Created";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 413:
            return "Payload Too Large";
        case 421:
            return "Misdirected Request";
        case 422:
            return "Unprocessable Entity";
        case 503:
            return "Service Unavailable";
        default:
            return "Status";
    }
}

}  // namespace

Fd listen_on(const std::string& address, std::size_t backlog, std::string& error) {
    sockaddr_in addr{};
    if (!parse_address(address, addr)) {
        error = "not an address: " + address;
        return Fd();
    }
    Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int one = 1;
    ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (!fd.valid() || ::bind(fd.get(), reinterpret_cast<sockaddr*>(&addr), sizeof addr) != 0 ||
        ::listen(fd.get(), static_cast<int>(std::min<std::size_t>(backlog, kMaxBacklog))) != 0) {
        error = address + ": " + std::generic_category().message(errno);
        return Fd();
    }
    return fd;
}

Fd connect_to(const std::string& address) {
    sockaddr_in addr{};
    if (!parse_address(address, addr)) return Fd();
    Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!fd.valid()) return Fd();
    no_delay(fd.get());
    if (::connect(fd.get(), reinterpret_cast<sockaddr*>(&addr), sizeof addr) != 0 &&
        errno != EINPROGRESS) {
        return Fd();
    }
    return fd;
}

class HttpServer::Connection : public std::enable_shared_from_this<Connection> {
  public:
    Connection(HttpServer& server, std::uint64_t id, Fd fd)
        : server_(server), id_(id), fd_(std::move(fd)) {
        http_parser_init(&parser_, HTTP_REQUEST);
        parser_.data = this;
        since_ = server_.loop_.now();
    }

    void open() {
        park();
        server_.loop_.add(fd_.get(), EPOLLIN, [self = shared_from_this()](std::uint32_t events) {
            self->on_events(events);
        });
    }
    void shut() {
        if (!fd_.valid()) return;
        unpark();
        server_.loop_.remove(fd_.get());
        fd_.reset();
    }
    [[nodiscard]] bool overdue(Millis now) const {
        if (busy_) return false;
        const auto limit = !out_.empty()           ? kWriteTime
                           : in_message_ || fresh_ ? kRequestTime
                                                   : kIdleTime;
        return now - since_ > limit;
    }

  private:
    static Connection& self(http_parser* p) { return *static_cast<Connection*>(p->data); }

    // Users come back on a new connection; workers keep theirs, whose tasks hang on them.
    void park() {
        if (worker_ || idle_at_) return;
        idle_at_ = server_.idle_users_.insert(server_.idle_users_.end(), id_);
    }
    void unpark() {
        if (!idle_at_) return;
        server_.idle_users_.erase(*idle_at_);
        idle_at_.reset();
    }

    static const http_parser_settings& callbacks() {
        static const http_parser_settings settings = [] {
            http_parser_settings s{};
            http_parser_settings_init(&s);
            s.on_message_begin = [](http_parser* p) {
                auto& c = self(p);
                c.request_ = {};
                c.header_bytes_ = 0;
                c.in_message_ = true;
                c.unpark();
                c.since_ = c.server_.loop_.now();
                return 0;
            };
            s.on_url = [](http_parser* p, const char* at, std::size_t n) {
                auto& c = self(p);
                c.request_.target.append(at, n);
                return c.request_.target.size() > kMaxTarget ? 1 : 0;
            };
            const auto header = [](http_parser* p, const char*, std::size_t n) {
                auto& c = self(p);
                c.header_bytes_ += n;
                return c.header_bytes_ > kMaxHeader ? 1 : 0;
            };
            s.on_header_field = header;
            s.on_header_value = header;
            s.on_headers_complete = [](http_parser* p) {
                auto& c = self(p);
                if (p->content_length != ULLONG_MAX && p->content_length > c.server_.max_body_) {
                    c.too_large_ = true;
                    return -1;
                }
                return 0;
            };
            s.on_body = [](http_parser* p, const char* at, std::size_t n) {
                auto& c = self(p);
                if (c.request_.body.size() + n > c.server_.max_body_) {
                    c.too_large_ = true;
                    return 1;
                }
                c.request_.body.append(at, n);
                return 0;
            };
            s.on_message_complete = [](http_parser* p) {
                auto& c = self(p);
                c.request_.method = http_method_str(static_cast<http_method>(p->method));
                c.keep_alive_ = http_should_keep_alive(p) != 0;
                c.complete_ = true;
                http_parser_pause(p, 1);
                return 0;
            };
            return s;
        }();
        return settings;
    }

    void on_events(std::uint32_t events) {
        const auto keep = shared_from_this();
        if ((events & (EPOLLERR | EPOLLHUP)) != 0) return server_.close(id_);
        if ((events & EPOLLOUT) != 0) flush();
        if (fd_.valid() && (events & EPOLLIN) != 0) read();
    }

    void read() {
        std::array<char, 16384> buffer;
        for (int rounds = 0; rounds < 4; ++rounds) {
            const auto n = ::recv(fd_.get(), buffer.data(), buffer.size(), 0);
            if (n == 0) return server_.close(id_);
            if (n < 0) {
                if (errno != EAGAIN && errno != EINTR) server_.close(id_);
                return;
            }
            in_.append(buffer.data(), static_cast<std::size_t>(n));
            // Nobody pipelines; who does anyway may not fill our memory.
            if (in_.size() > server_.max_body_ + 2 * kMaxHeader) return server_.close(id_);
            parse();
            if (!fd_.valid() || n < static_cast<ssize_t>(buffer.size())) return;
        }
    }

    void parse() {
        if (busy_ || in_.empty() || closing_) return;
        const auto n = http_parser_execute(&parser_, &callbacks(), in_.data(), in_.size());
        const auto error = HTTP_PARSER_ERRNO(&parser_);
        if (too_large_) {
            return refuse({413, R"({"error":"the body is too large"})", 0, true});
        }
        if (complete_) {
            in_.erase(0, n);
            complete_ = false;
            http_parser_pause(&parser_, 0);
            if (parser_.upgrade != 0) {
                return refuse({400, R"({"error":"no upgrade here"})", 0, true});
            }
            dispatch();
            return;
        }
        if (error != HPE_OK) return refuse({400, R"({"error":"malformed HTTP"})", 0, true});
        in_.clear();
    }

    void refuse(const HttpResponse& response) {
        closing_ = true;
        in_.clear();
        send(response);
    }

    void dispatch() {
        in_message_ = false;
        fresh_ = false;
        busy_ = true;
        worker_ = request_.target.starts_with("/agent/");
        const auto number = ++number_;
        std::weak_ptr<Connection> weak = weak_from_this();
        auto request = std::move(request_);
        Respond respond = [weak, number](const HttpResponse& response) {
            auto c = weak.lock();
            // The peer may have gone, or been answered already.
            if (!c || !c->fd_.valid() || !c->busy_ || c->number_ != number) return;
            c->send(response);
        };
        if (!server_.can_wait_ || !server_.can_wait_(request)) {
            return server_.handle_(request, std::move(respond));
        }
        // Everybody may be back at once: leases hang on reports, so users wait for these. Nothing
        // is put off for longer than a turn or a few; what was is answered at once.
        server_.loop_.later(
            [weak, request = std::move(request), respond = std::move(respond), since = since_] {
                auto c = weak.lock();
                if (!c || !c->fd_.valid()) return;
                if (c->server_.loop_.now() - since > kLongestWait) {
                    return respond({503, R"({"error":"too much at once"})", 1});
                }
                c->server_.handle_(request, respond);
            });
    }

    void send(const HttpResponse& response) {
        busy_ = false;
        since_ = server_.loop_.now();
        if (response.close || !keep_alive_) closing_ = true;
        out_ += "HTTP/1.1 " + std::to_string(response.status) + " " + reason(response.status) +
                "\r\nContent-Type: " + (response.cbor ? "application/cbor" : "application/json") +
                "\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n";
        if (response.retry_after_s > 0) {
            out_ += "Retry-After: " + std::to_string(response.retry_after_s) + "\r\n";
        }
        if (closing_) out_ += "Connection: close\r\n";
        out_ += "\r\n";
        out_ += response.body;
        flush();
        if (fd_.valid() && !in_.empty()) {
            // Not from inside the answer: a chain of requests must not deepen the stack.
            server_.loop_.after(0, [self = shared_from_this()] {
                if (self->fd_.valid()) self->parse();
            });
        }
    }

    void flush() {
        while (!out_.empty()) {
            const auto n = ::send(fd_.get(), out_.data(), out_.size(), MSG_NOSIGNAL);
            if (n < 0) {
                if (errno == EAGAIN || errno == EINTR) break;
                return server_.close(id_);
            }
            out_.erase(0, static_cast<std::size_t>(n));
        }
        if (out_.size() > kMaxUnsent) return server_.close(id_);
        if (out_.empty() && closing_) return server_.close(id_);
        if (out_.empty() && !busy_ && !in_message_) park();
        const bool want = !out_.empty();
        if (want != writing_) {
            writing_ = want;
            server_.loop_.modify(fd_.get(), want ? EPOLLIN | EPOLLOUT : EPOLLIN);
        }
    }

    HttpServer& server_;
    std::uint64_t id_;
    Fd fd_;
    http_parser parser_{};
    HttpRequest request_;
    std::string in_;
    std::string out_;
    std::size_t header_bytes_ = 0;
    std::uint64_t number_ = 0;
    Millis since_ = 0;
    bool in_message_ = false;
    bool fresh_ = true;
    bool busy_ = false;
    bool complete_ = false;
    bool keep_alive_ = true;
    bool closing_ = false;
    bool too_large_ = false;
    bool writing_ = false;
    bool worker_ = false;
    std::optional<std::list<std::uint64_t>::iterator> idle_at_;
};

HttpServer::HttpServer(EventLoop& loop, SocketBudget& budget, std::size_t max_body,
                       std::size_t max_connections, Handle handle, CanWait can_wait)
    : loop_(loop),
      budget_(budget),
      max_body_(max_body),
      max_connections_(max_connections),
      handle_(std::move(handle)),
      can_wait_(std::move(can_wait)) {}

HttpServer::~HttpServer() {
    for (auto& [id, connection] : connections_) connection->shut();
}

bool HttpServer::listen(const std::string& address, std::string& error) {
    listener_ = listen_on(address, max_connections_, error);
    if (!listener_.valid()) return false;
    ++budget_.open;
    loop_.add(listener_.get(), EPOLLIN, [this](std::uint32_t) { accept_all(); });
    loop_.after(2000, [this] { sweep(); });
    return true;
}

void HttpServer::accept_all() {
    for (int rounds = 0; rounds < 32; ++rounds) {
        Fd fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!fd.valid()) return;
        // The rest of the limit is kept for our own calls to state, cloud, workers, peers.
        if (connections_.size() >= max_connections_ && !evict_idle()) continue;
        no_delay(fd.get());
        const auto id = ++next_id_;
        auto connection = std::make_shared<Connection>(*this, id, std::move(fd));
        connections_.emplace(id, connection);
        ++budget_.open;
        connection->open();
    }
}

bool HttpServer::evict_idle() {
    if (idle_users_.empty()) return false;
    close(idle_users_.front());
    return true;
}

void HttpServer::sweep() {
    std::vector<std::uint64_t> late;
    for (auto& [id, c] : connections_) {
        if (c->overdue(loop_.now())) late.push_back(id);
    }
    for (auto id : late) close(id);
    loop_.after(2000, [this] { sweep(); });
}

void HttpServer::close(std::uint64_t id) {
    auto it = connections_.find(id);
    if (it == connections_.end()) return;
    auto connection = std::move(it->second);
    connections_.erase(it);
    connection->shut();
    --budget_.open;
}

}  // namespace lichendrift::net
