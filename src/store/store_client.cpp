#include "store/store_client.h"

#include <algorithm>

#include "events/format.h"

namespace lichendrift::store {

namespace {

constexpr std::size_t kMaxQueued = 400;
constexpr Millis kTimeout = 1500;
constexpr Millis kProbeEvery = 400;
constexpr std::size_t kPageItems = 200;
constexpr std::size_t kMinValueBytes = 512;
constexpr std::size_t kMinOperations = 2;
constexpr Millis kReportInterval = 3000;

Outcome plain_outcome(const net::HttpReply& reply) {
    if (reply.status == 0) return reply.sent ? Outcome::Unknown : Outcome::Unavailable;
    if (reply.status == 200) return Outcome::Ok;
    if (reply.status == 404 || reply.status == 410) return Outcome::Missing;
    if (reply.status == 409) return Outcome::Conflict;
    if (reply.status == 429 || reply.status == 503) return Outcome::Unavailable;
    if (reply.status == 400) return Outcome::Rejected;
    return Outcome::Unknown;
}

}  // namespace

StoreClient::StoreClient(net::Runtime& runtime, StoreSettings settings)
    : runtime_(runtime), settings_(std::move(settings)) {
    filled_at_ = runtime_.now();
    last_good_ = runtime_.now();
    tokens_ = share_.requests * settings_.rps * 0.5;
    write_tokens_ = share_.writes * settings_.write_rps * 0.5;
}

void StoreClient::refill() {
    const auto now = runtime_.now();
    const double s = static_cast<double>(now - filled_at_) / 1000.0;
    filled_at_ = now;
    const double rate = share_.requests * settings_.rps;
    const double write_rate = share_.writes * settings_.write_rps;
    tokens_ = std::min(tokens_ + s * rate, std::max(rate * 0.5, 2.0));
    // The bucket must hold a whole transaction, or it could never be sent.
    write_tokens_ =
        std::min(write_tokens_ + s * write_rate,
                 std::max(write_rate * 0.5, static_cast<double>(settings_.transaction_operations)));
}

void StoreClient::send(RequestPriority priority, net::HttpRequest request, std::size_t writes,
                       Millis timeout, net::OnReply done) {
    auto& queue = queues_[static_cast<std::size_t>(priority)];
    if (queue.size() >= kMaxQueued) {
        runtime_.after(0, [done = std::move(done)] { done({0, {}, false}); });
        return;
    }
    queue.push_back({std::move(request), static_cast<double>(writes),
                     runtime_.now() + std::min<Millis>(timeout, kTimeout), timeout,
                     std::move(done)});
    pump();
}

void StoreClient::pump() {
    refill();
    const auto now = runtime_.now();
    Millis wait = 0;
    // Changes that have to wait for the pace hold up later changes, but no reads: a leader with
    // more to write than it may would refuse every question of its users.
    bool writes_wait = false;
    for (std::size_t priority = 0; priority < queues_.size(); ++priority) {
        auto& queue = queues_[priority];
        for (auto next = queue.begin(); next != queue.end();) {
            if (next->expires <= now) {
                auto done = std::move(next->done);
                next = queue.erase(next);
                runtime_.after(0, [done = std::move(done)] { done({0, {}, false}); });
                continue;
            }
            const double writes = next->writes;
            // Leadership may go a little into debt: a late renewal costs more than a 429.
            const double floor = priority == 0 ? -3.0 : 0.0;
            if (tokens_ - 1 < floor || (priority > 0 && now < pause_until_)) {
                wait = 20;
                break;
            }
            if (writes > 0 && (writes_wait || write_tokens_ - writes < floor)) {
                writes_wait = true;
                ++next;
                continue;
            }
            tokens_ -= 1;
            write_tokens_ -= writes;
            auto pending = std::move(*next);
            next = queue.erase(next);
            launch(std::move(pending));
        }
        if (wait > 0) break;
    }
    if (writes_wait) wait = 20;
    if (wait > 0 && !timer_) {
        timer_ = true;
        runtime_.after(wait, [this, alive = std::weak_ptr<bool>(alive_)] {
            if (alive.expired()) return;
            timer_ = false;
            pump();
        });
    }
}

void StoreClient::launch(Pending pending) {
    const auto number = ++next_open_;
    const bool counted = pending.timeout <= kTimeout;  // long watches may stay silent
    if (counted) open_.emplace_back(number, runtime_.now());
    runtime_.call(settings_.address, std::move(pending.request), pending.timeout,
                  [this, number, counted, done = std::move(pending.done),
                   alive = std::weak_ptr<bool>(alive_)](net::HttpReply reply) {
                      if (alive.expired()) return;
                      if (counted) {
                          std::erase_if(open_, [&](const auto& o) { return o.first == number; });
                      }
                      note(reply.status);
                      done(std::move(reply));
                  });
}

void StoreClient::note(int status) {
    const auto now = runtime_.now();
    if (status == 429) pause_until_ = now + 150;
    if (status == 0 || status == 503) {
        if (first_bad_ == 0) first_bad_ = now;
        probe();
    } else {
        first_bad_ = 0;
        last_good_ = now;
    }
}

void StoreClient::probe() {
    // While the service fails, users are refused without asking it, and open watches wait: without
    // a question of our own a node would learn late that it answers again.
    if (probing_) return;
    probing_ = true;
    runtime_.after(kProbeEvery, [this, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired()) return;
        probing_ = false;
        if (first_bad_ != 0) get(RequestPriority::Read, "token", [](Outcome, const wire::Item&) {});
    });
}

