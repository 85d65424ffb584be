// Requests to the cloud and the interpretation of their replies.
#include "cloud/cloud_client.h"

#include <algorithm>

#include "net/http_status.h"

namespace lichendrift::cloud {

namespace {

namespace http_status = net::http_status;

constexpr Millis kTimeout = 4000;
constexpr double kMinBurst = 2;        // minimum capacity of the token bucket, requests
constexpr double kBurstSeconds = 1.5;  // capacity as time at the permitted rate, if that is more
constexpr std::size_t kPageMachines = 500;     // the largest page size that the protocol allows
constexpr std::size_t kMaxMachines = 100'000;  // bounds the memory used by a faulty list
constexpr int kMaxPageRetries = 40;
constexpr Millis kPageRetryInterval = 250;

Result result_of(const net::HttpReply& reply) {
    if (reply.status == http_status::kOk) return Result::Ok;
    if (reply.status == http_status::kUnavailable && wire::is_no_capacity(reply.body)) {
        return Result::NoCapacity;
    }
    if (reply.status == http_status::kConflict) return Result::StaleEpoch;
    return reply.status == 0 && reply.sent ? Result::NoResponse : Result::Unavailable;
}

// Whether the cloud (429) or the client's own rate limit rejected the request. A request that could
// not be sent for another reason, such as a failed connection, counts as well.
bool is_rate_limited(const net::HttpReply& reply) {
    return reply.status == http_status::kTooManyRequests || (reply.status == 0 && !reply.sent);
}

}  // namespace

CloudClient::CloudClient(net::Runtime& runtime, std::string address, double max_requests_per_s)
    : runtime_(runtime),
      address_(std::move(address)),
      max_requests_per_s_(max_requests_per_s),
      requests_(kMinBurst),
      refilled_at_(runtime.now()) {}

void CloudClient::call(net::HttpRequest request, net::OnReply done) {
    const auto now = runtime_.now();
    const double rate = share_ * max_requests_per_s_;
    requests_.add(rate * static_cast<double>(now - refilled_at_) / 1000.0,
                  std::max(kMinBurst, rate * kBurstSeconds));
    refilled_at_ = now;
    if (requests_.tokens() < 1) {
        runtime_.after(0, callbacks_.bind([done = std::move(done)] {
            done({.status = 0, .body = {}, .sent = false});
        }));
        return;
    }
    requests_.take(1);
    runtime_.call(address_, std::move(request), kTimeout, callbacks_.bind(std::move(done)));
}

void CloudClient::types(OnTypes done) {
    call({"GET", "/flavors", ""}, [this, done = std::move(done)](const net::HttpReply& reply) {
        const auto result = result_of(reply);
        if (result != Result::Ok) return done(result, {});
        auto types = wire::parse_machine_types(reply.body);
        if (!types) {
            malformed_.note(runtime_.now());
            return done(Result::Unavailable, {});
        }
        done(Result::Ok, std::move(*types));
    });
}

void CloudClient::provision(const duty::FencedProvision& provision, OnProvisioned done) {
    call({"POST", "/rentals", wire::provision_body(provision.request(), provision.epoch()),
          provision.not_after()},
         [this, done = std::move(done)](const net::HttpReply& reply) {
             const auto result = result_of(reply);
             if (result != Result::Ok) return done(result, {});
             auto names = wire::parse_provisioned(reply.body);
             if (!names) {
                 malformed_.note(runtime_.now());
                 return done(Result::NoResponse, {});
             }
             done(Result::Ok, std::move(*names));
         });
}

void CloudClient::release(const duty::FencedRelease& release, OnDone done) {
    call({"POST", "/rentals/return", wire::release_body(release.machines(), release.epoch()),
          release.not_after()},
         [done = std::move(done)](const net::HttpReply& reply) { done(result_of(reply)); });
}

// ---- the list of machines ----

void CloudClient::list(OnListing done) {
    auto listing = std::make_shared<Listing>();
    listing->done = std::move(done);
    listing->retries_left = kMaxPageRetries;
    request_page(listing);
}

void CloudClient::request_page(const std::shared_ptr<Listing>& listing) {
    std::string target = "/rentals?limit=" + std::to_string(kPageMachines);
    const auto since = listing->since();
    if (!since.empty()) target += "&since=" + since;
    call({"GET", std::move(target), ""},
         [this, listing](const net::HttpReply& reply) { on_page(listing, reply); });
}

void CloudClient::on_page(const std::shared_ptr<Listing>& listing, const net::HttpReply& reply) {
    // The list of a large fleet has more pages than the rate limit allows in one burst.
    if (is_rate_limited(reply) && listing->retries_left-- > 0) {
        runtime_.after(kPageRetryInterval,
                       callbacks_.bind([this, listing] { request_page(listing); }));
        return;
    }
    if (result_of(reply) != Result::Ok) return listing->end_incomplete();
    auto page = wire::parse_listing(reply.body);
    if (!page) {
        malformed_.note(runtime_.now());
        return listing->end_incomplete();
    }
    const bool more =
        page->more && !page->machines.empty() && page->machines.back().name > listing->since();
    for (auto& machine : page->machines) listing->machines.push_back(std::move(machine));
    if (!more) return listing->end_complete();
    if (listing->machines.size() >= kMaxMachines) return listing->end_incomplete();
    request_page(listing);
}

void CloudClient::Listing::end_complete() {
    std::set<std::string> names;
    for (const auto& machine : machines) names.insert(machine.name);
    done(Result::Ok, std::move(machines), std::move(names));
}

}  // namespace lichendrift::cloud
