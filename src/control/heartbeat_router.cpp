// Routing of workers' heartbeats to the leader.
#include "control/heartbeat_router.h"

#include <algorithm>
#include <utility>

#include "control/leader.h"
#include "control/limits.h"
#include "wire/user_messages.h"
#include "wire/worker_messages.h"

namespace lichendrift::control {

namespace {

namespace http_status = net::http_status;

constexpr Millis kForwardDeadlineMs = 2500;
// A silent leader is sent at most one heartbeat in this interval; all others go to relays.
constexpr Millis kSilentLeaderRetryMs = 1000;
constexpr Millis kRelayDeadlineMs = 1200;
constexpr Millis kRelayFailureBackoffMs = 700;
constexpr std::size_t kMaxRelayAttempts = 2;
// At most one in this many connections may carry a forwarded heartbeat. Each machine has one
// heartbeat in flight, and an answer takes milliseconds, so this is enough for thousands of
// machines as long as the leader answers.
constexpr std::size_t kConnectionsPerForward = 5;
constexpr std::size_t kMinForwards = 100;
// A worker is redirected to the leader only after the leader has been silent for the duration of
// its lease plus this margin.
constexpr Millis kRedirectMarginMs = 1000;
constexpr Millis kNever = -100'000;  // longer ago than any interval that is checked here
constexpr int kRetryAfterS = 1;

net::HttpResponse commands_response(const wire::HeartbeatAnswer& answer) {
    return {http_status::kOk, wire::commands_body(answer.token, answer.commands)};
}

net::HttpResponse unavailable(const char* reason) {
    return {http_status::kUnavailable, wire::error_body(reason), kRetryAfterS};
}

net::HttpResponse redirect_to(const std::string& member) {
    return {http_status::kMisdirectedRequest, wire::redirect_body(member), kRetryAfterS};
}

net::HttpResponse forwarded_response(const wire::HeartbeatAnswer& answer) {
    return peer_response(http_status::kOk, wire::encode_heartbeat_answer(answer));
}

void answer_peer(Leader& leader, const core::Report& report, const net::Respond& respond) {
    const auto answer = leader.on_heartbeat(report);
    if (!answer) return respond(peer_response(http_status::kUnavailable));
    respond(forwarded_response(*answer));
}

}  // namespace

HeartbeatRouter::HeartbeatRouter(Dependencies dependencies)
    : deps_(std::move(dependencies)), last_forward_at_(kNever), last_relay_failure_at_(kNever) {}

// ---- a worker's heartbeat ----

void HeartbeatRouter::on_worker_heartbeat(const std::string& body, net::Respond respond) {
    const auto report = wire::parse_report(body);
    if (!report) {
        malformed_.note(deps_.runtime.now());
        return respond({http_status::kBadRequest, wire::error_body("malformed report")});
    }
    deps_.election.observe_token(report->token);
    route(*report, std::move(respond), Attempt::First);
}

void HeartbeatRouter::route(const core::Report& report, net::Respond respond, Attempt attempt) {
    auto* leader = deps_.local_leader();
    if (leader == nullptr) return forward(report, std::move(respond), attempt);
    const auto answer = leader->on_heartbeat(report);
    if (!answer) return respond(unavailable("not the leader"));
    respond(commands_response(*answer));
}

void HeartbeatRouter::forward(const core::Report& report, net::Respond respond, Attempt attempt) {
    const auto& observed = deps_.election.observed();
    const auto* leader = deps_.peers.find(observed.member);
    if (leader == nullptr) return respond(unavailable("no leader is known"));
    if (requests_in_flight_ >= max_requests_in_flight()) {
        return respond(unavailable("too many reports under way"));
    }
    // Only some of the heartbeats are sent to a silent leader: its answer would come after the
    // deadline, and waiting for it costs the worker part of its lease.
    const bool silent = deps_.election.leader_is_silent();
    const auto now = deps_.runtime.now();
    if (silent && now - last_forward_at_ < kSilentLeaderRetryMs) {
        return relay(report, std::move(respond), 0);
    }
    last_forward_at_ = now;
    const bool use_short_deadline = silent || attempt == Attempt::Last;
    send(*leader, peer_path::kHeartbeat, report,
         use_short_deadline ? kRelayDeadlineMs : kForwardDeadlineMs,
         [this, report, respond = std::move(respond), forwarded_to_token = observed.token,
          attempt](const Answer& answer) mutable {
             if (answer) return respond(commands_response(*answer));
             // After the second attempt the worker's own deadline leaves no time for a relay.
             if (attempt == Attempt::Last) return refuse_or_redirect(respond);
             const bool leader_changed =
                 deps_.election.leading() || deps_.election.observed().token != forwarded_to_token;
             if (leader_changed) return route(report, std::move(respond), Attempt::Last);
             relay(report, std::move(respond), 0);
         });
}

// The leader may be unreachable from here but reachable from another controller, for example during
// a network partition between two zones.
void HeartbeatRouter::relay(const core::Report& report, net::Respond respond,
                            std::size_t failed_attempts) {
    const auto others = deps_.peers.all_except(deps_.election.observed().member);
    // Without this backoff, every heartbeat would cause requests to the other controllers while
    // there is no leader.
    const bool failed_recently =
        deps_.runtime.now() - last_relay_failure_at_ < kRelayFailureBackoffMs;
    // A leader that was heard from recently has more probably stopped than become unreachable, so
    // little time is spent on relays.
    const bool silent = deps_.election.leader_is_silent();
    const auto limit = std::min(silent ? kMaxRelayAttempts : 1, others.size());
    if (failed_attempts >= limit || failed_recently) {
        if (!failed_recently) last_relay_failure_at_ = deps_.runtime.now();
        return refuse_or_redirect(respond);
    }
    const auto relay_index = (preferred_relay_ + failed_attempts) % others.size();
    send(*others[relay_index], peer_path::kRelay, report,
         silent ? kRelayDeadlineMs : kRelayDeadlineMs / 2,
         [this, report, respond = std::move(respond), failed_attempts,
          relay_index](const Answer& answer) mutable {
             if (!answer) return relay(report, std::move(respond), failed_attempts + 1);
             preferred_relay_ = relay_index;
             respond(commands_response(*answer));
         });
}

void HeartbeatRouter::send(const Peer& to, const char* path, const core::Report& report,
                           Millis deadline_ms, OnAnswer on_answer) {
    ++requests_in_flight_;
    deps_.peers.call(to, path, wire::encode_report(report), deadline_ms,
                     [this, token = report.token,
                      on_answer = std::move(on_answer)](const net::HttpReply& reply) {
                         --requests_in_flight_;
                         auto answer =
                             deps_.peers.decode_reply(reply, wire::decode_heartbeat_answer);
                         // The worker would drop an answer with a lower token and send its
                         // heartbeat here again.
                         if (answer && answer->token < token) answer.reset();
                         on_answer(std::move(answer));
                     });
}

int HeartbeatRouter::max_requests_in_flight() const {
    return static_cast<int>(
        std::max(kMinForwards, deps_.settings.max_connections / kConnectionsPerForward));
}

void HeartbeatRouter::refuse_or_redirect(const net::Respond& respond) const {
    // If the controllers cannot reach each other, the worker may still reach the leader directly.
    // It must not be redirected to a leader that has stopped, because it would lose seconds of its
    // lease there. A leader that has been silent for longer than its lease, while the state service
    // still has its record, is running.
    const auto& leader = deps_.election.observed().member;
    const bool silent_beyond_lease =
        deps_.election.leader_silent_for() > kLeaderLeaseMs + kRedirectMarginMs;
    if (deps_.store.responsive() && silent_beyond_lease && deps_.peers.find(leader) != nullptr) {
        return respond(redirect_to(leader));
    }
    if (const auto* next = controller_after_silent_leader()) {
        return respond(redirect_to(next->member));
    }
    respond(unavailable("no leader answers"));
}

// After a 503 a worker tries the next controller. If that is the silent leader, it waits there
// until its deadline; with the time already spent here, its lease would expire just after the next
// leader has taken over. So it is redirected to the controller after the silent leader. Null if the
// next controller is not the silent leader.
const Peer* HeartbeatRouter::controller_after_silent_leader() const {
    const auto next = deps_.peers.in_order_after_self();
    if (next.size() < 2 || !deps_.election.leader_is_silent()) return nullptr;
    return next[0]->member == deps_.election.observed().member ? next[1] : nullptr;
}

// ---- requests from peers ----

void HeartbeatRouter::on_forwarded_heartbeat(const std::string& body, const net::Respond& respond) {
    const auto report = wire::decode_report(body);
    if (!report) return deps_.peers.refuse_malformed(respond);
    auto* leader = deps_.local_leader();
    if (leader == nullptr) return respond(peer_response(http_status::kUnavailable));
    answer_peer(*leader, *report, respond);
}

void HeartbeatRouter::on_relay_request(const std::string& body, const net::Respond& respond) {
    const auto report = wire::decode_report(body);
    if (!report) return deps_.peers.refuse_malformed(respond);
    if (auto* leader = deps_.local_leader()) return answer_peer(*leader, *report, respond);
    forward_for_peer(*report, respond);
}

void HeartbeatRouter::forward_for_peer(const core::Report& report, const net::Respond& respond) {
    const auto* leader = deps_.peers.find(deps_.election.observed().member);
    if (leader == nullptr || deps_.election.leader_is_silent() ||
        requests_in_flight_ >= max_requests_in_flight()) {
        return respond(peer_response(http_status::kUnavailable));
    }
    send(*leader, peer_path::kHeartbeat, report, kRelayDeadlineMs, [respond](const Answer& answer) {
        if (!answer) return respond(peer_response(http_status::kUnavailable));
        respond(forwarded_response(*answer));
    });
}

}  // namespace lichendrift::control
