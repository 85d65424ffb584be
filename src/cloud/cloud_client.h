#pragma once

// The client of the cloud, which provisions and releases machines.

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

/// How a request to the cloud ended.
enum class Result : std::uint8_t {
    Ok,           ///< executed
    NoCapacity,   ///< not executed: the cloud has too few machines of that kind (503)
    Unavailable,  ///< certainly not executed; may be tried again
    StaleEpoch,   ///< not executed: the cloud knows of a later holder of the duty (409)
    NoResponse,   ///< may have been executed, or may still be
};

/// Sends requests to the cloud, at a limited rate and each with a deadline. A request beyond the
/// rate is not sent and ends as `Unavailable`; the caller's next round tries again. Each callback
/// is called once and never from inside the call that it was passed to; once the client is
/// destroyed, none is called any more. Loop thread only.
class CloudClient {
  public:
    /// `address`: "IP:port"; `max_requests_per_s`: of all controllers together. `runtime` must
    /// outlive the client.
    CloudClient(net::Runtime& runtime, std::string address, double max_requests_per_s);

    /// Sets the part of the rate limit that this controller may use, 0 to 1.
    void set_share(double share) { share_ = share; }

    /// Receives the machine types; empty unless the result is `Ok`.
    using OnTypes = std::function<void(Result, std::vector<core::MachineType>)>;
    /// Receives the names of the new machines; empty unless the result is `Ok`.
    using OnProvisioned = std::function<void(Result, std::vector<std::string>)>;
    /// Receives the result alone.
    using OnDone = std::function<void(Result)>;
    /// Receives the machines that could be read, and with `Ok` the names of all that exist.
    using OnListing =
        std::function<void(Result, std::vector<core::ListedMachine>, std::set<std::string>)>;

    /// Reads the machine types on offer.
    void types(OnTypes done);
    /// Provisions machines. Only a holder of the duty can make this request; it is sent before its
    /// `not_after` or never.
    void provision(const duty::FencedProvision& provision, OnProvisioned done);
    /// Releases machines, under the same condition.
    void release(const duty::FencedRelease& release, OnDone done);
    /// Reads all pages of the list of machines; `Ok` only if every page came.
    void list(OnListing done);

  private:
    // A list that is being read page by page.
    struct Listing {
        std::vector<core::ListedMachine> machines;
        OnListing done;
        int retries_left = 0;

        /// Name after which the next page begins; empty: at the first machine.
        [[nodiscard]] std::string since() const {
            return machines.empty() ? std::string() : machines.back().name;
        }
        /// Ends it without the pages that lack: it says nothing of machines that it does not name.
        void end_incomplete() { done(Result::Unavailable, std::move(machines), {}); }
        /// Ends it with all pages.
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
