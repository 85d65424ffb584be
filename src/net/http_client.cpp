// Connections of the HTTP client and the pool of idle connections.
#include "net/http_client.h"

#include <sys/epoll.h>

#include <array>
#include <optional>
#include <span>

#include "net/http_parsers.h"

namespace lichendrift::net {

namespace {

constexpr std::size_t kMaxOpenPerAddress = 48;
constexpr std::size_t kMaxIdlePerAddress = 6;
constexpr std::size_t kReservedSockets = 8;  // left free for other sockets of the process
constexpr Millis kMaxIdleTime = 20'000;
constexpr Millis kSweepInterval = 5000;
constexpr std::size_t kReadBufferBytes = 16'384;

std::string render(const HttpRequest& request, const std::string& host) {
    std::string text =
        request.method + " " + request.target + " HTTP/1.1\r\nHost: " + host + "\r\n";
    if (!request.body.empty()) text += "Content-Type: application/json\r\n";
    if (request.method != "GET") {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    text += "\r\n";
    text += request.body;
    return text;
}

}  // namespace

// One connection: connecting, idle or in use by one request. The loop's handler owns it while it is
// open, and the client owns it too while it is idle.
class HttpClient::Connection : public std::enable_shared_from_this<Connection> {
  public:
    Connection(HttpClient& client, std::string address, Fd descriptor)
        : client_(client),
          address_(std::move(address)),
          socket_(client.loop_, std::move(descriptor), BufferedSocket::InitialState::Connecting) {}

    void open() {
        socket_.watch(
            [self = shared_from_this()](std::uint32_t events) { self->on_events(events); });
    }
    void close() {
        if (!socket_.is_open()) return;
        socket_.close();
        client_.on_closed(address_);
    }
    void start(const HttpRequest& request, Millis timeout, OnReply on_reply) {
        on_reply_ = std::move(on_reply);
        parser_.reset();
        wrote_ = false;
        not_after_ = request.not_after;
        socket_.discard_unsent();
        socket_.write(render(request, address_));
        timer_ = client_.loop_.after(timeout, [weak = weak_from_this()] {
            if (auto self = weak.lock()) self->fail();
        });
        if (connected_) flush();
    }

    [[nodiscard]] const std::string& address() const { return address_; }
    [[nodiscard]] Millis idle_since() const { return idle_since_; }
    void set_idle(IdleList::iterator position) {
        idle_since_ = client_.loop_.now();
        idle_position_ = position;
    }
    void set_in_use() { idle_position_.reset(); }

  private:
    void on_events(std::uint32_t events) {
        const auto keep = shared_from_this();
        const bool broken = (events & (EPOLLERR | EPOLLHUP)) != 0;
        const bool writable = (events & EPOLLOUT) != 0;
        if (!connected_) {
            if (socket_.has_error() || broken) return fail();
            if (!writable) return;
            connected_ = true;
        }
        if (writable) flush();
        if (!socket_.is_open()) return;
        if ((events & EPOLLIN) != 0) {
            read();
        } else if (broken) {
            fail();
        }
    }

    void flush() {
        if (!wrote_ && is_past_not_after()) return fail();
        const auto flushed = socket_.flush();
        wrote_ = wrote_ || flushed.bytes > 0;
        if (flushed.failed) return fail();
        socket_.wait_for_events();
    }

    // If the process was paused, the lease that permitted this request may have expired meanwhile.
    // The cached loop time does not show that, so the clock is read.
    [[nodiscard]] bool is_past_not_after() const {
        return not_after_ != 0 && client_.loop_.read_clock() > not_after_;
    }

    void read() {
        std::array<char, kReadBufferBytes> buffer;
        for (;;) {
            std::size_t bytes = 0;
            const auto received = socket_.receive(buffer, bytes);
            if (received == BufferedSocket::ReceiveResult::Nothing) return;
            if (received == BufferedSocket::ReceiveResult::Failed) return fail();
            // Data or an end of stream while no request is pending: the connection is unusable.
            if (!on_reply_) return fail();
            const auto progress = parser_.parse({buffer.data(), bytes});
            const bool ended = received == BufferedSocket::ReceiveResult::End;
            if (progress == ReplyProgress::Complete) return finish(!ended);
            if (progress == ReplyProgress::Malformed || ended) return fail();
            if (bytes < buffer.size()) return;
        }
    }

