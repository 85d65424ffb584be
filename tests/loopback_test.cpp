// Runs the real program over the loopback network: its command line, and its responses to users
// while neither the state service nor the cloud is reachable.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
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

constexpr unsigned kController = 240;  // host number within the test's loopback network
constexpr unsigned kUserPort = 7001;

// Sends `bytes` to the controller's user port and returns the response: all that arrives until the
// connection is closed or no data arrives for two seconds. Returns "refused" if it cannot connect.
std::string send_raw(const std::string& bytes) {
    const net::Fd fd(::socket(AF_INET, SOCK_STREAM, 0));
    const auto address = simulation::own_address(kController, kUserPort);
    sockaddr_in socket_address{};
    socket_address.sin_family = AF_INET;
    socket_address.sin_port = htons(kUserPort);
    ::inet_pton(AF_INET, address.substr(0, address.find(':')).c_str(), &socket_address.sin_addr);
    if (::connect(fd.get(), reinterpret_cast<sockaddr*>(&socket_address), sizeof socket_address) !=
        0) {
        return "refused";
    }
    const timeval max_wait{2, 0};
    ::setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &max_wait, sizeof max_wait);
    for (std::size_t at = 0; at < bytes.size();) {
        const auto sent = ::send(fd.get(), bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
        if (sent <= 0) break;
        at += static_cast<std::size_t>(sent);
    }
    std::string response;
    std::array<char, 4096> buffer{};
    for (;;) {
        const auto received = ::recv(fd.get(), buffer.data(), buffer.size(), 0);
        if (received <= 0) break;
        response.append(buffer.data(), static_cast<std::size_t>(received));
    }
    return response;
}

class Loopback : public ::testing::Test {
  protected:
    // Runs the program until it exits, with this LOG_LEVEL and with standard error redirected to
    // the file `log`. Returns its exit code, or -1 if it was ended by a signal.
    static int run(const std::vector<std::string>& arguments, const std::string& log_level,
                   const std::string& log) {
        const pid_t pid = simulation::spawn_program(arguments, log_level, log);
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

TEST_F(Loopback, CommandLineReturnsTheDocumentedExitCodes) {
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

TEST_F(Loopback, RespondsToUsersWhileStateServiceAndCloudAreUnreachable) {
    const pid_t pid = simulation::spawn_program({"--config", settings_}, "error", log());
    std::string health;
    for (int i = 0; i < 100 && health.find("HTTP/1.1") == std::string::npos; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        health = send_raw("GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n");
    }
    EXPECT_NE(health.find("HTTP/1.1"), std::string::npos);
    EXPECT_EQ(send_raw("NONSENSE\r\n\r\n").substr(0, 12), "HTTP/1.1 400");
    EXPECT_EQ(send_raw("POST /v2/runs HTTP/1.1\r\nContent-Length: 70000\r\n\r\n").substr(0, 12),
              "HTTP/1.1 413");
    EXPECT_EQ(send_raw("GET /x HTTP/1.1\r\nConnection: close\r\n\r\n").substr(0, 12),
              "HTTP/1.1 404");
    EXPECT_EQ(send_raw("POST /v2/runs HTTP/1.1\r\nConnection: close\r\nContent-Length: 1\r\n\r\n{")
                  .substr(0, 12),
              "HTTP/1.1 400");
    const auto refused = send_raw("GET /v2/runs/job-000001 HTTP/1.1\r\nConnection: close\r\n\r\n");
    EXPECT_EQ(refused.substr(0, 12), "HTTP/1.1 503");
    EXPECT_NE(refused.find("Retry-After: 1"), std::string::npos);
    int status = 0;
    EXPECT_EQ(::waitpid(pid, &status, WNOHANG), 0) << "the program exited unexpectedly";
    ::kill(pid, SIGKILL);
    ::waitpid(pid, &status, 0);
}

}  // namespace
}  // namespace lichendrift
