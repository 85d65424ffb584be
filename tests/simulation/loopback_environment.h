#pragma once

#include <filesystem>
#include <map>
#include <memory>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "simulation/simulation.h"

namespace lichendrift::simulation {

// Runs the simulated state service, cloud, workers and users in real time over loopback, against
// controllers in real processes. All rules are checked as in virtual time.
class LoopbackEnvironment {
  public:
    // `features`: path of the features file passed to every controller.
    LoopbackEnvironment(Options options, const std::string& features);
    ~LoopbackEnvironment();
    LoopbackEnvironment(const LoopbackEnvironment&) = delete;
    LoopbackEnvironment& operator=(const LoopbackEnvironment&) = delete;

    Simulation& simulation() { return *simulation_; }
    // Runs the event loop until the condition holds; false on a timeout.
    bool run_until(const std::function<bool()>& condition, Millis timeout_ms);
    void run_for(Millis time) {
        run_until([] { return false; }, time);
    }

    // Pauses the process (SIGSTOP) and resumes it.
    void stop(std::size_t node);
    void resume(std::size_t node);
    [[nodiscard]] bool stopped(std::size_t node) const { return controllers_[node].stopped; }
    // Sends SIGTERM; true if the process exits with status 0 before the timeout.
    bool terminate(std::size_t node, Millis timeout_ms);
    [[nodiscard]] std::size_t size() const { return controllers_.size(); }

    // Called with each request of a controller to the state service or the cloud; returns by how
    // many milliseconds its execution is delayed.
    using Delay = std::function<Millis(std::size_t node, const net::HttpRequest& request)>;
    void delay(Delay delay) { delay_ = std::move(delay); }

  private:
    struct ControllerProcess {
        pid_t pid = -1;
        bool stopped = false;
    };
    void write_settings(std::size_t node, std::size_t nodes) const;
    void listen(const std::string& address, net::HttpServer::Handler handle);
    void listen_for_controller(std::size_t node);
    std::string listen_for_machine(const std::string& machine);
    void forward(std::size_t node, const net::HttpRequest& request, net::Respond respond);
    void tick();

    std::filesystem::path directory_;
    net::EventLoop loop_;
    net::SocketBudget budget_;
    net::HttpClient client_;
    std::vector<std::unique_ptr<net::HttpServer>> servers_;
    Options options_;
    Millis started_at_;
    std::unique_ptr<Simulation> simulation_;
    std::vector<ControllerProcess> controllers_;
    Delay delay_;
    unsigned machines_ = 0;
};

}  // namespace lichendrift::simulation
