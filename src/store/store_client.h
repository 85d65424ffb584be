#pragma once

// Client of the state service, a consensus-backed key-value store.

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

/// Sends requests to the state service. The request rate is limited so that all controllers
/// together stay below the service's limits; every request has a deadline and every queue a maximum
/// length. Each callback is called once and never from inside the call that it was passed to; no
/// reply calls it after the client is destroyed. Loop thread only; all times are steady.
class StoreClient {
  public:
    /// `runtime` must outlive the client.
    StoreClient(net::Runtime& runtime, const StoreSettings& settings);

    /// Sets the fractions of the service's rate limits that this controller may use.
    void set_share(RateShare share) { limiter_.set_share(share); }

    /// Receives the item of a key; it is empty unless the outcome is `Ok`.
    using OnItem = std::function<void(Outcome, wire::Item)>;
    /// Receives a page of items or changes; it is empty unless the outcome is `Ok`.
    using OnPage = std::function<void(Outcome, wire::ItemPage)>;
    /// Receives the result of a transaction, with the keys whose condition failed.
    using OnTransaction = std::function<void(TransactionResult)>;
    /// Receives a lease ID. `sent_at`: time of the call that requested the lease or its renewal;
    /// the lease is valid for at least its duration from then on.
    using OnLease = std::function<void(Outcome, std::uint64_t lease, Millis sent_at)>;

    /// Reads the value of a key.
    void get(RequestPriority priority, const std::string& key, OnItem done);

    /// Reads a page of the keys with a prefix, starting after the key `since` ("": from the first).
    void list(RequestPriority priority, const std::string& prefix, const std::string& since,
              OnPage done);

    /// Compare-and-swap: applies `changes` atomically if all of `conditions` hold.
    void transact(RequestPriority priority, const std::vector<wire::Condition>& conditions,
                  const std::vector<wire::Change>& changes, OnTransaction done);

    /// Creates a lease that expires after `duration` unless it is renewed.
    void create_lease(Millis duration, OnLease done);
    /// Extends a lease by its duration from now on; `Missing`: the lease has expired.
    void renew_lease(std::uint64_t lease, OnLease done);
    /// Ends a lease, which removes its keys. Best effort: the result is not reported.
    void release_lease(std::uint64_t lease);

    /// Reads the changes after revision `since` of keys with a prefix, waiting up to `block` for
    /// the first change. `Missing`: the service no longer has that revision.
    void watch(RequestPriority priority, const std::string& prefix, std::uint64_t since,
               Millis block, OnPage done);

    /// False while requests fail or remain unanswered. Callers should then refuse new work
    /// immediately.
    [[nodiscard]] bool responsive() const { return health_.is_responsive(runtime_.now()); }
    /// Time since the current series of failures began; 0 if the request that ended last did not
    /// fail.
    [[nodiscard]] Millis failing_for() const { return health_.failing_for(runtime_.now()); }
    /// Whether this many keys can be written now without delaying other requests.
    [[nodiscard]] bool can_write_immediately(std::size_t writes);

    /// Maximum number of keys that a transaction may write.
    [[nodiscard]] std::size_t max_transaction_operations() const {
        return limits_.max_transaction_operations();
    }
    /// Current maximum size of a value in bytes, as far as known.
    [[nodiscard]] std::size_t max_value_bytes() const { return limits_.max_value_bytes(); }
    /// Maximum size of a value in bytes that is still allowed once the announced reduction is in
    /// force.
    [[nodiscard]] std::size_t max_value_bytes_after_reduction() const {
        return limits_.max_value_bytes_after_reduction();
    }
    /// Whether the service has rejected a transaction because of its size, which shows that smaller
    /// limits are in force.
    [[nodiscard]] bool limits_lowered() const { return limits_.lowered(); }

  private:
    void enqueue(RequestPriority priority, net::HttpRequest request, Millis timeout,
                 net::OnReply done);
    void send(QueuedRequest request);
    void on_reply_status(int status);
    void schedule_probe();
    template <typename Parse, typename Done>
    net::OnReply make_reply_handler(Parse parse, Done done);
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
