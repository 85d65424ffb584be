// Connections of the HTTP server.
#include "net/http_server.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <array>
#include <optional>
#include <vector>

#include "net/http_parsers.h"
#include "net/http_status.h"

namespace lichendrift::net {

namespace {

constexpr Millis kMaxRequestTime = 10'000;  // for receiving a request
constexpr Millis kMaxIdleTime = 60'000;
constexpr Millis kMaxWriteTime = 15'000;
constexpr Millis kMaxDeferral = 1500;  // a deferred request that waited longer is refused with 503
constexpr Millis kSweepInterval = 2000;
constexpr std::size_t kMaxUnsentBytes = 1 << 20;
constexpr std::size_t kReadBufferBytes = 16'384;
constexpr int kMaxReadsPerIteration = 4;
constexpr int kMaxAcceptsPerIteration = 32;

const char* reason_phrase(int status) {
    switch (status) {
        case http_status::kOk:
            return "OK";
        case http_status::kCreated:
            return "Created";
        case http_status::kBadRequest:
            return "Bad Request";
        case http_status::kNotFound:
            return "Not Found";
        case http_status::kMethodNotAllowed:
            return "Method Not Allowed";
        case http_status::kPayloadTooLarge:
            return "Payload Too Large";
        case http_status::kMisdirectedRequest:
            return "Misdirected Request";
        case http_status::kUnprocessable:
            return "Unprocessable Entity";
        case http_status::kUnavailable:
            return "Service Unavailable";
        default:
            return "Status";
    }
}

std::string render_head(const HttpResponse& response, bool close) {
    std::string head =
        "HTTP/1.1 " + std::to_string(response.status) + " " + reason_phrase(response.status) +
        "\r\nContent-Type: " + (response.cbor ? "application/cbor" : "application/json") +
        "\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n";
    if (response.retry_after_s > 0) {
        head += "Retry-After: " + std::to_string(response.retry_after_s) + "\r\n";
    }
    if (close) head += "Connection: close\r\n";
    head += "\r\n";
    return head;
}

// An error response after which the connection is closed.
HttpResponse refusal(int status, std::string body) {
    return {.status = status,
            .body = std::move(body),
            .retry_after_s = 0,
            .close = true,
            .cbor = false};
}

}  // namespace

// One connection, with one request at a time. The server and the loop's handler own it while it is
// open.
class HttpServer::Connection : public std::enable_shared_from_this<Connection> {
  public:
    Connection(HttpServer& server, ConnectionId id, Fd descriptor)
        : server_(server),
          id_(id),
          socket_(server.loop_, std::move(descriptor), BufferedSocket::InitialState::Connected),
          parser_(server.limits_.max_body_bytes),
          phase_started_at_(server.loop_.now()) {}

    void open() {
        add_to_idle_users();
        socket_.watch(
            [self = shared_from_this()](std::uint32_t events) { self->on_events(events); });
    }
    void close() {
        if (!socket_.is_open()) return;
        remove_from_idle_users();
        socket_.close();
    }
    [[nodiscard]] bool is_overdue(Millis now) const {
        return !responding_ && now - phase_started_at_ > max_phase_time();
    }

  private:
    [[nodiscard]] Millis max_phase_time() const {
        if (socket_.unsent_bytes() > 0) return kMaxWriteTime;
        return parser_.in_request() || !had_request_ ? kMaxRequestTime : kMaxIdleTime;
    }

    // Only user connections are closed to free capacity: users can open a new one, but the tasks of
    // a worker depend on its connection.
    void add_to_idle_users() {
        if (is_worker_ || idle_position_) return;
        idle_position_ = server_.idle_users_.insert(server_.idle_users_.end(), id_);
    }
    void remove_from_idle_users() {
        if (!idle_position_) return;
        server_.idle_users_.erase(*idle_position_);
        idle_position_.reset();
    }

    void on_events(std::uint32_t events) {
        const auto keep = shared_from_this();
        if ((events & (EPOLLERR | EPOLLHUP)) != 0) return server_.close(id_);
        if ((events & EPOLLOUT) != 0) flush();
        if (socket_.is_open() && (events & EPOLLIN) != 0) read();
    }

    // ---- requests ----

    void read() {
        // No known client pipelines requests. The limit keeps one that does from exhausting memory.
        const auto max_received = server_.limits_.max_body_bytes + 2 * kMaxRequestHeaders;
        std::array<char, kReadBufferBytes> buffer;
        for (int reads = 0; reads < kMaxReadsPerIteration; ++reads) {
            std::size_t bytes = 0;
            const auto received = socket_.receive(buffer, bytes);
            if (received == BufferedSocket::ReceiveResult::Nothing) return;
            if (received != BufferedSocket::ReceiveResult::Data) return server_.close(id_);
            received_.append(buffer.data(), bytes);
            if (received_.size() > max_received) return server_.close(id_);
            parse_received();
            if (!socket_.is_open() || bytes < buffer.size()) return;
        }
    }

    void parse_received() {
        if (responding_ || received_.empty() || closing_) return;
        const bool was_in_request = parser_.in_request();
        std::size_t consumed = 0;
        const auto progress = parser_.parse(received_, consumed);
        if (!was_in_request && parser_.in_request()) on_request_started();
        switch (progress) {
            case RequestProgress::Incomplete:
                return received_.clear();
            case RequestProgress::Complete:
                received_.erase(0, consumed);
                return on_request(parser_.take_request());
            case RequestProgress::TooLarge:
                return refuse(
                    refusal(http_status::kPayloadTooLarge, R"({"error":"the body is too large"})"));
            case RequestProgress::Upgrade:
                return refuse(refusal(http_status::kBadRequest, R"({"error":"no upgrade here"})"));
            case RequestProgress::Malformed:
                return refuse(refusal(http_status::kBadRequest, R"({"error":"malformed HTTP"})"));
        }
    }

