// The server and the client on real sockets of the loopback, with a clock of the test's own.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "net/http_client.h"
#include "net/http_server.h"

namespace lichendrift::net {
namespace {

class NetTest : public ::testing::Test {
  protected:
    NetTest() : loop_([this] { return now_; }) {}

    // Serves on a port that the system picks.
    void serve(std::size_t max_connections, HttpServer::Handle handle) {
        server_.emplace(loop_, budget_, 1000, max_connections, std::move(handle));
        std::string error;
        for (int port = 20000; port < 60000; port += 97) {
            runtime_ = port;
            if (server_->listen("127.0.0.1:" + std::to_string(port), error)) return;
        }
        FAIL() << error;
    }
    Fd connect() {
        Fd fd = connect_to("127.0.0.1:" + std::to_string(runtime_));
        turn();
        return fd;
    }
    void turn() {
        for (int i = 0; i < 20; ++i) loop_.turn(1);
    }
    void pass(Millis ms) {
        for (const auto end = now_ + ms; now_ < end;) {
            now_ = std::min(end, now_ + 500);
            loop_.turn(0);
        }
        turn();
    }
    void send(const Fd& fd, const std::string& bytes) {
        ASSERT_EQ(::send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(bytes.size()));
        turn();
    }
    // What has come; "closed" if the other side has ended it.
    static std::string got(const Fd& fd) {
        char buffer[4096];
        const auto n = ::recv(fd.get(), buffer, sizeof buffer, MSG_DONTWAIT);
        if (n == 0 || (n < 0 && errno == ECONNRESET)) return "closed";
        return n < 0 ? "" : std::string(buffer, static_cast<std::size_t>(n));
    }