bool StoreClient::responsive() const {
    const auto now = runtime_.now();
    if (first_bad_ != 0 && now - first_bad_ > 300) return false;
    return open_.empty() || now - open_.front().second < 700;
}

bool StoreClient::can_write_at_once(std::size_t writes) {
    refill();
    return std::all_of(queues_.begin(), queues_.end(), [](const auto& q) { return q.empty(); }) &&
           tokens_ >= 2 && write_tokens_ >= static_cast<double>(writes);
}

Millis StoreClient::failing_for() const {
    return first_bad_ == 0 ? 0 : runtime_.now() - first_bad_;
}

void StoreClient::get(RequestPriority priority, const std::string& key, OnItem done) {
    send(priority, {"GET", "/store/" + key, ""}, 0, kTimeout,
         [this, done = std::move(done)](const net::HttpReply& reply) {
             auto outcome = plain_outcome(reply);
             if (outcome != Outcome::Ok) return done(outcome, {});
             auto item = wire::parse_item(reply.body);
             if (!item) return malformed_.note(runtime_.now()), done(Outcome::Unknown, {});
             done(Outcome::Ok, std::move(*item));
         });
}

void StoreClient::list(RequestPriority priority, const std::string& prefix,
                       const std::string& since, OnPage done) {
    std::string target = "/store?prefix=" + prefix;
    if (!since.empty()) target += "&since=" + since;
    target += "&limit=" + std::to_string(kPageItems);
    send(priority, {"GET", std::move(target), ""}, 0, kTimeout,
         [this, done = std::move(done)](const net::HttpReply& reply) {
             auto outcome = plain_outcome(reply);
             if (outcome != Outcome::Ok) return done(outcome, {});
             auto page = wire::parse_items(reply.body);
             if (!page) return malformed_.note(runtime_.now()), done(Outcome::Unknown, {});
             done(Outcome::Ok, std::move(*page));
         });
}

