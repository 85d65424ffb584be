// Tests of the HTTP server and client on real loopback sockets, with a simulated clock.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "net/http_server.h"

namespace lichendrift::net {
namespace {

constexpr std::size_t kMaxBodyBytes = 1000;
constexpr int kFirstPort = 20'000;
constexpr int kEndOfPorts = 60'000;
constexpr int kPortStep = 97;
constexpr int kIterationsUntilIdle = 20;
constexpr Millis kTimeout = 5000;

const std::string kHealthRequest = "GET /healthz HTTP/1.1\r\n\r\n";
const std::string kHeartbeatRequest = "POST /agent/beat HTTP/1.1\r\nContent-Length: 0\r\n\r\n";

void respond_ok(const HttpRequest& /*request*/, const Respond& respond) { respond({200, "{}"}); }

std::string local_address(int port) { return "127.0.0.1:" + std::to_string(port); }

void send_bytes(const Fd& fd, const std::string& bytes) {
    ASSERT_EQ(::send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
}

// The bytes received so far, without waiting; "closed" if the peer has closed the connection.
std::string received(const Fd& fd) {
    std::array<char, 4096> buffer{};
    const auto bytes = ::recv(fd.get(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (bytes == 0 || (bytes < 0 && errno == ECONNRESET)) return "closed";
    return bytes < 0 ? "" : std::string(buffer.data(), static_cast<std::size_t>(bytes));
}

// Start of the status line of a received response, such as "HTTP/1.1 200".
std::string received_status(const Fd& fd) {
    return received(fd).substr(0, std::string("HTTP/1.1 200").size());
}

class NetTest : public ::testing::Test {
  protected:
    NetTest() : loop_([this] { return now_; }) {}

    // Serves on the first free port.
    void serve(std::size_t max_connections, HttpServer::Handler handle,
               HttpServer::CanWait can_wait = {}) {
        server_.emplace(loop_, budget_, HttpServer::Limits{kMaxBodyBytes, max_connections},
                        std::move(handle), std::move(can_wait));
        for (port_ = kFirstPort; port_ < kEndOfPorts; port_ += kPortStep) {
            if (server_->listen(local_address(port_))) return;
        }
        FAIL() << "no port is free";
    }
    [[nodiscard]] std::string server_address() const { return local_address(port_); }
    Fd connect() {
        Fd fd = connect_to(server_address());
        run_iterations();
        return fd;
    }
    void run_iterations() {
        for (int i = 0; i < kIterationsUntilIdle; ++i) loop_.run_once(1);
    }
    void advance(Millis duration) {
        constexpr Millis kStep = 500;
        for (const auto end = now_ + duration; now_ < end;) {
            now_ = std::min(end, now_ + kStep);
            loop_.run_once(0);
        }
        run_iterations();
    }
    void send(const Fd& fd, const std::string& bytes) {
        send_bytes(fd, bytes);
        run_iterations();
    }

    Millis now_ = 0;
    EventLoop loop_;
    SocketBudget budget_;
    std::optional<HttpServer> server_;
    int port_ = 0;
};

// Guards against 400 for any request, also about a known job, of a client that offers to switch to
// another protocol. The offer is ignored, and the connection serves further requests.
TEST_F(NetTest, OfferToUpgradeIsIgnored) {
    std::string body;
    serve(400, [&](const HttpRequest& request, const Respond& respond) {
        body = request.body;
        respond({200, "{}"});
    });
    const auto fd = connect();
    send(fd,
         "POST /v2/runs HTTP/1.1\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
         "HTTP2-Settings: AAMAAABkAAQAAP__\r\nContent-Length: 2\r\n\r\n{}");
    EXPECT_EQ(received_status(fd), "HTTP/1.1 200");
    EXPECT_EQ(body, "{}");
    send(fd, kHealthRequest);
    EXPECT_EQ(received_status(fd), "HTTP/1.1 200");
    // A tunnel cannot be ignored.
    send(fd, "CONNECT example.test:80 HTTP/1.1\r\n\r\n");
    EXPECT_EQ(received_status(fd), "HTTP/1.1 400");
}

// Guards against heartbeats that wait behind user requests when all clients reconnect at the same
// time. Leases depend on heartbeats, so these are handled first, whatever the order of arrival, and
// every request still gets a response.
TEST_F(NetTest, HeartbeatsAreHandledBeforeUserRequestsAndAllGetResponses) {
    constexpr std::size_t kConnections = 60;
    const std::string user_request = "GET /v2/runs/x HTTP/1.1\r\n\r\n";
    const std::string worker_request = "GET /agent/beat HTTP/1.1\r\n\r\n";
    std::vector<std::string> order;
    serve(
        400,
        [&](const HttpRequest& request, const Respond& respond) {
            order.push_back(request.target);
            respond({200, "{}"});
        },
        [](const HttpRequest& request) { return request.target.starts_with("/v2/"); });
    std::vector<Fd> connections;
    connections.reserve(kConnections);
    for (std::size_t i = 0; i < kConnections; ++i) connections.push_back(connect());
    for (std::size_t i = 0; i < kConnections; ++i) {
        send_bytes(connections[i], i % 2 == 0 ? user_request : worker_request);
    }
    run_iterations();
    ASSERT_EQ(order.size(), kConnections);
    for (std::size_t i = 0; i < kConnections / 2; ++i) EXPECT_EQ(order[i], "/agent/beat") << i;
    for (const auto& fd : connections) EXPECT_EQ(received_status(fd), "HTTP/1.1 200");
    // A request that was deferred for too long, for example because the process was paused, is
    // refused with 503 and Retry-After.
    for (std::size_t i = 0; i < 2; ++i) send_bytes(connections[i], user_request);
    loop_.defer([this] { now_ += 3000; });
    loop_.run_once(0);
    run_iterations();
    for (std::size_t i = 0; i < 2; ++i) {
        const auto response = received(connections[i]);
        EXPECT_EQ(response.substr(0, 12), "HTTP/1.1 503");
        EXPECT_NE(response.find("Retry-After: 1"), std::string::npos);
    }
}

TEST_F(NetTest, SlowAndSilentConnectionsAreClosed) {
    serve(20, respond_ok);
    const auto slow = connect();
    const auto silent = connect();
    for (std::size_t i = 0; i < 12 && received(slow).empty(); ++i) {
        if (::send(slow.get(), &kHealthRequest[i], 1, MSG_NOSIGNAL) != 1) break;
        advance(1200);
    }
    EXPECT_EQ(received(slow), "closed");
    EXPECT_EQ(received(silent), "closed");
}

TEST_F(NetTest, IdleConnectionIsClosedAfterAMinuteAndNotBefore) {
    serve(20, respond_ok);
    const auto idle = connect();
    send(idle, kHealthRequest);
    EXPECT_EQ(received_status(idle), "HTTP/1.1 200");
    advance(55'000);
    EXPECT_EQ(received(idle), "");
    advance(10'000);
    EXPECT_EQ(received(idle), "closed");
}

TEST_F(NetTest, RequestBeingHandledIsNotTimedOut) {
    Respond respond_later;
    serve(20, [&](const HttpRequest&, Respond respond) { respond_later = std::move(respond); });
    const auto waiting = connect();
    send(waiting, kHealthRequest);
    advance(30'000);
    EXPECT_EQ(received(waiting), "");
    respond_later({200, "{}"});
    run_iterations();
    EXPECT_EQ(received_status(waiting), "HTTP/1.1 200");
}

// At the connection limit the server closes idle user connections. Workers keep theirs, because
// their tasks depend on them.
TEST_F(NetTest, FullServerClosesIdleUserConnectionsAndKeepsWorkers) {
    serve(6, respond_ok);
    std::vector<Fd> workers;
    std::vector<Fd> users;
    for (int i = 0; i < 3; ++i) {
        workers.push_back(connect());
        send(workers.back(), kHeartbeatRequest);
        EXPECT_EQ(received_status(workers.back()), "HTTP/1.1 200");
    }
    for (int i = 0; i < 12; ++i) {
        now_ += 10;
        users.push_back(connect());
        send(users.back(), kHealthRequest);
        EXPECT_EQ(received_status(users.back()), "HTTP/1.1 200") << i;
    }
    for (const auto& worker : workers) EXPECT_EQ(received(worker), "");
    EXPECT_EQ(received(users.front()), "closed");
    // A new worker is accepted as well.
    const auto new_worker = connect();
    send(new_worker, kHeartbeatRequest);
    EXPECT_EQ(received_status(new_worker), "HTTP/1.1 200");
    EXPECT_LE(budget_.open, 7U);
}

// Guards against sending a request after the process was paused and its leadership may have ended.
// The pause may fall between the leadership check and the end of connecting, and the cloud need not
// check a fencing token and reject the request.
TEST_F(NetTest, RequestIsNotSentAfterItsNotAfterTime) {
    int served = 0;
    serve(20, [&](const HttpRequest&, const Respond& respond) {
        ++served;
        respond({200, "{}"});
    });
    HttpClient client(loop_, budget_);
    std::vector<HttpReply> replies;
    const auto call_with_not_after = [&](Millis not_after) {
        client.call(server_address(), {"POST", "/x", "{}", not_after}, kTimeout,
                    [&](HttpReply reply) { replies.push_back(std::move(reply)); });
    };
    const auto call_and_pause = [&](Millis duration) {
        call_with_not_after(now_ + 100);
        now_ += duration;
        run_iterations();
    };
    call_and_pause(3000);
    call_and_pause(50);
    ASSERT_EQ(replies.size(), 2U);
    EXPECT_EQ(replies[0].status, 0);
    EXPECT_FALSE(replies[0].sent);
    EXPECT_EQ(replies[1].status, 200);
    EXPECT_EQ(served, 1);
    // The same holds on an idle connection, and the reply arrives only after call() has returned.
    now_ += 500;
    call_with_not_after(now_ - 100);
    EXPECT_EQ(replies.size(), 2U);
    run_iterations();
    ASSERT_EQ(replies.size(), 3U);
    EXPECT_FALSE(replies[2].sent);
    EXPECT_EQ(served, 1);
}

// Guards against idle connections to workers that use up the socket limit, so that no other address
// can be called.
TEST_F(NetTest, IdleConnectionsAreClosedToConnectToOtherAddresses) {
    constexpr std::size_t kWorkers = 30;
    serve(1, respond_ok);
    std::vector<std::unique_ptr<HttpServer>> workers;
    std::vector<std::string> addresses;
    SocketBudget worker_budget;
    for (int port = port_ + 1; workers.size() < kWorkers && port < port_ + 900; ++port) {
        auto worker = std::make_unique<HttpServer>(
            loop_, worker_budget, HttpServer::Limits{kMaxBodyBytes, 20}, respond_ok);
        if (!worker->listen(local_address(port))) continue;
        workers.push_back(std::move(worker));
        addresses.push_back(local_address(port));
    }
    ASSERT_EQ(workers.size(), kWorkers);
    budget_.max_sockets = 28;
    HttpClient client(loop_, budget_);
    std::size_t replies = 0;
    for (int round = 0; round < 2; ++round) {
        for (const auto& address : addresses) {
            client.call(address, {"POST", "/do", "{}"}, kTimeout,
                        [&](const HttpReply& reply) { replies += reply.status == 200 ? 1 : 0; });
            run_iterations();
            EXPECT_LE(budget_.open, 28U);
        }
    }
    EXPECT_EQ(replies, 2 * kWorkers);
}

TEST_F(NetTest, ClientKeepsSocketLimitAndReportsUnsentRequests) {
    std::vector<Respond> responds;
    serve(60, [&](const HttpRequest&, Respond respond) { responds.push_back(std::move(respond)); });
    budget_.max_sockets = 30;
    HttpClient client(loop_, budget_);
    int unsent = 0;
    int replies = 0;
    for (int i = 0; i < 40; ++i) {
        client.call(server_address(), {"GET", "/x", ""}, kTimeout, [&](const HttpReply& reply) {
            if (reply.status == 200) ++replies;
            if (reply.status == 0 && !reply.sent) ++unsent;
        });
        run_iterations();
        EXPECT_LE(budget_.open, 30U);
    }
    for (auto& respond : responds) respond({200, "{}"});
    run_iterations();
    EXPECT_GT(unsent, 0);
    EXPECT_EQ(unsent + replies, 40);
}

}  // namespace
}  // namespace lichendrift::net
