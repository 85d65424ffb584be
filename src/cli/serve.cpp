// Connects the event loop, the HTTP servers and the controller, and runs them.
#include "cli/serve.h"

#include <malloc.h>
#include <spdlog/spdlog.h>

#include <cstddef>
#include <optional>
#include <utility>

#include "cli/daemon_runtime.h"
#include "cli/log.h"
#include "cli/orderly_shutdown.h"
#include "cli/planner_thread.h"
#include "control/controller.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace lichendrift::cli {

namespace {

constexpr std::size_t kMaxUserBodyBytes = std::size_t{64} << 10;
constexpr std::size_t kMaxPeerBodyBytes = std::size_t{1} << 20;

// File descriptors of the machine's connection limit that are reserved for other uses than sockets.
constexpr std::size_t kReservedDescriptors = 20;

net::SocketBudget socket_budget(const control::Settings& settings) {
    net::SocketBudget budget;
    budget.max_sockets = settings.max_connections > 2 * kReservedDescriptors
                             ? settings.max_connections - kReservedDescriptors
                             : kReservedDescriptors;
    return budget;
}

// Shares of the socket budget in tenths: 7 for connections of users and workers, 1 for those of
// peers. The rest is left for the process's own outgoing requests, so that they get sockets even
// when all users connect at once.
constexpr std::size_t kUserTenths = 7;
constexpr std::size_t kPeerTenths = 1;
constexpr std::size_t kMinPeerConnections = 4;

net::HttpServer::Limits user_limits(const net::SocketBudget& budget) {
    return {.max_body_bytes = kMaxUserBodyBytes,
            .max_connections = budget.max_sockets * kUserTenths / 10};
}
net::HttpServer::Limits peer_limits(const net::SocketBudget& budget) {
    return {.max_body_bytes = kMaxPeerBodyBytes,
            .max_connections = budget.max_sockets * kPeerTenths / 10 + kMinPeerConnections};
}

bool listen(net::HttpServer& server, const std::string& address) {
    const auto listening = server.listen(address);
    if (!listening) spdlog::error("cannot listen on {}", listening.error());
    return listening.has_value();
}

}  // namespace

int serve(const control::Settings& settings) {
    // One malloc arena is enough for two threads and saves memory, which is scarce.
    ::mallopt(M_ARENA_MAX, 1);  // NOLINT(concurrency-mt-unsafe): called before other threads start
    set_log_context("member=" + settings.member + " role=starting token=0");
    net::EventLoop loop;
    auto budget = socket_budget(settings);
    net::HttpClient client(loop, budget);
    DaemonRuntime runtime(loop, client);
    PlannerThread planner(loop);
    control::Controller controller(runtime, planner, settings);
    net::HttpServer users(
        loop, budget, user_limits(budget),
        [&](const net::HttpRequest& request, net::Respond respond) {
            controller.handle(request, std::move(respond));
        },
        control::Controller::can_wait);
    net::HttpServer peers(
        loop, budget, peer_limits(budget),
        [&](const net::HttpRequest& request, net::Respond respond) {
            controller.handle_peer(request, std::move(respond));
        },
        control::Controller::can_wait);
    if (!listen(users, settings.listen) || !listen(peers, settings.peer_bind)) return 1;
    std::optional<OrderlyShutdown> shutdown;
    if (settings.features.fenced_duties) shutdown.emplace(loop, controller);
    controller.start();
    loop.run();
    return 0;
}

}  // namespace lichendrift::cli
