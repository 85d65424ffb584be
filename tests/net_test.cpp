// The HTTP server and client on real sockets of the loopback, with a clock of the test's own.
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
constexpr int kTurnsUntilQuiet = 20;
constexpr Millis kTimeout = 5000;

const std::string kHealthRequest = "GET /healthz HTTP/1.1\r\n\r\n";
const std::string kHeartbeatRequest = "POST /agent/beat HTTP/1.1\r\nContent-Length: 0\r\n\r\n";

void respond_ok(const HttpRequest& /*request*/, const Respond& respond) { respond({200, "{}"}); }

std::string local_address(int port) { return "127.0.0.1:" + std::to_string(port); }

void send_bytes(const Fd& fd, const std::string& bytes) {
    ASSERT_EQ(::send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
}

// What has come; "closed" if the other side has ended it.
std::string received(const Fd& fd) {
    std::array<char, 4096> buffer{};
    const auto bytes = ::recv(fd.get(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (bytes == 0 || (bytes < 0 && errno == ECONNRESET)) return "closed";
    return bytes < 0 ? "" : std::string(buffer.data(), static_cast<std::size_t>(bytes));
}

// "HTTP/1.1 200" of a response that has come.
std::string received_status(const Fd& fd) {
    return received(fd).substr(0, std::string("HTTP/1.1 200").size());
}

class NetTest : public ::testing::Test {
  protected:
    NetTest() : loop_([this] { return now_; }) {}

    // Serves on the first port that is free.
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
        run_turns();
        return fd;
    }
    void run_turns() {
        for (int i = 0; i < kTurnsUntilQuiet; ++i) loop_.run_once(1);
    }
    void advance(Millis duration) {
        constexpr Millis kStep = 500;
        for (const auto end = now_ + duration; now_ < end;) {
            now_ = std::min(end, now_ + kStep);
            loop_.run_once(0);
        }
        run_turns();
    }
    void send(const Fd& fd, const std::string& bytes) {
        send_bytes(fd, bytes);
        run_turns();
    }

    Millis now_ = 0;
    EventLoop loop_;
    SocketBudget budget_;
    std::optional<HttpServer> server_;
    int port_ = 0;
};

// All are back at once: what leases depend on goes before users, whoever came first, and nobody is
// left without a response.
TEST_F(NetTest, HeartbeatsGoBeforeUsersAndAllGetResponses) {
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
    run_turns();
    ASSERT_EQ(order.size(), kConnections);
    for (std::size_t i = 0; i < kConnections / 2; ++i) EXPECT_EQ(order[i], "/agent/beat") << i;
    for (const auto& fd : connections) EXPECT_EQ(received_status(fd), "HTTP/1.1 200");
    // What waited too long for its turn, as after the process stood still, is refused for now.
    for (std::size_t i = 0; i < 2; ++i) send_bytes(connections[i], user_request);
    loop_.defer([this] { now_ += 3000; });
    loop_.run_once(0);
    run_turns();
    for (std::size_t i = 0; i < 2; ++i) {
        const auto response = received(connections[i]);
        EXPECT_EQ(response.substr(0, 12), "HTTP/1.1 503");
        EXPECT_NE(response.find("Retry-After: 1"), std::string::npos);
    }
}

TEST_F(NetTest, RequestThatArrivesByTheByteIsGivenUp) {
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

TEST_F(NetTest, RequestThatTheServiceIsAtWorkOnIsNotTimedOut) {
    Respond respond_later;
    serve(20, [&](const HttpRequest&, Respond respond) { respond_later = std::move(respond); });
    const auto waiting = connect();
    send(waiting, kHealthRequest);
    advance(30'000);
    EXPECT_EQ(received(waiting), "");
    respond_later({200, "{}"});
    run_turns();
    EXPECT_EQ(received_status(waiting), "HTTP/1.1 200");
}

// With all places taken idle users make way; workers keep theirs, as their tasks depend on it.
TEST_F(NetTest, FullServerLetsIdleUsersGoAndKeepsWorkers) {
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
    // A worker that is new finds a place as well.
    const auto new_worker = connect();
    send(new_worker, kHeartbeatRequest);
    EXPECT_EQ(received_status(new_worker), "HTTP/1.1 200");
    EXPECT_LE(budget_.open, 7U);
}

// The process may stand still between the check that it leads and the moment at which the
// connection is there: no token guards what goes to the cloud.
TEST_F(NetTest, RequestWithABoundNeverLeavesAfterIt) {
    int served = 0;
    serve(20, [&](const HttpRequest&, const Respond& respond) {
        ++served;
        respond({200, "{}"});
    });
    HttpClient client(loop_, budget_);
    std::vector<HttpReply> replies;
    const auto call_until = [&](Millis not_after) {
        client.call(server_address(), {"POST", "/x", "{}", not_after}, kTimeout,
                    [&](HttpReply reply) { replies.push_back(std::move(reply)); });
    };
    const auto call_and_stand_still = [&](Millis duration) {
        call_until(now_ + 100);
        now_ += duration;
        run_turns();
    };
    call_and_stand_still(3000);
    call_and_stand_still(50);
    ASSERT_EQ(replies.size(), 2U);
    EXPECT_EQ(replies[0].status, 0);
    EXPECT_FALSE(replies[0].sent);
    EXPECT_EQ(replies[1].status, 200);
    EXPECT_EQ(served, 1);
    // On a kept connection as well, and the caller gets the reply after its call.
    now_ += 500;
    call_until(now_ - 100);
    EXPECT_EQ(replies.size(), 2U);
    run_turns();
    ASSERT_EQ(replies.size(), 3U);
    EXPECT_FALSE(replies[2].sent);
    EXPECT_EQ(served, 1);
}

// Idle connections to workers used up the limit, and then no other address could be called.
TEST_F(NetTest, IdleConnectionsMakeRoomForOtherAddresses) {
    constexpr std::size_t kWorkers = 30;
    serve(1, respond_ok);
    std::vector<std::unique_ptr<HttpServer>> workers;
    std::vector<std::string> addresses;
    SocketBudget budget_of_workers;
    for (int port = port_ + 1; workers.size() < kWorkers && port < port_ + 900; ++port) {
        auto worker = std::make_unique<HttpServer>(
            loop_, budget_of_workers, HttpServer::Limits{kMaxBodyBytes, 20}, respond_ok);
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
            run_turns();
            EXPECT_LE(budget_.open, 28U);
        }
    }
    EXPECT_EQ(replies, 2 * kWorkers);
}

TEST_F(NetTest, ClientKeepsToTheLimitOfSocketsAndSaysWhatNeverLeft) {
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
        run_turns();
        EXPECT_LE(budget_.open, 30U);
    }
    for (auto& respond : responds) respond({200, "{}"});
    run_turns();
    EXPECT_GT(unsent, 0);
    EXPECT_EQ(unsent + replies, 40);
}

}  // namespace
}  // namespace lichendrift::net
