#include "net/http_client.h"

#include <http_parser.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <optional>

namespace lichendrift::net {

namespace {

constexpr std::size_t kMaxPerAddress = 48;
constexpr std::size_t kMaxIdle = 6;
constexpr std::size_t kSpareSockets = 8;  // for what the process opens besides
constexpr Millis kIdleTime = 20000;
constexpr std::size_t kMaxBody = 8 << 20;

}  // namespace

class HttpClient::Connection : public std::enable_shared_from_this<Connection> {
  public:
    Connection(HttpClient& client, std::string address, Fd fd)
        : client_(client), address_(std::move(address)), fd_(std::move(fd)) {}

    void open() {
        client_.loop_.add(
            fd_.get(), EPOLLIN | EPOLLOUT,
            [self = shared_from_this()](std::uint32_t events) { self->on_events(events); });
    }

    void start(const HttpRequest& request, Millis deadline, OnReply on_reply) {
        on_reply_ = std::move(on_reply);
        reply_ = {};
        complete_ = false;
        wrote_ = false;
        not_after_ = request.not_after;
        http_parser_init(&parser_, HTTP_RESPONSE);
        parser_.data = this;
        out_ = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + address_ + "\r\n";
        if (!request.body.empty()) {
            out_ += "Content-Type: application/json\r\n";
        }
        if (request.method != "GET") {
            out_ += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
        }
        out_ += "\r\n";
        out_ += request.body;
        timer_ = client_.loop_.after(deadline, [weak = weak_from_this()] {
            if (auto self = weak.lock()) self->fail();
        });
        if (connected_) flush();
    }

    void shut() {
        if (!fd_.valid()) return;
        client_.loop_.remove(fd_.get());
        fd_.reset();
        client_.closed(address_);
    }
    [[nodiscard]] const std::string& address() const { return address_; }
    [[nodiscard]] Millis idle_since() const { return idle_since_; }
    void set_idle(Idle::iterator at) {
        idle_since_ = client_.loop_.now();
        idle_at_ = at;
    }
    void set_used() { idle_at_.reset(); }

