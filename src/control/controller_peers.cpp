// What controllers tell each other: the leader, versions and cancellations.
#include <algorithm>
#include <limits>
#include <utility>

#include "control/controller.h"
#include "control/limits.h"

namespace lichendrift::control {

namespace {

constexpr int kMaxAnnouncementsInFlight = 4;  // of cancellations under way to one peer
constexpr std::size_t kMaxQueuedAnnouncements = 1000;
constexpr Millis kAnnounceDeadline = 1500;
constexpr Millis kAskEvery = 500;  // the peers for cancellations, while the copy is old
constexpr Millis kCopyIsOld = 1200;
constexpr Millis kRunOnCopy = 1200;          // no run is sent on a copy that is older
constexpr std::size_t kMaxCancelled = 2000;  // in one answer
constexpr Millis kVersionDeadline = 1500;
constexpr Millis kAskVersionsEvery = 2000;

// Controllers answer each other in CBOR.
net::HttpResponse peer_answer(int status, std::string body = "") {
    return {status, std::move(body), 0, false, true};
}

}  // namespace

void Controller::handle_peer(const net::HttpRequest& request, net::Respond respond) {
    if (request.method != "POST") return respond(peer_answer(405));
    const auto& target = request.target;
    if (target == "/peer/beat") return on_peer_report(request.body, respond, false);
    if (target == "/peer/relay") return on_peer_report(request.body, respond, true);
    if (target == "/peer/user") return on_passed_request(request.body, std::move(respond));
    if (target == "/peer/cancelled") return on_cancellations(request.body, respond);
    if (target == "/peer/cancellations") return on_cancellation_query(request.body, respond);
    if (target == "/peer/leader") return on_announcement(request.body, respond);
    if (target == "/peer/version" && settings_.guards.current_version) {
        return on_version(request.body, respond);
    }
    if (target == "/peer/features" && has_features()) return on_features(request.body, respond);
    respond(peer_answer(404));
}

void Controller::refuse_malformed(const net::Respond& respond) {
    malformed_peers_.note(runtime_.now());
    respond(peer_answer(400));
}

// `relayed`: its sender could not reach the leader, which may be reachable from here.
void Controller::on_peer_report(const std::string& body, const net::Respond& respond,
                                bool relayed) {
    const auto report = wire::decode_report(body);
    if (!report) return refuse_malformed(respond);
    if (!leader_ && relayed) return pass_relayed(*report, respond);
    if (!leader_) return respond(peer_answer(503));
    const auto answer = leader_->on_heartbeat(*report);
    if (!answer) return respond(peer_answer(503));
    respond(peer_answer(200, wire::encode_heartbeat_answer(*answer)));
}

// A user's request that its controller can't answer, as the state service refuses it alone. It is
// handled here and never passed on again, so that it can't go round.
void Controller::on_passed_request(const std::string& body, net::Respond respond) {
    const auto passed = wire::decode_forwarded_request(body);
    if (!passed) return refuse_malformed(respond);
    users_.handle(
        {passed->method, passed->target, passed->body},
        [respond = std::move(respond)](const net::HttpResponse& answer) {
            respond(peer_answer(200, wire::encode_forwarded_answer(
                                         {answer.status, answer.retry_after_s, answer.body})));
        });
}

void Controller::on_cancellations(const std::string& body, const net::Respond& respond) {
    const auto news = wire::decode_cancellation_news(body);
    if (!news) return refuse_malformed(respond);
    on_cancellation_news(*news);
    respond(peer_answer(200));
}

void Controller::on_cancellation_query(const std::string& body, const net::Respond& respond) {
    const auto since = wire::decode_cancellation_query(body);
    if (!since) return refuse_malformed(respond);
    wire::CancellationNews news{job_watcher_.cancellations().complete_after(),
                                job_watcher_.cancellations().newest_after(*since, kMaxCancelled)};
    // Cut short, it says nothing of the rest.
    if (news.cancelled.size() >= kMaxCancelled) {
        news.complete_after = std::numeric_limits<std::uint64_t>::max();
    }
    respond(peer_answer(200, wire::encode_cancellation_news(news)));
}

void Controller::on_announcement(const std::string& body, const net::Respond& respond) {
    const auto announcement = wire::decode_announcement(body);
    if (!announcement) return refuse_malformed(respond);
    highest_token_ = std::max(highest_token_, announcement->token);
    if (leader_ && announcement->token > leader_->token()) {
        step_down(events::StepDownReason::HigherTokenAnnounced, announcement->token);
    }
    if (!leader_ && announcement->token >= known_.token) {
        known_.member = announcement->member;
        known_.token = announcement->token;
        known_.store_good = announcement->store_responsive;
        known_.last_announcement_at = runtime_.now();
        users_.set_counts(announcement->counts, announcement->complete);
    }
    respond(peer_answer(200));
}

void Controller::on_version(const std::string& body, const net::Respond& respond) {
    if (!wire::decode_version(body)) return refuse_malformed(respond);
    respond(peer_answer(200, wire::encode_version(wire::kProtocolVersion)));
}

void Controller::announce(const std::vector<wire::JobCounts>& counts, bool all) {
    if (!leader_) return;
    announced_at_ = runtime_.now();
    const auto body =
        wire::encode_announcement({settings_.member, leader_->token(),
                                   store_.responsive() && has_leader_lease(), all, counts});
    for (const auto& s : settings_.peers) {
        runtime_.call(s.address, {"POST", "/peer/leader", body}, 1500,
                      [](const net::HttpReply&) {});
    }
}

// ---- versions ----

// While a peer may be of a version that does not know of it, nothing is stored in a new way: that
// peer may lead at any moment. One that answered stays known, as no older version follows it.
void Controller::ask_versions() {
    for (std::size_t i = 0; i < peer_is_current_.size(); ++i) {
        if (peer_is_current_[i]) continue;
        runtime_.call(settings_.peers[i].address,
                      {"POST", "/peer/version", wire::encode_version(wire::kProtocolVersion)},
                      kVersionDeadline, [this, i](const net::HttpReply& reply) {
                          if (reply.status != 200 || peer_is_current_[i]) return;
                          const auto version = wire::decode_version(reply.body);
                          if (!version) return malformed_peers_.note(runtime_.now());
                          if (*version < wire::kProtocolVersion) return;
                          peer_is_current_[i] = true;
                          if (peers_are_current()) log(events::AllControllersCurrent{});
                      });
    }
    if (!peers_are_current()) runtime_.after(kAskVersionsEvery, [this] { ask_versions(); });
}

bool Controller::peers_are_current() const {
    return settings_.guards.current_version &&
           std::all_of(peer_is_current_.begin(), peer_is_current_.end(),
                       [](bool current) { return current; });
}

// ---- features ----

void Controller::on_features(const std::string& body, const net::Respond& respond) {
    if (!wire::decode_features(body)) return refuse_malformed(respond);
    respond(peer_answer(
        200, wire::encode_features(static_cast<std::uint64_t>(wire::Feature::FencedDuties))));
}

// Fencing begins once every controller takes part. From then on it is durable, so that a peer that
// is down later does not switch it off.
void Controller::ask_features() {
    constexpr auto kFenced = static_cast<std::uint64_t>(wire::Feature::FencedDuties);
    for (std::size_t i = 0; i < peer_fences_.size(); ++i) {
        if (peer_fences_[i]) continue;
        runtime_.call(settings_.peers[i].address,
                      {"POST", "/peer/features", wire::encode_features(kFenced)}, kVersionDeadline,
                      [this, i](const net::HttpReply& reply) {
                          if (reply.status != 200 || peer_fences_[i]) return;
                          const auto features = wire::decode_features(reply.body);
                          if (!features) return malformed_peers_.note(runtime_.now());
                          if ((*features & kFenced) == 0) return;
                          peer_fences_[i] = true;
                          if (peers_fence_duties()) log(events::AllControllersFenceDuties{});
                      });
    }
    if (!peers_fence_duties()) runtime_.after(kAskVersionsEvery, [this] { ask_features(); });
}

bool Controller::peers_fence_duties() const {
    return has_features() && std::all_of(peer_fences_.begin(), peer_fences_.end(),
                                         [](bool fences) { return fences; });
}

// ---- cancellations that the leader cannot read ----

// A leader that the state service refuses alone goes on renewing the leases of its workers, while
// another node tells users that jobs are cancelled. If then the state service is out for all, no
// other leader can come: so the news goes from node to node as well.
void Controller::announce_cancelled(const wire::Cancellation& cancellation) {
    if (!settings_.guards.cancellations_announced) return;
    for (std::size_t i = 0; i < outboxes_.size(); ++i) {
        // What finds no room is told when it is asked for.
        if (outboxes_[i].waiting.size() < kMaxQueuedAnnouncements)
            outboxes_[i].waiting.push_back(cancellation);
        send_cancelled(i);
    }
}

void Controller::send_cancelled(std::size_t peer) {
    auto& box = outboxes_[peer];
    if (box.waiting.empty() || box.under_way >= kMaxAnnouncementsInFlight) return;
    ++box.under_way;
    runtime_.call(settings_.peers[peer].address,
                  {"POST", "/peer/cancelled",
                   wire::encode_cancellation_news({0, std::exchange(box.waiting, {})})},
                  kAnnounceDeadline, [this, peer](const net::HttpReply&) {
                      --outboxes_[peer].under_way;
                      send_cancelled(peer);
                  });
}

void Controller::on_cancellation_news(const wire::CancellationNews& news) {
    for (const auto& cancellation : news.cancelled) {
        if (wire::valid_job_id(cancellation.id)) job_watcher_.on_peer_cancellation(cancellation);
    }
}

void Controller::watch_over_cancellations() {
    const auto number = election_;
    runtime_.after(kAskEvery, [this, number] {
        if (number != election_ || !leader_) return;
        watch_over_cancellations();
        const auto age = runtime_.read_clock() - job_watcher_.read_at();
        // Without users nothing else brings the copy up in time.
        if (age > kAskEvery) job_watcher_.refresh([](bool) {});
        if (age > kCopyIsOld) ask_for_cancellations();
    });
}

void Controller::ask_for_cancellations() {
    if (!settings_.guards.cancellations_announced) return;
    // What a peer tells later than now has cancel_s from then on; so once all have answered,
    // everything told before now is known. One that has forgotten, or is not there, covers nothing.
    const auto sent = runtime_.read_clock();
    const auto since = job_watcher_.revision();
    auto left = std::make_shared<std::size_t>(settings_.peers.size());
    if (settings_.peers.empty()) peers_know_at_ = sent;
    for (const auto& s : settings_.peers) {
        runtime_.call(s.address,
                      {"POST", "/peer/cancellations", wire::encode_cancellation_query(since)},
                      kAnnounceDeadline, [this, sent, since, left](const net::HttpReply& reply) {
                          if (reply.status != 200) return;
                          const auto news = wire::decode_cancellation_news(reply.body);
                          if (!news) return malformed_peers_.note(runtime_.now());
                          on_cancellation_news(*news);
                          if (news->complete_after > since || --*left > 0) return;
                          peers_know_at_ = std::max(peers_know_at_, sent);
                      });
    }
}

// A leader that stood still in an outage wakes with its grant alive and a copy from before: it
// would start what was cancelled meanwhile.
bool Controller::may_start_tasks() {
    if (!has_leader_lease()) return false;
    return !settings_.guards.runs_on_fresh_copy ||
           runtime_.read_clock() - cancellations_known_at() <= kRunOnCopy;
}

// The last word on cancellations that needs no message: a lease that is renewed now ends lease_s
// from now at the latest, and that must be within cancel_s of any confirmation not known here.
bool Controller::may_renew_leases() {
    if (!settings_.guards.cancellations_bound_leases) return true;
    const auto spare = static_cast<Millis>((settings_.cancel_s - settings_.lease_s) * 1000);
    const auto bound = std::max(spare - kCancellationMargin, kMinRenewalTime);
    const bool may = runtime_.read_clock() - cancellations_known_at() <= bound;
    if (may == renewals_held_) {
        renewals_held_ = !may;
        if (may) {
            log(events::LeaseRenewalsResumed{});
        } else {
            log(events::LeaseRenewalsSuspended{});
        }
    }
    return may;
}

}  // namespace lichendrift::control
