#include "cli/serve.h"

#include <malloc.h>
#include <spdlog/spdlog.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <csignal>
#include <ctime>
#include <mutex>
#include <optional>
#include <random>
#include <thread>

#include "cli/log.h"
#include "control/controller.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace lichendrift::cli {

namespace {

constexpr std::size_t kMaxBody = std::size_t{64} << 10;
constexpr std::size_t kMaxPeerBody = std::size_t{1} << 20;

// The planner's own thread: trial placement never delays an answer by more than a turn.
class PlannerThread {
  public:
    explicit PlannerThread(net::EventLoop& loop) : loop_(loop), thread_([this] { run(); }) {}
    ~PlannerThread() {
        {
            std::scoped_lock lock(mutex_);
            stop_ = true;
        }
        wake_.notify_one();
        thread_.join();
    }
    void submit(std::function<core::Snapshot()> take, std::function<void(core::Plan)> done) {
        {
            std::scoped_lock lock(mutex_);
            take_ = std::move(take);
            done_ = std::move(done);
        }
        wake_.notify_one();
    }

  private:
    void run() {
        for (;;) {
            std::function<core::Snapshot()> take;
            std::function<void(core::Plan)> done;
            {
                std::unique_lock lock(mutex_);
                wake_.wait(lock, [this] { return stop_ || take_; });
                if (stop_) return;
                take = std::exchange(take_, nullptr);
                done = std::exchange(done_, nullptr);
            }
            auto plan = std::make_shared<core::Plan>(core::make_plan(take()));
            loop_.post([plan, done = std::move(done)] { done(std::move(*plan)); });
        }
    }

    net::EventLoop& loop_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::function<core::Snapshot()> take_;
    std::function<void(core::Plan)> done_;
    bool stop_ = false;
    std::thread thread_;
};

class DaemonRuntime : public net::Runtime, public control::PlanExecutor {
  public:
    DaemonRuntime(net::EventLoop& loop, net::HttpClient& client)
        : loop_(loop), client_(client), planner_(loop), random_(std::random_device{}()) {}
    net::Millis now() override { return loop_.now(); }
    net::Millis read_clock() override { return loop_.read_clock(); }
    std::int64_t wall_ms() override {
        timespec ts{};
        ::clock_gettime(CLOCK_REALTIME, &ts);
        return static_cast<std::int64_t>(ts.tv_sec) * 1000 + ts.tv_nsec / 1'000'000;
    }
    std::uint64_t random() override { return random_(); }
    void call(const std::string& address, net::HttpRequest request, net::Millis deadline,
              net::OnReply on_reply) override {
        client_.call(address, request, deadline, std::move(on_reply));
    }
    net::TimerId after(net::Millis delay, std::function<void()> fn) override {
        return loop_.after(delay, std::move(fn));
    }
    void log_context(const std::string& text) override { set_log_context(text); }
    void cancel(net::TimerId id) override { loop_.cancel(id); }
    void plan(std::function<core::Snapshot()> take, std::function<void(core::Plan)> done) override {
        planner_.submit(std::move(take), std::move(done));
    }

  private:
    net::EventLoop& loop_;
    net::HttpClient& client_;
    PlannerThread planner_;
    std::mt19937_64 random_;
};

// The end of the process in good order. Written by a signal handler, which may do little else.
std::atomic<int> end_event{-1};

void on_end_signal(int) {
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto n = ::write(end_event.load(), &one, sizeof one);
}

// On a signal to end the controller hands over what it holds, so that its successors need not wait
// for its leases; then the loop stops.
class OrderlyEnd {
  public:
    OrderlyEnd(net::EventLoop& loop, control::Controller& controller)
        : event_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
        if (!event_.valid()) return;
        end_event = event_.get();
        loop.add(event_.get(), EPOLLIN, [this, &loop, &controller](std::uint32_t) {
            loop.remove(event_.get());
            controller.hand_over();
            loop.after(kHandOverTime, [&loop] { loop.stop(); });
        });
        struct sigaction action {};
        action.sa_handler = on_end_signal;
        ::sigaction(SIGTERM, &action, nullptr);
        ::sigaction(SIGINT, &action, nullptr);
    }

  private:
    static constexpr net::Millis kHandOverTime = 300;
    net::Fd event_;
};

}  // namespace

int serve(const control::Settings& settings) {
    // One arena: two threads need no more, and memory is short.
    ::mallopt(M_ARENA_MAX, 1);  // NOLINT(concurrency-mt-unsafe): before the threads start
    set_log_context("member=" + settings.member + " role=starting token=0");
    net::EventLoop loop;
    net::SocketBudget budget;
    budget.max_sockets = settings.max_connections > 40 ? settings.max_connections - 20 : 20;
    net::HttpClient client(loop, budget);
    DaemonRuntime runtime(loop, client);
    control::Controller controller(runtime, runtime, settings);
    net::HttpServer users(
        loop, budget, kMaxBody, budget.max_sockets * 7 / 10,
        [&](const net::HttpRequest& request, net::Respond respond) {
            controller.handle(request, std::move(respond));
        },
        control::Controller::can_wait);
    net::HttpServer peers(
        loop, budget, kMaxPeerBody, budget.max_sockets / 10 + 4,
        [&](const net::HttpRequest& request, net::Respond respond) {
            controller.handle_peer(request, std::move(respond));
        },
        control::Controller::can_wait);
    std::string error;
    if (!users.listen(settings.listen, error) || !peers.listen(settings.peer_bind, error)) {
        spdlog::error("cannot listen on {}", error);
        return 1;
    }
    std::optional<OrderlyEnd> orderly_end;
    if (settings.features.fenced_duties) orderly_end.emplace(loop, controller);
    controller.start();
    loop.run();
    return 0;
}

}  // namespace lichendrift::cli
