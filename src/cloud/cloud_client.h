#pragma once

#include <functional>
#include <memory>
#include <set>

#include "duty/fence.h"
#include "net/malformed_message_counter.h"
#include "net/runtime.h"
#include "wire/json_messages.h"

namespace lichendrift::cloud {

using core::Millis;

enum class Result : std::uint8_t {
    Ok,
    NoCapacity,
    Unavailable,  // certainly not executed
    StaleEpoch,   // refused by a cloud that knows of a later holder of the duty
    NoResponse,   // may have been executed, or may still be
};

// Client of the cloud: paced, every request with a deadline. Calls beyond the pace are refused
// with Trouble; the caller's next round asks again.
class CloudClient {
  public:
    CloudClient(net::Runtime& runtime, std::string address, double rps);

    void set_share(double share) { share_ = share; }

    using OnTypes = std::function<void(Result, std::vector<core::MachineType>)>;
    using OnProvisioned = std::function<void(Result, std::vector<std::string>)>;
    using OnDone = std::function<void(Result)>;
    using OnListing =
        std::function<void(Result, std::vector<core::ListedMachine>, std::set<std::string>)>;

    void types(OnTypes done);
    // Only a holder of the duty can make these requests. They leave before their `not_after` or
    // never.
    void provision(const duty::FencedProvision& provision, OnProvisioned done);
    void release(const duty::FencedRelease& release, OnDone done);
    // Reads all pages; the answer is Ok only if every page came.
    void list(OnListing done);

  private:
    void call(net::HttpRequest request, Millis deadline, net::OnReply done);
    // A list that is being read page by page.
    struct Listing {
        std::vector<core::ListedMachine> machines;
        OnListing done;
        int tries_left = 0;
    };
    void list_page(const std::shared_ptr<Listing>& listing);
    net::Runtime& runtime_;
    std::string address_;
    double rps_;
    double share_ = 0.15;
    double tokens_ = 2;
    net::MalformedMessageCounter malformed_{"the cloud"};
    Millis filled_at_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lichendrift::cloud
