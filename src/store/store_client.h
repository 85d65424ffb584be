#pragma once

// The client of the state service (a consensus-backed key-value store).

#include <functional>
#include <string>
#include <vector>

#include "net/callback_scope.h"
#include "net/malformed_message_counter.h"
#include "net/runtime.h"
#include "store/rate_limiter.h"
#include "store/request_queue.h"
#include "store/service_health.h"
#include "store/size_limits.h"
#include "store/types.h"
#include "wire/state_messages.h"

namespace lichendrift::store {

/// Sends requests to the state service. Rates are limited so that all controllers together stay
/// below the service's limits, every request has a deadline and every queue a bound. Each callback
/// is called once and never from inside the call that it was passed to; once the client is
/// destroyed, no answer calls it any more. Loop thread only; all times are steady.
class StoreClient {
  public:
    /// `runtime` must outlive the client.
    StoreClient(net::Runtime& runtime, const StoreSettings& settings);

    /// Sets the part of the service's rate limits that this controller may use.
    void set_share(RateShare share) { limiter_.set_share(share); }

    /// Receives a value; the item is empty unless the outcome is `Ok`.
    using OnItem = std::function<void(Outcome, wire::Item)>;
    /// Receives a page of values or changes; empty unless the outcome is `Ok`.
    using OnPage = std::function<void(Outcome, wire::ItemPage)>;
    /// Receives the result of a transaction.
    using OnTransaction = std::function<void(TransactionResult)>;
    /// Receives a lease. `sent_at`: when it was asked for; the lease lasts at least its duration
    /// from then on.
    using OnLease = std::function<void(Outcome, std::uint64_t lease, Millis sent_at)>;

    /// Reads the value of a key.
    void get(RequestPriority priority, const std::string& key, OnItem done);

    /// Reads a page of the keys with a prefix, beginning after the key `since` ("": at the first).
    void list(RequestPriority priority, const std::string& prefix, const std::string& since,
              OnPage done);

    /// Compare-and-swap: writes `changes` in one step if all of `conditions` hold.
    void transact(RequestPriority priority, const std::vector<wire::Condition>& conditions,
                  const std::vector<wire::Change>& changes, OnTransaction done);

    /// Creates a lease that lasts for `duration` unless it is renewed.
    void create_lease(Millis duration, OnLease done);
    /// Renews a lease for its duration; `Missing`: it has expired.
    void renew_lease(std::uint64_t lease, OnLease done);
    /// Ends a lease and removes its keys; nothing says whether that succeeded.
    void release_lease(std::uint64_t lease);

    /// Reads the changes of keys with a prefix after a revision, waiting up to `block` for the
    /// first. `Missing`: the service has forgotten that revision.
    void watch(RequestPriority priority, const std::string& prefix, std::uint64_t since,
               Millis block, OnPage done);

    /// False while requests go unanswered or fail: new work is better refused at once.
    [[nodiscard]] bool responsive() const { return health_.is_responsive(runtime_.now()); }
    /// For how long all requests have failed; 0: the last one did not.
    [[nodiscard]] Millis failing_for() const { return health_.failing_for(runtime_.now()); }
    /// Whether so many keys could be written now without delaying anything else.
    [[nodiscard]] bool can_write_immediately(std::size_t writes);

    /// How many keys a transaction may write.
    [[nodiscard]] std::size_t max_transaction_operations() const {
        return limits_.max_transaction_operations();
    }
    /// Size of a value, as far as known.
    [[nodiscard]] std::size_t max_value_bytes() const { return limits_.max_value_bytes(); }
    /// Size of a value that stays allowed when an announced reduction comes into force.
    [[nodiscard]] std::size_t max_value_bytes_after_reduction() const {
        return limits_.max_value_bytes_after_reduction();
    }
    /// Whether the service has rejected a transaction for its size: smaller limits are in force.
    [[nodiscard]] bool limits_lowered() const { return limits_.lowered(); }

  private:
    void enqueue(RequestPriority priority, net::HttpRequest request, Millis timeout,
                 net::OnReply done);
    void send(QueuedRequest request);
    void on_reply_status(int status);
    void probe_later();
    template <typename Parse, typename Done>
    net::OnReply parse_reply(Parse parse, Done done);
    TransactionResult transaction_result(const net::HttpReply& reply);
    void on_rejected(const SizeLimits::RejectedTransaction& rejected);

    net::Runtime& runtime_;
    std::string address_;
    RateLimiter limiter_;
    RequestQueue queue_;
    ServiceHealth health_;
    SizeLimits limits_;
    net::MalformedMessageCounter malformed_{"the state service"};
    bool probe_scheduled_ = false;
    net::CallbackScope callbacks_;
};

}  // namespace lichendrift::store
