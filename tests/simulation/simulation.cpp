// The simulation itself: controllers, network, faults and time.
#include "simulation/simulation.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "simulation/messages.h"

namespace lichendrift::simulation {

class Simulation::NodeRuntime : public net::Runtime, public control::PlanExecutor {
  public:
    NodeRuntime(Simulation& simulation, std::size_t node) : simulation_(simulation), node_(node) {}
    Millis now() override {
        // The steady clocks of the controllers drift apart by 0.025% per node index.
        return simulation_.now_ + simulation_.now_ * static_cast<Millis>(node_) / 4000;
    }
    Millis read_clock() override { return now(); }
    std::int64_t wall_ms() override { return 1'700'000'000'000 + simulation_.now_; }
    std::uint64_t random() override { return simulation_.rng_(); }
    void call(const std::string& address, net::HttpRequest request, Millis deadline,
              net::OnReply on_reply) override {
        simulation_.trace("request", node_name(node_) + ">" + address,
                          request.method + " " + request.target, request.body, deadline);
        simulation_.trace("bound", node_name(node_), "", "", request.not_after);
        simulation_.call(node_name(node_), address, std::move(request), deadline,
                         if_alive(std::move(on_reply)));
    }
    net::TimerId after(Millis delay, std::function<void()> fn) override {
        const auto id = ++next_;
        timers_.insert(id);
        fire(simulation_.now_ + std::max<Millis>(delay, 0), [this, id, fn = std::move(fn)] {
            if (timers_.erase(id) != 0) fn();
        });
        return id;
    }
    // Pauses the process until then; its clock continues, and messages to it are queued.
    void freeze(Millis until) { frozen_until_ = std::max(frozen_until_, until); }
    [[nodiscard]] Millis frozen_until() const { return frozen_until_; }
    void cancel(net::TimerId id) override { timers_.erase(id); }
    void log_context(const std::string& text) override {
        spdlog::set_pattern(std::to_string(simulation_.now_) + " " + text + " %v");
    }
    void plan(std::function<core::Snapshot()> take, std::function<void(core::Plan)> done) override {
        auto plan = core::make_plan(take());
        // Planning takes up to 40 ms, during which the cluster state changes.
        after(static_cast<Millis>(simulation_.random_below(40)),
              [plan = std::move(plan), done = std::move(done)] { done(plan); });
    }

