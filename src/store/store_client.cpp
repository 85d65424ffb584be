// Requests to the state service and the interpretation of their replies.
#include "store/store_client.h"

#include <algorithm>

#include "net/http_status.h"

namespace lichendrift::store {

namespace {

namespace http_status = net::http_status;

constexpr Millis kRequestTimeout = 1500;
constexpr Millis kLeaseTimeout = 1000;
constexpr Millis kWatchMargin = 3000;  // time for the reply after the time that a watch may block
constexpr Millis kRateLimitPause = 150;
constexpr Millis kProbeInterval = 400;
constexpr std::size_t kPageItems = 200;

Outcome outcome_of(const net::HttpReply& reply) {
    switch (reply.status) {
        case 0:
            return reply.sent ? Outcome::Unknown : Outcome::Unavailable;
        case http_status::kOk:
            return Outcome::Ok;
        case http_status::kNotFound:
        case http_status::kGone:
            return Outcome::Missing;
        case http_status::kConflict:
            return Outcome::Conflict;
        case http_status::kTooManyRequests:
        case http_status::kUnavailable:
            return Outcome::Unavailable;
        case http_status::kBadRequest:
            return Outcome::Rejected;
        default:
            return Outcome::Unknown;
    }
}

std::string lease_path(std::uint64_t lease) { return "/grants/" + std::to_string(lease); }

}  // namespace

StoreClient::StoreClient(net::Runtime& runtime, const StoreSettings& settings)
    : runtime_(runtime),
      address_(settings.address),
      limiter_(settings, runtime.now()),
      queue_(runtime, limiter_, [this](QueuedRequest request) { send(std::move(request)); }),
      limits_(settings) {}

// ---- sending ----

void StoreClient::enqueue(RequestPriority priority, net::HttpRequest request, Millis timeout,
                          net::OnReply done) {
    queue_.push(priority, {.request = std::move(request),
                           .writes = 0,
                           .timeout = timeout,
                           .expires_at = runtime_.now() + std::min(timeout, kRequestTimeout),
                           .done = std::move(done)});
}

void StoreClient::send(QueuedRequest request) {
    // A watch may remain unanswered for long, which says nothing about the service's health.
    const bool is_watch = request.timeout > kRequestTimeout;
    const auto id = is_watch ? 0 : health_.on_sent(runtime_.now());
    runtime_.call(
        address_, std::move(request.request), request.timeout,
        callbacks_.bind([this, id, is_watch, done = std::move(request.done)](net::HttpReply reply) {
            if (!is_watch) health_.on_ended(id);
            on_reply_status(reply.status);
            done(std::move(reply));
        }));
}

void StoreClient::on_reply_status(int status) {
    const auto now = runtime_.now();
    if (status == http_status::kTooManyRequests) limiter_.pause_until(now + kRateLimitPause);
    health_.on_status(status, now);
    if (health_.is_failing()) schedule_probe();
}

// While the service fails, users' requests are refused without contacting it, and watches remain
// pending. Without these probes the controller would notice the recovery of the service late.
void StoreClient::schedule_probe() {
    if (probe_scheduled_) return;
    probe_scheduled_ = true;
    runtime_.after(kProbeInterval, callbacks_.bind([this] {
        probe_scheduled_ = false;
        if (!health_.is_failing()) return;
        get(RequestPriority::Read, "token", [](Outcome, const wire::Item&) {});
    }));
}

bool StoreClient::can_write_immediately(std::size_t writes) {
    limiter_.refill(runtime_.now());
    return queue_.empty() && limiter_.has_spare_capacity(writes);
}

// ---- reading ----

// Returns a reply handler that parses the body and passes it to `done`. A malformed body counts as
// no reply (Outcome::Unknown).
template <typename Parse, typename Done>
net::OnReply StoreClient::make_reply_handler(Parse parse, Done done) {
    return [this, parse, done = std::move(done)](const net::HttpReply& reply) {
        const auto outcome = outcome_of(reply);
        if (outcome != Outcome::Ok) return done(outcome, {});
        auto body = parse(reply.body);
        if (!body) {
            malformed_.note(runtime_.now());
            return done(Outcome::Unknown, {});
        }
        done(Outcome::Ok, std::move(*body));
    };
}

void StoreClient::get(RequestPriority priority, const std::string& key, OnItem done) {
    enqueue(priority, {"GET", "/store/" + key, ""}, kRequestTimeout,
            make_reply_handler(wire::parse_item, std::move(done)));
}

void StoreClient::list(RequestPriority priority, const std::string& prefix,
                       const std::string& since, OnPage done) {
    std::string target = "/store?prefix=" + prefix;
    if (!since.empty()) target += "&since=" + since;
    target += "&limit=" + std::to_string(kPageItems);
    enqueue(priority, {"GET", std::move(target), ""}, kRequestTimeout,
            make_reply_handler(wire::parse_items, std::move(done)));
}

void StoreClient::watch(RequestPriority priority, const std::string& prefix, std::uint64_t since,
                        Millis block, OnPage done) {
    enqueue(priority,
            {"GET",
             "/watch?prefix=" + prefix + "&since=" + std::to_string(since) +
                 "&blockMs=" + std::to_string(block),
             ""},
            block == 0 ? kRequestTimeout : block + kWatchMargin,
            make_reply_handler(wire::parse_changes, std::move(done)));
}

// ---- transactions ----

void StoreClient::transact(RequestPriority priority, const std::vector<wire::Condition>& conditions,
                           const std::vector<wire::Change>& changes, OnTransaction done) {
    SizeLimits::RejectedTransaction size{.operations = changes.size()};
    bool has_lease = false;
    for (const auto& change : changes) {
        size.largest_value_bytes = std::max(size.largest_value_bytes, change.value.size());
        has_lease |= change.lease != 0;
    }
    queue_.push(priority, {.request = {"POST", "/txn", wire::transaction_body(conditions, changes)},
                           .writes = changes.size(),
                           .timeout = kRequestTimeout,
                           .expires_at = runtime_.now() + kRequestTimeout,
                           .done = [this, done = std::move(done), size,
                                    has_lease](const net::HttpReply& reply) {
                               auto result = transaction_result(reply);
                               // A rejected transaction with a lease usually means that
                               // the lease has expired, not that a size limit is exceeded.
                               if (result.outcome == Outcome::Rejected && !has_lease) {
                                   on_rejected(size);
                               }
                               done(std::move(result));
                           }});
}

TransactionResult StoreClient::transaction_result(const net::HttpReply& reply) {
    TransactionResult result;
    result.outcome = outcome_of(reply);
    if (result.outcome == Outcome::Ok) {
        if (const auto revision = wire::parse_revision(reply.body)) {
            result.revision = *revision;
        } else {
            malformed_.note(runtime_.now());
            result.outcome = Outcome::Unknown;
        }
    } else if (result.outcome == Outcome::Conflict) {
        if (auto failed = wire::parse_failed_keys(reply.body)) result.failed = std::move(*failed);
    } else if (result.outcome == Outcome::Missing) {
        result.outcome = Outcome::Unavailable;
    }
    return result;
}

void StoreClient::on_rejected(const SizeLimits::RejectedTransaction& rejected) {
    limits_.on_rejected(rejected, runtime_.now());
    limiter_.set_max_transaction_operations(limits_.max_transaction_operations());
}

// ---- leases ----

void StoreClient::create_lease(Millis duration, OnLease done) {
    enqueue(RequestPriority::Leadership,
            {"POST", "/grants", wire::lease_body(static_cast<std::uint64_t>(duration))},
            kLeaseTimeout,
            [this, done = std::move(done), sent_at = runtime_.now()](const net::HttpReply& reply) {
                auto outcome = outcome_of(reply);
                const auto lease = wire::parse_lease_id(reply.body);
                if (outcome == Outcome::Ok && !lease) {
                    malformed_.note(runtime_.now());
                    outcome = Outcome::Unknown;
                }
                done(outcome, lease.value_or(0), sent_at);
            });
}

void StoreClient::renew_lease(std::uint64_t lease, OnLease done) {
    enqueue(RequestPriority::Leadership, {"POST", lease_path(lease) + "/touch", ""}, kLeaseTimeout,
            [done = std::move(done), lease, sent_at = runtime_.now()](const net::HttpReply& reply) {
                done(outcome_of(reply), lease, sent_at);
            });
}

void StoreClient::release_lease(std::uint64_t lease) {
    enqueue(RequestPriority::Leadership, {"DELETE", lease_path(lease), ""}, kLeaseTimeout,
            [](const net::HttpReply&) {});
}

}  // namespace lichendrift::store
