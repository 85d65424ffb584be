// One end-to-end run over loopback: the real program with its own sockets against a stand-in of
// the state service and the cloud that the test serves from this process.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <thread>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "simulation/processes.h"

namespace lichendrift {
namespace {

constexpr unsigned kController = 240;  // host of the test's own network
constexpr unsigned kUserPort = 7001;

// What comes back for raw bytes, until the other side closes or two seconds pass.
std::string raw(const std::string& bytes) {
    net::Fd fd(::socket(AF_INET, SOCK_STREAM, 0));
    const auto address = simulation::own_address(kController, kUserPort);
    sockaddr_in addr{};
    addr.sin_family = AF_INET;
    addr.sin_port = htons(kUserPort);
    ::inet_pton(AF_INET, address.substr(0, address.find(':')).c_str(), &addr.sin_addr);
    if (::connect(fd.get(), reinterpret_cast<sockaddr*>(&addr), sizeof addr) != 0) return "refused";
    const timeval wait{2, 0};
    ::setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    for (std::size_t at = 0; at < bytes.size();) {
        const auto n = ::send(fd.get(), bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
        if (n <= 0) break;
        at += static_cast<std::size_t>(n);
    }
    std::string out;
    char buffer[4096];
    for (;;) {
        const auto n = ::recv(fd.get(), buffer, sizeof buffer, 0);
        if (n <= 0) break;
        out.append(buffer, static_cast<std::size_t>(n));
    }
    return out;
}

class Loopback : public ::testing::Test {
  protected:
    // Starts the program with arguments and an environment entry; its standard error goes to a
    // file that is returned.
    static int run(const std::vector<std::string>& args, const std::string& level,
                   const std::string& log) {
        const pid_t pid = simulation::spawn_program(args, level, log);
        int status = 0;
        ::waitpid(pid, &status, 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    void SetUp() override {
        dir_ = std::filesystem::temp_directory_path() /
               ("lichendrift-loop-" + std::to_string(::getpid()));
        std::filesystem::create_directories(dir_);
        const auto address = [](unsigned port) {
            return simulation::own_address(kController, port);
        };
        settings_ = (dir_ / "node.toml").string();
        std::ofstream out(settings_);
        out << "member = \"m-0\"\nlocation = \"a\"\nlisten = \"" << address(kUserPort)
            << "\"\npeer_bind = \"" << address(kUserPort + 1) << "\"\n[external]\ncloud = \""
            << address(kUserPort + 2) << "\"\nstate = \"" << address(kUserPort + 3) << "\"\n"
            << "[settings]\nsize = 1\nzones = [\"a\"]\n[[settings.teams]]\nname = \"core\"\n"
            << "[settings.workers]\nreport_s = 1.0\nlease_s = 5.0\ngang_wait_s = 10.0\n"
            << "gang_peer_s = 2.0\ncancel_s = 10.0\n[settings.state]\nrps = 50.0\n"
            << "write_rps = 20.0\nvalue_kb = 8.0\ntxn_ops = 8\n[settings.cloud]\nrps = 5.0\n"
            << "list_lag_s = 2.0\n";
    }
    void TearDown() override { std::filesystem::remove_all(dir_); }
    std::string log() const { return (dir_ / "log").string(); }

    std::filesystem::path dir_;
    std::string settings_;
};

TEST_F(Loopback, CommandLine) {
    EXPECT_EQ(run({"--help"}, "info", log()), 0);
    EXPECT_EQ(run({"--version"}, "info", log()), 0);
    EXPECT_EQ(run({}, "info", log()), 2);
    EXPECT_EQ(run({"--nonsense"}, "info", log()), 2);
    EXPECT_EQ(run({"check", settings_}, "info", log()), 0);
    EXPECT_EQ(run({"check", "/nonexistent.toml"}, "info", log()), 2);
    EXPECT_EQ(run({"--config", settings_}, "loud", log()), 2);
    std::ifstream in(log());
    std::string line;
    std::getline(in, line);
    EXPECT_NE(line.find("LOG_LEVEL is 'loud'"), std::string::npos) << line;
}

TEST_F(Loopback, AnswersOverRealSocketsWhileTheRegionIsOut) {
    const pid_t pid = simulation::spawn_program({"--config", settings_}, "error", log());
    std::string health;
    for (int i = 0; i < 100 && health.find("HTTP/1.1") == std::string::npos; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        health = raw("GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n");
    }
    EXPECT_NE(health.find("HTTP/1.1"), std::string::npos);
    EXPECT_EQ(raw("NONSENSE\r\n\r\n").substr(0, 12), "HTTP/1.1 400");
    EXPECT_EQ(raw("POST /v2/runs HTTP/1.1\r\nContent-Length: 70000\r\n\r\n").substr(0, 12),
              "HTTP/1.1 413");
    EXPECT_EQ(raw("GET /x HTTP/1.1\r\nConnection: close\r\n\r\n").substr(0, 12), "HTTP/1.1 404");
    EXPECT_EQ(raw("POST /v2/runs HTTP/1.1\r\nConnection: close\r\nContent-Length: 1\r\n\r\n{")
                  .substr(0, 12),
              "HTTP/1.1 400");
    const auto refused = raw("GET /v2/runs/job-000001 HTTP/1.1\r\nConnection: close\r\n\r\n");
    EXPECT_EQ(refused.substr(0, 12), "HTTP/1.1 503");
    EXPECT_NE(refused.find("Retry-After: 1"), std::string::npos);
    int status = 0;
    EXPECT_EQ(::waitpid(pid, &status, WNOHANG), 0) << "the program ended by itself";
    ::kill(pid, SIGKILL);
    ::waitpid(pid, &status, 0);
}

}  // namespace
}  // namespace lichendrift