void StoreClient::transact(RequestPriority priority, const std::vector<wire::Condition>& when,
                           const std::vector<wire::Change>& then, OnTransaction done) {
    std::size_t largest = 0;
    bool leased = false;
    for (const auto& change : then) {
        largest = std::max(largest, change.value.size());
        leased |= change.lease != 0;
    }
    send(priority, {"POST", "/txn", wire::transaction_body(when, then)}, then.size(), kTimeout,
         [this, done = std::move(done), largest, leased,
          operations = then.size()](const net::HttpReply& reply) {
             TransactionResult result;
             result.outcome = plain_outcome(reply);
             // With a lease it mostly says that the lease has run out.
             if (result.outcome == Outcome::Rejected && !leased) note_rejected(largest, operations);
             if (result.outcome == Outcome::Ok) {
                 const auto revision = wire::parse_revision(reply.body);
                 if (revision) {
                     result.revision = *revision;
                 } else {
                     malformed_.note(runtime_.now());
                     result.outcome = Outcome::Unknown;
                 }
             } else if (result.outcome == Outcome::Conflict) {
                 if (auto failed = wire::parse_failed(reply.body)) result.failed = *failed;
             } else if (result.outcome == Outcome::Missing) {
                 result.outcome = Outcome::Unavailable;
             }
             done(std::move(result));
         });
}

// Smaller limits came into force. Where the settings named them, values shrink to them; if even
// what is within them is refused, by half each time, so that nothing is sent unchanged for ever.
void StoreClient::note_rejected(std::size_t largest_value, std::size_t operations) {
    limits_lowered_ = true;
    if (largest_value > settings_.next_value_bytes) {
        settings_.value_bytes = std::min(settings_.value_bytes, settings_.next_value_bytes);
    } else if (largest_value > kMinValueBytes) {
        settings_.value_bytes = std::max(kMinValueBytes, largest_value / 2);
    } else if (operations > kMinOperations) {
        settings_.transaction_operations = std::max(kMinOperations, operations / 2);
    }
    if (runtime_.now() - rejection_reported_at_ < kReportInterval) return;
    rejection_reported_at_ = runtime_.now();
    events::log(events::StateLimitsLowered{
        operations, largest_value, settings_.transaction_operations, settings_.value_bytes});
}

void StoreClient::create_lease(Millis ttl, OnLease done) {
    const auto sent = runtime_.now();
    send(RequestPriority::Leadership,
         {"POST", "/grants", wire::lease_body(static_cast<std::uint64_t>(ttl))}, 0, 1000,
         [this, done = std::move(done), sent](const net::HttpReply& reply) {
             auto outcome = plain_outcome(reply);
             const auto id = wire::parse_lease(reply.body);
             if (outcome == Outcome::Ok && !id) {
                 malformed_.note(runtime_.now());
                 outcome = Outcome::Unknown;
             }
             done(outcome, id.value_or(0), sent);
         });
}

void StoreClient::renew_lease(std::uint64_t lease, OnLease done) {
    const auto sent = runtime_.now();
    send(RequestPriority::Leadership, {"POST", "/grants/" + std::to_string(lease) + "/touch", ""},
         0, 1000, [done = std::move(done), lease, sent](const net::HttpReply& reply) {
             done(plain_outcome(reply), lease, sent);
         });
}

void StoreClient::release_lease(std::uint64_t lease) {
    send(RequestPriority::Leadership, {"DELETE", "/grants/" + std::to_string(lease), ""}, 0, 1000,
         [](const net::HttpReply&) {});
}

void StoreClient::watch(RequestPriority priority, const std::string& prefix, std::uint64_t since,
                        Millis block, OnPage done) {
    send(priority,
         {"GET",
          "/watch?prefix=" + prefix + "&since=" + std::to_string(since) +
              "&blockMs=" + std::to_string(block),
          ""},
         0, block == 0 ? kTimeout : block + 3000,
         [this, done = std::move(done)](const net::HttpReply& reply) {
             auto outcome = plain_outcome(reply);
             if (outcome != Outcome::Ok) return done(outcome, {});
             auto page = wire::parse_changes(reply.body);
             if (!page) return malformed_.note(runtime_.now()), done(Outcome::Unknown, {});
             done(Outcome::Ok, std::move(*page));
         });
}

}  // namespace lichendrift::store
