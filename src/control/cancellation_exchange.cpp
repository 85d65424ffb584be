// Confirmed cancellations between controllers, and up to when all of them are known here.
#include "control/cancellation_exchange.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "control/limits.h"
#include "wire/user_messages.h"

namespace lichendrift::control {

namespace {

namespace http_status = net::http_status;

constexpr int kMaxAnnouncementsInFlight = 4;  // to one peer
constexpr std::size_t kMaxQueuedAnnouncements = 1000;
constexpr std::size_t kMaxCancellationsInAnswer = 2000;
constexpr Millis kDeadlineMs = 1500;
constexpr Millis kAgeCheckIntervalMs = 500;
// A copy of the jobs that is older is old: the peers are asked, and no task is started.
constexpr Millis kMaxCopyAgeMs = 1200;
constexpr Millis kMaxAgeForStartsMs = 1200;
constexpr double kMsPerSecond = 1000;

}  // namespace

CancellationExchange::CancellationExchange(net::Runtime& runtime, const Settings& settings,
                                           JobWatcher& job_watcher, Peers& peers, EventLog log)
    : runtime_(runtime),
      settings_(settings),
      job_watcher_(job_watcher),
      peers_(peers),
      log_(std::move(log)),
      outboxes_(peers.all().size()) {
    job_watcher_.set_cancellation_listener(
        [this](const wire::Cancellation& cancellation) { announce(cancellation); });
}

// ---- announcing what this controller confirms ----

// A leader that the state service refuses alone goes on renewing the leases of its workers, while
// another controller confirms cancellations to users. If then the state service is out for all, no
// other leader can come: so cancellations go from controller to controller as well.
void CancellationExchange::announce(const wire::Cancellation& cancellation) {
    if (!settings_.guards.cancellations_announced) return;
    for (std::size_t i = 0; i < outboxes_.size(); ++i) {
        // What finds no place in the queue is part of the answer to the peer's next query.
        if (outboxes_[i].waiting.size() < kMaxQueuedAnnouncements) {
            outboxes_[i].waiting.push_back(cancellation);
        }
        send_outbox(i);
    }
}

void CancellationExchange::send_outbox(std::size_t peer) {
    auto& outbox = outboxes_[peer];
    if (outbox.waiting.empty() || outbox.requests_in_flight >= kMaxAnnouncementsInFlight) return;
    ++outbox.requests_in_flight;
    const wire::CancellationNews news{0, std::exchange(outbox.waiting, {})};
    peers_.call(peers_.all()[peer], peer_path::kCancelled, wire::encode_cancellation_news(news),
                kDeadlineMs, [this, peer](const net::HttpReply&) {
                    --outboxes_[peer].requests_in_flight;
                    send_outbox(peer);
                });
}

void CancellationExchange::on_announced(const std::string& body, const net::Respond& respond) {
    const auto news = wire::decode_cancellation_news(body);
    if (!news) return peers_.refuse_malformed(respond);
    learn(*news);
    respond(peer_response(http_status::kOk));
}

void CancellationExchange::learn(const wire::CancellationNews& news) {
    for (const auto& cancellation : news.cancelled) {
        if (wire::valid_job_id(cancellation.id)) job_watcher_.on_peer_cancellation(cancellation);
    }
}

// ---- asking the peers ----

void CancellationExchange::begin_term() {
    leading_ = true;
    ++term_;
    covered_by_peers_at_ = 0;
    renewals_suspended_ = false;
    check_age_later();
}

void CancellationExchange::end_term() { leading_ = false; }

void CancellationExchange::check_age_later() {
    runtime_.after(kAgeCheckIntervalMs, [this, term = term_] {
        if (term != term_ || !leading_) return;
        check_age_later();
        check_age();
    });
}

void CancellationExchange::check_age() {
    const auto age = runtime_.read_clock() - job_watcher_.read_at();
    // While no user asks for anything, nothing else brings the copy up to date.
    if (age > kAgeCheckIntervalMs) job_watcher_.refresh([](bool) {});
    if (age > kMaxCopyAgeMs) query_peers();
}

void CancellationExchange::query_peers() {
    if (!settings_.guards.cancellations_announced) return;
    // What a peer confirms later than now has cancel_s from then on; so once all peers have
    // answered, everything confirmed before now is known. A peer that does not answer, or whose
    // answer begins after `since`, covers nothing.
    const auto sent = runtime_.read_clock();
    const auto since = job_watcher_.revision();
    auto missing = std::make_shared<std::size_t>(peers_.all().size());
    if (peers_.all().empty()) covered_by_peers_at_ = sent;
    for (const auto& peer : peers_.all()) {
        peers_.call(peer, peer_path::kQuery, wire::encode_cancellation_query(since), kDeadlineMs,
                    [this, sent, since, missing](const net::HttpReply& reply) {
                        const auto news =
                            peers_.decode_reply(reply, wire::decode_cancellation_news);
                        if (!news) return;
                        learn(*news);
                        if (news->complete_after > since || --*missing > 0) return;
                        covered_by_peers_at_ = std::max(covered_by_peers_at_, sent);
                    });
    }
}

void CancellationExchange::on_query(const std::string& body, const net::Respond& respond) {
    const auto since = wire::decode_cancellation_query(body);
    if (!since) return peers_.refuse_malformed(respond);
    wire::CancellationNews news{
        job_watcher_.cancellations().complete_after(),
        job_watcher_.cancellations().newest_after(*since, kMaxCancellationsInAnswer)};
    // An answer that is cut short covers nothing.
    if (news.cancelled.size() >= kMaxCancellationsInAnswer) {
        news.complete_after = std::numeric_limits<std::uint64_t>::max();
    }
    respond(peer_response(http_status::kOk, wire::encode_cancellation_news(news)));
}

// ---- what follows from the moment up to which cancellations are known ----

Millis CancellationExchange::known_until() const {
    return std::max(job_watcher_.read_at(), covered_by_peers_at_);
}

// A leader that stood still in an outage wakes with its leader lease alive and a copy from before:
// it would start what was cancelled meanwhile.
bool CancellationExchange::may_start_tasks() const {
    if (!settings_.guards.runs_need_fresh_jobs) return true;
    return runtime_.read_clock() - known_until() <= kMaxAgeForStartsMs;
}

// The bound that needs no message: a lease that is renewed now ends lease_s from now at the latest,
// and that must be within cancel_s of any cancellation that is not known here.
bool CancellationExchange::may_renew_leases() {
    if (!settings_.guards.cancellations_bound_leases) return true;
    const auto spare_ms =
        static_cast<Millis>((settings_.cancel_s - settings_.lease_s) * kMsPerSecond);
    const auto bound_ms = std::max(spare_ms - kCancellationMarginMs, kMinRenewalTimeMs);
    const bool may_renew = runtime_.read_clock() - known_until() <= bound_ms;
    if (may_renew != renewals_suspended_) return may_renew;
    renewals_suspended_ = !may_renew;
    if (may_renew) {
        log_(events::LeaseRenewalsResumed{});
    } else {
        log_(events::LeaseRenewalsSuspended{});
    }
    return may_renew;
}

}  // namespace lichendrift::control