    Millis now_ = 0;
    EventLoop loop_;
    SocketBudget budget_;
    std::optional<HttpServer> server_;
    int runtime_ = 0;
};

void answer(const HttpRequest&, const Respond& respond) { respond({200, "{}"}); }

// All are back at once: what hangs on a lease goes before users, whoever came first, and nobody is
// left without an answer.
TEST_F(NetTest, ReportsGoBeforeUsersAndAllAreAnswered) {
    std::vector<std::string> order;
    server_.emplace(
        loop_, budget_, 1000, 400,
        [&](const HttpRequest& request, const Respond& respond) {
            order.push_back(request.target);
            respond({200, "{}"});
        },
        [](const HttpRequest& request) { return request.target.starts_with("/v2/"); });
    std::string error;
    for (runtime_ = 21000; !server_->listen("127.0.0.1:" + std::to_string(runtime_), error);)
        ++runtime_;
    std::vector<Fd> all;
    all.reserve(60);
    for (int i = 0; i < 60; ++i) all.push_back(connect());
    for (std::size_t i = 0; i < all.size(); ++i) {
        const std::string target = i % 2 == 0 ? "/v2/runs/x" : "/agent/beat";
        const auto text = "GET " + target + " HTTP/1.1\r\n\r\n";
        ASSERT_GT(::send(all[i].get(), text.data(), text.size(), MSG_NOSIGNAL), 0);
    }
    turn();
    ASSERT_EQ(order.size(), 60U);
    for (std::size_t i = 0; i < 30; ++i) EXPECT_EQ(order[i], "/agent/beat") << i;
    for (const auto& fd : all) EXPECT_EQ(got(fd).substr(0, 12), "HTTP/1.1 200");
    // What waited too long for its turn, as after standing still, is told to come again.
    for (int i = 0; i < 2; ++i) {
        const std::string text = "GET /v2/runs/x HTTP/1.1\r\n\r\n";
        ASSERT_GT(::send(all[static_cast<std::size_t>(i)].get(), text.data(), text.size(), 0), 0);
    }
    loop_.later([this] { now_ += 3000; });
    loop_.turn(0);
    turn();
    for (std::size_t i = 0; i < 2; ++i) {
        const auto answer = got(all[i]);
        EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 503");
        EXPECT_NE(answer.find("Retry-After: 1"), std::string::npos);
    }
}

TEST_F(NetTest, RequestThatArrivesByTheByteIsGivenUp) {
    serve(20, answer);
    const auto slow = connect();
    const auto never = connect();
    for (int i = 0; i < 12 && got(slow).empty(); ++i) {
        const std::string byte =
            std::string("GET /healthz HTTP/1.1\r\n").substr(static_cast<std::size_t>(i), 1);
        if (::send(slow.get(), byte.data(), 1, MSG_NOSIGNAL) != 1) break;
        pass(1200);
    }
    EXPECT_EQ(got(slow), "closed");
    EXPECT_EQ(got(never), "closed");
}

TEST_F(NetTest, IdleConnectionIsClosedAfterAMinuteAndNotBefore) {
    serve(20, answer);
    const auto idle = connect();
    send(idle, "GET /healthz HTTP/1.1\r\n\r\n");
    EXPECT_EQ(got(idle).substr(0, 12), "HTTP/1.1 200");
    pass(55'000);
    EXPECT_EQ(got(idle), "");
    pass(10'000);
    EXPECT_EQ(got(idle), "closed");
}

TEST_F(NetTest, RequestThatTheServiceIsAtWorkOnIsNotTimedOut) {
    Respond later;
    serve(20, [&](const HttpRequest&, Respond respond) { later = std::move(respond); });
    const auto waits = connect();
    send(waits, "GET /healthz HTTP/1.1\r\n\r\n");
    pass(30'000);
    EXPECT_EQ(got(waits), "");
    later({200, "{}"});
    turn();
    EXPECT_EQ(got(waits).substr(0, 12), "HTTP/1.1 200");
}

// With all places taken idle users make way; workers keep theirs, whose tasks hang on them.
TEST_F(NetTest, FullServerLetsIdleUsersGoAndKeepsWorkers) {
    serve(6, answer);
    std::vector<Fd> workers;
    std::vector<Fd> users;
    for (int i = 0; i < 3; ++i) {
        workers.push_back(connect());
        send(workers.back(), "POST /agent/beat HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
        EXPECT_EQ(got(workers.back()).substr(0, 12), "HTTP/1.1 200");
    }
    for (int i = 0; i < 12; ++i) {
        now_ += 10;
        users.push_back(connect());
        send(users.back(), "GET /healthz HTTP/1.1\r\n\r\n");
        EXPECT_EQ(got(users.back()).substr(0, 12), "HTTP/1.1 200") << i;
    }
    for (const auto& worker : workers) EXPECT_EQ(got(worker), "");
    EXPECT_EQ(got(users.front()), "closed");
    // A worker that is new finds a place as well.
    const auto late = connect();
    send(late, "POST /agent/beat HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(got(late).substr(0, 12), "HTTP/1.1 200");
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
    const auto ask = [&](Millis stands_still) {
        client.call("127.0.0.1:" + std::to_string(runtime_), {"POST", "/x", "{}", now_ + 100}, 5000,
                    [&](HttpReply reply) { replies.push_back(std::move(reply)); });
        now_ += stands_still;
        turn();
    };
    ask(3000);
    ask(50);
    ASSERT_EQ(replies.size(), 2U);
    EXPECT_EQ(replies[0].status, 0);
    EXPECT_FALSE(replies[0].sent);
    EXPECT_EQ(replies[1].status, 200);
    EXPECT_EQ(served, 1);
    // On a kept connection as well, and the caller hears of it after its call.
    now_ += 500;
    client.call("127.0.0.1:" + std::to_string(runtime_), {"POST", "/x", "{}", now_ - 100}, 5000,
                [&](HttpReply reply) { replies.push_back(std::move(reply)); });
    EXPECT_EQ(replies.size(), 2U);
    turn();
    ASSERT_EQ(replies.size(), 3U);
    EXPECT_FALSE(replies[2].sent);
    EXPECT_EQ(served, 1);
}

// Idle connections to workers used up the limit, and then nobody could be asked any more.
TEST_F(NetTest, IdleConnectionsMakeRoomForOtherAddresses) {
    serve(1, answer);
    std::vector<std::unique_ptr<HttpServer>> workers;
    std::vector<std::string> addresses;
    SocketBudget theirs;
    for (int port = runtime_ + 1; workers.size() < 30 && port < runtime_ + 900; ++port) {
        std::string error;
        auto worker = std::make_unique<HttpServer>(loop_, theirs, 1000, 20, answer);
        if (!worker->listen("127.0.0.1:" + std::to_string(port), error)) continue;
        workers.push_back(std::move(worker));
        addresses.push_back("127.0.0.1:" + std::to_string(port));
    }
    ASSERT_EQ(workers.size(), 30U);
    budget_.max_sockets = 28;
    HttpClient client(loop_, budget_);
    int answered = 0;
    for (int round = 0; round < 2; ++round) {
        for (const auto& address : addresses) {
            client.call(address, {"POST", "/do", "{}"}, 5000,
                        [&](const HttpReply& reply) { answered += reply.status == 200 ? 1 : 0; });
            turn();
            EXPECT_LE(budget_.open, 28U);
        }
    }
    EXPECT_EQ(answered, 60);
}

TEST_F(NetTest, ClientKeepsToTheLimitOfSocketsAndSaysWhatNeverLeft) {
    std::vector<Respond> all;
    serve(60, [&](const HttpRequest&, Respond respond) { all.push_back(std::move(respond)); });
    budget_.max_sockets = 30;
    HttpClient client(loop_, budget_);
    int failed = 0;
    int answered = 0;
    for (int i = 0; i < 40; ++i) {
        client.call("127.0.0.1:" + std::to_string(runtime_), {"GET", "/x", ""}, 5000,
                    [&](const HttpReply& reply) {
                        if (reply.status == 200) ++answered;
                        if (reply.status == 0 && !reply.sent) ++failed;
                    });
        turn();
        EXPECT_LE(budget_.open, 30U);
    }
    for (auto& respond : all) respond({200, "{}"});
    turn();
    EXPECT_GT(failed, 0);
    EXPECT_EQ(failed + answered, 40);
}

}  // namespace
}  // namespace lichendrift::net