    void refuse(const HttpResponse& response) {
        closing_ = true;
        received_.clear();
        respond(response);
    }

    void on_request_started() {
        remove_from_idle_users();
        phase_started_at_ = server_.loop_.now();
    }

    void on_request(HttpRequest request) {
        had_request_ = true;
        responding_ = true;
        is_worker_ = request.target.starts_with("/agent/");
        if (server_.can_wait_ && server_.can_wait_(request)) return defer(std::move(request));
        server_.handle_(request, responder());
    }

    // Returns a function that responds to the current request. It does nothing if the connection is
    // closed or the request already has a response.
    Respond responder() {
        return [weak = weak_from_this(), number = ++request_number_](const HttpResponse& response) {
            const auto self = weak.lock();
            if (!self || !self->socket_.is_open()) return;
            if (!self->responding_ || self->request_number_ != number) return;
            self->respond(response);
        };
    }

    // All clients may reconnect at the same time. Leases depend on heartbeats, so heartbeats are
    // handled before user requests. A deferred request normally waits for a few loop iterations at
    // most; one that waited for longer than kMaxDeferral is refused.
    void defer(HttpRequest request) {
        server_.loop_.defer([weak = weak_from_this(), request = std::move(request),
                             respond = responder(), started_at = phase_started_at_] {
            const auto self = weak.lock();
            if (!self || !self->socket_.is_open()) return;
            if (self->server_.loop_.now() - started_at > kMaxDeferral) {
                return respond({.status = http_status::kUnavailable,
                                .body = R"({"error":"too much at once"})",
                                .retry_after_s = 1,
                                .close = false,
                                .cbor = false});
            }
            self->server_.handle_(request, respond);
        });
    }

    // ---- responses ----

    void respond(const HttpResponse& response) {
        responding_ = false;
        phase_started_at_ = server_.loop_.now();
        if (response.close || !parser_.keep_alive()) closing_ = true;
        socket_.write(render_head(response, closing_));
        socket_.write(response.body);
        flush();
        if (!socket_.is_open() || received_.empty()) return;
        // Parses the next request from a timer, because a recursive call for each of a series of
        // buffered requests would grow the stack.
        server_.loop_.after(0, [self = shared_from_this()] {
            if (self->socket_.is_open()) self->parse_received();
        });
    }

    void flush() {
        if (socket_.flush().failed) return server_.close(id_);
        const auto unsent = socket_.unsent_bytes();
        if (unsent > kMaxUnsentBytes) return server_.close(id_);
        if (unsent == 0 && closing_) return server_.close(id_);
        if (unsent == 0 && !responding_ && !parser_.in_request()) add_to_idle_users();
        socket_.wait_for_events();
    }

    HttpServer& server_;
    ConnectionId id_;
    BufferedSocket socket_;
    RequestParser parser_;
    std::string received_;              // received and not parsed yet
    std::uint64_t request_number_ = 0;  // number of the current or last request
    Millis phase_started_at_;           // start of the current phase: idle, receiving or sending
    bool had_request_ = false;
    bool responding_ = false;  // whether a request is being handled
    bool closing_ = false;     // whether to close the connection once all data is sent
    bool is_worker_ = false;
    std::optional<std::list<ConnectionId>::iterator> idle_position_;
};

HttpServer::HttpServer(EventLoop& loop, SocketBudget& budget, Limits limits, Handler handle,
                       CanWait can_wait)
    : loop_(loop),
      budget_(budget),
      limits_(limits),
      handle_(std::move(handle)),
      can_wait_(std::move(can_wait)) {}

HttpServer::~HttpServer() {
    for (auto& [id, connection] : connections_) connection->close();
}

tl::expected<void, std::string> HttpServer::listen(const std::string& address) {
    auto listener = listen_on(address, limits_.max_connections);
    if (!listener) return tl::unexpected(std::move(listener.error()));
    listener_ = std::move(*listener);
    ++budget_.open;
    loop_.add(listener_.get(), EPOLLIN, [this](std::uint32_t) { accept_all(); });
    schedule_sweep();
    return {};
}

void HttpServer::accept_all() {
    for (int accepts = 0; accepts < kMaxAcceptsPerIteration; ++accepts) {
        Fd descriptor(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!descriptor.valid()) return;
        // The rest of the socket budget is reserved for this controller's own requests to the state
        // service, the cloud, workers and peers.
        if (connections_.size() >= limits_.max_connections && !close_idle_user()) continue;
        send_without_delay(descriptor);
        const auto id = ++last_id_;
        auto connection = std::make_shared<Connection>(*this, id, std::move(descriptor));
        connections_.emplace(id, connection);
        ++budget_.open;
        connection->open();
    }
}

bool HttpServer::close_idle_user() {
    if (idle_users_.empty()) return false;
    close(idle_users_.front());
    return true;
}

void HttpServer::close(ConnectionId id) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) return;
    const auto connection = std::move(it->second);
    connections_.erase(it);
    connection->close();
    --budget_.open;
}

void HttpServer::schedule_sweep() {
    loop_.after(kSweepInterval, callbacks_.bind([this] { close_overdue(); }));
}

void HttpServer::close_overdue() {
    std::vector<ConnectionId> overdue;
    for (const auto& [id, connection] : connections_) {
        if (connection->is_overdue(loop_.now())) overdue.push_back(id);
    }
    for (const auto id : overdue) close(id);
    schedule_sweep();
}

}  // namespace lichendrift::net