    void finish(bool still_open) {
        client_.loop_.cancel(timer_);
        const auto on_reply = std::exchange(on_reply_, nullptr);
        auto reply = parser_.take_reply();
        if (still_open && parser_.keep_alive() && client_.has_idle_capacity(address_)) {
            client_.add_idle(shared_from_this());
        } else {
            close();
        }
        on_reply(std::move(reply));
    }

    void fail() {
        client_.loop_.cancel(timer_);
        auto on_reply = std::exchange(on_reply_, nullptr);
        const auto keep = shared_from_this();
        if (idle_position_) client_.take_idle(*idle_position_);
        close();
        if (!on_reply) return;
        // The timer keeps the reply out of call(): an idle connection can fail while the request
        // is being sent on it.
        client_.loop_.after(0, [on_reply = std::move(on_reply), sent = wrote_] {
            on_reply({.status = 0, .body = {}, .sent = sent});
        });
    }

    HttpClient& client_;
    std::string address_;
    BufferedSocket socket_;
    ReplyParser parser_;
    OnReply on_reply_;  // empty: no request is pending
    TimerId timer_ = 0;
    Millis idle_since_ = 0;
    std::optional<IdleList::iterator> idle_position_;  // empty: in use
    Millis not_after_ = 0;                             // 0: no bound
    bool connected_ = false;
    bool wrote_ = false;  // whether any byte of the request was sent
};

HttpClient::HttpClient(EventLoop& loop, SocketBudget& budget) : loop_(loop), budget_(budget) {
    schedule_sweep();
}

HttpClient::~HttpClient() = default;

void HttpClient::call(const std::string& address, const HttpRequest& request, Millis timeout,
                      OnReply on_reply) {
    auto& pool = pools_[address];
    if (!pool.idle.empty()) {
        take_idle(pool.idle.back())->start(request, timeout, std::move(on_reply));
        return;
    }
    if (pool.open >= kMaxOpenPerAddress || !make_room()) return reply_unsent(std::move(on_reply));
    auto descriptor = connect_to(address);
    if (!descriptor.valid()) return reply_unsent(std::move(on_reply));
    ++pool.open;
    ++budget_.open;
    auto connection = std::make_shared<Connection>(*this, address, std::move(descriptor));
    connection->open();
    connection->start(request, timeout, std::move(on_reply));
}

void HttpClient::reply_unsent(OnReply on_reply) {
    loop_.after(0, [on_reply = std::move(on_reply)] {
        on_reply({.status = 0, .body = {}, .sent = false});
    });
}

void HttpClient::on_closed(const std::string& address) {
    --budget_.open;
    --pools_[address].open;
}

// ---- idle connections ----

bool HttpClient::has_idle_capacity(const std::string& address) const {
    const auto pool = pools_.find(address);
    return pool == pools_.end() || pool->second.idle.size() < kMaxIdlePerAddress;
}

void HttpClient::add_idle(const std::shared_ptr<Connection>& connection) {
    const auto position = idle_.insert(idle_.end(), connection);
    connection->set_idle(position);
    pools_[connection->address()].idle.push_back(position);
}

std::shared_ptr<HttpClient::Connection> HttpClient::take_idle(IdleList::iterator position) {
    auto connection = std::move(*position);
    std::erase(pools_[connection->address()].idle, position);
    idle_.erase(position);
    connection->set_in_use();
    return connection;
}

// Closes the least recently used idle connections until a new socket fits into the budget, and
// returns whether it does. A large fleet has more workers than the process may have sockets;
// without this, idle connections to workers would use up the budget and block requests to the state
// service.
bool HttpClient::make_room() {
    while (budget_.open + kReservedSockets >= budget_.max_sockets && !idle_.empty()) {
        take_idle(idle_.begin())->close();
    }
    return budget_.open + kReservedSockets < budget_.max_sockets;
}

void HttpClient::schedule_sweep() {
    loop_.after(kSweepInterval, callbacks_.bind([this] { close_expired_idle(); }));
}

void HttpClient::close_expired_idle() {
    while (!idle_.empty() && loop_.now() - idle_.front()->idle_since() > kMaxIdleTime) {
        take_idle(idle_.begin())->close();
    }
    std::erase_if(pools_, [](const auto& entry) { return entry.second.open == 0; });
    schedule_sweep();
}

}  // namespace lichendrift::net
