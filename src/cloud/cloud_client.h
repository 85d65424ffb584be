#pragma once

// Client of the cloud API, which provisions and releases machines.

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "duty/fence.h"
#include "net/callback_scope.h"
#include "net/malformed_message_counter.h"
#include "net/runtime.h"
#include "net/token_bucket.h"
#include "wire/cloud_messages.h"

namespace lichendrift::cloud {

using core::Millis;

/// Outcome of a request to the cloud.
enum class Result : std::uint8_t {
    Ok,           ///< executed
    NoCapacity,   ///< not executed: too few machines of that type are available (503)
    Unavailable,  ///< certainly not executed; the request may be retried
    StaleEpoch,   ///< not executed: the cloud has seen a later holder of the duty (409)
    NoResponse,   ///< no usable reply; the request may have been executed or still be
};

/// Sends requests to the cloud at a limited rate, each with a timeout. A request beyond the rate
/// limit is not sent and ends as `Unavailable`; callers retry it in their next round. Each callback
/// is called exactly once, and never from inside the call that it was passed to; no callback is
/// called after the client is destroyed. Loop thread only.
class CloudClient {
  public:
    /// `address`: "IP:port"; `max_requests_per_s`: rate limit for all controllers together.
    /// `runtime` must outlive the client.
    CloudClient(net::Runtime& runtime, std::string address, double max_requests_per_s);

    /// Sets the fraction of the rate limit that this controller may use, 0 to 1.
    void set_share(double share) { share_ = share; }

    /// Receives the machine types; empty unless the result is `Ok`.
    using OnTypes = std::function<void(Result, std::vector<core::MachineType>)>;
    /// Receives the names of the new machines; empty unless the result is `Ok`.
    using OnProvisioned = std::function<void(Result, std::vector<std::string>)>;
    /// Receives the result of a request that returns no data.
    using OnDone = std::function<void(Result)>;
    /// Receives the machines that were read and, with `Ok` only, the names of all existing
    /// machines.
    using OnListing =
        std::function<void(Result, std::vector<core::ListedMachine>, std::set<std::string>)>;

    /// Reads the machine types that the cloud offers.
    void types(OnTypes done);
    /// Provisions machines. A FencedProvision can only be created by the holder of the duty; it is
    /// not sent after its `not_after` time.
    void provision(const duty::FencedProvision& provision, OnProvisioned done);
    /// Releases machines; fenced and bounded in time in the same way as `provision`.
    void release(const duty::FencedRelease& release, OnDone done);
    /// Reads all pages of the machine list. The result is `Ok` only if every page was received.
    void list(OnListing done);

  private:
    // A machine list that is being read page by page.
    struct Listing {
        std::vector<core::ListedMachine> machines;
        OnListing done;
        int retries_left = 0;

        /// Name of the last machine read, after which the next page starts; empty for the first
        /// page.
        [[nodiscard]] std::string since() const {
            return machines.empty() ? std::string() : machines.back().name;
        }
        /// Reports the machines read so far as an incomplete list. A machine missing from it may
        /// still exist, so no set of names is passed on.
        void end_incomplete() { done(Result::Unavailable, std::move(machines), {}); }
        /// Reports the complete list.
        void end_complete();
    };
    void call(net::HttpRequest request, net::OnReply done);
    void request_page(const std::shared_ptr<Listing>& listing);
    void on_page(const std::shared_ptr<Listing>& listing, const net::HttpReply& reply);

    net::Runtime& runtime_;
    std::string address_;
    double max_requests_per_s_;
    static constexpr double kInitialShare = 0.15;
    double share_ = kInitialShare;
    net::TokenBucket requests_;
    net::MalformedMessageCounter malformed_{"the cloud"};
    Millis refilled_at_;
    net::CallbackScope callbacks_;
};

}  // namespace lichendrift::cloud