  private:
    void fire(Millis when, std::function<void()> fn) {
        simulation_.at(when,
                       [this, fn = std::move(fn), alive = std::weak_ptr<bool>(alive_)]() mutable {
                           if (alive.expired()) return;
                           if (frozen_until_ > simulation_.now_)
                               return fire(frozen_until_, std::move(fn));
                           fn();
                       });
    }
    net::OnReply if_alive(net::OnReply fn) {
        return [this, fn = std::move(fn), alive = std::weak_ptr<bool>(alive_)](net::HttpReply got) {
            if (alive.expired()) return;
            simulation_.trace("reply", node_name(node_), got.sent ? "sent" : "unsent", got.body,
                              got.status);
            if (frozen_until_ <= simulation_.now_) return fn(std::move(got));
            fire(frozen_until_, [fn, got = std::move(got)] { fn(got); });
        };
    }
    Simulation& simulation_;
    std::size_t node_;
    net::TimerId next_ = 0;
    std::set<net::TimerId> timers_;
    Millis frozen_until_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

Simulation::Simulation(Options options) : options_(std::move(options)), rng_(options_.seed) {
    // No trace with external controllers, because they run in real time.
    if (Trace::reporter() && !options_.external) trace_ = std::make_unique<Trace>();
    nodes_.resize(options_.nodes);
    for (auto& node : nodes_) node.current = !options_.old_version;
    state_refused_until_.resize(options_.nodes);
    if (options_.teams.empty()) {
        options_.teams = {{"core", {8000, 0, 0}, {40000, 0, 0}},
                          {"side", {8000, 0, 0}, {24000, 0, 0}}};
    }
    for (std::size_t i = 0; i < options_.machines; ++i) {
        add_worker((options_.alternate_zones ? i % 2 == 0 : i == 0) ? "a" : "b", false);
    }
    for (std::size_t n = 0; n < nodes_.size() && !options_.external; ++n) boot(n);
    for (std::size_t i = 0; i < options_.jobs; ++i) {
        jobs_.push_back(random_job(rng_, i, options_.busy_ms));
    }
    at(0, [this] { tick(); });
    if (options_.faults) at(4000, [this] { inject_fault(); });
}

Simulation::~Simulation() {
    if (!trace_) return;
    Trace::reporter()({options_.seed, options_.nodes, trace_->events(), trace_->digest()});
}

void Simulation::trace(std::string_view kind, std::string_view peer, std::string_view target,
                       std::string_view body, std::int64_t number) {
    if (trace_) trace_->add(now_, kind, peer, target, body, number);
}

void Simulation::at(Millis when, std::function<void()> fn) {
    events_.push({std::max(when, now_), ++event_number_, std::move(fn)});
}

void Simulation::advance(Millis until) {
    while (!events_.empty() && events_.top().at <= until && violation_.empty()) {
        auto event = events_.top();
        events_.pop();
        now_ = std::max(now_, event.at);
        event.fn();
    }
    now_ = std::max(now_, until);
}

std::string Simulation::run() {
    advance(options_.busy_ms + options_.settle_ms);
    if (!violation_.empty()) return violation_;
    for (auto& j : jobs_) {
        if (j.accepted_at < 0 || j.always_fails) continue;
        if (j.is_service()) continue;
        if (j.cancel_confirmed_at < 0 && !j.done_reported) {
            fail("unfinished", j.id + " has " + std::to_string(j.done_tasks.size()) + " of " +
                                   std::to_string(j.count) + " done");
        }
    }
    if (total_starts() == 0) fail("nothing_ran", "no task was started");
    check_served();
    check_duties_at_end();
    return violation_;
}

std::uint64_t Simulation::total_starts() const {
    std::uint64_t n = 0;
    for (const auto& j : jobs_) n += j.starts;
    return n;
}

void Simulation::fail(const std::string& rule, const std::string& detail) {
    if (violation_.empty()) {
        violation_ = rule + ": " + detail + " at " + std::to_string(now_) + " ms, seed " +
                     std::to_string(options_.seed);
    }
}

Job* Simulation::job(const std::string& id) {
    if (job_index_.size() != jobs_.size()) {
        job_index_.clear();
        for (std::size_t i = 0; i < jobs_.size(); ++i) job_index_[jobs_[i].id] = i;
    }
    auto it = job_index_.find(id);
    return it == job_index_.end() ? nullptr : &jobs_[it->second];
}

void Simulation::boot(std::size_t n) {
    control::Settings s;
    s.member = node_name(n);
    s.location = n == 0 ? "a" : "b";
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
        if (other != n) s.peers.push_back({node_name(other), "a", node_name(other) + ":2"});
    }
    s.state = "state:1";
    s.cloud = "cloud:1";
    s.size = nodes_.size();
    s.zones = {"a", "b"};
    s.teams = options_.teams;
    s.report_s = options_.report_s;
    s.lease_s = options_.lease_s;
    s.cancel_s = options_.cancel_s;
    s.gang_peer_s = kGangPeerTimeoutS;
    s.gang_wait_s = kGangWaitS;
    s.state_rps = 150;
    s.state_write_rps = 60;
    s.state_transaction_operations = kMaxTransactionOperations;
    s.cloud_rps = 6;
    s.guards = options_.guards;
    s.guards.current_version &= nodes_[n].current;
    if (options_.limits_announced) s.state_next = options_.next;
    s.policy = options_.policy;
    if (nodes_[n].current) s.features = options_.features;
    nodes_[n].runtime = std::make_unique<NodeRuntime>(*this, n);
    nodes_[n].controller =
        std::make_unique<control::Controller>(*nodes_[n].runtime, *nodes_[n].runtime, s);
    nodes_[n].controller->start();
}

void Simulation::crash(std::size_t n, Millis back_after) {
    if (!nodes_[n].controller) return;
    nodes_[n].controller.reset();
    nodes_[n].runtime.reset();
    std::erase_if(watches_, [&](const Watch& w) { return w.from == node_name(n); });
    fault_until(now_ + back_after);
    at(now_ + back_after, [this, n] { boot(n); });
}

void Simulation::change_version(std::size_t n, bool current, Millis back_after) {
    nodes_[n].current = current;
    crash(n, back_after);
}

std::optional<std::size_t> Simulation::leader() const {
    std::optional<std::size_t> best;
    std::uint64_t token = 0;
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
        const auto& c = nodes_[n].controller;
        if (c && c->leading() && c->token() > token) {
            best = n;
            token = c->token();
        }
    }
    return best;
}

