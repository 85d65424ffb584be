// How the reports of workers find the leader.
#include <algorithm>

#include "control/controller.h"
#include "control/limits.h"

namespace lichendrift::control {

namespace {

constexpr Millis kForwardDeadline = 2500;
// Of the sockets, for reports under way to the leader. Each machine has one report in flight, and
// an answer takes milliseconds, so this stands for thousands of machines unless nobody answers.
constexpr std::size_t kForwardSockets = 5;  // one of so many
constexpr Millis kForwardAgain = 1000;
constexpr Millis kRelayDeadline = 1200;
constexpr Millis kRelayAgain = 700;
constexpr std::size_t kMaxRelays = 2;

}  // namespace

void Controller::on_heartbeat(const std::string& body, net::Respond respond) {
    auto report = wire::parse_report(body);
    if (!report) {
        malformed_workers_.note(runtime_.now());
        return respond({400, wire::error_body("malformed report")});
    }
    highest_token_ = std::max(highest_token_, report->token);
    take_report(*report, std::move(respond), true);
}

void Controller::take_report(const core::Report& report, net::Respond respond, bool may_retry) {
    if (!leader_) return forward(report, std::move(respond), may_retry);
    auto answer = leader_->on_heartbeat(report);
    if (!answer) return respond({503, wire::error_body("not the leader"), 1});
    respond({200, wire::commands_body(answer->token, answer->commands)});
}

int Controller::max_forwards() const {
    constexpr std::size_t kMin = 100;
    return static_cast<int>(std::max(kMin, settings_.max_connections / kForwardSockets));
}

bool Controller::leader_is_quiet() const {
    return runtime_.now() - std::max(known_.last_announcement_at, known_.seen_at) > kLeaderFresh;
}

void Controller::forward(const core::Report& report, net::Respond respond, bool may_retry) {
    const auto* leader = peer(known_.member);
    if (leader == nullptr) return respond({503, wire::error_body("no leader is known"), 1});
    if (forwarding_ >= max_forwards()) {
        return respond({503, wire::error_body("too many reports under way"), 1});
    }
    // A leader that has gone quiet is not worth waiting for at each report: its answer would come
    // after the deadline, and a worker that waits loses time of its lease.
    const bool quiet = leader_is_quiet();
    if (quiet && runtime_.now() - forward_tried_ < kForwardAgain) {
        return relay(report, std::move(respond), 0);
    }
    forward_tried_ = runtime_.now();
    const bool short_of_time = quiet || !may_retry;
    send_report(*leader, "/peer/beat", report, short_of_time ? kRelayDeadline : kForwardDeadline,
                [this, report, respond, requested = known_.token,
                 may_retry](std::optional<wire::HeartbeatAnswer> answer) mutable {
                    if (answer) {
                        return respond({200, wire::commands_body(answer->token, answer->commands)});
                    }
                    // Another leader has come while the old one was waited for.
                    if (may_retry && (leader_ || known_.token != requested)) {
                        return take_report(report, std::move(respond), false);
                    }
                    // After a second try the worker's own deadline leaves no time for more.
                    if (!may_retry) return unanswered(respond);
                    relay(report, std::move(respond), 0);
                });
}

void Controller::send_report(const Peer& to, const char* target, const core::Report& report,
                             Millis deadline,
                             std::function<void(std::optional<wire::HeartbeatAnswer>)> done) {
    ++forwarding_;
    runtime_.call(
        to.address, {"POST", target, wire::encode_report(report)}, deadline,
        [this, token = report.token, done = std::move(done)](const net::HttpReply& reply) {
            --forwarding_;
            auto answer =
                reply.status == 200 ? wire::decode_heartbeat_answer(reply.body) : std::nullopt;
            if (reply.status == 200 && !answer) malformed_peers_.note(runtime_.now());
            // An answer with a lower token would be dropped and keep the worker here.
            if (answer && answer->token < token) answer.reset();
            done(std::move(answer));
        });
}

// The way to the leader may be closed from here and open from another node, as when two zones can't
// reach each other: the report goes round by a peer.
void Controller::relay(const core::Report& report, net::Respond respond, std::size_t tries) {
    std::vector<const Peer*> others;
    for (const auto& s : settings_.peers) {
        if (s.member != known_.member) others.push_back(&s);
    }
    // While nobody leads each report would otherwise ask all the others.
    const bool vain = runtime_.now() - relay_failed_at_ < kRelayAgain;
    // A leader that was heard just now has rather ended: little time is spent on the way round.
    const bool quiet = leader_is_quiet();
    const auto limit = std::min(quiet ? kMaxRelays : 1, others.size());
    if (tries >= limit || vain) {
        if (!vain) relay_failed_at_ = runtime_.now();
        return unanswered(respond);
    }
    const auto at = (relay_at_ + tries) % others.size();
    send_report(
        *others[at], "/peer/relay", report, quiet ? kRelayDeadline : kRelayDeadline / 2,
        [this, report, respond, tries, at](std::optional<wire::HeartbeatAnswer> answer) mutable {
            if (!answer) return relay(report, std::move(respond), tries + 1);
            relay_at_ = at;
            respond({200, wire::commands_body(answer->token, answer->commands)});
        });
}

// Another node's report that could not reach the leader; it goes to the leader from here or not at
// all, so that it can't go round in circles.
void Controller::pass_relayed(const core::Report& report, const net::Respond& respond) {
    const auto* leader = peer(known_.member);
    if (leader == nullptr || leader_is_quiet() || forwarding_ >= max_forwards()) {
        return respond({503, "", 0, false, true});
    }
    send_report(*leader, "/peer/beat", report, kRelayDeadline,
                [respond](std::optional<wire::HeartbeatAnswer> answer) {
                    if (!answer) return respond({503, "", 0, false, true});
                    respond({200, wire::encode_heartbeat_answer(*answer), 0, false, true});
                });
}

void Controller::unanswered(const net::Respond& respond) const {
    // With the way between the nodes refused the worker may still reach the leader itself. A leader
    // that has ended must not be named, as its worker would lose seconds of its lease there: one
    // that is quiet for longer than its grant lasts, while the state service still shows it, is up.
    const auto quiet = runtime_.now() - std::max(known_.last_announcement_at, known_.seen_at);
    if (store_.responsive() && quiet > kLeaderLease + 1000 && peer(known_.member) != nullptr) {
        return respond({421, wire::redirect_body(known_.member), 1});
    }
    if (const auto* next = past_silent_leader()) {
        return respond({421, wire::redirect_body(next->member), 1});
    }
    respond({503, wire::error_body("no leader answers"), 1});
}

// After a 503 a worker tries the next controller. If that is the silent leader, it waits there
// until its deadline, and with the time spent here its lease ends just after the next leader has
// come. So it is sent on to the controller behind.
const Peer* Controller::past_silent_leader() const {
    std::vector<std::string> ring{settings_.member};
    for (const auto& peer : settings_.peers) ring.push_back(peer.member);
    std::sort(ring.begin(), ring.end());
    const auto self = std::find(ring.begin(), ring.end(), settings_.member) - ring.begin();
    const auto after = [&](std::ptrdiff_t steps) {
        return ring[static_cast<std::size_t>(self + steps) % ring.size()];
    };
    if (ring.size() < 3 || !leader_is_quiet() || after(1) != known_.member) return nullptr;
    return peer(after(2));
}

}  // namespace lichendrift::control