  private:
    static const http_parser_settings& callbacks() {
        static const http_parser_settings settings = [] {
            http_parser_settings s{};
            http_parser_settings_init(&s);
            s.on_body = [](http_parser* p, const char* at, std::size_t n) {
                auto& c = *static_cast<Connection*>(p->data);
                if (c.reply_.body.size() + n > kMaxBody) return 1;
                c.reply_.body.append(at, n);
                return 0;
            };
            s.on_message_complete = [](http_parser* p) {
                auto& c = *static_cast<Connection*>(p->data);
                c.reply_.status = static_cast<int>(p->status_code);
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
        if (!connected_) {
            int error = 0;
            socklen_t size = sizeof error;
            ::getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
            if (error != 0 || (events & (EPOLLERR | EPOLLHUP)) != 0) return fail();
            if ((events & EPOLLOUT) == 0) return;
            connected_ = true;
            flush();
            if (!fd_.valid()) return;
        } else if ((events & EPOLLOUT) != 0) {
            flush();
            if (!fd_.valid()) return;
        }
        if ((events & EPOLLIN) != 0) {
            read();
        } else if ((events & (EPOLLERR | EPOLLHUP)) != 0) {
            fail();
        }
    }

    void flush() {
        // Whoever stood still may have lost what gave the right to send this.
        if (!wrote_ && not_after_ != 0 && client_.loop_.read_clock() > not_after_) return fail();
        while (!out_.empty()) {
            const auto n = ::send(fd_.get(), out_.data(), out_.size(), MSG_NOSIGNAL);
            if (n < 0) {
                if (errno == EAGAIN || errno == EINTR) break;
                return fail();
            }
            wrote_ = true;
            out_.erase(0, static_cast<std::size_t>(n));
        }
        // Each change costs a system call; most requests leave at once and need none.
        const bool want = !out_.empty();
        if (want == waits_to_write_) return;
        waits_to_write_ = want;
        client_.loop_.modify(fd_.get(), want ? EPOLLIN | EPOLLOUT : EPOLLIN);
    }

    void read() {
        std::array<char, 16384> buffer;
        for (;;) {
            const auto n = ::recv(fd_.get(), buffer.data(), buffer.size(), 0);
            if (n < 0) {
                if (errno != EAGAIN && errno != EINTR) fail();
                return;
            }
            // Data or an end while nothing was asked: the connection is of no use any more.
            if (!on_reply_) return fail();
            http_parser_execute(&parser_, &callbacks(), buffer.data(), static_cast<std::size_t>(n));
            if (complete_) return finish(n != 0);
            if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || n == 0) return fail();
            if (n < static_cast<ssize_t>(buffer.size())) return;
        }
    }

    void finish(bool keep) {
        client_.loop_.cancel(timer_);
        auto done = std::move(on_reply_);
        on_reply_ = nullptr;
        auto reply = std::move(reply_);
        reply_ = {};
        if (keep && keep_alive_ && client_.pools_[address_].idle.size() < kMaxIdle) {
            client_.park(shared_from_this());
        } else {
            shut();
        }
        done(std::move(reply));
    }

    void fail() {
        client_.loop_.cancel(timer_);
        auto done = std::move(on_reply_);
        on_reply_ = nullptr;
        const auto keep = shared_from_this();
        if (idle_at_) client_.unpark(*idle_at_);
        shut();
        HttpReply reply;
        reply.sent = wrote_;
        // Never from inside call(): a kept connection can fail while the request is handed over.
        if (done) client_.loop_.after(0, [done, reply] { done(reply); });
    }

    HttpClient& client_;
    std::string address_;
    Fd fd_;
    http_parser parser_{};
    std::string out_;
    HttpReply reply_;
    OnReply on_reply_;
    EventLoop::TimerId timer_ = 0;
    Millis idle_since_ = 0;
    std::optional<Idle::iterator> idle_at_;  // none: in use
    Millis not_after_ = 0;
    bool connected_ = false;
    bool wrote_ = false;
    bool waits_to_write_ = true;  // as it is opened, to learn of the connection
    bool complete_ = false;
    bool keep_alive_ = false;
};

HttpClient::HttpClient(EventLoop& loop, SocketBudget& budget) : loop_(loop), budget_(budget) {
    loop_.after(5000, [this] { sweep(); });
}

HttpClient::~HttpClient() = default;

void HttpClient::fail_soon(OnReply on_reply) {
    loop_.after(0, [on_reply = std::move(on_reply)] {
        HttpReply reply;
        reply.sent = false;
        on_reply(std::move(reply));
    });
}

void HttpClient::closed(const std::string& address) {
    --budget_.open;
    --pools_[address].open;
}

void HttpClient::park(const std::shared_ptr<Connection>& connection) {
    const auto at = idle_.insert(idle_.end(), connection);
    connection->set_idle(at);
    pools_[connection->address()].idle.push_back(at);
}

std::shared_ptr<HttpClient::Connection> HttpClient::unpark(Idle::iterator at) {
    auto connection = std::move(*at);
    std::erase(pools_[connection->address()].idle, at);
    idle_.erase(at);
    connection->set_used();
    return connection;
}

// A fleet has more workers than there are sockets to keep open to them: without giving up the ones
// that nobody uses, the state service could not be asked any more.
bool HttpClient::make_room() {
    while (budget_.open + kSpareSockets >= budget_.max_sockets && !idle_.empty()) {
        unpark(idle_.begin())->shut();
    }
    return budget_.open + kSpareSockets < budget_.max_sockets;
}

void HttpClient::call(const std::string& address, const HttpRequest& request, Millis deadline,
                      OnReply on_reply) {
    auto& pool = pools_[address];
    if (!pool.idle.empty()) {
        unpark(pool.idle.back())->start(request, deadline, std::move(on_reply));
        return;
    }
    if (pool.open >= kMaxPerAddress || !make_room()) return fail_soon(std::move(on_reply));
    auto fd = connect_to(address);
    if (!fd.valid()) return fail_soon(std::move(on_reply));
    ++pool.open;
    ++budget_.open;
    auto connection = std::make_shared<Connection>(*this, address, std::move(fd));
    connection->open();
    connection->start(request, deadline, std::move(on_reply));
}

void HttpClient::sweep() {
    while (!idle_.empty() && loop_.now() - idle_.front()->idle_since() > kIdleTime) {
        unpark(idle_.begin())->shut();
    }
    std::erase_if(pools_, [](const auto& entry) { return entry.second.open == 0; });
    loop_.after(5000, [this] { sweep(); });
}

}  // namespace lichendrift::net