// ---- network ----

void Simulation::partition(const std::string& a, const std::string& b, Millis for_ms, bool delay,
                           bool refuse) {
    partitions_.push_back({a, b, now_ + for_ms, delay, refuse});
    fault_until(now_ + for_ms);
}

void Simulation::freeze(std::size_t node, Millis for_ms) {
    if (!nodes_[node].runtime) return;
    nodes_[node].runtime->freeze(now_ + for_ms);
    ++freezes_;
    fault_until(now_ + for_ms);
}

void Simulation::refuse_state_requests(std::size_t node, Millis for_ms) {
    state_refused_until_[node] = now_ + for_ms;
    fault_until(now_ + for_ms);
}

void Simulation::block_inbound(Worker& worker, Millis for_ms, bool delay) {
    worker.inbound_blocked_until = now_ + for_ms;
    worker.inbound_delayed = delay;
    fault_until(now_ + for_ms);
}

void Simulation::partition_zone(const std::string& zone, const std::string& other, Millis for_ms,
                                bool delay) {
    std::vector<std::string> here;
    std::vector<std::string> there;
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
        (zone == (n == 0 ? "a" : "b") ? here : there).push_back(node_name(n));
    }
    for (const auto& [name, w] : workers_) (w.zone == zone ? here : there).push_back(name);
    if (other.empty()) there.insert(there.end(), {"state", "cloud", "user"});
    for (const auto& a : here) {
        for (const auto& b : there) partition(a, b, for_ms, delay);
    }
}

void Simulation::isolate(std::size_t node, Millis for_ms, bool delay, bool refuse) {
    partition(node_name(node), "state", for_ms, delay, refuse);
    partition(node_name(node), "n", for_ms, delay, refuse);
}

const Simulation::Partition* Simulation::partition_between(const std::string& a,
                                                           const std::string& b) const {
    for (const auto& c : partitions_) {
        if (c.until <= now_) continue;
        if ((a.starts_with(c.a) && b.starts_with(c.b)) ||
            (a.starts_with(c.b) && b.starts_with(c.a))) {
            return &c;
        }
    }
    return nullptr;
}

void Simulation::transmit(const std::string& from, const std::string& to, Millis extra,
                          std::function<void()> deliver, std::function<void()> reset) {
    if (const auto* c = partition_between(from, to)) {
        if (c->delay) {
            at(c->until + 1 + static_cast<Millis>(random_below(5)), std::move(deliver));
        } else {
            at(now_ + 2, std::move(reset));
        }
        return;
    }
    if (now_ < link_delay_until_) {
        extra += link_delay_ / 2 +
                 static_cast<Millis>(random_below(static_cast<std::uint64_t>(link_delay_)));
    }
    at(now_ + 1 + static_cast<Millis>(random_below(4)) + extra, std::move(deliver));
}

