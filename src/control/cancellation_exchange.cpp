// Exchange of confirmed cancellations between controllers, and the time up to which all of them are
// known here.
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
// The peers are queried if the copy of the open jobs is older than kMaxJobsAgeMs. No task is
// started if all cancellations are known only up to a time that is longer ago than
// kMaxAgeForTaskStartsMs.
constexpr Millis kMaxJobsAgeMs = 1200;
constexpr Millis kMaxAgeForTaskStartsMs = 1200;
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

// ---- announcing the cancellations that this controller confirms ----

// A leader that the state service refuses, while it answers the other controllers, keeps renewing
// the leases of its workers while another controller confirms cancellations to users. If the state
// service then fails for all controllers, no other leader can be elected. So cancellations are also
// sent directly from controller to controller.
void CancellationExchange::announce(const wire::Cancellation& cancellation) {
    if (!settings_.guards.cancellations_announced) return;
    for (std::size_t i = 0; i < outboxes_.size(); ++i) {
        // A cancellation that does not fit in the queue is in the answer to the peer's next query.
        if (outboxes_[i].queued.size() < kMaxQueuedAnnouncements) {
            outboxes_[i].queued.push_back(cancellation);
        }
        send_outbox(i);
    }
}

void CancellationExchange::send_outbox(std::size_t peer) {
    auto& outbox = outboxes_[peer];
    if (outbox.queued.empty() || outbox.requests_in_flight >= kMaxAnnouncementsInFlight) return;
    ++outbox.requests_in_flight;
    const wire::CancellationUpdate news{0, std::exchange(outbox.queued, {})};
    peers_.call(peers_.all()[peer], peer_path::kCancellationAnnouncement,
                wire::encode_cancellation_update(news), kDeadlineMs,
                [this, peer](const net::HttpReply&) {
                    --outboxes_[peer].requests_in_flight;
                    send_outbox(peer);
                });
}

void CancellationExchange::on_announcement(const std::string& body, const net::Respond& respond) {
    const auto news = wire::decode_cancellation_update(body);
    if (!news) return peers_.refuse_malformed(respond);
    apply(*news);
    respond(peer_response(http_status::kOk));
}

void CancellationExchange::apply(const wire::CancellationUpdate& news) {
    for (const auto& cancellation : news.cancelled) {
        if (wire::valid_job_id(cancellation.id)) job_watcher_.on_peer_cancellation(cancellation);
    }
}

// ---- querying the peers ----

void CancellationExchange::begin_term() {
    leading_ = true;
    ++term_;
    last_complete_query_at_ = 0;
    renewals_suspended_ = false;
    schedule_jobs_age_check();
}

void CancellationExchange::end_term() { leading_ = false; }

void CancellationExchange::schedule_jobs_age_check() {
    runtime_.after(kAgeCheckIntervalMs, [this, term = term_] {
        if (term != term_ || !leading_) return;
        schedule_jobs_age_check();
        check_jobs_age();
    });
}

void CancellationExchange::check_jobs_age() {
    const auto age = runtime_.read_clock() - job_watcher_.read_at();
    // Without requests from users nothing else refreshes the copy of the open jobs.
    if (age > kAgeCheckIntervalMs) job_watcher_.refresh([](bool) {});
    if (age > kMaxJobsAgeMs) query_peers();
}

void CancellationExchange::query_peers() {
    if (!settings_.guards.cancellations_announced) return;
    // Once all peers have answered, every cancellation confirmed before `sent` is known here; for a
    // later one, the period of cancel_s begins later as well. The query does not count if a peer
    // does not answer, or if its answer is complete only after a later revision than `since`.
    const auto sent = runtime_.read_clock();
    const auto since = job_watcher_.revision();
    auto pending_replies = std::make_shared<std::size_t>(peers_.all().size());
    if (peers_.all().empty()) last_complete_query_at_ = sent;
    for (const auto& peer : peers_.all()) {
        peers_.call(peer, peer_path::kCancellationQuery, wire::encode_cancellation_query(since),
                    kDeadlineMs, [this, sent, since, pending_replies](const net::HttpReply& reply) {
                        const auto news =
                            peers_.decode_reply(reply, wire::decode_cancellation_update);
                        if (!news) return;
                        apply(*news);
                        if (news->complete_after > since || --*pending_replies > 0) return;
                        last_complete_query_at_ = std::max(last_complete_query_at_, sent);
                    });
    }
}

void CancellationExchange::on_query(const std::string& body, const net::Respond& respond) {
    const auto since = wire::decode_cancellation_query(body);
    if (!since) return peers_.refuse_malformed(respond);
    wire::CancellationUpdate news{
        job_watcher_.cancellations().complete_after(),
        job_watcher_.cancellations().newest_after(*since, kMaxCancellationsInAnswer)};
    // A truncated answer must not count as complete for any revision.
    if (news.cancelled.size() >= kMaxCancellationsInAnswer) {
        news.complete_after = std::numeric_limits<std::uint64_t>::max();
    }
    respond(peer_response(http_status::kOk, wire::encode_cancellation_update(news)));
}

// ---- bounds on starting tasks and renewing leases ----

Millis CancellationExchange::all_known_until() const {
    return std::max(job_watcher_.read_at(), last_complete_query_at_);
}

// A leader that was paused during an outage may resume with a valid leader lease and an outdated
// copy of the open jobs. It would then start tasks of jobs that were cancelled meanwhile.
bool CancellationExchange::may_start_tasks() const {
    if (!settings_.guards.runs_need_fresh_jobs) return true;
    return runtime_.read_clock() - all_known_until() <= kMaxAgeForTaskStartsMs;
}

// This bound holds without any message from a peer: a lease that is renewed now expires at most
// lease_s from now, and that must be within cancel_s of any cancellation that is not known here.
bool CancellationExchange::may_renew_leases() {
    if (!settings_.guards.cancellations_bound_leases) return true;
    const auto slack_ms =
        static_cast<Millis>((settings_.cancel_s - settings_.lease_s) * kMsPerSecond);
    const auto max_age_ms = std::max(slack_ms - kCancellationMarginMs, kMinRenewalWindowMs);
    const bool may_renew = runtime_.read_clock() - all_known_until() <= max_age_ms;
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
