#include "simulation/loopback_environment.h"

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>

#include "simulation/messages.h"
#include "simulation/processes.h"

namespace lichendrift::simulation {

namespace {

constexpr unsigned kUserPort = 7001;
constexpr unsigned kPeerPort = 7002;
constexpr unsigned kStatePort = 7003;
constexpr unsigned kCloudPort = 7004;
constexpr unsigned kMachinePort = 7009;
constexpr unsigned kFirstMachineHost = 20;  // host number in the addresses of machines
constexpr unsigned kMachineHosts = 200;
constexpr std::size_t kMaxBody = std::size_t{1} << 20;
constexpr Millis kStepMs = 5;

unsigned host_of_node(std::size_t node) { return static_cast<unsigned>(node) + 1; }

}  // namespace

LoopbackEnvironment::LoopbackEnvironment(Options options, const std::string& features)
    : directory_(std::filesystem::temp_directory_path() /
                 ("lichendrift-region-" + std::to_string(::getpid()))),
      client_(loop_, budget_),
      options_(std::move(options)),
      started_at_(net::EventLoop::steady_clock()) {
    budget_.max_sockets = 2000;
    std::filesystem::create_directories(directory_);
    options_.external = [this](std::size_t node, const net::HttpRequest& request,
                               net::Respond respond) {
        forward(node, request, std::move(respond));
    };
    options_.endpoint = [this](const std::string& machine) { return listen_for_machine(machine); };
    simulation_ = std::make_unique<Simulation>(options_);
    controllers_.resize(options_.nodes);
    for (std::size_t n = 0; n < options_.nodes; ++n) {
        listen_for_controller(n);
        write_settings(n, options_.nodes);
    }
    {
        std::ofstream policy(directory_ / "policy");
        policy << options_.policy;
    }
    for (std::size_t n = 0; n < options_.nodes; ++n) {
        const auto name = node_name(n);
        controllers_[n].pid =
            spawn_program({"--features", features, "--policy", (directory_ / "policy").string(),
                           "--config", (directory_ / (name + ".toml")).string()},
                          "info", (directory_ / (name + ".log")).string());
    }
    loop_.after(kStepMs, [this] { tick(); });
}

LoopbackEnvironment::~LoopbackEnvironment() {
    for (const auto& controller : controllers_) end_process(controller.pid);
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

void LoopbackEnvironment::tick() {
    simulation_->advance(net::EventLoop::steady_clock() - started_at_);
    loop_.after(kStepMs, [this] { tick(); });
}

bool LoopbackEnvironment::run_until(const std::function<bool()>& condition, Millis timeout_ms) {
    const auto until = net::EventLoop::steady_clock() + timeout_ms;
    while (net::EventLoop::steady_clock() < until) {
        if (condition()) return true;
        loop_.run_once(kStepMs);
    }
    return condition();
}

void LoopbackEnvironment::write_settings(std::size_t node, std::size_t nodes) const {
    const auto host = host_of_node(node);
    std::ofstream out(directory_ / (node_name(node) + ".toml"));
    out << "member = \"" << node_name(node) << "\"\nlocation = \"a\"\nlisten = \""
        << own_address(host, kUserPort) << "\"\npeer_bind = \"" << own_address(host, kPeerPort)
        << "\"\n";
    for (std::size_t peer = 0; peer < nodes; ++peer) {
        if (peer == node) continue;
        out << "[[siblings]]\nmember = \"" << node_name(peer) << "\"\nlocation = \"a\"\n"
            << "peer_addr = \"" << own_address(host_of_node(peer), kPeerPort) << "\"\n";
    }
    out << "[external]\ncloud = \"" << own_address(host, kCloudPort) << "\"\nstate = \""
        << own_address(host, kStatePort) << "\"\n[settings]\nsize = " << nodes
        << "\nzones = [\"a\", \"b\"]\n[[settings.teams]]\nname = \"core\"\n"
        << "[settings.workers]\nreport_s = " << options_.report_s
        << "\nlease_s = " << options_.lease_s << "\ngang_wait_s = 15.0\ngang_peer_s = 3.0\n"
        << "cancel_s = " << options_.cancel_s << "\n[settings.state]\nrps = 150.0\n"
        << "write_rps = 60.0\nvalue_kb = 8.0\ntxn_ops = 8\n[settings.cloud]\nrps = 20.0\n"
        << "list_lag_s = 2.0\n";
}

void LoopbackEnvironment::listen(const std::string& address, net::HttpServer::Handler handle) {
    constexpr std::size_t kMaxConnections = 400;
    servers_.push_back(std::make_unique<net::HttpServer>(
        loop_, budget_, net::HttpServer::Limits{kMaxBody, kMaxConnections}, std::move(handle)));
    if (const auto listening = servers_.back()->listen(address); !listening) {
        throw std::runtime_error("cannot listen on " + listening.error());
    }
}

// The state service and the cloud listen on a separate address for each controller, which
// identifies the sender of a request.
void LoopbackEnvironment::listen_for_controller(std::size_t node) {
    const auto handler = [this, node](const char* to) {
        return [this, node, to](const net::HttpRequest& request, net::Respond respond) {
            const auto delay_ms = delay_ ? delay_(node, request) : 0;
            const auto carry_out = [this, node, to, request, respond = std::move(respond)] {
                simulation_->serve(node_name(node), to, request, simulation_->now(), respond);
            };
            if (delay_ms == 0) return carry_out();
            loop_.after(delay_ms, carry_out);
        };
    };
    listen(own_address(host_of_node(node), kStatePort), handler("state:1"));
    listen(own_address(host_of_node(node), kCloudPort), handler("cloud:1"));
}

std::string LoopbackEnvironment::listen_for_machine(const std::string& machine) {
    const auto number = machines_++;
    auto address = own_address(kFirstMachineHost + number % kMachineHosts,
                               kMachinePort + number / kMachineHosts);
    listen(address, [this, machine](const net::HttpRequest& request, net::Respond respond) {
        simulation_->serve("n0", machine + ":9", request, simulation_->now(), std::move(respond));
    });
    return address;
}

void LoopbackEnvironment::forward(std::size_t node, const net::HttpRequest& request,
                                  net::Respond respond) {
    constexpr Millis kDeadline = 5000;
    client_.call(own_address(host_of_node(node), kUserPort), request, kDeadline,
                 [respond = std::move(respond)](const net::HttpReply& reply) {
                     if (reply.status != 0) respond({reply.status, reply.body});
                 });
}

void LoopbackEnvironment::stop(std::size_t node) {
    auto& controller = controllers_[node];
    if (controller.pid <= 0 || controller.stopped) return;
    controller.stopped = true;
    ::kill(controller.pid, SIGSTOP);
}

void LoopbackEnvironment::resume(std::size_t node) {
    auto& controller = controllers_[node];
    if (!controller.stopped) return;
    controller.stopped = false;
    ::kill(controller.pid, SIGCONT);
}

bool LoopbackEnvironment::terminate(std::size_t node, Millis timeout_ms) {
    auto& controller = controllers_[node];
    ::kill(controller.pid, SIGTERM);
    int status = 0;
    const bool ended = run_until(
        [&] { return ::waitpid(controller.pid, &status, WNOHANG) == controller.pid; }, timeout_ms);
    if (ended) controller.pid = -1;
    return ended && WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

}  // namespace lichendrift::simulation