void Simulation::call(const std::string& from, const std::string& to, net::HttpRequest request,
                      Millis deadline, net::OnReply on_reply) {
    auto pending_reply = std::make_shared<net::OnReply>(std::move(on_reply));
    const auto finish = [pending_reply](net::HttpReply reply) {
        if (!*pending_reply) return;
        auto fn = std::move(*pending_reply);
        *pending_reply = nullptr;
        fn(std::move(reply));
    };
    at(now_ + deadline, [finish] { finish({0, "", true}); });
    const auto host = host_of(to);
    const bool to_node = host.size() == 2 && host[0] == 'n';
    if (request.target == "/peer/version" || request.target == "/peer/features") {
        return ask_version(from, host, request, finish);
    }
    if (from.size() == 2 && from[0] == 'n') {
        const auto node = static_cast<std::size_t>(from[1] - '0');
        // Calls a copy, because the observer may replace itself.
        if (const auto observer = observer_) observer(node, request);
    }
    const bool down = to_node && !options_.external &&
                      !nodes_[static_cast<std::size_t>(host[1] - '0')].controller;
    if (down) {
        if (random_chance(0.5)) at(now_ + 2, [finish] { finish({0, "", false}); });
        return;
    }
    if (const auto* c = partition_between(from, host); c != nullptr && c->refuse) {
        at(now_ + 2, [finish] { finish({0, "", false}); });
        return;
    }
    Millis extra = 0;
    if (messages_are_lossy() && random_chance(options_.delayed_request_share)) {
        extra = 1000 + static_cast<Millis>(random_below(20000));
    }
    if (messages_are_lossy() && random_chance(options_.repeated_request_share)) {
        repeat(from, to, request, 1000 + static_cast<Millis>(random_below(90'000)));
    }
    if (record_direct_commands_ && request.target == "/do")
        recorded_direct_commands_.push_back({now_, to, request});
    const auto reset = [finish] { finish({0, "", true}); };
    transmit(
        from, host, extra,
        [this, from, to, host, finish, reset, sent = now_, request = std::move(request)] {
            serve(host_of(from), to, request, sent,
                  [this, from, host, finish, reset](const net::HttpResponse& response) {
                      if (messages_are_lossy() && random_chance(options_.lost_response_share)) {
                          return;
                      }
                      if (host == "cloud" && now_ < lost_cloud_answers_until_ &&
                          random_chance(lost_cloud_answers_share_)) {
                          return;
                      }
                      transmit(
                          host, from, 0,
                          [this, finish, response, responded_at = now_] {
                              reply_sent_ = responded_at;
                              finish({response.status, response.body});
                          },
                          reset);
                  });
        },
        reset);
}

// A peer's version and features are requested again until it answers, so delay and loss need not be
// simulated. No random number is drawn, so that existing seeds keep producing the same runs.
void Simulation::ask_version(const std::string& from, const std::string& host,
                             const net::HttpRequest& request,
                             const std::function<void(net::HttpReply)>& finish) {
    if (partition_between(from, host) != nullptr) return;
    at(now_ + 2, [this, host, request, finish] {
        const auto& node = nodes_[static_cast<std::size_t>(host[1] - '0')];
        if (!node.controller || node.runtime->frozen_until() > now_) return;
        node.controller->handle_peer(request, [finish](const net::HttpResponse& response) {
            finish({response.status, response.body});
        });
    });
}

void Simulation::serve(const std::string& from, const std::string& to,
                       const net::HttpRequest& request, Millis sent, net::Respond respond) {
    const auto host = host_of(to);
    if (host == "state" && now_ < state_delay_until_) {
        at(now_ + state_delay_ / 2 +
               static_cast<Millis>(random_below(static_cast<std::uint64_t>(state_delay_))),
           [this, from, request, respond] { serve_state(from, request, respond); });
        return;
    }
    if (host == "state" && request.target == "/txn" && now_ < late_writes_until_ &&
        random_chance(late_writes_share_)) {
        // Executed without a response, after newer transactions of the same controller.
        at(now_ + 2000 + static_cast<Millis>(random_below(10'000)),
           [this, from, request] { serve_state(from, request, [](const net::HttpResponse&) {}); });
        return;
    }
    if (host == "state") {
        return serve_state(from, request, with_answer_delay(from, request, std::move(respond)));
    }
    if (host == "cloud") return serve_cloud(request, respond);
    if (host.size() == 2 && host[0] == 'n') {
        const auto number = static_cast<std::size_t>(host[1] - '0');
        auto& node = nodes_[number];
        if (options_.external) return options_.external(number, request, std::move(respond));
        if (!node.controller) return;
        if (const auto resumes_at = node.runtime->frozen_until(); resumes_at > now_) {
            at(resumes_at, [this, from, to, request, sent, respond] {
                serve(from, to, request, sent, respond);
            });
            return;
        }
        if (options_.peers_without_cancel_messages && request.target.starts_with("/peer/cancel")) {
            return respond({404, ""});
        }
        trace("served", from + ">" + to, request.method + " " + request.target, request.body);
        const auto traced = [this, to, respond = std::move(respond)](net::HttpResponse response) {
            const auto headers = std::to_string(response.retry_after_s) +
                                 (response.close ? " close" : "") + (response.cbor ? " cbor" : "");
            trace("response", to, headers, response.body, response.status);
            respond(std::move(response));
        };
        if (to.ends_with(":2")) return node.controller->handle_peer(request, traced);
        return node.controller->handle(request, traced);
    }
    auto it = workers_.find(host);
    if (it == workers_.end() || it->second.gone || !it->second.up) return;
    Worker& worker = it->second;
    if (worker.inbound_blocked_until > now_) {
        if (!worker.inbound_delayed) return;
        at(worker.inbound_blocked_until + 1,
           [this, from, to, request, sent, respond] { serve(from, to, request, sent, respond); });
        return;
    }
    if (worker.hung_until > now_) {
        worker.deferred.push_back([this, host, request, sent, respond] {
            serve_worker(workers_.at(host), request, sent, respond);
        });
        return;
    }
    serve_worker(worker, request, sent, respond);
}

void Simulation::repeat(const std::string& from, const std::string& to,
                        const net::HttpRequest& request, Millis late) {
    at(now_ + late, [this, from, to, request, sent = now_] {
        serve(host_of(from), to, request, sent, [](const net::HttpResponse&) {});
    });
}

void Simulation::replay_direct_commands(Millis min_age) {
    for (const auto& [sent_at, to, request] : recorded_direct_commands_) {
        if (now_ - sent_at < min_age) continue;
        at(now_ + 1, [this, to = to, request = request, sent = now_] {
            const auto before = total_starts();
            serve("n0", to, request, sent, [](const net::HttpResponse&) {});
            starts_by_copies_ += total_starts() - before;
        });
    }
}

void Simulation::send_counted(std::size_t node, net::HttpRequest request) {
    call("user", node_name(node) + ":1", std::move(request), 2000,
         [this](const net::HttpReply& reply) { counted_replies_ += reply.status != 0 ? 1 : 0; });
}

void Simulation::send(std::size_t node, net::HttpRequest request, net::OnReply on_reply,
                      Millis wait_ms) {
    call("user", node_name(node) + ":1", std::move(request), wait_ms, std::move(on_reply));
}

net::HttpReply Simulation::send_and_wait(std::size_t node, net::HttpRequest request,
                                         Millis wait_ms) {
    std::optional<net::HttpReply> out;
    send(
        node, std::move(request), [&](net::HttpReply reply) { out = std::move(reply); }, wait_ms);
    const auto end = now_ + wait_ms + 10;
    while (!out && now_ < end && violation_.empty()) advance(now_ + 1);
    return out.value_or(net::HttpReply{});
}

void Simulation::tick() {
    for (auto& [id, lease] : leases_) {
        // Leases do not expire during an outage and get their full TTL again after it.
        if (now_ < state_outage_until_)
            lease.second = std::max(lease.second, state_outage_until_ + lease.first);
    }
    std::vector<std::uint64_t> ended;
    for (auto& [id, lease] : leases_) {
        if (now_ >= lease.second) ended.push_back(id);
    }
    for (auto id : ended) {
        leases_.erase(id);
        std::vector<std::string> keys;
        for (auto& [key, lease] : key_lease_) {
            if (lease == id) keys.push_back(key);
        }
        if (!keys.empty()) ++revision_;
        for (const auto& key : keys) apply(key, "", 0);
    }
    wake_watches();
    for (auto& [name, worker] : workers_) worker_tick(worker);
    for (auto& j : jobs_) user_tick(j);
    update_unsettled_time();
    check();
    measure_services();
    check_answers();
    check_waiting();
    at(now_ + 100, [this] { tick(); });
}

void Simulation::update_unsettled_time() {
    const auto leading = leader();
    const auto token = leading ? nodes_[*leading].controller->token() : 0;
    const bool disconnected =
        leading &&
        (partition_between(node_name(*leading), "state") != nullptr ||
         partition_between(node_name(*leading), "cloud") != nullptr ||
         state_refused_until_[*leading] > now_ || nodes_[*leading].runtime->frozen_until() > now_);
    if (!leading || token != last_leader_token_ || disconnected || now_ < state_outage_until_ ||
        now_ < cloud_outage_until_) {
        last_unsettled_at_ = now_;
    }
    last_leader_token_ = token;
}

}  // namespace lichendrift::simulation
